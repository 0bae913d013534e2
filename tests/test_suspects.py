"""Requests under which targets ended: what accuses, what clears, how reports are merged."""

from __future__ import annotations

import dataclasses

import hypothesis
import pytest
from hypothesis import strategies

from lineworks.decisions import suspects
from lineworks.forwarding import suspect_documents
from lineworks.wire import codec, node_frames

A = "a" * 24
CLEAR, TRIAL, REFUSE = suspects.Judgement


def wave(held, count=4, now=0.0, is_proven=True):
    """Let targets end under an ordinary try."""
    names = [f"i-{number}" for number in range(count)]
    held.note_ends(A, names, "w", False, now)
    if is_proven:
        for name in names:
            held.note_proven(A, name, "w", now)


def trial(held, name, now):
    """Let the target of a trial end."""
    attempt = f"t{now}"
    held.note_ends(A, [name], attempt, True, now)
    held.note_proven(A, name, attempt, now)


def make_refused(now=0.0):
    held = suspects.Suspects()
    wave(held, now=now)
    trial(held, "i-t", now)
    return held


def test_ends_alone_make_a_suspect_and_a_trial_that_ends_its_target_a_refusal():
    held = suspects.Suspects()
    assert held.judge(A, 0.0) is CLEAR
    wave(held, 12)
    assert held.judge(A, 0.0) is TRIAL
    trial(held, "i-t", 1.0)
    assert held.judge(A, 1.0) is REFUSE


def test_fewer_proven_ends_than_three_are_chance():
    held = suspects.Suspects()
    wave(held, 1)
    trial(held, "i-t", 1.0)
    assert held.judge(A, 1.0) is TRIAL
    trial(held, "i-u", 2.0)
    assert held.judge(A, 2.0) is REFUSE


def test_connections_that_ended_alone_refuse_nothing_and_are_forgotten_soon():
    held = suspects.Suspects()
    wave(held, 4, is_proven=False)
    held.note_ends(A, ["i-t"], "t", True, 1.0)
    assert held.judge(A, 1.0) is TRIAL
    held.expire(1.0 + suspects.UNPROVEN_SECONDS)
    assert held.judge(A, 12.0) is CLEAR
    assert not held.records


def test_an_answer_clears_and_reports_that_come_late_accuse_no_more():
    held = make_refused()
    late = held.records[A]
    assert held.note_answer(A, 2.0) is not None
    assert held.note_answer(A, 2.0) is None
    assert held.merge(late, 3.0) is None
    assert held.judge(A, 3.0) is CLEAR
    held.expire(2.0 + suspects.CLEARED_SECONDS)
    assert not held.records


def test_after_its_time_one_trial_decides_and_the_next_time_is_longer():
    held = make_refused()
    first, second, third = suspects.REFUSE_SECONDS
    assert held.judge(A, first - 1) is REFUSE
    assert held.judge(A, first) is TRIAL
    trial(held, "i-u", first)
    assert held.judge(A, first + second - 1) is REFUSE
    assert held.judge(A, first + second) is TRIAL
    trial(held, "i-v", first + second)
    assert held.judge(A, first + second + third - 1) is REFUSE


def test_a_lifted_refusal_needs_a_new_trial():
    held = make_refused()
    assert held.lift(A, 5.0) is not None
    assert held.judge(A, 5.0) is TRIAL
    assert held.lift(A, 5.0) is None
    trial(held, "i-u", 6.0)
    assert held.judge(A, 6.0) is REFUSE


def test_a_full_memory_forgets_the_least_dangerous_and_counts_it():
    held = make_refused()
    for number in range(suspects.MAX_RECORDS):
        held.note_ends(f"{number:024d}", ["i-1"], "w", False, 1.0 + number)
    assert len(held.records) == suspects.MAX_RECORDS
    assert held.forgotten == 1
    assert held.judge(A, 1.0) is REFUSE
    assert f"{0:024d}" not in held.records


def test_records_are_bounded_and_keep_trials_and_proofs():
    held = suspects.Suspects()
    wave(held, 40, is_proven=False)
    trial(held, "i-t", 1.0)
    for name in ("i-39", "i-38", "i-37"):
        held.note_ends(A, [name], "v", False, 2.0)
        held.note_proven(A, name, "v", 2.0)
    record = held.records[A]
    assert len(record.ends) <= suspects.MAX_ENDS
    assert held.judge(A, 2.0) is REFUSE


ENDS = strategies.builds(
    suspects.TargetEnd,
    target=strategies.sampled_from([f"i-{number}" for number in range(12)]),
    attempt=strategies.sampled_from(["t1", "t2"]),
    at=strategies.integers(0, 5).map(float),
    is_trial=strategies.booleans(),
    is_proven=strategies.booleans(),
)
RECORDS = strategies.builds(
    suspects.Record,
    content=strategies.sampled_from(["a" * 24, "b" * 24]),
    epoch=strategies.integers(0, 2),
    ends=strategies.lists(ENDS, max_size=4, unique_by=lambda end: (end.target, end.attempt)).map(
        tuple
    ),
    cleared_at=strategies.none() | strategies.integers(0, 5).map(float),
)


