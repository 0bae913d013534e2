"""A whole deployment in one process: store, targets and instances on an in-memory network.

It spans three data halls in three regions, as the users' deployments do. Instances run the real
`lineworks.forwarding.node`; only sockets and clocks are simulated.
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
"""Data halls; each is a region of its own."""

STORE_ADDRESS = "10.200.0.1"
STORE_PORT = 8102
CALLER_PORT = 8104
READY_PORT = 8108
ENTRY_LAPSE_SECONDS = 3.6
"""Seconds until the entry of a crashed target lapses: three of its check-in intervals."""
CLOCK_START_MS = 1_700_000_000_000
"""Unix time, in milliseconds, that corresponds to second 0 of a deployment's clock."""
_FIRST_TARGET_SUBNET = 64
_HOSTS_PER_SUBNET = 250
SAME_HALL_DELAY = 0.0005
"""One-way delay in seconds between hosts of one hall."""
CROSS_HALL_DELAY = 0.008
"""One-way delay in seconds between hosts of different halls."""
CALLER_DELAY = 0.001
"""One-way delay in seconds between callers and instances."""


@dataclasses.dataclass(slots=True, eq=False)
class Reply:
    """The response to a caller's request, filled in when it arrives."""

    sent_at: float
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    at: float = 0.0
    """When the response arrived or an open connection failed, on the deployment's clock."""
    broken: str = ""
    """Why the connection failed; empty if it did not."""

    @property
    def is_finished(self) -> bool:
        """Whether the response arrived or the connection failed."""
        return bool(self.status or self.broken)

    @property
    def seconds(self) -> float:
        """Seconds from sending the request until `at`."""
        return self.at - self.sent_at


