"""One way between a client and a server on loopback, with the faults that links have.

Bytes are passed on as they come. A fault holds, delays or swallows them; TCP's own retransmission
is stood in for by bytes that are held and passed on later.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any

from twisted.internet import protocol

if TYPE_CHECKING:
    from collections.abc import Callable

CONNECT_SECONDS = 2.0
"""Seconds that the server may take to accept."""


@dataclasses.dataclass(slots=True)
class Faults:
    """What is wrong with a link now."""

    delay: float = 0.0
    """Seconds that bytes are late, each way."""

    holds_requests: bool = False
    """Whether bytes to the server wait until the fault is over."""

    holds_answers: bool = False
    """Whether bytes to the client wait until the fault is over."""


class Link(protocol.ServerFactory):
    """Accepts connections and joins each to one of the server."""

    noisy = False

    def __init__(self, reactor: Any, server_port: int) -> None:
        """Make a link; its caller lets it listen.

        Args:
            reactor: Twisted's reactor.
            server_port: TCP port of the server on loopback.
        """
        self.reactor = reactor
        self.server_port = server_port
        self.faults = Faults()
        self._pairs: set[_Pair] = set()

    def buildProtocol(self, addr: Any) -> _End:  # noqa: N802
        """Take a client in."""
        pair = _Pair(self)
        self._pairs.add(pair)
        return pair.client

    def set_faults(self, faults: Faults) -> None:
        """Begin or end faults; what was held goes on if nothing holds it any more.

        Args:
            faults: What is wrong from now on.
        """
        self.faults = faults
        for pair in list(self._pairs):
            pair.release()

    def reset(self) -> None:
        """Reset all connections."""
        for pair in list(self._pairs):
            pair.abort()

    def silence(self) -> None:
        """Pass nothing on any more over the connections that are open; new ones work."""
        for pair in self._pairs:
            pair.is_silent = True

    def forget(self, pair: _Pair) -> None:
        """Drop a pair whose ends are closed."""
        self._pairs.discard(pair)


class _Pair:
    """A client's connection with its counterpart at the server."""

    def __init__(self, link: Link) -> None:
        self.link = link
        self.is_silent = False
        self.client = _End(self, lambda faults: faults.holds_requests)
        self.server = _End(self, lambda faults: faults.holds_answers)

    def other(self, end: _End) -> _End:
        return self.server if end is self.client else self.client

    def on_open(self, end: _End) -> None:
        if end is self.client:
            factory = _ServerFactory(self)
            link = self.link
            link.reactor.connectTCP("127.0.0.1", link.server_port, factory, timeout=CONNECT_SECONDS)
        else:
            self.release()

    def on_closed(self, end: _End) -> None:
        """Close the other end too; a silent pair does not tell."""
        if not self.is_silent:
            self.other(end).close()
        if self.client.is_closed and self.server.is_closed:
            self.link.forget(self)

    def release(self) -> None:
        self.client.pass_on()
        self.server.pass_on()

    def abort(self) -> None:
        self.client.abort()
        self.server.abort()


class _End(protocol.Protocol):
    """One end: what it receives goes to the other one."""

    transport: Any

    def __init__(self, pair: _Pair, is_held: Callable[[Faults], bool]) -> None:
        self._pair = pair
        self._is_held = is_held
        self._waiting: list[bytes] = []
        self.is_open = False
        self.is_closed = False

    def connectionMade(self) -> None:  # noqa: N802
        """Begin to pass on."""
        self.is_open = True
        self.transport.setTcpNoDelay(True)
        self._pair.on_open(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass bytes on, late when the link is slow."""
        self._waiting.append(data)
        delay = self._pair.link.faults.delay
        if delay:
            self._pair.link.reactor.callLater(delay, self.pass_on)
        else:
            self.pass_on()

    def pass_on(self) -> None:
        """Give what waits to the other end, unless a fault holds it."""
        other = self._pair.other(self)
        if self._pair.is_silent or self._is_held(self._pair.link.faults) or not other.is_open:
            return
        waiting, self._waiting = self._waiting, []
        if waiting and not other.is_closed:
            other.transport.write(b"".join(waiting))
        if self.is_closed:
            other.close()

    def close(self) -> None:
        """Close after what was passed on, unless something still waits for this end."""
        if self.is_open and not self.is_closed and not self._pair.other(self)._waiting:
            self.transport.loseConnection()

    def abort(self) -> None:
        """Reset this end."""
        if self.is_open and not self.is_closed:
            self.transport.abortConnection()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Tell the other end."""
        self.is_closed = True
        self._pair.on_closed(self)


class _ServerFactory(protocol.ClientFactory):
    """Opens the connection to the server."""

    noisy = False

    def __init__(self, pair: _Pair) -> None:
        self._pair = pair

    def buildProtocol(self, addr: Any) -> _End:  # noqa: N802
        """Make the server's end."""
        return self._pair.server

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802
        """Reset the client's end, as a refused connection would."""
        self._pair.server.is_closed = True
        self._pair.client.abort()
