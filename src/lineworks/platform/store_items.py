"""Data types of the client of the platform's store."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lineworks.decisions import positions


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """A lease. The store may reuse its number after being restored from an older copy."""

    number: int
    """Number that the store assigned."""

    era: int
    """Era of the store in which it was granted."""


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """A key with its value."""

    key: str
    """The key."""

    value: bytes = dataclasses.field(repr=False)
    """The value; not in the repr, because the configuration's value holds API keys."""

    position: positions.Position
    """Position of its last change."""

    problem: str = ""
    """Why the stored value could not be read; the value is then empty."""


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A key that was written or removed."""

    key: str
    """The key."""

    position: positions.Position
    """Position of the change."""

    value: bytes | None = dataclasses.field(repr=False)
    """The new value, or None when the key was removed."""

    problem: str = ""
    """Why the stored value could not be read; the value is then empty."""


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """All items below a prefix."""

    items: list[Item]
    """The items."""

    position: positions.Position
    """Position from which to watch: the listing reflects at least all changes up to it."""

    skipped: list[str] = dataclasses.field(default_factory=list)
    """Rows without a usable key or revision, which are left out: the reason for each."""


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Changes below a prefix."""

    changes: list[Change]
    """The changes, in order."""

    position: positions.Position
    """Position up to which the changes are complete."""

    skipped: list[str] = dataclasses.field(default_factory=list)
    """Rows without a usable key or revision, which are left out: the reason for each."""


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """A key to write in a transaction."""

    key: str
    """The key."""

    value: bytes
    """The value."""

    lease: Lease | None = None
    """Lease to which the key is attached, or None."""
