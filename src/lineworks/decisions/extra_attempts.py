"""Limits the attempts that a service may receive beyond the first attempt of each request.

The allowance applies to all instances together, in any window of time: a share of the requests plus
a fixed number. Attempts that a target refused count as well.

Each instance spends the share of the requests that it received itself. The fixed number is pooled
as credit. Every instance earns an equal part of it over time, and the credit of a data hall is
collected by one of its instances, the keeper, which grants it where it is needed. Divided evenly
among 195 instances, the fixed number left each of them one attempt per shard and window: with 15 of
100 targets slow, half of all searches were late. Pooled by hall, it is 32 per shard and window.

This is safe without agreement on which instance is the keeper, for two reasons:

- Credit is earned, transferred or spent, but never copied. A lost message loses credit, and an
  instance that restarts has none.
- Credit expires: after `EARNED_TTL_SECONDS` where it is earned, `POOL_TTL_SECONDS` at a keeper and
  `GRANT_TTL_SECONDS` where it is granted. Each receiver counts from the time of its own request, so
  credit in a delayed message arrives expired.

So the credit spent in any window was earned in that window or within these times before it. This
determines the rate at which credit is earned (`Allowance.rate`). If a hall has two keepers, they
divide the hall's credit between them.
"""

from __future__ import annotations

import collections
import dataclasses

from lineworks.decisions import credit, instance_count

BUCKETS = 20
"""Number of buckets into which the window is divided for counting requests and attempts."""

USABLE_SHARE = 0.95
"""Fraction of the allowed share that is used, because a request and its attempts may fall on
different sides of a window's boundary."""

USABLE_SLACK = 0.8
"""Fraction of the fixed number that is used. The rest covers attempts that reach their target after
others that were sent later, and instances that are not known yet."""

EARNED_TTL_SECONDS = 5.0
"""Seconds for which an instance keeps earned credit that no keeper has collected. This bounds the
credit that a hall can spend at once when targets start to fail. In an in-memory fleet of 60
(`bench.fleet`, three seeds, a tenth reserved for retries), the mean value of responses in the five
seconds after 15 of 100 targets turned slow was 0.933 with 5 seconds here and 3 at the keeper, and
0.914 with 3 and 2."""

POOL_TTL_SECONDS = 3.0
"""Seconds for which a keeper keeps collected credit: a few rounds of collection."""

GRANT_TTL_SECONDS = 0.25
"""Seconds for which granted credit can be spent, from the time at which it was requested. The
message and the next check for late attempts take less."""

RESERVED_FOR_RETRIES = 0.25
"""Fraction of the allowance that hedges leave for retries. A retry after a failed attempt is worth
more than a hedge beside a slow one, because a search that cannot retry fails as a whole. In one run
with 62 instances while targets lost their responses, 25 of 95 searches failed with a tenth reserved
and 16 with a quarter."""

_ROUNDING = 1e-9


@dataclasses.dataclass(frozen=True, slots=True)
class Allowance:
    """The extra attempts that all instances together may send to one service."""

    share: float = 0.2
    """Extra attempts per request."""

    slack: float = 50.0
    """Fixed number of extra attempts per window, in addition to the share."""

    window: float = 10.0
    """Length of the window in seconds."""

    @property
    def rate(self) -> float:
        """Credit per second that all instances together earn, for each service."""
        longest_ttl = EARNED_TTL_SECONDS + POOL_TTL_SECONDS + GRANT_TTL_SECONDS
        return self.slack * USABLE_SLACK / (self.window + longest_ttl)


class _Counts:
    """Requests to one service and attempts spent from their share, per bucket of the window."""

    __slots__ = ("epoch", "extras", "requests")

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.requests = [0] * (BUCKETS + 1)
        self.extras = [0.0] * (BUCKETS + 1)

    def advance(self, epoch: int) -> None:
        """Clear the buckets that are no longer in the window."""
        steps = min(epoch - self.epoch, BUCKETS + 1)
        for step in range(steps):
            slot = (epoch - step) % (BUCKETS + 1)
            self.requests[slot] = 0
            self.extras[slot] = 0.0
        self.epoch = max(self.epoch, epoch)