class Deployment:
    """A store, targets and instances on one simulated network."""

    def __init__(self, clock: Any, seed: int = 1) -> None:
        """Start with an empty store and neither targets nor instances.

        Args:
            clock: A virtual clock with `seconds`, `callLater` and `run_until`.
            seed: Seed of the deployment's random numbers, and of those of its instances.
        """
        self.clock = clock
        self.rng = random.Random(seed)
        self.network = memory_network.MemoryNetwork(clock, self._delay)
        self.store = store_model.StoreModel(clock)
        self.server = store_server.StoreServer(clock, self.store)
        self.drill = store_rollback.StoreRollback(clock, self.store)
        """Restores the store from an older copy."""
        self.network.host(STORE_ADDRESS).listenTCP(STORE_PORT, self.server.factory)
        self.runs: list[http_target.Run] = []
        self.targets: dict[str, http_target.HttpTarget] = {}
        self.nodes: dict[str, node.Node] = {}
        self.version = 0
        self.allowance = extra_attempts.Allowance(0.2, 54.0, 10.0)
        """Extra attempts that all instances together may send."""
        self.without: frozenset[mechanisms.Mechanism] = frozenset()
        """Mechanisms that are switched off in instances that start from now on."""
        self.on_restart: Callable[[http_target.HttpTarget], None] = lambda target: None
        """Called with each target that restarts."""
        self.memory_bytes = 0
        """Memory that instances started from now on may use, in bytes; 0 if they don't know it."""
        self.gather_rate = 0.0
        """Shards per second that instances started from now on announce that they can gather; 0
        announces no rate."""
        self.cold_seconds = 0.0
        """Seconds for which a target counts as cold after its start."""
        self.cold_rate = 0.0
        """Requests per second that a cold target can handle; 0 means no limit."""
        self.workspaces: list[dict[str, Any]] = []
        """Workspaces in configurations written from now on, in the form of
        `documents.workspace`; if empty, requests need no key."""
        self.quota_bound = quota.QuotaBound(5.0, 0.1, 20.0)
        """How far instances that start from now on may exceed quotas."""
        self.revocation = access.RevocationPolicy()
        """How instances that start from now on handle revoked keys while they get no configuration
        updates."""
        self.cold_bound = cold_targets.ColdBound(1.5, 5.0)
        """Limit on the requests that a cold target gets from all instances together."""
        self.keeps_identities = False
        """Whether a target restarted after a crash keeps its identity."""
        self.has_proxies = False
        """Whether a proxy accepts, and at once closes, connections to a crashed target."""
        self.tells_births = True
        """Whether the entries of restarted targets contain their start time."""
        self._halls: dict[str, str] = {}
        self._attempts = 0

    def run(self, seconds: float) -> None:
        """Advance the clock.

        Args:
            seconds: By how much.
        """
        self.clock.run_until(self.clock.seconds() + seconds)

    def add_target(
        self, service: str, hall: str, work: Callable[[], float] = lambda: 0.03
    ) -> http_target.HttpTarget:
        """Start a target and write its entry to the store.

        Args:
            service: Name of the service that it serves.
            hall: Its data hall.
            work: Returns the seconds that the next request takes.

        Returns:
            The target.
        """
        number = len(self.targets) + 1
        network, host = divmod(number - 1, _HOSTS_PER_SUBNET)
        address = f"10.{HALLS.index(hall) + 1}.{_FIRST_TARGET_SUBNET + network}.{host + 1}"
        self._halls[address] = hall
        target = http_target.HttpTarget(
            self.network.host(address), f"i-{number}", service, hall, work, self.runs
        )
        target.listen()
        self.targets[target.name] = target
        self.announce(target)
        return target

    def announce(self, target: http_target.HttpTarget, state: str = "ready") -> None:
        """Write a target's entry to the store."""
        key = documents.target_key(target.name)
        self.store.write(key, documents.encode_value(target.entry(state)))

    def withdraw(self, target: http_target.HttpTarget) -> None:
        """Remove a target's entry from the store."""
        self.drill.remove(documents.target_key(target.name))

    def crash(self, target: http_target.HttpTarget, seconds: float) -> None:
        """Crash a target and restart it later as a new process at the same address.

        Args:
            target: The target.
            seconds: Seconds until it restarts.
        """
        target.host.kill()
        if self.has_proxies:
            target.host.listenTCP(target.port, protocol.Factory.forProtocol(_ProxyWithoutTarget))
        self.clock.callLater(ENTRY_LAPSE_SECONDS, self._withdraw_crashed, target)
        self.clock.callLater(seconds, self._restart_crashed, target)

    def _withdraw_crashed(self, ended: http_target.HttpTarget) -> None:
        if self.targets[ended.name] is ended:
            self.withdraw(ended)

    def _restart_crashed(self, ended: http_target.HttpTarget) -> None:
        self.restart(ended, "" if self.keeps_identities else f"i-{len(self.targets) + 1}")

    def restart(self, ended: http_target.HttpTarget, name: str = "") -> http_target.HttpTarget:
        """Restart a target at its address and write its entry to the store.

        Args:
            ended: The previous process of the target.
            name: Identity of the new process; if empty, that of the previous one.

        Returns:
            The new process of the target.
        """
        target = http_target.HttpTarget(
            ended.host, name or ended.name, ended.service, ended.hall, ended.work, self.runs
        )
        target.is_fatal = ended.is_fatal
        target.on_refused = ended.on_refused
        target.on_arrival = ended.on_arrival
        if self.tells_births:
            target.born = CLOCK_START_MS + int(self.clock.seconds() * 1000)
        self.targets[target.name] = target
        self.on_restart(target)
        target.host.close_port(target.port)
        target.listen()
        self.announce(target)
        return target

    def configure(self, routes: Sequence[dict[str, Any]], version: int | None = None) -> None:
        """Write a configuration to the store.

        Args:
            routes: Routes in the platform's form; fields with default values may be omitted.
            version: Version of the configuration; by default one more than the last.
        """
        self.version = self.version + 1 if version is None else version
        services = {target.service for target in self.targets.values()}
        document = documents.configuration(
            self.version, routes, services, self.cold_seconds, self.cold_rate, self.workspaces
        )
        self.store.write(documents.CONFIGURATION_KEY, document)

    def evacuate(self, hall: str) -> None:
        """Request, as operators do, that the targets of a data hall get no more requests."""
        self.store.write(documents.evacuation_key(hall), documents.encode_value("{}"))

    def end_evacuation(self, hall: str) -> None:
        """Withdraw the request to evacuate a data hall."""
        self.drill.remove(documents.evacuation_key(hall))

    def add_node(self, name: str, hall: str) -> node.Node:
        """Start an instance.

        Args:
            name: Name of the instance; a known name gets its previous address, a new one a new
                address.
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
            memory_bytes=self.memory_bytes,
            without=self.without,
        )
        started = node.Node(host, settings, rng=random.Random(self.rng.getrandbits(64)))
        defer.ensureDeferred(started.start())
        self.nodes[name] = started
        return started

    def address_of(self, name: str, hall: str = "") -> str:
        """Return the address of an instance, allocating one for a new name."""
        for address, known in self._halls.items():
            if known.startswith(f"{name}@"):
                return address
        network, host = divmod(len(self._halls), _HOSTS_PER_SUBNET)
        address = f"10.{HALLS.index(hall) + 1}.{network}.{host + 1}"
        self._halls[address] = f"{name}@{hall}"
        return address

    def host_of(self, name: str) -> memory_network.Host:
        """Return the host that an instance runs on."""
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
            name: Name of the instance.
            path: Path of the request.
            method: HTTP method.
            body: Body of the request.
            budget: The caller's time budget, in seconds.
            attempt: Identity of the attempt; if empty, a new one.
            key: API key; if empty, none is sent.

        Returns:
            The reply, which is filled in as the clock advances.
        """
        self._attempts += 1
        attempt = attempt or f"a{self._attempts:06d}"
        data = documents.caller_request(method, path, attempt, budget, body, key)
        return self.send(name, data)

    def send(self, name: str, data: bytes, port: int = CALLER_PORT) -> Reply:
        """Send bytes to an instance on a new connection and read one response.

        Args:
            name: Name of the instance.
            data: The bytes of the request.
            port: TCP port to connect to.

        Returns:
            The reply, which is filled in as the clock advances.
        """
        reply = Reply(self.clock.seconds())
        caller = self.network.host("10.250.0.1")
        factory = _CallerFactory(self.clock, data, reply)
        caller.connectTCP(self.address_of(name), port, factory, timeout=5)
        return reply

    def is_ready(self, name: str) -> bool:
        """Query the readiness endpoint of an instance, as the load balancer does.

        Advances the clock by 0.1 s.
        """
        reply = self.send(name, documents.READINESS_REQUEST, READY_PORT)
        self.run(0.1)
        return reply.status == 200

    def runs_of(self, attempt: str) -> list[http_target.Run]:
        """Return the requests that targets ran for one attempt."""
        return [run for run in self.runs if run.attempt == attempt]

    def _delay(self, sender: str, receiver: str) -> float:
        if "10.250.0.1" in (sender, receiver):
            return CALLER_DELAY
        if STORE_ADDRESS in (sender, receiver):
            return 0.002
        return (
            SAME_HALL_DELAY if sender.split(".")[1] == receiver.split(".")[1] else CROSS_HALL_DELAY
        )


