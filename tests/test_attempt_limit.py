"""Tests that no try of a caller runs on more targets than its route allows, per shard of a search.

Failed attempts were not counted towards the limit. While some targets answered 500 at once, a shard
was retried after a failure and then also hedged, or retried again after two failures, and so ran on
three targets where the route allows two.
"""

from __future__ import annotations

import random

import pytest

from lineworks.decisions import verdict
from lineworks.forwarding import attempts, search_state
from lineworks.standins import deployment
from tests import test_forwarding

FAILURE_SECONDS = 0.001
"""Seconds after which a failing target responds."""


def build(most=2):
    """Create a deployment with a target of each shard in every hall, and three of the shelf."""
    world = test_forwarding.build()
    for shard in test_forwarding.SHARDS:
        for hall in deployment.HALLS:
            if all(target.hall != hall for target in test_forwarding.targets_of(world, shard)):
                world.add_target(shard, hall)
    routes = (test_forwarding.SEARCH, test_forwarding.READ, test_forwarding.BILL)
    world.configure([{**route, "MaxAttempts": most} for route in routes])
    world.run(3.0)
    # Earlier requests earn a budget of extra attempts.
    for _ in range(50):
        world.ask("akl-1", "/search/q")
        world.ask("akl-1", "/read/q")
        world.run(0.1)
    return world


def fail(target):
    target.faults.status = 500
    target.work = lambda: FAILURE_SECONDS


def nearest_first(world, service):
    """List the targets of a service, starting with the one in the callers' data hall."""
    return sorted(
        test_forwarding.targets_of(world, service), key=lambda target: target.hall != "akl"
    )


def ran_on(world, attempt, service):
    """Return the names of the targets of a service that ran a caller's try."""
    return {
        run.target for run in world.runs_of(attempt) if world.targets[run.target].service == service
    }


@pytest.mark.parametrize("most", [1, 2, 3])
def test_a_failing_shard_runs_on_no_more_targets_than_the_route_allows(most):
    world = build(most)
    for target in test_forwarding.targets_of(world, "s00"):
        fail(target)
    reply = world.ask("akl-1", "/search/q", attempt="q1")
    world.run(1.0)
    assert len(ran_on(world, "q1", "s00")) == most
    assert test_forwarding.check_search(world, reply, "q1") == 1


def test_the_retry_of_a_failed_shard_is_not_hedged():
    world = build()
    near, *others = nearest_first(world, "s00")
    fail(near)
    for target in others:
        target.work = lambda: 0.15
    reply = world.ask("akl-1", "/search/q", attempt="q1")
    world.run(1.0)
    assert near.name in ran_on(world, "q1", "s00")
    assert len(ran_on(world, "q1", "s00")) == 2
    assert reply.status == 200


def test_a_failed_hedge_is_not_replaced_while_the_first_attempt_runs():
    world = build()
    near, *others = nearest_first(world, "s00")
    near.work = lambda: 5.0
    for target in others:
        fail(target)
    world.ask("akl-1", "/search/q", attempt="q1")
    world.run(1.0)
    assert near.name in ran_on(world, "q1", "s00")
    assert len(ran_on(world, "q1", "s00")) == 2


@pytest.mark.parametrize("most", [1, 2, 3])
def test_a_failing_read_runs_on_no_more_targets_than_the_route_allows(most):
    world = build(most)
    world.add_target("shelf", "akl")
    world.run(1.0)
    for target in test_forwarding.targets_of(world, "shelf"):
        fail(target)
    reply = world.ask("akl-1", "/read/q", attempt="q1")
    world.run(1.0)
    assert len(ran_on(world, "q1", "shelf")) == most
    assert reply.status == 500


def test_the_retry_of_a_failed_read_is_not_hedged():
    world = build()
    near, *others = nearest_first(world, "shelf")
    fail(near)
    for target in others:
        target.work = lambda: 1.0
    world.ask("akl-1", "/read/q", attempt="q1")
    world.run(2.0)
    assert near.name in ran_on(world, "q1", "shelf")
    assert len(ran_on(world, "q1", "shelf")) == 2


def test_refusals_do_not_count_against_the_limit():
    world = build()
    first, second, third = test_forwarding.targets_of(world, "s00")
    for target in (first, second):
        target.faults.sheds = True
    reply = world.ask("akl-1", "/search/q", attempt="q1")
    world.run(1.0)
    assert ran_on(world, "q1", "s00") == {third.name}
    assert test_forwarding.check_search(world, reply, "q1") == 0


def assign_faults(world, rng):
    """Reset each target, then make some fail, slow down, hang, refuse or lose answers."""
    for target in world.targets.values():
        target.faults.status = 200
        target.faults.sheds = target.faults.loses_answers = False
        target.work = lambda: 0.03
        drawn = rng.random()
        if drawn < 0.15:
            fail(target)
        elif drawn < 0.25:
            target.work = lambda: 0.2
        elif drawn < 0.3:
            target.work = lambda: 5.0
        elif drawn < 0.35:
            target.faults.sheds = True
        elif drawn < 0.4:
            target.faults.loses_answers = True


@pytest.mark.parametrize("seed", range(8))
def test_no_mix_of_faults_exceeds_the_limit(seed):
    rng = random.Random(seed)
    most = 1 + seed % 3
    world = build(most)
    tries = []
    for _ in range(12):
        assign_faults(world, rng)
        for name in world.nodes:
            for path in ("/search/q", "/read/q", "/bill/q"):
                tries.append(f"{path[1]}{len(tries)}")
                world.ask(name, path, attempt=tries[-1])
        world.run(0.25)
    world.run(2.0)
    over = {}
    for attempt in tries:
        allowed = 1 if attempt.startswith("b") else most
        for service in {world.targets[run.target].service for run in world.runs_of(attempt)}:
            ran = ran_on(world, attempt, service)
            if len(ran) > allowed:
                over[attempt] = (service, ran)
    assert not over


class _Target:
    def __init__(self, name):
        self.id = name


def make_attempts(*rows):
    """Create attempts from rows of target name, verdict and gatherer query (0 for direct calls)."""
    return [
        search_state.ShardAttempt(_Target(name), 0.0, end=end, query=query)
        for name, end, query in rows
    ]


FAILED = verdict.ran(verdict.Reason.FAILED)
REFUSED = verdict.not_run(verdict.Reason.OVERLOADED)


@pytest.mark.parametrize(
    ("attempts_made", "expected"),
    [
        (make_attempts(), 0),
        (make_attempts(("a", FAILED, 0), ("b", None, 0)), 2),
        (make_attempts(("a", REFUSED, 0), ("b", None, 0)), 1),
        (make_attempts(("a", FAILED, 0), ("a", None, 0)), 1),
        # The gatherer of the second query may have chosen a different target.
        (make_attempts(("a", FAILED, 7), ("a", None, 8)), 2),
        (make_attempts(("a", attempts.GIVEN_UP, 7), ("b", verdict.OK, 0)), 2),
    ],
)
def test_each_target_that_may_have_run_the_request_counts_once(attempts_made, expected):
    assert attempts.count_targets(attempts_made) == expected
    assert attempts.has_target_left(attempts_made, expected + 1)
    assert not attempts.has_target_left(attempts_made, expected)
    assert not attempts.exceeds_target_limit(attempts_made, expected)
    assert attempts.exceeds_target_limit(attempts_made, expected - 1)


def test_the_description_names_the_outcome_of_each_attempt():
    told = attempts.describe("s00", make_attempts(("a", FAILED, 0), ("b", attempts.GIVEN_UP, 7)))
    assert told == "s00: a failed, b cancelled given up"
