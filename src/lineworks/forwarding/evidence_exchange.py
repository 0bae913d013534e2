"""Collects the observations of slow targets in a data hall at one of its instances, the keeper.

A report is sent to the keeper only: one message rather than one to each instance of the hall, which
would be 233 messages at 2,100 instances. What the keeper concludes from several reports is called a
belief. Only beliefs are broadcast to the hall, which is rare. Any instance that receives reports
acts as keeper. How reports are weighed is decided in `lineworks.decisions.target_evidence`.
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
"""Seconds for which reports and beliefs are collected into one message."""

REPEAT_SECONDS = 1.0
"""Seconds before the same observation of a target is sent again."""

MAX_LOGGED_TARGETS = 6
"""Maximum number of targets that one log line lists."""

_log = structlog.get_logger(component="evidence")


class _Outbox:
    """Observations waiting to be sent, without those that were sent a short while ago."""

    def __init__(self) -> None:
        self._pending: dict[str, target_evidence.Observation] = {}
        self._sent: dict[str, tuple[target_evidence.Kind, float]] = {}

    @property
    def is_empty(self) -> bool:
        """Whether nothing is waiting."""
        return not self._pending

    def add(self, observation: target_evidence.Observation, now: float) -> bool:
        """Add an observation, and return whether it will be sent."""
        kind, at = self._sent.get(observation.target, (None, 0.0))
        if kind is observation.kind and now - at < REPEAT_SECONDS:
            return False
        self._sent[observation.target] = (observation.kind, now)
        self._pending[observation.target] = observation
        return True

    def take(self, now: float) -> tuple[target_evidence.Observation, ...]:
        """Remove and return the waiting observations, and forget those that may be sent again."""
        observations, self._pending = tuple(self._pending.values()), {}
        oldest = now - REPEAT_SECONDS
        self._sent = {target: sent for target, sent in self._sent.items() if sent[1] > oldest}
        return observations


class EvidenceExchange:
    """Sends one instance's reports, and collects those of others while it is the keeper."""

    def __init__(
        self,
        reactor: Any,
        name: str,
        hall: str,
        links: peer_links.PeerLinks,
        peers: gatherers.GathererClient,
        keeper: extra_keeper.ExtraKeeper,
        observations: target_sightings.TargetObservations,
    ) -> None:
        """Start without reports.

        Args:
            reactor: Twisted's reactor.
            name: Name of this instance.
            hall: Its data hall.
            links: Links to the other instances.
            peers: Knows which instances are available.
            keeper: Chooses the keeper of the hall.
            observations: Provides this instance's observations and stores beliefs.
        """
        self._reactor = reactor
        self._name = name
        self._hall = hall
        self._links = links
        self._peers = peers
        self._keeper = keeper
        self._evidence = observations.evidence
        self._reports = _Outbox()
        self._beliefs = _Outbox()
        self.counts: collections.Counter[str] = collections.Counter()
        """Reports sent to the keeper and weighed as keeper, beliefs sent and received."""
        observations.on_observation = self._on_observation
        links.handle(node_frames.TargetReports, self._on_reports)

    def _on_observation(self, observation: target_evidence.Observation) -> None:
        """Schedule a report of an observation by this instance."""
        was_empty = self._reports.is_empty
        if self._reports.add(observation, self._reactor.seconds()) and was_empty:
            self._reactor.callLater(BATCH_SECONDS, self._send_reports)

    def _send_reports(self) -> None:
        """Send the collected reports to the keeper, or weigh them here if it can't be reached."""
        now = self._reactor.seconds()
        observations = self._reports.take(now)
        keeper = self._keeper.choose()
        if keeper != self._name and self._links.send(
            keeper, node_frames.TargetReports(observations)
        ):
            self.counts["reported"] += len(observations)
        else:
            self._aggregate(observations, self._name, now)

    def _on_reports(self, link: Any, frame: node_frames.TargetReports) -> None:
        now = self._reactor.seconds()
        if not frame.is_belief:
            self._aggregate(frame.observations, link.hello.name, now)
            return
        self.counts["beliefs_taken_over"] += len(frame.observations)
        for observation in frame.observations:
            self._evidence.set_belief(observation, now)

    def _aggregate(
        self, observations: Iterable[target_evidence.Observation], origin: str, now: float
    ) -> None:
        """Weigh reports as keeper, and schedule a message to the hall for each change of belief."""
        for observation in observations:
            self.counts["weighed"] += 1
            if self._evidence.note(observation, origin, now):
                self._schedule_belief(observation, now)

    def _schedule_belief(self, observation: target_evidence.Observation, now: float) -> None:
        was_empty = self._beliefs.is_empty
        slowness = self._evidence.slowness(observation.target, now)
        if observation.kind is target_evidence.Kind.SLOW and slowness is not None:
            observation = target_evidence.Observation(
                observation.target, observation.kind, slowness.factor
            )
        if self._beliefs.add(observation, now) and was_empty:
            self._reactor.callLater(BATCH_SECONDS, self._send_beliefs)

    def _send_beliefs(self) -> None:
        observations = self._beliefs.take(self._reactor.seconds())
        frame = node_frames.TargetReports(observations, is_belief=True)
        peers = self._peers.available_peers(self._hall)
        for peer in peers:
            self._links.send(peer, frame)
        self.counts["beliefs_told"] += len(observations)
        named = [
            f"{one.target} {one.kind.name.lower()}" for one in observations[:MAX_LOGGED_TARGETS]
        ]
        _log.info("targets_believed", count=len(observations), targets=named, told=len(peers))
