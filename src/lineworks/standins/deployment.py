"""A whole deployment in one process: store, targets and instances on a network in memory.

Three data halls in three regions, as on the users' sheets. Instances are the real services of
`lineworks.forwarding.node`; only sockets and clocks are stood in for.
"""

from __future__ import annotations

import dataclasses
import random
from typing import TYPE_CHECKING, Any

from twisted.internet import defer, protocol

from lineworks.decisions import access, cold_targets, extra_attempts, mechanisms, quota
from lineworks.forwarding import node
from lineworks.http1 import client_connection
from lineworks.models import node_settings
from lineworks.platform.standins import (
    documents,
    http_target,
    store_model,
    store_rollback,
    store_server,
)
from lineworks.standins import memory_network

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

HALLS = ("akl", "wlg", "chc")
"""Data halls, each a region of its own."""

STORE_ADDRESS = "10.200.0.1"
STORE_PORT = 8102
CALLER_PORT = 8104
READY_PORT = 8108
LAPSE_SECONDS = 3.6
"""Seconds after which the entry of a target that ended goes: three of its check-ins."""
FIRST_BORN = 1_700_000_000_000
"""Unix millisecond at which the clock of a deployment starts."""
_FIRST_NETWORK = 64
_HOSTS_OF_A_NETWORK = 250
NEAR = 0.0005
FAR = 0.008
CALLER_DELAY = 0.001


@dataclasses.dataclass(slots=True, eq=False)
class Reply:
    """What a caller got, filled in when it comes."""

    sent_at: float
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    at: float = 0.0
    broken: str = ""

    @property
    def is_over(self) -> bool:
        """Whether the answer came or the connection broke."""
        return bool(self.status or self.broken)

    @property
    def seconds(self) -> float:
        """How long it took."""
        return self.at - self.sent_at


