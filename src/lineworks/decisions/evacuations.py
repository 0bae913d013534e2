"""Tracks the data halls that the operators have evacuated: their targets get no new work.

Updates arrive as full listings and as changes, in any order; the position of each decides which is
newer. An evacuation has no lease, so one that is missing from a listing was revoked, unless the
store was restored from a copy older than the evacuation. In that case it stays in force for a while
so that the operators can write it again.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from lineworks.decisions import positions

if TYPE_CHECKING:
    from collections.abc import Iterable


REWRITE_MARGIN_SECONDS = 1.0
"""Margin before the end of the hold time, in seconds. A missing evacuation is dropped only if the
store answered within this margin or later, as the operators have rewritten it by then."""


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationChange:
    """The start or the end of the evacuation of one data hall."""

    hall: str
    """Name of the hall."""

    position: positions.Position
    """Position of the change."""

    is_evacuated: bool
    """Whether the hall's targets are to get no new work."""


class Evacuations:
    """The evacuated halls, as known to one instance."""

    def __init__(self) -> None:
        self._latest: dict[str, EvacuationChange] = {}
        # By hall: when an evacuation that the restored store lacks expires, in seconds.
        self._held: dict[str, float] = {}

    @property
    def halls(self) -> frozenset[str]:
        """The evacuated halls."""
        return frozenset(hall for hall, change in self._latest.items() if change.is_evacuated)

    def apply(self, changes: Iterable[EvacuationChange]) -> bool:
        """Apply changes.

        Args:
            changes: The changes.

        Returns:
            Whether the set of evacuated halls changed.
        """
        before = self.halls
        for change in changes:
            known = self._latest.get(change.hall)
            if known is None or change.position > known.position:
                self._latest[change.hall] = change
                self._held.pop(change.hall, None)
        return self.halls != before

    def replace(
        self, listed: Iterable[EvacuationChange], position: positions.Position, hold_until: float
    ) -> bool:
        """Apply a full listing; evacuations that changed after its position are kept.

        Args:
            listed: All evacuations in force at the position.
            position: Position of the listing.
            hold_until: Time, in seconds, until which a missing evacuation of an earlier era stays
                in force.

        Returns:
            Whether the set of evacuated halls changed.
        """
        before = self.halls
        present = list(listed)
        self.apply(present)
        names = {change.hall for change in present}
        for hall in self.halls - names:
            known = self._latest[hall].position
            if known.era < position.era:
                # A second restore soon after the first extends the time for rewriting.
                self._held[hall] = max(hold_until, self._held.get(hall, 0.0))
            elif known <= position:
                self._latest[hall] = EvacuationChange(hall, position, False)
        return self.halls != before

    def expire(self, now: float, asked_at: float, position: positions.Position) -> bool:
        """End the held evacuations that were not written again after the store was restored.

        Args:
            now: Current time in seconds.
            asked_at: When the store was last read successfully, in seconds. While it is
                unavailable, it is unknown whether they were rewritten.
            position: Position up to which all changes are known.

        Returns:
            Whether the set of evacuated halls changed.
        """
        due = [
            hall
            for hall, until in self._held.items()
            if until <= now and until - REWRITE_MARGIN_SECONDS <= asked_at
        ]
        for hall in due:
            del self._held[hall]
            self._latest[hall] = EvacuationChange(hall, position, False)
        return bool(due)

    def all_changes(self) -> tuple[EvacuationChange, ...]:
        """Return the known changes, for a peer that has just started.

        Held evacuations, which the restored store lacks, are left out: peers that knew of them hold
        them as well.
        """
        return tuple(found for hall, found in self._latest.items() if hall not in self._held)
