"""Turns in which connections read whose data takes much processor time to parse.

A body in tiny chunks costs hundreds of times the processor time of its bytes. If several
connections carry one, each iteration of the reactor parses a read of each, and everything else on
the process waits.
"""

from __future__ import annotations

import collections
from typing import Any, Protocol

TURN_SECONDS = 0.005
"""Seconds between the turns of two connections."""


class Reader(Protocol):
    """A connection that reads."""

    transport: Any
    """Its transport, which can pause and resume reading."""

    is_closed: bool
    """Whether it has ended, so that it needs no turn."""


class ReadingTurns:
    """The connections that wait for their turn."""

    def __init__(self, clock: Any) -> None:
        """Start without connections.

        Args:
            clock: Schedules the turns, as Twisted's reactor does.
        """
        self._clock = clock
        self._waiting: collections.deque[Reader] = collections.deque()
        self._is_scheduled = False

    def wait(self, reader: Reader) -> None:
        """Pause a connection until its next turn.

        Args:
            reader: The connection; it is not waiting yet.
        """
        reader.transport.pauseProducing()
        self._waiting.append(reader)
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._clock.callLater(TURN_SECONDS, self._begin_turn)

    def _begin_turn(self) -> None:
        self._is_scheduled = False
        while self._waiting:
            reader = self._waiting.popleft()
            if not reader.is_closed:
                reader.transport.resumeProducing()
                break
        if self._waiting:
            self._schedule()
