"""Delegation: instances that are much faster than others query the targets for them."""

from __future__ import annotations

import collections
import random

import pytest

from lineworks.decisions import gather_rate
from tests import test_work_split

FAST = gather_rate.rate(2.0, 100e6)
SLOW = gather_rate.rate(0.4, 10e6)


def candidates(rates, outstanding=()):
    return [
        gather_rate.Candidate(f"i{number}", rate, outstanding[number] if outstanding else 0)
        for number, rate in enumerate(rates)
    ]


def first_choices(rates, outstanding=(), draws=4000):
    rng = random.Random(1)
    chosen = collections.Counter()
    for _ in range(draws):
        chosen[gather_rate.rank(candidates(rates, outstanding), rng.random)[0]] += 1
    return chosen


def test_two_fast_instances_among_sixteen_are_usually_chosen_first():
    chosen = first_choices([FAST] * 2 + [SLOW] * 14)
    assert chosen["i0"] + chosen["i1"] > 0.8 * 4000
    assert 0.8 < chosen["i0"] / chosen["i1"] < 1.25


def test_busy_fast_instances_are_rarely_chosen_first():
    busy = first_choices([FAST] * 2 + [SLOW] * 14, [40, 40] + [0] * 14)
    assert busy["i0"] + busy["i1"] < 0.2 * 4000


def test_similar_instances_are_ranked_by_outstanding_work():
    rng = random.Random(2)
    for _ in range(50):
        assert gather_rate.rank(candidates([SLOW] * 3, [2, 0, 1]), rng.random) == ["i1", "i2", "i0"]


@pytest.mark.parametrize("rates", [[FAST, gather_rate.UNKNOWN], [gather_rate.UNKNOWN] * 2])
def test_instances_of_unknown_rate_count_as_similar(rates):
    assert gather_rate.are_similar(rates)
    assert not gather_rate.is_faster(*rates)


def test_work_is_divided_so_that_all_instances_take_about_the_same_time():
    pieces = gather_rate.divide(list(range(135)), [FAST, FAST, SLOW])
    assert sum(pieces, []) == list(range(135))
    seconds = [len(piece) / rate for piece, rate in zip(pieces, [FAST, FAST, SLOW], strict=True)]
    assert max(seconds) < 1.3 * min(seconds)


@pytest.mark.parametrize("seed", range(20))
def test_every_item_is_in_exactly_one_piece(seed):
    rng = random.Random(seed)
    items = list(range(rng.randint(0, 300)))
    rates = [rng.choice([FAST, SLOW]) * rng.uniform(0.5, 2) for _ in range(rng.randint(1, 9))]
    pieces = gather_rate.divide(items, rates)
    assert len(pieces) == len(rates)
    assert sorted(sum(pieces, [])) == items


@pytest.mark.parametrize(("processor", "link"), [(0.0, 1e6), (1.0, 0.0)])
def test_the_rate_is_unknown_without_processor_or_link(processor, link):
    assert gather_rate.rate(processor, link) == gather_rate.UNKNOWN


def build(shards=30, halls=("akl",)):
    world = test_work_split.deployment.Deployment(test_work_split.fakes.VirtualClock())
    services = [f"s{number:03d}" for number in range(shards)]
    for service in services:
        for hall in halls:
            world.add_target(service, hall, lambda: 0.03)
    route = {"Name": "search", "PathPrefix": "/search/", "Fanout": services, "TopK": 50}
    world.configure([{**route, "OldestVersion": 0.95}])
    for number, rate in enumerate([SLOW, SLOW, FAST, SLOW]):
        world.gather_rate = rate
        world.add_node(f"akl-{number}", "akl")
    world.gather_rate = SLOW
    world.add_node("wlg-0", "wlg")
    world.run(4.0)
    return world


def count_search_calls(world, name, count=40):
    calls = test_work_split.count_calls(world)
    for number in range(count):
        attempt = f"{name}-{number}"
        reply = test_work_split.ask(world, name, attempt)
        assert test_work_split.check(world, reply, attempt, 30) == 30
    return sum(calls.values(), collections.Counter())


def test_a_slow_instance_delegates_searches_to_a_fast_one_of_its_hall():
    calls = count_search_calls(build(), "akl-0")
    assert calls["akl-2"] > 0.8 * calls.total()


def test_a_fast_instance_queries_all_targets_itself():
    assert set(count_search_calls(build(), "akl-2", count=5)) == {"akl-2"}


def test_an_instance_of_another_hall_delegates_to_the_fast_one():
    calls = count_search_calls(build(), "wlg-0")
    assert calls["akl-2"] > 0.8 * calls.total()


@pytest.mark.parametrize("fault", ["kill", "freeze"])
def test_a_search_survives_the_loss_of_the_fast_instance_that_handles_it(fault):
    world = build(halls=("akl", "wlg"))
    calls = test_work_split.count_calls(world)
    number = 0
    while not calls[f"q{number}"]["akl-2"]:
        number += 1
        reply = world.ask("akl-0", "/search/q", attempt=f"q{number}")
        world.run(0.01)
    getattr(world.host_of("akl-2"), fault)()
    world.run(1.5)
    assert test_work_split.check(world, reply, f"q{number}", 30) >= 29
