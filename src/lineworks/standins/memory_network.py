"""An in-memory network: hosts with addresses, TCP between them, and fault injection.

Each host implements the parts of Twisted's reactor that the code on it uses, so a test can run
several whole processes side by side under a virtual clock, without sockets. Links have delays and
can be cut in one direction or both; hosts can be killed, frozen or powered off.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Any

from twisted.internet import error as net_error
from twisted.python import failure

from lineworks.standins import memory_transport

if TYPE_CHECKING:
    from collections.abc import Callable

EPHEMERAL_PORT_BASE = 40000
"""The ephemeral ports of a host are the numbers above this one."""


class MemoryNetwork:
    """Hosts and the links between them."""

    def __init__(self, clock: Any, delay: Callable[[str, str], float]) -> None:
        """Create a network without hosts.

        Args:
            clock: Clock and timers.
            delay: Returns the one-way delay in seconds from one address to another.
        """
        self.clock = clock
        self.delay = delay
        self._hosts: dict[str, Host] = {}
        self._cut_links: set[tuple[str, str]] = set()
        self._held_deliveries: list[tuple[str, str, Callable[[], None]]] = []

    def host(self, address: str) -> Host:
        """Return the host with the given address, creating it if necessary.

        Args:
            address: IP address of the host.

        Returns:
            The host.
        """
        found = self._hosts.get(address)
        if found is None:
            found = self._hosts[address] = Host(self, address)
        return found

    def cut(self, sender: str, receiver: str) -> None:
        """Cut the link in one direction; what is sent there is held until `heal`.

        Args:
            sender: Address of the sender.
            receiver: Address of the receiver.
        """
        self._cut_links.add((sender, receiver))

    def heal(self) -> None:
        """Restore all cut links and send what was held."""
        self._cut_links.clear()
        held, self._held_deliveries = self._held_deliveries, []
        for sender, receiver, deliver in held:
            self.transmit(sender, receiver, deliver)

    def silence(self, address: str) -> None:
        """Drop everything sent from now on over a host's open connections, in both directions.

        New connections work.

        Args:
            address: IP address of the host.
        """
        for transport in self.host(address).open_transports:
            transport.drops_sent_data = True
            if transport.peer is not None:
                transport.peer.drops_sent_data = True

    def transmit(self, sender: str, receiver: str, deliver: Callable[[], None]) -> None:
        """Deliver a packet after the link's delay, or hold it while the link is cut.

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
    """A scheduled call.

    It can be cancelled until it is made, which is later than its due time if the host is frozen.
    """

    def __init__(self, call: Callable[[], None]) -> None:
        self._call: Callable[[], None] | None = call

    def active(self) -> bool:
        """Return whether the call is still pending."""
        return self._call is not None

    def cancel(self) -> None:
        """Cancel the call."""
        self._call = None

    def fire(self) -> None:
        """Make the call unless it was cancelled."""
        call, self._call = self._call, None
        if call is not None:
            call()


