"""Tests of the gatherer: when results are sent, and which records may be omitted."""

from __future__ import annotations

import random

import pytest
from twisted.internet import task

from lineworks.decisions import parts, routes, target_view, verdict
from lineworks.forwarding import gathering, search_state, target_book, target_calls
from lineworks.http1 import client_connection
from lineworks.wire import node_frames


class Calls:
    """Records calls to targets, which the test completes."""

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
    """A gatherer with a query in progress."""

    def __init__(
        self, shards=3, top=2, floor=b"", missing=(), flush_at=0.05, sibling_hall="", full=()
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
        if sibling_hall:
            entries.append(
                target_view.TargetEntry(
                    "i-far", "s0", sibling_hall, "10.0.0.2", 80, 2, False, False
                )
            )
        states = book.update(
            entries, {name: routes.ServiceSpec(name, 25) for name in services}
        ).added
        if sibling_hall:
            states[0].replica.ejected_until = 1.0
        self.states = {state.replica.target.service: state for state in states}
        for name in full:
            self.states[name].replica.in_flight = 2
            self.states[name].replica.progress_at = 0.0
        self.gatherer = gathering.Gatherer(self.clock, "akl", book, self.calls)
        query = node_frames.GatherQuery(
            7, tuple(services), b"", b"", b"a1", top, floor, deadline=2.0, flush_at=flush_at
        )
        self.gatherer.on_query("front-1", query, self.sent.append)

    def free_slot(self, service):
        self.states[service].replica.in_flight -= 1


def letters_of(frame):
    return "".join(chr(record[0]) for record in parts.split_records(frame.records))


def test_results_are_sent_at_the_flush_time_or_when_complete():
    case = Case()
    case.calls.answer("s0", "ab")
    case.calls.answer("s1", "c")
    assert case.sent == []
    case.calls.answer("s2", "d")
    assert len(case.sent) == 1
    assert letters_of(case.sent[0]) == "dc"
    assert sorted(case.sent[0].stamps) == ["stamp-s0", "stamp-s1", "stamp-s2"]
    assert case.gatherer.is_idle


def test_flush_sends_received_results_and_late_ones_follow_shortly():
    case = Case()
    case.calls.answer("s0", "ab")
    case.clock.advance(0.05)
    assert [frame.shards for frame in case.sent] == [(0,)]
    case.calls.answer("s1", "c")
    assert len(case.sent) == 1
    case.clock.advance(gathering.COALESCE_SECONDS)
    assert [frame.shards for frame in case.sent] == [(0,), (1,)]


def test_late_results_are_not_merged():
    # A merged late result was discarded as a whole, and all its shards were queried again, because
    # a hedge had already delivered one of them.
    case = Case(shards=4)
    case.calls.answer("s0", "ab")
    case.clock.advance(0.05)
    case.calls.answer("s1", "c")
    case.calls.answer("s2", "de")
    case.clock.advance(gathering.COALESCE_SECONDS)
    case.calls.answer("s3", "f")
    assert [frame.shards for frame in case.sent] == [(0,), (1, 2), (3,)]
    assert [frame.counts for frame in case.sent] == [(), (1, 2), (1,)]
    assert [letters_of(frame) for frame in case.sent] == ["ba", "ced", "f"]


def test_results_of_hedges_are_not_merged():
    # The result of a hedge was merged with that of a shard that the front had received meanwhile.
    # The front discarded both and queried a third target.
    case = Case(shards=3, flush_at=0.0)
    case.clock.advance(0.0)
    case.calls.answer("s0", "ab")
    case.calls.answer("s1", "c")
    case.clock.advance(gathering.COALESCE_SECONDS)
    case.calls.answer("s2", "a")
    assert [frame.shards for frame in case.sent] == [(0, 1), (2,)]
    assert [frame.counts for frame in case.sent] == [(2, 1), (1,)]
    assert [letters_of(frame) for frame in case.sent] == ["bac", "a"]


def test_unmerged_results_are_decoded_separately():
    tries = [search_state.ShardAttempt(None, 0.0, shard=shard) for shard in (4, 5, 6)]
    records = b"".join(letter.encode() * 16 for letter in "ced")
    frame = node_frames.GatherParts(7, (2, 9, 0), ("x", "y", "z"), records, (), (), (1, 1, 1))
    found = search_state.read_parts(tries, frame)
    assert [(part.stamps, sorted(part.shards), done) for part, done in found] == [
        (("x",), [6], [tries[2]]),
        (("z",), [4], [tries[0]]),
    ]
    assert [part.records for part, _ in found] == [(b"c" * 16,), (b"d" * 16,)]


def test_only_the_first_result_raises_the_floor():
    # A front may discard a later result, so its records must not raise the floor of the next one.
    case = Case(top=2)
    case.calls.answer("s0", "ab")
    case.clock.advance(0.05)
    case.calls.answer("s1", "yz")
    case.clock.advance(gathering.COALESCE_SECONDS)
    case.calls.answer("s2", "ac")
    assert [letters_of(frame) for frame in case.sent] == ["ba", "zy", "ca"]


def test_records_below_the_floor_are_omitted():
    case = Case(shards=1, top=3, floor=b"m" * 16)
    case.calls.answer("s0", "amz")
    assert letters_of(case.sent[0]) == "zm"


def test_failures_are_sent_at_once():
    case = Case(missing=("s2",))
    assert case.sent[0].failed == (2,)
    assert case.sent[0].failures == (node_frames.Failure.NOT_SENT,)
    case.calls.fail("s1", verdict.may_have_run(verdict.Reason.LINK_LOST))
    assert case.sent[1].failures == (node_frames.Failure.MAY_HAVE_RUN,)
    case.calls.fail("s0", verdict.not_run(verdict.Reason.OVERLOADED))
    assert case.sent[2].failures == (node_frames.Failure.NOT_RUN,)
    assert case.gatherer.is_idle


@pytest.mark.parametrize("reason", [verdict.Reason.UNREACHABLE, verdict.Reason.CAPPED])
def test_calls_that_reached_no_target_are_reported_as_not_sent(reason):
    case = Case(shards=1)
    case.calls.fail("s0", verdict.not_run(reason))
    assert case.sent[0].failures == (node_frames.Failure.NOT_SENT,)


def test_cancelled_shards_are_stopped_and_not_sent():
    case = Case()
    case.calls.answer("s1", "c")
    case.gatherer.on_cancel("front-1", node_frames.GatherCancel(7, (0, 1)))
    assert case.calls.cancelled == ["s0"]
    case.calls.answer("s2", "d")
    assert [frame.shards for frame in case.sent] == [(2,)]


def test_a_lost_link_or_the_deadline_cancels_all_calls():
    case = Case()
    case.gatherer.on_origin_lost("front-1")
    assert sorted(case.calls.cancelled) == ["s0", "s1", "s2"]
    other = Case()
    other.clock.advance(2.0)
    assert sorted(other.calls.cancelled) == ["s0", "s1", "s2"]
    assert other.gatherer.is_idle


@pytest.mark.parametrize(("flush_at", "asked"), [(0.05, []), (0.0, ["s0"])])
def test_a_stalled_target_is_called_for_hedges_but_not_for_first_attempts(flush_at, asked):
    # A hedge failed with "no target of the hall has room", since the hall's only target was stalled
    # while the target in the other hall was not.
    case = Case(shards=1, flush_at=flush_at, sibling_hall="wlg")
    assert list(case.calls.open) == asked
    failed = [frame.failures for frame in case.sent]
    assert failed == ([] if asked else [(node_frames.Failure.NOT_SENT,)])


def test_a_full_target_is_called_as_soon_as_a_slot_is_free():
    case = Case(shards=2, full=["s1"])
    assert list(case.calls.open) == ["s0"]
    case.clock.advance(0.012)
    assert case.sent == []
    case.free_slot("s1")
    case.clock.advance(gathering.SLOT_POLL_SECONDS)
    assert list(case.calls.open) == ["s0", "s1"]
    case.calls.answer("s0", "a")
    case.calls.answer("s1", "b")
    assert [frame.shards for frame in case.sent] == [(0, 1)]
    assert case.gatherer.is_idle


def test_a_target_that_stays_full_is_reported_before_the_flush_time():
    case = Case(shards=2, full=["s1"])
    for _ in range(10):
        case.clock.advance(gathering.SLOT_POLL_SECONDS)
    assert [frame.failed for frame in case.sent if frame.failed] == [(1,)]
    case.calls.answer("s0", "a")
    assert case.gatherer.is_idle


def test_a_hedge_at_a_full_target_fails_at_once():
    case = Case(shards=1, flush_at=0.0, full=["s0"])
    assert [frame.failed for frame in case.sent] == [(0,)]
    assert case.gatherer.is_idle


def test_a_query_that_waits_for_a_slot_can_be_cancelled():
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
def test_with_workspaces_a_free_slot_goes_to_the_most_urgent_query(is_fair, expected):
    case = Case(shards=1, full=("s0",))
    case.gatherer.on_cancel("front-1", node_frames.GatherCancel(7))
    sent = []
    case.calls.send = lambda state, call, on_end: sent.append(call.attempt) or (lambda: False)
    for number, (workspace, priority) in enumerate((("patient", 2), ("urgent", 0))):
        query = _later_query(number + 8, workspace, priority, is_fair)
        case.gatherer.on_query("front-1", query, case.sent.append)
    case.free_slot("s0")
    # The stand-in for calls occupies no slot, so only the first call shows the order.
    case.clock.advance(0.006)
    assert sent[0] == expected


def test_a_new_query_does_not_overtake_a_more_urgent_one():
    case = Case(shards=1, full=("s0",))
    case.gatherer.on_cancel("front-1", node_frames.GatherCancel(7))
    sent = []
    case.calls.send = lambda state, call, on_end: sent.append(call.attempt) or (lambda: False)
    case.gatherer.on_query("front-1", _later_query(8, "urgent", 0, True), case.sent.append)
    case.free_slot("s0")
    case.gatherer.on_query("front-1", _later_query(9, "patient", 2, True), case.sent.append)
    assert sent == []
    case.clock.advance(0.006)
    assert sent == [b"urgent", b"patient"]
