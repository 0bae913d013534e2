"""Asks by a new connection whether a target's process still listens."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet import protocol

if TYPE_CHECKING:
    from collections.abc import Callable


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
    reactor.connectTCP(host, port, _Factory(on_result), timeout=seconds)


class _Factory(protocol.ClientFactory):
    noisy = False

    def __init__(self, on_result: Callable[[bool], None]) -> None:
        self._on_result = on_result

    def buildProtocol(self, addr: Any) -> _Connection:  # noqa: N802
        """Make the end of a connection that could be opened."""
        return _Connection(self._on_result)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802
        """Report that nobody listens."""
        self._on_result(False)


class _Connection(protocol.Protocol):
    transport: Any

    def __init__(self, on_result: Callable[[bool], None]) -> None:
        self._on_result = on_result

    def connectionMade(self) -> None:  # noqa: N802
        """Report that somebody listens, and close."""
        self.transport.abortConnection()
        self._on_result(True)
