"""How many requests a workspace may send through all instances together."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaBound:
    """What all instances together may let through beyond a quota, in any window of time."""

    window: float = 5.0
    """Length of the window in seconds."""

    excess: float = 0.0
    """Share of the quota that may be let through besides."""

    slack: float = 0.0
    """Requests besides."""
