"""Limits the requests that a workspace may send through all instances together.

The limit applies to all instances together, in every window of time, without agreement between
them. Each data hall has an equal part of a workspace's tokens, held by one of its instances in a
`Bucket`. Tokens are earned, transferred or spent, but never copied. A lost message loses its
tokens, and tokens that are transferred, granted or returned are valid only for a short time,
counted from the time at which they were requested.

When a holder restarts, or another instance takes over, a new bucket replaces the old one, which may
still be in use at an instance that is cut off. A new bucket starts full if no other bucket of the
hall can have been active within the window. Otherwise it starts with fewer tokens and has a smaller
capacity. So the tokens spent in any window are at most those that all buckets active within it had
at its beginning or started with, those that the halls earned in it, and those that were outside the
buckets when it began. `part_of` sizes the buckets so that this sum stays within the bound for
`MAX_BUCKETS` buckets per hall.
"""

from __future__ import annotations

import dataclasses
import enum
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lineworks.decisions import workspaces

MAX_BUCKETS = 3
"""Number of buckets per hall and window that the bound allows for. It is also the number of
instances of a hall that may hold tokens at all, so that a hall cut into many partitions has no more
holders than that."""

TRANSFER_TTL_SECONDS = 0.25
"""Seconds for which tokens from another hall are valid, from the time at which they were requested:
a few round trips between regions."""

RETURN_WINDOW_SECONDS = 0.2
"""Seconds after a grant within which its token can be returned. Most requests that find no target
end immediately."""

GRANT_TTL_SECONDS = 0.08
"""Seconds for which a grant is valid, from the time at which it was requested."""

MAX_TRANSIT_SECONDS = TRANSFER_TTL_SECONDS + RETURN_WINDOW_SECONDS + GRANT_TTL_SECONDS
"""Longest time in seconds for which a token can be outside the buckets."""

LIVENESS_TIMEOUT_SECONDS = 2.5
"""Seconds without a message after which an instance counts as silent: a little longer than the
heartbeat interval."""

CHECK_SECONDS = 0.5
"""Seconds between checks of which instances are silent."""

TAKEOVER_SECONDS = LIVENESS_TIMEOUT_SECONDS + 2 * CHECK_SECONDS
"""Seconds for which an instance must be silent before the next one earns tokens in its place. By
then the silent instance, if it is still running, has also noticed that it is cut off."""

RATE_TIME_CONSTANT_SECONDS = 10.0
"""Time constant in seconds of the moving average of the request rate."""

BURST_HEADROOM = 1.2
"""Combined capacity of all halls, as a multiple of a quota's burst. The excess over 1 compensates
for tokens that lie in other halls than the requests, which take a few messages to transfer."""

MIN_TOTAL_DEPTH = 2.4
"""Minimum combined capacity of all halls in tokens, where the bound allows it: enough for two halls
with a part, so that the loss of one hall does not stop a workspace."""

MIN_PART_DEPTH = 1.1
"""Minimum capacity in tokens of a hall with a part: one token, and a little more so that the hall
keeps earning."""

_ONE_TOKEN = 1 - 1e-3
"""Amount that counts as a whole token, because transferred tokens are rounded down. A full token is
subtracted when it is spent, so the difference remains as a debt."""


class Decision(enum.IntEnum):
    """A holder's decision on a request."""

    GRANTED = 0
    """The holder has spent a token on the request."""

    EXHAUSTED = 1
    """No token is available."""

    UNSURE = 2
    """The holder cannot decide: it does not hold the hall's tokens, or does not know the limit."""


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaBound:
    """How far all instances together may exceed a quota in any window of time."""

    window: float = 5.0
    """Length of the window in seconds."""

    excess: float = 0.0
    """Fraction of the quota that may be admitted in addition to it."""

    slack: float = 0.0
    """Requests that may be admitted in addition to that."""

    def max_requests(self, quota: workspaces.Quota) -> float:
        """Return how many requests may be admitted in a window.

        Args:
            quota: The quota.

        Returns:
            Number of requests, possibly fractional.
        """
        return (quota.rate * self.window + quota.burst) * (1 + self.excess) + self.slack


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """A data hall's part of a quota."""

    rate: float
    """Tokens earned per second."""

    depth: float
    """Capacity of the hall's bucket in tokens."""

    holders: int = 1
    """Number of halls that have such a part; the others have none and request tokens from these."""

    restart_depth: float | None = None
    """Initial tokens and capacity of a bucket while other buckets of the hall may be active, or
    have been active within the window; None for `depth`."""


NO_PART = Part(0.0, 0.0)
"""The part of a hall that has none, because the quota is too small to be divided among all."""


