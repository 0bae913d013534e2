"""Odd values within frames of other instances: decoded, refused, and never raised further."""

from __future__ import annotations

import dataclasses
import json
import math

import pytest
from hypothesis import given

from lineworks.decisions import positions, target_view
from lineworks.forwarding import target_documents
from lineworks.wire import codec, node_frames
from tests import odd_values, test_forwarding

ENTRY = ["shelf", "akl", "10.0.0.1", 80, 2, False, False, 17]
GOOD = ["i-1", 0, 7, *ENTRY]
ROWS = [GOOD, ["i-2", 0, 8]]
UNSETTLED = [["held", 1.5, *GOOD], ["held", 2, "i-2", 0, 8]]
ODD_FIELDS = [
    (3, '"\\ud800"'),
    (5, '"no-address"'),
    (5, '"fe80::1%odd"'),
    (6, "70000"),
    (6, "-1"),
    (7, "1" + "0" * 400),
    (10, "1" + "0" * 400),
]


@given(odd_values.documents(ROWS))
def test_any_targets_of_a_peer_are_refused_or_can_be_used(data):
    try:
        found = target_documents.decode(data)
    except target_documents.TargetDocumentError as error:
        assert len(str(error)) <= target_documents.MAX_REASON_CHARACTERS
        return
    check_usable(found)
    kept = [dataclasses.replace(change, is_refused=False) for change in found]
    assert target_documents.decode(target_documents.encode(found)) == kept


@given(odd_values.documents(UNSETTLED))
def test_any_unsettled_targets_of_a_peer_are_refused_or_can_be_used(data):
    try:
        found = target_documents.decode_unsettled(data)
    except target_documents.TargetDocumentError:
        return
    assert all(math.isfinite(one.seconds) for one in found)
    check_usable([one.change for one in found])
    target_documents.encode_unsettled(found)


def check_usable(changes):
    for change in changes:
        change.id.encode("ascii")
        update = node_frames.TargetUpdate(change.position, change.position, 0.0, b"")
        codec.encode(update, 0.0)
        if change.entry is not None:
            assert 0 < change.entry.port < 65536
            assert change.entry.slots >= 1
            float(change.entry.slots)
            "".join((change.entry.service, change.entry.hall, change.entry.host)).encode("utf-8")


@pytest.mark.parametrize(("place", "odd"), ODD_FIELDS)
def test_an_odd_target_of_a_peer_does_not_lose_the_good_ones_beside_it(place, odd):
    rows = [["i-0", 0, 6, *ENTRY], GOOD, ["i-2", 0, 8, *ENTRY]]
    found = target_documents.decode(odd_values.with_odd(rows, (1, place), odd))
    assert [change.id for change in found if change.entry] == ["i-0", "i-2"]
    assert found[1] == target_view.TargetChange("i-1", positions.Position(0, 7), None, True)


@pytest.mark.parametrize(("place", "odd"), [(1, "1" + "0" * 400), (1, "1e999"), (7, '"odd"')])
def test_an_odd_frame_of_targets_does_not_close_the_link(place, odd):
    world = test_forwarding.build()
    sender = world.nodes["akl-1"]
    document = odd_values.with_odd([["held", 1.5, *GOOD]], (0, place), odd)
    at = sender.directory._view.position
    update = node_frames.TargetUpdate(at, at, 0.0, b"[]", (), document)
    sender._links.broadcast(update)
    closed = [sum(node._links.counts.values()) for node in world.nodes.values()]
    world.run(3.0)
    assert [sum(node._links.counts.values()) for node in world.nodes.values()] == closed
    assert all(len(node._links.up) == len(world.nodes) - 1 for node in world.nodes.values())


def test_a_document_of_targets_that_is_no_list_is_refused():
    for text in (odd_values.DEEP, odd_values.LONG_NUMBER, "{}", json.dumps(odd_values.BIG_TEXT)):
        with pytest.raises(target_documents.TargetDocumentError):
            target_documents.decode(text.encode())
