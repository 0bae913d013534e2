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

    def transmit(self, sender: str, receiver: str, deliver: Callable[[], None]) -> None:
        """Deliver something after the way's delay."""


class TransportHost(Protocol):
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

    def add_transport(self, transport: MemoryTransport) -> None:
        """Note an open socket."""

    def remove_transport(self, transport: MemoryTransport) -> None:
        """Note that a socket is closed."""


class MemoryTransport:
    """One end of a connection."""

    def __init__(self, host: TransportHost, remote: TransportHost) -> None:
        """Make an end; `open` connects it.

        Args:
            host: The host that it belongs to.
            there: The other host.
        """
        self._host = host
        self._remote = remote
        self._protocol: Any = None
        self.peer: MemoryTransport | None = None
        self._undelivered: list[Callable[[], None]] = []
        self.disconnecting = False
        self.drops_sent_data = False
        """Whether all that is sent is lost."""

    def open(self, protocol: Any) -> None:
        """Connect a protocol.

        Args:
            protocol: Takes what arrives.
        """
        self._protocol = protocol
        self._host.add_transport(self)
        protocol.makeConnection(self)
        undelivered, self._undelivered = self._undelivered, []
        for call in undelivered:
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
        return _SocketOptions(self._host, self._remote)

    def loseConnection(self) -> None:  # noqa: N802
        """Close in order."""
        if self._protocol is None or self.disconnecting:
            return
        self.disconnecting = True
        self._send(lambda peer: peer._on_closed(net_error.ConnectionDone()))
        self._host.callLater(0, self._on_closed, net_error.ConnectionDone())

    def abortConnection(self) -> None:  # noqa: N802
        """Close with a reset."""
        self.reset(notifies_local=True)

    def reset(self, notifies_local: bool) -> None:
        """Reset the connection.

        Args:
            tells_own_side: Whether the own protocol hears of it.
        """
        self._send(lambda peer: peer._on_closed(net_error.ConnectionLost()))
        if notifies_local:
            self._host.callLater(0, self._on_closed, net_error.ConnectionLost())
        else:
            self._protocol = None
            self._host.remove_transport(self)

    def reset_at_once(self) -> None:
        """Reset the connection, and tell the own protocol at once."""
        self._send(lambda peer: peer._on_closed(net_error.ConnectionLost()))
        self._on_closed(net_error.ConnectionLost())

    def _send(self, deliver: Callable[[MemoryTransport], None]) -> None:
        peer = self.peer
        assert peer is not None
        if self.drops_sent_data:
            return
        self._host.network.transmit(
            self._host.address, self._remote.address, lambda: peer._receive(lambda: deliver(peer))
        )

    def _receive(self, call: Callable[[], None]) -> None:
        if self._protocol is None:
            self._undelivered.append(call)
        else:
            call()

    def _on_data(self, data: bytes) -> None:
        if self._protocol is not None and not self.disconnecting:
            self._protocol.dataReceived(data)

    def _on_closed(self, error: Exception) -> None:
        protocol = self._protocol
        self._protocol = None
        self._host.remove_transport(self)
        if protocol is not None:
            protocol.connectionLost(failure.Failure(error))


class _SocketOptions:
    """What can be asked of a connection's socket."""

    def __init__(self, host: TransportHost, remote: TransportHost) -> None:
        self._host = host
        self._remote = remote

    def setsockopt(self, *args: Any) -> None:
        """Do nothing."""

    def getsockopt(self, level: int, option: int, size: int) -> bytes:
        """Tell the round trip and how long data waited, as Linux does in its `tcp_info`."""
        delay = self._host.network.delay
        remote, back = self._remote.address, self._host.address
        seconds = delay(remote, back) + delay(back, remote)
        unread_for = self._host.seconds() - self._host.arrived_at
        info = struct.pack("=52xI12xI", int(unread_for * 1000), int(seconds * 1e6))
        return info.ljust(size, b"\0")
