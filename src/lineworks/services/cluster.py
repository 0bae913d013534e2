"""Ties the query engine to this instance's links, targets, members and configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from lineworks.decisions import catalog
from lineworks.engine import front, gatherer, messages, views
from lineworks.kernel import task
from lineworks.wire import frames

if TYPE_CHECKING:
    import random

    from lineworks.decisions import replicas
    from lineworks.models import settings
    from lineworks.platform import store_era
    from lineworks.services import (
        config_keeper,
        membership,
        peer_link,
        peer_links,
        target_pool,
        traces,
    )

DEFAULT_DELAY = 0.010
"""One-way seconds to a hall for which the settings name no delay."""

OWN_HALL_DELAY = 0.0005
"""One-way seconds to another instance of the own hall."""

REPORT_SECONDS = 1.0
"""Seconds after which a target that sent no report is asked for one."""

REPORT_TICK = 0.1
"""Seconds between looks for targets to ask."""

REPORTS_PER_TICK = 5
"""Targets asked at one look at most, so that asking costs a bounded share of the processor."""


class Cluster:
    """The front and the gatherer of this instance, connected."""

    def __init__(
        self,
        reactor: Any,
        rng: random.Random,
        options: settings.Settings,
        links: peer_links.PeerLinks,
        pool: target_pool.TargetPool,
        keeper: config_keeper.ConfigKeeper,
        members: membership.Membership,
        timelines: traces.Traces,
        era: store_era.StoreEra,
    ) -> None:
        """Connect the engine.

        Args:
            reactor: Twisted's reactor.
            rng: Random source of the decisions.
            options: Settings of this instance.
            links: Links to peers.
            pool: Connections to targets.
            keeper: The configuration in force.
            members: The live instances.
            timelines: Takes the steps of queries.
            era: Which era the platform's store is in; instances tell each other.
        """
        self._reactor = reactor
        self._name = options.name
        self._links = links
        self._pool = pool
        self._keeper = keeper
        self._store_era = era
        self._members = members
        self._is_gatherer = "gather" in options.roles
        self._delays = {hall: ms / 1000 for hall, ms in options.hall_delay_ms.items()}
        self._hall = options.hall
        self._incarnations: dict[str, str] = {}
        self._pending: dict[str, list[messages.ShardReply]] = {}
        self._task = task.Task("cluster", self._ask_reports)
        self._asked: dict[str, float] = {}
        self._is_holdings_due = False
        self.view = views.ClusterView(options.name, options.hall, self._delay)
        self.gatherer = gatherer.Gatherer(reactor, rng, pool, on_trace=timelines.note)
        self.front = front.Front(
            options.name, reactor, rng, self, self.view, on_trace=timelines.note
        )
        self.gatherer.on_holdings_changed = self._on_holdings_changed
        self._connect()

    def _connect(self) -> None:
        links = self._links
        links.handle(frames.Heartbeat, self._on_heartbeat)
        links.handle(frames.Replies, self._on_replies)
        links.handle(frames.Holdings, self._on_holdings)
        links.handle(messages.SubQueries, self._on_sub_queries)
        links.handle(messages.Cancel, self._on_cancel)
        links.on_up.append(self._on_up)
        links.on_down.append(self._on_down)
        links.make_heartbeat = self._make_heartbeat
        self._store_era.listeners.append(lambda: links.broadcast(self._make_heartbeat()))
        self._keeper.listeners.append(self._on_config)
        self._members.listeners.append(self._on_members)

    def start(self) -> None:
        """Begin to ask targets for their reports."""
        self._task.start()

    def stop(self) -> None:
        """Stop asking."""
        self._task.stop()

    def send(self, instance: str, request: messages.Request) -> bool:
        """Carry a message to a gatherer, this instance's own or a peer's.

        Args:
            instance: Name of the gatherer's instance.
            request: The message.

        Returns:
            False when there is no link to it.
        """
        if instance != self._name:
            return self._links.send(instance, request)
        # The own gatherer is called later, so that the front is never entered again from inside.
        self._reactor.callLater(0, self._hand_to_own, request)
        return True

    def _hand_to_own(self, request: messages.Request) -> None:
        if isinstance(request, messages.SubQueries):
            self.gatherer.on_sub_queries("", request, self._reply_to_own)
        else:
            self.gatherer.on_cancel("", request)

    def _reply_to_own(self, reply: messages.ShardReply) -> None:
        self.front.on_reply(self._name, reply)

    def _delay(self, hall: str) -> float:
        if hall == self._hall:
            return OWN_HALL_DELAY
        return self._delays.get(hall, DEFAULT_DELAY)

    def _make_heartbeat(self) -> frames.Heartbeat:
        return frames.Heartbeat(
            self._members.is_leaving,
            self._keeper.version,
            self._keeper.digest,
            store_era=self._store_era.value,
        )

    def _on_heartbeat(self, link: peer_link.PeerLink, frame: frames.Heartbeat) -> None:
        assert link.hello is not None
        name = link.hello.name
        self._store_era.learn(frame.store_era)
        self._members.on_heartbeat(name, frame.is_leaving)
        self._keeper.on_heartbeat(name, frame.config_version, frame.config_digest)

    def _on_up(self, hello: frames.Hello) -> None:
        self._incarnations[hello.name] = hello.incarnation
        if self._is_gatherer:
            self._links.send(hello.name, frames.Holdings(self.gatherer.holdings()))

    def _on_down(self, name: str) -> None:
        self.view.drop_holdings(name)
        self.front.on_link_lost(name)
        incarnation = self._incarnations.pop(name, None)
        if incarnation is not None:
            self.gatherer.on_origin_lost(incarnation)

    def _on_replies(self, link: peer_link.PeerLink, frame: frames.Replies) -> None:
        assert link.hello is not None
        for reply in frame.replies:
            self.front.on_reply(link.hello.name, reply)

    def _on_holdings(self, link: peer_link.PeerLink, frame: frames.Holdings) -> None:
        assert link.hello is not None
        self.view.set_holdings(link.hello.name, frame.held)

    def _on_sub_queries(self, link: peer_link.PeerLink, frame: messages.SubQueries) -> None:
        assert link.hello is not None
        name = link.hello.name
        self.gatherer.on_sub_queries(
            link.hello.incarnation, frame, lambda reply: self._reply_to_peer(name, reply)
        )

    def _on_cancel(self, link: peer_link.PeerLink, frame: messages.Cancel) -> None:
        assert link.hello is not None
        self.gatherer.on_cancel(link.hello.incarnation, frame)

    def _reply_to_peer(self, name: str, reply: messages.ShardReply) -> None:
        """Batch the replies of one turn of the reactor into one frame."""
        batch = self._pending.get(name)
        if batch is None:
            self._pending[name] = [reply]
            self._reactor.callLater(0, self._flush, name)
        else:
            batch.append(reply)

    def _flush(self, name: str) -> None:
        batch = self._pending.pop(name, None)
        if batch:
            self._links.send(name, frames.Replies(tuple(batch)))

    def _on_config(self, config: catalog.Catalog, weights: dict[str, float]) -> None:
        self.view.set_config(config, weights)
        self._own()

    def _on_members(self, live: dict[str, str]) -> None:
        self.view.set_members(live)
        self.front.on_members_changed()
        self._own()

    def _own(self) -> None:
        if self._is_gatherer:
            self.gatherer.set_targets(self.view.owned_targets())
            self._reactor.callLater(0, self._ask_some)

    def _on_holdings_changed(self) -> None:
        """Tell the own front at once, and all peers once in this turn of the reactor."""
        self.view.set_holdings(self._name, self.gatherer.holdings())
        if not self._is_holdings_due:
            self._is_holdings_due = True
            self._reactor.callLater(0, self._spread_holdings)

    def _spread_holdings(self) -> None:
        self._is_holdings_due = False
        self._links.broadcast(frames.Holdings(self.gatherer.holdings()))

    async def _ask_reports(self) -> None:
        while True:
            self._ask_some()
            await task.sleep(self._reactor, REPORT_TICK)

    def _ask_some(self) -> None:
        """Ask targets that told nothing lately: new ones all at once, others a few at a time."""
        now = self._reactor.seconds()
        owned_replicas = list(self.gatherer.owned_replicas)
        unknown = [
            r for r in owned_replicas if not r.incarnation and r.target.name not in self._asked
        ]
        due = [r for r in owned_replicas if now - self._heard_or_asked(r) >= REPORT_SECONDS]
        due.sort(key=self._heard_or_asked)
        for replica in unknown or due[:REPORTS_PER_TICK]:
            self._asked[replica.target.name] = now
            asked = self._pool.request_report(replica.target)
            asked.addCallback(self._on_report, replica.target.name)

    def _heard_or_asked(self, replica: replicas.Replica) -> float:
        return max(replica.reported_at, self._asked.get(replica.target.name, 0.0))

    def _on_report(self, report: Any, target: str) -> None:
        if report is not None:
            self.gatherer.on_report(target, report)
