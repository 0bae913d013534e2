"""Assembles the services of an instance from its settings."""

from __future__ import annotations

import random
import secrets
import time
from typing import TYPE_CHECKING, Any

import structlog
from twisted.internet import defer

from lineworks.kernel import listening, registry
from lineworks.models import member
from lineworks.models import settings as settings_models
from lineworks.platform import store as store_client
from lineworks.services import (
    caller_api,
    claim_writer,
    cluster,
    config_keeper,
    config_store,
    lifecycle,
    membership,
    metrics,
    operator_api,
    peer_links,
    platform_client,
    runs,
    target_pool,
    traces,
)

if TYPE_CHECKING:
    import socket
    from collections.abc import Mapping

IDLE_POLL_SECONDS = 0.05
"""Seconds between checks for requests in progress while the instance is draining."""

_log = structlog.get_logger(component="instance")


class Instance:
    """An instance: a service registry with the services that its roles require."""

    def __init__(
        self,
        reactor: Any,
        options: settings_models.Settings,
        reserved: Mapping[str, socket.socket] | None = None,
    ) -> None:
        """Initialise the instance; it opens no socket before `start`.

        Args:
            reactor: Twisted's reactor.
            options: Settings of the instance.
            reserved: Ports that are bound and don't listen yet, by their keys in the settings;
                those that are not given are opened by `start`.
        """
        self._reactor = reactor
        self._options = options
        self._reserved = reserved or {}
        self._incarnation = secrets.token_hex(6)
        self._rng = random.Random(secrets.randbits(64))
        self.kernel = registry.Kernel()
        self.lifecycle = lifecycle.Lifecycle(self._on_draining, self._on_stopped)
        self.stopped: defer.Deferred[None] = defer.Deferred()

    @property
    def caller_port(self) -> int:
        """TCP port on which callers are served."""
        return self.kernel.get("caller_api", caller_api.CallerApi).port

    @property
    def operator_port(self) -> int:
        """TCP port on which operators are served."""
        return self.kernel.get("operator_api", operator_api.OperatorApi).port

    @property
    def query_engine(self) -> cluster.QueryEngine:
        """The front and the gatherer, with their connections."""
        return self.kernel.get("cluster", cluster.QueryEngine)

    @property
    def keeper(self) -> config_keeper.ConfigKeeper:
        """The configuration in force."""
        return self.kernel.get("config_keeper", config_keeper.ConfigKeeper)

    async def start(self) -> None:
        """Open the sockets and start all services.

        Raises:
            twisted.internet.error.CannotListenError: A port that was not reserved is in use.
            OSError: Another process listens on a reserved port.
        """
        options = self._options
        links = peer_links.PeerLinks(
            self._reactor,
            options.name,
            options.hall,
            self._incarnation,
            options.shared_secret(),
        )
        host, number = options.peer.host, options.peer.port
        port = links.listen_with(
            lambda factory: listening.listen(
                self._reactor, host, number, factory, self._reserved.get("peer")
            )
        )
        self._register(links, port.getHost().port)
        await self.kernel.start()
        _log.info("started", name=options.name, hall=options.hall, services=self.kernel.names)

    async def stop(self) -> None:
        """Stop all services immediately; `lifecycle.stop_requested` shuts down gracefully."""
        await self.kernel.stop()

    def _register(self, links: peer_links.PeerLinks, peer_port: int) -> None:
        """Create the services, and register them in the order in which they start."""
        options = self._options
        reactor = self._reactor
        kernel = self.kernel
        platform = platform_client.PlatformClient(
            store_client.Store(
                reactor, options.platform.address, options.platform.timeout_ms / 1000
            )
        )
        own_member = member.Member(
            options.name, options.hall, options.peer.host, peer_port, self._incarnation, False
        )
        seeds = [
            member.Member(seed.name, seed.hall, seed.host, seed.port, "", False)
            for seed in options.seeds
        ]
        members = membership.Membership(reactor, self._rng, own_member, platform, links, seeds)
        store = config_store.ConfigStore(reactor, platform, self._rng)
        keeper = config_keeper.ConfigKeeper(
            reactor, self._rng, options.name, store, links, members.hall_members
        )
        keeper.listeners.append(lambda config, weights: self.lifecycle.config_applied())
        pool = target_pool.TargetPool(reactor, self._incarnation)
        timelines = traces.Traces(reactor)
        query_engine = cluster.QueryEngine(
            reactor, self._rng, options, links, pool, keeper, members, timelines, platform.era
        )
        writer = claim_writer.ClaimWriter(reactor, self._rng, platform, time.time)
        ticket_rng = random.SystemRandom()
        runner = runs.RequestRunner(
            reactor,
            ticket_rng,
            options.name,
            self._incarnation,
            query_engine,
            links,
            keeper,
            writer,
        )
        instance_metrics = metrics.Metrics()
        instance_metrics.add_gauges(
            lambda: metrics.engine_metrics(
                query_engine.front.counters, query_engine.gatherer.counters
            )
        )
        instance_metrics.add_gauges(lambda: _service_metrics(platform, links, keeper))
        kernel.register("platform_client", platform)
        kernel.register("metrics", instance_metrics)
        kernel.register("traces", timelines)
        kernel.register("target_pool", pool)
        kernel.register("peer_links", links)
        kernel.register("membership", members)
        kernel.register("config_keeper", keeper)
        kernel.register("cluster", query_engine)
        kernel.register("claim_writer", writer)
        kernel.register("runs", runner)
        if "front" in options.roles:
            kernel.register(
                "caller_api",
                caller_api.CallerApi(
                    reactor,
                    options,
                    query_engine,
                    runner,
                    keeper,
                    self.lifecycle,
                    instance_metrics,
                    timelines,
                    self._reserved.get("caller"),
                ),
            )
        kernel.register(
            "operator_api",
            operator_api.OperatorApi(
                reactor,
                options,
                query_engine,
                keeper,
                store,
                self.lifecycle,
                instance_metrics,
                timelines,
                links,
                platform,
                self._reserved.get("operator"),
            ),
        )

    def _on_draining(self) -> None:
        _log.info("draining", name=self._options.name)
        self.kernel.get("runs", runs.RequestRunner).void_unused()
        announcing = defer.ensureDeferred(
            self.kernel.get("membership", membership.Membership).announce_leaving()
        )
        announcing.addErrback(lambda failure: _log.error("announce", error=str(failure.value)))
        announcing.addBoth(lambda _: self._poll_idle())

    def _poll_idle(self) -> None:
        query_engine = self.query_engine
        idle_flags = [query_engine.front.is_idle, query_engine.gatherer.is_idle]
        idle_flags.append(self.kernel.get("runs", runs.RequestRunner).is_idle)
        if "caller_api" in self.kernel.names:
            idle_flags.append(self.kernel.get("caller_api", caller_api.CallerApi).is_idle)
        if all(idle_flags):
            # Waits one more interval, so that the last responses are written to their sockets.
            self._reactor.callLater(IDLE_POLL_SECONDS, self.lifecycle.work_finished)
        else:
            self._reactor.callLater(IDLE_POLL_SECONDS, self._poll_idle)

    def _on_stopped(self) -> None:
        _log.info("stopped", name=self._options.name)
        stopping = defer.ensureDeferred(self.kernel.stop())
        stopping.addBoth(lambda _: self.stopped.callback(None))


def _service_metrics(
    platform: platform_client.PlatformClient,
    links: peer_links.PeerLinks,
    keeper: config_keeper.ConfigKeeper,
) -> list[tuple[str, str, dict[str, float]]]:
    def floats(counts: Any) -> dict[str, float]:
        return {name: float(value) for name, value in counts.items()}

    in_force = {"version": float(keeper.version), "age_seconds": keeper.age}
    return [
        ("lineworks_platform_calls", "Calls to the platform by kind.", floats(platform.calls)),
        ("lineworks_link_events", "Links closed by reason.", floats(links.counts)),
        ("lineworks_configuration", "The configuration in force.", in_force),
        ("lineworks_configuration_alarms", "Heads kept out by kind.", floats(keeper.alarms)),
    ]
