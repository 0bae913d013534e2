"""Fair shares: each scheduling rule, under a load that requires it."""

from __future__ import annotations

import collections
import dataclasses
import functools
import heapq
import random
from unittest import mock

import pytest
from twisted.internet import task

from lineworks.decisions import extra_attempts, fair_shares
from lineworks.forwarding import front_services, wait_queue
from lineworks.platform.standins import documents
from tests import test_forwarding

SERVICE_SECONDS = 0.05
WAIT_SECONDS = 0.2


@dataclasses.dataclass
class Sender:
    """A workspace, or one kind of its requests."""

    name: str
    rate: float
    priority: int = 1
    slo: float = 1.0
    seconds: float = SERVICE_SECONDS
    has_quota: bool = False


class Replay:
    """A load on the slots of one instance, served in fair order or in order of arrival."""

    def __init__(self, senders, slots, seconds=60.0, seed=1, is_fair=True):
        self.requested = collections.Counter()
        self.served = collections.Counter()
        self._requested_by = collections.Counter()
        self._served_by = collections.Counter()
        self._shares = fair_shares.FairShares()
        self._is_fair = is_fair
        self._waiting = []
        self._busy = []
        arrivals = _arrivals(senders, seconds, random.Random(seed))
        for now, sender in arrivals:
            while self._busy and len(self._busy) >= slots and self._busy[0] <= now:
                self._use_free_slot(heapq.heappop(self._busy))
            while self._busy and self._busy[0] <= now:
                heapq.heappop(self._busy)
            self._take(now, sender, slots)

    def _take(self, now, sender, slots):
        self.requested[sender.name] += 1
        self._requested_by[id(sender)] += 1
        request = fair_shares.WaitingRequest(
            sender.name,
            sender.priority,
            now,
            now + sender.slo - sender.seconds,
            sender.has_quota,
        )
        if len(self._busy) < slots:
            self._serve(now, request, sender)
        else:
            self._waiting.append((request, sender))

    def _use_free_slot(self, now):
        """Assign a free slot to a waiting request."""
        kept = [one for one in self._waiting if one[0].arrived + WAIT_SECONDS > now]
        for request, _ in self._waiting:
            if request.arrived + WAIT_SECONDS <= now:
                self._shares.note_refused(request.workspace, now)
        self._waiting = kept
        if kept:
            requests = [request for request, _ in kept]
            index = self._shares.order(requests, now)[0] if self._is_fair else 0
            self._serve(now, *kept.pop(index))

    def _serve(self, now, request, sender):
        self._shares.note_served(request.workspace, now)
        self.served[sender.name] += 1
        self._served_by[id(sender)] += 1
        heapq.heappush(self._busy, now + sender.seconds)

    def share(self, name):
        return self.served[name] / self.requested[name]

    def share_of(self, sender):
        return self._served_by[id(sender)] / self._requested_by[id(sender)]

    @property
    def overall(self):
        return sum(self.served.values()) / sum(self.requested.values())


def _arrivals(senders, seconds, rng):
    found = []
    for sender in senders:
        at = rng.expovariate(sender.rate)
        while at < seconds:
            found.append((at, sender))
            at += rng.expovariate(sender.rate)
    return sorted(found, key=lambda one: one[0])


def make_senders(hot_rate, has_quota=False):
    """Make eight workspaces; all but the hot one send ten requests per second each."""
    return [Sender("hot", hot_rate, has_quota=has_quota)] + [
        Sender(f"w{number}", 10.0) for number in range(7)
    ]


SEEDS = range(5)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_workspace_is_served_much_less_than_average_at_half_capacity(seed):
    # 130 requests per second, with capacity for 65.
    load = Replay(make_senders(60.0, has_quota=True), slots=3, seed=seed)
    assert load.overall < 0.55
    for name in load.requested:
        assert load.share(name) >= 0.8 * load.overall


@pytest.mark.parametrize("seed", SEEDS)
def test_small_workspaces_keep_their_share_despite_a_hot_one_without_a_quota(seed):
    # 130 requests per second, 60 of them from the hot workspace, with capacity for 100.
    alone = Replay(make_senders(10.0)[1:], slots=5, seed=seed)
    beside = Replay(make_senders(60.0), slots=5, seed=seed)
    in_arrival_order = Replay(make_senders(60.0), slots=5, seed=seed, is_fair=False)
    for number in range(7):
        name = f"w{number}"
        assert beside.share(name) >= 0.95 * alone.share(name)
        assert in_arrival_order.share(name) < 0.9 * alone.share(name)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_hot_workspace_without_a_quota_is_not_starved(seed):
    load = Replay(make_senders(60.0), slots=3, seed=seed)
    assert load.share("hot") >= 0.4 * load.overall