class Deployment:
    """Store, targets and instances."""

    def __init__(self, clock: Any, seed: int = 1) -> None:
        """Start with an empty store and nobody else.

        Args:
            clock: A virtual clock with `seconds`, `callLater` and `run_until`.
            seed: Seed of all random choices of the stand-ins.
        """
        self.clock = clock
        self.rng = random.Random(seed)
        self.network = memory_network.MemoryNetwork(clock, self._delay)
        self.store = store_model.StoreModel(clock)
        self.server = store_server.StoreServer(clock, self.store)
        self.drill = store_rollback.StoreRollback(clock, self.store)
        """Lets the store come back from an older copy."""
        self.network.host(STORE_ADDRESS).listenTCP(STORE_PORT, self.server.factory)
        self.runs: list[http_target.Run] = []
        self.targets: dict[str, http_target.HttpTarget] = {}
        self.nodes: dict[str, node.Node] = {}
        self.version = 0
        self.allowance = extra_attempts.Allowance(0.2, 54.0, 10.0)
        """Extra attempts that the instances may spend together."""
        self.without: frozenset[mechanisms.Mechanism] = frozenset()
        """Mechanisms that instances which start from now on do without."""
        self.on_start: Callable[[http_target.HttpTarget], None] = lambda target: None
        """Called with each target that starts again."""
        self.gather_rate = 0.0
        """Shards a second that instances which start from now on say they can ask; 0 for none."""
        self.cold_seconds = 0.0
        """Seconds that targets are cold after a start."""
        self.cold_rate = 0.0
        """Requests a second that a cold target handles; 0 for no bound."""
        self.workspaces: list[dict[str, Any]] = []
        """Workspaces of the configurations written from now on, as `documents.workspace` writes
        them; none where no request needs a key."""
        self.quota_bound = quota.QuotaBound(5.0, 0.1, 20.0)
        """What instances that start from now on may let through beyond quotas."""
        self.revocation = access.RevocationPolicy()
        """What holds at them for keys that were taken away while they heard nothing."""
        self.cold_bound = cold_targets.ColdBound(1.5, 5.0)
        """What cold targets may get from all instances together."""
        self.keeps_identities = False
        """Whether targets that start again do so under the identity that they had."""
        self.has_proxies = False
        """Whether proxies before the targets accept connections while nobody is behind them."""
        self.tells_births = True
        """Whether the entries of targets that start again tell when that was."""
        self._halls: dict[str, str] = {}
        self._attempts = 0

    def run(self, seconds: float) -> None:
        """Let time pass."""
        self.clock.run_until(self.clock.seconds() + seconds)

    def add_target(
        self, service: str, hall: str, work: Callable[[], float] = lambda: 0.03
    ) -> http_target.HttpTarget:
        """Start a target and put its entry into the store.

        Args:
            service: The service.
            hall: Its data hall.
            work: Draws the seconds that a request takes.

        Returns:
            The target.
        """
        number = len(self.targets) + 1
        network, host = divmod(number - 1, _HOSTS_OF_A_NETWORK)
        address = f"10.{HALLS.index(hall) + 1}.{_FIRST_NETWORK + network}.{host + 1}"
        self._halls[address] = hall
        target = http_target.HttpTarget(
            self.network.host(address), f"i-{number}", service, hall, work, self.runs
        )
        target.listen()
        self.targets[target.name] = target
        self.announce(target)
        return target

    def announce(self, target: http_target.HttpTarget, state: str = "ready") -> None:
        """Write a target's entry."""
        key = documents.target_key(target.name)
        self.store.write(key, documents.encode_value(target.entry(state)))

    def withdraw(self, target: http_target.HttpTarget) -> None:
        """Remove a target's entry."""
        self.drill.remove(documents.target_key(target.name))

    def crash(self, target: http_target.HttpTarget, seconds: float) -> None:
        """End a target; it starts again later as another process at the same address.

        Args:
            target: The target.
            seconds: Until it is back.
        """
        target.host.kill()
        if self.has_proxies:
            target.host.listenTCP(target.port, protocol.Factory.forProtocol(_NobodyBehind))
        self.clock.callLater(LAPSE_SECONDS, self._withdraw_ended, target)
        self.clock.callLater(seconds, self._start_again, target)

    def _withdraw_ended(self, ended: http_target.HttpTarget) -> None:
        if self.targets[ended.name] is ended:
            self.withdraw(ended)

    def _start_again(self, ended: http_target.HttpTarget) -> None:
        self.restart(ended, "" if self.keeps_identities else f"i-{len(self.targets) + 1}")

    def restart(self, ended: http_target.HttpTarget, name: str = "") -> http_target.HttpTarget:
        """Start a target again, at its address, and announce it.

        Args:
            ended: The target as it was.
            name: Its new identity; the one that it had when not given.

        Returns:
            The target as it is.
        """
        target = http_target.HttpTarget(
            ended.host, name or ended.name, ended.service, ended.hall, ended.work, self.runs
        )
        target.is_fatal = ended.is_fatal
        target.on_refused = ended.on_refused
        target.on_arrival = ended.on_arrival
        if self.tells_births:
            target.born = FIRST_BORN + int(self.clock.seconds() * 1000)
        self.targets[target.name] = target
        self.on_start(target)
        target.host.forget_port(target.port)
        target.listen()
        self.announce(target)
        return target

    def configure(self, routes: Sequence[dict[str, Any]], version: int | None = None) -> None:
        """Put a configuration into the store.

        Args:
            routes: Routes in the platform's form; what is usual may be left out.
            version: Its version; one more than the last when not given.
        """
        self.version = self.version + 1 if version is None else version
        services = {target.service for target in self.targets.values()}
        document = documents.configuration(
            self.version, routes, services, self.cold_seconds, self.cold_rate, self.workspaces
        )
        self.store.write(documents.CONFIGURATION_KEY, document)

    def evacuate(self, hall: str) -> None:
        """Ask, as the operators do, to send nothing more to the targets of a data hall."""
        self.store.write(documents.evacuation_key(hall), documents.encode_value("{}"))

    def end_evacuation(self, hall: str) -> None:
        """Take such a request back."""
        self.drill.remove(documents.evacuation_key(hall))

    def add_node(self, name: str, hall: str) -> node.Node:
        """Start an instance.

        Args:
            name: Its name; a new one gets an address of its own, a known one its old address.
            hall: Its data hall.

        Returns:
            The instance.
        """
        address = self.address_of(name, hall)
        host = self.network.host(address)
        host.is_stopped = False
        settings = node_settings.NodeSettings(
            name=name,
            hall=hall,
            region=hall,
            regions={item: item for item in HALLS},
            callers=node_settings.Address(address, CALLER_PORT),
            readiness=node_settings.Address(address, READY_PORT),
            peers=node_settings.Address(address, 7380),
            metrics=node_settings.Address(address, 7381),
            store=node_settings.Address(STORE_ADDRESS, STORE_PORT),
            allowance=self.allowance,
            stop_seconds=6.0,
            cold_bound=self.cold_bound,
            quota_bound=self.quota_bound,
            revocation=self.revocation,
            gather_rate=self.gather_rate,
            without=self.without,
        )
        started = node.Node(host, settings, rng=random.Random(self.rng.getrandbits(64)))
        defer.ensureDeferred(started.start())
        self.nodes[name] = started
        return started

    def address_of(self, name: str, hall: str = "") -> str:
        """Find the address of an instance, or give it one."""
        for address, known in self._halls.items():
            if known.startswith(f"{name}@"):
                return address
        address = f"10.{HALLS.index(hall) + 1}.0.{len(self._halls) + 1}"
        self._halls[address] = f"{name}@{hall}"
        return address

    def host_of(self, name: str) -> memory_network.Host:
        """Find the host of an instance."""
        return self.network.host(self.address_of(name))

    def ask(
        self,
        name: str,
        path: str,
        method: str = "GET",
        body: bytes = b"",
        budget: float = 2.0,
        attempt: str = "",
        key: str = "",
    ) -> Reply:
        """Send a request to an instance on a new connection.

        Args:
            name: The instance.
            path: Path.
            method: Method.
            body: Body.
            budget: Seconds that the caller waits.
            attempt: Identity of the try; a new one when not given.
            key: API key; none when not given.

        Returns:
            The reply, filled in as time passes.
        """
        self._attempts += 1
        attempt = attempt or f"a{self._attempts:06d}"
        data = documents.caller_request(method, path, attempt, budget, body, key)
        return self.send(name, data)

    def send(self, name: str, data: bytes, port: int = CALLER_PORT) -> Reply:
        """Send bytes to an instance on a new connection and read one answer."""
        reply = Reply(self.clock.seconds())
        caller = self.network.host("10.250.0.1")
        factory = _CallerFactory(self.clock, data, reply)
        caller.connectTCP(self.address_of(name), port, factory, timeout=5)
        return reply

    def is_ready(self, name: str) -> bool:
        """Ask an instance for its readiness, as the balancer does."""
        reply = self.send(name, documents.READINESS_REQUEST, READY_PORT)
        self.run(0.1)
        return reply.status == 200

    def runs_of(self, attempt: str) -> list[http_target.Run]:
        """List what targets ran for one try."""
        return [run for run in self.runs if run.attempt == attempt]

    def _delay(self, sender: str, receiver: str) -> float:
        if "10.250.0.1" in (sender, receiver):
            return CALLER_DELAY
        if STORE_ADDRESS in (sender, receiver):
            return 0.002
        return NEAR if sender.split(".")[1] == receiver.split(".")[1] else FAR


