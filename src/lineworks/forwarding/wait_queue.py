"""Those that wait for room, at a front or at a gatherer, tried in the order of fair shares.

Where the configuration has no workspaces everybody looks for room by itself, whenever its own pause
is over. Otherwise there is one look for all, in the order that `lineworks.decisions.fair_shares`
gives, and whoever comes while others wait for the same services takes its place among them.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any

from lineworks.decisions import fair_shares

if TYPE_CHECKING:
    from collections.abc import Callable, Collection


@dataclasses.dataclass(slots=True, eq=False)
class _Waiter:
    """One that waits."""

    claim: fair_shares.Claim
    """What decides about its place."""

    services: frozenset[str]
    """Services at which it wants room."""

    retry: Callable[[], None]
    """Looks for room."""


class WaitQueue:
    """Those that wait at one front, or at one gatherer."""

    def __init__(
        self, reactor: Any, retry_seconds: float, draw: Callable[[], float] = lambda: 0.5
    ) -> None:
        """Start with nobody waiting, and no order.

        Args:
            reactor: Twisted's reactor.
            look_seconds: Seconds between looks for room.
            draw: Draws from 0 to 1, to spread the return of callers that are refused.
        """
        self._reactor = reactor
        self._retry_seconds = retry_seconds
        self._draw = draw
        self._waiters: list[_Waiter] = []
        self._timer: Any = None
        self.is_fair = False
        """Whether the configuration has workspaces, between which room is shared."""
        self.shares = fair_shares.Shares()
        """What each workspace asked, got and spent lately."""

    @property
    def length(self) -> int:
        """How many wait."""
        return len(self._waiters)

    def note_served(self, workspace: str) -> None:
        """Count a request that found room.

        Args:
            workspace: Its workspace; empty for none.
        """
        if self.is_fair:
            self.shares.note_served(workspace, self._reactor.seconds())

    def note_refused(self, workspace: str) -> None:
        """Count a request that found no room.

        Args:
            workspace: Its workspace; empty for none.
        """
        if self.is_fair:
            self.shares.note_refused(workspace, self._reactor.seconds())

    def is_too_late(self, claim: fair_shares.Claim, now: float) -> bool:
        """Say whether waiting is of no use any more.

        Args:
            claim: What decides about the place.
            now: The present, in seconds.

        Returns:
            Whether there is an order, and the request can't be in time even if it is sent now.
        """
        return self.is_fair and not claim.can_be_in_time(now)

    def has_waiter_ahead(self, claim: fair_shares.Claim, services: Collection[str]) -> bool:
        """Say whether a newcomer would pass one that goes before it.

        Args:
            claim: Its claim.
            services: Services that it wants room at.

        Returns:
            Whether one that waits for any of the same services goes before it.
        """
        if not self._waiters:
            return False
        now = self._reactor.seconds()
        return any(
            not waiter.services.isdisjoint(services)
            and self.shares.goes_before(waiter.claim, claim, now)
            for waiter in self._waiters
        )

    def wait(
        self, claim: fair_shares.Claim, services: Collection[str], retry: Callable[[], None]
    ) -> Callable[[], None]:
        """Take a place until the next look.

        Args:
            claim: What decides about the place.
            services: Services at which room is wanted.
            look: Called at the next look, in its turn. Whoever finds no room waits again.

        Returns:
            A function that leaves the line.
        """
        waiter = _Waiter(claim, frozenset(services), retry)
        self._waiters.append(waiter)
        if self._timer is None:
            self._timer = self._reactor.callLater(self._retry_seconds, self._retry_all)

        def leave() -> None:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

        return leave

    def retry_after(self, pause: float) -> float | None:
        """Tell after how long a caller that found no room may come again.

        Args:
            pause: Seconds that are told where there is no order.

        Returns:
            Seconds, spread so that those refused together don't come back together; None where
            there is no order, and what is usual holds.
        """
        return fair_shares.spread_pause(pause, self._draw()) if self.is_fair else None

    def _retry_all(self) -> None:
        """Let all that wait look for room, in the order of fair shares."""
        self._timer = None
        waiting, self._waiters = self._waiters, []
        now = self._reactor.seconds()
        claims = [waiter.claim for waiter in waiting]
        ordered = [waiting[number] for number in self.shares.order(claims, now)]
        # Whoever leaves while others are tried must not be tried any more.
        self._waiters = ordered
        for waiter in list(ordered):
            if waiter in self._waiters:
                self._waiters.remove(waiter)
                waiter.retry()
