"""Gathers what the instances of a data hall saw of slow targets at one of them, the keeper.

A report goes to the keeper only, one message in place of one to each instance of the hall, which
would be 233 at 2,100 instances. The keeper tells the hall what it makes of several reports, which
is rare. Whoever is sent reports acts as keeper. What reports are worth is decided in
`lineworks.decisions.target_evidence`.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Any

import structlog

from lineworks.decisions import target_evidence
from lineworks.wire import node_frames

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lineworks.forwarding import extra_keeper, gatherers, target_sightings
    from lineworks.services import peer_links

BATCH_SECONDS = 0.05
"""Seconds for which reports and beliefs are gathered before they go out in one message."""

REPEAT_SECONDS = 1.0
"""Seconds before the same is told again of a target."""

MOST_NAMED = 6
"""Targets that a log line names at most."""

_log = structlog.get_logger(component="evidence")


class _Outbox:
    """Sightings that wait to be told; the same is told once in a while."""

    def __init__(self) -> None:
        self._news: dict[str, target_evidence.Sighting] = {}
        self._told: dict[str, tuple[target_evidence.Kind, float]] = {}

    @property
    def is_empty(self) -> bool:
        """Whether nothing waits."""
        return not self._news

    def add(self, sighting: target_evidence.Sighting, now: float) -> bool:
        """Take in a sighting; say whether it will be told."""
        kind, at = self._told.get(sighting.target, (None, 0.0))
        if kind is sighting.kind and now - at < REPEAT_SECONDS:
            return False
        self._told[sighting.target] = (sighting.kind, now)
        self._news[sighting.target] = sighting
        return True

    def take(self, now: float) -> tuple[target_evidence.Sighting, ...]:
        """Take out all that waits, and forget what was told long ago."""
        news, self._news = tuple(self._news.values()), {}
        oldest = now - REPEAT_SECONDS
        self._told = {target: told for target, told in self._told.items() if told[1] > oldest}
        return news


class EvidenceExchange:
    """The reports of one instance, and those that it gathers as keeper."""

    def __init__(
        self,
        reactor: Any,
        name: str,
        hall: str,
        links: peer_links.PeerLinks,
        peers: gatherers.Gatherers,
        keeper: extra_keeper.ExtraKeeper,
        sightings: target_sightings.TargetSightings,
    ) -> None:
        """Start with nothing to tell.

        Args:
            reactor: Twisted's reactor.
            name: Name of this instance.
            hall: Its data hall.
            links: Links to the other instances.
            peers: Tells which of them are heard of.
            keeper: Names the keeper of the hall.
            sightings: Takes what is believed, and tells what this instance sees.
        """
        self._reactor = reactor
        self._name = name
        self._hall = hall
        self._links = links
        self._peers = peers
        self._keeper = keeper
        self._evidence = sightings.evidence
        self._reports = _Outbox()
        self._beliefs = _Outbox()
        self.counts: collections.Counter[str] = collections.Counter()
        """Reports sent to the keeper and taken in as keeper, beliefs told and taken over."""
        sightings.on_sighting = self._on_sighting
        links.handle(node_frames.TargetReports, self._on_reports)

    def _on_sighting(self, sighting: target_evidence.Sighting) -> None:
        """Note what this instance saw of a target, to tell it soon."""
        was_empty = self._reports.is_empty
        if self._reports.add(sighting, self._reactor.seconds()) and was_empty:
            self._reactor.callLater(BATCH_SECONDS, self._send_reports)

    def _send_reports(self) -> None:
        """Tell the keeper what was seen."""
        now = self._reactor.seconds()
        news = self._reports.take(now)
        keeper = self._keeper.choose()
        if keeper != self._name and self._links.send(keeper, node_frames.TargetReports(news)):
            self.counts["reported"] += len(news)
        else:
            self._aggregate(news, self._name, now)

    def _on_reports(self, link: Any, frame: node_frames.TargetReports) -> None:
        now = self._reactor.seconds()
        if not frame.is_belief:
            self._aggregate(frame.sightings, link.hello.name, now)
            return
        self.counts["beliefs_taken_over"] += len(frame.sightings)
        for sighting in frame.sightings:
            self._evidence.believe(sighting, now)

    def _aggregate(
        self, sightings: Iterable[target_evidence.Sighting], origin: str, now: float
    ) -> None:
        """Take in reports as keeper, and tell the hall soon what they change."""
        for sighting in sightings:
            self.counts["weighed"] += 1
            if self._evidence.note(sighting, origin, now):
                self._schedule_belief(sighting, now)

    def _schedule_belief(self, sighting: target_evidence.Sighting, now: float) -> None:
        was_empty = self._beliefs.is_empty
        believed = self._evidence.slowness(sighting.target, now)
        if sighting.kind is target_evidence.Kind.SLOW and believed is not None:
            sighting = target_evidence.Sighting(sighting.target, sighting.kind, believed.factor)
        if self._beliefs.add(sighting, now) and was_empty:
            self._reactor.callLater(BATCH_SECONDS, self._send_beliefs)

    def _send_beliefs(self) -> None:
        news = self._beliefs.take(self._reactor.seconds())
        frame = node_frames.TargetReports(news, is_belief=True)
        peers = self._peers.able(self._hall)
        for peer in peers:
            self._links.send(peer, frame)
        self.counts["beliefs_told"] += len(news)
        named = [f"{one.target} {one.kind.name.lower()}" for one in news[:MOST_NAMED]]
        _log.info("targets_believed", count=len(news), targets=named, told=len(peers))
