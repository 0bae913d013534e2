"""Credit for extra attempts that expires."""

from __future__ import annotations

import dataclasses

BUCKET_SECONDS = 0.25
"""Length in seconds of the time slices in which credit is recorded; the credit of a slice expires
together."""

MIN_RESERVABLE_CREDIT = 3.0
"""Total credit below which no fraction of it is reserved: the reserved part would be less than one
attempt, so nobody could spend it. With a reserve, a hall of two instances had no second attempt
left for a shard."""

_ROUNDING = 1e-9


@dataclasses.dataclass(slots=True)
class _Bucket:
    """Credit that was earned in one time slice."""

    epoch: int
    amount: float
    spent: dict[str, float] = dataclasses.field(default_factory=dict)

    def remaining(self, service: str) -> float:
        return self.amount - self.spent.get(service, 0.0)


class ExpiringCredit:
    """Credit that expires: the same amount for every service, less what was spent on each one."""

    def __init__(self, lifetime: float) -> None:
        """Initialize without credit.

        Args:
            lifetime: Seconds after which credit expires.
        """
        self._lifetime = lifetime
        self._buckets: list[_Bucket] = []

    def add(self, amount: float, at: float, now: float) -> None:
        """Add credit for every service.

        Args:
            amount: Number of extra attempts, possibly fractional.
            at: Time in seconds from which the lifetime is counted; not after `now`.
            now: Current time in seconds.
        """
        epoch = int(at / BUCKET_SECONDS)
        self._drop_expired(now)
        if amount <= 0 or self._is_expired(epoch, now):
            return
        for bucket in self._buckets:
            if bucket.epoch == epoch:
                bucket.amount += amount
                return
        self._buckets.append(_Bucket(epoch, amount))
        self._buckets.sort(key=lambda bucket: bucket.epoch)

    def take(self, service: str, amount: float, now: float, reserved: float = 0.0) -> bool:
        """Spend credit of one service, starting with the credit that expires first.

        Args:
            service: The service.
            amount: Number of extra attempts, possibly fractional.
            now: Current time in seconds.
            reserved: Fraction (0 to 1) of all credit that must remain for other uses.

        Returns:
            True if there was enough credit; otherwise nothing is spent.
        """
        remaining = self.remaining(service, now)
        total = sum(bucket.amount for bucket in self._buckets)
        floor = reserved * total if total >= MIN_RESERVABLE_CREDIT else 0.0
        if remaining - amount < floor - _ROUNDING:
            return False
        for bucket in self._buckets:
            part = min(amount, bucket.remaining(service))
            if part > 0:
                bucket.spent[service] = bucket.spent.get(service, 0.0) + part
                amount -= part
        return True

    def remaining(self, service: str, now: float) -> float:
        """Return the credit that a service has left.

        Args:
            service: The service.
            now: Current time in seconds.

        Returns:
            Number of extra attempts, possibly fractional.
        """
        self._drop_expired(now)
        return sum(bucket.remaining(service) for bucket in self._buckets)

    def _is_expired(self, epoch: int, now: float) -> bool:
        """Return whether a bucket's oldest credit has expired, and with it the whole bucket."""
        return epoch * BUCKET_SECONDS + self._lifetime <= now

    def _drop_expired(self, now: float) -> None:
        if self._buckets and self._is_expired(self._buckets[0].epoch, now):
            self._buckets = [one for one in self._buckets if not self._is_expired(one.epoch, now)]
