"""The request rate to a cold target is limited over all instances together."""

from __future__ import annotations

import json
import random

import pytest

from lineworks.decisions import cold_targets
from lineworks.platform import headers
from lineworks.platform.standins import documents
from tests import test_forwarding

BOUND = cold_targets.ColdBound(1.5, 5.0)


def max_in_window(times, window=1.0):
    """Return the maximum number of arrivals within any window."""
    times = sorted(times)
    most = first = 0
    for last, at in enumerate(times):
        while at - times[first] >= window:
            first += 1
        most = max(most, last - first + 1)
    return most


@pytest.mark.parametrize("seed", range(40))
@pytest.mark.parametrize("count", [1, 2, 7, 20, 60, 195])
def test_all_instances_together_stay_below_the_limit_with_any_membership_view(seed, count):
    rng = random.Random(f"{seed}/{count}")
    names = [f"n{number}" for number in range(count)]
    rate = rng.choice([0.5, 2.0, 10.0, 40.0])
    allowances = []
    for name in names:
        allowance = cold_targets.ColdAllowance(name, BOUND)
        # After a network partition, a start or a freeze an instance knows only some names, or none;
        # its count covers all instances that may be running, or is unknown.
        seen = rng.sample(names, rng.randint(0, count))
        known = rng.choice([0, count, count, count + rng.randint(0, 40)])
        allowance.note_instances(seen, 0.0)
        allowance.note_instance_count(known)
        allowances.append(allowance)
    sent = []
    for step in range(120):
        now = step * 0.025
        for allowance in allowances:
            if rng.random() < 0.5 and allowance.may_send("t", rate, now):
                allowance.note_sent("t", now)
                sent.append(now)
    assert max_in_window(sent) <= rate * 1.5 + 5


@pytest.mark.parametrize("count", [1, 7, 60])
def test_instances_that_know_each_other_use_most_of_the_limit(count):
    names = [f"n{number}" for number in range(count)]
    shares = []
    for name in names:
        allowance = cold_targets.ColdAllowance(name, BOUND)
        allowance.note_instances(names, 0.0)
        allowance.note_instance_count(count)
        shares.append(allowance.share("t", 10.0))
    assert 14 <= sum(shares) <= 20


def test_nothing_may_be_sent_while_the_number_of_instances_is_unknown():
    allowance = cold_targets.ColdAllowance("a", BOUND)
    assert allowance.share("t", 100.0) == 0
    allowance.note_instance_count(1)
    assert allowance.share("t", 100.0) == 155


def announce_cold(world, target, is_cold):
    entry = json.loads(target.entry())
    entry["WarmupLeftMs"] = 3000 if is_cold else 0
    world.store.write(documents.target_key(target.name), documents.encode_value(json.dumps(entry)))


def note_arrivals(world, service):
    arrivals = {}
    for target in test_forwarding.targets_of(world, service):
        times = arrivals.setdefault(target.name, [])
        target.on_arrival = lambda run, times=times: times.append(world.clock.seconds())
    return arrivals


def build(rate=4.0):
    world = test_forwarding.build()
    world.cold_rate = rate
    world.cold_seconds = 3.0
    world.configure([test_forwarding.SEARCH, test_forwarding.READ, test_forwarding.BILL])
    world.run(3.0)
    return world


def load(world, seconds, path="/read/q", per_step=2):
    replies = []
    for _ in range(int(seconds / 0.05)):
        for name in world.nodes:
            replies += [world.ask(name, path) for _ in range(per_step)]
        world.run(0.05)
    world.run(1.0)
    return replies


def test_warm_replicas_are_preferred_to_cold_ones():
    world = build()
    shelf = test_forwarding.targets_of(world, "shelf")
    announce_cold(world, shelf[0], True)
    world.run(2.5)
    arrivals = note_arrivals(world, "shelf")
    replies = load(world, 1.0, per_step=1)
    assert not arrivals[shelf[0].name]
    assert sum(reply.status == 200 for reply in replies) > 0.9 * len(replies)


def test_if_all_replicas_are_cold_each_stays_below_the_limit_and_excess_requests_are_refused():
    world = build()
    shelf = test_forwarding.targets_of(world, "shelf")
    for target in shelf:
        announce_cold(world, target, True)
    world.run(2.5)
    arrivals = note_arrivals(world, "shelf")
    replies = load(world, 4.0)
    assert {reply.status for reply in replies} == {200, 503}
    for times in arrivals.values():
        assert 0 < max_in_window(times) <= 4.0 * 1.5 + 5
    refused = [reply for reply in replies if reply.status == 503]
    assert all(reply.seconds < 0.2 for reply in refused)


def test_a_hall_counts_as_cold_after_an_evacuation_before_its_entries_say_so():
    world = build()
    world.evacuate("akl")
    world.run(5.0)
    world.end_evacuation("akl")
    mine = [target for target in test_forwarding.targets_of(world, "shelf") if target.hall == "akl"]
    arrivals = note_arrivals(world, "shelf")
    load(world, 4.0)
    assert max_in_window(arrivals[mine[0].name]) <= 4.0 * 1.5 + 5
    world.run(4.0)
    load(world, 1.0)
    assert arrivals[mine[0].name]


def test_services_that_report_no_rate_are_not_limited():
    world = build(rate=0.0)
    shelf = test_forwarding.targets_of(world, "shelf")
    for target in shelf:
        announce_cold(world, target, True)
    world.run(2.5)
    replies = load(world, 1.0, per_step=1)
    assert sum(reply.status == 200 for reply in replies) > 0.9 * len(replies)


@pytest.mark.parametrize(
    ("value", "seconds"), [(b"1500", 1.5), (b"0", 0.0), (b"", None), (b"-1", None), (b"x", None)]
)
def test_the_remaining_warm_up_time_is_parsed_from_the_response_headers(value, seconds):
    assert headers.read_cold_seconds({b"x-warmup-left": value}) == seconds


@pytest.mark.parametrize(
    ("value", "pace"),
    [
        (b"1,0,2,150", 1.5),
        (b"1,0,2", None),
        (b"1,0,2,", None),
        (b"1,0,2,0", None),
        (b"1,0,2,-5", None),
        (b"1,0,2,nan", None),
        (b"1,0,2," + b"9" * 400, None),
        (b"1,0,2,\xb2", None),
    ],
)
def test_the_pace_is_parsed_only_if_it_is_a_valid_number(value, pace):
    assert headers.read_load({b"x-server-load": value}).pace == pace
