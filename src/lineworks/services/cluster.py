"""Connects the query engine to this instance's links, targets, members and configuration."""

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

DEFAULT_DELAY_SECONDS = 0.010
"""One-way network delay, in seconds, to a hall for which the settings give no delay."""

SAME_HALL_DELAY_SECONDS = 0.0005
"""One-way network delay, in seconds, to another instance of the same hall."""

REPORT_INTERVAL_SECONDS = 1.0
"""Seconds without a report after which one is requested from a target."""

REPORT_POLL_SECONDS = 0.1
"""Seconds between checks for targets whose reports are due."""

MAX_REPORTS_PER_POLL = 5
"""Maximum number of targets with a known state from which a report is requested at each check.

This bounds the share of the processor that the requests take.
"""


class QueryEngine:
    """The front and the gatherer of this instance, with their connections."""

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
        """Initialise the front and the gatherer, and connect them.

        Args:
            reactor: Twisted's reactor.
            rng: Random number generator for the front and the gatherer.
            options: Settings of this instance.
            links: Links to peers.
            pool: Connections to targets.
            keeper: The configuration in force.
            members: The live instances.
            timelines: Records the events of queries.
            era: Era of the platform's store, which instances also exchange in heartbeats.
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
        self._pending_replies: dict[peer_link.PeerLink, list[messages.ShardReply]] = {}
        self._task = task.Task("cluster", self._poll_reports)
        self._report_requested_at: dict[str, float] = {}
        self._is_broadcast_scheduled = False
        self.view = views.ClusterView(options.name, options.hall, self._one_way_delay)
        self.gatherer = gatherer.Gatherer(reactor, rng, pool, on_trace=timelines.record)
        self.front = front.Front(
            options.name, reactor, rng, self, self.view, on_trace=timelines.record
        )
        self.gatherer.on_holdings_changed = self._on_holdings_changed
        self._register_handlers()

    def _register_handlers(self) -> None:
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
        """Start requesting reports from targets."""
        self._task.start()

    def stop(self) -> None:
        """Stop requesting reports from targets."""
        self._task.stop()

    def send(self, instance: str, request: messages.Request) -> bool:
        """Send a message to the gatherer of this instance or of a peer.

        Args:
            instance: Name of the gatherer's instance.
            request: The message.

        Returns:
            Whether the message was sent; False if there is no link to the instance.
        """
        if instance != self._name:
            return self._links.send(instance, request)
        # The local gatherer is called in a later reactor iteration, so that its replies never
        # re-enter the front while the front is sending.
        self._reactor.callLater(0, self._deliver_locally, request)
        return True

    def _deliver_locally(self, request: messages.Request) -> None:
        if isinstance(request, messages.SubQueries):
            self.gatherer.on_sub_queries("", request, self._reply_locally)
        else:
            self.gatherer.on_cancel("", request)

    def _reply_locally(self, reply: messages.ShardReply) -> None:
        self.front.on_reply(self._name, reply)

    def _one_way_delay(self, hall: str) -> float:
        if hall == self._hall:
            return SAME_HALL_DELAY_SECONDS
        return self._delays.get(hall, DEFAULT_DELAY_SECONDS)

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
        self.gatherer.on_sub_queries(
            link.hello.incarnation, frame, lambda reply: self._reply_over(link, reply)
        )

    def _on_cancel(self, link: peer_link.PeerLink, frame: messages.Cancel) -> None:
        assert link.hello is not None
        self.gatherer.on_cancel(link.hello.incarnation, frame)

    def _reply_over(self, link: peer_link.PeerLink, reply: messages.ShardReply) -> None:
        """Queue a reply; all replies over a link in one reactor iteration form one frame.

        A reply goes over the link that the frame came on: a later life of the same instance numbers
        its frames anew, and would take the reply for that of another query.
        """
        batch = self._pending_replies.get(link)
        if batch is None:
            self._pending_replies[link] = [reply]
            self._reactor.callLater(0, self._flush_replies, link)
        else:
            batch.append(reply)

    def _flush_replies(self, link: peer_link.PeerLink) -> None:
        link.send(frames.Replies(tuple(self._pending_replies.pop(link))))

    def _on_config(self, config: catalog.Catalog, weights: dict[str, float]) -> None:
        self.view.set_config(config, weights)
        self._update_ownership()

    def _on_members(self, live: dict[str, str]) -> None:
        self.view.set_members(live)
        self.front.on_members_changed()
        self._update_ownership()

    def _update_ownership(self) -> None:
        if self._is_gatherer:
            self.gatherer.set_targets(self.view.owned_targets())
            self._reactor.callLater(0, self._request_due_reports)

    def _on_holdings_changed(self) -> None:
        """Update the local front at once, and all peers at most once per reactor iteration."""
        self.view.set_holdings(self._name, self.gatherer.holdings())
        if not self._is_broadcast_scheduled:
            self._is_broadcast_scheduled = True
            self._reactor.callLater(0, self._broadcast_holdings)

    def _broadcast_holdings(self) -> None:
        self._is_broadcast_scheduled = False
        self._links.broadcast(frames.Holdings(self.gatherer.holdings()))

    async def _poll_reports(self) -> None:
        while True:
            self._request_due_reports()
            await task.sleep(self._reactor, REPORT_POLL_SECONDS)

    def _request_due_reports(self) -> None:
        """Request reports from the targets whose reports are due.

        All new targets get a request at once. While there are none, the other targets get one in
        the order of their last report or request, at most `MAX_REPORTS_PER_POLL` at a time.
        """
        now = self._reactor.seconds()
        owned_replicas = list(self.gatherer.owned_replicas)
        new_replicas = [
            r
            for r in owned_replicas
            if not r.incarnation and r.target.name not in self._report_requested_at
        ]
        due = [
            r
            for r in owned_replicas
            if now - self._last_report_or_request(r) >= REPORT_INTERVAL_SECONDS
        ]
        due.sort(key=self._last_report_or_request)
        for replica in new_replicas or due[:MAX_REPORTS_PER_POLL]:
            self._report_requested_at[replica.target.name] = now
            pending_report = self._pool.request_report(replica.target)
            pending_report.addCallback(self._on_report, replica.target.name)

    def _last_report_or_request(self, replica: replicas.Replica) -> float:
        return max(replica.reported_at, self._report_requested_at.get(replica.target.name, 0.0))

    def _on_report(self, report: Any, target: str) -> None:
        if report is not None:
            self.gatherer.on_report(target, report)
