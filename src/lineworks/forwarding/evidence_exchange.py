"""Tells the instances of the own data hall which targets were slow, well again or gone.

What was seen within `TELL_SECONDS` goes out in one message. What such reports are worth is decided
in `lineworks.decisions.target_evidence`.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Any

from lineworks.wire import node_frames

if TYPE_CHECKING:
    from lineworks.decisions import target_evidence
    from lineworks.forwarding import gatherers, target_sightings
    from lineworks.services import peer_links

TELL_SECONDS = 0.05
"""Seconds for which reports are gathered: a search finds its slow targets within that time, and
each message costs one to every instance of the hall."""


RETELL_SECONDS = 1.0
"""Seconds before the same is told again of a target."""


class EvidenceExchange:
    """The reports of one instance, and those that it is told."""

    def __init__(
        self,
        reactor: Any,
        hall: str,
        links: peer_links.PeerLinks,
        peers: gatherers.Gatherers,
        sightings: target_sightings.TargetSightings,
    ) -> None:
        """Start with nothing to tell.

        Args:
            reactor: Twisted's reactor.
            hall: Data hall of this instance.
            links: Links to the other instances.
            peers: Tells which of them are heard of.
            sightings: Takes what others saw, and tells what this instance sees.
        """
        self._reactor = reactor
        self._hall = hall
        self._links = links
        self._peers = peers
        self._evidence = sightings.evidence
        self._news: dict[str, target_evidence.Sighting] = {}
        self._told: dict[tuple[str, target_evidence.Kind], float] = {}
        self.counts: collections.Counter[str] = collections.Counter()
        """Messages sent and taken in."""
        sightings.on_sighting = self._on_sighting
        links.handle(node_frames.TargetReports, self._on_reports)

    def _on_sighting(self, sighting: target_evidence.Sighting) -> None:
        """Note what this instance saw of a target, to tell it soon."""
        now = self._reactor.seconds()
        told = (sighting.target, sighting.kind)
        if now - self._told.get(told, -RETELL_SECONDS) < RETELL_SECONDS:
            return
        self._told[told] = now
        if not self._news:
            self._reactor.callLater(TELL_SECONDS, self._tell)
        self._news[sighting.target] = sighting

    def _tell(self) -> None:
        news, self._news = self._news, {}
        oldest = self._reactor.seconds() - RETELL_SECONDS
        self._told = {told: at for told, at in self._told.items() if at > oldest}
        frame = node_frames.TargetReports(tuple(news.values()))
        for peer in self._peers.able(self._hall):
            self._links.send(peer, frame)
            self.counts["sent"] += 1

    def _on_reports(self, link: Any, frame: node_frames.TargetReports) -> None:
        self.counts["taken_in"] += 1
        now = self._reactor.seconds()
        for sighting in frame.sightings:
            self._evidence.note(sighting, link.hello.name, now)
