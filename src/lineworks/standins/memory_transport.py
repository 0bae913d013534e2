"""One end of a connection on the in-memory network."""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING, Any, Protocol

from twisted.internet import error as net_error
from twisted.python import failure

if TYPE_CHECKING:
    from collections.abc import Callable


class Network(Protocol):
    """The links between hosts, as transports use them."""

    delay: Callable[[str, str], float]
    """Returns the one-way delay in seconds from one address to another."""

    def transmit(self, sender: str, receiver: str, deliver: Callable[[], None]) -> None:
        """Deliver a packet after the link's delay."""


class TransportHost(Protocol):
    """The parts of a host that a transport uses."""

    address: str
    """IP address."""

    arrived_at: float
    """When the packet that is being delivered, or was delivered last, arrived."""

    @property
    def network(self) -> Network:
        """The network that the host is attached to."""

    def seconds(self) -> float:
        """Return the current time in seconds."""

    def callLater(self, delay: float, call: Callable[..., Any], *args: Any) -> Any:  # noqa: N802
        """Schedule a call."""

    def add_transport(self, transport: MemoryTransport) -> None:
        """Register an open connection."""

    def remove_transport(self, transport: MemoryTransport) -> None:
        """Unregister a closed connection."""


class MemoryTransport:
    """One end of a connection."""

    def __init__(self, host: TransportHost, remote: TransportHost) -> None:
        """Create an unconnected end; `open` attaches its protocol.

        Args:
            host: The host that this end belongs to.
            remote: The host at the other end.
        """
        self._host = host
        self._remote = remote
        self._protocol: Any = None
        self.peer: MemoryTransport | None = None
        self._undelivered: list[Callable[[], None]] = []
        self._is_paused = False
        self.disconnecting = False
        self.drops_sent_data = False
        """Whether everything sent from this end is lost."""

    def open(self, protocol: Any) -> None:
        """Attach a protocol and deliver what arrived before.

        Args:
            protocol: Receives the data and the end of the connection.
        """
        self._protocol = protocol
        self._host.add_transport(self)
        protocol.makeConnection(self)
        self._deliver_held()

    def write(self, data: bytes) -> None:
        """Send bytes, unless the connection is closed or closing."""
        if self._protocol is None or self.disconnecting:
            return
        self._send(lambda peer: peer._on_data(bytes(data)))

    def writeSequence(self, pieces: Any) -> None:  # noqa: N802
        """Send several pieces of data in one write."""
        self.write(b"".join(pieces))

    def pauseProducing(self) -> None:  # noqa: N802
        """Hold what arrives until `resumeProducing`."""
        self._is_paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Deliver what was held, until the protocol pauses again."""
        self._is_paused = False
        self._deliver_held()

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        """Do nothing: the network does not implement Nagle's algorithm."""

    def setTcpKeepAlive(self, enabled: bool) -> None:  # noqa: N802
        """Do nothing."""

    def getHandle(self) -> Any:  # noqa: N802
        """Return a stand-in for the socket, whose options can be set without effect."""
        return _SocketOptions(self._host, self._remote)

    def loseConnection(self) -> None:  # noqa: N802
        """Close the connection cleanly."""
        if self._protocol is None or self.disconnecting:
            return
        self.disconnecting = True
        self._send(lambda peer: peer._on_closed(net_error.ConnectionDone()))
        self._host.callLater(0, self._on_closed, net_error.ConnectionDone())

    def abortConnection(self) -> None:  # noqa: N802
        """Reset the connection; the protocol on this side is told in the next iteration."""
        self.reset(notifies_local=True)

    def reset(self, notifies_local: bool) -> None:
        """Reset the connection.

        Args:
            notifies_local: Whether the protocol on this side is told, in the next iteration.
        """
        self._send(lambda peer: peer._on_closed(net_error.ConnectionLost()))
        if notifies_local:
            self._host.callLater(0, self._on_closed, net_error.ConnectionLost())
        else:
            self._protocol = None
            self._host.remove_transport(self)

    def reset_at_once(self) -> None:
        """Reset the connection and tell the protocol on this side immediately."""
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
        if self._protocol is None or self._is_paused:
            self._undelivered.append(call)
        else:
            call()

    def _deliver_held(self) -> None:
        while self._undelivered and not self._is_paused:
            self._undelivered.pop(0)()

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
    """The socket options of a connection."""

    def __init__(self, host: TransportHost, remote: TransportHost) -> None:
        self._host = host
        self._remote = remote

    def setsockopt(self, *args: Any) -> None:
        """Do nothing."""

    def getsockopt(self, level: int, option: int, size: int) -> bytes:
        """Return `tcp_info` as on Linux, with round-trip time and time since data last arrived."""
        delay = self._host.network.delay
        remote, back = self._remote.address, self._host.address
        seconds = delay(remote, back) + delay(back, remote)
        unread_for = self._host.seconds() - self._host.arrived_at
        info = struct.pack("=52xI12xI", int(unread_for * 1000), int(seconds * 1e6))
        return info.ljust(size, b"\0")
