"""Closes a listening port so that no request on a new connection, and no answer, is lost."""

from __future__ import annotations

from typing import Any

from twisted.internet import defer
from twisted.protocols import policies

from lineworks.http1 import drain_notice
from lineworks.kernel import listening

UNREAD_SECONDS = 1.0
"""Seconds for which a caller that reads nothing of its answer is waited for."""

MAX_UNSENT_SECONDS = 5.0
"""Maximum number of seconds for which answers are waited for that callers read slowly."""

POLL_SECONDS = 0.02
"""Seconds between checks for accepted connections that wait for their answer."""


class ClosingPort:
    """A listening port that is being closed."""

    def __init__(self, reactor: Any, port: Any, first_request_seconds: float) -> None:
        """Initialise without closing the port yet.

        Args:
            reactor: Twisted's reactor.
            port: Twisted's listening port, whose factory is a `WrappingFactory`.
            first_request_seconds: Seconds after the close for which the first request of an
                accepted connection is waited for.
        """
        self._reactor = reactor
        self._port = port
        self._first_request_seconds = first_request_seconds
        self._open = port.factory
        self._accepted = policies.WrappingFactory(port.factory)
        self._accepted.protocol = _AcceptedConnection
        # For each connection with an unsent answer, how far it is, and since when, in seconds.
        self._positions: dict[Any, tuple[tuple[int, int], float]] = {}
        self._closed: defer.Deferred[None] = defer.Deferred()

    def close(self) -> defer.Deferred[None]:
        """Close the port in two steps, and answer the connections that were established until then.

        Returns:
            Fires when these connections are answered or closed, and callers have taken all answers,
            or their time is up.
        """
        # Only connections that are accepted from here on are wrapped.
        self._port.factory = self._accepted
        if listening.refuse_new(self._port):
            self._reactor.callLater(listening.HANDSHAKE_SECONDS, self._close_port)
        else:
            self._close_port()
        return self._closed

    def _close_port(self) -> None:
        listening.close(self._port)
        self._poll(self._reactor.seconds() + self._first_request_seconds)

    def _poll(self, until: float) -> None:
        is_waiting = any(not connection.is_answered for connection in self._accepted.protocols)
        if is_waiting and self._reactor.seconds() < until:
            self._reactor.callLater(POLL_SECONDS, self._poll, until)
        else:
            # What was answered just now is sent within one reactor iteration.
            seconds = self._reactor.seconds() + MAX_UNSENT_SECONDS
            self._reactor.callLater(POLL_SECONDS, self._poll_unsent, seconds)

    def _poll_unsent(self, until: float) -> None:
        """Wait for callers that are still reading answers, which the process's end would cut."""
        now = self._reactor.seconds()
        if now < until and self._is_any_reading(now):
            self._reactor.callLater(POLL_SECONDS, self._poll_unsent, until)
        else:
            self._closed.callback(None)

    def _is_any_reading(self, now: float) -> bool:
        before, self._positions = self._positions, {}
        for connection in self._open.protocols:
            if drain_notice.unsent_bytes(connection):
                position = drain_notice.position(connection)
                known, since = before.get(connection, (None, now))
                self._positions[connection] = (position, since if known == position else now)
        return any(now - since < UNREAD_SECONDS for _, since in self._positions.values())


class _AcceptedConnection(policies.ProtocolWrapper):
    """A connection that was accepted while its port was being closed."""

    is_answered = False
    """Whether an answer, or its beginning, was written."""

    def write(self, data: bytes) -> None:
        """Write data."""
        self.is_answered = True
        super().write(data)

    def writeSequence(self, data: list[bytes]) -> None:  # noqa: N802
        """Write several pieces of data."""
        self.is_answered = True
        super().writeSequence(data)
