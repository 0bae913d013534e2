"""The allowance of extra attempts holds for all instances together in every sliding window."""

from __future__ import annotations

import heapq
import itertools
import random

import pytest

from lineworks.decisions import extra_attempts, instance_count

ALLOWED = extra_attempts.Allowance(0.2, 54.0, 10.0)
FOREVER = 1e9


class Fleet:
    """Instances that collect, ask and spend at random, as soon and as much as they can."""

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
        self.counts = requests_in_the_window
        self.is_hungry = lambda: True

    def make(self, now):
        book = extra_attempts.ExtraAttempts(ALLOWED, now)
        book.instances.note(self.size, now)
        return book

    def later(self, delay, call, *args):
        heapq.heappush(self.heap, (self.now + delay, next(self.order), call, args))

    def delay(self):
        """Draw the time of a message; some are held up."""
        if self.rng.random() < 0.3:
            return self.rng.uniform(0, self.longest_delay)
        return 0.001

    def pull(self, keeper):
        """Let an instance collect from all that do not lose the message."""
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
        """Send a caller's request, and let somebody collect, ask and spend."""
        one, keeper = (self.rng.randrange(len(self.books)) for _ in range(2))
        self.books[one].note_request("s", self.now)
        self.requests.append(self.now)
        if not self.is_hungry():
            return
        if self.rng.random() < 0.3:
            self.pull(keeper)
        self.ask(one, keeper)
        for book in self.books:
            while book.spend("s", self.now):
                self.extras.append(self.now)

    def play(self, *faults):
        """Play to the end; faults are (time, call)."""
        for at, call in faults:
            self.later(at, call)
        self.later(0.0, self.go_on)
        while self.heap:
            self.now, _, call, args = heapq.heappop(self.heap)
            call(*args)
        return worst_excess(self.requests, self.extras, self.counts)

    def go_on(self):
        self.step()
        if self.now < self.seconds:
            self.later(self.rng.expovariate(60.0 if self.now % 9 < 6 else 10.0), self.go_on)


def requests_in_the_window(requests, start):
    return sum(start <= at < start + ALLOWED.window for at in requests)


def requests_by_the_rule(requests, start):
    """Count them in the window, the one before or the one half a window before: the most."""
    steps = (0.0, 0.5, 1.0)
    return max(requests_in_the_window(requests, start - step * ALLOWED.window) for step in steps)


def worst_excess(requests, extras, count=requests_in_the_window):
    """Tell by how much the fullest window is over the allowance; not above 0 when all is well."""
    worst = -FOREVER
    for start in extras:
        end = start + ALLOWED.window
        inside = sum(start <= at < end for at in extras)
        asked = count(requests, start)
        worst = max(worst, inside - ALLOWED.share * asked - ALLOWED.slack)
    return worst


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("size", [1, 3, 7, 40])
def test_all_together_stay_within_the_allowance(seed, size):
    fleet = Fleet(seed, size)
    assert fleet.play() <= 0
    assert len(fleet.extras) > 60, "most of what is allowed is of use"


@pytest.mark.parametrize("seed", range(3))
def test_also_when_all_forget_what_they_spent_again_and_again(seed):
    fleet = Fleet(seed, 7)
    faults = [(at, lambda: fleet.restart(1.0)) for at in (12.3, 13.5, 14.1, 17.0, 19.9, 21.0)]
    assert fleet.play(*faults) <= 0


@pytest.mark.parametrize("seed", range(3))
def test_also_when_some_restart_all_the_time(seed):
    fleet = Fleet(seed, 7)
    faults = [(at * 0.7, lambda: fleet.restart(0.4)) for at in range(60)]
    assert fleet.play(*faults) <= 0


@pytest.mark.parametrize("seed", range(3))
def test_also_when_messages_are_lost_or_held_up_by_cuts_and_frozen_instances(seed):
    fleet = Fleet(seed, 7)
    fleet.lost, fleet.longest_delay = 0.3, 12.0
    assert fleet.play() <= 0


@pytest.mark.parametrize("seed", range(3))
def test_also_when_all_spend_what_they_saved_at_one_moment(seed):
    fleet = Fleet(seed, 7)
    fleet.is_hungry = lambda: fleet.now > 20.0
    fleet.counts = requests_by_the_rule
    assert fleet.play() <= 0


@pytest.mark.parametrize("seed", range(3))
def test_also_when_halves_are_cut_from_each_other(seed):
    fleet = Fleet(seed, 8)

    def cut():
        for book in fleet.books:
            book.instances.note(4, fleet.now)

    assert fleet.play((15.0, cut)) <= 0


@pytest.mark.parametrize("seed", range(3))
def test_also_when_instances_are_added(seed):
    fleet = Fleet(seed, 6)

    def add():
        fleet.size += 1
        fleet.books.append(fleet.make(fleet.now))

    def tell():
        for book in fleet.books:
            book.instances.note(len(fleet.books), fleet.now)

    faults = [(at, add) for at in (12.0, 13.0, 14.0)] + [(at, tell) for at in (13.9, 14.9)]
    assert fleet.play(*faults) <= 0


def keep_what_is_handed_over(monkeypatch, fleet):
    monkeypatch.setattr(
        extra_attempts.ExtraAttempts,
        "withdraw_earned",
        lambda book, now: min(now - 0.0, extra_attempts.EARNED_TTL_SECONDS) * ALLOWED.rate / 7,
    )


