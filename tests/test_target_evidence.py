"""Reports on slow targets: how they are weighed by age and origin."""

from __future__ import annotations

import random

import pytest

from lineworks.decisions import routes, target_evidence, target_view
from lineworks.forwarding import target_book

SLOW = target_evidence.Kind.SLOW


@pytest.fixture
def evidence():
    found = target_evidence.TargetEvidence()
    found.forget_absent({f"i-{number}" for number in range(100)})
    return found


def report_slow(evidence, origin, at, target="i-1", factor=8.0):
    evidence.note(target_evidence.Observation(target, SLOW, factor), origin, at)


def test_repeated_reports_of_one_instance_are_not_enough(evidence):
    for step in range(20):
        report_slow(evidence, "a", step * 0.2)
    assert evidence.slowness("i-1", 4.0) is None


def test_reports_of_two_instances_count_when_they_span_more_than_a_pause(evidence):
    report_slow(evidence, "a", 1.0)
    report_slow(evidence, "b", 1.2, factor=5.0)
    assert evidence.slowness("i-1", 1.2) is None
    report_slow(evidence, "b", 1.31, factor=5.0)
    assert evidence.slowness("i-1", 1.4) == target_evidence.Slowness(5.0, 1.31)


def test_the_second_highest_claim_counts_and_claims_are_bounded(evidence):
    report_slow(evidence, "a", 1.0, factor=900.0)
    report_slow(evidence, "b", 1.5, factor=3.0)
    assert evidence.slowness("i-1", 1.5).factor == 3.0
    report_slow(evidence, "c", 1.6, factor=900.0)
    assert evidence.slowness("i-1", 1.6).factor == target_evidence.MAX_FACTOR


def test_a_fast_answer_discards_the_reports(evidence):
    report_slow(evidence, "a", 1.0)
    report_slow(evidence, "b", 1.5)
    healthy = target_evidence.Observation("i-1", target_evidence.Kind.WELL)
    evidence.note(healthy, "c", 1.6)
    assert evidence.slowness("i-1", 1.6) is None


def test_beliefs_expire(evidence):
    report_slow(evidence, "a", 1.0)
    report_slow(evidence, "b", 1.5)
    assert evidence.slowness("i-1", 1.5 + target_evidence.BELIEF_SECONDS) is not None
    assert evidence.slowness("i-1", 1.51 + target_evidence.BELIEF_SECONDS) is None


def test_pauses_some_seconds_apart_do_not_make_a_healthy_target_slow(evidence):
    for pause in range(5):
        report_slow(evidence, f"n-{pause}", pause * 6.0)
        report_slow(evidence, f"m-{pause}", pause * 6.0 + 0.2)
        assert evidence.slowness("i-1", pause * 6.0 + 0.25) is None


def test_one_report_renews_a_belief(evidence):
    report_slow(evidence, "a", 1.0)
    report_slow(evidence, "b", 1.5)
    report_slow(evidence, "a", 6.0)
    assert evidence.slowness("i-1", 11.0) is not None


def test_an_instance_that_reports_most_targets_as_slow_is_ignored(evidence):
    for number in range(60):
        report_slow(evidence, "liar", 1.0, f"i-{number}")
    report_slow(evidence, "b", 1.5)
    assert evidence.slowness("i-1", 1.5) is None
    report_slow(evidence, "c", 1.9)
    assert evidence.slowness("i-1", 1.9) is not None


def test_a_process_replaced_at_its_address_counts_as_slow_at_once(evidence):
    replaced = target_evidence.Observation("i-1", target_evidence.Kind.GONE)
    evidence.note(replaced, "a", 1.0)
    assert evidence.slowness("i-1", 1.1).factor == target_evidence.MAX_FACTOR
    assert evidence.slowness("i-1", 1.1 + target_evidence.BELIEF_SECONDS) is None


def test_data_on_targets_that_left_is_discarded(evidence):
    report_slow(evidence, "a", 1.0)
    report_slow(evidence, "b", 1.5)
    evidence.forget_absent({"i-2"})
    assert not evidence.has_slow_reports("i-1")
    assert evidence.slowness("i-1", 1.6) is None


def make_book(count=2, without=()):
    book = target_book.TargetBook("akl", {"akl": "akl"}, random.Random(1), without)
    entries = [
        target_view.TargetEntry(f"i-{number}", "s", "akl", "10.1.0.1", 80 + number, 2, False, False)
        for number in range(count)
    ]
    book.update(entries, {"s": routes.ServiceSpec("s", 25)})
    for state in book.usable("s", 0.0, ()):
        book.note_answer(state, 0.0, 0.03)
    return book


def report_slow_by_two(book, target, at=1.0):
    for origin, later in (("a", 0.0), ("b", 0.4)):
        book.observations.evidence.note(
            target_evidence.Observation(target, SLOW, 8.0), origin, at + later
        )


def chosen(book, now):
    return {book.choose("s", now, ()).id for _ in range(20)}


def test_a_target_that_others_report_as_slow_is_chosen_last():
    book = make_book()
    assert chosen(book, 1.0) == {"i-0", "i-1"}
    report_slow_by_two(book, "i-0")
    assert chosen(book, 1.5) == {"i-1"}


def test_later_observations_of_its_own_take_precedence():
    book = make_book()
    report_slow_by_two(book, "i-0")
    for state in book.usable("s", 1.5, ()):
        book.note_answer(state, 1.5, 0.03)
    assert chosen(book, 1.6) == {"i-0", "i-1"}


def test_a_hall_that_reports_all_targets_as_slow_still_uses_all():
    book = make_book()
    report_slow_by_two(book, "i-0")
    report_slow_by_two(book, "i-1")
    assert chosen(book, 1.5) == {"i-0", "i-1"}


def test_slow_and_abandoned_requests_are_reported_and_usual_ones_are_not():
    book = make_book()
    told = []
    book.observations.on_observation = told.append
    first, second = book.usable("s", 1.0, ())
    book.note_answer(first, 1.0, 0.035)
    assert told == []
    book.note_answer(first, 1.1, 0.3)
    book.note_given_up(second, 1.2, 0.15)
    assert [(observation.target, observation.kind) for observation in told] == [
        (first.id, SLOW),
        (second.id, SLOW),
    ]
    book.observations.evidence.set_belief(told[-1], 1.25)
    book.note_answer(second, 1.3, 0.03)
    assert not book.observations.evidence.has_slow_reports(second.id)
    assert told[-1] == target_evidence.Observation(second.id, target_evidence.Kind.WELL)
