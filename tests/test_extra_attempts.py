"""Extra attempts of all instances together stay within the allowance in every sliding window."""

from __future__ import annotations

import heapq
import itertools
import random

import pytest

from lineworks.decisions import extra_attempts, instance_count

ALLOWED = extra_attempts.Allowance(0.2, 54.0, 10.0)
FOREVER = 1e9


class Fleet:
    """Simulated instances that collect, request and spend as much credit as they can."""

    def __init__(self, seed, size, seconds=45.0):
        self.rng = random.Random(seed)
        self.size = size
        self.seconds = seconds
        self.now = 0.0
        self.order = itertools.count()
        self.heap = []
        self.books = [self.make(0.0) for _ in range(size)]
        self.seen = [size] * size
        self.is_silent = [False] * size
        self.longest_delay = 0.02
        self.lost = 0.0
        self.held_until = 0.0
        self.requests, self.extras = [], []
        self.count_requests = requests_in_the_window
        self.has_demand = lambda: True

    def make(self, now):
        book = extra_attempts.ExtraAttempts(ALLOWED, now)
        book.instances.note(self.size, now)
        return book

    def later(self, delay, call, *args):
        heapq.heappush(self.heap, (self.now + delay, next(self.order), call, args))

    def delay(self):
        """Draw the delay of a message; some are delayed for long."""
        if self.rng.random() < 0.3:
            return self.rng.uniform(0, self.longest_delay)
        return 0.001

    def pull(self, keeper):
        """Let an instance collect credit from all others; each message may be lost."""
        asked_at = self.now
        book = self.books[keeper]
        book.deposit(book.withdraw_earned(asked_at), asked_at, asked_at)
        for other in range(len(self.books)):
            if other != keeper and self.rng.random() >= self.lost:
                self.later(self.delay(), self.on_pull, keeper, other, asked_at, book)

    def on_pull(self, keeper, other, asked_at, book):
        amount = self.books[other].withdraw_earned(self.now)
        if self.rng.random() >= self.lost:
            wait = max(self.delay(), self.held_until - self.now)
            self.later(wait, self.on_share, keeper, amount, asked_at, book)

    def on_share(self, keeper, amount, asked_at, book):
        if book is self.books[keeper]:
            book.deposit(amount, asked_at, self.now)

    def ask(self, one, keeper):
        self.later(self.delay(), self.on_ask, one, keeper, self.now, self.books[one])

    def on_ask(self, one, keeper, asked_at, book):
        while self.books[keeper].grant("s", self.now):
            if self.rng.random() >= self.lost:
                self.later(self.delay(), self.on_grant, one, asked_at, book)

    def on_grant(self, one, asked_at, book):
        if book is self.books[one]:
            book.accept_grant("s", asked_at + extra_attempts.GRANT_TTL_SECONDS)

    def restart(self, share):
        for one in range(len(self.books)):
            if self.rng.random() < share:
                self.books[one] = self.make(self.now)

    def step(self):
        """Send a caller's request, then let random instances collect, request and spend credit."""
        one, keeper = (self.rng.randrange(len(self.books)) for _ in range(2))
        self.books[one].note_request("s", self.now)
        self.requests.append(self.now)
        if not self.has_demand():
            return
        if self.rng.random() < 0.3:
            self.pull(keeper)
        self.ask(one, keeper)
        for book in self.books:
            while book.spend("s", self.now):
                self.extras.append(self.now)

    def run(self, *faults):
        """Run the simulation and return the worst excess; faults are pairs of (time, call)."""
        for at, call in faults:
            self.later(at, call)
        self.later(0.0, self.run_step)
        while self.heap:
            self.now, _, call, args = heapq.heappop(self.heap)
            call(*args)
        return worst_excess(self.requests, self.extras, self.count_requests)

    def run_step(self):
        self.step()
        if self.now < self.seconds:
            self.later(self.rng.expovariate(60.0 if self.now % 9 < 6 else 10.0), self.run_step)


def requests_in_the_window(requests, start):
    return sum(start <= at < start + ALLOWED.window for at in requests)


def requests_near_the_window(requests, start):
    """Return the largest count of the window and those half a window and a window before it."""
    steps = (0.0, 0.5, 1.0)
    return max(requests_in_the_window(requests, start - step * ALLOWED.window) for step in steps)


