"""The gatherer: what travels when, and which records may be left out."""

from __future__ import annotations

import random

import pytest
from twisted.internet import task

from lineworks.decisions import parts, routes, target_view, verdict
from lineworks.forwarding import gathering, search_state, target_book, target_calls
from lineworks.http1 import client_connection
from lineworks.wire import node_frames


class Calls:
    """Takes calls; the test ends them."""

    def __init__(self):
        self.open = {}
        self.cancelled = []

    def send(self, state, call, on_end):
        service = state.replica.target.service
        self.open[service] = on_end
        return lambda: self.cancelled.append(service)

    def answer(self, service, letters):
        body = b"".join(letter.encode() * 16 for letter in letters)
        fields = [(b"x-response-stamp", f"stamp-{service}".encode())]
        response = client_connection.Response(200, fields, body)
        self.open.pop(service)(target_calls.CallEnd(verdict.OK, response))

    def fail(self, service, found):
        self.open.pop(service)(target_calls.CallEnd(found))


class Case:
    def __init__(
        self, shards=3, top=2, floor=b"", missing=(), flush_at=0.05, stalled_beside="", full=()
    ):
        self.clock = task.Clock()
        self.calls = Calls()
        self.sent = []
        services = [f"s{number}" for number in range(shards)]
        book = target_book.TargetBook("akl", {"akl": "akl"}, random.Random(1))
        entries = [
            target_view.TargetEntry(f"i-{name}", name, "akl", "10.0.0.1", 80, 2, False, False)
            for name in services
            if name not in missing
        ]
        if stalled_beside:
            entries.append(
                target_view.TargetEntry(
                    "i-far", "s0", stalled_beside, "10.0.0.2", 80, 2, False, False
                )
            )
        states = book.update(
            entries, {name: routes.ServiceSpec(name, 25) for name in services}
        ).added
        if stalled_beside:
            states[0].replica.suspect_until = 1.0
        self.states = {state.replica.target.service: state for state in states}
        for name in full:
            self.states[name].replica.in_flight = 2
            self.states[name].replica.progress_at = 0.0
        self.gatherer = gathering.Gatherer(self.clock, "akl", book, self.calls)
        query = node_frames.GatherQuery(
            7, tuple(services), b"", b"", b"a1", top, floor, deadline=2.0, flush_at=flush_at
        )
        self.gatherer.on_query("front-1", query, self.sent.append)

    def make_room(self, service):
        self.states[service].replica.in_flight -= 1


def rows(frame):
    return "".join(chr(record[0]) for record in parts.split_records(frame.records))


def test_nothing_travels_before_the_flush_unless_all_is_in():
    case = Case()
    case.calls.answer("s0", "ab")
    case.calls.answer("s1", "c")
    assert case.sent == []
    case.calls.answer("s2", "d")
    assert len(case.sent) == 1
    assert rows(case.sent[0]) == "dc"
    assert sorted(case.sent[0].stamps) == ["stamp-s0", "stamp-s1", "stamp-s2"]
    assert case.gatherer.is_idle


def test_the_flush_sends_what_is_in_and_later_parts_follow_soon():
    case = Case()
    case.calls.answer("s0", "ab")
    case.clock.advance(0.05)
    assert [frame.shards for frame in case.sent] == [(0,)]
    case.calls.answer("s1", "c")
    assert len(case.sent) == 1
    case.clock.advance(gathering.COALESCE_SECONDS)
    assert [frame.shards for frame in case.sent] == [(0,), (1,)]


def test_late_parts_are_not_merged_so_that_each_is_of_use_without_the_others():
    # Found on quiet-1 of convivio-sul: a merged late part was dropped whole and all its shards were
    # asked again, because a hedge had brought one of them.
    case = Case(shards=4)
    case.calls.answer("s0", "ab")
    case.clock.advance(0.05)
    case.calls.answer("s1", "c")
    case.calls.answer("s2", "de")
    case.clock.advance(gathering.COALESCE_SECONDS)
    case.calls.answer("s3", "f")
    assert [frame.shards for frame in case.sent] == [(0,), (1, 2), (3,)]
    assert [frame.counts for frame in case.sent] == [(), (1, 2), (1,)]
    assert [rows(frame) for frame in case.sent] == ["ba", "ced", "f"]


