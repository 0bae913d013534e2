"""Odd values within frames of other instances: decoded, refused, and never raised further."""

from __future__ import annotations

import dataclasses
import json
import math
import struct
import types

import hypothesis
import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet import task
from twisted.internet.testing import StringTransport

from lineworks.decisions import (
    catalog,
    evacuations,
    positions,
    quota,
    suspects,
    target_evidence,
    target_view,
    tickets,
)
from lineworks.forwarding import target_documents
from lineworks.models import relayed_reply
from lineworks.services import peer_link, peer_links, runs
from lineworks.wire import _base, codec, deflate, frames, node_frames
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
    assert target_documents.decode(target_documents.encode(found)) == found


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


def _update_of_empty_evacuations(count):
    """Return a frame whose evacuations have no bytes at all, however many it claims."""
    builder = codec._FRAME.new_message()
    builder.init("targetUpdate").init("evacuations", 3)
    data = bytearray(builder.to_bytes())
    pointer = data.index(bytes.fromhex("0500000067000000"))
    tag = data.index(bytes.fromhex("0c00000003000100"))
    data[pointer + 4 : pointer + 8] = struct.pack("<I", 7)
    data[tag : tag + 8] = struct.pack("<IHH", count << 2, 0, 0)
    return bytes(data)


@pytest.mark.parametrize("padding", [0, 1_000_000])
def test_a_frame_that_claims_many_empty_rows_is_malformed(padding):
    data = _update_of_empty_evacuations(20_000)
    segment_words = struct.unpack_from("<I", data, 4)[0] + padding // 8
    data = data[:4] + struct.pack("<I", segment_words) + data[8:] + bytes(padding)
    with pytest.raises(codec.MalformedFrameError):
        codec.decode(data, 0.0)


class _Transport(StringTransport):
    def setTcpNoDelay(self, enabled):  # noqa: N802
        pass

    def abortConnection(self):  # noqa: N802
        self.disconnecting = True


@pytest.mark.parametrize("packed", [deflate.Deflater().deflate, lambda data: data])
def test_a_large_frame_before_the_hello_closes_the_link_before_it_is_decoded(packed, monkeypatch):
    owner = peer_links.PeerLinks(task.Clock(), "b", "h", "i", b"s")
    link = peer_link.PeerLink(owner)
    link.makeConnection(_Transport())
    decoded = []
    monkeypatch.setattr(codec, "decode", lambda data, now: decoded.append(data))
    data = packed(codec.encode(frames.Challenge(bytes(100_000)), 0.0))
    link.dataReceived(struct.pack("!I", len(data)) + data)
    assert link.transport.disconnecting
    assert decoded == []


VALID = [
    frames.Challenge(b"n"),
    frames.Hello("a", "h", "i", b"m"),
    frames.Heartbeat(False, 1, "d", 3, 1, 5.0),
    frames.Holdings({"a": frozenset([catalog.Snapshot(7, "base")])}),
    frames.ConfigPull(1, "d"),
    frames.Relay(1, "t", b"{}", 1.0),
    node_frames.TargetUpdate(
        positions.Position(0, 1),
        positions.Position(0, 2),
        0.5,
        b"[]",
        (evacuations.EvacuationChange("h", positions.Position(0, 1), True),),
    ),
    node_frames.TableUpdate(1, b"{}", 0),
    node_frames.GatherParts(1, (1,), ("s",), b"r", (2,), (node_frames.Failure(0),), (1,), ("i",)),
    node_frames.ExtraAsk(1, ("a",), ("b",)),
    node_frames.CreditShare(1, 0.5),
    node_frames.QuotaAsk(1, "w", 1),
    node_frames.QuotaGrant(1, quota.Decision.GRANTED, 1.0),
    node_frames.QuotaShare(1, 1.5),
    node_frames.TargetReports(
        (target_evidence.Observation("i-1", target_evidence.Kind.SLOW, 2.0),)
    ),
    node_frames.SuspectReports(
        (suspects.Record("c", 1, (suspects.TargetEnd("i", "a", 0.0, True, True),), 1.0),)
    ),
]


@hypothesis.settings(max_examples=1_000)
@given(odd_values.damaged([codec.encode(frame, 1.0) for frame in VALID]))
def test_any_damaged_frame_is_malformed_or_can_be_passed_on(data):
    try:
        frame = codec.decode(data, 1.0)
    except codec.MalformedFrameError as error:
        assert str(error)
        return
    codec.decode(codec.encode(frame, 2.0), 2.0)


