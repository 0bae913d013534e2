"""What the platform's store holds, as its client takes and gives it."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lineworks.decisions import positions


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """A lease; the store may give its number out again after it came back from an older copy."""

    number: int
    """Its number."""

    era: int
    """Era in which it was given out."""


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """A key with its value."""

    key: str
    """The key."""

    value: bytes = dataclasses.field(repr=False)
    """The value. That of the configuration holds API keys."""

    position: positions.Position
    """Position of its last change."""

    lease: int = 0
    """Number of the lease that it ends with; 0 for none."""


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A key that was written or removed."""

    key: str
    """The key."""

    position: positions.Position
    """Position of the change."""

    value: bytes | None = dataclasses.field(repr=False)
    """The new value, or None when the key was removed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """All items below a prefix."""

    items: list[Item]
    """The items."""

    position: positions.Position
    """Position that nothing in the listing is older than."""


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """What has changed below a prefix."""

    changes: list[Change]
    """The changes in order."""

    position: positions.Position
    """Position up to which they go."""


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """A key to write in a transaction."""

    key: str
    """The key."""

    value: bytes
    """The value."""

    lease: Lease | None = None
    """Lease that it ends with."""
