"""Drills in memory: the store goes away and comes back from an older copy of itself.

Around each drill the configuration changes, targets come and leave, halls are evacuated, and an
instance starts, all at moments that a seed deals; one instance may stand still or be cut off
through it. The instances are the real services
(`lineworks.standins.deployment`). What each believes is held against what was acknowledged.
`python -m bench.drills` prints wrong beliefs of many drills.
"""

from __future__ import annotations

import collections
import dataclasses
import random
from typing import TYPE_CHECKING

import absl.app
import absl.flags
import structlog

from bench import fakes
from lineworks.forwarding import registration
from lineworks.standins import deployment

if TYPE_CHECKING:
    from collections.abc import Callable

    from lineworks.platform.standins import http_target, store_model

LINKING_SECONDS = 3.0
"""Seconds that the instances have to find each other."""

COPY_AGES = (0.6, 6.0)
"""Seconds by which the copy is older than the store's going away: least and most."""

AWAY_SECONDS = (0.3, 3.0)
"""Seconds that the store is away: least and most."""

REWRITE_DELAY_SECONDS = (0.05, 0.6)
"""Seconds after the return until operators and targets have written again: least and most."""

BUSY_SECONDS = 9.0
"""Seconds of changes before the store goes away."""

AFTER_SECONDS = 6.0
"""Seconds of changes after its return."""

MEAN_PAUSE = 0.25
"""Mean seconds between changes."""

FILLERS = (0, 30)
"""Writes of others beside each change: fewest and most."""

BOUND = 3.0
"""Seconds in which what was acknowledged must be believed."""

SURE_SECONDS = 2.2
"""Seconds that a change must have been there before the store goes away to have been read for
certain; one that was not is due after the return."""

LAPSED_SECONDS = 2.0
"""Seconds after the store's return from which on a missing entry means that its target is gone:
until then it may only have lapsed."""

KEY_SECONDS = 4.0
"""Seconds after the store's return until the instances' keys must be back."""

SECOND_SHARE = 0.3
"""Share of the drills in which the store does so again."""

BETWEEN_SECONDS = (0.2, 2.0)
"""Seconds between the two: least and most."""

HEALED_SECONDS = (0.0, 1.0)
"""Seconds after the return at which the disturbed instance is well again: least and most."""

CONTACT_SECONDS = 4.0
"""Seconds after which an instance that was disturbed must know what the others do."""

LOOK_SECONDS = 0.1
"""Seconds between looks at what the instances believe."""

SPARE_TARGETS = 8
"""Targets that leave and come, beside those that stay."""

ROUTES = ({"Name": "read", "PathPrefix": "/read/", "Service": "shelf"},)


@dataclasses.dataclass(slots=True)
class _Truth:
    """What was acknowledged, and from when on it must be believed."""

    versions: list[tuple[float, int]] = dataclasses.field(default_factory=list)
    left: dict[str, float] = dataclasses.field(default_factory=dict)
    evacuated: dict[str, float] = dataclasses.field(default_factory=dict)


