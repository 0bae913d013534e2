"""The store came back from a copy some seconds old, and its revisions were given out again.

The readers of all halls went on asking from the highest revision that they had ever seen. Until
the store's count had passed it they were refused and read everything; from then on they were
answered, but with what is numbered above the old place only. A configuration that was written in
between, with a number below it, came into force nowhere, and requests on its route were refused
for seconds:

    52.80 "event": "history_gone", "revision": 68
    53.55 (version 54 acknowledged)
    57.71 "event": "configuration", "version": 57, "before": 50
"""

from __future__ import annotations

import pytest

from lineworks.forwarding import registration, suspect_documents
from lineworks.platform.standins import documents
from lineworks.standins import deployment
from tests import test_forwarding, test_forwarding_changes

IN_FORCE = 3.0
ROUTES = [*test_forwarding_changes.ROUTES, test_forwarding_changes.NEW]
MANY = 40
"""Writes of others between a copy and the store's going away."""


@pytest.fixture
def world():
    return test_forwarding.build()


def write_others(world, count):
    for _ in range(count):
        world.store.write("others/key", "dg==")


def look(world, seconds=2.5):
    """Let all instances learn what there is."""
    world.run(seconds)


def go_on(world):
    """Let others write, and all instances learn how far the store's count is."""
    write_others(world, MANY)
    look(world)


def assert_put_in_force(world):
    """A configuration comes into force in time, beside writes of others."""
    world.configure(ROUTES)
    write_others(world, MANY)
    world.run(IN_FORCE)
    assert set(versions(world).values()) == {world.version}


def versions(world):
    return {name: node.known.version for name, node in world.nodes.items()}


def entries(world, target):
    """What each instance holds of a target: None, or whether it is leaving."""
    found = {}
    for name, node in world.nodes.items():
        held = {entry.id: entry.is_leaving for entry in node.known.entries}
        found[name] = held.get(target.name)
    return found


def own_keys(world):
    prefix = registration.PREFIX
    return {item.key.removeprefix(prefix) for item in world.store.page(prefix, "")[0]}


def test_a_version_numbered_below_the_old_place_is_in_force_in_time(world):
    copy = world.store.copy()
    go_on(world)
    world.drill.restore(copy)
    # Refused once, and all was read: the store's count is still below the old one.
    look(world)
    assert_put_in_force(world)


def test_a_version_is_in_force_in_time_though_the_count_has_passed_the_old_place(world):
    copy = world.store.copy()
    go_on(world)
    world.drill.restore(copy)
    assert_put_in_force(world)


def test_a_target_that_leaves_after_the_return_is_left_in_time(world):
    target = test_forwarding_changes.shelf(world, "akl")
    copy = world.store.copy()
    write_others(world, MANY)
    world.announce(target)
    look(world)
    world.drill.restore(copy)
    look(world)
    world.announce(target, "draining")
    world.run(IN_FORCE)
    assert set(entries(world, target).values()) == {True}


def test_a_target_that_ends_after_the_return_is_left_in_time(world):
    target = test_forwarding_changes.shelf(world, "akl")
    copy = world.store.copy()
    write_others(world, MANY)
    world.announce(target)
    look(world)
    world.drill.restore(copy)
    look(world, 4.0)
    world.withdraw(target)
    world.run(IN_FORCE)
    assert set(entries(world, target).values()) == {None}


def test_a_target_that_had_left_is_not_believed_back(world):
    target = test_forwarding_changes.shelf(world, "akl")
    copy = world.store.copy()
    world.withdraw(target)
    look(world, IN_FORCE)
    assert set(entries(world, target).values()) == {None}
    world.drill.restore(copy, rewrite_delay=2.0)
    for _ in range(50):
        world.run(0.1)
        assert set(entries(world, target).values()) == {None}


def test_a_target_of_the_time_that_was_lost_is_kept_until_it_is_written_again(world):
    copy = world.store.copy()
    target = world.add_target("shelf", "akl")
    look(world)
    assert set(entries(world, target).values()) == {False}
    world.drill.restore(copy, rewrite_delay=1.5)
    for _ in range(40):
        world.run(0.1)
        assert set(entries(world, target).values()) == {False}


