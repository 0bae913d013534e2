"""Rate-limited logging: a token bucket for each kind of line, and a count of suppressed lines."""

from __future__ import annotations

from typing import Any

import structlog

from lineworks.decisions import estimators

BURST_SECONDS = 2.0
"""Capacity of the bucket, in seconds of its rate."""

REPORT_SECONDS = 1.0
"""Minimum interval in seconds between lines that report the number of suppressed lines."""


class RateLimitedLog:
    """Logs lines of one kind at a limited rate and suppresses the rest."""

    def __init__(self, clock: Any, component: str, rate: float) -> None:
        """Initialise with a full bucket.

        Args:
            clock: Clock with the interface of Twisted's `IReactorTime`.
            component: Name of the logging component.
            rate: Maximum number of lines per second.
        """
        self._clock = clock
        self._log = structlog.get_logger(component=component)
        self._rate = rate
        self._tokens = estimators.TokenBudget(max(1.0, BURST_SECONDS * rate))
        self._refilled_at = clock.seconds()
        self._reported_at = clock.seconds()
        self.suppressed = 0
        """Number of suppressed lines that have not been reported yet."""
        self.suppressed_total = 0
        """Number of lines suppressed since the start."""

    def info(self, event: str, **fields: Any) -> None:
        """Log a line, or suppress and count it when the rate is exceeded.

        Args:
            event: Name of the event.
            **fields: Fields of the log line.
        """
        now = self._clock.seconds()
        self._tokens.earn((now - self._refilled_at) * self._rate)
        self._refilled_at = now
        if self.suppressed and now - self._reported_at >= REPORT_SECONDS:
            self._log.warning("lines_left_out", kind=event, count=self.suppressed)
            self.suppressed = 0
            self._reported_at = now
        if self._tokens.spend():
            self._log.info(event, **fields)
        else:
            self.suppressed += 1
            self.suppressed_total += 1
