"""Which data halls get no new work because the operators asked for it.

Fed like the view of the targets: from listings and from changes in any order, the revision of each
deciding which is newer. An evacuation has no lease, so one that is missing was taken back.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationChange:
    """A change for one data hall."""

    hall: str
    """The hall."""

    revision: int
    """Revision of the change."""

    is_asked: bool
    """Whether nothing more is to be sent to the hall's targets."""


class Evacuations:
    """The evacuated halls as one instance knows them."""

    def __init__(self) -> None:
        self._latest: dict[str, EvacuationChange] = {}

    @property
    def halls(self) -> frozenset[str]:
        """Halls whose targets get no new work."""
        return frozenset(hall for hall, change in self._latest.items() if change.is_asked)

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
            if known is None or change.revision > known.revision:
                self._latest[change.hall] = change
        return self.halls != before

    def replace(self, listed: Iterable[EvacuationChange], revision: int) -> bool:
        """Take in all evacuations as they were at one revision.

        Args:
            listed: All that were asked for.
            revision: The revision.

        Returns:
            Whether other halls are evacuated than before.
        """
        before = self.halls
        present = list(listed)
        self.apply(present)
        names = {change.hall for change in present}
        for hall in self.halls - names:
            if self._latest[hall].revision <= revision:
                self._latest[hall] = EvacuationChange(hall, revision, False)
        return self.halls != before

    def all_changes(self) -> tuple[EvacuationChange, ...]:
        """List what is known, for a peer that knows nothing."""
        return tuple(self._latest.values())
