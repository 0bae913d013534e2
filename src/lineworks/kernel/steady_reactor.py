"""A Twisted reactor whose timers follow the steady clock.

Twisted's default reactor counts by the time of day. Where that jumps, every timer fires early or
late by as much, so deadlines, heartbeats and leases would be wrong for as long as the jump lasts.
"""

from __future__ import annotations

import time
from typing import Any

from twisted.internet import epollreactor, main


class SteadyReactor(epollreactor.EPollReactor):
    """The epoll reactor on `time.monotonic`."""

    def seconds(self) -> float:  # type: ignore[override]
        """Tell the present.

        Returns:
            Seconds on a clock that never jumps; only differences have a meaning.
        """
        return time.monotonic()


def install() -> Any:
    """Make a steady reactor the process's reactor; nothing may have imported one before.

    Returns:
        The reactor.
    """
    reactor = SteadyReactor()
    main.installReactor(reactor)
    return reactor
