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
class _Place:
    """One that waits."""

    claim: fair_shares.WaitingRequest
    """What decides about its place."""

    services: frozenset[str]
    """Services at which it wants room."""

    look: Callable[[], None]
    """Looks for room."""


class WaitingLine:
    """Those that wait at one front, or at one gatherer."""

    def __init__(
        self, reactor: Any, look_seconds: float, draw: Callable[[], float] = lambda: 0.5
    ) -> None:
        """Start with nobody waiting, and no order.

        Args:
            reactor: Twisted's reactor.
            look_seconds: Seconds between looks for room.
            draw: Draws from 0 to 1, to spread the return of callers that are refused.
        """
        self._reactor = reactor
        self._look_seconds = look_seconds
        self._draw = draw
        self._places: list[_Place] = []
        self._timer: Any = None
        self.is_fair = False
        """Whether the configuration has workspaces, between which room is shared."""
        self.shares = fair_shares.FairShares()
        """What each workspace asked, got and spent lately."""

    @property
    def length(self) -> int:
        """How many wait."""
        return len(self._places)

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

    def is_too_late(self, claim: fair_shares.WaitingRequest, now: float) -> bool:
        """Say whether waiting is of no use any more.

        Args:
            claim: What decides about the place.
            now: The present, in seconds.

        Returns:
            Whether there is an order, and the request can't be in time even if it is sent now.
        """
        return self.is_fair and not claim.can_finish_in_time(now)

    def is_behind(self, claim: fair_shares.WaitingRequest, services: Collection[str]) -> bool:
        """Say whether a newcomer would pass one that goes before it.

        Args:
            claim: Its claim.
            services: Services that it wants room at.

        Returns:
            Whether one that waits for any of the same services goes before it.
        """
        if not self._places:
            return False
        now = self._reactor.seconds()
        return any(
            not place.services.isdisjoint(services)
            and self.shares.precedes(place.claim, claim, now)
            for place in self._places
        )

    def wait(
        self, claim: fair_shares.WaitingRequest, services: Collection[str], look: Callable[[], None]
    ) -> Callable[[], None]:
        """Take a place until the next look.

        Args:
            claim: What decides about the place.
            services: Services at which room is wanted.
            look: Called at the next look, in its turn. Whoever finds no room waits again.

        Returns:
            A function that leaves the line.
        """
        place = _Place(claim, frozenset(services), look)
        self._places.append(place)
        if self._timer is None:
            self._timer = self._reactor.callLater(self._look_seconds, self._look)

        def leave() -> None:
            if place in self._places:
                self._places.remove(place)

        return leave

    def retry_after(self, pause: float) -> float | None:
        """Tell after how long a caller that found no room may come again.

        Args:
            pause: Seconds that are told where there is no order.

        Returns:
            Seconds, spread so that those refused together don't come back together; None where
            there is no order, and what is usual holds.
        """
        return fair_shares.jitter_pause(pause, self._draw()) if self.is_fair else None

    def _look(self) -> None:
        """Let all that wait look for room, in the order of fair shares."""
        self._timer = None
        waiting, self._places = self._places, []
        now = self._reactor.seconds()
        claims = [place.claim for place in waiting]
        turns = [waiting[number] for number in self.shares.order(claims, now)]
        # Whoever leaves while others are tried must not be tried any more.
        self._places = turns
        for place in list(turns):
            if place in self._places:
                self._places.remove(place)
                place.look()
