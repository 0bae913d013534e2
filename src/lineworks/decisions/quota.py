"""How many requests a workspace may send through all instances together.

The limit holds for all instances together, in every window of time, without agreement between
them. Each data hall has an equal part of a workspace's tokens, held by one of its instances in a
`Bucket`. Tokens are earned, moved or spent, never copied: a message that is lost loses them, and
what is moved, granted or given back counts for a short time only, from the moment at which it was
asked for.

A holder that starts again, or takes over, begins a new life of the bucket: a full one where no
other life of the hall can have acted within the window, else one that begins with less and saves
less. So what is spent in any window is at most what all lives that act within it had at its begin
or began with, what the halls earned in it, and what was outside the buckets when it began:
`part_of` makes this fit the bound for `LIVES` lives a hall.
"""

from __future__ import annotations

import dataclasses
import enum
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lineworks.decisions import workspaces

LIVES = 3
"""Lives a hall and window that the bound has room for; also how many instances of a hall hold
tokens at all, so that a cut into many pieces makes no more holders."""

MOVE_SECONDS = 0.25
"""Seconds for which tokens from another hall count, from the moment at which they were asked for:
some round trips between regions."""

RETURN_SECONDS = 0.2
"""Seconds after a grant within which its token can be given back: most requests that find no target
end at once."""

GRANT_SECONDS = 0.08
"""Seconds for which a grant counts, from the moment at which it was asked for."""

TRANSIT_SECONDS = MOVE_SECONDS + RETURN_SECONDS + GRANT_SECONDS
"""Seconds for which a token can be outside the buckets."""

HEARD_SECONDS = 2.5
"""Seconds without a word after which an instance counts as not heard: a heartbeat and some more."""

CHECK_SECONDS = 0.5
"""Seconds between looks at who is heard of."""

TAKEOVER_SECONDS = HEARD_SECONDS + 2 * CHECK_SECONDS
"""Seconds for which an instance must be silent before the next one earns in its place: by then it
has noticed as well, if it still runs."""

RATE_SECONDS = 10.0
"""Seconds over which the rate of requests is learnt."""

BURST_ROOM = 1.2
"""Multiple of a quota's burst that halls save for it together: what lies in other halls than the
requests takes some messages to come."""

LEAST_DEPTH = 2.4
"""Tokens that all halls together can save, where the bound has room for them: two parts, so that
the loss of one hall doesn't stop a workspace."""

LEAST_PART = 1.1
"""Tokens that a hall with a part can save at least: one, and some so that it goes on earning."""

_WHOLE = 1 - 1e-3
"""Tokens that count as a whole one, since moved tokens are rounded down. What lacks stays owed."""


class Decision(enum.IntEnum):
    """What a holder says to a request."""

    GRANTED = 0
    """It has a token for it."""

    OVER = 1
    """There is none."""

    UNSURE = 2
    """It does not hold the hall's tokens."""


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaBound:
    """What all instances together may let through beyond a quota, in any window of time."""

    window: float = 5.0
    """Length of the window in seconds."""

    excess: float = 0.0
    """Share of the quota that may be let through besides."""

    slack: float = 0.0
    """Requests besides."""

    def most(self, quota: workspaces.Quota) -> float:
        """Tell how many requests may be let through in a window.

        Args:
            quota: The quota.

        Returns:
            Requests, fractions included.
        """
        return (quota.rate * self.window + quota.burst) * (1 + self.excess) + self.slack


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """What a data hall has of a quota."""

    rate: float
    """Tokens that it earns in a second."""

    depth: float
    """Tokens that it saves at most."""

    holders: int = 1
    """Halls that have such a part; the others have none, and ask these."""

    later: float | None = None
    """Tokens that a life begins with, and saves at most, while others of the hall may act beside it
    or have acted within the window; None for the whole depth."""


NO_PART = Part(0.0, 0.0)
"""What a hall has of a quota too small to be divided among all."""


