"""Exhaustive model check of `ExtraAttempts`: all event orders up to a bound.

Events are messages, message losses, restarts and spending, at two instances that may both act as
keeper. Credit lifetimes are shortened to whole time steps, so that credit expires within the bound.
"""

from __future__ import annotations

import collections
import dataclasses

import pytest

from lineworks.decisions import credit, extra_attempts


@dataclasses.dataclass(frozen=True)
class Bound:
    """Bounds of the search."""

    steps: int
    """Number of time steps."""

    in_flight: int
    """Maximum number of messages in flight at a time."""

    restarts: int


HOLD, POOL, GRANT = 1, 1, 1
EARNED_PER_STEP = 1.0
"""Credit that each of the two instances earns per time step."""


@dataclasses.dataclass
class World:
    """State of two instances and of the messages in flight between them."""

    books: list
    now: int = 0
    in_flight: tuple = ()
    restarts: int = 0
    spent: tuple = ()

    def copy(self):
        books = [copy_of(book) for book in self.books]
        return World(books, self.now, self.in_flight, self.restarts, self.spent)

    def key(self):
        books = []
        for book in self.books:
            pool = tuple((b.epoch, b.amount, b.spent.get("s", 0.0)) for b in book._pool._buckets)
            grants = tuple(book._grants.get("s", ()))
            books.append((book._earning_since, pool, grants))
        return tuple(books), self.now, self.in_flight, self.restarts, self.spent


def copy_of(book):
    other = extra_attempts.ExtraAttempts(book._allowance, book._earning_since)
    other.instances = book.instances
    other._pool._buckets = [
        credit._Bucket(one.epoch, one.amount, dict(one.spent)) for one in book._pool._buckets
    ]
    other._grants = {service: collections.deque(ends) for service, ends in book._grants.items()}
    return other


@pytest.fixture
def allowed(monkeypatch):
    monkeypatch.setattr(extra_attempts, "EARNED_TTL_SECONDS", HOLD)
    monkeypatch.setattr(extra_attempts, "POOL_TTL_SECONDS", POOL)
    monkeypatch.setattr(extra_attempts, "GRANT_TTL_SECONDS", GRANT)
    monkeypatch.setattr(credit, "BUCKET_SECONDS", 1)
    window = 2.0
    slack = 2 * EARNED_PER_STEP * (window + HOLD + POOL + GRANT) / extra_attempts.USABLE_SLACK
    allowance = extra_attempts.Allowance(0.0, slack, window)
    assert allowance.rate == pytest.approx(2 * EARNED_PER_STEP)
    return allowance


def make(allowed, now):
    book = extra_attempts.ExtraAttempts(allowed, now)
    book.instances.note(2, now)
    return book


def actions(world, allowed, bound):
    """List the possible next events, as functions that change a copy of the world."""
    found = []
    if world.now < bound.steps:
        found.append(tick)
    for one in (0, 1):
        found += [
            lambda w, one=one: spend(w, one),
            lambda w, one=one: pull(w, one, bound),
            lambda w, one=one: send(w, bound, ("ask", one, w.now)),
        ]
        if world.restarts < bound.restarts:
            found.append(lambda w, one=one: restart(w, one, allowed))
    for index in range(len(world.in_flight)):
        found.append(lambda w, index=index: deliver(w, index, bound))
        found.append(lambda w, index=index: lose(w, index))
    return found


def tick(world):
    world.now += 1
    return True


def spend(world, one):
    if not world.books[one].spend("s", world.now):
        return False
    world.spent = (*world.spent, world.now)
    return True


def send(world, bound, message):
    if len(world.in_flight) >= bound.in_flight:
        return False
    world.in_flight = (*world.in_flight, message)
    return True


def pull(world, keeper, bound):
    book = world.books[keeper]
    book.deposit(book.withdraw_earned(world.now), world.now, world.now)
    return send(world, bound, ("pull", keeper, world.now))


def restart(world, one, allowed):
    world.books[one] = make(allowed, world.now)
    world.restarts += 1
    # Replies to the previous process are dropped.
    world.in_flight = tuple(message for message in world.in_flight if message[1] != one)
    return True


def lose(world, index):
    world.in_flight = world.in_flight[:index] + world.in_flight[index + 1 :]
    return True


def deliver(world, index, bound):
    kind, asker, asked_at, *more = world.in_flight[index]
    lose(world, index)
    other = 1 - asker
    if kind == "pull":
        amount = world.books[other].withdraw_earned(world.now)
        return send(world, bound, ("share", asker, asked_at, amount))
    if kind == "ask":
        if world.books[other].grant("s", world.now):
            return send(world, bound, ("grant", asker, asked_at))
        return False
    if kind == "share":
        world.books[asker].deposit(more[0], asked_at, world.now)
    else:
        world.books[asker].accept_grant("s", asked_at + extra_attempts.GRANT_TTL_SECONDS)
    return True


def check(world):
    """Check that no interval spent more credit than was earned in it or shortly before."""
    life = HOLD + POOL + GRANT
    for first in range(len(world.spent)):
        for last in range(first, len(world.spent)):
            begin, end = world.spent[first], world.spent[last]
            earned = 2 * EARNED_PER_STEP * (end - max(0, begin - life))
            assert last - first + 1 <= earned + 1e-6, world.spent


def explore(allowed, bound):
    """Visit every reachable state and return their number."""
    first = World([make(allowed, 0), make(allowed, 0)])
    seen = {first.key()}
    pending = [first]
    while pending:
        world = pending.pop()
        for action in actions(world, allowed, bound):
            after = world.copy()
            if not action(after):
                continue
            key = after.key()
            if key in seen:
                continue
            seen.add(key)
            check(after)
            pending.append(after)
    return len(seen)


# The last one visits about 127,000 states.
@pytest.mark.parametrize("bound", [Bound(2, 1, 1), Bound(3, 1, 0)])
def test_no_order_of_events_spends_more_than_was_earned(allowed, bound):
    assert explore(allowed, bound) > 20_000


def test_the_model_detects_credit_that_is_copied(allowed, monkeypatch):
    monkeypatch.setattr(
        extra_attempts.ExtraAttempts, "withdraw_earned", lambda book, now: float(min(now, HOLD))
    )
    with pytest.raises(AssertionError):
        explore(allowed, Bound(2, 1, 0))