def test_parts_of_hedges_are_never_merged():
    # Found on trouble-1 of convivio-sul: a hedge's target had answered, its part was merged with
    # that of a shard that had come in meanwhile, and a third target was asked.
    case = Case(shards=3, flush_at=0.0)
    case.clock.advance(0.0)
    case.calls.answer("s0", "ab")
    case.calls.answer("s1", "c")
    case.clock.advance(gathering.COALESCE_SECONDS)
    case.calls.answer("s2", "a")
    assert [frame.shards for frame in case.sent] == [(0, 1), (2,)]
    assert [frame.counts for frame in case.sent] == [(2, 1), (1,)]
    assert [rows(frame) for frame in case.sent] == ["bac", "a"]


def test_parts_side_by_side_are_read_apart():
    tries = [search_state.ShardAttempt(None, 0.0, shard=shard) for shard in (4, 5, 6)]
    records = b"".join(letter.encode() * 16 for letter in "ced")
    frame = node_frames.GatherParts(7, (2, 9, 0), ("x", "y", "z"), records, (), (), (1, 1, 1))
    found = search_state.read_parts(tries, frame)
    assert [(part.stamps, sorted(part.shards), done) for part, done in found] == [
        (("x",), [6], [tries[2]]),
        (("z",), [4], [tries[0]]),
    ]
    assert [part.records for part, _ in found] == [(b"c" * 16,), (b"d" * 16,)]


def test_only_the_first_part_sets_the_floor_of_later_ones():
    # A front may have no use for a later part, so what it holds must not cut the next one.
    case = Case(top=2)
    case.calls.answer("s0", "ab")
    case.clock.advance(0.05)
    case.calls.answer("s1", "yz")
    case.clock.advance(gathering.COALESCE_SECONDS)
    case.calls.answer("s2", "ac")
    assert [rows(frame) for frame in case.sent] == ["ba", "zy", "ca"]


def test_records_below_the_floor_are_left_out():
    case = Case(shards=1, top=3, floor=b"m" * 16)
    case.calls.answer("s0", "amz")
    assert rows(case.sent[0]) == "zm"


def test_failures_travel_at_once():
    case = Case(missing=("s2",))
    assert case.sent[0].failed == (2,)
    assert case.sent[0].failures == (node_frames.Failure.NOT_SENT,)
    case.calls.fail("s1", verdict.may_have_run(verdict.Reason.LINK_LOST))
    assert case.sent[1].failures == (node_frames.Failure.MAY_HAVE_RUN,)
    case.calls.fail("s0", verdict.not_run(verdict.Reason.OVERLOADED))
    assert case.sent[2].failures == (node_frames.Failure.NOT_RUN,)
    assert case.gatherer.is_idle


@pytest.mark.parametrize("reason", [verdict.Reason.UNREACHABLE, verdict.Reason.CAPPED])
def test_what_reached_no_target_is_told_apart(reason):
    case = Case(shards=1)
    case.calls.fail("s0", verdict.not_run(reason))
    assert case.sent[0].failures == (node_frames.Failure.NOT_SENT,)


def test_a_cancelled_shard_is_stopped_and_never_travels():
    case = Case()
    case.calls.answer("s1", "c")
    case.gatherer.on_cancel("front-1", node_frames.GatherCancel(7, (0, 1)))
    assert case.calls.cancelled == ["s0"]
    case.calls.answer("s2", "d")
    assert [frame.shards for frame in case.sent] == [(2,)]


def test_a_lost_front_and_a_passed_deadline_stop_everything():
    case = Case()
    case.gatherer.on_origin_lost("front-1")
    assert sorted(case.calls.cancelled) == ["s0", "s1", "s2"]
    other = Case()
    other.clock.advance(2.0)
    assert sorted(other.calls.cancelled) == ["s0", "s1", "s2"]
    assert other.gatherer.is_idle


