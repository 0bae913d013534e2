"""Which replica of a service gets an attempt.

A gatherer keeps one `Replica` for each target that it owns. Its own observations (attempts in
flight, time since the last sign of progress) count in full; a target's own report counts less
the older it is, and never for more than a bounded load, so that a lie cannot draw or repel all
traffic.
"""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING, TypeAlias

from lineworks.decisions import limits, ownership

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from lineworks.decisions import catalog

REPORT_HALF_LIFE = 0.25
"""Seconds after which a load report counts half."""

FOREIGN_LOAD_CAP = 2.0
"""Load by other instances that a report can claim, as a multiple of the target's slots."""

DISBELIEF = 5.0
"""Seconds for which a snapshot that a target refused is not believed to be held by it."""

SUSPECT_AFTER = 2
"""Slow attempts in a row, without a reply between them, that make a replica suspect."""

SUSPECT_START = 0.1
"""Seconds that a suspect is passed over at first; doubled with each further loss."""

SUSPECT_CAP = 2.0
"""Seconds that a suspect is passed over at most before it is tried again."""

BACKOFF_START = 0.05
"""Seconds that a target is left alone after a first failure to connect."""

BACKOFF_CAP = 5.0
"""Seconds that a target is left alone at most."""


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What a target says of itself, in a reply or when asked."""

    incarnation: str
    """Identity of the target's process; another one means that it restarted."""

    holds: frozenset[catalog.Snapshot]
    """Snapshots that it can serve."""

    busy: int = 0
    """Slots in use."""

    queue: int = 0
    """Requests waiting for a slot."""

    is_cold: bool = False
    """Whether it has just started and asks for little work."""

    is_leaving: bool = False
    """Whether it takes no new work."""


@dataclasses.dataclass(slots=True)
class Replica:
    """A gatherer's view of one target."""

    target: catalog.Target
    """The configured target."""

    limit: limits.TargetLimit
    """Concurrent attempts allowed."""

    in_flight: int = 0
    """Own attempts under way."""

    foreign: float = 0.0
    """Load by others, by the last report."""

    reported_at: float = -math.inf
    """When the last report came."""

    holds: frozenset[catalog.Snapshot] = frozenset()
    """Snapshots held, by the last report."""

    incarnation: str = ""
    """Incarnation that the last report named."""

    is_leaving: bool = False
    """Whether this incarnation was ever said to be leaving; never unset for it."""

    is_cold: bool = False
    """Whether the last report asked for a ramp."""

    failures: int = 0
    """Failures in a row to reach the target."""

    rest_until: float = -math.inf
    """Time before which it is not tried again."""

    disbelieved: dict[catalog.Snapshot, float] = dataclasses.field(default_factory=dict)
    """Snapshots that the target claims and yet refused, each with the time until which."""

    progress_at: float = -math.inf
    """Last sign of progress: a reply, or the first attempt after an idle time."""

    losses: int = 0
    """Slow attempts given up since the target last replied."""

    suspect_until: float = -math.inf
    """Time before which other replicas are preferred, because of the losses."""

    def load(self, now: float) -> float:
        """Estimate the requests at the target.

        Args:
            now: The present, in seconds.

        Returns:
            Own attempts plus the aged load by others.
        """
        age = now - self.reported_at
        return self.in_flight + self.foreign * 0.5 ** (age / REPORT_HALF_LIFE)

    def is_stalled(self, now: float, patience: float) -> bool:
        """Say whether work is under way without any sign of progress.

        Args:
            now: The present, in seconds.
            patience: Seconds without progress that are still usual.

        Returns:
            True when the target looks stuck.
        """
        if self.suspect_until > now:
            return True
        return self.in_flight > 0 and now - self.progress_at > patience

    def on_started(self, now: float) -> None:
        """Note an attempt handed to the target.

        Args:
            now: The present, in seconds.
        """
        if self.in_flight == 0:
            self.progress_at = now
        self.in_flight += 1

    def on_ended(self, now: float, is_progress: bool) -> None:
        """Note that an attempt is over.

        Args:
            now: The present, in seconds.
            is_progress: Whether the target itself ended it.
        """
        self.in_flight -= 1
        if is_progress:
            self.progress_at = now
            self.failures = 0
            self.losses = 0
            self.suspect_until = -math.inf

    def on_lost_race(self, now: float) -> None:
        """Note that a slow attempt was given up, which hides a stall from `is_stalled`.

        Args:
            now: The present, in seconds.
        """
        self.losses += 1
        if self.losses >= SUSPECT_AFTER:
            pause = SUSPECT_START * 2 ** (self.losses - SUSPECT_AFTER)
            self.suspect_until = now + min(SUSPECT_CAP, pause)

    def on_unreachable(self, now: float, rng: random.Random) -> None:
        """Leave the target alone for a while, longer each time.

        Args:
            now: The present, in seconds.
            rng: Source of the jitter.
        """
        self.failures += 1
        rest = min(BACKOFF_CAP, BACKOFF_START * 2 ** min(self.failures, 10))
        self.rest_until = now + rest * (0.5 + rng.random() / 2)

    def on_snapshot_refused(self, now: float, snapshot: catalog.Snapshot) -> None:
        """Believe the target's refusal over its reports for a while.

        Args:
            now: The present, in seconds.
            snapshot: The snapshot that it refused, or did not answer from.
        """
        self.disbelieved[snapshot] = now + DISBELIEF
        self.holds = self.holds - {snapshot}

    def on_report(self, now: float, report: Report) -> None:
        """Take in what the target says of itself.

        Args:
            now: The present, in seconds.
            report: The report.
        """
        if report.incarnation != self.incarnation:
            self.is_leaving = self.target.is_leaving
            if self.incarnation:
                self.limit.restart_ramp()
            self.incarnation = report.incarnation
        if report.is_cold and not self.is_cold:
            self.limit.restart_ramp()
        self.is_cold = report.is_cold
        self.is_leaving = self.is_leaving or report.is_leaving
        self.disbelieved = {s: until for s, until in self.disbelieved.items() if until > now}
        self.holds = report.holds.difference(self.disbelieved)
        self._note_load(now, report.busy + report.queue)

    def on_load(self, now: float, incarnation: str, requests: int) -> None:
        """Take in what a target that tells nothing else says of its load.

        Args:
            now: The present, in seconds.
            incarnation: Identity of its process.
            requests: Those in work and those that wait.
        """
        if incarnation == self.incarnation:
            self._note_load(now, requests)
        else:
            self.on_report(now, Report(incarnation, frozenset(), requests))

    def _note_load(self, now: float, requests: int) -> None:
        claimed = max(0, requests - self.in_flight)
        self.foreign = min(float(claimed), FOREIGN_LOAD_CAP * self.target.slots)
        self.reported_at = now


