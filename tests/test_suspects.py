"""Suspect requests: what makes and clears a suspect, and how records are merged."""

from __future__ import annotations

import dataclasses

import hypothesis
import pytest
from hypothesis import strategies

from lineworks.decisions import suspects
from lineworks.forwarding import suspect_documents
from lineworks.wire import codec, node_frames

CONTENT = "a" * 24
CLEAR, TRIAL, REFUSE = suspects.Judgement


def note_parallel_ends(registry, count=4, now=0.0, is_proven=True):
    """Record that targets ended under an ordinary attempt."""
    names = [f"i-{number}" for number in range(count)]
    registry.note_ends(CONTENT, names, "w", False, now)
    if is_proven:
        for name in names:
            registry.note_proven(CONTENT, name, "w", now)


def note_trial_end(registry, name, now):
    """Record that the target of a trial ended, with proof."""
    attempt = f"t{now}"
    registry.note_ends(CONTENT, [name], attempt, True, now)
    registry.note_proven(CONTENT, name, attempt, now)


def make_refused(now=0.0):
    registry = suspects.Suspects()
    note_parallel_ends(registry, now=now)
    note_trial_end(registry, "i-t", now)
    return registry


def test_ends_make_a_request_suspect_and_an_end_in_a_trial_refuses_it():
    registry = suspects.Suspects()
    assert registry.judge(CONTENT, 0.0) is CLEAR
    note_parallel_ends(registry, 12)
    assert registry.judge(CONTENT, 0.0) is TRIAL
    note_trial_end(registry, "i-t", 1.0)
    assert registry.judge(CONTENT, 1.0) is REFUSE


def test_fewer_than_three_proven_ends_do_not_refuse():
    registry = suspects.Suspects()
    note_parallel_ends(registry, 1)
    note_trial_end(registry, "i-t", 1.0)
    assert registry.judge(CONTENT, 1.0) is TRIAL
    note_trial_end(registry, "i-u", 2.0)
    assert registry.judge(CONTENT, 2.0) is REFUSE


def test_unproven_ends_refuse_nothing_and_expire_soon():
    registry = suspects.Suspects()
    note_parallel_ends(registry, 4, is_proven=False)
    registry.note_ends(CONTENT, ["i-t"], "t", True, 1.0)
    assert registry.judge(CONTENT, 1.0) is TRIAL
    registry.expire(1.0 + suspects.UNPROVEN_SECONDS)
    assert registry.judge(CONTENT, 12.0) is CLEAR
    assert not registry.records


def test_an_answer_clears_and_late_records_are_ignored():
    registry = make_refused()
    late = registry.records[CONTENT]
    assert registry.note_answer(CONTENT, 2.0) is not None
    assert registry.note_answer(CONTENT, 2.0) is None
    assert registry.merge(late, 3.0) is None
    assert registry.judge(CONTENT, 3.0) is CLEAR
    registry.expire(2.0 + suspects.CLEARED_SECONDS)
    assert not registry.records


def test_after_a_refusal_one_trial_decides_and_the_next_refusal_is_longer():
    registry = make_refused()
    first, second, third = suspects.REFUSE_SECONDS
    assert registry.judge(CONTENT, first - 1) is REFUSE
    assert registry.judge(CONTENT, first) is TRIAL
    note_trial_end(registry, "i-u", first)
    assert registry.judge(CONTENT, first + second - 1) is REFUSE
    assert registry.judge(CONTENT, first + second) is TRIAL
    note_trial_end(registry, "i-v", first + second)
    assert registry.judge(CONTENT, first + second + third - 1) is REFUSE


def test_a_lifted_refusal_needs_a_new_trial():
    registry = make_refused()
    assert registry.lift(CONTENT, 5.0) is not None
    assert registry.judge(CONTENT, 5.0) is TRIAL
    assert registry.lift(CONTENT, 5.0) is None
    note_trial_end(registry, "i-u", 6.0)
    assert registry.judge(CONTENT, 6.0) is REFUSE


def test_a_full_registry_evicts_and_counts_the_record_with_the_lowest_rank():
    registry = make_refused()
    for number in range(suspects.MAX_RECORDS):
        registry.note_ends(f"{number:024d}", ["i-1"], "w", False, 1.0 + number)
    assert len(registry.records) == suspects.MAX_RECORDS
    assert registry.forgotten == 1
    assert registry.judge(CONTENT, 1.0) is REFUSE
    assert f"{0:024d}" not in registry.records


def test_records_are_bounded_and_keep_trials_and_proofs():
    registry = suspects.Suspects()
    note_parallel_ends(registry, 40, is_proven=False)
    note_trial_end(registry, "i-t", 1.0)
    for name in ("i-39", "i-38", "i-37"):
        registry.note_ends(CONTENT, [name], "v", False, 2.0)
        registry.note_proven(CONTENT, name, "v", 2.0)
    record = registry.records[CONTENT]
    assert len(record.ends) <= suspects.MAX_ENDS
    assert registry.judge(CONTENT, 2.0) is REFUSE


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


