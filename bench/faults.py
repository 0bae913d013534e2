"""Puts a scenario's faults on the time line."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from bench import cluster as clusters
from lineworks.decisions import catalog, replicas

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from bench import fakes, scenario

COLD_SECONDS = 2.0
"""Seconds for which a target is slow after a start or a new index."""

STAGGER = 0.5
"""Seconds over which targets load a new index one after another."""

OVERLAP = 1.5
"""Seconds for which targets hold the old and the new index."""

REPORT_LAG = 5.0
"""Seconds by which reports lag."""


def schedule(cluster: clusters.Cluster, planned: Sequence[scenario.Fault]) -> None:
    """Schedule all faults.

    Args:
        cluster: The cluster.
        planned: The faults.
    """
    for number, fault in enumerate(planned):
        rng = cluster.rng(f"fault/{number}")
        begin = functools.partial(_KINDS[fault.kind], cluster, fault, rng)
        cluster.clock.callLater(fault.at, begin)


def _target(
    cluster: clusters.Cluster, fault: scenario.Fault, rng: random.Random
) -> fakes.TargetGate:
    name = fault.target or rng.choice(sorted(cluster.gates))
    return cluster.gates[name]


def _hall(cluster: clusters.Cluster, fault: scenario.Fault, rng: random.Random) -> str:
    return fault.hall or rng.choice([hall.name for hall in cluster.options.halls])


def _stall(cluster: clusters.Cluster, fault: scenario.Fault, rng: random.Random) -> None:
    _target(cluster, fault, rng).model.stall(fault.seconds)


def _stall_in_turns(cluster: clusters.Cluster, fault: scenario.Fault, rng: random.Random) -> None:
    """Stall one replica after another, for a quarter second each."""
    turn = 0.25
    for number in range(int(fault.seconds / turn)):
        gate = cluster.gates[rng.choice(sorted(cluster.gates))]
        cluster.clock.callLater(number * turn, gate.model.stall, turn)


def _lose_target(cluster: clusters.Cluster, fault: scenario.Fault, rng: random.Random) -> None:
    _lose(cluster, _target(cluster, fault, rng), fault.seconds)


def _lose_rack(cluster: clusters.Cluster, fault: scenario.Fault, rng: random.Random) -> None:
    """Lose a share of a hall's targets; at most one replica of a service, as racks are laid out."""
    hall = _hall(cluster, fault, rng)
    there = [
        target
        for service in cluster.config.services.values()
        for target in service.targets[:1]
        if target.hall == hall
    ]
    everything = sum(
        target.hall == hall
        for service in cluster.config.services.values()
        for target in service.targets
    )
    for target in there[: max(1, round(everything * fault.share))]:
        _lose(cluster, cluster.gates[target.name], fault.seconds)


def _lose(cluster: clusters.Cluster, gate: fakes.TargetGate, seconds: float) -> None:
    gate.go_down()
    cluster.clock.callLater(seconds, gate.model.come_up, COLD_SECONDS)


def _leave(cluster: clusters.Cluster, fault: scenario.Fault, rng: random.Random) -> None:
    _target(cluster, fault, rng).model.leave()


def _cold_start(cluster: clusters.Cluster, fault: scenario.Fault, rng: random.Random) -> None:
    del rng
    for gate in cluster.gates.values():
        gate.model.warm_up(fault.seconds)


def _reversion(cluster: clusters.Cluster, fault: scenario.Fault, rng: random.Random) -> None:
    _replace_snapshot(cluster, rng, catalog.BASE_LAYOUT)


def _repartition(cluster: clusters.Cluster, fault: scenario.Fault, rng: random.Random) -> None:
    _replace_snapshot(cluster, rng, clusters.SPLIT_LAYOUT)


def _replace_snapshot(cluster: clusters.Cluster, rng: random.Random, layout: str) -> None:
    """Load a new index at every target, one after another, then drop the old one."""
    for gate in cluster.gates.values():
        model = gate.model
        old = max(model.holds)
        new = catalog.Snapshot(old.version + 1, layout)
        load_at = rng.random() * STAGGER
        drop_at = load_at + OVERLAP
        cluster.clock.callLater(load_at, _hold, gate, frozenset({old, new}))
        cluster.clock.callLater(drop_at, _hold, gate, frozenset({new}))


def _hold(gate: fakes.TargetGate, held: frozenset[catalog.Snapshot]) -> None:
    gate.model.holds = held
    gate.model.warm_up(COLD_SECONDS / 4)


def _reports_lag(cluster: clusters.Cluster, fault: scenario.Fault, rng: random.Random) -> None:
    del rng
    for gate in cluster.gates.values():
        gate.model.report_override = _make_lag(cluster)
        cluster.clock.callLater(fault.seconds, _tell_truth, gate)


def _make_lag(
    cluster: clusters.Cluster,
) -> Callable[[replicas.StatusReport], replicas.StatusReport]:
    seen: list[tuple[float, replicas.StatusReport]] = []

    def lag(report: replicas.StatusReport) -> replicas.StatusReport:
        now = cluster.clock.seconds()
        seen.append((now, report))
        while len(seen) > 1 and seen[1][0] <= now - REPORT_LAG:
            seen.pop(0)
        return seen[0][1]

    return lag


def _reports_lie(cluster: clusters.Cluster, fault: scenario.Fault, rng: random.Random) -> None:
    gate = _target(cluster, fault, rng)
    gate.model.report_override = clusters.lie
    cluster.clock.callLater(fault.seconds, _tell_truth, gate)


def _tell_truth(gate: fakes.TargetGate) -> None:
    gate.model.report_override = None


def _cut_hall(cluster: clusters.Cluster, fault: scenario.Fault, rng: random.Random) -> None:
    hall = _hall(cluster, fault, rng)
    cluster.cut_hall(hall)
    cluster.clock.callLater(fault.seconds, cluster.heal_hall, hall)


def _kill_instance(cluster: clusters.Cluster, fault: scenario.Fault, rng: random.Random) -> None:
    del fault
    cluster.kill_instance(rng.choice(sorted(cluster.instances)))


_KINDS: dict[str, Callable[[clusters.Cluster, scenario.Fault, random.Random], None]] = {
    "stall": _stall,
    "stall_in_turns": _stall_in_turns,
    "lose_target": _lose_target,
    "lose_rack": _lose_rack,
    "leave": _leave,
    "reversion": _reversion,
    "repartition": _repartition,
    "reports_lag": _reports_lag,
    "reports_lie": _reports_lie,
    "cut_hall": _cut_hall,
    "kill_instance": _kill_instance,
    "cold_start": _cold_start,
}
