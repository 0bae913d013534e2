"""A Twisted reactor whose timers use `CLOCK_BOOTTIME`, which also counts suspended time.

Twisted's default reactor uses the wall clock. A jump of the wall clock makes every timer fire early
or late by as much, so deadlines, heartbeats and leases would be wrong. The monotonic clock stops
while the machine is suspended: anything that expires by the clocks of other machines, such as
credit granted to this instance, would stay valid here for the time of the suspension.
"""

from __future__ import annotations

import time
from typing import Any

from twisted.internet import epollreactor, main

STALL_SECONDS = 0.25
"""Minimum gap in seconds between two reactor iterations that counts as a stall of the process. Its
tasks run every 0.05 seconds, so only a suspension, a freeze or processor starvation causes such a
gap."""


class SteadyReactor(epollreactor.EPollReactor):
    """An epoll reactor whose clock counts the time since boot, including suspensions."""

    def __init__(self) -> None:
        """Initialise a reactor that has not run yet."""
        super().__init__()
        self._last_run_at: float | None = None

    def runUntilCurrent(self) -> None:  # noqa: N802
        """Run the calls that are due; after a stall, first read the data that has arrived.

        Otherwise a process that resumes would hedge or abandon requests whose responses are already
        in the socket buffers.
        """
        last_run_at = self._last_run_at
        if last_run_at is not None and self.seconds() - last_run_at > STALL_SECONDS:
            self.doIteration(0)
        super().runUntilCurrent()
        self._last_run_at = self.seconds()

    def seconds(self) -> float:  # type: ignore[override]
        """Return the current time.

        Returns:
            Seconds on a clock that never jumps; only differences are meaningful.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)


def install() -> Any:
    """Install a steady reactor as the process's reactor, before anything imports the default one.

    Returns:
        The reactor.
    """
    reactor = SteadyReactor()
    main.installReactor(reactor)
    return reactor
