"""Who goes next where there isn't room for all, and who leaves the last extra attempts to others.

Room is shared between workspaces first, each by what it asks: one that was served clearly less
often than all lately goes before the others, whatever its priority, so that nothing starves. Among
the rest priority decides, then who got least. No part is reserved, so no room idles.

Each front and each gatherer decides for itself, by what it saw: requests with a key come in through
all instances alike, and one that starts again treats all alike until it has seen some.
"""

from __future__ import annotations

import dataclasses
import math

HALF_LIFE = 10.0
"""Seconds after which a request that was asked or served counts half: callers ask again within
seconds, and what a workspace took a minute ago is no reason to turn it away now."""

LEAST_SERVED = 0.85
"""How often a workspace with a quota is served at least, for what it asks, relative to all: its
quota says what it may ask, so whatever is within it is due like that of others. Below four fifths
its callers would notice a shortage that others don't; the rest is for what this instance has yet
to see."""

LEAST_WITHOUT_QUOTA = 0.5
"""The same of a workspace without a quota, which may ask for any amount: if it were due in full,
one that asks ever more would push the others out. Half as often as all isn't shut out."""

AGEING_SECONDS = 0.2
"""Seconds of waiting that count as one priority, so that a long request comes to its turn beside a
stream of urgent ones of its own workspace. Requests wait for a fifth of their aim at most, so only
those with aims above a second age at all: between others who got least lately decides."""

LEAST_SPENT = 4.0
"""Extra attempts at one service spent lately below which no workspace counts as having spent too
much: single ones tell nothing."""

FAR_MORE = 1.5
"""Multiple of an equal part of the extra attempts from which on a workspace spent far more. Above
one, because shards fail under whoever asks just then; below two, because one of two workspaces
could never reach that."""

LEAST_OF_USUAL = 0.5
"""Part of the usual time of a service that a request takes at least: the usual time holds pauses
and waiting at targets, which it may be spared."""