def part_of(quota: workspaces.Quota, bound: QuotaBound, halls: int) -> Part:
    """Divide a quota among data halls.

    Buckets are sized for the quota's burst as far as the bound also allows for later ones, which
    then start with fewer tokens. If the bound does not allow `MAX_BUCKETS` buckets at the full
    rate, the rate is lowered. A hall with a capacity below one token could not admit any request on
    its own, so a small quota is divided among fewer halls.

    Args:
        quota: The quota of all instances together.
        bound: How far they may exceed it.
        halls: Number of data halls.

    Returns:
        The part of each hall that has one.
    """
    allowed = bound.max_requests(quota)
    seconds = bound.window + MAX_TRANSIT_SECONDS
    available = allowed - quota.rate * seconds
    min_depth = min(MIN_TOTAL_DEPTH, allowed / (2 * MAX_BUCKETS))
    # Capacity of each bucket if all buckets have the same.
    equal_depth = max(available / MAX_BUCKETS, min_depth)
    rate = min(quota.rate, (allowed - MAX_BUCKETS * equal_depth) / seconds)
    depth = max(
        equal_depth, min(BURST_HEADROOM * quota.burst, available - (MAX_BUCKETS - 1) * min_depth)
    )
    restart_depth = min(equal_depth, max(min_depth, (available - depth) / (MAX_BUCKETS - 1)))
    holders = max(1, min(halls, int(restart_depth / MIN_PART_DEPTH)))
    return Part(rate / holders, depth / holders, holders, restart_depth / holders)


class Bucket:
    """The tokens of one workspace in one hall."""

    def __init__(self, part: Part, now: float, is_only_bucket: bool = True) -> None:
        """Initialize the bucket with as many tokens as it can hold.

        Args:
            part: The hall's part of the quota.
            now: Current time in seconds.
            is_only_bucket: Whether no other bucket of the hall can have been active within the
                window.
        """
        self._part = part
        self._is_only_bucket = is_only_bucket
        self._tokens = self._capacity
        self._updated_at = now
        self._share = 1.0
        # Tokens from other halls that exceeded the capacity: (expiry time, amount).
        self._overflow: list[tuple[float, float]] = []
        # Spent tokens that may still be returned: (grant time, amount that can be returned).
        # Together with the tokens in the bucket they never exceed the capacity; otherwise requests
        # that fail and are retried would accumulate tokens outside the bucket.
        self._returnable: list[tuple[float, float]] = []

    @property
    def part(self) -> Part:
        """The hall's part of the quota."""
        return self._part

    @property
    def _capacity(self) -> float:
        """Capacity of the hall's bucket in tokens."""
        restart_depth = self._part.restart_depth
        return self._part.depth if self._is_only_bucket or restart_depth is None else restart_depth

    def tokens(self, now: float) -> float:
        """Return the number of available tokens.

        Args:
            now: Current time in seconds.

        Returns:
            Tokens, possibly fractional.
        """
        self._advance(now)
        return self._tokens + sum(amount for _, amount in self._overflow)

    def take(self, now: float) -> bool:
        """Spend a token on a request.

        Args:
            now: Current time in seconds.

        Returns:
            True if one was available.
        """
        if self.tokens(now) < _ONE_TOKEN:
            return False
        self._tokens -= _consume(self._overflow, 1.0)
        self._returnable.append((now, 1.0))
        self._trim_returnable()
        return True

    def put_back(self, granted_at: float, now: float) -> bool:
        """Return the token of a request that certainly did not run.

        Args:
            granted_at: Time in seconds at which the token was granted.
            now: Current time in seconds.

        Returns:
            True if the token could still be returned.
        """
        self._advance(now)
        for index, (at, amount) in enumerate(self._returnable):
            if at == granted_at:
                del self._returnable[index]
                self._fill(amount)
                return True
        return False

    def transfer_out(self, now: float, wanted: float, max_fraction: float = 0.5) -> float:
        """Remove tokens for a transfer to another hall.

        Args:
            now: Current time in seconds.
            wanted: Number of tokens requested.
            max_fraction: Maximum fraction (0 to 1) of the bucket's tokens to transfer.

        Returns:
            Number of tokens removed, possibly fractional.
        """
        self._advance(now)
        amount = max(0.0, min(wanted, max_fraction * self._tokens))
        self._tokens -= amount
        return amount

    def transfer_out_whole(self, now: float, wanted: float) -> float:
        """Remove whole tokens for a transfer to a hall without a part.

        Such a hall has no tokens of its own to which it could add a fraction.

        Args:
            now: Current time in seconds.
            wanted: Number of tokens requested.

        Returns:
            Number of tokens removed, a whole number.
        """
        self._advance(now)
        return self.transfer_out(now, int(min(wanted, self._tokens)), 1.0)

    def transfer_in(self, amount: float, asked_at: float, now: float) -> None:
        """Add tokens that another hall transferred.

        Args:
            amount: Number of tokens, possibly fractional.
            asked_at: Time in seconds at which they were requested.
            now: Current time in seconds.
        """
        self._advance(now)
        expires_at = asked_at + TRANSFER_TTL_SECONDS
        if amount <= 0 or expires_at <= now:
            return
        filled = self._fill(amount)
        if amount > filled:
            self._overflow.append((expires_at, amount - filled))
            self._overflow.sort()

    def seconds_until_next(self, now: float) -> float:
        """Return the time until the bucket has a whole token without transfers.

        Args:
            now: Current time in seconds.

        Returns:
            Seconds; infinite if it never will.
        """
        missing = _ONE_TOKEN - self.tokens(now)
        if missing <= 0:
            return 0.0
        rate = self._part.rate * self._share
        return missing / rate if rate > 0 and self._capacity >= _ONE_TOKEN else math.inf

    def set_part(self, part: Part, now: float) -> None:
        """Change the limit without replacing the bucket.

        Args:
            part: The hall's part of the new quota.
            now: Current time in seconds.
        """
        self._advance(now)
        self._part = part
        self._tokens = min(self._capacity, self._tokens)

    def set_share(self, share: float, now: float) -> None:
        """Set the fraction of the hall's rate that this holder earns.

        Args:
            share: Fraction from 0 to 1.
            now: Current time in seconds.
        """
        self._advance(now)
        self._share = share

    def set_is_only_bucket(self, is_only_bucket: bool, now: float) -> None:
        """Set whether this is the only bucket of the hall that can be active within the window.

        Otherwise the capacity is limited to the part's `restart_depth`, since other buckets may
        hold that much as well.

        Args:
            is_only_bucket: Whether no other bucket can be active now, or have been within the
                window.
            now: Current time in seconds.
        """
        self._advance(now)
        self._is_only_bucket = is_only_bucket
        self._tokens = min(self._capacity, self._tokens)

    def _fill(self, amount: float) -> float:
        """Add tokens up to the capacity, and return how many were added."""
        added = max(0.0, min(amount, self._capacity - self._tokens))
        self._tokens += added
        self._trim_returnable()
        return added

    def _trim_returnable(self) -> None:
        """Drop returnable tokens that would exceed the capacity, the oldest first."""
        excess = self._tokens + sum(amount for _, amount in self._returnable) - self._capacity
        _consume(self._returnable, excess)

    def _advance(self, now: float) -> None:
        """Add the tokens earned until now, and drop those that have expired."""
        self._returnable = [
            row for row in self._returnable if now - row[0] <= RETURN_WINDOW_SECONDS
        ]
        self._fill(max(0.0, now - self._updated_at) * self._part.rate * self._share)
        self._updated_at = max(self._updated_at, now)
        if self._overflow:
            self._overflow = [
                (expires_at, amount) for expires_at, amount in self._overflow if expires_at > now
            ]