@given(st.lists(odd_values.damaged([deflate.Deflater().deflate(bytes(5_000))]), max_size=4))
def test_any_compressed_data_is_malformed_or_within_the_limit(parts):
    inflater = deflate.Inflater(10_000)
    for part in parts:
        try:
            assert len(inflater.inflate(part)) <= 10_000
        except codec.MalformedFrameError:
            return


def _large_frames():
    names = tuple(f"service-{number:06d}" for number in range(40_000))
    position = positions.Position(1, 1)
    ends = tuple(suspects.TargetEnd(f"i-{n}", "a" * 4_000, 0.0, True, True) for n in range(8))
    yield node_frames.ExtraAsk(1, names, names)
    yield node_frames.ExtraAsk(1, ("",) * 150_000, ())
    yield node_frames.SuspectReports((suspects.Record("c", 1, ends),) * 32)
    yield node_frames.TableUpdate(1, bytes(4_000_000), 0)
    halls = (evacuations.EvacuationChange("", position, True),) * 10_000
    yield node_frames.TargetUpdate(position, position, 0.0, b"[]", halls)
    counts = tuple(number % 60_000 for number in range(40_000))
    yield node_frames.GatherParts(1, counts, names, b"", (), (), counts)


@pytest.mark.parametrize("frame", _large_frames(), ids=lambda frame: type(frame).__name__)
def test_a_large_frame_of_valid_rows_is_read(frame):
    data = codec.encode(frame, 0.0)
    assert len(data) < codec.MAX_FRAME_BYTES
    assert type(codec.decode(data, 0.0)) is type(frame)


def test_columns_of_different_lengths_are_refused_before_they_are_read():
    read = []

    class Column(list):
        def __iter__(self):
            read.append(len(self))
            return super().__iter__()

    for columns in ([Column([1]), Column([1, 2])], [Column(), Column([1])]):
        with pytest.raises(codec.MalformedFrameError):
            _base.columns(*columns)
    assert read == []


@pytest.mark.parametrize("kind", ["suspectReports", "targetReports", "replies"])
def test_a_frame_with_one_long_column_is_refused_before_it_is_read(kind, monkeypatch):
    read = []
    columns = _base.columns
    monkeypatch.setattr(_base, "columns", lambda *readers: read.append(kind) or columns(*readers))
    column = {"suspectReports": "cleared", "targetReports": "kinds", "replies": "reasons"}[kind]
    builder = codec._FRAME.new_message()
    builder.init(kind).init(column, 3)
    with pytest.raises(codec.MalformedFrameError, match="columns of different lengths"):
        codec.decode(builder.to_bytes(), 0.0)
    assert read == [kind]


ODD_PARTS = {
    "a shard twice": lambda frame: {"shards": (0,) * len(frame.shards)},
    "a stamp of no header": lambda frame: {"stamps": ("\u20ac",) * len(frame.stamps)},
    "a stamp with a line end": lambda frame: {"stamps": ("a\r\nX: y",) * len(frame.stamps)},
    "records cut short": lambda frame: {"records": frame.records[:3]},
    "records of nobody": lambda frame: {"records": b"\xff" * 50},
    "counts out of range": lambda frame: {"counts": (65_535,) * len(frame.shards)},
    "shards out of range": lambda frame: {
        "shards": tuple(range(60_000, 60_000 + len(frame.shards)))
    },
    "failures out of range": lambda frame: {
        "failed": (65_535,),
        "failures": (node_frames.Failure(0),),
        "broken": ("\u20ac",),
    },
}


@pytest.mark.parametrize("odd", ODD_PARTS)
def test_odd_parts_of_a_search_raise_nothing_and_cost_no_later_search(odd, monkeypatch):
    world = test_forwarding.build()
    send = peer_link.PeerLink.send

    def send_odd(link, frame):
        if isinstance(frame, node_frames.GatherParts):
            frame = dataclasses.replace(frame, **ODD_PARTS[odd](frame))
        send(link, frame)

    monkeypatch.setattr(peer_link.PeerLink, "send", send_odd)
    replies = [world.ask(name, "/search/q") for name in world.nodes]
    world.run(3.0)
    assert all(reply.is_finished for reply in replies)
    monkeypatch.undo()
    world.run(3.0)
    replies = [world.ask(name, "/search/q") for name in world.nodes]
    world.run(2.0)
    assert [reply.status for reply in replies] == [200] * len(replies)
