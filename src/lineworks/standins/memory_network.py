"""A network in memory: hosts with addresses, TCP between them, and faults, on any clock.

Every host looks like Twisted's reactor to the code that runs on it, so whole processes run side
by side in one test, under a virtual clock, without sockets. Links have delays and can be cut in
one direction or both; hosts can be killed, frozen, or lose power.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Any

from twisted.internet import error as net_error
from twisted.python import failure

from lineworks.standins import memory_transport

if TYPE_CHECKING:
    from collections.abc import Callable

FIRST_EPHEMERAL_PORT = 40000
"""First port that connecting sockets get."""


class MemoryNetwork:
    """Hosts and what lies between them."""

    def __init__(self, clock: Any, delay: Callable[[str, str], float]) -> None:
        """Start without hosts.

        Args:
            clock: Time and timers.
            delay: One-way seconds between two addresses.
        """
        self.clock = clock
        self.delay = delay
        self._hosts: dict[str, Host] = {}
        self._cut_links: set[tuple[str, str]] = set()
        self._held_deliveries: list[tuple[str, str, Callable[[], None]]] = []

    def host(self, address: str) -> Host:
        """Find or add a host.

        Args:
            address: Its IP address.

        Returns:
            The host.
        """
        found = self._hosts.get(address)
        if found is None:
            found = self._hosts[address] = Host(self, address)
        return found

    def cut(self, sender: str, receiver: str) -> None:
        """Hold up everything that one host sends to another.

        Args:
            sender: Address of the sender.
            receiver: Address of the receiver.
        """
        self._cut_links.add((sender, receiver))

    def heal(self) -> None:
        """End all cuts; what was held up arrives now."""
        self._cut_links.clear()
        held, self._held_deliveries = self._held_deliveries, []
        for sender, receiver, deliver in held:
            self.transmit(sender, receiver, deliver)

    def silence(self, address: str) -> None:
        """Drop whatever is sent from now on over the open connections of a host; new ones work.

        Args:
            address: The host's address.
        """
        for transport in self.host(address).open_transports:
            transport.drops_sent_data = True
            if transport.peer is not None:
                transport.peer.drops_sent_data = True

    def transmit(self, sender: str, receiver: str, deliver: Callable[[], None]) -> None:
        """Deliver something after the way's delay, or hold it up behind a cut.

        Args:
            sender: Address of the sender.
            receiver: Address of the receiver.
            deliver: Called on arrival.
        """
        if (sender, receiver) in self._cut_links:
            self._held_deliveries.append((sender, receiver, deliver))
            return
        self.clock.callLater(self.delay(sender, receiver), self._arrive, receiver, deliver)

    def _arrive(self, receiver: str, deliver: Callable[[], None]) -> None:
        self.host(receiver).receive(deliver)


class _Timer:
    """A scheduled call, which can be cancelled until it is made: a freeze puts it off."""

    def __init__(self, call: Callable[[], None]) -> None:
        self._call: Callable[[], None] | None = call

    def active(self) -> bool:
        """Whether the call is still to be made."""
        return self._call is not None

    def cancel(self) -> None:
        """Do not make the call."""
        self._call = None

    def fire(self) -> None:
        """Make the call, unless it was cancelled."""
        call, self._call = self._call, None
        if call is not None:
            call()


class Host:
    """One machine; to the code on it, this is the reactor."""

    def __init__(self, network: MemoryNetwork, address: str) -> None:
        """Start without sockets.

        Args:
            network: The network.
            address: IP address.
        """
        self.network = network
        self.address = address
        self._ports: dict[int, _ListeningPort] = {}
        # A table keeps its order, unlike a set: plays of one seed must not differ.
        self._open: dict[memory_transport.MemoryTransport, None] = {}
        self._process_generation = 0
        self._is_powered_off = False
        self._next_port = FIRST_EPHEMERAL_PORT
        self._deferred_calls: collections.deque[Callable[[], None]] | None = None
        self.arrived_at = 0.0
        """When what it takes in arrived."""
        self.is_stopped = False
        """Whether the code on it has stopped the reactor."""

    @property
    def open_transports(self) -> frozenset[memory_transport.MemoryTransport]:
        """Its ends of open connections."""
        return frozenset(self._open)

    @property
    def is_frozen(self) -> bool:
        """Whether it stands still."""
        return self._deferred_calls is not None

    def seconds(self) -> float:
        """Tell the present."""
        now: float = self.network.clock.seconds()
        return now

    def callLater(self, delay: float, call: Callable[..., Any], *args: Any) -> Any:  # noqa: N802
        """Schedule a call; it is not made once the process is gone."""
        timer = _Timer(lambda: call(*args))
        generation = self._process_generation

        def fire_timer() -> None:
            if generation == self._process_generation:
                self.run(timer.fire)

        self.network.clock.callLater(max(0.0, delay), fire_timer)
        return timer

    def callFromThread(self, call: Callable[..., Any], *args: Any) -> None:  # noqa: N802
        """Schedule a call for the next turn."""
        self.callLater(0, call, *args)

    def run(self, call: Callable[[], None]) -> None:
        """Make a call now, or when the host is no longer frozen."""
        if self._deferred_calls is not None:
            self._deferred_calls.append(call)
        elif not self._is_powered_off:
            call()

    def receive(self, deliver: Callable[[], None]) -> None:
        """Take in what arrives now, or when the host is no longer frozen."""
        arrived_at = self.seconds()

        def deliver_arrived() -> None:
            self.arrived_at = arrived_at
            deliver()

        self.run(deliver_arrived)

    def listenTCP(  # noqa: N802
        self, port: int, factory: Any, backlog: int = 50, interface: str = ""
    ) -> _ListeningPort:
        """Accept connections."""
        listening_port = _ListeningPort(self, port, factory)
        if port in self._ports:
            raise net_error.CannotListenError(interface, port, OSError("in use"))
        self._ports[port] = listening_port
        return listening_port

    def connectTCP(  # noqa: N802
        self, host: str, port: int, factory: Any, timeout: float = 30
    ) -> _ConnectionAttempt:
        """Open a connection, as Twisted's reactor does."""
        attempt = _ConnectionAttempt(self, host, port, factory)
        attempt.timer = self.callLater(timeout, attempt.fail, net_error.TimeoutError())
        self.network.transmit(self.address, host, attempt.reach_peer)
        return attempt

    def stop(self) -> None:
        """Stop the code on this host: as in Twisted, its protocols hear that they lost all."""
        self.is_stopped = True
        for transport in list(self._open):
            transport.reset_at_once()
        self.kill()

    def kill(self) -> None:
        """End the process: its sockets are reset, its timers never fire."""
        self._process_generation += 1
        self._deferred_calls = None
        self._ports.clear()
        for transport in list(self._open):
            transport.reset(notifies_local=False)
        self._open.clear()

    def power_off(self) -> None:
        """End the process without a word to anybody; the host stays dark until `power_on`."""
        self._process_generation += 1
        self._is_powered_off = True
        self._ports.clear()
        self._open.clear()

    def power_on(self) -> None:
        """Let packets arrive again."""
        self._is_powered_off = False

    def freeze(self) -> None:
        """Stand still; what arrives waits."""
        self._deferred_calls = collections.deque()

    def wake(self) -> None:
        """Go on where the host stood still."""
        deferred_calls = self._deferred_calls or collections.deque()
        self._deferred_calls = None
        for call in deferred_calls:
            self.run(call)

    def next_port(self) -> int:
        """Choose a port for a connecting socket."""
        self._next_port += 1
        return self._next_port

    def listening_port(self, port: int) -> _ListeningPort | None:
        """Find who listens on a port."""
        return self._ports.get(port)

    def close_port(self, port: int) -> None:
        """Stop listening on a port."""
        self._ports.pop(port, None)

    def add_transport(self, transport: memory_transport.MemoryTransport) -> None:
        """Note an open socket."""
        self._open[transport] = None

    def remove_transport(self, transport: memory_transport.MemoryTransport) -> None:
        """Note that a socket is closed."""
        self._open.pop(transport, None)