def worst_excess(requests, extras, count=requests_in_the_window):
    """Return by how much the fullest window exceeds the allowance; at most 0 if it is kept."""
    worst = -FOREVER
    for start in extras:
        end = start + ALLOWED.window
        inside = sum(start <= at < end for at in extras)
        asked = count(requests, start)
        worst = max(worst, inside - ALLOWED.share * asked - ALLOWED.slack)
    return worst


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("size", [1, 3, 7, 40])
def test_all_instances_together_stay_within_the_allowance(seed, size):
    fleet = Fleet(seed, size)
    assert fleet.run() <= 0
    assert len(fleet.extras) > 60, "most of the allowance can be spent"


@pytest.mark.parametrize("seed", range(3))
def test_the_allowance_holds_when_all_instances_restart_repeatedly(seed):
    fleet = Fleet(seed, 7)
    faults = [(at, lambda: fleet.restart(1.0)) for at in (12.3, 13.5, 14.1, 17.0, 19.9, 21.0)]
    assert fleet.run(*faults) <= 0


@pytest.mark.parametrize("seed", range(3))
def test_the_allowance_holds_when_some_instances_restart_all_the_time(seed):
    fleet = Fleet(seed, 7)
    faults = [(at * 0.7, lambda: fleet.restart(0.4)) for at in range(60)]
    assert fleet.run(*faults) <= 0


@pytest.mark.parametrize("seed", range(3))
def test_the_allowance_holds_when_messages_are_lost_or_delayed(seed):
    fleet = Fleet(seed, 7)
    fleet.lost, fleet.longest_delay = 0.3, 12.0
    assert fleet.run() <= 0


@pytest.mark.parametrize("seed", range(3))
def test_the_allowance_holds_when_all_instances_spend_saved_credit_at_once(seed):
    fleet = Fleet(seed, 7)
    fleet.has_demand = lambda: fleet.now > 20.0
    fleet.count_requests = requests_near_the_window
    assert fleet.run() <= 0


@pytest.mark.parametrize("seed", range(3))
def test_the_allowance_holds_when_the_fleet_is_partitioned_into_halves(seed):
    fleet = Fleet(seed, 8)

    def partition():
        for book in fleet.books:
            book.instances.note(4, fleet.now)

    assert fleet.run((15.0, partition)) <= 0


@pytest.mark.parametrize("seed", range(3))
def test_the_allowance_holds_when_instances_are_added(seed):
    fleet = Fleet(seed, 6)

    def add():
        fleet.size += 1
        fleet.books.append(fleet.make(fleet.now))

    def tell():
        for book in fleet.books:
            book.instances.note(len(fleet.books), fleet.now)

    faults = [(at, add) for at in (12.0, 13.0, 14.0)] + [(at, tell) for at in (13.9, 14.9)]
    assert fleet.run(*faults) <= 0


def keep_withdrawn_credit(monkeypatch, fleet):
    monkeypatch.setattr(
        extra_attempts.ExtraAttempts,
        "withdraw_earned",
        lambda book, now: min(now - 0.0, extra_attempts.EARNED_TTL_SECONDS) * ALLOWED.rate / 7,
    )


def count_lifetime_from_arrival(monkeypatch, fleet):
    original = extra_attempts.ExtraAttempts.deposit
    monkeypatch.setattr(
        extra_attempts.ExtraAttempts,
        "deposit",
        lambda book, amount, at, now: original(book, amount, now, now),
    )


def start_with_credit(monkeypatch, fleet):
    make = fleet.make
    fleet.make = lambda now: make(now - extra_attempts.EARNED_TTL_SECONDS)


def keep_grants_forever(monkeypatch, fleet):
    original = extra_attempts.ExtraAttempts.accept_grant
    monkeypatch.setattr(
        extra_attempts.ExtraAttempts,
        "accept_grant",
        lambda book, service, until: original(book, service, FOREVER),
    )


def forget_unseen_instances(monkeypatch, fleet):
    monkeypatch.setattr(instance_count, "RETENTION_SECONDS", -1.0)


def delay_credit(fleet):
    """Deliver all credit that is withdrawn within thirty seconds at once."""

    def begin():
        fleet.held_until = 35.0

    return [(5.0, begin)]


def restart_often(fleet):
    return [(at * 0.7, lambda: fleet.restart(1.0)) for at in range(60)]


def save_credit(fleet):
    """Let instances request credit all the time, but spend it only at the end."""

    def ask():
        fleet.pull(0)
        for one in range(len(fleet.books)):
            fleet.ask(one, 0)

    fleet.has_demand = lambda: fleet.now > 20.0
    fleet.count_requests = requests_near_the_window
    return [(at * 0.5, ask) for at in range(40)]


