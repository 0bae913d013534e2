"""One end of a connection on the network in memory."""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING, Any, Protocol

from twisted.internet import error as net_error
from twisted.python import failure

if TYPE_CHECKING:
    from collections.abc import Callable


class Network(Protocol):
    """What lies between hosts."""

    delay: Callable[[str, str], float]
    """One-way seconds between two addresses."""

    def carry(self, sender: str, receiver: str, deliver: Callable[[], None]) -> None:
        """Deliver something after the way's delay."""


class Machine(Protocol):
    """What a connection's end needs of its host."""

    address: str
    """IP address."""

    arrived_at: float
    """When what it takes in arrived."""

    @property
    def network(self) -> Network:
        """The network that it is on."""

    def seconds(self) -> float:
        """Tell the present."""

    def callLater(self, delay: float, call: Callable[..., Any], *args: Any) -> Any:  # noqa: N802
        """Schedule a call."""

    def note(self, transport: MemoryTransport) -> None:
        """Note an open socket."""

    def forget(self, transport: MemoryTransport) -> None:
        """Note that a socket is closed."""


class MemoryTransport:
    """One end of a connection."""

    def __init__(self, host: Machine, there: Machine) -> None:
        """Make an end; `open` connects it.

        Args:
            host: The host that it belongs to.
            there: The other host.
        """
        self._host = host
        self._there = there
        self._protocol: Any = None
        self.peer: MemoryTransport | None = None
        self._early: list[Callable[[], None]] = []
        self.disconnecting = False
        self.is_mute = False
        """Whether all that is sent is lost."""

    def open(self, protocol: Any) -> None:
        """Connect a protocol.

        Args:
            protocol: Takes what arrives.
        """
        self._protocol = protocol
        self._host.note(self)
        protocol.makeConnection(self)
        early, self._early = self._early, []
        for call in early:
            call()

    def write(self, data: bytes) -> None:
        """Send bytes."""
        if self._protocol is None or self.disconnecting:
            return
        self._send(lambda peer: peer._on_data(bytes(data)))

    def writeSequence(self, pieces: Any) -> None:  # noqa: N802
        """Send pieces."""
        self.write(b"".join(pieces))

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        """Do nothing: there is no Nagle here."""

    def setTcpKeepAlive(self, enabled: bool) -> None:  # noqa: N802
        """Do nothing."""

    def getHandle(self) -> Any:  # noqa: N802
        """Give a socket whose options can be set without effect."""
        return _Socket(self._host, self._there)

    def loseConnection(self) -> None:  # noqa: N802
        """Close in order."""
        if self._protocol is None or self.disconnecting:
            return
        self.disconnecting = True
        self._send(lambda peer: peer._on_end(net_error.ConnectionDone()))
        self._host.callLater(0, self._on_end, net_error.ConnectionDone())

    def abortConnection(self) -> None:  # noqa: N802
        """Close with a reset."""
        self.reset(tells_own_side=True)

    def reset(self, tells_own_side: bool) -> None:
        """Reset the connection.

        Args:
            tells_own_side: Whether the own protocol hears of it.
        """
        self._send(lambda peer: peer._on_end(net_error.ConnectionLost()))
        if tells_own_side:
            self._host.callLater(0, self._on_end, net_error.ConnectionLost())
        else:
            self._protocol = None
            self._host.forget(self)

    def lose(self) -> None:
        """Reset the connection, and tell the own protocol at once."""
        self._send(lambda peer: peer._on_end(net_error.ConnectionLost()))
        self._on_end(net_error.ConnectionLost())

    def _send(self, deliver: Callable[[MemoryTransport], None]) -> None:
        peer = self.peer
        assert peer is not None
        if self.is_mute:
            return
        self._host.network.carry(
            self._host.address, self._there.address, lambda: peer._take(lambda: deliver(peer))
        )

    def _take(self, call: Callable[[], None]) -> None:
        if self._protocol is None:
            self._early.append(call)
        else:
            call()

    def _on_data(self, data: bytes) -> None:
        if self._protocol is not None and not self.disconnecting:
            self._protocol.dataReceived(data)

    def _on_end(self, error: Exception) -> None:
        protocol = self._protocol
        self._protocol = None
        self._host.forget(self)
        if protocol is not None:
            protocol.connectionLost(failure.Failure(error))


class _Socket:
    """What can be asked of a connection's socket."""

    def __init__(self, host: Machine, there: Machine) -> None:
        self._host = host
        self._there = there

    def setsockopt(self, *args: Any) -> None:
        """Do nothing."""

    def getsockopt(self, level: int, option: int, size: int) -> bytes:
        """Tell the round trip and how long data waited, as Linux does in its `tcp_info`."""
        delay = self._host.network.delay
        there, back = self._there.address, self._host.address
        seconds = delay(there, back) + delay(back, there)
        waited = self._host.seconds() - self._host.arrived_at
        info = struct.pack("=52xI12xI", int(waited * 1000), int(seconds * 1e6))
        return info.ljust(size, b"\0")