@pytest.mark.parametrize("seed", SEEDS)
def test_urgent_requests_precede_long_ones_of_the_same_workspace(seed):
    urgent = Sender("w", 30.0, priority=0, slo=0.2)
    long = Sender("w", 60.0, priority=2, slo=2.0)
    load = Replay([urgent, long], slots=3, seed=seed)
    in_arrival_order = Replay([urgent, long], slots=3, seed=seed, is_fair=False)
    assert load.share_of(urgent) >= 0.95
    assert in_arrival_order.share_of(urgent) < 0.8


@pytest.mark.parametrize("seed", SEEDS)
def test_a_less_urgent_workspace_is_served_despite_one_that_uses_all_capacity(seed):
    urgent = Sender("urgent", 100.0, priority=0)
    patient = Sender("patient", 10.0, priority=3)
    load = Replay([urgent, patient], slots=3, seed=seed)
    # By priority alone it would get no capacity at all.
    assert load.share("patient") >= 0.4 * load.overall


def test_a_long_request_that_has_waited_precedes_new_urgent_ones():
    shares = fair_shares.FairShares()
    long = fair_shares.WaitingRequest("w", 2, 0.0, 2.0)
    urgent = [fair_shares.WaitingRequest("w", 0, now, now + 0.1) for now in (0.0, 0.1, 0.5)]
    assert shares.precedes(urgent[0], long, 0.0)
    assert shares.precedes(urgent[1], long, 0.1)
    assert shares.precedes(long, urgent[2], 0.5)


@pytest.mark.parametrize("seed", SEEDS)
def test_requests_that_cannot_finish_in_time_take_no_capacity_from_others(seed):
    doomed = Sender("w", 60.0, priority=0, slo=0.04)
    good = Sender("w", 50.0, priority=1, slo=0.2)
    load = Replay([doomed, good], slots=3, seed=seed)
    in_arrival_order = Replay([doomed, good], slots=3, seed=seed, is_fair=False)
    assert load.share_of(good) >= 0.9
    assert in_arrival_order.share_of(good) < 0.8


def test_past_use_decays():
    shares = fair_shares.FairShares()
    for _ in range(100):
        shares.note_served("hot", 0.0)
    shares.note_served("calm", 0.0)

    def hot_goes_first(now):
        hot = fair_shares.WaitingRequest("hot", 1, now - 0.02, 500.0)
        return shares.precedes(hot, fair_shares.WaitingRequest("calm", 1, now - 0.01, 500.0), now)

    assert not hot_goes_first(2.0)
    assert hot_goes_first(300.0)


class TestExtraAttempts:
    """Extra attempts at a service that has few left."""

    def spent(self, *counts):
        shares = fair_shares.FairShares()
        for number, count in enumerate(counts):
            shares.note_served(f"w{number}", 0.0)
            for _ in range(count):
                shares.note_spent(f"w{number}", "s", 0.0)
        return [shares.is_overspending(f"w{number}", "s", 0.0) for number in range(len(counts))]

    def test_a_workspace_that_spends_most_is_overspending(self):
        assert self.spent(20, 2, 2, 0) == [True, False, False, False]
        assert self.spent(20, 0) == [True, False]

    def test_a_workspace_that_is_alone_or_spends_its_part_is_not_overspending(self):
        assert self.spent(20) == [False]
        assert self.spent(6, 5, 6, 5) == [False] * 4

    def test_a_few_attempts_are_not_overspending(self):
        assert self.spent(3, 0, 0) == [False] * 3

    def test_attempts_are_counted_per_service(self):
        shares = fair_shares.FairShares()
        shares.note_served("calm", 0.0)
        shares.note_served("hot", 0.0)
        for _ in range(20):
            shares.note_spent("hot", "s", 0.0)
        assert not shares.is_overspending("hot", "t", 0.0)


def _spend_all(is_fair):
    """Let a hot workspace spend as many extra attempts as it may, then a calm one."""
    queue = wait_queue.WaitQueue(task.Clock(), 0.01)
    queue.is_fair = is_fair
    extra = extra_attempts.ExtraAttempts(extra_attempts.Allowance(), 0.0)
    shared = mock.create_autospec(front_services.FrontServices, instance=True)
    shared.queue, shared.extra, shared.counters = queue, extra, front_services.Counters()
    shared.is_overspending = functools.partial(front_services.FrontServices.is_overspending, shared)
    for name in ("hot", "calm"):
        queue.note_served(name)
    for _ in range(200):
        extra.note_request("s", 0.0)
    spend = functools.partial(front_services.FrontServices.try_spend, shared, "s", 0.0)
    return [sum(spend(workspace=name) for _ in range(100)) for name in ("hot", "calm")]


