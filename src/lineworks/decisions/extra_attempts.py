"""How many attempts beyond the first of each request a service may get.

The allowance holds for all instances together over any window of time: a share of the requests plus
a fixed number. Attempts that a target refused count.

Each instance spends the share of the requests that it took itself. The fixed number is held
together as credit: every instance earns an equal part of it as time passes, and the credit of a
data hall gathers at one instance, its keeper, which grants it where it is needed. Divided among 195
instances the fixed number left each one attempt a shard and window, and while 15 of 100 targets
were slow half of all searches came late; gathered by hall it is 32 of them.

What makes this safe without agreement on who the keeper is:

- Credit is only ever earned, handed over or spent, never copied. A message that is lost loses
  credit, and an instance that restarts begins with none.
- Credit ends: `HOLD_SECONDS` where it is earned, `POOL_SECONDS` at a keeper and `GRANT_SECONDS`
  where it is granted. Each receiver counts from the moment at which it asked, so a message that was
  held up brings credit that is over.

So what is spent in any window was earned in it or within these times before it, and the rate of
earning follows from that (`Allowance.rate`). Two keepers in one hall share what there is.
"""

from __future__ import annotations

import collections
import dataclasses

from lineworks.decisions import credit, instance_count

BUCKETS = 20
"""Pieces that the window of the share is counted in."""

SHARE_IN_USE = 0.95
"""Part of the allowed share that is used, because requests and attempts near the edge of a window
may be counted on different sides of it."""

SLACK_IN_USE = 0.8
"""Part of the fixed number that is used. The rest is left for attempts that reach their target
later than others which were sent after them, and for instances that are not known yet."""

HOLD_SECONDS = 5.0
"""Seconds for which an instance keeps credit that nobody asked it for: what a hall can spend at
once when targets begin to fail. Mean worth of a fleet of 60 in memory in the five seconds after 15
of 100 targets turn slow (`bench.fleet`, three seeds, a tenth kept from hedges): 0.933 with 5
seconds here and 3 at the keeper, 0.914 with 3 and 2."""

POOL_SECONDS = 3.0
"""Seconds for which a keeper keeps credit: a few rounds of collecting it."""

GRANT_SECONDS = 0.25
"""Seconds for which granted credit is of use, from the moment at which it was asked for: the
message and the next look at what is late take less."""

KEPT_FROM_HEDGES = 0.25
"""Part of the allowance that hedges leave for retries: an attempt after a failed one is worth more
than a second one beside a slow one, and a search without it fails whole. With a tenth, 25 searches
of 95 failed instead of 16 while targets lost their answers, in one play with 62 instances."""

_ROUNDING = 1e-9


@dataclasses.dataclass(frozen=True, slots=True)
class Allowance:
    """What all instances together may spend on one service."""

    share: float = 0.2
    """Extra attempts for each request."""

    slack: float = 50.0
    """Extra attempts besides."""

    window: float = 10.0
    """Length of the window in seconds."""

    @property
    def rate(self) -> float:
        """Credit that all instances together earn in a second, for each service."""
        longest_life = HOLD_SECONDS + POOL_SECONDS + GRANT_SECONDS
        return self.slack * SLACK_IN_USE / (self.window + longest_life)


class _Counts:
    """Requests of one service in the last window, and what their share was spent on, in buckets."""

    __slots__ = ("epoch", "extras", "requests")

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.requests = [0] * (BUCKETS + 1)
        self.extras = [0.0] * (BUCKETS + 1)

    def advance(self, epoch: int) -> None:
        """Empty the buckets that fell out of the window."""
        steps = min(epoch - self.epoch, BUCKETS + 1)
        for step in range(steps):
            slot = (epoch - step) % (BUCKETS + 1)
            self.requests[slot] = 0
            self.extras[slot] = 0.0
        self.epoch = max(self.epoch, epoch)