@pytest.mark.parametrize(("flush_at", "asked"), [(0.05, []), (0.0, ["s0"])])
def test_a_stalled_target_is_asked_for_a_hedge_but_not_for_a_first_attempt(flush_at, asked):
    # Found in the log of trouble-1 of convivio-sul: a hedge was told that the hall had no target
    # with room, since the hall's target was stalled and the one that it stood beside was not.
    case = Case(shards=1, flush_at=flush_at, stalled_beside="wlg")
    assert list(case.calls.open) == asked
    failed = [frame.failures for frame in case.sent]
    assert failed == ([] if asked else [(node_frames.Failure.NOT_SENT,)])


def test_a_full_target_is_asked_as_soon_as_it_has_room():
    case = Case(shards=2, full=["s1"])
    assert list(case.calls.open) == ["s0"]
    case.clock.advance(0.012)
    assert case.sent == []
    case.make_room("s1")
    case.clock.advance(gathering.SLOT_POLL_SECONDS)
    assert list(case.calls.open) == ["s0", "s1"]
    case.calls.answer("s0", "a")
    case.calls.answer("s1", "b")
    assert [frame.shards for frame in case.sent] == [(0, 1)]
    assert case.gatherer.is_idle


def test_a_target_that_stays_full_is_reported_before_the_front_looks_at_what_is_late():
    case = Case(shards=2, full=["s1"])
    for _ in range(10):
        case.clock.advance(gathering.SLOT_POLL_SECONDS)
    assert [frame.failed for frame in case.sent if frame.failed] == [(1,)]
    case.calls.answer("s0", "a")
    assert case.gatherer.is_idle


def test_a_hedge_is_told_at_once_that_its_target_is_full():
    case = Case(shards=1, flush_at=0.0, full=["s0"])
    assert [frame.failed for frame in case.sent] == [(0,)]
    assert case.gatherer.is_idle


def test_a_query_that_waits_for_room_can_be_given_up():
    case = Case(shards=2, full=["s1"])
    case.calls.answer("s0", "a")
    assert not case.gatherer.is_idle
    case.gatherer.on_cancel("front-1", node_frames.GatherCancel(7, ()))
    assert case.gatherer.is_idle
    assert not case.clock.getDelayedCalls()


def _later_query(number, workspace, priority, is_fair):
    return node_frames.GatherQuery(
        number,
        ("s0",),
        b"",
        b"",
        workspace.encode(),
        2,
        b"",
        deadline=2.0,
        flush_at=0.5,
        is_fair=is_fair,
        workspace=workspace,
        priority=priority,
        due=1.0,
    )


@pytest.mark.parametrize(("is_fair", "expected"), [(True, b"urgent"), (False, b"patient")])
def test_room_at_a_full_target_goes_to_the_most_urgent_query_that_waits(is_fair, expected):
    case = Case(shards=1, full=("s0",))
    case.gatherer.on_cancel("front-1", node_frames.GatherCancel(7))
    sent = []
    case.calls.send = lambda state, call, on_end: sent.append(call.attempt) or (lambda: False)
    for number, (workspace, priority) in enumerate((("patient", 2), ("urgent", 0))):
        query = _later_query(number + 8, workspace, priority, is_fair)
        case.gatherer.on_query("front-1", query, case.sent.append)
    case.make_room("s0")
    # The stand-in for calls takes no slot, so the first one to be sent tells the order.
    case.clock.advance(0.006)
    assert sent[0] == expected


def test_a_newcomer_at_a_gatherer_does_not_pass_a_more_urgent_query():
    case = Case(shards=1, full=("s0",))
    case.gatherer.on_cancel("front-1", node_frames.GatherCancel(7))
    sent = []
    case.calls.send = lambda state, call, on_end: sent.append(call.attempt) or (lambda: False)
    case.gatherer.on_query("front-1", _later_query(8, "urgent", 0, True), case.sent.append)
    case.make_room("s0")
    case.gatherer.on_query("front-1", _later_query(9, "patient", 2, True), case.sent.append)
    assert sent == []
    case.clock.advance(0.006)
    assert sent == [b"urgent", b"patient"]
