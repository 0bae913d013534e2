"""Positions in the history of the platform's store.

The store may be restored from an older copy of itself. Its revision numbers then go back and are
assigned again, so a revision is meaningful only together with the era in which it was assigned.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Position:
    """A revision of the store. Positions are ordered by time, across eras."""

    era: int
    """Number of times the store has been restored from an older copy, as counted by the store."""

    revision: int
    """Revision number within the era."""


ABSENT = Position(0, 0)
"""Lower than every other position: the position of an absent key, or of unknown state."""
