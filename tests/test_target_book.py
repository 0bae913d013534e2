"""How the latency of answers and the distance of halls decide which target is chosen."""

from __future__ import annotations

import random

from lineworks.decisions import routes, target_view
from lineworks.forwarding import target_book
from tests import test_forwarding


def build():
    book = target_book.TargetBook("akl", {"akl": "n", "wlg": "s"}, random.Random(1))
    entries = [
        target_view.TargetEntry(name, "s", hall, "10.0.0.1", 80, 2, False, False)
        for name, hall in (("near", "akl"), ("far", "wlg"))
    ]
    states = book.update(entries, {"s": routes.ServiceSpec("s", 25)}).added
    for _ in range(50):
        for state in states:
            book.note_answer(state, 0.0, 0.02)
    return book, states


def test_one_slow_answer_does_not_move_requests_to_another_hall():
    # When single samples were not capped, each pause of a target sent the requests for its shard
    # to another hall for seconds, so that every search used two halls instead of one.
    book, (near, far) = build()
    before = book.expected_seconds(near, 0.0)
    book.note_answer(near, 0.0, 0.25)
    assert book.expected_seconds(near, 0.0) - before < target_book.LOCALITY_SLACK_SECONDS
    assert book.choose("s", 0.0, ()) is near
    assert book.expected_seconds(far, 0.0) > book.expected_seconds(near, 0.0)


def test_a_target_that_stays_slow_is_avoided_after_a_few_answers():
    book, (near, far) = build()
    for _ in range(6):
        book.note_answer(near, 0.0, 0.1)
    assert book.choose("s", 0.0, ()) is far


def test_near_best_lists_the_targets_within_the_slack_of_the_best_one():
    book, (near, far) = build()
    for _ in range(3):
        book.note_answer(far, 0.0, 0.04)
    gap = book.expected_seconds(far, 0.0) - book.expected_seconds(near, 0.0)
    assert [state for _, state in book.near_best("s", 0.0, (), gap + 0.001)] == [near, far]
    assert [state for _, state in book.near_best("s", 0.0, (), gap - 0.001)] == [near]


def test_a_search_uses_slightly_slower_targets_to_save_a_message_to_another_hall():
    world = test_forwarding.build()
    front = world.nodes["akl-1"]
    # Of the shards without a target in akl, half appear faster in wlg and half in chc.
    lacking = [
        shard
        for shard in test_forwarding.SHARDS
        if all(target.hall != "akl" for target in test_forwarding.targets_of(world, shard))
    ]
    for number, shard in enumerate(lacking):
        slower = ("wlg", "chc")[number % 2]
        for state in front._book.usable(shard, world.clock.seconds(), ()):
            seconds = 0.07 if state.hall == slower else 0.03
            front._book.note_answer(state, world.clock.seconds(), seconds)
    before = front._counters.gather_queries
    reply = world.ask("akl-1", "/search/q", attempt="q1")
    world.run(1.0)
    assert test_forwarding.check_search(world, reply, "q1") == 0
    assert front._counters.gather_queries == before + 1


def test_describe_gives_the_reason_why_each_target_is_unavailable():
    book, (near, far) = build()
    assert book.describe("other", 0.0) == "no target known"
    near.replica.backoff_until = 0.08
    near.replica.failures = 2
    far.replica.in_flight = 3
    assert book.describe("s", 0.0) == "near left alone for 80 ms after 2 failures, far full with 3"
    far.replica.is_leaving = True
    assert (
        book.describe("s", 1.0)
        == "near not asked: stalled, in another hall, or asked already, far leaving"
    )