def count_life_from_the_arrival(monkeypatch, fleet):
    original = extra_attempts.ExtraAttempts.deposit
    monkeypatch.setattr(
        extra_attempts.ExtraAttempts,
        "deposit",
        lambda book, amount, at, now: original(book, amount, now, now),
    )


def begin_with_credit(monkeypatch, fleet):
    make = fleet.make
    fleet.make = lambda now: make(now - extra_attempts.EARNED_TTL_SECONDS)


def hoard_grants(monkeypatch, fleet):
    original = extra_attempts.ExtraAttempts.accept_grant
    monkeypatch.setattr(
        extra_attempts.ExtraAttempts,
        "accept_grant",
        lambda book, service, until: original(book, service, FOREVER),
    )


def forget_who_is_out_of_sight(monkeypatch, fleet):
    monkeypatch.setattr(instance_count, "RETENTION_SECONDS", -1.0)


def hold_up(fleet):
    """Let all that is handed over for thirty seconds arrive at once."""

    def begin():
        fleet.held_until = 35.0

    return [(5.0, begin)]


def restart_often(fleet):
    return [(at * 0.7, lambda: fleet.restart(1.0)) for at in range(60)]


def save(fleet):
    """Let instances ask all the time, but spend only late."""

    def ask():
        fleet.pull(0)
        for one in range(len(fleet.books)):
            fleet.ask(one, 0)

    fleet.is_hungry = lambda: fleet.now > 20.0
    fleet.counts = requests_by_the_rule
    return [(at * 0.5, ask) for at in range(40)]


def cut(fleet):
    def forget():
        for book in fleet.books:
            book.instances.note(1, fleet.now)

    return [(15.0, forget)]


@pytest.mark.parametrize(
    ("mistake", "load"),
    [
        (keep_what_is_handed_over, lambda fleet: []),
        (count_life_from_the_arrival, hold_up),
        (begin_with_credit, restart_often),
        (hoard_grants, save),
        (forget_who_is_out_of_sight, cut),
    ],
)
def test_a_way_that_is_too_generous_is_found(monkeypatch, mistake, load):
    # The same loads stay within the allowance without the mistake.
    for seed in range(2):
        fleet = Fleet(seed, 7)
        assert fleet.play(*load(fleet)) <= 0
    fleet = Fleet(1, 7)
    mistake(monkeypatch, fleet)
    assert fleet.play(*load(fleet)) > 0


def test_nothing_but_the_share_is_spent_while_the_number_of_instances_is_unknown():
    book = extra_attempts.ExtraAttempts(ALLOWED, 0.0)
    book.deposit(book.withdraw_earned(20.0), 20.0, 20.0)
    assert not book.spend("s", 20.0)


def test_requests_earn_and_the_window_forgets():
    book = extra_attempts.ExtraAttempts(ALLOWED, 0.0)
    book.instances.note(1000, 0.0)
    assert not book.spend("s", 0.0)
    for step in range(100):
        book.note_request("s", step * 0.05)
    assert book.remaining("s", 5.0) > 15
    assert book.remaining("s", 16.0) < 1


def test_a_small_share_and_a_little_credit_make_one_attempt():
    book = extra_attempts.ExtraAttempts(ALLOWED, 0.0)
    for _ in range(4):
        book.note_request("s", 0.0)
    assert not book.spend("s", 1.0)
    book.deposit(0.3, 1.0, 1.0)
    assert book.spend("s", 1.0)
    assert not book.spend("s", 1.0)


def keep(amount, now=1.0):
    book = extra_attempts.ExtraAttempts(ALLOWED, 0.0)
    book.deposit(amount, now, now)
    return book


def test_hedges_leave_a_part_to_retries():
    book = keep(8.0)
    hedges = 0
    while book.spend("s", 1.0, extra_attempts.RESERVED_FOR_RETRIES):
        hedges += 1
    assert hedges == 6
    assert book.spend("s", 1.0)
    assert book.grant("s", 1.0)
    assert not book.spend("s", 1.0)


def test_services_are_counted_apart():
    book = keep(2.0)
    while book.spend("a", 1.0):
        pass
    assert book.spend("b", 1.0)


def test_credit_ends_where_it_is_kept_and_where_it_is_granted():
    book = keep(2.0)
    assert book.remaining("s", 1.0 + extra_attempts.POOL_TTL_SECONDS - 0.01) == 2.0
    assert book.remaining("s", 1.0 + extra_attempts.POOL_TTL_SECONDS) == 0.0
    book.accept_grant("s", 2.0)
    assert not book.spend("s", 2.0)
    book.accept_grant("s", 2.1)
    assert book.spend("s", 2.0)


def test_credit_that_was_asked_for_long_ago_is_over():
    book = extra_attempts.ExtraAttempts(ALLOWED, 0.0)
    book.deposit(5.0, 1.0, 1.0 + extra_attempts.POOL_TTL_SECONDS)
    assert not book.spend("s", 1.0 + extra_attempts.POOL_TTL_SECONDS)


def test_what_an_instance_earned_is_handed_over_once_and_not_saved_for_long():
    book = extra_attempts.ExtraAttempts(ALLOWED, 0.0)
    book.instances.note(2, 0.0)
    most = extra_attempts.EARNED_TTL_SECONDS * ALLOWED.rate / 2
    assert book.withdraw_earned(100.0) == pytest.approx(most)
    assert book.withdraw_earned(100.0) == 0.0
    assert book.withdraw_earned(101.0) == pytest.approx(ALLOWED.rate / 2)


def test_instances_out_of_sight_count_for_a_while():
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
