"""The store is restored from a copy some seconds old, and assigns its revisions a second time.

Guards against readers that go on polling from the highest revision they have ever seen. Once the
store's revisions have passed it, the response contains only later changes: a configuration written
in between, at a lower revision, came into force nowhere, and requests on its route were refused for
seconds.
"""

from __future__ import annotations

import pytest

from lineworks.forwarding import registration, suspect_documents
from lineworks.platform.standins import documents
from lineworks.standins import deployment
from tests import test_forwarding, test_forwarding_changes

IN_FORCE = 3.0
ROUTES = [*test_forwarding_changes.ROUTES, test_forwarding_changes.NEW]
OTHER_WRITES = 40
"""Writes by others between the copy and the store's outage."""


@pytest.fixture
def world():
    return test_forwarding.build()


def write_others(world, count):
    for _ in range(count):
        world.store.write("others/key", "dg==")


def let_instances_poll(world, seconds=2.5):
    """Run until all instances have read the current contents of the store."""
    world.run(seconds)


def advance_revision(world):
    """Advance the store's revision by writes of others, and let all instances read it."""
    write_others(world, OTHER_WRITES)
    let_instances_poll(world)


def assert_comes_into_force(world):
    """Assert that a new configuration comes into force in time while others write."""
    world.configure(ROUTES)
    write_others(world, OTHER_WRITES)
    world.run(IN_FORCE)
    assert set(versions(world).values()) == {world.version}


def versions(world):
    return {name: node.directory.version for name, node in world.nodes.items()}


def entries(world, target):
    """Return, by instance, whether the target is leaving; None if the instance lacks its entry."""
    found = {}
    for name, node in world.nodes.items():
        held = {entry.id: entry.is_leaving for entry in node.directory.entries}
        found[name] = held.get(target.name)
    return found


def registered_names(world):
    prefix = registration.PREFIX
    return {item.key.removeprefix(prefix) for item in world.store.page(prefix, "")[0]}


def test_a_version_below_the_old_revision_comes_into_force_in_time(world):
    copy = world.store.copy()
    advance_revision(world)
    world.drill.restore(copy)
    # The poll is refused once, so everything is read; the revisions are still below the old one.
    let_instances_poll(world)
    assert_comes_into_force(world)


def test_a_version_comes_into_force_in_time_once_revisions_exceed_the_old_one(world):
    copy = world.store.copy()
    advance_revision(world)
    world.drill.restore(copy)
    assert_comes_into_force(world)


def test_a_target_that_drains_after_the_restore_is_marked_leaving_in_time(world):
    target = test_forwarding_changes.shelf(world, "akl")
    copy = world.store.copy()
    write_others(world, OTHER_WRITES)
    world.announce(target)
    let_instances_poll(world)
    world.drill.restore(copy)
    let_instances_poll(world)
    world.announce(target, "draining")
    world.run(IN_FORCE)
    assert set(entries(world, target).values()) == {True}


def test_a_target_that_ends_after_the_restore_is_dropped_in_time(world):
    target = test_forwarding_changes.shelf(world, "akl")
    copy = world.store.copy()
    write_others(world, OTHER_WRITES)
    world.announce(target)
    let_instances_poll(world)
    world.drill.restore(copy)
    let_instances_poll(world, 4.0)
    world.withdraw(target)
    world.run(IN_FORCE)
    assert set(entries(world, target).values()) == {None}


def test_a_target_that_had_left_is_not_used_again(world):
    target = test_forwarding_changes.shelf(world, "akl")
    copy = world.store.copy()
    world.withdraw(target)
    let_instances_poll(world, IN_FORCE)
    assert set(entries(world, target).values()) == {None}
    world.drill.restore(copy, rewrite_delay=2.0)
    for _ in range(50):
        world.run(0.1)
        assert set(entries(world, target).values()) == {None}


def test_a_target_whose_entry_was_lost_is_kept_until_it_is_rewritten(world):
    copy = world.store.copy()
    target = world.add_target("shelf", "akl")
    let_instances_poll(world)
    assert set(entries(world, target).values()) == {False}
    world.drill.restore(copy, rewrite_delay=1.5)
    for _ in range(40):
        world.run(0.1)
        assert set(entries(world, target).values()) == {False}


def test_a_hall_that_is_evacuated_after_the_restore_is_avoided_in_time(world):
    copy = world.store.copy()
    write_others(world, OTHER_WRITES)
    world.evacuate("akl")
    let_instances_poll(world)
    world.end_evacuation("akl")
    let_instances_poll(world)
    world.drill.restore(copy)
    let_instances_poll(world)
    world.evacuate("akl")
    world.run(IN_FORCE)
    assert {node.directory.evacuated for node in world.nodes.values()} == {frozenset({"akl"})}


