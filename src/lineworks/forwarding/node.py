"""Assembles the services of one process of the query tier."""

from __future__ import annotations

import dataclasses
import functools
import hashlib
import random
import secrets
from typing import TYPE_CHECKING, Any

import structlog

from lineworks.decisions import (
    access,
    cold_targets,
    extra_attempts,
    gather_rate,
    mechanisms,
    routes,
)
from lineworks.forwarding import (
    directory,
    evidence_exchange,
    extra_keeper,
    front,
    front_services,
    gatherers,
    gathering,
    metrics,
    node_gauges,
    operator_answers,
    placement_view,
    planned_stop,
    quota_holder,
    quota_keeper,
    quota_ranks,
    quota_view,
    registration,
    request_log,
    search,
    suspect_exchange,
    suspect_view,
    target_book,
    target_calls,
    target_learning,
    usage_watch,
    wait_queue,
    workspace_view,
)
from lineworks.http1 import server_connection, unfinished_bodies
from lineworks.kernel import (
    descriptors,
    listening,
    loop_delay,
    port_reservation,
    rate_limited_log,
    registry,
)
from lineworks.models import node_settings
from lineworks.platform import headers, store
from lineworks.services import peer_links
from lineworks.wire import frames, node_frames

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable, Mapping

    from lineworks.kernel import early_acceptor

HEARTBEAT_SECONDS = 2.0
"""Seconds between heartbeats on a link; a link without traffic counts as lost after twice that."""

STALE_VIEW_SECONDS = 3.0
"""Age of the data about targets, in seconds, after which an instance that refuses most requests for
lack of targets counts as not ready: it is cut off, and others may have newer data."""

MAX_LOGGED_TARGETS = 8
"""Maximum number of targets that one log line lists."""

_log = structlog.get_logger(component="node")