class ExtraAttempts:
    """The extra attempts of one instance, and the credit that it holds as a keeper."""

    def __init__(self, allowance: Allowance, now: float) -> None:
        """Initialize without counts or credit.

        Args:
            allowance: The extra attempts that all instances together may send.
            now: Current time in seconds.
        """
        self._allowance = allowance
        self._services: dict[str, _Counts] = {}
        self._earning_since = now
        self._pool = credit.ExpiringCredit(POOL_TTL_SECONDS)
        self._grants: dict[str, collections.deque[float]] = {}
        self.instances = instance_count.InstanceCount()
        """Number of instances that share the fixed number of attempts."""
        self.spent = 0
        """Extra attempts sent since the instance started."""

    def note_request(self, service: str, now: float) -> None:
        """Count a caller's request to a service.

        Args:
            service: The service.
            now: Current time in seconds.
        """
        counts = self._counts(service, now)
        counts.requests[counts.epoch % (BUCKETS + 1)] += 1

    def spend(self, service: str, now: float, reserved: float = 0.0) -> bool:
        """Spend one extra attempt if one is available.

        Granted credit is spent first because it expires first, then the share of this instance's
        own requests, supplemented with credit from the pool.

        Args:
            service: The service.
            now: Current time in seconds.
            reserved: Fraction (0 to 1) of the allowance that must remain for other uses.

        Returns:
            True if the attempt may be sent.
        """
        if self._use_grant(service, now):
            self.spent += 1
            return True
        counts = self._counts(service, now)
        from_share = min(1.0, max(0.0, self._share_remaining(counts, reserved)))
        from_pool = 1.0 - from_share
        if from_pool > _ROUNDING and not self._pool.take(service, from_pool, now, reserved):
            return False
        counts.extras[counts.epoch % (BUCKETS + 1)] += from_share
        self.spent += 1
        return True

    def withdraw_earned(self, now: float) -> float:
        """Withdraw the credit that this instance earned since the last withdrawal.

        Args:
            now: Current time in seconds.

        Returns:
            Credit for every service; 0 while the number of instances is unknown.
        """
        earning_seconds = min(now - self._earning_since, EARNED_TTL_SECONDS)
        self._earning_since = now
        instances = self.instances.value(now)
        return earning_seconds * self._allowance.rate / instances if instances else 0.0

    def deposit(self, amount: float, at: float, now: float) -> None:
        """Add credit that was withdrawn from an instance to the pool.

        Args:
            amount: Credit for every service.
            at: Time in seconds at which the credit was requested.
            now: Current time in seconds.
        """
        self._pool.add(amount, at, now)

    def grant(self, service: str, now: float, reserved: float = 0.0) -> bool:
        """Spend credit from the pool on one extra attempt of another instance.

        Args:
            service: The service.
            now: Current time in seconds.
            reserved: Fraction (0 to 1) of the credit that must remain for other uses.

        Returns:
            True if there was enough credit.
        """
        return self._pool.take(service, 1.0, now, reserved)

    def accept_grant(self, service: str, until: float) -> None:
        """Add one extra attempt that a keeper granted.

        Args:
            service: The service.
            until: Time in seconds at which the grant expires.
        """
        self._grants.setdefault(service, collections.deque()).append(until)

    def remaining(self, service: str, now: float) -> float:
        """Return the number of extra attempts that this instance can spend.

        Args:
            service: The service.
            now: Current time in seconds.

        Returns:
            Number of extra attempts, possibly fractional.
        """
        granted = sum(1 for until in self._grants.get(service, ()) if now < until)
        own = self._share_remaining(self._counts(service, now), 0.0)
        return granted + own + self._pool.remaining(service, now)

    def least_left(self, now: float) -> float:
        """Return the number of extra attempts of the service that has the fewest left.

        Args:
            now: Current time in seconds.

        Returns:
            Number of extra attempts, possibly fractional; 0 until a service is first requested.
        """
        return min((self.remaining(service, now) for service in self._services), default=0.0)

    def _use_grant(self, service: str, now: float) -> bool:
        grants = self._grants.get(service)
        while grants:
            if now < grants.popleft():
                return True
        return False

    def _share_remaining(self, counts: _Counts, reserved: float) -> float:
        # The oldest bucket is partly outside the window, so its requests do not count.
        oldest = (counts.epoch + 1) % (BUCKETS + 1)
        requests = sum(counts.requests) - counts.requests[oldest]
        limit = self._allowance.share * USABLE_SHARE * requests
        return limit * (1.0 - reserved) - sum(counts.extras)

    def _counts(self, service: str, now: float) -> _Counts:
        epoch = int(now * BUCKETS / self._allowance.window)
        counts = self._services.get(service)
        if counts is None:
            counts = self._services[service] = _Counts(epoch)
        elif counts.epoch < epoch:
            counts.advance(epoch)
        return counts
