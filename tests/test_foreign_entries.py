"""Malformed entries in the store are refused one by one, and valid entries stay in use.

JSON nested 100,000 levels deep raised RecursionError, and a number of 400 digits OverflowError.
Neither was caught where entries are refused, so the whole batch with its valid entries was lost.
The entry stayed in the store, so every later read failed as well (`ask_failed` in the log): all
six instances kept withdrawn targets and answered 503 once those had ended.
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
def test_a_field_of_the_wrong_type_or_value_is_refused(name, value):
    with pytest.raises(target_entries.EntryError):
        decode({**GOOD, name: value})


@pytest.mark.parametrize("name", [name for name in GOOD if name != "born"])
def test_a_missing_field_is_refused(name):
    with pytest.raises(target_entries.EntryError, match=name):
        decode({key: value for key, value in GOOD.items() if key != name})


@pytest.mark.parametrize("data", [DEEP, LONG, "", "null", "NaN", "[1]", '{"a":', "\x00"])
def test_malformed_data_is_refused(data):
    with pytest.raises(target_entries.EntryError):
        target_entries.decode("servers/i-1", data.encode())


@pytest.mark.parametrize("key", ["servers/", "servers/a\r\nX: y", "servers/\u00e9", "servers/a b"])
def test_an_identity_that_is_not_a_valid_header_value_is_refused(key):
    with pytest.raises(target_entries.EntryError):
        decode(GOOD, key)


def test_an_unknown_field_is_ignored():
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
def test_any_bytes_are_decoded_or_refused(data):
    for read in (
        lambda: target_entries.decode("servers/i-1", data),
        lambda: target_documents.decode(data),
    ):
        try:
            read()
        except (target_entries.EntryError, target_documents.TargetDocumentError):
            continue


@hypothesis.given(strategies.dictionaries(strategies.sampled_from(list(GOOD)), VALUES))
def test_any_structure_is_decoded_or_refused(changes):
    try:
        found = decode({**GOOD, **changes})
    except target_entries.EntryError:
        return
    assert found.slots >= 1
    assert isinstance(found.born, int)


@hypothesis.given(strategies.lists(strategies.lists(VALUES, max_size=10), max_size=4))
def test_any_rows_from_a_peer_are_decoded_or_refused(rows):
    try:
        found = target_documents.decode(json.dumps(rows).encode())
    except target_documents.TargetDocumentError:
        return
    for change in found:
        assert isinstance(change.id, str)
        assert change.entry is None or change.entry.slots >= 1


def put(world, key, text):
    world.store.write(key, documents.encode_value(text))


def statuses(world, path="/read/q"):
    replies = [world.ask(name, path) for name in world.nodes]
    world.run(1.0)
    return {reply.status for reply in replies}


@pytest.mark.parametrize("text", [DEEP, LONG, "{}", json.dumps({**GOOD, "State": "odd"})])
@pytest.mark.parametrize("is_first", [False, True])
def test_a_malformed_entry_does_not_affect_valid_entries_of_its_batch(text, is_first):
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


def test_a_target_whose_entry_becomes_malformed_is_not_used_any_more():
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


def test_a_malformed_configuration_leaves_the_current_one_in_force():
    world = test_forwarding.build()
    put(world, documents.CONFIGURATION_KEY, DEEP)
    world.run(3.0)
    assert statuses(world) == {200}
    assert all(node._directory.age < 3 for node in world.nodes.values())
