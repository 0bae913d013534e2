"""Log lines of bounded number: a token bucket a kind, and a count of what was left out."""

from __future__ import annotations

from typing import Any

import structlog

from lineworks.decisions import estimators

BURST_SECONDS = 2.0
"""Seconds of a bucket's rate that it holds at most."""

REPORT_SECONDS = 1.0
"""Seconds between lines that tell how many were left out."""


class BoundedLog:
    """Writes the lines of one kind, as many as its rate allows."""

    def __init__(self, clock: Any, component: str, rate: float) -> None:
        """Start with a full bucket.

        Args:
            clock: Tells the present, as Twisted's reactor does.
            component: Name of the part that writes.
            rate: Lines a second.
        """
        self._clock = clock
        self._log = structlog.get_logger(component=component)
        self._rate = rate
        self._tokens = estimators.TokenBudget(max(1.0, BURST_SECONDS * rate))
        self._refilled_at = clock.seconds()
        self._reported_at = clock.seconds()
        self.left_out = 0
        """Lines left out and not told of yet."""
        self.left_out_in_all = 0
        """Lines left out since the start."""

    def info(self, event: str, **fields: Any) -> None:
        """Write a line, or count it as left out.

        Args:
            event: What happened.
            fields: What decided it.
        """
        now = self._clock.seconds()
        self._tokens.earn((now - self._refilled_at) * self._rate)
        self._refilled_at = now
        if self.left_out and now - self._reported_at >= REPORT_SECONDS:
            self._log.warning("lines_left_out", kind=event, count=self.left_out)
            self.left_out = 0
            self._reported_at = now
        if self._tokens.spend():
            self._log.info(event, **fields)
        else:
            self.left_out += 1
            self.left_out_in_all += 1
