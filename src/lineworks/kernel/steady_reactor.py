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


class SteadyReactor(epollreactor.EPollReactor):
    """The epoll reactor on the time since the system's start, suspensions included."""

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
