"""Limits the request rate to a cold target over all instances, without coordination between them.

When a data hall of cold targets returns, every instance sends to it at the same moment, and a cold
target fails well above the rate that it can handle. The requests that all instances together send
to it within a second are therefore limited. Each instance divides the limit by the number of
instances that it knows of. When there are more instances than allowed requests, the instances are
ranked per target and only the first ones may send, one request a second each; an instance ranks
itself after every instance whose name it does not know. Differing views, network partitions and
frozen instances can therefore only lower the total, never raise it.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from lineworks.decisions import instance_count, ownership

if TYPE_CHECKING:
    from collections.abc import Iterable

WINDOW_SECONDS = 1.05
"""Length of the sliding window, in seconds: the limit applies to any one second, and the margin
allows for inaccurate clocks and timers."""


@dataclasses.dataclass(frozen=True, slots=True)
class ColdBound:
    """Limit on the requests to a cold target, relative to the rate that it can handle."""

    factor: float = 1.0
    """Factor by which the rate is multiplied."""

    slack: float = 0.0
    """Requests per second added to the product."""

    def max_requests(self, rate: float) -> int:
        """Return the requests per second that a cold target may get from all instances together.

        Args:
            rate: Requests per second that it can handle while cold.

        Returns:
            Requests per second, rounded down.
        """
        return int(rate * self.factor + self.slack)


class ColdAllowance:
    """Tracks what this instance has sent to cold targets and may still send."""

    def __init__(self, own: str, bound: ColdBound) -> None:
        """Initialize with an unknown number of instances, so that nothing may be sent.

        Args:
            own: Name of this instance.
            bound: Limit for all instances together.
        """
        self._own = own
        self._bound = bound
        self._count = 0
        self._seen: dict[str, float] = {}
        self._sent: dict[str, collections.deque[float]] = {}

    def note_instance_count(self, count: int) -> None:
        """Set how many instances may be running.

        Args:
            count: Their number, including unreachable ones; 0 if unknown.
        """
        self._count = count

    def note_instances(self, names: Iterable[str], now: float) -> None:
        """Record the names of running instances.

        Args:
            names: Instances that are connected or listed in the store.
            now: Current time in seconds.
        """
        for name in names:
            self._seen[name] = now
        oldest = now - instance_count.RETENTION_SECONDS
        self._seen = {name: at for name, at in self._seen.items() if at >= oldest}

    def share(self, target: str, rate: float) -> int:
        """Return how many requests this instance may send to a cold target within a second.

        Args:
            target: Identity of the target's process.
            rate: Requests per second that it can handle while cold.

        Returns:
            Number of requests; 0 while the number of instances is unknown.
        """
        max_requests = self._bound.max_requests(rate)
        others = self._seen.keys() - {self._own}
        count = max(self._count, len(others) + 1)
        if not self._count or max_requests <= 0:
            return 0
        if count <= max_requests:
            return max_requests // count
        own_score = ownership.score(self._own, target)
        ranked_before = sum(1 for name in others if ownership.score(name, target) >= own_score)
        unknown = count - 1 - len(others)
        return 1 if ranked_before + unknown < max_requests else 0

    def may_send(self, target: str, rate: float, now: float) -> bool:
        """Return whether a request may be sent to a cold target now.

        Args:
            target: Identity of the target's process.
            rate: Requests per second that it can handle while cold.
            now: Current time in seconds.

        Returns:
            True unless the share for the current window is used up.
        """
        return len(self._recent(target, now)) < self.share(target, rate)

    def note_sent(self, target: str, now: float) -> None:
        """Count a request to a target that may be cold.

        Args:
            target: Identity of the target's process.
            now: Current time in seconds.
        """
        self._recent(target, now).append(now)

    def forget(self, target: str) -> None:
        """Discard the counts for a target that is gone.

        Args:
            target: Identity of its process.
        """
        self._sent.pop(target, None)

    def _recent(self, target: str, now: float) -> collections.deque[float]:
        sent = self._sent.setdefault(target, collections.deque())
        while sent and now - sent[0] >= WINDOW_SECONDS:
            sent.popleft()
        return sent