class Drill:
    """One drill."""

    def __init__(self, seed: int) -> None:
        """Start a deployment.

        Args:
            seed: Decides what happens when.
        """
        self._rng = random.Random(f"drill-{seed}")
        self._clock = fakes.VirtualClock()
        self._world = deployment.Deployment(self._clock, seed)
        self._truth = _Truth()
        self._first_away_at = float("inf")
        self._sure_at = 0.0
        self._disturbed = ""
        self._in_touch_at = float("inf")
        self._wrong: collections.Counter[str] = collections.Counter()
        for hall in deployment.HALLS:
            self._world.add_target("shelf", hall)
        self._spares = [self._add_spare() for _ in range(SPARE_TARGETS)]
        self._world.configure(ROUTES)
        for hall in deployment.HALLS:
            for number in (1, 2):
                self._world.add_node(f"{hall}-{number}", hall)
        self._world.run(LINKING_SECONDS)

    def run(self) -> collections.Counter[str]:
        """Play it.

        Returns:
            Wrong beliefs by kind, counted once for each look and instance.
        """
        rng = self._rng
        starts_at = rng.uniform(0.0, BUSY_SECONDS)
        self._clock.callLater(starts_at, self._world.add_node, "akl-3", "akl")
        self._pass(BUSY_SECONDS, self._change)
        self._disturb()
        self._drill()
        if rng.random() < SECOND_SHARE:
            self._pass(rng.uniform(*BETWEEN_SECONDS), self._change)
            self._drill()
        self._heal()
        self._pass(AFTER_SECONDS, self._change)
        self._pass(KEY_SECONDS, lambda: None)
        self._check_keys()
        return self._wrong

    def _drill(self) -> None:
        """Let the store go away and come back from an older copy."""
        rng = self._rng
        copy = self._world.drill.newest_copy(self._clock.seconds() - rng.uniform(*COPY_AGES))
        self._go_away()
        self._pass(rng.uniform(*AWAY_SECONDS), lambda: None)
        self._return(copy, rng.uniform(*REWRITE_DELAY_SECONDS))

    def _disturb(self) -> None:
        """Let one instance stand still, or cut it off from the store or from all."""
        self._disturbed = self._rng.choice(tuple(self._world.nodes))
        host = self._world.host_of(self._disturbed)
        how = self._rng.choice(("frozen", "cut from the store", "cut from all", "not at all"))
        if how == "frozen":
            host.freeze()
        elif how != "not at all":
            others = [deployment.STORE_ADDRESS]
            if how == "cut from all":
                others += [self._world.address_of(name) for name in self._world.nodes]
            for other in others:
                self._world.network.cut(host.address, other)
                self._world.network.cut(other, host.address)

    def _heal(self) -> None:
        """End that soon after the store's return."""
        self._pass(self._rng.uniform(*HEALED_SECONDS), self._change)
        self._world.network.heal()
        host = self._world.host_of(self._disturbed)
        if host.is_frozen:
            host.wake()
        self._in_touch_at = self._clock.seconds() + CONTACT_SECONDS

    def _pass(self, seconds: float, change: Callable[[], None]) -> None:
        """Let time pass, with changes now and then, and look at what the instances believe."""
        end = self._clock.seconds() + seconds
        changes_at = self._clock.seconds() + self._rng.expovariate(1 / MEAN_PAUSE)
        while self._clock.seconds() < end:
            if self._clock.seconds() >= changes_at:
                change()
                changes_at += self._rng.expovariate(1 / MEAN_PAUSE)
            self._world.drill.take_copy()
            self._world.run(LOOK_SECONDS)
            self._check()

    def _go_away(self) -> None:
        self._first_away_at = min(self._first_away_at, self._clock.seconds())
        self._sure_at = float("inf")
        name = self._rng.choice(("is_silent", "is_down"))
        setattr(self._world.server.faults, name, True)

    def _return(self, copy: store_model.StoreCopy, rewritten: float) -> None:
        self._world.server.faults.is_silent = False
        self._world.server.faults.is_down = False
        self._world.drill.restore(copy, rewritten)
        self._sure_at = self._clock.seconds() + rewritten + BOUND

    def _due(self, at: float, lapse: float = 0.0) -> float:
        """Say from when on a change that was acknowledged at a time must be believed."""
        is_read = at + SURE_SECONDS <= self._first_away_at
        return at + BOUND if is_read else max(at + BOUND, self._sure_at + lapse)

    def _change(self) -> None:
        """Change something, as operators and targets do."""
        self._rng.choice((self._configure, self._leave, self._come, self._evacuate))()
        for _ in range(self._rng.randint(*FILLERS)):
            self._world.store.write("others/key", "dg==")

    def _configure(self) -> None:
        self._world.configure(ROUTES)
        self._truth.versions.append((self._clock.seconds(), self._world.version))

    def _add_spare(self) -> http_target.HttpTarget:
        return self._world.add_target("shelf", self._rng.choice(deployment.HALLS))

    def _come(self) -> None:
        self._spares.append(self._add_spare())

    def _leave(self) -> None:
        if not self._spares:
            return
        target = self._spares.pop(self._rng.randrange(len(self._spares)))
        self._truth.left[target.name] = self._clock.seconds()
        if self._rng.random() < 0.5:
            self._world.withdraw(target)
            return
        self._world.announce(target, "draining")
        self._clock.callLater(BOUND, self._world.withdraw, target)

    def _evacuate(self) -> None:
        hall = self._rng.choice(deployment.HALLS)
        if hall in self._truth.evacuated:
            del self._truth.evacuated[hall]
            self._world.end_evacuation(hall)
        else:
            self._truth.evacuated[hall] = self._clock.seconds()
            self._world.evacuate(hall)

    def _check(self) -> None:
        """Hold what each instance believes against what it must."""
        now = self._clock.seconds()
        least = max((v for at, v in self._truth.versions if self._due(at) <= now), default=0)
        left = {
            name for name, at in self._truth.left.items() if self._due(at, LAPSED_SECONDS) <= now
        }
        halls = {hall for hall, at in self._truth.evacuated.items() if self._due(at) <= now}
        for name, node in self._world.nodes.items():
            directory = node.directory
            if not directory.is_complete or self._is_out_of_touch(name):
                continue
            used = {entry.id for entry in directory.entries if not entry.is_leaving}
            self._wrong["an older configuration"] += directory.version < least
            self._wrong["a target that left is used"] += bool(used & left)
            self._wrong["an evacuated hall is used"] += bool(halls - directory.evacuated)

    def _is_out_of_touch(self, name: str) -> bool:
        return name == self._disturbed and self._clock.seconds() < self._in_touch_at

    def _check_keys(self) -> None:
        """Look at what must hold once all is quiet."""
        prefix = registration.PREFIX
        listed = {item.key for item in self._world.store.page(prefix, "")[0]}
        wanted = {prefix + name for name in self._world.nodes}
        self._wrong["an instance's key is not back"] += len(wanted - listed)
        for node in self._world.nodes.values():
            self._wrong["a hall is left alone for nothing"] += bool(
                node.directory.evacuated - self._truth.evacuated.keys()
            )
            used = {entry.id for entry in node.directory.entries}
            self._wrong["a target is not used"] += bool(
                {target.name for target in self._spares} - used
            )


def broken(seed: int) -> dict[str, int]:
    """Play a drill.

    Args:
        seed: Decides what happens when.

    Returns:
        Wrong beliefs by kind, counted once for each look and instance; empty when there were none.
    """
    return dict(+Drill(seed).run())


_FIRST = absl.flags.DEFINE_integer("first", 1, "Seed of the first drill.", 0)
_DRILLS = absl.flags.DEFINE_integer("drills", 100, "Drills, each with the next seed.", 1, 10_000)


def main(argv: list[str]) -> None:
    """Play drills and print the wrong beliefs.

    Args:
        argv: Program name and arguments left after flags.
    """
    del argv
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    total: collections.Counter[str] = collections.Counter()
    for seed in range(_FIRST.value, _FIRST.value + _DRILLS.value):
        found = broken(seed)
        total.update(found.keys())
        if found:
            print(f"seed {seed}: {found}", flush=True)
    print(f"{_DRILLS.value} drills")
    for kind, count in sorted(total.items()):
        print(f"{count:6} with {kind}")


if __name__ == "__main__":
    absl.app.run(main)
