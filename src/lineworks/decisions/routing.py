"""Which data hall, and which owner in it, a front sends a sub-query to."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping, Sequence

WAIT_HALF_LIFE = 0.2
"""Seconds after which a wait that a hall reported counts half."""


@dataclasses.dataclass(slots=True)
class HallLoad:
    """A front's view of one service in one data hall."""

    slots: int
    """Slots of all the service's targets there."""

    outstanding: int = 0
    """Own sub-queries that have no reply yet."""

    waited: float = 0.0
    """Seconds that the last reply's sub-query waited for a slot."""

    waited_at: float = -math.inf
    """When that reply came."""

    def on_reply(self, now: float, waited: float) -> None:
        """Take in how long a sub-query waited.

        Args:
            now: The present, in seconds.
            waited: Seconds spent waiting for a slot.
        """
        self.waited = waited
        self.waited_at = now

    def cost(self, now: float, service_time: float) -> float:
        """Estimate the wait for a slot there.

        Args:
            now: The present, in seconds.
            service_time: Usual seconds of work for one sub-query.

        Returns:
            Seconds: the larger of what own outstanding work makes and what was last reported.
        """
        own = max(0, self.outstanding - self.slots) * service_time / max(1, self.slots)
        reported = self.waited * 0.5 ** ((now - self.waited_at) / WAIT_HALF_LIFE)
        return max(own, reported)


@dataclasses.dataclass(frozen=True, slots=True)
class Path:
    """A hall that can serve a service, with its owners there."""

    hall: str
    """The hall whose targets are reached."""

    owners: tuple[str, ...]
    """Instances that own the service there, best first."""

    delay: float
    """One-way seconds to the owners."""


def choose_path(
    paths: Sequence[Path],
    loads: Mapping[str, HallLoad],
    now: float,
    service_time: float,
    rng: random.Random,
) -> Path:
    """Choose the hall with the least expected time.

    Args:
        paths: The halls that can serve; at least one.
        loads: This service's load view by hall.
        now: The present, in seconds.
        service_time: Usual seconds of work for one sub-query.
        rng: Breaks ties.

    Returns:
        The path whose delay there and back plus expected wait is least.
    """
    if len(paths) == 1:
        return paths[0]

    def expected(path: Path) -> tuple[float, float]:
        load = loads.get(path.hall)
        wait = load.cost(now, service_time) if load else 0.0
        return (2 * path.delay + wait, rng.random())

    return min(paths, key=expected)


def choose_owner(
    path: Path, own_name: str, outstanding: Mapping[str, int], tried: frozenset[str]
) -> str:
    """Choose an owner on a path.

    Args:
        path: The path.
        own_name: Name of the asking instance, which is preferred when it is an owner.
        outstanding: Sub-queries outstanding at each instance.
        tried: Owners that failed for this sub-query, used only when no other is left.

    Returns:
        Name of the owner.
    """
    fresh = [name for name in path.owners if name not in tried] or list(path.owners)
    if own_name in fresh:
        return own_name
    return min(fresh, key=lambda name: outstanding.get(name, 0))
