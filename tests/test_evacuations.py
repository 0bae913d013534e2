"""The targets of an evacuated data hall get no new work until the operators end the evacuation."""

from __future__ import annotations

import itertools

import pytest

from lineworks.decisions import evacuations, positions
from lineworks.standins import deployment
from tests import test_forwarding

BOUND = 5.0
"""Seconds after the store's answer from which no new request may arrive."""


def ask_all(world, seconds=1.0, path="/search/q"):
    """Send a request to every instance; return the replies and the halls whose targets ran them."""
    began = len(world.runs)
    replies = {name: world.ask(name, path) for name in world.nodes}
    world.run(seconds)
    halls = {world.targets[run.target].hall for run in world.runs[began:]}
    return replies, halls


def assert_not_reached(world, *halls):
    for path in ("/search/q", "/read/q"):
        replies, reached = ask_all(world, path=path)
        assert {reply.status for reply in replies.values()} == {200}, path
        assert reached.isdisjoint(halls), path


def test_no_instance_sends_new_work_to_an_evacuated_hall_after_the_time_limit():
    world = test_forwarding.build()
    world.evacuate("akl")
    world.run(BOUND)
    assert_not_reached(world, "akl")
    world.run(20.0)
    assert_not_reached(world, "akl")


def test_the_hall_is_used_again_after_the_evacuation_ends():
    world = test_forwarding.build()
    world.evacuate("akl")
    world.run(BOUND)
    world.end_evacuation("akl")
    world.run(BOUND)
    _, halls = ask_all(world)
    assert "akl" in halls


def test_of_two_evacuated_halls_one_can_return():
    world = test_forwarding.build()
    world.evacuate("akl")
    world.evacuate("wlg")
    world.run(BOUND)
    _, halls = ask_all(world, path="/read/q")
    assert halls == {"chc"}
    world.end_evacuation("wlg")
    world.run(BOUND)
    assert_not_reached(world, "akl")


def test_a_search_without_enough_shards_elsewhere_is_refused_at_once():
    # Half of the shards have replicas in these two halls only; an answer needs three quarters.
    world = test_forwarding.build()
    world.evacuate("akl")
    world.evacuate("wlg")
    world.run(BOUND)
    replies, halls = ask_all(world)
    assert not halls
    assert {reply.status for reply in replies.values()} == {503}
    assert all(reply.seconds < 0.01 for reply in replies.values())


@pytest.mark.parametrize("is_store_down", [False, True])
def test_a_starting_instance_applies_evacuations_before_it_serves(is_store_down):
    world = test_forwarding.build()
    world.evacuate("akl")
    world.run(BOUND)
    world.server.faults.is_down = is_store_down
    for name in list(world.nodes)[::2]:
        world.host_of(name).kill()
        world.add_node(name, name.partition("-")[0])
    for _ in range(20):
        replies, halls = ask_all(world, 0.2)
        assert "akl" not in halls
    assert {reply.status for reply in replies.values()} == {200}


def test_a_partitioned_instance_applies_evacuations_after_it_reconnects():
    world = test_forwarding.build()
    alone = world.address_of("wlg-1")
    others = [world.address_of(name) for name in world.nodes if name != "wlg-1"]
    for other in [deployment.STORE_ADDRESS, *others]:
        world.network.cut(alone, other)
        world.network.cut(other, alone)
    world.evacuate("akl")
    world.run(8.0)
    world.network.heal()
    world.run(BOUND)
    assert_not_reached(world, "akl")


def test_a_frozen_instance_applies_evacuations_after_it_resumes():
    world = test_forwarding.build()
    world.host_of("wlg-1").freeze()
    world.evacuate("akl")
    world.run(6.0)
    world.host_of("wlg-1").wake()
    world.run(BOUND)
    assert_not_reached(world, "akl")


def test_an_evacuation_survives_a_store_outage():
    world = test_forwarding.build()
    world.evacuate("akl")
    world.run(BOUND)
    world.server.faults.is_down = True
    world.run(15.0)
    assert_not_reached(world, "akl")


@pytest.mark.parametrize("is_end_lost", [False, True])
def test_a_compacted_store_history_hides_neither_start_nor_end_of_an_evacuation(is_end_lost):
    world = test_forwarding.build()
    if is_end_lost:
        world.evacuate("akl")
        world.run(BOUND)
        world.end_evacuation("akl")
    else:
        world.evacuate("akl")
    world.store.compact()
    world.run(BOUND)
    _, halls = ask_all(world)
    assert ("akl" in halls) is is_end_lost


def test_attempts_in_flight_continue_without_a_retry():
    world = test_forwarding.build(work=lambda: 6.0)
    world.configure(
        [{**test_forwarding.READ, "TimeoutMs": 9000, "SloMs": 9000, "AllowedRegions": ["akl"]}]
    )
    world.run(2.0)
    reply = world.ask("wlg-1", "/read/q", budget=9.0, attempt="q")
    world.run(0.5)
    world.evacuate("akl")
    world.run(8.0)
    assert reply.status == 200
    assert len(world.runs_of("q")) == 1


def test_an_evacuation_holds_while_targets_and_the_configuration_change():
    world = test_forwarding.build()
    world.evacuate("akl")
    world.run(1.0)
    for shard in test_forwarding.SHARDS[:6]:
        world.add_target(shard, "akl")
        world.add_target(shard, "chc")
    for target in test_forwarding.targets_of(world, test_forwarding.SHARDS[1])[:1]:
        world.announce(target, "draining")
    world.configure([test_forwarding.SEARCH, test_forwarding.READ])
    world.run(BOUND)
    assert_not_reached(world, "akl")


def test_evacuating_an_unknown_hall_changes_nothing():
    world = test_forwarding.build()
    world.evacuate("nowhere")
    world.evacuate("")
    world.run(BOUND)
    replies, halls = ask_all(world)
    assert {reply.status for reply in replies.values()} == {200}
    assert halls == set(deployment.HALLS)


def at(revision):
    return positions.Position(1, revision)


ORDERED = [
    evacuations.EvacuationChange("a", at(3), True),
    evacuations.EvacuationChange("a", at(5), False),
    evacuations.EvacuationChange("a", at(9), True),
    evacuations.EvacuationChange("b", at(4), True),
]


@pytest.mark.parametrize("order", itertools.permutations(ORDERED))
def test_the_latest_change_decides_in_any_order_of_arrival(order):
    found = evacuations.Evacuations()
    for change in order:
        found.apply([change, change])
    assert found.halls == {"a", "b"}


def test_a_listing_ends_only_evacuations_older_than_itself():
    found = evacuations.Evacuations()
    found.apply(ORDERED)
    assert not found.replace([], at(3), 0.0)
    assert found.replace([], at(4), 0.0)
    assert found.halls == {"a"}
    assert found.replace([evacuations.EvacuationChange("b", at(10), True)], at(10), 0.0)
    assert found.halls == {"b"}
    assert not found.apply(ORDERED)
