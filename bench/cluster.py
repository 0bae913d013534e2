"""Instances, links and targets on a virtual clock, with the real query machinery inside."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from bench import fakes
from lineworks.decisions import catalog, replicas
from lineworks.engine import front, front_state, gatherer, messages, sub_query, views
from lineworks.services import peer_links
from lineworks.standins import shapes, target_model

if TYPE_CHECKING:
    from collections.abc import Callable

    from bench import scenario

REPORT_SECONDS = 1.0
"""Seconds between looks for targets that told nothing lately."""

FIRST = catalog.Snapshot(1, catalog.BASE_LAYOUT)
"""Snapshot that targets hold at first."""

SPLIT_LAYOUT = "split"
"""Layout of the repartitioned index: two shards for each service."""


class Instance:
    """One instance: a front and a gatherer with their view."""

    def __init__(
        self,
        cluster: Cluster,
        name: str,
        hall: str,
        front_tuning: front_state.Tuning | None,
        gatherer_tuning: sub_query.Tuning | None,
    ) -> None:
        """Make the instance.

        Args:
            cluster: The cluster that it belongs to.
            name: Its name.
            hall: Its data hall.
            front_tuning: Choices of its front.
            gatherer_tuning: Choices of its gatherer.
        """
        self._cluster = cluster
        self.name = name
        self.hall = hall
        self.up: set[str] = set()
        clock = cluster.clock
        self.view = views.ClusterView(name, hall, lambda other: cluster.delay(hall, other))
        port = fakes.TargetPort(
            clock, cluster.gates, cluster.options.hall_ms / 1000, cluster.options.connect_ms / 1000
        )
        rng = cluster.rng(f"instance/{name}")
        self.gatherer = gatherer.Gatherer(clock, rng, port, gatherer_tuning, cluster.on_trace)
        self.front = front.Front(name, clock, rng, self, self.view, front_tuning, cluster.on_trace)
        self.gatherer.on_holdings_changed = self._on_holdings

    @property
    def address(self) -> tuple[str, str]:
        """Name and hall."""
        return (self.name, self.hall)

    def send(self, instance: str, request: messages.Request) -> bool:
        """Carry a message to a gatherer; see `lineworks.engine.ports.GathererPort`."""
        if instance == self.name:
            self._cluster.clock.callLater(0, self._serve, self, request)
            return True
        if instance not in self.up:
            return False
        peer = self._cluster.instances[instance]
        self._cluster.links.send(self.address, peer.address, peer._serve, self, request)
        return True

    def report_targets(self) -> None:
        """Take the report of each owned target that told nothing lately."""
        now = self._cluster.clock.seconds()
        for replica in list(self.gatherer.owned_replicas):
            gate = self._cluster.gates[replica.target.name]
            if now - replica.reported_at >= REPORT_SECONDS and not gate.model.is_down:
                self.gatherer.on_report(replica.target.name, gate.model.report())

    def on_peer_up(self, peer: Instance) -> None:
        """Note a new link and tell the peer what this gatherer can serve."""
        self.up.add(peer.name)
        self._set_members()
        self._tell_holdings(peer)

    def on_peer_down(self, peer: Instance) -> None:
        """Note that the link to a peer is lost."""
        self.up.discard(peer.name)
        self._set_members()
        self.view.drop_holdings(peer.name)
        self.front.on_link_lost(peer.name)
        self.gatherer.on_origin_lost(peer.name)

    def _set_members(self) -> None:
        peers = self._cluster.instances
        self.view.set_members({name: peers[name].hall for name in sorted(self.up)})
        self.gatherer.set_targets(self.view.owned_targets())
        self.front.on_members_changed()
        # New owners ask their targets at once, and hear after the way there and back.
        self._cluster.clock.callLater(0.001, self.report_targets)

    def _serve(self, sender: Instance, request: messages.Request) -> None:
        if isinstance(request, messages.SubQueries):
            self.gatherer.on_sub_queries(
                sender.name, request, lambda reply: self._reply(sender, reply)
            )
        else:
            self.gatherer.on_cancel(sender.name, request)

    def _reply(self, sender: Instance, reply: messages.ShardReply) -> None:
        if sender is self:
            self.front.on_reply(self.name, reply)
            return
        links = self._cluster.links
        links.send(self.address, sender.address, sender.front.on_reply, self.name, reply)

    def _on_holdings(self) -> None:
        self.view.set_holdings(self.name, self.gatherer.holdings())
        for name in sorted(self.up):
            self._tell_holdings(self._cluster.instances[name])

    def _tell_holdings(self, peer: Instance) -> None:
        self._cluster.links.send(
            self.address, peer.address, peer.view.set_holdings, self.name, self.gatherer.holdings()
        )


class Cluster:
    """All instances and targets of a scenario."""

    def __init__(
        self,
        plan: scenario.Scenario,
        seed: int,
        front_tuning: front_state.Tuning | None = None,
        gatherer_tuning: sub_query.Tuning | None = None,
        has_stragglers: bool = True,
        on_trace: Callable[[str, str, str, str], None] | None = None,
    ) -> None:
        """Build the cluster, with all links up and nothing known of targets yet.

        Args:
            plan: The scenario.
            seed: Seed of everything random.
            front_tuning: Choices of the fronts.
            gatherer_tuning: Choices of the gatherers.
            has_stragglers: Whether service times have stragglers.
            on_trace: Takes the steps of queries.
        """
        self._seed = seed
        self.plan = plan
        self.options = plan.deployment
        self.clock = fakes.VirtualClock()
        self.links = fakes.Links(self.clock, self.delay)
        self.on_trace = on_trace
        self.gates: dict[str, fakes.TargetGate] = {}
        self.instances: dict[str, Instance] = {}
        self.config = self._build_targets(has_stragglers)
        weights = {name: item.weight for name, item in plan.classes.items()}
        for hall in self.options.halls:
            for number in range(hall.instances):
                name = f"{hall.name}-{number}"
                self.instances[name] = Instance(
                    self, name, hall.name, front_tuning, gatherer_tuning
                )
        for instance in self.instances.values():
            instance.view.set_config(self.config, weights)
            instance.up = {name for name in self.instances if name != instance.name}
            instance._set_members()
        for instance in self.instances.values():
            instance.report_targets()
            instance._on_holdings()
        self.clock.callLater(REPORT_SECONDS, self._ask_reports)

    def rng(self, purpose: str) -> random.Random:
        """Make a random source of its own for a purpose.

        Args:
            purpose: What it is for.

        Returns:
            The source.
        """
        return random.Random(f"{self._seed}/{purpose}")

    def delay(self, first: str, second: str) -> float:
        """Tell the one-way delay between two halls.

        Args:
            first: A hall.
            second: A hall.

        Returns:
            Seconds.
        """
        options = self.options
        return (options.hall_ms if first == second else options.between_ms) / 1000

    def cut_hall(self, hall: str) -> None:
        """Cut a hall off from all others; the links notice after their silence.

        Args:
            hall: The hall.
        """
        self.links.cut_halls.add(hall)
        self.clock.callLater(peer_links.SILENCE_SECONDS, self._notice_cut, hall)

    def heal_hall(self, hall: str) -> None:
        """Join a hall to the others again.

        Args:
            hall: The hall.
        """
        self.links.cut_halls.discard(hall)
        self.clock.callLater(peer_links.MAX_REDIAL_SECONDS, self._notice_healed)

    def kill_instance(self, name: str) -> None:
        """Kill an instance; its peers notice at once, because its connections break.

        Args:
            name: The instance.
        """
        self.links.dead.add(name)
        victim = self.instances[name]
        for peer in self.instances.values():
            if peer is not victim and name in peer.up:
                self.clock.callLater(self.delay(peer.hall, victim.hall), peer.on_peer_down, victim)

    def _notice_cut(self, hall: str) -> None:
        for first in self.instances.values():
            for second in self.instances.values():
                is_across = (first.hall == hall) != (second.hall == hall)
                if is_across and self.links.is_cut(first.address, second.address):
                    first.on_peer_down(second)

    def _notice_healed(self) -> None:
        for first in self.instances.values():
            for second in self.instances.values():
                if first is second or second.name in first.up:
                    continue
                if not self.links.is_cut(first.address, second.address):
                    first.on_peer_up(second)

    def _ask_reports(self) -> None:
        for instance in self.instances.values():
            if instance.name not in self.links.dead:
                instance.report_targets()
        self.clock.callLater(REPORT_SECONDS, self._ask_reports)

    def _build_targets(self, has_stragglers: bool) -> catalog.Catalog:
        options = self.options
        times = self.plan.times
        shape = shapes.Shape(
            options.app,
            options.services,
            options.replicas,
            options.slots,
            options.connections,
            tuple(hall.name for hall in options.halls),
            options.placement == "paired",
        )
        service_times = target_model.ServiceTimes(
            times.median_ms / 1000,
            times.sigma,
            times.straggler_share if has_stragglers else 0.0,
            times.straggler_factor,
        )
        targets: dict[str, list[catalog.Target]] = {}
        for planned in shapes.plan_targets(shape):
            model = target_model.TargetModel(
                planned.name,
                self.clock,
                self.rng(f"target/{planned.name}"),
                options.slots,
                service_times,
                frozenset({FIRST}),
                options.queue_limit,
            )
            self.gates[planned.name] = fakes.TargetGate(model, options.connections)
            targets.setdefault(planned.service, []).append(
                catalog.Target(
                    planned.name,
                    planned.service,
                    planned.hall,
                    "",
                    0,
                    options.slots,
                    options.connections,
                )
            )
        services = {name: self._service(name, found) for name, found in targets.items()}
        return catalog.Catalog(1, "bench", services, (self._selector(),))

    def _service(self, name: str, targets: list[catalog.Target]) -> catalog.Service:
        layouts = {
            catalog.BASE_LAYOUT: (name,),
            SPLIT_LAYOUT: (f"{name}.0", f"{name}.1"),
        }
        return catalog.Service(name, {"app": self.options.app}, layouts, tuple(targets))

    def _selector(self) -> catalog.Selector:
        item = self.plan.policy
        policy = catalog.Policy(
            item.min_coverage,
            item.allows_partial,
            item.target_latency_ms / 1000,
            item.hedge_budget,
        )
        return catalog.Selector("all", {}, {"app": self.options.app}, policy)


def lie(report: replicas.StatusReport) -> replicas.StatusReport:
    """Make a report that claims an idle target holding a newer snapshot than it does.

    Args:
        report: The true report.

    Returns:
        The lie.
    """
    newest = max(report.holds, default=FIRST)
    claimed = report.holds | {catalog.Snapshot(newest.version + 1, newest.layout)}
    return replicas.StatusReport(report.incarnation, claimed, 0, 0, False, report.is_leaving)
