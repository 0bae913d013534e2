"""Tests of retries and hedges for shards that fail, are full or are temporarily unreachable."""

from __future__ import annotations

from lineworks.standins import deployment
from tests import test_forwarding


def test_a_slow_shard_is_hedged_at_a_target_that_was_full_before():
    # A target that was full or unreachable must not count as tried. Otherwise both targets of a
    # shard count as tried after a single attempt, and the shard is missing.
    world = test_forwarding.build()
    busy, paused = test_forwarding.targets_of(world, "s00")
    busy.faults.sheds = True
    paused.work = lambda: 5.0
    front = next(name for name in world.nodes if name.startswith(busy.hall))
    reply = world.ask(front, "/search/q", attempt="q1")
    world.run(0.03)
    busy.faults.sheds = False
    world.run(1.0)
    assert test_forwarding.check_search(world, reply, "q1") == 0
    assert reply.seconds < 0.2


def test_temporarily_unreachable_shards_do_not_fail_the_search():
    # Guards against giving up shards without any attempt 0.1 s after the start of the search.
    world = test_forwarding.build()
    hosts = []
    for shard in test_forwarding.SHARDS[:4]:
        for target in test_forwarding.targets_of(world, shard):
            hosts.append(target.host)
            target.host.kill()
    reply = world.ask("akl-1", "/search/q", attempt="q1", budget=2.0)
    world.run(0.3)
    for target in world.targets.values():
        if target.host in hosts:
            target.host.is_stopped = False
            target.listen()
    world.run(2.0)
    assert test_forwarding.check_search(world, reply, "q1") <= 3
    assert reply.seconds < 1.0


def test_unreachable_remote_targets_are_not_retried_in_every_search():
    # The front must remember crashed targets that a gatherer could not reach; otherwise every
    # search tries them first again.
    world = test_forwarding.build()
    front = world.nodes["akl-1"]
    for shard in test_forwarding.SHARDS:
        for target in test_forwarding.targets_of(world, shard):
            if target.hall == "wlg" and shard != test_forwarding.SHARDS[0]:
                target.host.kill()
    for _ in range(4):
        world.ask("akl-1", "/search/q")
        world.run(0.4)
    before = front._counters.retries
    for _ in range(4):
        world.ask("akl-1", "/search/q")
        world.run(0.4)
    assert front._counters.retries - before <= 4


def test_a_shard_that_was_retried_late_is_still_hedged():
    world = test_forwarding.build()
    for _ in range(30):
        world.ask("akl-1", "/search/q")
        world.run(0.1)
    # The first attempt fails after 60 ms and its target then recovers; the second attempt hangs.
    first, second = test_forwarding.targets_of(world, "s01")
    near = next(target for target in (first, second) if target.hall == "akl")
    other = second if near is first else first
    near.faults.status = 500
    near.work = lambda: 0.06
    other.work = lambda: 5.0
    reply = world.ask("akl-1", "/search/q", attempt="q1")
    world.run(0.08)
    near.faults.status = 200
    near.work = lambda: 0.02
    world.run(1.0)
    assert test_forwarding.check_search(world, reply, "q1") == 0
    assert reply.seconds < 0.2


def test_no_third_target_runs_a_shard_after_a_gatherer_is_lost():
    # If the gatherer of a hedge is lost while its target still runs the query, another hedge must
    # not run on a third target: the route allows two.
    world = test_forwarding.build()
    for shard in test_forwarding.SHARDS:
        for hall in deployment.HALLS:
            if all(target.hall != hall for target in test_forwarding.targets_of(world, shard)):
                world.add_target(shard, hall)
    world.run(3.0)
    for _ in range(50):
        world.ask("akl-1", "/search/q")
        world.run(0.1)
    for target in test_forwarding.targets_of(world, "s00"):
        target.work = lambda: 5.0
    world.ask("akl-1", "/search/q", attempt="q1")
    for _ in range(200):
        world.run(0.001)
        runs = [run for run in world.runs_of("q1") if world.targets[run.target].service == "s00"]
        if len(runs) == 2:
            break
    hall = world.targets[runs[1].target].hall
    for number in (1, 2):
        world.host_of(f"{hall}-{number}").kill()
    world.run(1.0)
    runs = [run for run in world.runs_of("q1") if world.targets[run.target].service == "s00"]
    assert len(runs) == 2
