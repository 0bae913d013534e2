"""Chooses the replica of a service that gets an attempt.

A gatherer keeps one `Replica` for each target that it owns. Its own observations (attempts in
flight, time since the last progress) count in full. The load that a target reports decays with age
and is capped, so that a wrong report can neither attract nor repel all traffic.
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
"""Half-life of the weight of a load report, in seconds."""

FOREIGN_LOAD_CAP = 2.0
"""Cap on the reported load by other instances, as a multiple of the target's slots."""

SNAPSHOT_REFUSAL_SECONDS = 5.0
"""Seconds for which a snapshot that a target refused counts as not held, whatever it reports."""

EJECT_AFTER_LOSSES = 2
"""Consecutive abandoned slow attempts, without a reply between them, after which a replica is
ejected."""

EJECTION_START_SECONDS = 0.1
"""Duration of the first ejection, in seconds; doubled with each further loss."""

EJECTION_CAP_SECONDS = 2.0
"""Maximum duration of an ejection, in seconds."""

BACKOFF_START_SECONDS = 0.05
"""Base of the backoff after failures to connect, in seconds; doubled with each failure."""

BACKOFF_CAP_SECONDS = 5.0
"""Maximum backoff, in seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class StatusReport:
    """Status that a target reports in a reply or on request."""

    incarnation: str
    """Identity of the target's process; it changes with each restart."""

    holds: frozenset[catalog.Snapshot]
    """Snapshots that it can serve."""

    busy: int = 0
    """Slots in use."""

    queue: int = 0
    """Requests waiting for a slot."""

    is_cold: bool = False
    """Whether it has just started and asks for reduced load."""

    is_leaving: bool = False
    """Whether it takes no new work."""


