"""How late the event loop runs its timers, which shows a process short of processor time."""

from __future__ import annotations

from typing import Any

PERIOD_SECONDS = 1.0
"""Seconds between looks."""

PEAK_DECAY = 0.9
"""Part of the greatest delay that is kept from one look to the next, so that a peak can still be
seen when metrics are read every few seconds."""


class LoopDelay:
    """Measures one event loop."""

    def __init__(self, reactor: Any) -> None:
        """Start with no delay.

        Args:
            reactor: Twisted's reactor.
        """
        self._reactor = reactor
        self._timer: Any = None
        self._due = 0.0
        self._last = 0.0
        self._greatest = 0.0

    @property
    def last(self) -> float:
        """Seconds that the last look was late."""
        return self._last

    @property
    def peak(self) -> float:
        """Greatest delay in seconds; it fades by a tenth each second."""
        return self._greatest

    def start(self) -> None:
        """Begin to look."""
        self._schedule()

    def stop(self) -> None:
        """Stop looking."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _schedule(self) -> None:
        self._due = self._reactor.seconds() + PERIOD_SECONDS
        self._timer = self._reactor.callLater(PERIOD_SECONDS, self._look)

    def _look(self) -> None:
        self._last = max(0.0, self._reactor.seconds() - self._due)
        self._greatest = max(self._last, self._greatest * PEAK_DECAY)
        self._schedule()
