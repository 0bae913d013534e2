"""Entries of other writers name no target to use, and the others hold.

An entry with JSON nested 100,000 deep raised RecursionError, and one with a number of 400 digits
OverflowError, past the handler of refused entries. The whole batch with the good entries was lost,
and since the entry stayed every later look was lost as well: all six instances were blind to the
store for good, kept targets that were withdrawn and answered 503 once those were dead.

    {"error": "RecursionError('maximum recursion depth exceeded ...')", "event": "ask_failed"}
    {"error": "OverflowError('int too large to convert to float')", "event": "ask_failed"}
"""

from __future__ import annotations

import json

import hypothesis
import pytest
from hypothesis import strategies

from lineworks.forwarding import target_documents
from lineworks.platform import target_entries
from lineworks.platform.standins import documents
from tests import test_forwarding

GOOD = {
    "Service": "shelf",
    "Address": "10.1.2.3:80",
    "Zone": "akl",
    "ConfigVersion": "v1",
    "Capacity": 2,
    "State": "ready",
    "WarmupLeftMs": 0,
    "CallSeq": 4,
    "born": 1_700_000_000_000,
}
DEEP = "[" * 100_000 + "]" * 100_000
LONG = json.dumps({**GOOD, "WarmupLeftMs": 1}).replace(
    '"WarmupLeftMs": 1', '"WarmupLeftMs": 1' + "0" * 400
)
WRONG = {
    "Service": [None, "", 3, ["shelf"], "\ud800"],
    "Address": [None, "", "10.1.2.3", "10.1.2.3:0", "name:80", "10.1.2.3:x", 80],
    "Zone": [None, "", 1, "\udfff"],
    "ConfigVersion": [None, 1, []],
    "Capacity": [None, 0, -1, "2", 2.5, True],
    "State": [None, "", "starting", "READY", 1],
    "WarmupLeftMs": [None, "0", -1, False],
    "CallSeq": [None, "4", -1, 1.5],
    "born": [None, "1", 1.5, -1, True],
}
WRONG_FIELDS = [(name, value) for name, values in WRONG.items() for value in values]


def decode(document, key="servers/i-1"):
    return target_entries.decode(key, json.dumps(document).encode())


@pytest.mark.parametrize(("name", "value"), WRONG_FIELDS)
def test_a_field_of_another_type_or_value_is_refused(name, value):
    with pytest.raises(target_entries.EntryError):
        decode({**GOOD, name: value})


@pytest.mark.parametrize("name", [name for name in GOOD if name != "born"])
def test_a_missing_field_is_refused(name):
    with pytest.raises(target_entries.EntryError, match=name):
        decode({key: value for key, value in GOOD.items() if key != name})


@pytest.mark.parametrize("data", [DEEP, LONG, "", "null", "NaN", "[1]", '{"a":', "\x00"])
def test_what_can_not_be_read_is_refused(data):
    with pytest.raises(target_entries.EntryError):
        target_entries.decode("servers/i-1", data.encode())


@pytest.mark.parametrize("key", ["servers/", "servers/a\r\nX: y", "servers/\u00e9", "servers/a b"])
def test_an_identity_that_no_header_can_carry_is_refused(key):
    with pytest.raises(target_entries.EntryError):
        decode(GOOD, key)


def test_an_unknown_field_is_passed_over():
    assert decode({**GOOD, "more": {"a": [1]}}).service == "shelf"


VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(),
    lambda inner: strategies.lists(inner) | strategies.dictionaries(strategies.text(), inner),
    max_leaves=8,
)


@hypothesis.given(strategies.binary())
def test_any_bytes_are_read_or_refused(data):
    for read in (
        lambda: target_entries.decode("servers/i-1", data),
        lambda: target_documents.decode(data),
    ):
        try:
            read()
        except (target_entries.EntryError, target_documents.TargetDocumentError):
            continue


@hypothesis.given(strategies.dictionaries(strategies.sampled_from(list(GOOD)), VALUES))
def test_any_structure_is_read_or_refused(changes):
    try:
        found = decode({**GOOD, **changes})
    except target_entries.EntryError:
        return
    assert found.slots >= 1
    assert isinstance(found.born, int)


@hypothesis.given(strategies.lists(strategies.lists(VALUES, max_size=10), max_size=4))
def test_any_rows_of_a_peer_are_read_or_refused(rows):
    try:
        found = target_documents.decode(json.dumps(rows).encode())
    except target_documents.TargetDocumentError:
        return
    for change in found:
        assert isinstance(change.id, str)
        assert change.entry is None or change.entry.slots >= 1


def put(world, key, text):
    world.store.write(key, documents.encoded(text))


def statuses(world, path="/read/q"):
    replies = [world.ask(name, path) for name in world.nodes]
    world.run(1.0)
    return {reply.status for reply in replies}


@pytest.mark.parametrize("text", [DEEP, LONG, "{}", json.dumps({**GOOD, "State": "odd"})])
@pytest.mark.parametrize("is_first", [False, True])
def test_the_good_entries_of_a_batch_are_in_use_whatever_another_one_is(text, is_first):
    world = test_forwarding.build()
    if is_first:
        for name in list(world.nodes):
            world.host_of(name).kill()
    shelf = test_forwarding.targets_of(world, "shelf")
    put(world, "servers/i-odd", text)
    put(world, "lineworks/nodes/odd", text)
    for target in shelf:
        world.withdraw(target)
        target.host.kill()
    world.add_target("shelf", "wlg")
    if is_first:
        for name in list(world.nodes):
            world.add_node(name, name.partition("-")[0])
    world.run(4.0)
    assert statuses(world) == {200}
    assert all(node._directory.age < 3 for node in world.nodes.values())
    assert all("i-odd" not in node._directory._view.entries for node in world.nodes.values())


def test_an_entry_that_becomes_unreadable_is_used_no_more():
    world = test_forwarding.build()
    shelf = test_forwarding.targets_of(world, "shelf")
    for target in shelf:
        put(world, documents.target_key(target.name), "{}")
    world.run(3.0)
    assert statuses(world) == {503}
    for target in shelf:
        world.announce(target)
    world.run(3.0)
    assert statuses(world) == {200}


def test_a_configuration_that_can_not_be_read_leaves_the_one_in_force():
    world = test_forwarding.build()
    put(world, documents.CONFIGURATION_KEY, DEEP)
    world.run(3.0)
    assert statuses(world) == {200}
    assert all(node._directory.age < 3 for node in world.nodes.values())