@dataclasses.dataclass(slots=True)
class Replica:
    """A gatherer's view of one target."""

    target: catalog.Target
    """The configured target."""

    limit: limits.TargetLimit
    """Limit on concurrent attempts."""

    in_flight: int = 0
    """Own attempts in flight."""

    foreign_load: float = 0.0
    """Requests of other instances at the target, from the last report."""

    reported_at: float = -math.inf
    """When the last report arrived, in seconds."""

    holds: frozenset[catalog.Snapshot] = frozenset()
    """Snapshots held, from the last report, without those recently refused."""

    incarnation: str = ""
    """Incarnation from the last report."""

    is_leaving: bool = False
    """Whether this incarnation was ever reported as leaving; sticky until the next incarnation."""

    is_cold: bool = False
    """Whether the last report asked for reduced load."""

    failures: int = 0
    """Consecutive failures to reach the target."""

    backoff_until: float = -math.inf
    """Time before which it is not tried again, in seconds."""

    refused_snapshots: dict[catalog.Snapshot, float] = dataclasses.field(default_factory=dict)
    """Snapshots that the target refused, each with the time until which it counts as not held."""

    progress_at: float = -math.inf
    """Time of the last progress, in seconds: a reply, or the first attempt after an idle period."""

    losses: int = 0
    """Slow attempts abandoned since the target last replied."""

    ejected_until: float = -math.inf
    """Time before which other replicas are preferred because of the losses, in seconds."""

    def load(self, now: float) -> float:
        """Estimate the number of requests at the target.

        Args:
            now: Current time in seconds.

        Returns:
            Own attempts plus the decayed load by others.
        """
        age = now - self.reported_at
        return self.in_flight + self.foreign_load * 0.5 ** (age / REPORT_HALF_LIFE)

    def is_stalled(self, now: float, stall_timeout: float) -> bool:
        """Return whether the target appears stuck.

        Args:
            now: Current time in seconds.
            stall_timeout: Seconds without progress after which a target with work in flight counts
                as stalled.

        Returns:
            True while the target is ejected, or has attempts in flight without recent progress.
        """
        if self.ejected_until > now:
            return True
        return self.in_flight > 0 and now - self.progress_at > stall_timeout

    def on_started(self, now: float) -> None:
        """Record the start of an attempt.

        Args:
            now: Current time in seconds.
        """
        if self.in_flight == 0:
            self.progress_at = now
        self.in_flight += 1

    def on_ended(self, now: float, is_progress: bool) -> None:
        """Record the end of an attempt.

        Args:
            now: Current time in seconds.
            is_progress: Whether the target itself completed it.
        """
        self.in_flight -= 1
        if is_progress:
            self.progress_at = now
            self.failures = 0
            self.losses = 0
            self.ejected_until = -math.inf

    def on_attempt_abandoned(self, now: float) -> None:
        """Record that a slow attempt was abandoned, and eject the replica after several in a row.

        Abandoned attempts are no longer in flight, which hides the stall from `is_stalled`.

        Args:
            now: Current time in seconds.
        """
        self.losses += 1
        if self.losses >= EJECT_AFTER_LOSSES:
            pause = EJECTION_START_SECONDS * 2 ** (self.losses - EJECT_AFTER_LOSSES)
            self.ejected_until = now + min(EJECTION_CAP_SECONDS, pause)

    def on_unreachable(self, now: float, rng: random.Random) -> None:
        """Record a failure to reach the target and back off exponentially, with jitter.

        Args:
            now: Current time in seconds.
            rng: Source of the jitter.
        """
        self.failures += 1
        rest = min(BACKOFF_CAP_SECONDS, BACKOFF_START_SECONDS * 2 ** min(self.failures, 10))
        self.backoff_until = now + rest * (0.5 + rng.random() / 2)

    def on_snapshot_refused(self, now: float, snapshot: catalog.Snapshot) -> None:
        """Let a refusal by the target override its reports for a while.

        Args:
            now: Current time in seconds.
            snapshot: Snapshot that it refused, or did not answer from.
        """
        self.refused_snapshots[snapshot] = now + SNAPSHOT_REFUSAL_SECONDS
        self.holds = self.holds - {snapshot}

    def on_report(self, now: float, report: StatusReport) -> None:
        """Apply a status report.

        Args:
            now: Current time in seconds.
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
        self.refused_snapshots = {
            s: until for s, until in self.refused_snapshots.items() if until > now
        }
        self.holds = report.holds.difference(self.refused_snapshots)
        self._note_load(now, report.busy + report.queue)

    def on_load(self, now: float, incarnation: str, requests: int) -> None:
        """Apply a load report from a target that reports nothing else.

        Args:
            now: Current time in seconds.
            incarnation: Identity of its process.
            requests: Number of requests running or queued.
        """
        if incarnation == self.incarnation:
            self._note_load(now, requests)
        else:
            self.on_report(now, StatusReport(incarnation, frozenset(), requests))

    def _note_load(self, now: float, requests: int) -> None:
        claimed = max(0, requests - self.in_flight)
        self.foreign_load = min(float(claimed), FOREIGN_LOAD_CAP * self.target.slots)
        self.reported_at = now


def make_replica(target: catalog.Target) -> Replica:
    """Create the view of a target.

    Args:
        target: The configured target.

    Returns:
        A replica that holds no snapshot until its first report.
    """
    share = ownership.connection_share(target.connections)
    limit = limits.TargetLimit(target.slots, share)
    return Replica(target, limit, is_leaving=target.is_leaving)


ChooseReplica: TypeAlias = "Callable[[Sequence[Replica], float, random.Random], Replica]"
"""Picks one of the replicas with spare capacity: (candidates, now, random source)."""


def choose_random(candidates: Sequence[Replica], now: float, rng: random.Random) -> Replica:
    """Pick a candidate at random.

    Args:
        candidates: Replicas with spare capacity; at least one.
        now: Current time in seconds.
        rng: Random source.

    Returns:
        The chosen replica.
    """
    del now
    return candidates[int(rng.random() * len(candidates))]


def choose_least_loaded(candidates: Sequence[Replica], now: float, rng: random.Random) -> Replica:
    """Pick the candidate with the least estimated load; ties are broken at random.

    Args:
        candidates: Replicas with spare capacity; at least one.
        now: Current time in seconds.
        rng: Random source.

    Returns:
        The chosen replica.
    """
    if len(candidates) == 1:
        return candidates[0]
    return min(candidates, key=lambda replica: (replica.load(now), rng.random()))


def choose_own_in_flight(candidates: Sequence[Replica], now: float, rng: random.Random) -> Replica:
    """Pick the candidate with the fewest own attempts in flight, ignoring reports.

    Args:
        candidates: Replicas with spare capacity; at least one.
        now: Current time in seconds.
        rng: Random source.

    Returns:
        The chosen replica.
    """
    del now
    return min(candidates, key=lambda replica: (replica.in_flight, rng.random()))


def choose_two_random(candidates: Sequence[Replica], now: float, rng: random.Random) -> Replica:
    """Pick the less loaded of two random candidates.

    Args:
        candidates: Replicas with spare capacity; at least one.
        now: Current time in seconds.
        rng: Random source.

    Returns:
        The chosen replica.
    """
    if len(candidates) <= 2:
        return choose_least_loaded(candidates, now, rng)
    return choose_least_loaded(rng.sample(candidates, 2), now, rng)


def usable(
    replicas: Sequence[Replica],
    snapshot: catalog.Snapshot | None,
    now: float,
    stall_timeout: float | None,
) -> list[Replica]:
    """Return the replicas that may get an attempt, never excluding the last one for a stall.

    Args:
        replicas: All replicas of the service that this gatherer owns.
        snapshot: Pinned snapshot, or None for any.
        now: Current time in seconds.
        stall_timeout: Seconds without progress after which a replica counts as stalled, or None to
            ignore stalls.

    Returns:
        Replicas that hold the snapshot, are not leaving and are not backing off. Stalled ones are
        excluded unless all are stalled.
    """
    eligible = [
        replica
        for replica in replicas
        if not replica.is_leaving
        and replica.backoff_until <= now
        and (snapshot is None or snapshot in replica.holds)
    ]
    if stall_timeout is None or len(eligible) == 1:
        return eligible
    responsive = [replica for replica in eligible if not replica.is_stalled(now, stall_timeout)]
    return responsive or eligible
