"""Tests of truthful refusals, weighted splits, departed callers and readiness after a freeze."""

from __future__ import annotations

import collections

from tests import test_forwarding

SPLIT_SERVICES = ("left", "right")
SPLIT = {
    "Name": "split",
    "PathPrefix": "/split/",
    "WeightedSplit": [{"Service": "left", "Weight": 3}, {"Service": "right", "Weight": 1}],
}


def build_with_split():
    world = test_forwarding.build()
    for service in SPLIT_SERVICES:
        for hall in ("akl", "wlg", "chc"):
            world.add_target(service, hall)
    world.configure([test_forwarding.SEARCH, test_forwarding.READ, SPLIT])
    world.run(3.0)
    return world


def ask_split(world, count=200):
    replies = {}
    for number in range(count):
        replies[f"p{number}"] = world.ask("akl-1", "/split/x", attempt=f"p{number}")
        world.run(0.05)
    world.run(2.0)
    return replies


def services_of(world, attempts):
    found = collections.Counter()
    for attempt in attempts:
        found.update({world.targets[run.target].service for run in world.runs_of(attempt)})
    return found


def test_a_weighted_split_follows_its_weights():
    world = build_with_split()
    replies = ask_split(world)
    assert {reply.status for reply in replies.values()} == {200}
    found = services_of(world, replies)
    assert abs(found["left"] - 150) <= 1


def test_requests_for_an_overloaded_split_service_are_refused_and_not_moved_to_the_other():
    world = build_with_split()
    for target in test_forwarding.targets_of(world, "left"):
        target.faults.sheds = True
    replies = ask_split(world)
    assert services_of(world, replies)["right"] == 50
    statuses = collections.Counter(reply.status for reply in replies.values())
    assert statuses == {200: 50, 503: 150}


def test_a_search_that_some_targets_answered_is_not_refused_as_not_run():
    # Nine of twelve shards are needed; the targets of four refuse every request.
    world = test_forwarding.build()
    for shard in test_forwarding.SHARDS[:4]:
        for target in test_forwarding.targets_of(world, shard):
            target.faults.sheds = True
    reply = world.ask("akl-1", "/search/q", attempt="q1")
    world.run(3.0)
    assert len(world.runs_of("q1")) == 8
    assert reply.status in (502, 504)


def test_requests_of_callers_gone_during_start_are_not_sent_to_targets():
    world = test_forwarding.build()
    world.host_of("akl-1").kill()
    world.server.faults.delay = 0.05
    world.run(1.0)
    world.add_node("akl-1", "akl")
    for path in ("/read/x", "/search/q"):
        world.ask("akl-1", path, attempt="r1")
    world.run(0.02)
    world.network.host("10.250.0.1").kill()
    world.run(2.0)
    assert world.runs_of("r1") == []


def test_an_instance_accepts_connections_after_a_freeze():
    world = test_forwarding.build()
    host = world.host_of("akl-1")
    host.freeze()
    world.run(6.0)
    host.wake()
    world.run(0.2)
    assert world.is_ready("akl-1")
    replies = [world.ask("akl-1", "/read/x") for _ in range(8)]
    world.run(1.0)
    assert {reply.status for reply in replies} == {200}