def test_a_hall_that_is_evacuated_after_the_return_is_left_in_time(world):
    copy = world.store.copy()
    write_others(world, MANY)
    world.evacuate("akl")
    look(world)
    world.end_evacuation("akl")
    look(world)
    world.drill.restore(copy)
    look(world)
    world.evacuate("akl")
    world.run(IN_FORCE)
    assert {node.known.evacuated for node in world.nodes.values()} == {frozenset({"akl"})}


def test_an_evacuation_of_the_time_that_was_lost_is_obeyed_all_the_while(world):
    copy = world.store.copy()
    world.evacuate("akl")
    look(world)
    world.drill.restore(copy, rewrite_delay=1.5)
    for _ in range(40):
        world.run(0.1)
        assert {node.known.evacuated for node in world.nodes.values()} == {frozenset({"akl"})}


def test_an_evacuation_that_the_operators_do_not_repeat_ends(world):
    copy = world.store.copy()
    world.evacuate("akl")
    look(world)
    world.store.restore(copy)
    look(world, 6.0)
    assert {node.known.evacuated for node in world.nodes.values()} == {frozenset()}


def test_the_keys_of_all_instances_are_back_soon(world):
    copy = world.store.copy()
    world.add_node("akl-3", "akl")
    look(world)
    world.drill.restore(copy)
    look(world, 4.0)
    assert own_keys(world) == set(world.nodes)


def test_an_instance_that_starts_beside_an_older_configuration_asks_those_who_know(world):
    copy = world.store.copy()
    world.configure(ROUTES)
    look(world)
    world.drill.restore(copy, rewrite_delay=5.0)
    world.run(0.1)
    world.add_node("akl-3", "akl")
    world.run(1.0)
    assert versions(world)["akl-3"] == world.version


def test_an_instance_that_stood_still_through_it_learns_what_is_new(world):
    target = test_forwarding_changes.shelf(world, "akl")
    copy = world.store.copy()
    write_others(world, MANY)
    world.announce(target)
    look(world)
    world.host_of("akl-1").freeze()
    world.drill.restore(copy)
    look(world)
    world.configure(ROUTES)
    world.announce(target, "draining")
    world.run(0.5)
    world.host_of("akl-1").wake()
    world.run(IN_FORCE)
    assert set(versions(world).values()) == {world.version}
    assert set(entries(world, target).values()) == {True}


def test_a_second_return_soon_after_the_first_is_told_apart(world):
    first = world.store.copy()
    go_on(world)
    world.drill.restore(first)
    world.run(0.7)
    second = world.store.copy()
    go_on(world)
    world.drill.restore(second)
    look(world)
    assert_put_in_force(world)


def test_a_version_that_is_written_with_other_contents_is_taken(world):
    copy = world.store.copy()
    world.configure(test_forwarding_changes.ROUTES, version=9)
    look(world)
    world.store.restore(copy)
    world.run(0.1)
    world.configure(ROUTES, version=9)
    world.run(IN_FORCE)
    assert set(test_forwarding_changes.statuses(world, "/new/x").values()) == {200}


def test_the_keys_that_others_write_are_named_once():
    assert documents.target_key("i-1").startswith(documents.EXTERNAL_PREFIXES)
    assert documents.CONFIGURATION_KEY.startswith(documents.EXTERNAL_PREFIXES)


def test_suspects_that_the_store_lost_are_written_again(world):
    copy = world.store.copy()
    suspects = world.nodes["akl-1"]._suspects
    suspects.note_broken("c" * 24, ["i-1"], "a1", is_trial=True)
    look(world)
    prefix = suspect_documents.PREFIX
    assert len(world.store.page(prefix, "")[0]) == 1
    world.drill.restore(copy)
    look(world)
    assert [item.key for item in world.store.page(prefix, "")[0]] == [prefix + "c" * 24]


def test_an_instance_cut_from_the_store_hears_of_the_return_from_its_peers(world):
    address = world.address_of("akl-1")
    world.network.cut(address, deployment.STORE_ADDRESS)
    world.network.cut(deployment.STORE_ADDRESS, address)
    copy = world.store.copy()
    go_on(world)
    world.drill.restore(copy)
    look(world)
    assert world.nodes["akl-1"]._store.era.value == world.store.era


def test_instances_write_their_keys_again_spread_over_a_while(world):
    copy = world.store.copy()
    look(world)
    calls = world.server.calls
    before = calls["kv-lease"]
    world.drill.restore(copy)
    look(world)
    assert calls["kv-lease"] - before == len(world.nodes)
