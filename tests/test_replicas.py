"""Replica choice, status reports and ejection."""

from __future__ import annotations

import random

from lineworks.decisions import catalog, replicas
from tests import builders

HELD = catalog.Snapshot(1, "base")


def make(name="t", holds=(HELD,)):
    replica = replicas.make_replica(builders.target(name))
    replica.on_report(0.0, report(holds=frozenset(holds)))
    return replica


def report(**more):
    values = {"incarnation": "1", "holds": frozenset({HELD}), **more}
    return replicas.StatusReport(**values)


def test_only_holders_of_the_snapshot_are_usable():
    other = make("b", holds=(catalog.Snapshot(2, "base"),))
    assert replicas.usable([make("a"), other], HELD, 0.0, 1.0)[0].target.name == "a"


def test_leaving_is_sticky_until_the_next_incarnation():
    replica = make()
    replica.on_report(1.0, report(is_leaving=True))
    replica.on_report(2.0, report(is_leaving=False))
    assert replicas.usable([replica], HELD, 2.0, 1.0) == []
    replica.on_report(3.0, report(incarnation="2"))
    assert replicas.usable([replica], HELD, 3.0, 1.0) == [replica]


def test_the_last_replica_is_never_ejected():
    replica = make()
    replica.on_started(0.0)
    assert replica.is_stalled(9.0, 1.0)
    assert replicas.usable([replica], HELD, 9.0, 1.0) == [replica]


def test_a_stalled_replica_is_skipped_if_there_is_another():
    stalled, responsive = make("a"), make("b")
    stalled.on_started(0.0)
    assert replicas.usable([stalled, responsive], HELD, 9.0, 1.0) == [responsive]


def test_abandoned_slow_attempts_eject_a_replica_until_it_replies():
    replica, other = make("a"), make("b")
    for number in range(replicas.EJECT_AFTER_LOSSES):
        replica.on_started(float(number))
        replica.on_ended(number + 0.5, is_progress=False)
        replica.on_attempt_abandoned(number + 0.5)
    assert replicas.usable([replica, other], HELD, 1.55, 1.0) == [other]
    replica.on_started(1.55)
    replica.on_ended(1.58, is_progress=True)
    assert len(replicas.usable([replica, other], HELD, 1.58, 1.0)) == 2


def test_the_weight_of_a_false_load_report_is_bounded():
    replica = make()
    replica.on_report(1.0, report(busy=10_000, queue=10_000))
    assert replica.load(1.0) <= replicas.FOREIGN_LOAD_CAP * 2
    assert replica.load(1.0 + 20 * replicas.REPORT_HALF_LIFE) < 0.01


def test_own_attempts_count_although_the_target_reports_no_load():
    replica = make()
    for _ in range(3):
        replica.on_started(0.0)
    replica.on_report(0.1, report(busy=0))
    assert replica.load(0.1) == 3


def test_a_refused_snapshot_counts_as_not_held_for_a_while():
    replica = make()
    replica.on_snapshot_refused(0.0, HELD)
    replica.on_report(1.0, report())
    assert HELD not in replica.holds
    replica.on_report(1.0 + replicas.SNAPSHOT_REFUSAL_SECONDS, report())
    assert HELD in replica.holds


def test_backoff_grows_and_is_bounded():
    replica, rng = make(), random.Random(1)
    rests = []
    for number in range(12):
        replica.on_started(float(number))
        replica.on_ended(float(number), is_progress=False)
        replica.on_unreachable(float(number), rng)
        rests.append(replica.backoff_until - number)
    assert rests[0] < rests[3] < rests[-1] <= replicas.BACKOFF_CAP_SECONDS


def test_a_cold_target_starts_with_one_attempt():
    replica = make()
    replica.on_report(1.0, report(incarnation="2", is_cold=True))
    assert replica.limit.value == 1
    for _ in range(10):
        replica.limit.on_success()
    assert replica.limit.value > 1


def test_the_less_loaded_of_two_is_chosen():
    busy, idle = make("a"), make("b")
    busy.on_started(0.0)
    chosen = replicas.choose_least_loaded([busy, idle], 0.0, random.Random(1))
    assert chosen is idle
