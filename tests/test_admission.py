"""Admission control: weighted fair queuing over classes, and the adaptive concurrency limit."""

from __future__ import annotations

from lineworks.decisions import admission, limits, verdict


class _FixedLimit:
    """A limit that does not adapt."""

    def __init__(self, value):
        self.value = value

    def on_answer(self, now, wait, latency, in_flight):
        pass


def make(limit=1, max_wait=10.0):
    expired = []
    queue = admission.Admission(
        _FixedLimit(limit), max_wait, lambda item, refusal: expired.append(item)
    )
    return queue, expired


def test_queries_within_the_limit_start_at_once():
    queue, _ = make(limit=2)
    assert queue.offer("a", "c", 1.0, 0.0, 5.0).is_ok
    assert queue.offer("b", "c", 1.0, 0.0, 5.0).is_ok
    assert queue.offer("c", "c", 1.0, 0.0, 5.0) is None
    assert queue.in_flight == 2


def test_classes_are_served_in_proportion_to_their_weights():
    queue, _ = make()
    queue.offer("first", "x", 1.0, 0.0, 1000.0)
    for number in range(40):
        queue.offer(("heavy", number), "heavy", 3.0, 0.0, 1000.0)
        queue.offer(("light", number), "light", 1.0, 0.0, 1000.0)
    order = []
    for _ in range(40):
        queue.finish(0.0, 0.0, 0.0)
        order.append(queue.take(0.0)[0])
    assert 28 <= order.count("heavy") <= 32


def test_a_query_that_cannot_meet_its_deadline_is_refused_as_not_run():
    queue, _ = make()
    queue.offer("a", "c", 1.0, 0.0, 5.0)
    queue.finish(1.0, 1.0, 0.0)
    queue.offer("b", "c", 1.0, 1.0, 5.0)
    found = queue.offer("c", "c", 1.0, 1.0, 1.5)
    assert found is not None
    assert found.is_not_run
    assert found.reason is verdict.Reason.OVERLOADED


def test_a_query_that_expires_in_the_queue_is_not_started():
    queue, expired = make()
    queue.offer("a", "c", 1.0, 0.0, 50.0)
    queue.offer("b", "c", 1.0, 0.0, 2.0)
    queue.offer("c", "c", 1.0, 0.0, 50.0)
    queue.finish(3.0, 0.1, 0.0)
    assert queue.take(3.0) == "c"
    assert expired == ["b"]


def test_the_queue_is_limited_by_max_wait_only_while_it_is_standing():
    queue, _ = make(max_wait=0.5)
    queue.offer("a", "c", 1.0, 0.0, 50.0)
    queue.finish(0.0, 1.0, 0.0)
    queue.offer("b", "c", 1.0, 0.0, 50.0)
    assert queue.offer("c", "c", 1.0, 0.0, 50.0) is None
    refused = queue.offer("d", "c", 1.0, admission.STANDING_QUEUE_SECONDS + 1.0, 50.0)
    assert refused is not None
    assert refused.is_not_run


def test_a_removed_query_does_not_start():
    queue, _ = make()
    queue.offer("a", "c", 1.0, 0.0, 5.0)
    queue.offer("b", "c", 1.0, 0.0, 5.0)
    assert queue.remove("b")
    assert not queue.remove("b")
    queue.finish(0.0, 0.1, 0.0)
    assert queue.take(0.0) is None


def test_the_limit_grows_again_from_its_floor():
    """Comparing with the unrounded limit kept it at its floor of 2 forever."""
    limit = limits.QueryLimit(0.1)
    for number in range(50):
        limit.on_answer(float(number), wait=1.0, latency=0.1, in_flight=limit.value)
    assert limit.value == 2
    for number in range(200):
        limit.on_answer(100.0 + number, wait=0.0, latency=0.1, in_flight=limit.value - 1)
    assert limit.value > 4


def test_the_limit_does_not_grow_while_it_is_not_reached():
    limit = limits.QueryLimit(0.1)
    before = limit.value
    for number in range(200):
        limit.on_answer(float(number), wait=0.0, latency=0.1, in_flight=1)
    assert limit.value == before
