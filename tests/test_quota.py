"""Quota buckets: each hall's part, and that no window exceeds the bound."""

from __future__ import annotations

import bisect
import math

import hypothesis
import pytest
from hypothesis import strategies as st

from lineworks.decisions import quota, workspaces

BOUND = quota.QuotaBound(5.0, 0.1, 20.0)
TIGHT = quota.QuotaBound(5.0, 0.0, 0.0)


def part(rate, burst, bound=BOUND, halls=6):
    return quota.part_of(workspaces.Quota(rate, burst), bound, halls)


def test_each_hall_gets_more_than_a_token_of_a_small_quota():
    found = part(1.0, 1.0)
    assert found.rate == pytest.approx(1 / 6)
    assert found.depth == pytest.approx((26.6 - 5 - quota.MAX_TRANSIT_SECONDS) / 3 / 6)
    assert found.depth > 1.1


@pytest.mark.parametrize("bound", [BOUND, TIGHT, quota.QuotaBound(5.0, 0.0, 3.0)])
@pytest.mark.parametrize("rate", [0.0, 0.1, 1.0, 10.0, 500.0])
@pytest.mark.parametrize("burst", [0.0, 1.0, 50.0])
def test_all_lives_together_stay_within_the_bound(rate, burst, bound):
    found = part(rate, burst, bound)
    lives = found.depth + (quota.MAX_BUCKETS - 1) * found.restart_depth
    spent = lives + found.rate * (bound.window + quota.MAX_TRANSIT_SECONDS)
    spent *= found.holders
    assert spent <= bound.max_requests(workspaces.Quota(rate, burst)) + 1e-9
    assert 0 <= found.restart_depth <= found.depth
    assert 0 <= found.rate <= rate


def test_a_first_life_can_hold_a_burst_and_later_lives_hold_less():
    found = part(2.0, 20.0)
    assert found.depth * found.holders >= 20.0
    assert found.restart_depth * found.holders >= quota.MIN_TOTAL_DEPTH
    later = quota.Bucket(found, 0.0, is_only_bucket=False)
    assert later.tokens(0.0) == pytest.approx(found.restart_depth)
    assert later.tokens(1000.0) == pytest.approx(found.restart_depth)
    later.set_is_only_bucket(True, 1000.0)
    assert later.tokens(1000.0) == pytest.approx(found.restart_depth)
    assert later.tokens(2000.0) == pytest.approx(found.depth)
    later.set_is_only_bucket(False, 2000.0)
    assert later.tokens(2000.0) == pytest.approx(found.restart_depth)


def test_most_of_the_rate_remains_without_any_excess():
    assert part(10.0, 10.0, TIGHT, 1).rate > 0.9 * 10
    assert part(1.0, 1.0, TIGHT, 1).rate > 0.5
    assert part(1.0, 1.0, TIGHT, 1).depth == pytest.approx(1.0)


def test_a_quota_too_small_for_all_halls_is_divided_among_fewer():
    assert part(1.0, 1.0).holders == 6
    assert part(1.0, 1.0, TIGHT).holders == 1
    assert part(5.0, 5.0, TIGHT).holders == 2
    assert part(5.0, 5.0, TIGHT).depth >= quota.MIN_PART_DEPTH


def test_a_bucket_starts_full_and_earns():
    bucket = quota.Bucket(quota.Part(2.0, 3.0), 0.0)
    assert [bucket.take(0.0) for _ in range(4)] == [True, True, True, False]
    assert bucket.seconds_until_next(0.0) == pytest.approx(0.5, abs=0.01)
    assert not bucket.take(0.4)
    assert bucket.take(0.5)
    assert bucket.tokens(100.0) == 3.0


def test_a_part_below_one_token_is_filled_by_transfers():
    bucket = quota.Bucket(quota.Part(0.1, 0.2), 0.0)
    assert math.isinf(bucket.seconds_until_next(0.0))
    assert not bucket.take(0.0)
    for _ in range(4):
        bucket.transfer_in(0.2, 0.0, 0.0)
    assert bucket.take(0.0)
    assert bucket.tokens(0.0) == pytest.approx(0.0)


def test_transferred_tokens_beyond_the_capacity_expire():
    bucket = quota.Bucket(quota.Part(0.0, 1.0), 0.0)
    bucket.transfer_in(2.0, 0.0, 0.1)
    assert bucket.tokens(0.1) == 3.0
    assert bucket.tokens(quota.TRANSFER_TTL_SECONDS) == 1.0
    bucket.take(1.0)
    bucket.transfer_in(1.0, 1.0, 1.0 + quota.TRANSFER_TTL_SECONDS)
    assert bucket.tokens(1.0 + quota.TRANSFER_TTL_SECONDS) == 0.0