def part_of(quota: workspaces.Quota, bound: QuotaBound, halls: int) -> Part:
    """Divide a quota.

    A burst within the quota is saved for as far as the bound has room for it beside later lives,
    which then begin with less. Where the bound leaves no room for `LIVES` lives beside the rate,
    the rate is lowered. A hall that saves less than a token could admit nothing alone, so a small
    quota is divided among fewer.

    Args:
        quota: The quota of all instances together.
        bound: What they may let through beyond it.
        halls: Number of data halls.

    Returns:
        The part of each hall that has one.
    """
    most = bound.most(quota)
    seconds = bound.window + TRANSIT_SECONDS
    room = most - quota.rate * seconds
    least = min(LEAST_DEPTH, most / (2 * LIVES))
    # What each life begins with where all begin alike.
    alike = max(room / LIVES, least)
    rate = min(quota.rate, (most - LIVES * alike) / seconds)
    depth = max(alike, min(BURST_ROOM * quota.burst, room - (LIVES - 1) * least))
    later = min(alike, max(least, (room - depth) / (LIVES - 1)))
    holders = max(1, min(halls, int(later / LEAST_PART)))
    return Part(rate / holders, depth / holders, holders, later / holders)


class Bucket:
    """The tokens of a workspace in one hall."""

    def __init__(self, part: Part, now: float, is_first: bool = True) -> None:
        """Start full, or with what a later life begins with.

        Args:
            part: What the hall has of the quota.
            now: The present, in seconds.
            is_first: Whether no other life of the hall can have acted within the window.
        """
        self._part = part
        self._saves_all = is_first
        self._tokens = self._most
        self._at = now
        self._share = 1.0
        # Tokens from other halls that had no room: when they end, and how many.
        self._moved: list[tuple[float, float]] = []
        # What may yet be given back: when it was granted, and how much of it still counts. Together
        # with the tokens it is never more than the depth: otherwise requests that fail and come
        # back would save more and more tokens outside the bucket.
        self._granted: list[tuple[float, float]] = []

    @property
    def part(self) -> Part:
        """What the hall has of the quota."""
        return self._part

    @property
    def _most(self) -> float:
        """Tokens that it saves at most."""
        later = self._part.later
        return self._part.depth if self._saves_all or later is None else later

    def tokens(self, now: float) -> float:
        """Tell how many tokens there are.

        Args:
            now: The present, in seconds.

        Returns:
            Tokens, fractions included.
        """
        self._advance(now)
        return self._tokens + sum(amount for _, amount in self._moved)

    def take(self, now: float) -> bool:
        """Spend a token on a request.

        Args:
            now: The present, in seconds.

        Returns:
            Whether there was one.
        """
        if self.tokens(now) < _WHOLE:
            return False
        self._tokens -= _remove(self._moved, 1.0)
        self._granted.append((now, 1.0))
        self._trim()
        return True

    def put_back(self, granted_at: float, now: float) -> bool:
        """Take a token back whose request certainly did not run.

        Args:
            granted_at: When it was granted, in seconds.
            now: The present, in seconds.

        Returns:
            Whether it still counted.
        """
        self._advance(now)
        for place, (at, amount) in enumerate(self._granted):
            if at == granted_at:
                del self._granted[place]
                self._fill(amount)
                return True
        return False

    def give(self, now: float, wanted: float, most: float = 0.5) -> float:
        """Hand tokens over to another hall.

        Args:
            now: The present, in seconds.
            wanted: Tokens asked for.
            most: Share of the own tokens (0 to 1) that is given at most.

        Returns:
            Tokens, fractions included; there are as many less here.
        """
        self._advance(now)
        amount = max(0.0, min(wanted, most * self._tokens))
        self._tokens -= amount
        return amount

    def give_whole(self, now: float, wanted: float) -> float:
        """Hand whole tokens over to a hall that has none of its own to add a part of one to.

        Args:
            now: The present, in seconds.
            wanted: Tokens asked for.

        Returns:
            Tokens, a whole number; there are as many less here.
        """
        self._advance(now)
        return self.give(now, int(min(wanted, self._tokens)), 1.0)

    def add(self, amount: float, asked_at: float, now: float) -> None:
        """Take in tokens of another hall.

        Args:
            amount: Tokens, fractions included.
            asked_at: When they were asked for, in seconds.
            now: The present, in seconds.
        """
        self._advance(now)
        ends = asked_at + MOVE_SECONDS
        if amount <= 0 or ends <= now:
            return
        kept = self._fill(amount)
        if amount > kept:
            self._moved.append((ends, amount - kept))
            self._moved.sort()

    def seconds_until_next(self, now: float) -> float:
        """Tell when the hall alone will have earned a whole token.

        Args:
            now: The present, in seconds.

        Returns:
            Seconds; infinite when it never will.
        """
        lacking = _WHOLE - self.tokens(now)
        if lacking <= 0:
            return 0.0
        rate = self._part.rate * self._share
        return lacking / rate if rate > 0 and self._most >= _WHOLE else math.inf

    def set_part(self, part: Part, now: float) -> None:
        """Change the limit; this begins no new life.

        Args:
            part: What the hall has of the new quota.
            now: The present, in seconds.
        """
        self._advance(now)
        self._part = part
        self._tokens = min(self._most, self._tokens)

    def set_share(self, share: float, now: float) -> None:
        """Say how much of the hall's rate this holder earns from now on.

        Args:
            share: From 0 to 1.
            now: The present, in seconds.
        """
        self._advance(now)
        self._share = share

    def set_saving(self, saves_all: bool, now: float) -> None:
        """Say whether no other life of the hall can act now, or can have acted within the window.

        Otherwise it saves no more than a later life begins with, since others may do so as well.

        Args:
            saves_all: Whether it saves for the whole depth of the part.
            now: The present, in seconds.
        """
        self._advance(now)
        self._saves_all = saves_all
        self._tokens = min(self._most, self._tokens)

    def _fill(self, amount: float) -> float:
        """Add tokens as far as there is room, and tell how many."""
        added = max(0.0, min(amount, self._most - self._tokens))
        self._tokens += added
        self._trim()
        return added

    def _trim(self) -> None:
        """Let go of what would be given back to a full bucket, the oldest first."""
        over = self._tokens + sum(amount for _, amount in self._granted) - self._most
        _remove(self._granted, over)

    def _advance(self, now: float) -> None:
        """Earn what is due by now, and forget what no longer counts."""
        self._granted = [row for row in self._granted if now - row[0] <= RETURN_SECONDS]
        self._fill(max(0.0, now - self._at) * self._part.rate * self._share)
        self._at = max(self._at, now)
        if self._moved:
            self._moved = [(ends, amount) for ends, amount in self._moved if ends > now]


