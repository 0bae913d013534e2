"""Asks by a new connection whether a target's process still listens.

A proxy before a target accepts connections for it and closes them when nobody is behind it, so a
connection must stay open for a moment.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet import protocol

if TYPE_CHECKING:
    from collections.abc import Callable

MIN_OPEN_SECONDS = 0.1
"""Seconds for which a connection to a target that lives stays open: a proxy finds out within a
round trip or two that nobody is behind it."""


def probe(
    reactor: Any, host: str, port: int, seconds: float, on_result: Callable[[bool], None]
) -> None:
    """Open a connection to a target and close it again; nothing is sent over it.

    Args:
        reactor: Twisted's reactor.
        host: The target's IP address.
        port: Its TCP port.
        seconds: How long to wait for the connection.
        on_result: Called once with whether somebody listens there.
    """
    reactor.connectTCP(host, port, _Factory(reactor, on_result), timeout=seconds)


class _Factory(protocol.ClientFactory):
    noisy = False

    def __init__(self, reactor: Any, on_result: Callable[[bool], None]) -> None:
        self._reactor = reactor
        self._on_result = on_result

    def buildProtocol(self, addr: Any) -> _Connection:  # noqa: N802
        """Make the end of a connection that could be opened."""
        return _Connection(self._reactor, self._on_result)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802
        """Report that nobody listens."""
        self._on_result(False)


class _Connection(protocol.Protocol):
    transport: Any

    def __init__(self, reactor: Any, on_result: Callable[[bool], None]) -> None:
        self._reactor = reactor
        self._on_result = on_result
        self._timer: Any = None

    def connectionMade(self) -> None:  # noqa: N802
        """Wait whether the connection stays open."""
        self._timer = self._reactor.callLater(MIN_OPEN_SECONDS, self._on_open)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Report that nobody is behind it, unless it had stayed open."""
        if self._timer.active():
            self._timer.cancel()
            self._on_result(False)

    def _on_open(self) -> None:
        """Report that somebody listens, and close."""
        self.transport.abortConnection()
        self._on_result(True)
