"""Measures how late the event loop runs its timers, a sign of processor starvation."""

from __future__ import annotations

from typing import Any

PERIOD_SECONDS = 1.0
"""Interval in seconds between measurements."""

PEAK_DECAY = 0.9
"""Factor applied to the peak delay at each measurement. The slow decay keeps a peak visible to
metrics that are scraped every few seconds."""


class LoopDelay:
    """Measures the timer delay of one event loop."""

    def __init__(self, reactor: Any) -> None:
        """Initialise with no delay.

        Args:
            reactor: Twisted's reactor.
        """
        self._reactor = reactor
        self._timer: Any = None
        self._due_at = 0.0
        self._last = 0.0
        self._peak = 0.0

    @property
    def last(self) -> float:
        """Delay of the last measurement in seconds."""
        return self._last

    @property
    def peak(self) -> float:
        """Peak delay in seconds; it decays by a tenth each second."""
        return self._peak

    def start(self) -> None:
        """Start measuring."""
        self._schedule()

    def stop(self) -> None:
        """Stop measuring."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _schedule(self) -> None:
        self._due_at = self._reactor.seconds() + PERIOD_SECONDS
        self._timer = self._reactor.callLater(PERIOD_SECONDS, self._measure)

    def _measure(self) -> None:
        self._last = max(0.0, self._reactor.seconds() - self._due_at)
        self._peak = max(self._last, self._peak * PEAK_DECAY)
        self._schedule()