def _remove(rows: list[tuple[float, float]], wanted: float) -> float:
    """Take tokens out of rows of (time, tokens), the first ones first.

    Args:
        rows: The rows; those that are used up are left out afterwards.
        wanted: Tokens, fractions included.

    Returns:
        Tokens that were lacking.
    """
    while rows and wanted > 0:
        at, amount = rows.pop(0)
        if amount > wanted:
            rows.insert(0, (at, amount - wanted))
        wanted -= min(amount, wanted)
    return wanted


class AskRate:
    """How often a workspace was asked for lately."""

    def __init__(self) -> None:
        """Start with no request."""
        self._value = 0.0
        self._at = 0.0

    def note(self, now: float) -> None:
        """Count a request.

        Args:
            now: The present, in seconds.
        """
        self._value = self.value(now) + 1 / RATE_SECONDS
        self._at = now

    def value(self, now: float) -> float:
        """Tell the rate.

        Args:
            now: The present, in seconds.

        Returns:
            Requests a second, the latest ones counted most.
        """
        return self._value * math.exp((self._at - now) / RATE_SECONDS)


def wanted(tokens: float, waiting: int, rate: float) -> float:
    """Say how many tokens a hall should ask the others for.

    Args:
        tokens: Its own.
        waiting: Requests that wait for one.
        rate: Requests a second that it gets.

    Returns:
        Tokens, fractions included: what its requests need now, one at least, and what comes while
        moved tokens count; more could not be spent before it ends.
    """
    return max(0.0, max(1, waiting) + rate * MOVE_SECONDS - tokens)


def earned_share(rank: int, silent: float, heard: int, known: int) -> float:
    """Say how much of its hall's rate a holder earns.

    A holder earns in proportion to the instances of its hall that it hears, so that two that are
    cut off from each other earn no more together than one would. One that stands in for an
    instance with a better rank earns nothing until that one, if it is cut off, has noticed.

    Args:
        rank: Its rank for the workspace among the instances that are known of the hall, 0 first.
        silent: Seconds since any instance with a better rank was heard of.
        heard: Instances of the hall that it hears, itself included.
        known: Instances that are known of the hall, itself included.

    Returns:
        From 0 to 1.
    """
    if rank and silent < TAKEOVER_SECONDS:
        return 0.0
    return min(1.0, heard / max(1, known))