def test_an_evacuation_that_was_lost_stays_in_force_until_it_is_rewritten(world):
    copy = world.store.copy()
    world.evacuate("akl")
    let_instances_poll(world)
    world.drill.restore(copy, rewrite_delay=1.5)
    for _ in range(40):
        world.run(0.1)
        assert {node.directory.evacuated for node in world.nodes.values()} == {frozenset({"akl"})}


def test_a_lost_evacuation_that_is_not_rewritten_ends(world):
    copy = world.store.copy()
    world.evacuate("akl")
    let_instances_poll(world)
    world.store.restore(copy)
    let_instances_poll(world, 6.0)
    assert {node.directory.evacuated for node in world.nodes.values()} == {frozenset()}


def test_all_instances_rewrite_their_keys_soon(world):
    copy = world.store.copy()
    world.add_node("akl-3", "akl")
    let_instances_poll(world)
    world.drill.restore(copy)
    let_instances_poll(world, 4.0)
    assert registered_names(world) == set(world.nodes)


def test_an_instance_that_starts_after_the_restore_pulls_the_newer_configuration(world):
    copy = world.store.copy()
    world.configure(ROUTES)
    let_instances_poll(world)
    world.drill.restore(copy, rewrite_delay=5.0)
    world.run(0.1)
    world.add_node("akl-3", "akl")
    world.run(1.0)
    assert versions(world)["akl-3"] == world.version


def test_an_instance_suspended_during_the_restore_catches_up(world):
    target = test_forwarding_changes.shelf(world, "akl")
    copy = world.store.copy()
    write_others(world, OTHER_WRITES)
    world.announce(target)
    let_instances_poll(world)
    world.host_of("akl-1").freeze()
    world.drill.restore(copy)
    let_instances_poll(world)
    world.configure(ROUTES)
    world.announce(target, "draining")
    world.run(0.5)
    world.host_of("akl-1").wake()
    world.run(IN_FORCE)
    assert set(versions(world).values()) == {world.version}
    assert set(entries(world, target).values()) == {True}


def test_a_second_restore_soon_after_the_first_is_detected(world):
    first = world.store.copy()
    advance_revision(world)
    world.drill.restore(first)
    world.run(0.7)
    second = world.store.copy()
    advance_revision(world)
    world.drill.restore(second)
    let_instances_poll(world)
    assert_comes_into_force(world)


def test_the_same_version_with_other_contents_is_applied(world):
    copy = world.store.copy()
    world.configure(test_forwarding_changes.ROUTES, version=9)
    let_instances_poll(world)
    world.store.restore(copy)
    world.run(0.1)
    world.configure(ROUTES, version=9)
    world.run(IN_FORCE)
    assert set(test_forwarding_changes.statuses(world, "/new/x").values()) == {200}


def test_keys_of_other_writers_share_the_foreign_prefixes():
    assert documents.target_key("i-1").startswith(documents.EXTERNAL_PREFIXES)
    assert documents.CONFIGURATION_KEY.startswith(documents.EXTERNAL_PREFIXES)


def test_suspects_that_the_store_lost_are_rewritten(world):
    copy = world.store.copy()
    suspects = world.nodes["akl-1"]._suspects
    suspects.note_broken_connections("c" * 24, ["i-1"], "a1", is_trial=True)
    let_instances_poll(world)
    prefix = suspect_documents.PREFIX
    assert len(world.store.page(prefix, "")[0]) == 1
    world.drill.restore(copy)
    let_instances_poll(world)
    assert [item.key for item in world.store.page(prefix, "")[0]] == [prefix + "c" * 24]


def test_an_instance_cut_off_from_the_store_learns_of_the_restore_from_its_peers(world):
    address = world.address_of("akl-1")
    world.network.cut(address, deployment.STORE_ADDRESS)
    world.network.cut(deployment.STORE_ADDRESS, address)
    copy = world.store.copy()
    advance_revision(world)
    world.drill.restore(copy)
    let_instances_poll(world)
    assert world.nodes["akl-1"]._store.era.value == world.store.era


def test_each_instance_registers_again_once(world):
    copy = world.store.copy()
    let_instances_poll(world)
    calls = world.server.calls
    before = calls["kv-lease"]
    world.drill.restore(copy)
    let_instances_poll(world)
    assert calls["kv-lease"] - before == len(world.nodes)
