"""A target that restarts with the same identity is a new process without the old one's state.

If state kept by identity, such as `is_leaving`, applies to the restarted process, a target that
drained, stopped and started again counts as leaving forever, and every instance answers 503
although the target is ready.
"""

from __future__ import annotations

import dataclasses
import json

import pytest

from lineworks.decisions import positions, target_view
from lineworks.forwarding import target_documents
from lineworks.platform import target_entries
from tests import test_forwarding, test_target_view

OLD, NEW = 1_700_000_000_000, 1_700_000_060_000


def entry(born, **more):
    return dataclasses.replace(test_target_view.ENTRY, born=born, **more)


def apply(view, revision, found):
    position = positions.Position(1, revision)
    return view.apply([target_view.TargetChange("i-1", position, found)], 0)


def test_a_new_process_is_not_leaving_although_the_previous_one_was():
    view = target_view.TargetView()
    apply(view, 1, entry(OLD))
    apply(view, 2, entry(OLD, is_leaving=True))
    apply(view, 3, None)
    assert apply(view, 4, entry(NEW))
    assert not view.entries["i-1"].is_leaving
    assert apply(view, 5, entry(NEW, is_leaving=True))
    apply(view, 6, entry(NEW))
    assert view.entries["i-1"].is_leaving


@pytest.mark.parametrize("is_gone", [False, True])
def test_a_late_entry_of_an_older_process_changes_nothing(is_gone):
    view = target_view.TargetView()
    apply(view, 1, entry(NEW))
    if is_gone:
        apply(view, 2, None)
    assert not apply(view, 3, entry(OLD, is_leaving=True))
    assert [found.born for found in view.entries.values()] == ([] if is_gone else [NEW])


def test_a_held_removal_is_not_applied_to_a_new_process():
    view = target_view.TargetView()
    apply(view, 1, entry(OLD))
    view.apply([target_view.TargetChange("i-1", positions.Position(1, 2), None)], hold_until=10.0)
    apply(view, 3, entry(NEW))
    assert not view.expire(10.0)
    assert view.entries["i-1"].born == NEW


def test_the_start_time_of_a_process_is_encoded_and_parsed():
    change = target_view.TargetChange("i-1", positions.Position(1, 3), entry(NEW))
    assert target_documents.decode(target_documents.encode([change])) == [change]
    text = {
        "Service": "s",
        "Address": "10.1.2.3:80",
        "Zone": "hall-a",
        "ConfigVersion": "v1",
        "Capacity": 2,
        "State": "ready",
        "WarmupLeftMs": 0,
        "CallSeq": 4,
    }
    read = target_entries.decode("servers/i-1", json.dumps({**text, "born": NEW}).encode())
    assert read.born == NEW
    assert target_entries.decode("servers/i-1", json.dumps(text).encode()).born == 0
    for wrong in ("1", 1.5, True, -1, None):
        with pytest.raises(target_entries.EntryError, match="born"):
            target_entries.decode("servers/i-1", json.dumps({**text, "born": wrong}).encode())


def served(world, path="/read/q"):
    replies = [world.ask(name, path) for name in world.nodes]
    world.run(1.0)
    return [reply.status for reply in replies]


def test_targets_that_left_and_restart_with_the_same_identities_are_used():
    world = test_forwarding.build()
    shelf = test_forwarding.targets_of(world, "shelf")
    for target in shelf:
        world.announce(target, "draining")
    world.run(3.0)
    for target in shelf:
        world.withdraw(target)
        target.host.kill()
    world.run(3.0)
    assert set(served(world)) == {503}
    for target in shelf:
        world.restart(target)
    world.run(3.0)
    assert set(served(world)) == {200}


def test_a_request_in_flight_at_an_earlier_process_is_failed():
    # The host of the targets lost power, so no connection shows that they ended.
    world = test_forwarding.build(work=lambda: 10.0)
    shelf = test_forwarding.targets_of(world, "shelf")
    reply = world.ask("akl-1", "/bill/q", "POST", budget=1.9)
    world.run(0.1)
    for target in shelf:
        target.host.power_off()
        target.host.power_on()
        world.restart(target).work = lambda: 0.01
    world.run(1.7)
    assert reply.is_finished
    assert reply.status == 502


def test_a_pooled_connection_to_an_earlier_process_is_not_used():
    world = test_forwarding.build()
    for _ in range(3):
        assert set(served(world)) == {200}
    for target in test_forwarding.targets_of(world, "shelf"):
        target.host.power_off()
        target.host.power_on()
        world.restart(target)
    world.run(3.0)
    before = world.clock.seconds()
    assert set(served(world)) == {200}
    late = [run for run in world.runs if run.path == "/read/q" and run.at > before + 0.1]
    assert not late