class _NobodyBehind(protocol.Protocol):
    """A proxy whose target is gone."""

    transport: Any

    def connectionMade(self) -> None:  # noqa: N802
        """Close the connection that was accepted."""
        self.transport.loseConnection()


class _CallerFactory(protocol.ClientFactory):
    """Opens a caller's connection."""

    noisy = False

    def __init__(self, clock: Any, data: bytes, reply: Reply) -> None:
        self._clock = clock
        self._data = data
        self._reply = reply

    def buildProtocol(self, addr: Any) -> client_connection.ClientConnection:  # noqa: N802
        """Make the caller's end."""
        return _Caller(self._clock, self._data, self._reply)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802
        """Note that there is no connection."""
        self._reply.broken = type(reason.value).__name__


class _Caller(client_connection.ClientConnection):
    """Sends one request when connected."""

    def __init__(self, clock: Any, data: bytes, reply: Reply) -> None:
        super().__init__(clock.seconds, lambda connection: None)
        self._clock = clock
        self._data = data
        self._reply = reply

    def connectionMade(self) -> None:  # noqa: N802
        """Send the request."""
        super().connectionMade()
        self.send(self._data, False, self._on_reply)

    def _on_reply(
        self, end: client_connection.Response | client_connection.ConnectionFailure
    ) -> None:
        reply = self._reply
        reply.at = self._clock.seconds()
        if isinstance(end, client_connection.ConnectionFailure):
            reply.broken = end.detail
            return
        reply.status = end.status
        reply.headers = {key.decode(): value.decode() for key, value in end.fields}
        reply.body = end.body