def test_transferred_tokens_are_removed_from_the_sender():
    bucket = quota.Bucket(quota.Part(0.0, 4.0), 0.0)
    assert bucket.transfer_out(0.0, 10.0) == 2.0
    assert bucket.transfer_out(0.0, 0.5) == 0.5
    assert bucket.tokens(0.0) == 1.5
    assert bucket.transfer_out(0.0, 10.0, 1.0) == 1.5
    assert bucket.transfer_out(0.0, 1.0, 1.0) == 0.0


def test_only_whole_tokens_are_transferred_to_a_hall_without_a_part():
    bucket = quota.Bucket(quota.Part(0.0, 1.5), 0.0)
    bucket.transfer_in(0.8, 0.0, 0.0)
    assert bucket.tokens(0.0) == pytest.approx(2.3)
    assert bucket.transfer_out_whole(0.0, 2.3) == 1.0
    assert bucket.transfer_out_whole(0.0, 2.3) == 0.0
    assert bucket.tokens(0.0) == pytest.approx(1.3)


def test_a_returned_token_never_exceeds_the_capacity():
    bucket = quota.Bucket(quota.Part(0.0, 2.0), 0.0)
    bucket.put_back(0.0, 0.0)
    assert bucket.tokens(0.0) == 2.0
    bucket.take(0.0)
    bucket.put_back(0.0, 0.0)
    assert bucket.tokens(0.0) == 2.0


def test_failing_requests_that_retry_accumulate_no_tokens_outside_the_bucket():
    bucket = quota.Bucket(quota.Part(10.0, 2.0), 0.0)
    in_flight = []
    for step in range(300):
        now = step * 0.1
        for at in in_flight[:]:
            if now - at >= 0.1:
                in_flight.remove(at)
                bucket.put_back(at, now)
                in_flight += [now] * bucket.take(now)
        while bucket.take(now):
            in_flight.append(now)
    assert len(in_flight) <= 2 + 10.0 * 0.1


def test_a_token_is_returned_once_and_not_too_late():
    bucket = quota.Bucket(quota.Part(0.0, 2.0), 0.0)
    bucket.take(0.0)
    assert bucket.put_back(0.0, 0.1)
    assert not bucket.put_back(0.0, 0.1)
    bucket.take(1.0)
    assert not bucket.put_back(1.0, 1.1 + quota.RETURN_WINDOW_SECONDS)
    assert bucket.tokens(2.0) == 1.0


def test_a_lower_limit_reduces_the_tokens_and_a_higher_one_adds_none():
    bucket = quota.Bucket(quota.Part(1.0, 6.0), 0.0)
    bucket.set_part(quota.Part(0.5, 2.0), 0.0)
    assert bucket.tokens(0.0) == 2.0
    bucket.set_part(quota.Part(3.0, 9.0), 0.0)
    assert bucket.tokens(0.0) == 2.0
    assert bucket.tokens(1.0) == 5.0


def test_no_time_is_credited_twice_when_the_clock_goes_back():
    bucket = quota.Bucket(quota.Part(1.0, 5.0), 0.0)
    while bucket.take(10.0):
        pass
    assert not bucket.take(9.0)
    assert not bucket.take(10.5)
    assert bucket.take(11.0)


def test_holders_that_are_cut_off_from_each_other_share_the_rate():
    late = quota.TAKEOVER_SECONDS
    assert quota.earned_share(0, math.inf, 15, 15) == 1.0
    assert quota.earned_share(0, math.inf, 1, 15) + quota.earned_share(1, late, 14, 15) == 1.0
    assert quota.earned_share(1, 0.0, 15, 15) == 0.0
    assert quota.earned_share(2, late - 0.1, 14, 15) == 0.0


HALLS = 3
LIMIT = workspaces.Quota(4.0, 4.0)
_halls = st.integers(0, HALLS - 1)
_seconds = st.floats(0.0, 0.6)
_event = st.one_of(
    st.tuples(st.just("take"), _halls, st.integers(1, 8)),
    st.tuples(st.just("pull"), _halls, _halls, st.floats(0, 8), _seconds),
    st.tuples(st.just("put_back"), _halls, _seconds),
    st.tuples(st.just("restart"), _halls),
    st.tuples(st.just("set_rate"), st.sampled_from((1.0, 4.0))),
    st.tuples(st.just("wait"), st.floats(0.0, 3.0)),
)


