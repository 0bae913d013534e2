"""Which data halls get no new work because the operators asked for it.

Fed like the view of the targets: from listings and from changes in any order, the position of each
deciding which is newer. An evacuation has no lease, so one that is missing was taken back; unless
the store came back from a copy that is older than it, and the operators have yet to write it again.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from lineworks.decisions import positions

if TYPE_CHECKING:
    from collections.abc import Iterable


REWRITE_MARGIN_SECONDS = 1.0
"""Seconds before the end of the time for which a missing evacuation is obeyed by which the
operators have written it again."""


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationChange:
    """A change for one data hall."""

    hall: str
    """The hall."""

    position: positions.Position
    """Position of the change."""

    is_evacuated: bool
    """Whether nothing more is to be sent to the hall's targets."""


class Evacuations:
    """The evacuated halls as one instance knows them."""

    def __init__(self) -> None:
        self._latest: dict[str, EvacuationChange] = {}
        # By hall, when an evacuation ends that the store lacks since it came back.
        self._held: dict[str, float] = {}

    @property
    def halls(self) -> frozenset[str]:
        """Halls whose targets get no new work."""
        return frozenset(hall for hall, change in self._latest.items() if change.is_evacuated)

    def apply(self, changes: Iterable[EvacuationChange]) -> bool:
        """Take in changes.

        Args:
            changes: The changes.

        Returns:
            Whether other halls are evacuated than before.
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
        """Take in all evacuations as they were at one position.

        Args:
            listed: All that were asked for.
            position: The position.
            hold_until: Time until which an evacuation of an earlier era that is missing is obeyed.

        Returns:
            Whether other halls are evacuated than before.
        """
        before = self.halls
        present = list(listed)
        self.apply(present)
        names = {change.hall for change in present}
        for hall in self.halls - names:
            known = self._latest[hall].position
            if known.era < position.era:
                # A second return soon after the first gives the operators their time again.
                self._held[hall] = max(hold_until, self._held.get(hall, 0.0))
            elif known <= position:
                self._latest[hall] = EvacuationChange(hall, position, False)
        return self.halls != before

    def expire(self, now: float, asked_at: float, position: positions.Position) -> bool:
        """End the evacuations that nobody wrote again after the store's return.

        Args:
            now: The present, in seconds.
            asked_at: When the store was last asked with success: one that is away again can't
                tell whether they were written.
            position: Position up to which every change is known then.

        Returns:
            Whether other halls are evacuated than before.
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
        """List what is known, for a peer that knows nothing.

        Left out is what the store lacks since it came back: peers that knew of it hold it as well.
        """
        return tuple(found for hall, found in self._latest.items() if hall not in self._held)