def _consume(rows: list[tuple[float, float]], wanted: float) -> float:
    """Remove tokens from rows of (time, tokens), starting with the first row.

    Args:
        rows: The rows; used-up ones are deleted.
        wanted: Number of tokens, possibly fractional.

    Returns:
        Number of tokens that were missing.
    """
    while rows and wanted > 0:
        at, amount = rows.pop(0)
        if amount > wanted:
            rows.insert(0, (at, amount - wanted))
        wanted -= min(amount, wanted)
    return wanted


class RequestRate:
    """Moving average of the rate of a workspace's requests."""

    def __init__(self) -> None:
        """Initialize the rate to zero."""
        self._value = 0.0
        self._updated_at = 0.0

    def note(self, now: float) -> None:
        """Count a request.

        Args:
            now: Current time in seconds.
        """
        self._value = self.value(now) + 1 / RATE_TIME_CONSTANT_SECONDS
        self._updated_at = now

    def value(self, now: float) -> float:
        """Return the current rate.

        Args:
            now: Current time in seconds.

        Returns:
            Requests per second, weighted towards the most recent ones.
        """
        return self._value * math.exp((self._updated_at - now) / RATE_TIME_CONSTANT_SECONDS)


def wanted(tokens: float, waiting: int, rate: float) -> float:
    """Return how many tokens a hall should request from the others.

    Args:
        tokens: Number of tokens that the hall has.
        waiting: Number of requests that wait for a token.
        rate: Requests per second that the hall receives.

    Returns:
        Number of tokens, possibly fractional, that the hall lacks for its waiting requests (at
        least one) and those expected while transferred tokens are valid. More would expire unspent.
    """
    return max(0.0, max(1, waiting) + rate * TRANSFER_TTL_SECONDS - tokens)


def earned_share(rank: int, silent: float, heard: int, known: int) -> float:
    """Return the fraction of its hall's rate that a holder earns.

    A holder earns in proportion to the number of instances of its hall that are not silent, so that
    two holders that are cut off from each other together earn no more than one would. A holder that
    takes over from an instance with a better rank earns nothing until that instance, if it is only
    cut off, has noticed.

    Args:
        rank: The holder's rank for the workspace among the known instances of the hall; 0 is best.
        silent: Seconds since the last message from any instance with a better rank.
        heard: Number of the hall's instances that are not silent, including the holder.
        known: Number of the hall's known instances, including the holder.

    Returns:
        A fraction from 0 to 1.
    """
    if rank and silent < TAKEOVER_SECONDS:
        return 0.0
    return min(1.0, heard / max(1, known))