class _ProxyWithoutTarget(protocol.Protocol):
    """A proxy in front of a target that no longer runs."""

    transport: Any

    def connectionMade(self) -> None:  # noqa: N802
        """Close the accepted connection."""
        self.transport.loseConnection()


class _CallerFactory(protocol.ClientFactory):
    """Creates the caller's end of a connection."""

    noisy = False

    def __init__(self, clock: Any, data: bytes, reply: Reply) -> None:
        self._clock = clock
        self._data = data
        self._reply = reply

    def buildProtocol(self, addr: Any) -> client_connection.ClientConnection:  # noqa: N802
        """Return the caller's end of the connection."""
        return _Caller(self._clock, self._data, self._reply)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802
        """Record the failure in the reply."""
        self._reply.broken = type(reason.value).__name__


class _Caller(client_connection.ClientConnection):
    """Sends one request once the connection is open."""

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
        self, result: client_connection.Response | client_connection.ConnectionFailure
    ) -> None:
        reply = self._reply
        reply.at = self._clock.seconds()
        if isinstance(result, client_connection.ConnectionFailure):
            reply.broken = result.detail
            return
        reply.status = result.status
        fields = result.fields
        reply.headers = {key.decode("latin-1"): value.decode("latin-1") for key, value in fields}
        reply.body = result.body
