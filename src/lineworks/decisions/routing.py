"""Which data hall, and which owner within it, a front sends a sub-query to."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping, Sequence

WAIT_HALF_LIFE = 0.2
"""Half-life in seconds of the weight of a wait reported by a hall."""


@dataclasses.dataclass(slots=True)
class HallLoad:
    """Load of one service in one data hall, as seen by a front."""

    slots: int
    """Total slots of the service's targets in the hall."""

    outstanding: int = 0
    """Sub-queries of this front that have no reply yet."""

    waited: float = 0.0
    """Seconds that the most recently answered sub-query waited for a slot."""

    waited_at: float = -math.inf
    """When that reply arrived, in seconds."""

    def on_reply(self, now: float, waited: float) -> None:
        """Record how long a sub-query waited.

        Args:
            now: Current time in seconds.
            waited: Seconds that it waited for a slot.
        """
        self.waited = waited
        self.waited_at = now

    def expected_wait(self, now: float, service_time: float) -> float:
        """Estimate the wait for a slot in the hall.

        Args:
            now: Current time in seconds.
            service_time: Typical seconds of work per sub-query.

        Returns:
            Seconds; the larger of the wait that the outstanding sub-queries cause and of the last
            reported wait, which decays over time.
        """
        own = max(0, self.outstanding - self.slots) * service_time / max(1, self.slots)
        reported = self.waited * 0.5 ** ((now - self.waited_at) / WAIT_HALF_LIFE)
        return max(own, reported)


@dataclasses.dataclass(frozen=True, slots=True)
class Path:
    """A hall in which a service can be reached, with its owners there."""

    hall: str
    """The hall with the targets."""

    owners: tuple[str, ...]
    """Instances that own the service in the hall, preferred first."""

    delay: float
    """One-way network delay to the owners, in seconds."""


def choose_path(
    paths: Sequence[Path],
    loads: Mapping[str, HallLoad],
    now: float,
    service_time: float,
    rng: random.Random,
) -> Path:
    """Choose the hall with the shortest expected time.

    Args:
        paths: The halls that can serve the sub-query; at least one.
        loads: Load of the service by hall.
        now: Current time in seconds.
        service_time: Typical seconds of work per sub-query.
        rng: Random source for tie-breaking.

    Returns:
        The path with the smallest sum of round-trip delay and expected wait.
    """
    if len(paths) == 1:
        return paths[0]

    def expected(path: Path) -> tuple[float, float]:
        load = loads.get(path.hall)
        wait = load.expected_wait(now, service_time) if load else 0.0
        return (2 * path.delay + wait, rng.random())

    return min(paths, key=expected)


def choose_owner(
    path: Path, own_name: str, outstanding: Mapping[str, int], tried: frozenset[str]
) -> str:
    """Choose an owner on a path.

    Args:
        path: The path.
        own_name: Name of the requesting instance, which is preferred if it is an owner.
        outstanding: Outstanding sub-queries by instance.
        tried: Owners that failed for this sub-query; used only if no other is left.

    Returns:
        The name of the owner.
    """
    candidates = [name for name in path.owners if name not in tried] or list(path.owners)
    if own_name in candidates:
        return own_name
    return min(candidates, key=lambda name: outstanding.get(name, 0))