def judgements(registry):
    return {content: record.judge(6.0) for content, record in registry.records.items()}


@hypothesis.given(strategies.lists(RECORDS, max_size=6), strategies.randoms())
def test_any_order_and_repetition_of_records_lead_to_the_same_judgement(records, rng):
    # A record has ends or was cleared, never both.
    records = [
        dataclasses.replace(record, ends=()) if record.cleared_at is not None else record
        for record in records
    ]
    # All records of one end agree except on its proof.
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
    assert judgements(one) == judgements(other)


@hypothesis.given(strategies.lists(RECORDS, max_size=5))
def test_records_survive_encoding_and_decoding(records):
    frame = node_frames.SuspectReports(tuple(records))
    assert codec.decode(codec.encode(frame, 6.0), 6.0) == frame


@hypothesis.given(RECORDS)
def test_store_documents_hold_everything_but_times(record):
    read = suspect_documents.decode(record.content, suspect_documents.encode(record), 9.0)
    assert read.epoch == record.epoch
    assert (read.cleared_at is None) == (record.cleared_at is None)
    assert [dataclasses.replace(end, at=0.0) for end in read.ends] == [
        dataclasses.replace(end, at=0.0) for end in record.ends
    ]


def test_a_target_that_is_down_can_not_end_again():
    # A proxy in front of a dead target still accepts connections and closes them. These must not
    # count as further ends: otherwise an innocent read that is sent ten times a second is blamed
    # for the ends that another request caused.
    registry = suspects.Suspects()
    note_trial_end(registry, "i-1", 0.0)
    other = "b" * 24
    assert registry.note_ends(other, ["i-1"], "t2", False, suspects.DOWN_SECONDS - 0.1) is None
    assert registry.note_ends(other, ["i-1", "i-2"], "t3", False, 1.0) is not None
    assert [end.target for end in registry.records[other].ends] == ["i-2"]
    assert registry.note_ends(other, ["i-1"], "t4", False, suspects.DOWN_SECONDS) is not None


def test_a_recently_answered_request_is_not_suspected():
    registry = suspects.Suspects()
    assert registry.note_answer(CONTENT, 1.0) is None
    note_parallel_ends(registry, now=2.0)
    assert not registry.records
    # Another instance does not know of the answer; its record is cleared.
    report = suspects.Record(CONTENT, 0, (suspects.TargetEnd("i-1", "t", 2.0, False, True),))
    assert registry.merge(report, 2.1) is not None
    cleared = registry.clear_if_answered(CONTENT, 2.1)
    assert cleared is not None
    assert cleared.cleared_at == 2.1
    assert registry.judge(CONTENT, 2.2) is CLEAR
    later = 1.0 + suspects.CLEARED_SECONDS
    assert registry.clear_if_answered("b" * 24, later) is None
    for number in range(suspects.MAX_ANSWERED):
        registry.note_answer(f"{number:024d}", 3.0)
    note_parallel_ends(registry, now=3.0 + suspects.CLEARED_SECONDS)
    assert registry.judge(CONTENT, 3.0 + suspects.CLEARED_SECONDS) is TRIAL


@pytest.mark.parametrize(
    "data",
    [b"", b"[]", b"{}", b'{"epoch":1}', b'{"epoch":1,"cleared":0,"ends":[["a"]]}', b"[" * 100_000]
    + [b'{"epoch":"x","cleared":0,"ends":[]}', b"\xff\xfe", b'{"epoch":1e999,"cleared":0}'],
)
def test_a_damaged_document_is_refused(data):
    with pytest.raises(suspect_documents.SuspectDocumentError):
        suspect_documents.decode(CONTENT, data, 0.0)


def test_a_target_that_restarts_and_ends_again_counts_again():
    # A target may restart with its old identity before its entry shows it. If its next end, in a
    # trial, is taken for the first one, the request stays on trial forever.
    registry = suspects.Suspects()
    for name in ("i-1", "i-2", "i-3"):
        registry.note_ends(CONTENT, [name], "t1", False, 0.0)
        registry.note_proven(CONTENT, name, "t1", 0.0)
    registry.note_ends(CONTENT, ["i-1"], "t2", True, 4.0)
    registry.note_proven(CONTENT, "i-1", "t2", 4.0)
    assert registry.judge(CONTENT, 4.0) is REFUSE


def test_one_end_that_several_attempts_saw_counts_once():
    registry = suspects.Suspects()
    for number in range(4):
        registry.note_ends(CONTENT, ["i-1"], f"t{number}", False, 0.01 * number)
        registry.note_proven(CONTENT, "i-1", f"t{number}", 0.1)
    note_trial_end(registry, "i-t", 1.0)
    assert registry.records[CONTENT].proven == 2
    assert registry.judge(CONTENT, 1.0) is TRIAL
