"""The targets known to one instance, their recent performance, and the choice between them.

A front keeps a record of every target that it sent requests to, directly or through a gatherer.
The replica of a shard is chosen by the recent latency of the targets and the round trip to their
halls.
"""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from lineworks.decisions import (
    catalog,
    cold_targets,
    estimators,
    hall_ways,
    mechanisms,
    replicas,
    routes,
)
from lineworks.forwarding import target_sightings, target_state

if TYPE_CHECKING:
    import random
    from collections.abc import Collection, Iterable, Mapping, Sequence

    from lineworks.decisions import target_view

LOCALITY_SLACK_SECONDS = 0.015
"""Seconds by which a target may be slower than the best one if choosing it saves a message to
another hall."""

LATENCY_WEIGHT = 0.25
"""Weight of one sample in the moving average of a target's latency."""

MAX_SAMPLE_FACTOR = 3.0
"""A latency sample is capped at this multiple of the known latency of its target. A single pause of
a quarter of a second says little about the next answer, while the average of a target that is
really slow still rises within a few samples."""

SERVICE_WEIGHT = 0.05
"""Weight of one sample in the moving average of a service's latency."""

ERROR_WEIGHT = 0.15
"""Weight of one outcome in the moving average of a target's failure rate."""

ERROR_PENALTY_SECONDS = 0.3
"""Seconds added to the estimate of a target whose requests all fail: about the time of one retry.
"""

STALL_FACTOR = 2.5
"""A target that makes no progress for this multiple of the usual service time counts as stalled."""

STALL_FLOOR_SECONDS = 0.04
"""Seconds without progress up to which a target never counts as stalled."""

ANSWER_TIME_FACTOR = 1.5
"""Multiple of the usual service time within which an answer is expected."""

COLD_PENALTY_SECONDS = 0.03
"""Seconds added to the estimate of a target that is cold."""


@dataclasses.dataclass(frozen=True, slots=True)
class BookChange:
    """The targets that an update of a `TargetBook` changed."""

    added: list[target_state.TargetState]
    """Targets that are new."""

    leaving: list[target_state.TargetState]
    """Targets that stopped accepting new work with this update."""

    gone: list[target_state.TargetState]
    """Targets that were removed."""

    ended: list[target_state.TargetState]
    """Removed targets whose identity now belongs to another process: their process has ended, and
    all its work with it."""