def make_replica(target: catalog.Target) -> Replica:
    """Start the view of a target.

    Args:
        target: The configured target.

    Returns:
        A replica that holds nothing until its first report.
    """
    share = ownership.connection_share(target.connections)
    limit = limits.TargetLimit(target.slots, share)
    return Replica(target, limit, is_leaving=target.is_leaving)


Choice: TypeAlias = "Callable[[Sequence[Replica], float, random.Random], Replica]"
"""A rule that picks among replicas with room: (candidates, now, random source)."""


def choose_random(candidates: Sequence[Replica], now: float, rng: random.Random) -> Replica:
    """Pick any candidate.

    Args:
        candidates: Replicas with room; at least one.
        now: The present, in seconds.
        rng: Random source.

    Returns:
        The pick.
    """
    del now
    return candidates[int(rng.random() * len(candidates))]


def choose_least_loaded(candidates: Sequence[Replica], now: float, rng: random.Random) -> Replica:
    """Pick a candidate with the least estimated load, by chance among equals.

    Args:
        candidates: Replicas with room; at least one.
        now: The present, in seconds.
        rng: Random source.

    Returns:
        The pick.
    """
    if len(candidates) == 1:
        return candidates[0]
    return min(candidates, key=lambda replica: (replica.load(now), rng.random()))


def choose_own_in_flight(candidates: Sequence[Replica], now: float, rng: random.Random) -> Replica:
    """Pick a candidate with the fewest own attempts, ignoring reports.

    Args:
        candidates: Replicas with room; at least one.
        now: The present, in seconds.
        rng: Random source.

    Returns:
        The pick.
    """
    del now
    return min(candidates, key=lambda replica: (replica.in_flight, rng.random()))


def choose_two_random(candidates: Sequence[Replica], now: float, rng: random.Random) -> Replica:
    """Pick the less loaded of two candidates drawn by chance.

    Args:
        candidates: Replicas with room; at least one.
        now: The present, in seconds.
        rng: Random source.

    Returns:
        The pick.
    """
    if len(candidates) <= 2:
        return choose_least_loaded(candidates, now, rng)
    return choose_least_loaded(rng.sample(candidates, 2), now, rng)


def usable(
    replicas: Sequence[Replica],
    snapshot: catalog.Snapshot | None,
    now: float,
    patience: float | None,
) -> list[Replica]:
    """List the replicas that may get an attempt, never ejecting the last one.

    Args:
        replicas: All replicas of the service that this gatherer owns.
        snapshot: The pinned snapshot, or None when any will do.
        now: The present, in seconds.
        patience: Seconds without progress after which a replica counts as stalled, or None to
            pass over none.

    Returns:
        Replicas that hold the snapshot, are not leaving and are not resting; stalled ones are
        left out unless all are stalled.
    """
    able = [
        replica
        for replica in replicas
        if not replica.is_leaving
        and replica.rest_until <= now
        and (snapshot is None or snapshot in replica.holds)
    ]
    if patience is None or len(able) == 1:
        return able
    lively = [replica for replica in able if not replica.is_stalled(now, patience)]
    return lively or able