_TRACE = 0.05
"""Requests below which a workspace is forgotten: one that asked once has left for good, or asks
less than once in 43 seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """What decides about the place of one that waits for room."""

    workspace: str
    """Name of the workspace; empty where the request has none."""

    priority: int
    """Rank; 0 is the most urgent."""

    arrived: float
    """When it came, in seconds."""

    in_time_until: float
    """Until when it must be sent to be usually in time, in seconds."""

    has_quota: bool = False
    """Whether a quota bounds what its workspace asks."""

    def can_be_in_time(self, now: float) -> bool:
        """Say whether it is usually in time when it is sent now."""
        return now <= self.in_time_until


class _Decaying:
    """Amounts by workspace that halve with time, and their sum."""

    __slots__ = ("_amounts", "_at")

    def __init__(self) -> None:
        self._amounts: dict[str, float] = {}
        self._at = 0.0

    @property
    def count(self) -> int:
        """Workspaces that are remembered."""
        return len(self._amounts)

    @property
    def total(self) -> float:
        """The sum of all, by the time of the last `advance`."""
        return sum(self._amounts.values())

    def advance(self, now: float) -> None:
        """Let all amounts decay, and forget what is next to nothing."""
        if now <= self._at:
            return
        factor = 0.5 ** ((now - self._at) / HALF_LIFE)
        self._at = now
        decayed = {name: amount * factor for name, amount in self._amounts.items()}
        self._amounts = {name: amount for name, amount in decayed.items() if amount > _TRACE}

    def add(self, workspace: str, now: float) -> None:
        """Count one more."""
        self.advance(now)
        self._amounts[workspace] = self._amounts.get(workspace, 0.0) + 1.0

    def of(self, workspace: str) -> float:
        """Tell the amount of one, by the time of the last `advance`."""
        return self._amounts.get(workspace, 0.0)


class Shares:
    """What each workspace asked, got and spent lately, as one instance saw it."""

    def __init__(self) -> None:
        """Start with nothing seen: all are alike."""
        self._asked = _Decaying()
        self._served = _Decaying()
        self._spent: dict[str, _Decaying] = {}

    def note_served(self, workspace: str, now: float) -> None:
        """Count a request that found room.

        Args:
            workspace: Its workspace.
            now: The present, in seconds.
        """
        self._asked.add(workspace, now)
        self._served.add(workspace, now)

    def note_refused(self, workspace: str, now: float) -> None:
        """Count a request within its workspace's quota that found no room.

        Args:
            workspace: Its workspace.
            now: The present, in seconds.
        """
        self._asked.add(workspace, now)

    def note_spent(self, workspace: str, service: str, now: float) -> None:
        """Count an extra attempt.

        Args:
            workspace: The workspace of its request.
            service: The service that was asked.
            now: The present, in seconds.
        """
        spent = self._spent.get(service)
        if spent is None:
            self._forget_spent(now)
            spent = self._spent[service] = _Decaying()
        spent.add(workspace, now)

    def order(self, claims: list[Claim], now: float) -> list[int]:
        """Say in which order those that wait are tried.

        Args:
            claims: One for each, in any order.
            now: The present, in seconds.

        Returns:
            Their positions, the first to be tried first.
        """
        self._advance(now)
        return sorted(range(len(claims)), key=lambda place: self._rank(claims[place], now))

    def goes_before(self, first: Claim, second: Claim, now: float) -> bool:
        """Say whether one that waits is tried before another one.

        Args:
            first: The one.
            second: The other.
            now: The present, in seconds.

        Returns:
            Whether it is.
        """
        self._advance(now)
        return self._rank(first, now) < self._rank(second, now)

    def spent_far_more(self, workspace: str, service: str, now: float) -> bool:
        """Say whether a workspace spent far more than an equal part of a service's extra attempts.

        Args:
            workspace: The workspace.
            service: The service.
            now: The present, in seconds.

        Returns:
            Whether it should leave the last of them to the others that asked something lately.
        """
        spent = self._spent.get(service)
        if spent is None:
            return False
        spent.advance(now)
        self._asked.advance(now)
        own = spent.of(workspace)
        part = spent.total / max(1, self._asked.count)
        return own >= LEAST_SPENT and own > FAR_MORE * part

    def _advance(self, now: float) -> None:
        self._asked.advance(now)
        self._served.advance(now)

    def _forget_spent(self, now: float) -> None:
        """Forget the services at which nothing was spent lately."""
        for service, spent in list(self._spent.items()):
            spent.advance(now)
            if not spent.count:
                del self._spent[service]

    def _rank(self, claim: Claim, now: float) -> tuple[bool, bool, int, float, float]:
        """Make what is compared; the smaller goes first."""
        aged = claim.priority - (now - claim.arrived) / AGEING_SECONDS
        return (
            not claim.can_be_in_time(now),
            not self._is_short(claim),
            math.ceil(aged),
            self._served.of(claim.workspace),
            claim.arrived,
        )

    def _is_short(self, claim: Claim) -> bool:
        """Say whether a workspace was served clearly less often than all."""
        asked = self._asked.of(claim.workspace)
        total = self._asked.total
        if not asked or not total:
            return False
        often = self._served.total / total
        least = LEAST_SERVED if claim.has_quota else LEAST_WITHOUT_QUOTA
        return self._served.of(claim.workspace) / asked < least * often


def latest_start(due: float, usual: float) -> float:
    """Tell until when a request can be sent and still be in time.

    Args:
        due: When its answer is due, in seconds.
        usual: How long its service usually takes, in seconds; 0 when unknown.

    Returns:
        A time, in seconds.
    """
    return due - LEAST_OF_USUAL * usual


def spread_pause(pause: float, draw: float) -> float:
    """Spread the return of callers that are refused at one moment.

    Args:
        pause: Seconds after which one caller should come again.
        draw: A random number from 0 to 1.

    Returns:
        Seconds, between half of the pause and one and a half, so that its mean stays.
    """
    return pause * (0.5 + draw)
