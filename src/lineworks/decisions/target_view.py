"""Which targets there are, by the entries that they keep on the platform.

The view is fed from snapshots and from changes, in any order; the revision of each entry decides
which is newer. An entry that is gone means that its target takes no new work. After an outage of
the platform entries may be missing only because they could not be renewed, so their removal waits
until their targets had time to come back.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

LAPSE_GRACE = 2.3
"""Seconds after the platform's return in which a missing entry proves nothing: targets that live
renew theirs within about two seconds, and a call takes some time."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetEntry:
    """What a target says of itself on the platform."""

    id: str
    """Identity of the target, which its next process may have again."""

    service: str
    """Service that it serves."""

    hall: str
    """Data hall that it stands in."""

    host: str
    """IP address."""

    port: int
    """TCP port."""

    slots: int
    """Requests that it works on at once."""

    is_leaving: bool
    """Whether it asks for no new work."""

    is_cold: bool
    """Whether it has just started and is slow."""

    born: int = 0
    """Unix millisecond of the start of the process: with it, two processes of the same identity are
    told apart. 0 where it isn't told."""

    @property
    def life(self) -> str:
        """Identity of this process among all that had or will have its identity."""
        return f"{self.id}@{self.born}" if self.born else self.id


@dataclasses.dataclass(frozen=True, slots=True)
class TargetChange:
    """A change of one entry."""

    id: str
    """Identity of the target's process."""

    revision: int
    """Revision of the change."""

    entry: TargetEntry | None
    """The entry, or None when it is gone."""


def news(known: Mapping[str, TargetEntry], changes: Iterable[TargetChange]) -> list[TargetChange]:
    """Leave out changes that bring nothing new after what was known and the changes before them.

    Args:
        known: The entries before the changes, by identity.
        changes: The changes, in their order.

    Returns:
        Those that change an entry. The removal of an entry that came with the same changes is one
        of them: without it peers kept a target that had left, and sent it requests.
    """
    present: dict[str, TargetEntry | None] = dict(known)
    found = []
    for change in changes:
        if present.get(change.id) != change.entry:
            found.append(change)
        present[change.id] = change.entry
    return found


class TargetView:
    """The entries as one instance knows them."""

    def __init__(self) -> None:
        self._entries: dict[str, TargetEntry] = {}
        self._revisions: dict[str, int] = {}
        self._removals: dict[str, float] = {}
        self._leaving: set[str] = set()
        # By identity, when the latest process known to have it was born.
        self._born: dict[str, int] = {}
        self.revision = 0
        """Revision of the platform up to which every change is known."""

    @property
    def entries(self) -> Mapping[str, TargetEntry]:
        """The entries by identity."""
        return self._entries

    def certain(self) -> dict[str, TargetEntry]:
        """List the entries that no removal is pending for.

        Returns:
            Entries by identity.
        """
        return {name: e for name, e in self._entries.items() if name not in self._removals}

    def apply(self, changes: Iterable[TargetChange], hold_until: float) -> bool:
        """Take in changes.

        Args:
            changes: The changes.
            hold_until: Time before which missing entries are kept; 0 for no such time.

        Returns:
            Whether an entry changed in more than its revision.
        """
        is_changed = False
        for change in changes:
            if change.revision <= self._revisions.get(change.id, 0):
                continue
            self._revisions[change.id] = change.revision
            if change.entry is None:
                is_changed |= self._remove(change.id, hold_until)
            else:
                is_changed |= self._put(change.entry)
        return is_changed

    def replace(self, entries: Iterable[TargetChange], revision: int, hold_until: float) -> bool:
        """Take in all entries as they were at one revision.

        Args:
            entries: All entries.
            revision: The revision.
            hold_until: Time before which missing entries are kept; 0 for no such time.

        Returns:
            Whether an entry changed in more than its revision.
        """
        listed = list(entries)
        is_changed = self.apply(listed, hold_until)
        present = {change.id for change in listed}
        for name in list(self._entries):
            if name not in present and self._revisions.get(name, 0) <= revision:
                is_changed |= self._remove(name, hold_until)
        self.revision = max(self.revision, revision)
        return is_changed

    def expire(self, now: float) -> bool:
        """Carry out the removals whose time has come.

        Args:
            now: The present, in seconds.

        Returns:
            Whether an entry went.
        """
        due = [name for name, at in self._removals.items() if at <= now]
        for name in due:
            del self._removals[name]
            self._entries.pop(name, None)
        return bool(due)

    def all_changes(self) -> list[TargetChange]:
        """List all entries with their revisions, as changes for a peer that knows nothing."""
        return [
            TargetChange(name, self._revisions.get(name, 0), entry)
            for name, entry in self._entries.items()
        ]

    def _put(self, entry: TargetEntry) -> bool:
        born = self._born.get(entry.id, 0)
        if entry.born < born:
            # Told late of an earlier process: the later one has its identity.
            return False
        if entry.born > born:
            # Another process, which nothing holds of that was known of the one before.
            self._born[entry.id] = entry.born
            self._leaving.discard(entry.id)
        self._removals.pop(entry.id, None)
        if entry.is_leaving:
            self._leaving.add(entry.id)
        elif entry.id in self._leaving:
            entry = dataclasses.replace(entry, is_leaving=True)
        is_changed = self._entries.get(entry.id) != entry
        self._entries[entry.id] = entry
        return is_changed

    def _remove(self, name: str, hold_until: float) -> bool:
        if name not in self._entries:
            return False
        if hold_until:
            self._removals.setdefault(name, hold_until)
            return False
        self._removals.pop(name, None)
        del self._entries[name]
        return True
