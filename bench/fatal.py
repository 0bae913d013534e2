"""Replays requests that end each target that runs them, beside ordinary load.

The instances are the real services in memory (`lineworks.standins.deployment`). `python -m
bench.fatal` prints how many targets end, how many tries still reach targets, and what is left for
other callers.
"""

from __future__ import annotations

import collections
import dataclasses
import random
from typing import TYPE_CHECKING

import structlog

from bench import fakes
from lineworks.standins import deployment

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lineworks.platform.standins import http_target

SHARDS = 12
"""Shards of a search, each with targets in two of the three halls."""

READ_TARGETS = 3
"""Targets of reads, one in each hall."""

LINKING_SECONDS = 3.0
"""Seconds that the instances have to find each other before the load begins."""

WORK = (0.01, 0.04)
"""Seconds that a target takes: least and most."""

ORDINARY_PER_SECOND = 20.0
"""Ordinary requests a second, at all instances together."""

ASK_AGAIN_SECONDS = 0.67
"""Seconds after which a caller asks for the same again, at any instance."""

BACK_SECONDS = (2.5, 3.5)
"""Seconds after which a target is back: least and most."""

CONTACT_SECONDS = 4.0
"""Seconds after the third end by which every instance is to know."""

MOST_LATE_TRIES = 3
"""Tries that may reach targets later than that."""

ENDS_KNOWN = 3
"""Ends after which a request is known to crash its targets."""


@dataclasses.dataclass(frozen=True)
class Asked:
    """What a caller asks for, again and again."""

    path: str
    """Path."""

    body: bytes = b""
    """Body; with one it is sent by POST."""


@dataclasses.dataclass
class Account:
    """What became of one request that crashes its targets."""

    ends: list[float] = dataclasses.field(default_factory=list)
    """When targets ended that were running it, in seconds."""

    tries: dict[str, float] = dataclasses.field(default_factory=dict)
    """Tries that reached targets, each with the time of its last arrival there, in seconds."""

    def late_tries(self) -> int:
        """Count the tries that reached targets too long after the third end."""
        if len(self.ends) < ENDS_KNOWN:
            return 0
        last = sorted(self.ends)[ENDS_KNOWN - 1] + CONTACT_SECONDS
        return sum(1 for at in self.tries.values() if at > last)


@dataclasses.dataclass(frozen=True)
class Ordinary:
    """One ordinary request."""

    asked: Asked
    """What it asks for."""

    reply: deployment.Reply
    """What its caller got."""


