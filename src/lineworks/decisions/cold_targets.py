"""How much work a cold target gets: a bound over all instances, held by each without asking.

The load pattern: a hall of targets comes back cold at one moment, and every instance turns to it. A
cold target falls over well above the rate that it can handle, so what all instances send it within
a second is bounded. Each may send its part by the number of instances that it knows of. Where there
are more instances than requests, only those may send that rank first for the target, each one
request a second; an instance that it has not heard of counts as ranking before it. So views that
differ, cuts and frozen instances make the sum smaller, never greater.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from lineworks.decisions import instance_count, ownership

if TYPE_CHECKING:
    from collections.abc import Iterable

WINDOW_SECONDS = 1.05
"""Seconds that a request counts: the bound is one of any second, and clocks and timers are off by a
little."""


@dataclasses.dataclass(frozen=True, slots=True)
class ColdBound:
    """What the deployment allows beyond the rate that a cold target can handle."""

    factor: float = 1.0
    """Multiple of that rate."""

    slack: float = 0.0
    """Requests a second besides."""

    def most(self, rate: float) -> int:
        """Tell how many requests a second a cold target may get from all instances together.

        Args:
            rate: Requests a second that it can handle while cold.

        Returns:
            Whole requests.
        """
        return int(rate * self.factor + self.slack)


class ColdAllowance:
    """What this instance may send to cold targets."""

    def __init__(self, own: str, bound: ColdBound) -> None:
        """Start without knowing other instances: nothing may be sent.

        Args:
            own: Name of this instance.
            bound: What the deployment allows.
        """
        self._own = own
        self._bound = bound
        self._count = 0
        self._seen: dict[str, float] = {}
        self._sent: dict[str, collections.deque[float]] = {}

    def note_count(self, count: int) -> None:
        """Take in how many instances may live.

        Args:
            count: Their number, those out of sight included; 0 while nothing is known.
        """
        self._count = count

    def note_names(self, names: Iterable[str], now: float) -> None:
        """Take in which instances there are.

        Args:
            names: Names of those that are linked or listed.
            now: The present, in seconds.
        """
        for name in names:
            self._seen[name] = now
        oldest = now - instance_count.RETENTION_SECONDS
        self._seen = {name: at for name, at in self._seen.items() if at >= oldest}

    def share(self, target: str, rate: float) -> int:
        """Tell how many requests this instance may send to a cold target within a second.

        Args:
            target: Identity of the target's process.
            rate: Requests a second that it can handle while cold.

        Returns:
            Whole requests; 0 while the number of instances is not known.
        """
        most = self._bound.most(rate)
        others = self._seen.keys() - {self._own}
        count = max(self._count, len(others) + 1)
        if not self._count or most <= 0:
            return 0
        if count <= most:
            return most // count
        mine = ownership.score(self._own, target)
        before = sum(1 for name in others if ownership.score(name, target) >= mine)
        unknown = count - 1 - len(others)
        return 1 if before + unknown < most else 0

    def may_send(self, target: str, rate: float, now: float) -> bool:
        """Say whether a request may be sent to a cold target now.

        Args:
            target: Identity of the target's process.
            rate: Requests a second that it can handle while cold.
            now: The present, in seconds.

        Returns:
            Whether the share of this second is not used up.
        """
        return len(self._recent(target, now)) < self.share(target, rate)

    def note_sent(self, target: str, now: float) -> None:
        """Count a request to a target that may be cold.

        Args:
            target: Identity of the target's process.
            now: The present, in seconds.
        """
        self._recent(target, now).append(now)

    def forget(self, target: str) -> None:
        """Drop what was counted for a target that is gone.

        Args:
            target: Identity of its process.
        """
        self._sent.pop(target, None)

    def _recent(self, target: str, now: float) -> collections.deque[float]:
        sent = self._sent.setdefault(target, collections.deque())
        while sent and now - sent[0] >= WINDOW_SECONDS:
            sent.popleft()
        return sent
