"""In-memory fleet of instances in several data halls, with the real quota components."""

from __future__ import annotations

import bisect
import collections
import math
import random

from bench import fakes
from lineworks.decisions import quota, workspaces
from lineworks.forwarding import gatherers, quota_holder, quota_keeper, quota_ranks
from lineworks.models import member
from lineworks.wire import codec, frames, node_frames

BOUND = quota.QuotaBound(5.0, 0.1, 20.0)
HALLS = {"b1": "b", "b2": "b", "p1": "p", "p2": "p", "d1": "d", "d2": "d"}
HEARTBEAT_SECONDS = 2.0
SILENCE_TIMEOUT = 4.5
CROSS_HALL_FRAMES = (node_frames.QuotaPull, node_frames.QuotaShare)


class Timer:
    def __init__(self, call):
        self.call = call

    def active(self):
        return self.call is not None

    def cancel(self):
        self.call = None

    def fire(self):
        call, self.call = self.call, None
        if call is not None:
            call()


class Reactor:
    """The reactor of one process: runs nothing once the process has ended or while it is frozen."""

    def __init__(self, clock):
        self.clock = clock
        self.is_gone = False
        self.waiting = None

    def seconds(self):
        return self.clock.seconds()

    def run(self, call):
        if self.waiting is not None:
            self.waiting.append(call)
        elif not self.is_gone:
            call()

    def callLater(self, delay, call, *args):  # noqa: N802
        timer = Timer(lambda: call(*args))
        self.clock.callLater(delay, lambda: self.run(timer.fire))
        return timer


class Link:
    """One end of a link between two instances."""

    def __init__(self, fleet, mine, other):
        self.fleet, self.mine, self.other = fleet, mine, other
        self.hello = frames.Hello(other.name, other.hall, other.incarnation, b"")

    @property
    def last_received_at(self):
        end = self.fleet.silent_since.get((self.other.name, self.mine.name), math.inf)
        now = min(self.fleet.clock.seconds(), end)
        return now - now % HEARTBEAT_SECONDS

    def send(self, frame):
        self.fleet.carry(self.mine, self.other, frame)


class Links:
    def __init__(self):
        self.up = {}
        self.on_down = []
        self.handlers = {}

    def handle(self, kind, handler):
        self.handlers[kind] = handler

    def send(self, name, frame):
        if name not in self.up:
            return False
        self.up[name].send(frame)
        return True

    def lose(self, name):
        if self.up.pop(name, None) is not None:
            for listener in self.on_down:
                listener(name)


class Instance:
    """One process of the query tier."""

    def __init__(self, fleet, name, hall, incarnation):
        self.name, self.hall, self.incarnation = name, hall, incarnation
        self.reactor = Reactor(fleet.clock)
        self.links = Links()
        peers = gatherers.GathererClient(self.reactor, self.links, fleet.rng)
        members = fleet.members
        self.ranks = quota_ranks.QuotaRanks(
            self.reactor, name, hall, self.links, peers, lambda: members
        )
        self.holder = quota_holder.QuotaHolder(
            self.reactor, hall, fleet.halls, self.links, self.ranks, BOUND
        )
        self.keeper = quota_keeper.QuotaKeeper(
            self.reactor, name, self.links, peers, self.ranks, self.holder
        )
        self.keeper.set_workspaces(fleet.workspaces.values())