class FatalLoad:
    """A deployment of six instances under ordinary load and requests that crash targets."""

    def __init__(self, fatal: Sequence[Asked], seed: int = 1) -> None:
        """Start everything and let the instances link.

        Args:
            fatal: What ends the targets that run it.
            seed: Seed of all random choices.
        """
        self.fatal = tuple(fatal)
        self.rng = random.Random(seed)
        self.world = deployment.Deployment(fakes.VirtualClock(), seed)
        self.world.on_restart = self._watch
        self.accounts = {asked: Account() for asked in self.fatal}
        self.ordinary: list[Ordinary] = []
        """All ordinary requests so far."""
        self._asked_by_try: dict[str, Asked] = {}
        self._working: collections.defaultdict[str, set[Asked]] = collections.defaultdict(set)
        self._serial = 0
        self._add_targets()
        self.names = [f"{hall}-{number}" for hall in deployment.HALLS for number in (1, 2)]
        for name in self.names:
            self.world.add_node(name, name.partition("-")[0])
        self.world.run(LINKING_SECONDS)

    @property
    def now(self) -> float:
        """The present, in seconds."""
        seconds: float = self.world.clock.seconds()
        return seconds

    def _add_targets(self) -> None:
        shards = [f"s{number:02d}" for number in range(SHARDS)]
        for number, shard in enumerate(shards):
            for place, hall in enumerate(deployment.HALLS):
                if place != number % len(deployment.HALLS):
                    self._watch(self.world.add_target(shard, hall, self._draw_work))
        for hall in deployment.HALLS[:READ_TARGETS]:
            self._watch(self.world.add_target("shelf", hall, self._draw_work))
        search = {
            "Name": "search",
            "PathPrefix": "/search/",
            "Fanout": shards,
            "TopK": 20,
            "OldestVersion": 0.75,
        }
        read = {"Name": "read", "PathPrefix": "/read/", "Service": "shelf", "SloMs": 600}
        self.world.configure([search, read])

    def _draw_work(self) -> float:
        return self.rng.uniform(*WORK)

    def _watch(self, target: http_target.HttpTarget) -> None:
        target.is_fatal = lambda run: self._note_run(target, run)
        target.on_crash = lambda run: self._crash(target)
        target.on_refused = self._note_arrival

    def _note_arrival(self, attempt: str) -> None:
        asked = self._asked_by_try.get(attempt)
        if asked is not None:
            self.accounts[asked].tries[attempt] = self.now

    def _note_run(self, target: http_target.HttpTarget, run: http_target.Run) -> bool:
        asked = Asked(run.path, run.body)
        if asked not in self.accounts:
            return False
        self._note_arrival(run.attempt)
        self._working[target.name].add(asked)
        return True

    def _crash(self, target: http_target.HttpTarget) -> None:
        for asked in self._working.pop(target.name, ()):
            self.accounts[asked].ends.append(self.now)
        self.world.crash(target, self.rng.uniform(*BACK_SECONDS))

    def ask(self, asked: Asked, name: str = "") -> deployment.Reply:
        """Send one request.

        Args:
            asked: What is asked for.
            name: The instance; any when not given.

        Returns:
            The reply, filled in as time passes.
        """
        self._serial += 1
        attempt = f"f{self._serial:06d}"
        if asked in self.accounts:
            self._asked_by_try[attempt] = asked
        method = "POST" if asked.body else "GET"
        name = name or self.rng.choice(self.names)
        return self.world.ask(name, asked.path, method, asked.body, attempt=attempt)

    def ask_ordinary(self, asked: Asked | None = None, name: str = "") -> deployment.Reply:
        """Send one ordinary request and note it.

        Args:
            asked: What is asked for; a search or read of its own when not given.
            name: The instance; any when not given.

        Returns:
            The reply, filled in as time passes.
        """
        if asked is None:
            kind = "read" if self.rng.random() < 0.25 else "search"
            asked = Asked(f"/{kind}/q{len(self.ordinary)}")
        reply = self.ask(asked, name)
        self.ordinary.append(Ordinary(asked, reply))
        return reply

    def load(self, seconds: float, asks: Sequence[Asked] | None = None) -> list[Ordinary]:
        """Send ordinary requests, and each fatal one again and again.

        Args:
            seconds: For how long.
            asks: What is asked again and again; all that is fatal when not given.

        Returns:
            The ordinary requests, those under way included.
        """
        first = len(self.ordinary)
        end = self.now + seconds
        again = {asked: self.now + self.rng.random() * ASK_AGAIN_SECONDS for asked in self.fatal}
        if asks is not None:
            again = {asked: again[asked] for asked in asks}
        ordinary_at = self.now
        while self.now < end:
            for asked, at in again.items():
                if at <= self.now:
                    self.ask(asked)
                    again[asked] = self.now + ASK_AGAIN_SECONDS * self.rng.uniform(0.8, 1.2)
            if ordinary_at <= self.now:
                self.ask_ordinary()
                ordinary_at = self.now + self.rng.expovariate(ORDINARY_PER_SECOND)
            following = min([ordinary_at, end, *again.values()])
            self.world.run(max(0.0005, following - self.now))
        return self.ordinary[first:]

    def settle(self) -> None:
        """Let what is under way end."""
        self.world.run(2.5)


def served(found: Sequence[Ordinary]) -> float:
    """Tell the share of requests that were answered with success."""
    return sum(1 for one in found if one.reply.status == 200) / max(1, len(found))


CASES = {
    "one search": (Asked("/search/fatal"),),
    "one read": (Asked("/read/fatal"),),
    "two searches and a read": (
        Asked("/search/fatal"),
        Asked("/search/other"),
        Asked("/read/fatal"),
    ),
    "a search told apart by its body": (Asked("/search/q", b"fatal"),),
}
"""What is fatal, by name."""


def main() -> None:
    """Print what becomes of each case within 24 seconds."""
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    for name, fatal in CASES.items():
        play = FatalLoad(fatal)
        first = play.load(10.0)
        rest = play.load(14.0)
        play.settle()
        accounts = play.accounts.values()
        print(
            f"{name}: {sum(len(one.tries) for one in accounts)} tries reached targets, "
            f"{sum(len(one.ends) for one in accounts)} targets ended, "
            f"{sum(one.late_tries() for one in accounts)} late tries; ordinary requests served "
            f"{served(first):.3f} in the first ten seconds, {served(rest):.3f} after"
        )


if __name__ == "__main__":
    main()