class Halls:
    """Buckets of several halls, driven by a list of events with late and lost messages."""

    def __init__(self, bound):
        self.bound, self.now = bound, 0.0
        self.buckets = [self.make(LIMIT) for _ in range(HALLS)]
        self.life_starts = [[] for _ in range(HALLS)]
        self.spent = []
        self.late = []

    def make(self, limit, is_only_bucket=True):
        return quota.Bucket(quota.part_of(limit, self.bound, HALLS), self.now, is_only_bucket)

    def run(self, events):
        for kind, *values in events:
            getattr(self, kind)(*values)
        self.wait(1.0)
        return self.worst_excess()

    def take(self, hall, times):
        for _ in range(times):
            if self.buckets[hall].take(self.now):
                self.spent.append((self.now, self.buckets[hall]))

    def pull(self, hall, sender, amount, delay):
        """Transfer tokens; the message may arrive late, or after its receiver has restarted."""
        if hall != sender:
            asker, asked_at = self.buckets[hall], self.now
            given = self.buckets[sender].transfer_out(self.now, amount, 1.0)
            self.later(delay, lambda: asker.transfer_in(given, asked_at, self.now))

    def put_back(self, hall, delay):
        """Return the last token spent at a hall, possibly too late."""
        mine = [row for row in self.spent if row[1] is self.buckets[hall]]
        if mine:
            at, bucket = mine[-1]
            self.spent.remove(mine[-1])
            self.later(delay, lambda: bucket.put_back(at, self.now))

    def restart(self, hall):
        """Start a new life, unless the window already contains the maximum number of lives."""
        recent = [at for at in self.life_starts[hall] if at > self.now - self.bound.window]
        if len(recent) < quota.MAX_BUCKETS - 1:
            self.life_starts[hall].append(self.now)
            self.buckets[hall] = self.make(LIMIT, is_only_bucket=False)

    def set_rate(self, rate):
        found = quota.part_of(workspaces.Quota(rate, rate), self.bound, HALLS)
        for bucket in self.buckets:
            bucket.set_part(found, self.now)

    def wait(self, seconds):
        end = self.now + seconds
        while self.late and self.late[0][0] <= end:
            self.now, _, call = self.late.pop(0)
            call()
        self.now = end

    def later(self, delay, call):
        self.late.append((self.now + delay, len(self.late), call))
        self.late.sort(key=lambda item: item[:2])

    def worst_excess(self):
        """Return by how much the fullest window exceeds the bound."""
        times = sorted(at for at, _ in self.spent)
        ends = [bisect.bisect_left(times, at + self.bound.window) for at in times]
        fullest = max((end - first for first, end in enumerate(ends)), default=0)
        return fullest - self.bound.max_requests(LIMIT)


@hypothesis.given(st.lists(_event, max_size=60), st.sampled_from((BOUND, TIGHT)))
@hypothesis.settings(max_examples=400)
def test_no_order_of_events_exceeds_the_bound_in_any_window(events, bound):
    assert Halls(bound).run(events) <= 1e-6


SPEND_ALL = [("take", hall, 40) for hall in range(HALLS)]
RESTARTS = [*SPEND_ALL, *[("restart", hall) for hall in range(HALLS)], *SPEND_ALL] + [
    *[("restart", hall) for hall in range(HALLS)],
    *SPEND_ALL,
]
TRANSFERS = [
    event for _ in range(20) for event in (("pull", 0, 1, 8.0, 0.0), ("take", 0, 9), ("wait", 0.1))
]
SAVED_TRANSFERS = [("pull", 0, 1, 8.0, 0.5), ("wait", 2.0)] * 20 + RESTARTS


def copy_transferred_tokens(monkeypatch):
    monkeypatch.setattr(
        quota.Bucket, "transfer_out", lambda bucket, now, wanted, max_fraction=0.5: wanted
    )


def keep_transferred_tokens_forever(monkeypatch):
    monkeypatch.setattr(quota, "TRANSFER_TTL_SECONDS", 1e9)


def size_for_a_single_life(monkeypatch):
    whole = quota.part_of(LIMIT, BOUND, HALLS)
    deep = quota.Part(whole.rate, whole.depth * quota.MAX_BUCKETS)
    monkeypatch.setattr(quota, "part_of", lambda limit, bound, halls: deep)


@pytest.mark.parametrize(
    ("mutate", "events"),
    [
        (copy_transferred_tokens, TRANSFERS),
        (keep_transferred_tokens_forever, SAVED_TRANSFERS),
        (size_for_a_single_life, RESTARTS),
    ],
)
def test_the_check_detects_an_implementation_that_exceeds_the_bound(monkeypatch, mutate, events):
    assert Halls(BOUND).run(events) <= 0
    mutate(monkeypatch)
    assert Halls(BOUND).run(events) > 0
