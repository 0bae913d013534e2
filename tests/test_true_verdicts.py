"""Tests that requests are refused as not run if, and only if, they reached no target."""

from __future__ import annotations

import pytest

from lineworks.decisions import suspects
from tests import test_forwarding


def power_off_targets(world, services):
    """Power targets off, so that they neither accept nor refuse connections."""
    for service in services:
        for target in test_forwarding.targets_of(world, service):
            target.host.power_off()


def was_refused_as_not_run(reply):
    return reply.status == 503 and float(reply.headers["retry-after"]) >= 0


@pytest.mark.parametrize("method", ["read", "bill"])
def test_a_request_with_unreachable_targets_is_refused_as_not_run_at_its_deadline(method):
    world = test_forwarding.build()
    power_off_targets(world, ["shelf"])
    reply = world.ask("akl-1", f"/{method}/x", budget=0.1, attempt="r1")
    world.run(1.0)
    assert not world.runs_of("r1")
    assert was_refused_as_not_run(reply)


def test_a_search_with_unreachable_targets_is_refused_as_not_run_at_its_deadline():
    world = test_forwarding.build()
    power_off_targets(world, test_forwarding.SHARDS)
    reply = world.ask("akl-1", "/search/q", budget=0.1, attempt="q1")
    world.run(1.0)
    assert not world.runs_of("q1")
    assert was_refused_as_not_run(reply)


def test_a_request_waiting_for_a_connection_is_refused_as_not_run_when_the_instance_stops():
    world = test_forwarding.build()
    power_off_targets(world, ["shelf"])
    reply = world.ask("akl-1", "/bill/x", "POST", b"note", attempt="b1")
    world.run(0.01)
    world.nodes["akl-1"]._front.end_all()
    world.run(0.5)
    assert not world.runs_of("b1")
    assert was_refused_as_not_run(reply)


def test_a_search_that_reached_one_target_is_not_refused_as_not_run():
    world = test_forwarding.build()
    power_off_targets(world, test_forwarding.SHARDS[1:])
    for target in test_forwarding.targets_of(world, test_forwarding.SHARDS[0]):
        target.work = lambda: 5.0
    reply = world.ask("akl-1", "/search/q", budget=0.1, attempt="q1")
    world.run(1.0)
    assert world.runs_of("q1")
    assert reply.status in (502, 504)


def test_a_search_whose_gatherers_freeze_is_not_refused_as_not_run():
    world = test_forwarding.build()
    reply = world.ask("akl-1", "/search/q", budget=0.1, attempt="q1")
    world.run(0.002)
    for name in world.nodes:
        if name != "akl-1":
            world.host_of(name).freeze()
    power_off_targets(world, test_forwarding.SHARDS)
    world.run(1.0)
    assert reply.status in (502, 504)


def test_a_request_that_reached_a_target_times_out_at_its_deadline():
    world = test_forwarding.build()
    for target in test_forwarding.targets_of(world, "shelf"):
        target.work = lambda: 5.0
    reply = world.ask("akl-1", "/read/x", budget=0.3, attempt="r1")
    world.run(1.0)
    assert world.runs_of("r1")
    assert reply.status == 504


def test_a_trial_search_that_ran_at_one_target_is_not_refused_as_not_run(
    monkeypatch,
):
    world = test_forwarding.build()
    shared = world.nodes["akl-1"]._front._shared
    monkeypatch.setattr(shared.suspects, "judge", lambda content: suspects.Judgement.TRIAL)
    for target in test_forwarding.targets_of(world, test_forwarding.SHARDS[0]):
        target.faults.status = 500
        target.work = lambda: 1.0
    reply = world.ask("akl-1", "/search/q", attempt="q1")
    for service in test_forwarding.SHARDS[1:]:
        for target in test_forwarding.targets_of(world, service):
            world.withdraw(target)
    world.run(3.0)
    assert len(world.runs_of("q1")) == 1
    assert reply.status == 502
