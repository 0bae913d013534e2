"""Opens a connection to check whether a target's process still listens.

A proxy in front of a target accepts connections even if the target is down, and closes them once it
finds out. A connection therefore counts only if it stays open for a moment.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet import protocol

if TYPE_CHECKING:
    from collections.abc import Callable

MIN_OPEN_SECONDS = 0.1
"""Seconds for which a connection must stay open to show that the target is alive: a proxy finds out
within one or two round trips that the target is down."""


def probe(
    reactor: Any, host: str, port: int, seconds: float, on_result: Callable[[bool], None]
) -> None:
    """Open a connection to a target and close it again, without sending anything.

    Args:
        reactor: Twisted's reactor.
        host: The target's IP address.
        port: Its TCP port.
        seconds: Connect timeout.
        on_result: Called once with whether a process listens there.
    """
    reactor.connectTCP(host, port, _Factory(reactor, on_result), timeout=seconds)


class _Factory(protocol.ClientFactory):
    noisy = False

    def __init__(self, reactor: Any, on_result: Callable[[bool], None]) -> None:
        self._reactor = reactor
        self._on_result = on_result

    def buildProtocol(self, addr: Any) -> _Connection:  # noqa: N802
        """Create the protocol of the connection."""
        return _Connection(self._reactor, self._on_result)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802
        """Report that no process listens."""
        self._on_result(False)


class _Connection(protocol.Protocol):
    transport: Any

    def __init__(self, reactor: Any, on_result: Callable[[bool], None]) -> None:
        self._reactor = reactor
        self._on_result = on_result
        self._timer: Any = None

    def connectionMade(self) -> None:  # noqa: N802
        """Wait to see whether the connection stays open."""
        self._timer = self._reactor.callLater(MIN_OPEN_SECONDS, self._on_open)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Report that no process listens, unless the connection stayed open long enough."""
        if self._timer.active():
            self._timer.cancel()
            self._on_result(False)

    def _on_open(self) -> None:
        """Report that a process listens, and close the connection."""
        self.transport.abortConnection()
        self._on_result(True)
