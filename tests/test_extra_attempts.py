"""The allowance of extra attempts holds for all instances together in every sliding window."""

from __future__ import annotations

import random

import pytest

from lineworks.decisions import extra_attempts

ALLOWED = extra_attempts.Allowance(0.2, 54.0, 10.0)


def play(seed, instances, restarts=()):
    """Let instances spend as much as they may; list all requests and extras by time."""
    rng = random.Random(seed)
    books = [extra_attempts.ExtraAttempts(ALLOWED) for _ in range(instances)]
    for book in books:
        book.instances = instances
    requests, extras = [], []
    now, pending = 0.0, sorted(restarts)
    while now < 40.0:
        now += rng.expovariate(60.0 if now % 9 < 6 else 10.0)
        if pending and now >= pending[0]:
            pending.pop(0)
            books = [extra_attempts.ExtraAttempts(ALLOWED) for _ in range(instances)]
            for book in books:
                book.instances = instances
        book = rng.choice(books)
        book.note_request("s", now)
        requests.append(now)
        while rng.random() < 0.7 and book.spend("s", now):
            extras.append(now)
    return requests, extras


def worst_excess(requests, extras):
    worst = -1e9
    for start in extras:
        end = start + ALLOWED.window
        inside = sum(start <= at < end for at in extras)
        asked = sum(start <= at < end for at in requests)
        worst = max(worst, inside - ALLOWED.share * asked - ALLOWED.slack)
    return worst


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("instances", [1, 3, 7])
def test_all_together_stay_within_the_allowance(seed, instances):
    assert worst_excess(*play(seed, instances)) <= 0


@pytest.mark.parametrize("seed", range(4))
def test_also_when_all_forget_what_they_spent(seed):
    assert worst_excess(*play(seed, 7, restarts=(12.3,))) <= 0


def test_requests_earn_and_the_window_forgets():
    book = extra_attempts.ExtraAttempts(ALLOWED)
    book.instances = 1000
    assert not book.spend("s", 0.0)
    for step in range(100):
        book.note_request("s", step * 0.05)
    assert book.left("s", 5.0) > 15
    assert book.left("s", 16.0) < 1


def test_hedges_leave_a_part_to_retries():
    book = extra_attempts.ExtraAttempts(ALLOWED)
    while book.spend("s", 1.0, extra_attempts.KEPT_FROM_HEDGES):
        pass
    assert book.spend("s", 1.0)


def test_services_are_counted_apart():
    book = extra_attempts.ExtraAttempts(ALLOWED)
    while book.spend("a", 1.0):
        pass
    assert book.spend("b", 1.0)
