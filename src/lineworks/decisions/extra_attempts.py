"""How many attempts beyond the first of each request a service may get.

The allowance holds for all instances together over any window of time: a share of the requests
plus a fixed number. Each instance keeps to its part of it on its own: the share of the requests
that it took itself, and an equal part of the fixed number. Attempts that a target refused count.
"""

from __future__ import annotations

import dataclasses

BUCKETS = 20
"""Pieces that the window is counted in."""

SLACK_IN_USE = 0.45
"""Part of the fixed number that is used. The rest is left for instances that restarted within the
window and forgot what they had spent, and for instances that are not known yet."""

SHARE_IN_USE = 0.95
"""Part of the allowed share that is used, because requests and attempts near the edge of a window
may be counted on different sides of it."""


KEPT_FROM_HEDGES = 0.25
"""Part of the allowance that hedges leave for retries: an attempt after a failed one is worth more
than a second one beside a slow one."""


@dataclasses.dataclass(frozen=True, slots=True)
class Allowance:
    """What all instances together may spend on one service."""

    share: float = 0.2
    """Extra attempts for each request."""

    slack: float = 50.0
    """Extra attempts besides."""

    window: float = 10.0
    """Length of the window in seconds."""


class _Counts:
    """Requests and extra attempts of one service in the last window, in buckets."""

    __slots__ = ("epoch", "extras", "requests")

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.requests = [0] * (BUCKETS + 1)
        self.extras = [0] * (BUCKETS + 1)

    def advance(self, epoch: int) -> None:
        """Empty the buckets that fell out of the window."""
        steps = min(epoch - self.epoch, BUCKETS + 1)
        for step in range(steps):
            slot = (epoch - step) % (BUCKETS + 1)
            self.requests[slot] = 0
            self.extras[slot] = 0
        self.epoch = max(self.epoch, epoch)


class ExtraAttempts:
    """The extra attempts of one instance."""

    def __init__(self, allowance: Allowance) -> None:
        """Start with nothing counted.

        Args:
            allowance: What all instances together may spend.
        """
        self._allowance = allowance
        self._services: dict[str, _Counts] = {}
        self.instances = 1
        """Instances believed alive, this one included."""
        self.spent = 0
        """Extra attempts sent since the start."""

    def note_request(self, service: str, now: float) -> None:
        """Count a caller's request to a service.

        Args:
            service: The service.
            now: The present, in seconds.
        """
        counts = self._counts(service, now)
        counts.requests[counts.epoch % (BUCKETS + 1)] += 1

    def spend(self, service: str, now: float, kept: float = 0.0) -> bool:
        """Take one extra attempt, if one is left.

        Args:
            service: The service.
            now: The present, in seconds.
            kept: Part of the allowance (0 to 1) that is left for others.

        Returns:
            Whether it may be sent.
        """
        counts = self._counts(service, now)
        if sum(counts.extras) + 1 > self._limit(counts) * (1.0 - kept):
            return False
        counts.extras[counts.epoch % (BUCKETS + 1)] += 1
        self.spent += 1
        return True

    def left(self, service: str, now: float) -> float:
        """Tell how many extra attempts are left.

        Args:
            service: The service.
            now: The present, in seconds.

        Returns:
            A number of attempts.
        """
        counts = self._counts(service, now)
        return self._limit(counts) - sum(counts.extras)

    def least_left(self, now: float) -> float:
        """Tell what is left to the service that has the fewest extra attempts left.

        Args:
            now: The present, in seconds.

        Returns:
            A number of attempts; 0 while no service was asked for.
        """
        return min((self.left(service, now) for service in self._services), default=0.0)

    def _limit(self, counts: _Counts) -> float:
        # The oldest bucket is partly outside the window, so its requests do not count.
        oldest = (counts.epoch + 1) % (BUCKETS + 1)
        requests = sum(counts.requests) - counts.requests[oldest]
        allowed = self._allowance
        slack = allowed.slack * SLACK_IN_USE / max(1, self.instances)
        return allowed.share * SHARE_IN_USE * requests + slack

    def _counts(self, service: str, now: float) -> _Counts:
        epoch = int(now * BUCKETS / self._allowance.window)
        counts = self._services.get(service)
        if counts is None:
            counts = self._services[service] = _Counts(epoch)
        elif counts.epoch < epoch:
            counts.advance(epoch)
        return counts