class ExtraAttempts:
    """The extra attempts of one instance, and those that it keeps for others."""

    def __init__(self, allowance: Allowance, now: float) -> None:
        """Start with nothing counted and no credit.

        Args:
            allowance: What all instances together may spend.
            now: The present, in seconds.
        """
        self._allowance = allowance
        self._services: dict[str, _Counts] = {}
        self._held_since = now
        self._pool = credit.Credit(POOL_SECONDS)
        self._grants: dict[str, collections.deque[float]] = {}
        self.instances = instance_count.InstanceCount()
        """Instances that share the fixed number."""
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
        """Take one extra attempt, if one is left here.

        Granted credit goes first, because it ends first; then the share of the own requests, made
        up with credit that this instance keeps.

        Args:
            service: The service.
            now: The present, in seconds.
            kept: Part of the allowance (0 to 1) that is left for others.

        Returns:
            Whether it may be sent.
        """
        if self._use_grant(service, now):
            self.spent += 1
            return True
        counts = self._counts(service, now)
        from_share = min(1.0, max(0.0, self._share_left(counts, kept)))
        from_pool = 1.0 - from_share
        if from_pool > _ROUNDING and not self._pool.take(service, from_pool, now, kept):
            return False
        counts.extras[counts.epoch % (BUCKETS + 1)] += from_share
        self.spent += 1
        return True

    def hand_over(self, now: float) -> float:
        """Give away the credit that this instance earned and that nobody asked it for yet.

        Args:
            now: The present, in seconds.

        Returns:
            Credit for every service; none while it is not known how many instances share.
        """
        held = min(now - self._held_since, HOLD_SECONDS)
        self._held_since = now
        instances = self.instances.value(now)
        return held * self._allowance.rate / instances if instances else 0.0

    def take_in(self, amount: float, at: float, now: float) -> None:
        """Keep credit that an instance handed over.

        Args:
            amount: Credit for every service.
            at: When it was asked for, in seconds.
            now: The present, in seconds.
        """
        self._pool.add(amount, at, now)

    def grant(self, service: str, now: float, kept: float = 0.0) -> bool:
        """Take one extra attempt out of the credit kept here, for another instance.

        Args:
            service: The service.
            now: The present, in seconds.
            kept: Part of the credit (0 to 1) that is left for others.

        Returns:
            Whether there was one.
        """
        return self._pool.take(service, 1.0, now, kept)

    def accept(self, service: str, until: float) -> None:
        """Take one extra attempt that a keeper granted.

        Args:
            service: The service.
            until: When it ends, in seconds.
        """
        self._grants.setdefault(service, collections.deque()).append(until)

    def left(self, service: str, now: float) -> float:
        """Tell how many extra attempts are left here.

        Args:
            service: The service.
            now: The present, in seconds.

        Returns:
            A number of attempts.
        """
        granted = sum(1 for until in self._grants.get(service, ()) if now < until)
        own = self._share_left(self._counts(service, now), 0.0)
        return granted + own + self._pool.left(service, now)

    def least_left(self, now: float) -> float:
        """Tell what is left to the service that has the fewest extra attempts left.

        Args:
            now: The present, in seconds.

        Returns:
            A number of attempts; 0 while no service was asked for.
        """
        return min((self.left(service, now) for service in self._services), default=0.0)

    def _use_grant(self, service: str, now: float) -> bool:
        grants = self._grants.get(service)
        while grants:
            if now < grants.popleft():
                return True
        return False

    def _share_left(self, counts: _Counts, kept: float) -> float:
        # The oldest bucket is partly outside the window, so its requests do not count.
        oldest = (counts.epoch + 1) % (BUCKETS + 1)
        requests = sum(counts.requests) - counts.requests[oldest]
        limit = self._allowance.share * SHARE_IN_USE * requests
        return limit * (1.0 - kept) - sum(counts.extras)

    def _counts(self, service: str, now: float) -> _Counts:
        epoch = int(now * BUCKETS / self._allowance.window)
        counts = self._services.get(service)
        if counts is None:
            counts = self._services[service] = _Counts(epoch)
        elif counts.epoch < epoch:
            counts.advance(epoch)
        return counts