def test_the_last_extra_attempts_are_left_to_the_calm_workspace():
    assert _spend_all(is_fair=False) == [38, 0]
    hot, calm = _spend_all(is_fair=True)
    assert hot + calm == 38
    assert calm >= 9


class TestWaitingLine:
    """The waiting line, on a simulated clock."""

    def build(self):
        clock = task.Clock()
        queue = wait_queue.WaitQueue(clock, 0.01)
        queue.is_fair = True
        tried = []

        def request(name, priority=1):
            return fair_shares.WaitingRequest(name, priority, clock.seconds(), 100.0)

        def wait(name, priority=1, service="s"):
            def look():
                tried.append(name)

            return queue.wait(request(name, priority), (service,), look)

        return clock, queue, tried, request, wait

    def test_waiting_requests_are_tried_once_in_order(self):
        clock, queue, tried, _, wait = self.build()
        queue.note_served("hot")
        wait("hot")
        wait("calm")
        wait("urgent", priority=0)
        clock.advance(1.0)
        assert tried == ["urgent", "calm", "hot"]
        assert queue.length == 0

    def test_a_new_request_overtakes_only_those_that_it_precedes(self):
        _, queue, _, request, wait = self.build()
        wait("calm")
        assert queue.has_waiter_ahead(request("calm"), ("s",)) is False
        assert queue.has_waiter_ahead(request("late", 2), ("s", "t"))
        assert not queue.has_waiter_ahead(request("late", 2), ("t",))
        assert not queue.has_waiter_ahead(request("urgent", 0), ("s",))

    def test_a_request_that_leaves_while_others_are_tried_is_not_tried(self):
        clock, queue, tried, request, wait = self.build()
        leave = wait("late", priority=2)
        queue.wait(request("first", 0), ("s",), leave)
        clock.advance(1.0)
        assert tried == []

    def test_retry_times_of_refused_callers_are_jittered(self):
        draws = iter((0.0, 0.5, 1.0))
        queue = wait_queue.WaitQueue(task.Clock(), 0.01, lambda: next(draws))
        assert queue.retry_after(0.2) is None
        queue.is_fair = True
        assert [queue.retry_after(0.2) for _ in range(3)] == pytest.approx([0.1, 0.2, 0.3])


def _replay_reads(is_fair):
    """Send 300 reads per second of a hot workspace and ten of seven others through one instance.

    The three targets have capacity for about 200 of the 370.
    """
    names = ["hot"] + [f"w{number}" for number in range(7)]
    world = test_forwarding.build()
    world.workspaces = [documents.workspace(name, f"key-{name}") for name in names]
    world.configure([test_forwarding.READ])
    world.run(2.0)
    queue = world.nodes["akl-1"]._front._shared.queue
    assert queue.is_fair
    queue.is_fair = is_fair
    senders = [Sender("hot", 300.0)] + [Sender(name, 10.0) for name in names[1:]]
    begin = world.clock.seconds()
    replies = collections.defaultdict(list)
    for at, sender in _arrivals(senders, 2.0, random.Random(1)):
        world.clock.run_until(begin + at)
        replies[sender.name].append(world.ask("akl-1", "/read/x", key=f"key-{sender.name}"))
    world.run(2.0)
    assert {reply.status for found in replies.values() for reply in found} == {200, 503}
    return {
        name: sum(reply.status == 200 for reply in found) / len(found)
        for name, found in replies.items()
    }


def test_a_hot_workspace_starves_no_other_at_an_instance():
    shares = _replay_reads(is_fair=True)
    hot = shares.pop("hot")
    assert min(shares.values()) >= 0.95
    assert hot >= 0.3
    in_arrival_order = _replay_reads(is_fair=False)
    assert min(in_arrival_order.values()) < 0.8


def test_requests_are_not_queued_in_fair_order_without_workspaces():
    world = test_forwarding.build()
    replies = [world.ask("akl-1", "/read/x") for _ in range(60)]
    queue = world.nodes["akl-1"]._front._shared.queue
    for _ in range(30):
        world.run(0.005)
        assert queue.length == 0
    assert not queue.is_fair
    assert {reply.status for reply in replies} >= {200}
    refused = [reply for reply in replies if reply.status == 503]
    assert {reply.headers["retry-after"] for reply in refused} <= {"0.25"}