class Host:
    """One machine; the code that runs on it uses this object as its reactor."""

    def __init__(self, network: MemoryNetwork, address: str) -> None:
        """Create a running host without sockets.

        Args:
            network: The network that it is attached to.
            address: IP address.
        """
        self.network = network
        self.address = address
        self._ports: dict[int, _ListeningPort] = {}
        # A dictionary, because its order is deterministic and that of a set is not: runs with the
        # same seed must not differ.
        self._open: dict[memory_transport.MemoryTransport, None] = {}
        self._process_generation = 0
        self._is_powered_off = False
        self._next_port = EPHEMERAL_PORT_BASE
        self._deferred_calls: collections.deque[Callable[[], None]] | None = None
        self.arrived_at = 0.0
        """When the packet that is being delivered, or was delivered last, arrived."""
        self.is_stopped = False
        """Whether the code on the host has stopped the reactor."""

    @property
    def open_transports(self) -> frozenset[memory_transport.MemoryTransport]:
        """The host's ends of its open connections."""
        return frozenset(self._open)

    @property
    def is_frozen(self) -> bool:
        """Whether the host is frozen."""
        return self._deferred_calls is not None

    def seconds(self) -> float:
        """Return the current time in seconds."""
        now: float = self.network.clock.seconds()
        return now

    def callLater(self, delay: float, call: Callable[..., Any], *args: Any) -> Any:  # noqa: N802
        """Schedule a call; it is dropped if the process ends before it is due."""
        timer = _Timer(lambda: call(*args))
        generation = self._process_generation

        def fire_timer() -> None:
            if generation == self._process_generation:
                self.run(timer.fire)

        self.network.clock.callLater(max(0.0, delay), fire_timer)
        return timer

    def callFromThread(self, call: Callable[..., Any], *args: Any) -> None:  # noqa: N802
        """Schedule a call for the next reactor iteration."""
        self.callLater(0, call, *args)

    def run(self, call: Callable[[], None]) -> None:
        """Make a call now, or on wake-up if the host is frozen; drop it if the power is off."""
        if self._deferred_calls is not None:
            self._deferred_calls.append(call)
        elif not self._is_powered_off:
            call()

    def receive(self, deliver: Callable[[], None]) -> None:
        """Deliver an arriving packet now, or on wake-up if the host is frozen."""
        arrived_at = self.seconds()

        def deliver_arrived() -> None:
            self.arrived_at = arrived_at
            deliver()

        self.run(deliver_arrived)

    def listenTCP(  # noqa: N802
        self, port: int, factory: Any, backlog: int = 50, interface: str = ""
    ) -> _ListeningPort:
        """Listen on a port.

        Raises:
            CannotListenError: The port is in use.
        """
        listening_port = _ListeningPort(self, port, factory)
        if port in self._ports:
            raise net_error.CannotListenError(interface, port, OSError("in use"))
        self._ports[port] = listening_port
        return listening_port

    def connectTCP(  # noqa: N802
        self, host: str, port: int, factory: Any, timeout: float = 30
    ) -> _ConnectionAttempt:
        """Open a connection, with the interface of Twisted's reactor."""
        attempt = _ConnectionAttempt(self, host, port, factory)
        attempt.timer = self.callLater(timeout, attempt.fail, net_error.TimeoutError())
        self.network.transmit(self.address, host, attempt.reach_peer)
        return attempt

    def stop(self) -> None:
        """Stop the reactor of this host; as in Twisted, its protocols get `connectionLost`."""
        self.is_stopped = True
        for transport in list(self._open):
            transport.reset_at_once()
        self.kill()

    def kill(self) -> None:
        """Kill the process: its connections are reset and its timers never fire."""
        self._process_generation += 1
        self._deferred_calls = None
        self._ports.clear()
        for transport in list(self._open):
            transport.reset(notifies_local=False)
        self._open.clear()

    def power_off(self) -> None:
        """Turn the power off: peers get no reset, and packets are dropped until `power_on`."""
        self._process_generation += 1
        self._is_powered_off = True
        self._ports.clear()
        self._open.clear()

    def power_on(self) -> None:
        """Turn the power on: packets are delivered again."""
        self._is_powered_off = False

    def freeze(self) -> None:
        """Freeze the process: packets that arrive and timers that fall due wait until `wake`."""
        self._deferred_calls = collections.deque()

    def wake(self) -> None:
        """End a freeze and make the deferred calls in order."""
        deferred_calls = self._deferred_calls or collections.deque()
        self._deferred_calls = None
        for call in deferred_calls:
            self.run(call)

    def next_port(self) -> int:
        """Return the next ephemeral port."""
        self._next_port += 1
        return self._next_port

    def listening_port(self, port: int) -> _ListeningPort | None:
        """Return the listening port with the given number, or None."""
        return self._ports.get(port)

    def close_port(self, port: int) -> None:
        """Stop listening on a port; do nothing if the host does not listen on it."""
        self._ports.pop(port, None)

    def add_transport(self, transport: memory_transport.MemoryTransport) -> None:
        """Register an open connection."""
        self._open[transport] = None

    def remove_transport(self, transport: memory_transport.MemoryTransport) -> None:
        """Unregister a closed connection."""
        self._open.pop(transport, None)


class _ListeningPort:
    def __init__(self, host: Host, port: int, factory: Any) -> None:
        self._host = host
        self.port = port
        self.factory = factory

    def doRead(self) -> None:  # noqa: N802
        """Do nothing: connections are accepted on arrival."""

    def stopListening(self) -> None:  # noqa: N802
        """Stop accepting connections."""
        self._host.close_port(self.port)

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Stop accepting connections immediately."""
        self._host.close_port(self.port)


class _ConnectionAttempt:
    """An attempt to open a connection."""

    def __init__(self, host: Host, peer: str, port: int, factory: Any) -> None:
        self._host = host
        self._peer = peer
        self._port = port
        self._factory = factory
        self.timer: Any = None
        self._is_finished = False

    def reach_peer(self) -> None:
        """Handle the arrival of the connection request at the other host.

        A factory that builds no protocol leaves the request unanswered.
        """
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
        """Abandon the attempt."""
        self.fail(net_error.UserError())

    def fail(self, error: Exception) -> None:
        """Report the failure to the client factory, unless the attempt has already ended."""
        if self._is_finished:
            return
        self._is_finished = True
        if self.timer.active():
            self.timer.cancel()
        self._factory.clientConnectionFailed(None, failure.Failure(error))
