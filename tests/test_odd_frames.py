"""Odd values within frames of other instances: decoded, refused, and never raised further."""

from __future__ import annotations

import dataclasses
import json
import math
import types

import pytest
from hypothesis import given

from lineworks.decisions import catalog, positions, target_view, tickets
from lineworks.forwarding import target_documents
from lineworks.models import relayed_reply
from lineworks.services import runs
from lineworks.wire import codec, frames, node_frames
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


REPLY = [200, {"a": [1]}, 1.5]


@given(odd_values.documents(REPLY))
def test_any_relayed_reply_is_refused_or_can_be_sent_to_a_caller(data):
    try:
        reply = relayed_reply.decode(data)
    except relayed_reply.RelayedReplyError as error:
        assert str(error)
        return
    json.dumps(reply.document, ensure_ascii=False).encode()
    assert 200 <= reply.status <= 599
    assert math.ceil(reply.retry_after or 0.0) >= 0


def test_an_odd_relayed_reply_closes_its_link_and_raises_nothing():
    for text in ("1", "[1,2,3]", "null", odd_values.DEEP, odd_values.LONG_NUMBER):
        link = types.SimpleNamespace(hello=types.SimpleNamespace(name="b"), reasons=[])
        link.close = link.reasons.append
        runner = types.SimpleNamespace(_pending_relays={1: ("b", None)})
        runs.RequestRunner._on_relay_reply(runner, link, frames.RelayReply(1, text.encode()))
        assert [reason.partition(":")[0] for reason in link.reasons] == ["malformed frame"]


ODD_TICKETS = [f"t1~a~i~{odd_values.LONG_NUMBER}~n", "t1~a~i~\u0663~n", "t1~a~i~~n", "t1~a~i~-1~n"]


@pytest.mark.parametrize("text", ODD_TICKETS)
def test_a_ticket_with_an_odd_number_is_refused(text):
    with pytest.raises(tickets.TicketError):
        tickets.parse(text)


ODD_SNAPSHOTS = [f"{odd_values.LONG_NUMBER}@base", f"{2**64}@base", "7@a,b", "7@", "7@\0", "7"]


@pytest.mark.parametrize("text", ODD_SNAPSHOTS)
def test_a_snapshot_that_no_frame_can_carry_is_refused(text):
    with pytest.raises(ValueError, match="not a snapshot"):
        catalog.parse_snapshot(text)


@pytest.mark.parametrize("text", ODD_SNAPSHOTS)
def test_an_odd_snapshot_of_a_target_does_not_cost_a_peer_its_holdings(text):
    odd = types.SimpleNamespace(services=["a", "b"], snapshots=[f"7@base,{text}", "8@base"])
    found = codec._read_holdings(odd, 0.0).held
    assert catalog.Snapshot(7, "base") in found["a"]
    assert found["b"] == {catalog.Snapshot(8, "base")}