class TargetBook:
    """Keeps the state of all targets, by service, and chooses the targets of requests."""

    def __init__(
        self,
        hall: str,
        regions: Mapping[str, str],
        rng: random.Random,
        without: Collection[mechanisms.Mechanism] = (),
        cold: cold_targets.ColdAllowance | None = None,
    ) -> None:
        """Start without targets.

        Args:
            hall: Data hall of this instance.
            regions: Region of each hall.
            rng: Random numbers that break ties.
            without: Mechanisms that are switched off.
            cold: Limits the requests of this instance to cold targets; None allows none.
        """
        self.cold = cold or cold_targets.ColdAllowance("", cold_targets.ColdBound())
        """Limits the requests of this instance to cold targets."""
        self._knows_load = mechanisms.Mechanism.LOAD_REPORTS not in without
        self._avoids_slow = mechanisms.Mechanism.SLOW_AVOIDANCE not in without
        self.round_trips = hall_ways.HallRoundTrips(hall, regions)
        """Network round trips to the targets' halls."""
        self._rng = rng
        self._states: dict[str, target_state.TargetState] = {}
        # Whether any service limits the rate of requests to its cold targets.
        self._limits_cold = False
        self._by_service: dict[str, list[target_state.TargetState]] = {}
        self._service_times: dict[str, estimators.MovingAverage] = {}
        self.observations = target_sightings.TargetObservations(
            mechanisms.Mechanism.SHARED_EVIDENCE not in without
        )
        """Observations of slow targets by this instance and others."""

    def update(
        self,
        entries: Iterable[target_view.TargetEntry],
        services: Mapping[str, routes.ServiceSpec],
        evacuated: Collection[str] = (),
        now: float = 0.0,
    ) -> BookChange:
        """Replace the set of targets, keeping the state of those that remain.

        Args:
            entries: Entries of all targets.
            services: The configured services.
            evacuated: Data halls whose targets get no new work.
            now: The current time, in seconds.

        Returns:
            Targets that were added, started to leave, were removed, or have ended.
        """
        self._limits_cold = any(spec.cold_rate > 0 for spec in services.values())
        added: list[target_state.TargetState] = []
        leaving: list[target_state.TargetState] = []
        present: dict[str, target_state.TargetState] = {}
        by_service: dict[str, list[target_state.TargetState]] = {}
        for entry in entries:
            spec = services.get(entry.service)
            connections = spec.connections if spec is not None else 1
            state = self._states.get(entry.process_key)
            target = _target(entry, connections)
            if state is None:
                replica = replicas.make_replica(target)
                average = estimators.MovingAverage(LATENCY_WEIGHT)
                state = target_state.TargetState(
                    replica, average, estimators.MovingAverage(ERROR_WEIGHT), identity=entry.id
                )
                added.append(state)
            state.replica.target = target
            if entry.is_leaving and not state.replica.is_leaving:
                state.replica.is_leaving = True
                leaving.append(state)
            state.is_cold = entry.is_cold
            state.cold_rate = spec.cold_rate if spec is not None else 0.0
            if state.is_evacuated and spec is not None and entry.hall not in evacuated:
                # Targets of the hall may have turned cold meanwhile, and their entries may report
                # it only later, while all instances send requests to the hall again at once.
                state.assumed_cold_until = now + spec.cold_seconds
            state.is_evacuated = entry.hall in evacuated
            present[entry.process_key] = state
            by_service.setdefault(entry.service, []).append(state)
        gone = [state for name, state in self._states.items() if name not in present]
        again = {state.identity for state in added}
        ended = [state for state in gone if state.identity in again]
        for state in gone:
            state.replica.is_leaving = True
            self.cold.forget(state.id)
        self.observations.evidence.forget_absent(set(present))
        self._states = present
        self._by_service = by_service
        return BookChange(added, leaving, gone, ended)

    @property
    def states(self) -> Collection[target_state.TargetState]:
        """All targets."""
        return self._states.values()

    def usable(
        self,
        service: str,
        now: float,
        excluded: Collection[str],
        homes: Collection[str] = routes.ANY_REGION,
    ) -> list[target_state.TargetState]:
        """List the targets of a service that a request may be sent to now.

        Args:
            service: The service.
            now: The current time, in seconds.
            excluded: Identities of targets that were tried already.
            homes: Home regions of the request.

        Returns:
            Targets with spare capacity that are neither leaving nor backed off. Stalled targets
            are included only if there are no others.
        """
        candidates = self._with_capacity(service, now, excluded, homes)
        if self._limits_cold:
            candidates = [
                state for state in candidates if not state.is_cold_limited(now)
            ] or candidates
        if not self._avoids_slow:
            return candidates
        stall_seconds = self.stall_seconds(service)
        responsive = [
            state for state in candidates if not state.replica.is_stalled(now, stall_seconds)
        ]
        return responsive or candidates

    def _accepting_work(
        self, service: str, homes: Collection[str] = routes.ANY_REGION
    ) -> list[target_state.TargetState]:
        """List the targets that may get a request at all, now or once they have capacity.

        All choices go through this function. Where a caller had filtered on its own and forgotten
        the home regions, requests were sent outside them.
        """
        accepting = [
            state
            for state in self._by_service.get(service, ())
            if not (state.replica.is_leaving or state.is_evacuated)
        ]
        if homes:
            return [
                state
                for state in accepting
                if self.round_trips.is_in_home_region(state.hall, homes)
            ]
        return accepting

    def _with_capacity(
        self, service: str, now: float, excluded: Collection[str], homes: Collection[str]
    ) -> list[target_state.TargetState]:
        """List the targets with spare capacity that are not backed off, stalled or not."""
        candidates = []
        for state in self._accepting_work(service, homes):
            replica = state.replica
            has_capacity = replica.in_flight < replica.limit.value and replica.backoff_until <= now
            if has_capacity and replica.target.name not in excluded:
                candidates.append(state)
        if self._limits_cold:
            return [state for state in candidates if self._has_cold_allowance(state, now)]
        return candidates

    def _has_cold_allowance(self, state: target_state.TargetState, now: float) -> bool:
        is_cold_limited = state.is_cold_limited(now)
        return not is_cold_limited or self.cold.may_send(state.id, state.cold_rate, now)

    def is_full_in_hall(self, hall: str, service: str, now: float) -> bool:
        """Return whether waiting for capacity in a hall is of use: it has a healthy target.

        Capacity itself is not checked: a request that found none asks whether to wait for it.

        Args:
            hall: The hall.
            service: The service.
            now: The current time, in seconds.

        Returns:
            Whether the hall has a target of the service that is neither backed off, stalled nor
            limited because it is cold.
        """
        stall_seconds = self.stall_seconds(service)
        return any(
            state.hall == hall
            and state.replica.backoff_until <= now
            and not state.replica.is_stalled(now, stall_seconds)
            and not state.is_cold_limited(now)
            for state in self._accepting_work(service)
        )

    def find(self, target: str) -> target_state.TargetState | None:
        """Look up a target.

        Args:
            target: Identity of its process.

        Returns:
            Its state, or None if it is unknown or was removed.
        """
        return self._states.get(target)

    def has_target(self, service: str, homes: Collection[str] = routes.ANY_REGION) -> bool:
        """Return whether a service has a target in some home regions that accepts new work."""
        return bool(self._accepting_work(service, homes))

    def describe(self, service: str, now: float) -> str:
        """Describe why the targets of a service can't be sent requests, for logs and callers.

        Args:
            service: The service.
            now: The current time, in seconds.

        Returns:
            One clause for each target, with its name.
        """
        states = self._by_service.get(service, ())
        if not states:
            return "no target known"
        return ", ".join(
            f"{state.id} {target_state.unavailability(state, now)}" for state in states
        )

    def choose(
        self,
        service: str,
        now: float,
        excluded: Collection[str],
        homes: Collection[str] = routes.ANY_REGION,
    ) -> target_state.TargetState | None:
        """Choose the target of a service that is expected to answer first.

        Args:
            service: The service.
            now: The current time, in seconds.
            excluded: Identities of targets that were tried already.
            homes: Home regions of the request.

        Returns:
            The target, or None if no target is usable.
        """
        return self._fastest(self.usable(service, now, excluded, homes), now)

    def choose_among(
        self,
        service: str,
        now: float,
        wanted: Collection[str],
        homes: Collection[str] = routes.ANY_REGION,
    ) -> target_state.TargetState | None:
        """Choose one of the given targets of a service.

        Args:
            service: The service.
            now: The current time, in seconds.
            wanted: Identities of the targets.
            homes: Home regions of the request.

        Returns:
            The target that is expected to answer first, or None if none of them is usable.
        """
        candidates = [state for state in self.usable(service, now, (), homes) if state.id in wanted]
        return self._fastest(candidates, now)

    def choose_in_hall(
        self, hall: str, service: str, now: float, takes_stalled: bool
    ) -> target_state.TargetState | None:
        """Choose the target of a service in one hall that is expected to answer first.

        Args:
            hall: The hall.
            service: The service.
            now: The current time, in seconds.
            takes_stalled: Whether a stalled target may be chosen although another hall has one
                that is not stalled. A hedge is sent to this hall for a reason, while a first
                attempt is better sent to the other hall.

        Returns:
            The target, or None if no target in the hall is usable.
        """
        anywhere = routes.ANY_REGION
        found = (
            self._with_capacity(service, now, (), anywhere)
            if takes_stalled
            else self.usable(service, now, ())
        )
        here = [state for state in found if state.hall == hall]
        stall_seconds = self.stall_seconds(service)
        responsive = [state for state in here if not state.replica.is_stalled(now, stall_seconds)]
        return self._fastest(responsive or here, now)

    def _fastest(
        self, candidates: Sequence[target_state.TargetState], now: float
    ) -> target_state.TargetState | None:
        if not candidates:
            return None
        if len(candidates) == 1:
            return candidates[0]
        usual = self.service_time(candidates[0].replica.target.service)
        has_reports = self.observations.has_reports
        best, min_seconds, tie_break = candidates[0], math.inf, math.inf
        for state in candidates:
            expected_seconds, drawn = (
                self._estimate(state, now, usual, has_reports),
                self._rng.random(),
            )
            if expected_seconds < min_seconds or (
                expected_seconds == min_seconds and drawn < tie_break
            ):
                best, min_seconds, tie_break = state, expected_seconds, drawn
        return best

    def near_best(
        self,
        service: str,
        now: float,
        excluded: Collection[str],
        slack: float,
        homes: Collection[str] = routes.ANY_REGION,
    ) -> list[tuple[float, target_state.TargetState]]:
        """List the targets of a service that are expected to answer about as fast as the best.

        Args:
            service: The service.
            now: The current time, in seconds.
            excluded: Identities of targets that were tried already.
            slack: Seconds by which a target may be slower than the best one.
            homes: Home regions of the request.

        Returns:
            Targets within the slack, each with its expected response time in seconds.
        """
        usual = self.service_time(service)
        usable = self.usable(service, now, excluded, homes)
        has_reports = self.observations.has_reports
        candidates = [(self._estimate(state, now, usual, has_reports), state) for state in usable]
        best = min((seconds for seconds, _ in candidates), default=0.0)
        return [(seconds, state) for seconds, state in candidates if seconds <= best + slack]

    def min_seconds(self, state: target_state.TargetState) -> float:
        """Return the minimum response time of a target, round trip included, in seconds."""
        usual = self.service_time(state.replica.target.service)
        return usual / 2 + self.round_trips.round_trip(state.hall)

    def expected_seconds(self, state: target_state.TargetState, now: float) -> float:
        """Estimate how long a target takes to answer, round trip included.

        Args:
            state: The target.
            now: The current time, in seconds.

        Returns:
            Seconds.
        """
        usual = self.service_time(state.replica.target.service)
        return self._estimate(state, now, usual, self.observations.has_reports)

    def _estimate(
        self, state: target_state.TargetState, now: float, usual: float, has_reports: bool
    ) -> float:
        """Estimate the response time from values that callers look up once for all targets.

        A search over 135 shards calls this 405 to 1,215 times before anything is sent.
        """
        replica = state.replica
        target = replica.target
        weight = 0.5 ** ((now - state.last_outcome_at) / target_sightings.MEMORY_HALF_LIFE)
        expected_seconds = usual
        if self._avoids_slow:
            expected_seconds += (state.latency.value - usual) * weight
        if has_reports:
            reported = self.observations.reported_seconds(
                target.name, state.last_outcome_at, now, usual
            )
            expected_seconds = max(expected_seconds, reported)
        load = 0.0
        if self._knows_load:
            load = replica.load(now) if replica.foreign_load else replica.in_flight
        slots = target.slots
        if load + 1 > slots:
            expected_seconds += (load + 1 - slots) / slots * usual
        errors = state.errors.value
        if errors:
            expected_seconds += errors * weight * ERROR_PENALTY_SECONDS
        if state.is_cold:
            expected_seconds += COLD_PENALTY_SECONDS
        return expected_seconds + self.round_trips.cost(target.hall)

    def service_time(self, service: str) -> float:
        """Return the average latency of a service's targets, in seconds; 0 if unknown."""
        found = self._service_times.get(service)
        return found.value if found is not None else 0.0

    def usual_answer(self, services: Iterable[str]) -> float:
        """Return how long the slowest of some services usually takes to answer from another hall.

        Args:
            services: The services.

        Returns:
            Seconds, with the longest round trip to any hall; only that round trip while no
            latency of the services is known.
        """
        slowest = max((self.service_time(service) for service in services), default=0.0)
        return self.round_trips.longest + ANSWER_TIME_FACTOR * slowest

    def stall_seconds(self, service: str) -> float:
        """Return the seconds without progress after which a target of a service is stalled."""
        return max(STALL_FLOOR_SECONDS, STALL_FACTOR * self.service_time(service))

    def note_answer(self, state: target_state.TargetState, now: float, seconds: float) -> None:
        """Record a successful answer.

        Args:
            state: The target.
            now: The current time, in seconds.
            seconds: How long it took.
        """
        service = state.replica.target.service
        usual = self._service_times.get(service)
        if usual is None:
            usual = self._service_times[service] = estimators.MovingAverage(SERVICE_WEIGHT)
        self.observations.note_answer(state.id, now, seconds, usual.value)
        known = max(usual.value, state.latency.value)
        usual.record(seconds)
        # Samples of the service's average are not capped: hedges must leave time for pauses.
        state.latency.record(min(seconds, MAX_SAMPLE_FACTOR * known) if known else seconds)
        state.errors.record(0.0)
        state.last_outcome_at = now

    def note_failure(self, state: target_state.TargetState, now: float) -> None:
        """Record that a target failed, refused a request or lost its connection.

        Args:
            state: The target.
            now: The current time, in seconds.
        """
        state.errors.record(1.0)
        state.last_outcome_at = now

    def note_given_up(self, state: target_state.TargetState, now: float, seconds: float) -> None:
        """Record that a target had not answered when its request was given up.

        Args:
            state: The target.
            now: The current time, in seconds.
            seconds: Time since the request was sent.
        """
        usual = self.service_time(state.replica.target.service)
        self.observations.note_given_up(state.id, now, seconds, usual)
        if seconds > max(state.latency.value, usual):
            state.latency.record(seconds)
            state.last_outcome_at = now


def _target(entry: target_view.TargetEntry, connections: int) -> catalog.Target:
    return catalog.Target(
        name=entry.process_key,
        service=entry.service,
        hall=entry.hall,
        host=entry.host,
        port=entry.port,
        slots=entry.slots,
        connections=connections,
        is_leaving=entry.is_leaving,
    )
