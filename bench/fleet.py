"""Replays loads on a whole fleet in memory: many instances that each get few searches.

The instances are the real services on a virtual clock (`lineworks.standins.deployment`), so a
minute of a fleet takes some seconds and comes out the same every time. `python -m bench.fleet`
prints what each shared mechanism is worth while some targets are slow.
"""

from __future__ import annotations

import dataclasses
import random
from typing import TYPE_CHECKING

import structlog

from bench import fakes
from lineworks.decisions import extra_attempts, mechanisms
from lineworks.standins import deployment

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

AIM = 0.335
"""Seconds within which an answer is of full use."""

LATE_WORTH = 0.1
"""Worth of a late answer."""

LINKING_SECONDS = 4.0
"""Seconds that the instances have to find each other before the load begins."""


@dataclasses.dataclass(frozen=True)
class Plan:
    """A fleet and its load."""

    instances: int = 20
    """Instances in each of the three data halls."""

    shards: int = 40
    """Shards of a search, each with targets in two halls."""

    slack: float = 160.0
    """Extra attempts that a service may get in ten seconds, besides a fifth of its requests."""

    rate: float = 24.0
    """Searches a second, at all instances together."""

    work: tuple[float, float] = (0.02, 0.04)
    """Seconds that a sound target takes: least and most."""

    slow_work: tuple[float, float] = (0.5, 0.7)
    """Seconds that a slow target takes."""

    seed: int = 1
    """Seed of all random choices."""

    without: frozenset[mechanisms.Mechanism] = frozenset()
    """Mechanisms that are switched off."""


class Fleet:
    """A fleet under load."""

    def __init__(self, plan: Plan) -> None:
        """Start all instances and let them link.

        Args:
            plan: The fleet and its load.
        """
        self._plan = plan
        self._rng = random.Random(plan.seed)
        self.world = deployment.Deployment(fakes.VirtualClock(), plan.seed)
        self.world.without = plan.without
        self.world.allowance = extra_attempts.Allowance(0.2, plan.slack, 10.0)
        self._shards = [f"s{number:03d}" for number in range(plan.shards)]
        self.arrivals: list[tuple[str, float]] = []
        """Service and time of each request that reached a target."""
        self.searches: list[deployment.Reply] = []
        """All searches sent so far."""
        self._add_targets()
        self.names = [
            f"{hall}-{number}" for hall in deployment.HALLS for number in range(plan.instances)
        ]
        for name in self.names:
            self.start(name)
        self.world.run(LINKING_SECONDS)

    @property
    def now(self) -> float:
        """The present, in seconds."""
        seconds: float = self.world.clock.seconds()
        return seconds

    def _add_targets(self) -> None:
        for number, shard in enumerate(self._shards):
            for place, hall in enumerate(deployment.HALLS):
                if place != number % len(deployment.HALLS):
                    target = self.world.add_target(shard, hall, self._draw_work)
                    target.on_arrival = self._note_arrival(shard)
        search = {
            "Name": "search",
            "PathPrefix": "/search/",
            "Fanout": self._shards,
            "TopK": 20,
            "OldestVersion": 0.95,
            "SloMs": round(AIM * 1000),
        }
        self.world.configure([search])

    def _note_arrival(self, service: str) -> Callable[[float], None]:
        return lambda at: self.arrivals.append((service, at))

    def _draw_work(self) -> float:
        return self._rng.uniform(*self._plan.work)

    def _draw_slow_work(self) -> float:
        return self._rng.uniform(*self._plan.slow_work)

    def start(self, name: str) -> None:
        """Start an instance, or start it again."""
        self.world.add_node(name, name.partition("-")[0])

    def make_slow(self, share: float) -> None:
        """Let a share of the targets turn slow, those of all shards alike.

        Args:
            share: From 0 to 1.
        """
        targets = sorted(self.world.targets.values(), key=lambda target: target.name)
        for target in self._rng.sample(targets, round(share * len(targets))):
            target.work = self._draw_slow_work

    def refuse(self, share: float) -> None:
        """Let a share of the targets refuse all requests.

        Args:
            share: From 0 to 1.
        """
        targets = sorted(self.world.targets.values(), key=lambda target: target.name)
        for target in self._rng.sample(targets, round(share * len(targets))):
            target.faults.sheds = True

    def go_dark(self, share: float) -> None:
        """Let a share of the targets lose power, without a word.

        Args:
            share: From 0 to 1.
        """
        targets = sorted(self.world.targets.values(), key=lambda target: target.name)
        for target in self._rng.sample(targets, round(share * len(targets))):
            target.host.power_off()

    def load(self, seconds: float) -> list[deployment.Reply]:
        """Send searches to instances by chance.

        Args:
            seconds: For how long.

        Returns:
            The searches, those under way included.
        """
        first = len(self.searches)
        end = self.now + seconds
        while self.now < end:
            self.searches.append(self.world.ask(self._rng.choice(self.names), "/search/q"))
            self.world.run(self._rng.expovariate(self._plan.rate))
        return self.searches[first:]

    def worth(self, searches: Sequence[deployment.Reply]) -> float:
        """Tell what searches were worth that have ended: the square of the share of their shards.

        Args:
            searches: The searches; at least one.

        Returns:
            From 0 to 1; a late answer counts a tenth, a failure nothing.
        """
        return sum(self._worth_of(reply) for reply in searches) / len(searches)

    def _worth_of(self, reply: deployment.Reply) -> float:
        if reply.status != 200:
            return 0.0
        missing = int(reply.headers.get("x-parts-missing", "0"))
        share = 1 - missing / len(self._shards)
        return share * share * (1.0 if reply.seconds <= AIM else LATE_WORTH)

    def worst_excess(self) -> float:
        """Tell by how much the fullest window of any service is over the allowance.

        Returns:
            Extra attempts; not above 0 when the allowance was kept.
        """
        allowed = self.world.allowance
        asked = sorted(reply.sent_at for reply in self.searches)
        worst = -allowed.slack
        for shard in self._shards:
            times = sorted(at for service, at in self.arrivals if service == shard)
            for start in times:
                arrived = sum(start <= at < start + allowed.window for at in times)
                requests = sum(start <= at < start + allowed.window for at in asked)
                worst = max(worst, arrived - requests * (1 + allowed.share) - allowed.slack)
        return worst


def replay_slow_targets(plan: Plan, share: float = 0.15) -> tuple[float, float]:
    """Let a share of the targets turn slow under a steady load.

    Args:
        plan: The fleet and its load.
        share: Part of the targets that turn slow.

    Returns:
        Worth of the searches before, and in the five seconds after.
    """
    fleet = Fleet(plan)
    before = fleet.load(3.0)
    fleet.make_slow(share)
    after = fleet.load(5.0)
    fleet.world.run(2.5)
    return fleet.worth(before), fleet.worth(after)


def main() -> None:
    """Print what the shared mechanisms are worth while 15 of 100 targets are slow."""
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    shared = (mechanisms.Mechanism.SHARED_ATTEMPTS, mechanisms.Mechanism.SHARED_EVIDENCE)
    for without in ((), shared[:1], shared[1:], shared):
        before, after = replay_slow_targets(Plan(without=frozenset(without)))
        names = ", ".join(mechanism.value for mechanism in without) or "nothing"
        print(f"without {names}: worth {before:.3f} before, {after:.3f} while targets are slow")


if __name__ == "__main__":
    main()