class Node:
    """One instance: a process with a front and a gatherer."""

    def __init__(
        self,
        reactor: Any,
        settings: node_settings.NodeSettings,
        callers_port: early_acceptor.EarlyAcceptor | None = None,
        reserved: Mapping[str, socket.socket] | None = None,
        rng: random.Random | None = None,
    ) -> None:
        """Create the services of the process.

        Args:
            reactor: Twisted's reactor, on the steady clock.
            settings: Settings of the process.
            callers_port: Port that already accepts callers' connections; opened by `start` if not
                given.
            reserved: Ports that are bound and don't listen yet, by their roles in
                `port_reservation`; those that are not given are opened by `start`.
            rng: Source of all random choices; by default one with a random seed.
        """
        self._reactor = reactor
        self._settings = settings
        self._callers_port = callers_port
        self._reserved = reserved or {}
        self._port: Any = None
        self._rng = rng or random.Random(secrets.randbits(64))
        self._evacuated: frozenset[str] = frozenset()
        self._counters = front_services.Counters()
        self._metrics = metrics.RequestMetrics()
        self._extra = extra_attempts.ExtraAttempts(settings.allowance, reactor.seconds())
        self._links = peer_links.PeerLinks(
            reactor,
            settings.name,
            settings.hall,
            secrets.token_hex(6),
            link_secret(settings.store.host, settings.regions),
        )
        self._links.heartbeat_seconds = HEARTBEAT_SECONDS
        self._links.make_heartbeat = self._heartbeat
        self._links.handle(frames.Heartbeat, self._on_heartbeat)
        without = settings.without
        self._links.compresses = mechanisms.Mechanism.LINK_COMPRESSION not in without
        resends_reads = mechanisms.Mechanism.STORE_REPEATS not in without
        max_unfinished_bytes = unfinished_bodies.limit_for(settings.memory_bytes)
        unfinished = unfinished_bodies.UnfinishedBodies(max_unfinished_bytes)
        self._links.unfinished = unfinished
        self._store = store.Store(
            reactor,
            settings.store,
            resends_reads=resends_reads,
            unfinished=unfinished,
            memory_bytes=settings.memory_bytes,
        )
        cold = cold_targets.ColdAllowance(settings.name, settings.cold_bound)
        self._book = target_book.TargetBook(
            settings.hall, settings.regions, self._rng, without, cold
        )
        self._learning = target_learning.TargetLearning(reactor, self._book, self._rng)
        self._calls = target_calls.TargetCalls(reactor, self._learning, unfinished)
        is_rated = mechanisms.Mechanism.FAST_GATHERERS not in without
        own_rate = settings.gather_rate if is_rated else gather_rate.UNKNOWN
        self._gatherers = gatherers.GathererClient(reactor, self._links, self._rng, own_rate)
        self._keeper = extra_keeper.ExtraKeeper(
            reactor,
            settings.name,
            settings.hall,
            self._links,
            self._gatherers,
            self._extra,
            mechanisms.Mechanism.SHARED_ATTEMPTS not in without,
        )
        self._evidence = evidence_exchange.EvidenceExchange(
            reactor,
            settings.name,
            settings.hall,
            self._links,
            self._gatherers,
            self._keeper,
            self._book.observations,
        )
        self._suspects = suspect_exchange.SuspectExchange(
            reactor, settings.name, settings.hall, self._links, self._store, self._book
        )
        self._gatherer = gathering.Gatherer(
            reactor, settings.hall, self._book, self._calls, without
        )
        self._directory = directory.Directory(
            reactor, self._rng, settings.name, settings.hall, self._store, self._links
        )
        self._registration = registration.Registration(
            reactor, settings, self._store, self._links, self._rng.random
        )
        self._ranks = quota_ranks.QuotaRanks(
            reactor,
            settings.name,
            settings.hall,
            self._links,
            self._gatherers,
            lambda: self._registration.members,
        )
        holder = quota_holder.QuotaHolder(
            reactor,
            settings.hall,
            settings.regions,
            self._links,
            self._ranks,
            settings.quota_bound,
        )
        self._quotas = quota_keeper.QuotaKeeper(
            reactor, settings.name, self._links, self._gatherers, self._ranks, holder
        )
        shared = front_services.FrontServices(
            reactor,
            settings.hall,
            self._book,
            self._calls,
            self._gatherers,
            self._extra,
            self._keeper,
            self._suspects,
            self._quotas,
            front_services.HedgeTimes(),
            self._counters,
            rate_limited_log.RateLimitedLog(
                reactor, "hedges", front_services.MAX_HEDGE_LINES_PER_SECOND
            ),
            wait_queue.WaitQueue(reactor, search.SLOT_POLL_SECONDS, self._rng.random),
            without,
        )
        self._request_log = request_log.RequestLog(reactor, self._metrics)
        self._front = front.Front(shared, self._request_log, settings.revocation)
        self._loop_delay = loop_delay.LoopDelay(reactor)
        self._usage = usage_watch.UsageWatch(reactor, settings.memory_bytes)
        self._started_at = reactor.seconds()
        self.lines_dropped: Callable[[], int] = lambda: 0
        """Returns the number of log lines that were dropped because their reader was too slow."""
        self._callers = server_connection.Server(
            reactor,
            self._front.limits,
            self._front.on_request,
            self._is_closing,
            on_undelivered=self._request_log.on_undelivered,
            unfinished=self._calls.unfinished,
            max_connections=descriptors.max_caller_connections(settings.max_descriptors),
        )
        self._stop = planned_stop.PlannedStop(
            reactor,
            settings.name,
            settings.stop_seconds,
            self._callers,
            self._front,
            self._gatherer,
            self._stop_listening,
            self._refuse_new,
        )
        self._kernel = registry.Kernel()
        self._connect_services()

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send new connections."""
        if self._stop.is_begun or not self._directory.is_complete:
            return False
        is_stale = self._directory.age > STALE_VIEW_SECONDS
        return not (is_stale and self._front.is_mostly_refusing)

    @property
    def directory(self) -> directory.Directory:
        """Its copy of the configuration and the targets."""
        return self._directory

    def _is_closing(self) -> bool:
        """Return whether callers should open their next connection to another instance."""
        return self._stop.is_begun or (self._directory.is_complete and not self.is_ready)

    async def start(self) -> None:
        """Open the sockets and start all services.

        Raises:
            port_reservation.PortError: A reserved port is in use.
            twisted.internet.error.CannotListenError: A port that was not reserved is in use.
        """
        settings = self._settings
        self._listen(
            port_reservation.READINESS, settings.readiness, self._server(self._on_readiness)
        )
        self._listen(port_reservation.METRICS, settings.metrics, self._server(self._on_metrics))
        self._links.listen_with(
            functools.partial(self._listen, port_reservation.LINKS, settings.peers)
        )
        # The callers' connections come last: if another port is in use, they can still be refused.
        if self._callers_port is None:
            self._port = self._listen(port_reservation.CALLERS, settings.callers, self._callers)
        else:
            self._port = self._callers_port.adopt(self._reactor, self._callers)
            for error in self._callers_port.errors:
                _log.warning("early_caller_failed", error=error)
        await self._kernel.start()
        without = sorted(mechanism.value for mechanism in settings.without)
        _log.info("started", name=settings.name, hall=settings.hall, without=without)

    def stop(self, signalled_at: float | None = None) -> None:
        """Begin a planned stop: the process exits when deregistered and all work is done.

        Args:
            signalled_at: When the signal was received, in seconds; now if not given.
        """
        if self._stop.is_begun:
            return
        self._stop.begin(self._reactor.seconds() if signalled_at is None else signalled_at)
        self._links.broadcast(self._heartbeat())

    def _connect_services(self) -> None:
        """Connect the services' callbacks, and register the services to be started."""
        self._front.is_complete = lambda: self._directory.is_complete
        self._front.view_age = lambda: self._directory.age
        self._front.is_outdated = lambda: self._directory.is_outdated
        self._front.on_uncertain_refusal = self._directory.pull_at_once
        self._front.ends_at = lambda: self._stop.answer_by
        self._front.is_over = lambda: self._stop.is_over
        self._ranks.is_leaving = lambda: self._stop.is_begun
        self._store.era.listeners.append(self._on_store_restored)
        self._directory.on_table = self._on_table
        self._directory.on_targets = self._on_targets
        self._directory.listeners.rows["registration"] = self._registration.on_changes
        self._directory.listeners.rows["suspects"] = self._suspects.on_changes
        self._registration.on_listed = self._count_instances
        self._calls.on_silence = self._gatherers.mark_all_silent
        links = self._links
        links.handle(node_frames.GatherQuery, self._on_query)
        links.handle(node_frames.GatherCancel, self._on_cancel)
        links.on_up.append(lambda hello: self._count_instances())
        links.on_down.append(lambda name: self._count_instances())
        links.on_link_closed.append(self._gatherer.on_origin_lost)
        self._metrics.collect_from(self._gauges)
        self._kernel.register("loop_delay", self._loop_delay)
        self._kernel.register("usage", self._usage)
        self._kernel.register("store", self._store)
        self._kernel.register("target_calls", self._calls)
        self._kernel.register("peer_links", self._links)
        self._kernel.register("suspects", self._suspects)
        self._kernel.register("directory", self._directory)
        self._kernel.register("registration", self._registration)

    def _server(self, handle: Any) -> server_connection.Server:
        def on_request(request: server_connection.Request, answer: Any) -> None:
            answer(handle(request))

        return server_connection.Server(
            self._reactor,
            server_connection.Limits,
            on_request,
            unfinished=self._calls.unfinished,
        )

    def _listen(self, role: str, address: node_settings.Address, factory: Any) -> Any:
        host, number = address.host, address.port
        try:
            return listening.listen(self._reactor, host, number, factory, self._reserved.get(role))
        except OSError as error:
            port = port_reservation.Port(role, host, number)
            raise port_reservation.PortError(port, error) from error

    def _refuse_new(self) -> bool:
        return self._port is not None and listening.refuse_new(self._port)

    def _stop_listening(self) -> None:
        if self._port is not None:
            listening.close(self._port)

    def _on_readiness(self, request: server_connection.Request) -> server_connection.Answer:
        if request.target.partition(b"?")[0] != headers.READINESS_PATH:
            return server_connection.Answer(404)
        return server_connection.Answer(200 if self.is_ready else 503)

    def _on_metrics(self, request: server_connection.Request) -> server_connection.Answer:
        path = operator_answers.path_of(request)
        if path in (suspect_view.PATH, suspect_view.LIFT_PATH):
            return suspect_view.answer(request, self._suspects, self._reactor.seconds())
        if path == placement_view.PATH:
            age, now = self._directory.age, self._reactor.seconds()
            return placement_view.answer(self._front.table, self._book, self._evacuated, age, now)
        if path == quota_view.PATH:
            return quota_view.answer(self._quotas, self._settings.hall)
        if path == workspace_view.PATH:
            known = access.ConfigurationFreshness(self._directory.age, self._directory.is_outdated)
            regions = set(self._settings.regions.values())
            return workspace_view.answer(self._front.table, known, regions)
        kind = (b"Content-Type", b"text/plain; version=0.0.4")
        return server_connection.Answer(200, [kind], self._metrics.export())

    def _on_table(self, table: routes.RouteTable) -> None:
        before = self._front.table
        if (
            before is not None
            and before.workspaces.requires_keys
            and not table.workspaces.requires_keys
        ):
            _log.warning("keys_no_longer_needed", version=table.version, before=before.version)
        self._front.set_table(table)
        self._quotas.set_workspaces(table.workspaces.all, table.version)
        self._warn_about_unknown_homes(table)
        self._on_targets()
        self._links.broadcast(self._heartbeat())

    def _on_store_restored(self) -> None:
        """Rewrite all data that the store may lack since it was restored from an older copy."""
        self._directory.on_store_restored()
        self._registration.on_store_restored()
        self._suspects.on_store_restored()
        self._links.broadcast(self._heartbeat())

    def _warn_about_unknown_homes(self, table: routes.RouteTable) -> None:
        """Log the routes and workspaces whose home regions do not exist in the deployment."""
        known = set(self._settings.regions.values())
        for route in table.routes:
            unknown = sorted(route.homes - known)
            if unknown:
                _log.warning("unknown_home_regions", route=route.name, regions=unknown)
        for workspace in table.workspaces.all:
            unknown = sorted(workspace.homes - known)
            if unknown:
                _log.warning("unknown_home_regions", workspace=workspace.name, regions=unknown)

    def _resume_held_requests(self) -> None:
        if self._directory.is_complete:
            self._front.resume_held()

    def _on_targets(self) -> None:
        table = self._front.table
        services = table.services if table is not None else {}
        evacuated = self._directory.evacuated
        self._update_evacuated(evacuated)
        now = self._reactor.seconds()
        change = self._book.update(self._directory.entries, services, evacuated, now)
        for state in change.gone:
            self._calls.forget(state.id)
        self._suspects.note_gone(state.id for state in change.gone)
        for state in change.ended:
            self._calls.on_target_ended(state)
        age = round(self._directory.age, 3)
        for kind, states in (
            ("target_added", change.added),
            ("target_leaving", change.leaving),
            ("target_gone", change.gone),
        ):
            if states:
                named = [f"{state.replica.target.service}/{state.id}" for state in states]
                _log.info(kind, count=len(named), targets=named[:MAX_LOGGED_TARGETS], view_age=age)
        self._resume_held_requests()

    def _update_evacuated(self, halls: frozenset[str]) -> None:
        """Record the evacuated halls, and log which were added and removed."""
        age = round(self._directory.age, 3)
        for hall in sorted(halls - self._evacuated):
            is_known = hall in self._settings.regions
            _log.info("hall_evacuated", hall=hall, is_known=is_known, view_age=age)
        for hall in sorted(self._evacuated - halls):
            _log.info("hall_takes_work", hall=hall, view_age=age)
        self._evacuated = halls

    def _on_query(self, link: Any, query: node_frames.GatherQuery) -> None:
        self._gatherer.on_query(link.hello.incarnation, query, link.send)

    def _on_cancel(self, link: Any, cancel: node_frames.GatherCancel) -> None:
        self._gatherer.on_cancel(link.hello.incarnation, cancel)

    def _heartbeat(self) -> frames.Heartbeat:
        return frames.Heartbeat(
            self._stop.is_begun,
            self._directory.version,
            "",
            self._instance_count,
            self._store.era.value,
            self._gatherers.own_rate,
        )

    def _on_heartbeat(self, link: Any, frame: frames.Heartbeat) -> None:
        self._gatherers.set_leaving(link.hello.name, frame.is_leaving)
        self._gatherers.set_rate(link.hello.name, frame.gather_rate)
        self._store.era.learn(frame.store_era)
        self._directory.on_peer_version(link.hello.name, frame.config_version)
        now = self._reactor.seconds()
        self._extra.instances.note_reported(frame.instances, now)
        self._book.cold.note_instance_count(self._extra.instances.value(now))

    @property
    def _instance_count(self) -> int:
        """Number of instances linked or listed, including this one; 0 if there are none."""
        linked = len(self._links.up) + 1 if self._links.up else 0
        return max(linked, self._registration.listed_count)

    def _count_instances(self) -> None:
        now = self._reactor.seconds()
        self._extra.instances.note(self._instance_count, now)
        self._book.cold.note_instance_count(self._extra.instances.value(now))
        names = {self._settings.name, *self._links.up, *self._registration.names}
        self._book.cold.note_instances(names, now)

    def _gauges(self) -> node_gauges.Gauges:
        now = self._reactor.seconds()
        return {
            "lineworks_front_events": node_gauges.as_floats(dataclasses.asdict(self._counters)),
            **node_gauges.store_gauges(self._store, self._directory),
            **node_gauges.entry_gauges(self._directory, self._registration),
            **node_gauges.attempt_gauges(self._extra, self._keeper, now),
            **node_gauges.quota_gauges(self._quotas),
            **node_gauges.delay_gauges(self._loop_delay),
            "lineworks_target_answers": self._calls.gauges,
            "lineworks_target_reports": node_gauges.as_floats(self._evidence.counts),
            "lineworks_evacuated_halls": dict.fromkeys(sorted(self._evacuated), 1.0),
            "lineworks_suspects": self._suspects.gauges,
            "lineworks_process": self._usage.gauges,
            "lineworks_log_lines": self._log_line_counts(),
            "lineworks_uptime_seconds": {"process": now - self._started_at},
            "lineworks_connections": {
                "callers": float(len(self._callers.connections)),
                "opened_to_targets": float(self._calls.opened),
                "links": float(len(self._links.up)),
            },
        }

    def _log_line_counts(self) -> dict[str, float]:
        """Return how many log lines were left out by their rate, or dropped for a slow reader."""
        left_out = (
            self._request_log.suppressed_lines
            + self._learning.suppressed_lines
            + self._calls.suppressed_lines
            + self._quotas.suppressed_lines
        )
        return {"left_out": float(left_out), "dropped": float(self.lines_dropped())}


def link_secret(store_host: str, regions: Mapping[str, str]) -> bytes:
    """Derive the shared secret of the links of one deployment.

    The platform provides no secret, so this only keeps the instances of different deployments
    apart. The store's port is left out: instances that connected to the store through separate
    forwarders, each on a different port, refused all links to each other.

    Args:
        store_host: IP address of the store.
        regions: Region of each data hall of the deployment.

    Returns:
        The secret.
    """
    text = f"{store_host}|{sorted(regions.items())}"
    return hashlib.sha256(text.encode()).digest()