class _ListeningPort:
    def __init__(self, host: Host, port: int, factory: Any) -> None:
        self._host = host
        self.port = port
        self.factory = factory

    def doRead(self) -> None:  # noqa: N802
        """Do nothing: connections are accepted as they come."""

    def stopListening(self) -> None:  # noqa: N802
        """Stop accepting connections."""
        self._host.close_port(self.port)

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Stop accepting connections, at once."""
        self._host.close_port(self.port)


class _ConnectionAttempt:
    """A connection that is being opened."""

    def __init__(self, host: Host, peer: str, port: int, factory: Any) -> None:
        self._host = host
        self._peer = peer
        self._port = port
        self._factory = factory
        self.timer: Any = None
        self._is_finished = False

    def reach_peer(self) -> None:
        """Reach the other host."""
        network = self._host.network
        remote = network.host(self._peer)
        listening_port = remote.listening_port(self._port)
        if listening_port is None:
            network.transmit(
                self._peer,
                self._host.address,
                lambda: self.fail(net_error.ConnectionRefusedError()),
            )
            return
        protocol = listening_port.factory.buildProtocol(None)
        if protocol is None:
            return
        server = memory_transport.MemoryTransport(remote, self._host)
        client = memory_transport.MemoryTransport(self._host, remote)
        server.peer, client.peer = client, server
        server.open(protocol)
        network.transmit(self._peer, self._host.address, lambda: self._succeed(client))

    def _succeed(self, client: memory_transport.MemoryTransport) -> None:
        if self._is_finished:
            client.reset(notifies_local=False)
            return
        self._is_finished = True
        self.timer.cancel()
        client.open(self._factory.buildProtocol(None))

    def disconnect(self) -> None:
        """Give the attempt up."""
        self.fail(net_error.UserError())

    def fail(self, error: Exception) -> None:
        """Report that there is no connection."""
        if self._is_finished:
            return
        self._is_finished = True
        if self.timer.active():
            self.timer.cancel()
        self._factory.clientConnectionFailed(None, failure.Failure(error))