def judged(held):
    return {content: record.judge(6.0) for content, record in held.records.items()}


@hypothesis.given(strategies.lists(RECORDS, max_size=6), strategies.randoms())
def test_any_order_and_repeats_of_reports_lead_to_the_same_judgement(records, rng):
    # Each report accuses or clears, never both.
    records = [
        dataclasses.replace(record, ends=()) if record.cleared_at is not None else record
        for record in records
    ]
    # All reports of one end agree but for its proof.
    known = {}
    for record in records:
        for end in record.ends:
            known.setdefault((record.content, record.epoch, end.target, end.attempt), end)
    records = [
        dataclasses.replace(
            record,
            ends=tuple(
                dataclasses.replace(
                    known[(record.content, record.epoch, end.target, end.attempt)],
                    is_proven=end.is_proven,
                )
                for end in record.ends
            ),
        )
        for record in records
        if record.ends or record.cleared_at is not None
    ]
    one, other = suspects.Suspects(), suspects.Suspects()
    for record in records:
        one.merge(record, 5.0)
    shuffled = [*records, *records]
    rng.shuffle(shuffled)
    for record in shuffled:
        other.merge(record, 5.0)
    assert judged(one) == judged(other)


@hypothesis.given(strategies.lists(RECORDS, max_size=5))
def test_reports_travel_whole(records):
    frame = node_frames.SuspectReports(tuple(records))
    assert codec.decode(codec.encode(frame, 6.0), 6.0) == frame


@hypothesis.given(RECORDS)
def test_the_store_holds_all_but_times(record):
    read = suspect_documents.decode(record.content, suspect_documents.encode(record), 9.0)
    assert read.epoch == record.epoch
    assert (read.cleared_at is None) == (record.cleared_at is None)
    assert [dataclasses.replace(end, at=0.0) for end in read.ends] == [
        dataclasses.replace(end, at=0.0) for end in record.ends
    ]


def test_a_target_that_is_down_can_not_end_again():
    # A proxy before it goes on to accept connections and closes them: tries of an innocent read
    # that came ten times a second were taken for ends of targets that another request had ended.
    held = suspects.Suspects()
    trial(held, "i-1", 0.0)
    other = "b" * 24
    assert held.note_ends(other, ["i-1"], "t2", False, suspects.DOWN_SECONDS - 0.1) is None
    assert held.note_ends(other, ["i-1", "i-2"], "t3", False, 1.0) is not None
    assert [end.target for end in held.records[other].ends] == ["i-2"]
    assert held.note_ends(other, ["i-1"], "t4", False, suspects.DOWN_SECONDS) is not None


def test_what_was_answered_lately_is_accused_by_nobody():
    held = suspects.Suspects()
    assert held.note_answer(A, 1.0) is None
    wave(held, now=2.0)
    assert not held.records
    # Another instance doesn't know, and is told.
    told = suspects.Record(A, 0, (suspects.TargetEnd("i-1", "t", 2.0, False, True),))
    assert held.merge(told, 2.1) is not None
    cleared = held.clear_if_answered(A, 2.1)
    assert cleared is not None
    assert cleared.cleared_at == 2.1
    assert held.judge(A, 2.2) is CLEAR
    later = 1.0 + suspects.CLEARED_SECONDS
    assert held.clear_if_answered("b" * 24, later) is None
    for number in range(suspects.MAX_ANSWERED):
        held.note_answer(f"{number:024d}", 3.0)
    wave(held, now=3.0 + suspects.CLEARED_SECONDS)
    assert held.judge(A, 3.0 + suspects.CLEARED_SECONDS) is TRIAL


@pytest.mark.parametrize(
    "data",
    [b"", b"[]", b"{}", b'{"epoch":1}', b'{"epoch":1,"cleared":0,"ends":[["a"]]}', b"[" * 100_000]
    + [b'{"epoch":"x","cleared":0,"ends":[]}', b"\xff\xfe", b'{"epoch":1e999,"cleared":0}'],
)
def test_a_damaged_document_is_refused(data):
    with pytest.raises(suspect_documents.SuspectDocumentError):
        suspect_documents.decode(A, data, 0.0)


def test_a_target_that_is_back_and_ends_again_under_its_identity_counts_again():
    # A target was back under the identity that it had before its entry told of it: its next end,
    # in a trial, was taken for the first one, and the request stayed on trial for good.
    held = suspects.Suspects()
    for name in ("i-1", "i-2", "i-3"):
        held.note_ends(A, [name], "t1", False, 0.0)
        held.note_proven(A, name, "t1", 0.0)
    held.note_ends(A, ["i-1"], "t2", True, 4.0)
    held.note_proven(A, "i-1", "t2", 4.0)
    assert held.judge(A, 4.0) is REFUSE


def test_one_end_that_several_tries_saw_counts_once():
    held = suspects.Suspects()
    for number in range(4):
        held.note_ends(A, ["i-1"], f"t{number}", False, 0.01 * number)
        held.note_proven(A, "i-1", f"t{number}", 0.1)
    trial(held, "i-t", 1.0)
    assert held.records[A].proven == 2
    assert held.judge(A, 1.0) is TRIAL
