"""Places in the history of the platform's store.

The store may come back from an older copy of itself. Its revisions then go back and are given out
again, so a revision means something only together with the era that it was given out in.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Position:
    """A revision of the store; the later of two is the greater one, whichever era it is of."""

    era: int
    """How often the store had come back from an older copy, as it counts that itself."""

    revision: int
    """Revision within the era."""


ABSENT = Position(0, 0)
"""Before everything: of what nothing is known, and of a key that is absent."""