class Fleet:
    """Instances and the network between them."""

    def __init__(self, sizes, limits, seed=1, halls=HALLS):
        self.clock = fakes.VirtualClock()
        self.rng = random.Random(seed)
        self.halls = halls
        self.workspaces = {
            name: workspaces.Workspace(name, quota=workspaces.Quota(*limit) if limit else None)
            for name, limit in limits.items()
        }
        names = [
            (f"{hall}-{number}", hall)
            for hall, size in zip(halls, sizes, strict=True)
            for number in range(size)
        ]
        self.members = [member.Member(name, hall, "", 0, "", False) for name, hall in names]
        self.silent_since = {}
        self.lives = collections.Counter()
        self.messages = collections.Counter()
        self.admitted = collections.defaultdict(list)
        self.refused = collections.defaultdict(list)
        self.waits = collections.defaultdict(list)
        self.retry_after = []
        self.instances = {}
        for name, hall in names:
            self.start(name, hall)
        self.run(0.5)

    @property
    def now(self):
        return self.clock.seconds()

    def run(self, seconds):
        self.clock.run_until(self.now + seconds)

    def start(self, name, hall):
        self.lives[name] += 1
        made = Instance(self, name, hall, f"{name}.{self.lives[name]}")
        self.instances[name] = made
        self.clock.callLater(0.1, self.join, made)

    def join(self, made):
        for other in self.instances.values():
            self.link(made, other)

    def link(self, one, other):
        if one is other or self.is_cut(one, other) or one.reactor.is_gone or other.reactor.is_gone:
            return
        one.links.up.setdefault(other.name, Link(self, one, other))
        other.links.up.setdefault(one.name, Link(self, other, one))

    def is_cut(self, one, other):
        pair = (one.name, other.name)
        return pair in self.silent_since or pair[::-1] in self.silent_since

    def delay(self, one, other):
        if one.hall == other.hall:
            return 0.0001
        return 0.0005 if self.halls[one.hall] == self.halls[other.hall] else 0.008

    def carry(self, sender, receiver, frame):
        if (sender.name, receiver.name) in self.silent_since:
            return
        self.messages[type(frame).__name__] += 1
        if sender.hall != receiver.hall:
            assert isinstance(frame, CROSS_HALL_FRAMES), "only token transfers may cross halls"
            self.messages["between halls"] += 1
        data = codec.encode(frame, self.now)
        arrive = lambda: receiver.reactor.run(lambda: self.take(sender, receiver, data))  # noqa: E731
        self.clock.callLater(self.delay(sender, receiver), arrive)

    def take(self, sender, receiver, data):
        link = receiver.links.up.get(sender.name)
        if link is not None and link.hello.incarnation == sender.incarnation:
            frame = codec.decode(data, self.now)
            receiver.links.handlers[type(frame)](link, frame)

    def kill(self, *names):
        for name in names:
            ended = self.instances.pop(name)
            ended.reactor.is_gone = True
            for other in self.instances.values():
                other.reactor.run(lambda other=other, name=name: other.links.lose(name))

    def restart(self, *names, after=0.5):
        halls = {name: self.instances[name].hall for name in names}
        self.kill(*names)
        for name in names:
            self.clock.callLater(after, self.start, name, halls[name])

    def freeze(self, name):
        self.instances[name].reactor.waiting = []
        for other in self.instances:
            self.silent_since[(name, other)] = self.now

    def wake(self, name):
        reactor = self.instances[name].reactor
        waiting, reactor.waiting = reactor.waiting, None
        for other in self.instances:
            self.silent_since.pop((name, other), None)
        for call in waiting:
            reactor.run(call)

    def cut(self, pairs):
        for one, other in pairs:
            if one.name != other.name:
                self.silent_since[(one.name, other.name)] = self.now
                self.silent_since[(other.name, one.name)] = self.now
                self.clock.callLater(SILENCE_TIMEOUT, self.end_silent, one, other)

    def end_silent(self, one, other):
        if self.is_cut(one, other):
            one.reactor.run(lambda: one.links.lose(other.name))
            other.reactor.run(lambda: other.links.lose(one.name))

    def cut_off(self, name):
        mine = self.instances[name]
        self.cut([(mine, other) for other in self.instances.values()])

    def cut_halls(self):
        all_of = list(self.instances.values())
        self.cut([(a, b) for a in all_of for b in all_of if a.hall < b.hall])

    def heal(self):
        self.silent_since.clear()
        for made in list(self.instances.values()):
            self.join(made)

    def ask(self, workspace, name, returns=False):
        """Send a request of a workspace to an instance."""
        made = self.instances.get(name)
        if made is None or made.reactor.waiting is not None:
            return
        sent_at = self.now

        def on_end(admission):
            if admission.refusal is not None:
                self.refused[workspace].append((self.now, admission.refusal.reason))
                self.retry_after.append(admission.retry_after)
                return
            if returns:
                admission.return_token()
                return
            self.admitted[workspace].append(self.now)
            self.waits[workspace].append(self.now - sent_at)

        made.keeper.admit(self.workspaces[workspace], on_end)

    def load(self, rates, seconds, choose=None):
        """Send requests at random times.

        Args:
            rates: Requests per second by workspace.
            seconds: Duration in seconds.
            choose: Returns the instance for a workspace; a random one by default.
        """
        choose = choose or (lambda workspace: self.rng.choice(list(self.instances)))
        names, weights = list(rates), list(rates.values())
        end = self.now + seconds

        def send():
            if self.now >= end:
                return
            if self.instances:
                (workspace,) = self.rng.choices(names, weights)
                self.ask(workspace, choose(workspace))
            self.clock.callLater(self.rng.expovariate(sum(weights)), send)

        send()
        self.run(seconds + 0.3)

    def worst_excess(self):
        """Return by how much the fullest window of any workspace exceeds the bound."""
        worst = -math.inf
        for name, times in self.admitted.items():
            times = sorted(times)
            limit = BOUND.max_requests(self.workspaces[name].quota)
            for first, begin in enumerate(times):
                last = bisect.bisect_left(times, begin + BOUND.window)
                worst = max(worst, last - first - limit)
        return worst


SIZES = (16, 15, 15, 15, 15, 15)
REQUESTS_A_SECOND = 24.0


def zipf(count=88, exponent=1.2, rate=REQUESTS_A_SECOND):
    """Return Zipf-distributed request rates by workspace: a few large ones, many small ones."""
    weights = [1 / (number + 1) ** exponent for number in range(count)]
    return {f"w{n:02d}": rate * weight / sum(weights) for n, weight in enumerate(weights)}


def usual_limits(rates):
    """Return limits by workspace: 1.6 times its usual rate, and as many requests as burst."""
    return {name: (max(1.0, 1.6 * rate),) * 2 for name, rate in rates.items()}


def zipf_fleet(seed=1):
    """Make a fleet of 91 instances in six halls, with Zipf-distributed workspaces."""
    rates = zipf()
    return Fleet(SIZES, usual_limits(rates), seed), rates