def partition(fleet):
    def forget():
        for book in fleet.books:
            book.instances.note(1, fleet.now)

    return [(15.0, forget)]


@pytest.mark.parametrize(
    ("mutate", "load"),
    [
        (keep_withdrawn_credit, lambda fleet: []),
        (count_lifetime_from_arrival, delay_credit),
        (start_with_credit, restart_often),
        (keep_grants_forever, save_credit),
        (forget_unseen_instances, partition),
    ],
)
def test_the_check_detects_an_implementation_that_exceeds_the_allowance(monkeypatch, mutate, load):
    # Without the mutation, the same loads stay within the allowance.
    for seed in range(2):
        fleet = Fleet(seed, 7)
        assert fleet.run(*load(fleet)) <= 0
    fleet = Fleet(1, 7)
    mutate(monkeypatch, fleet)
    assert fleet.run(*load(fleet)) > 0


def test_only_the_share_is_spent_while_the_number_of_instances_is_unknown():
    book = extra_attempts.ExtraAttempts(ALLOWED, 0.0)
    book.deposit(book.withdraw_earned(20.0), 20.0, 20.0)
    assert not book.spend("s", 20.0)


def test_requests_earn_attempts_until_they_leave_the_window():
    book = extra_attempts.ExtraAttempts(ALLOWED, 0.0)
    book.instances.note(1000, 0.0)
    assert not book.spend("s", 0.0)
    for step in range(100):
        book.note_request("s", step * 0.05)
    assert book.remaining("s", 5.0) > 15
    assert book.remaining("s", 16.0) < 1


def test_a_partial_share_and_partial_credit_make_one_attempt():
    book = extra_attempts.ExtraAttempts(ALLOWED, 0.0)
    for _ in range(4):
        book.note_request("s", 0.0)
    assert not book.spend("s", 1.0)
    book.deposit(0.3, 1.0, 1.0)
    assert book.spend("s", 1.0)
    assert not book.spend("s", 1.0)


def make_keeper(amount, now=1.0):
    book = extra_attempts.ExtraAttempts(ALLOWED, 0.0)
    book.deposit(amount, now, now)
    return book


def test_hedges_leave_the_reserved_part_to_retries():
    book = make_keeper(8.0)
    hedges = 0
    while book.spend("s", 1.0, extra_attempts.RESERVED_FOR_RETRIES):
        hedges += 1
    assert hedges == 6
    assert book.spend("s", 1.0)
    assert book.grant("s", 1.0)
    assert not book.spend("s", 1.0)


def test_credit_is_counted_per_service():
    book = make_keeper(2.0)
    while book.spend("a", 1.0):
        pass
    assert book.spend("b", 1.0)


def test_credit_expires_in_the_pool_and_where_it_is_granted():
    book = make_keeper(2.0)
    assert book.remaining("s", 1.0 + extra_attempts.POOL_TTL_SECONDS - 0.01) == 2.0
    assert book.remaining("s", 1.0 + extra_attempts.POOL_TTL_SECONDS) == 0.0
    book.accept_grant("s", 2.0)
    assert not book.spend("s", 2.0)
    book.accept_grant("s", 2.1)
    assert book.spend("s", 2.0)


def test_credit_that_was_requested_too_long_ago_has_expired():
    book = extra_attempts.ExtraAttempts(ALLOWED, 0.0)
    book.deposit(5.0, 1.0, 1.0 + extra_attempts.POOL_TTL_SECONDS)
    assert not book.spend("s", 1.0 + extra_attempts.POOL_TTL_SECONDS)


def test_earned_credit_is_withdrawn_once_and_expires_if_not_collected():
    book = extra_attempts.ExtraAttempts(ALLOWED, 0.0)
    book.instances.note(2, 0.0)
    most = extra_attempts.EARNED_TTL_SECONDS * ALLOWED.rate / 2
    assert book.withdraw_earned(100.0) == pytest.approx(most)
    assert book.withdraw_earned(100.0) == 0.0
    assert book.withdraw_earned(101.0) == pytest.approx(ALLOWED.rate / 2)


def test_instances_that_are_no_longer_seen_still_count_for_a_while():
    count = instance_count.InstanceCount()
    assert count.value(0.0) == 0
    count.note(195, 1.0)
    count.note(190, 50.0)
    count.note(80, 60.0)
    assert count.value(61.0) == 195
    assert count.value(55.0 + instance_count.RETENTION_SECONDS) == 190
    assert count.value(61.0 + instance_count.RETENTION_SECONDS) == 80
    count.note_reported(100, 500.0)
    assert count.value(500.0) == 100
