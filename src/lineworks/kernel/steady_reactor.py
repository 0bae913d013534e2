"""A Twisted reactor whose timers follow the steady clock that counts suspensions.

Twisted's default reactor counts by the time of day. Where that jumps, every timer fires early or
late by as much, so deadlines, heartbeats and leases would be wrong for as long as the jump lasts.
The monotonic clock stands while a machine is suspended: whatever ends by the time of others, such
as credit that was handed over, would live on by as much.
"""

from __future__ import annotations

import time
from typing import Any

from twisted.internet import epollreactor, main

STOOD_STILL_SECONDS = 0.25
"""Seconds between two turns of the loop from which on the process counts as having stood still: its
tasks look around every 0.05 seconds, so only a suspension, a freeze or a starved machine takes so
long."""


class SteadyReactor(epollreactor.EPollReactor):
    """The epoll reactor on the time since the system's start, suspensions included."""

    def __init__(self) -> None:
        """Make a reactor that has not run yet."""
        super().__init__()
        self._turned_at: float | None = None

    def runUntilCurrent(self) -> None:  # noqa: N802
        """Make the calls that are due; first read what arrived while the process stood still.

        Otherwise each wake would hedge and give up requests whose answers lie in the sockets.
        """
        turned_at = self._turned_at
        if turned_at is not None and self.seconds() - turned_at > STOOD_STILL_SECONDS:
            self.doIteration(0)
        super().runUntilCurrent()
        self._turned_at = self.seconds()

    def seconds(self) -> float:  # type: ignore[override]
        """Tell the present.

        Returns:
            Seconds on a clock that never jumps; only differences have a meaning.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)


def install() -> Any:
    """Make a steady reactor the process's reactor; nothing may have imported one before.

    Returns:
        The reactor.
    """
    reactor = SteadyReactor()
    main.installReactor(reactor)
    return reactor
