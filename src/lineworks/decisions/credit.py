"""Credit for extra attempts that ends with time."""

from __future__ import annotations

import dataclasses

BUCKET_SECONDS = 0.25
"""Pieces of time in which credit ends together."""

SMALL_POOL = 3.0
"""Credit below which nothing is kept for others: it would be a part of an attempt, which nobody
could spend. A hall of two instances had no second attempt left for a shard beside it."""

_ROUNDING = 1e-9


@dataclasses.dataclass(slots=True)
class _Bucket:
    """Credit that was earned in one piece of time."""

    epoch: int
    amount: float
    spent: dict[str, float] = dataclasses.field(default_factory=dict)

    def left(self, service: str) -> float:
        return self.amount - self.spent.get(service, 0.0)


class Credit:
    """Credit that ends: the same amount for every service, less what each one spent."""

    def __init__(self, lifetime: float) -> None:
        """Start with none.

        Args:
            lifetime: Seconds after which credit ends.
        """
        self._lifetime = lifetime
        self._buckets: list[_Bucket] = []

    def add(self, amount: float, at: float, now: float) -> None:
        """Add credit for every service.

        Args:
            amount: Extra attempts, fractions included.
            at: Time from which its life is counted, in seconds; not after the present.
            now: The present, in seconds.
        """
        epoch = int(at / BUCKET_SECONDS)
        self._drop_ended(now)
        if amount <= 0 or self._is_over(epoch, now):
            return
        for bucket in self._buckets:
            if bucket.epoch == epoch:
                bucket.amount += amount
                return
        self._buckets.append(_Bucket(epoch, amount))
        self._buckets.sort(key=lambda bucket: bucket.epoch)

    def take(self, service: str, amount: float, now: float, kept: float = 0.0) -> bool:
        """Spend credit of one service, what ends first before the rest.

        Args:
            service: The service.
            amount: How much.
            now: The present, in seconds.
            kept: Part of all credit (0 to 1) that is left for others.

        Returns:
            Whether there was enough; nothing is spent otherwise.
        """
        left = self.left(service, now)
        total = sum(bucket.amount for bucket in self._buckets)
        floor = kept * total if total >= SMALL_POOL else 0.0
        if left - amount < floor - _ROUNDING:
            return False
        for bucket in self._buckets:
            part = min(amount, bucket.left(service))
            if part > 0:
                bucket.spent[service] = bucket.spent.get(service, 0.0) + part
                amount -= part
        return True

    def left(self, service: str, now: float) -> float:
        """Tell how much credit a service has left.

        Args:
            service: The service.
            now: The present, in seconds.

        Returns:
            A number of attempts, fractions included.
        """
        self._drop_ended(now)
        return sum(bucket.left(service) for bucket in self._buckets)

    def _is_over(self, epoch: int, now: float) -> bool:
        """Say whether the oldest credit of a bucket is over; the rest of it goes along."""
        return epoch * BUCKET_SECONDS + self._lifetime <= now

    def _drop_ended(self, now: float) -> None:
        if self._buckets and self._is_over(self._buckets[0].epoch, now):
            self._buckets = [one for one in self._buckets if not self._is_over(one.epoch, now)]
