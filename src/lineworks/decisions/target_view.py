"""Which targets there are, by the entries that they keep on the platform.

The view is fed from snapshots and from changes, in any order; the position of each entry decides
which is newer. An entry that is gone means that its target takes no new work. After an outage of
the platform entries may be missing only because they could not be renewed, so their removal waits
until their targets had time to come back. After the store's return from an older copy entries of
targets that had left may be there again; they are doubted until somebody writes them anew, or until
the entries of targets that have ended would be gone.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

from lineworks.decisions import positions

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

REMOVAL_GRACE_SECONDS = 2.3
"""Seconds after the platform's return in which a missing entry proves nothing: targets that live
renew theirs within about two seconds, and a call takes some time."""

DOUBT_SECONDS = 5.0
"""Seconds for which an entry that an older copy brought back is not believed: the entry of a target
that has ended goes after three missed heartbeats, which come somewhat more than a second apart."""


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
    def process_key(self) -> str:
        """Identity of this process among all that had or will have its identity."""
        return f"{self.id}@{self.born}" if self.born else self.id


@dataclasses.dataclass(frozen=True, slots=True)
class TargetChange:
    """A change of one entry."""

    id: str
    """Identity of the target's process."""

    position: positions.Position
    """Position of the change."""

    entry: TargetEntry | None
    """The entry, or None when it is gone."""


class UnsettledReason(enum.Enum):
    """Why an entry is not settled."""

    HELD = "held"
    """It is missing and still used: it may come back."""

    DOUBTED = "doubted"
    """It was gone, the store's older copy has it again, and it is not used yet."""

    LEAVING = "leaving"
    """Its target had asked for no new work, which the store's older copy does not tell."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unsettled:
    """An entry of which it will be known later whether it holds."""

    change: TargetChange
    """The entry, with the position that it was read under."""

    reason: UnsettledReason
    """Why it is not settled."""

    seconds: float = 0.0
    """Seconds until it is settled, unless something is heard of it."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Doubted:
    """An entry that was gone and that the store's older copy has again."""

    change: TargetChange
    until: float


def effective_changes(
    known: Mapping[str, TargetEntry], changes: Iterable[TargetChange]
) -> list[TargetChange]:
    """Leave out changes that bring nothing new after what was known and the changes before them.

    Args:
        known: The entries before the changes, by identity.
        changes: The changes, in their order.

    Returns:
        Those that change an entry, and all removals: without that of an entry that came with the
        same changes, or that only peers had, these kept a target that had left, and sent it
        requests.
    """
    present: dict[str, TargetEntry | None] = dict(known)
    found = []
    for change in changes:
        if change.entry is None or present.get(change.id) != change.entry:
            found.append(change)
        present[change.id] = change.entry
    return found


class TargetView:
    """The entries as one instance knows them."""

    def __init__(self) -> None:
        self._entries: dict[str, TargetEntry] = {}
        self._positions: dict[str, positions.Position] = {}
        self._doubted: dict[str, _Doubted] = {}
        self._removals: dict[str, float] = {}
        self._leaving: set[str] = set()
        # By identity, when the latest process known to have it was born.
        self._born: dict[str, int] = {}
        self.position = positions.ABSENT
        """Position up to which every change is known."""

    @property
    def entries(self) -> Mapping[str, TargetEntry]:
        """The entries by identity."""
        return self._entries

    def confirmed_entries(self) -> dict[str, TargetEntry]:
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
            Whether an entry changed in more than its position.
        """
        is_changed = False
        for change in changes:
            if change.position <= self._positions.get(change.id, positions.ABSENT):
                continue
            self._positions[change.id] = change.position
            self._doubted.pop(change.id, None)
            if change.entry is None:
                is_changed |= self._remove(change.id, hold_until)
            else:
                is_changed |= self._put(change.entry)
        return is_changed

    def replace(
        self,
        entries: Iterable[TargetChange],
        position: positions.Position,
        hold_until: float,
        doubt_until: float = 0.0,
        held: Mapping[str, float] | None = None,
    ) -> bool:
        """Take in all entries as they were at one position.

        Args:
            entries: All entries.
            position: The position.
            hold_until: Time before which missing entries are kept; 0 for no such time.
            doubt_until: Time before which entries that were gone are not believed if the store came
                back from an older copy.
            held: By identity, the times before which certain missing entries are kept.

        Returns:
            Whether an entry changed in more than its position.
        """
        held = held or {}
        listed = list(entries)
        present = {change.id for change in listed}
        for name in self._doubted.keys() - present:
            del self._doubted[name]
        listed = self._without_doubted(listed, doubt_until)
        is_changed = self.apply(listed, hold_until)
        for name in list(self._entries):
            if name not in present and self._positions.get(name, positions.ABSENT) <= position:
                is_changed |= self._remove(name, held.get(name, hold_until))
        self.position = max(self.position, position)
        return is_changed

    def _without_doubted(self, listed: list[TargetChange], until: float) -> list[TargetChange]:
        """Set the entries aside that were known to be gone before the store's return.

        Requests would go to targets that had left for good: the copy is older than their leaving.
        """
        doubted = [
            change
            for change in listed
            if change.entry is not None
            and self._is_gone_since(change.position.era, change.id)
            and change.entry.born <= self._born.get(change.id, 0)
        ]
        for change in doubted:
            self._positions[change.id] = change.position
            self._doubted[change.id] = _Doubted(change, until)
        names = {change.id for change in doubted}
        return [change for change in listed if change.id not in names]

    def _is_gone_since(self, era: int, name: str) -> bool:
        """Say whether an entry was known to be gone before an era began."""
        known = self._positions.get(name)
        return known is not None and name not in self._entries and known.era < era

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

    def accept_doubted(self, now: float) -> bool:
        """Take in the doubted entries that are still there when dead targets' entries have gone.

        Args:
            now: The present, in seconds.

        Returns:
            Whether an entry is used from now on.
        """
        due = [found.change for found in self._doubted.values() if found.until <= now]
        for change in due:
            del self._doubted[change.id]
            if change.entry is not None:
                self._put(change.entry)
        return bool(due)

    def all_changes(self) -> list[TargetChange]:
        """List all entries that no removal is pending for, for a peer that knows nothing."""
        return [self._as_change(name) for name in self._entries if name not in self._removals]

    def _as_change(self, name: str) -> TargetChange:
        position = self._positions.get(name, positions.ABSENT)
        return TargetChange(name, position, self._entries[name])

    def unsettled(self, now: float) -> list[Unsettled]:
        """List the entries that are not settled, for a peer that is given all entries.

        Args:
            now: The present, in seconds.

        Returns:
            The entries.
        """
        held = [
            Unsettled(self._as_change(name), UnsettledReason.HELD, until - now)
            for name, until in self._removals.items()
            if name in self._entries
        ]
        doubted = [
            Unsettled(found.change, UnsettledReason.DOUBTED, found.until - now)
            for found in self._doubted.values()
        ]
        return held + doubted

    def corrections(self, listed: Iterable[TargetChange], now: float) -> list[Unsettled]:
        """Find what is known better than a peer that lists entries: it may have just started.

        Args:
            listed: What the peer lists.
            now: The present, in seconds.

        Returns:
            Of those the entries that are doubted here, and those whose targets are leaving.
        """
        used = {c.id for c in listed if c.entry is not None and not c.entry.is_leaving}
        doubted = [
            one
            for one in self.unsettled(now)
            if one.reason is UnsettledReason.DOUBTED and one.change.id in used
        ]
        leaving = [
            Unsettled(self._as_change(name), UnsettledReason.LEAVING)
            for name in self._leaving & used & self._entries.keys()
        ]
        return doubted + leaving

    def apply_unsettled(self, found: Iterable[Unsettled], now: float) -> bool:
        """Hold up, doubt and leave alone what a peer does, unless more is known here.

        Args:
            found: What is not settled at the peer.
            now: The present, in seconds.

        Returns:
            Whether an entry changed.
        """
        is_changed = False
        for one in found:
            if self._positions.get(one.change.id, positions.ABSENT) <= one.change.position:
                is_changed |= self._apply_unsettled_entry(one, now)
        return is_changed

    def _apply_unsettled_entry(self, one: Unsettled, now: float) -> bool:
        change = one.change
        if change.entry is None:
            return False
        if one.reason is UnsettledReason.LEAVING:
            return self._put(dataclasses.replace(change.entry, is_leaving=True))
        if one.reason is UnsettledReason.HELD:
            if change.id in self._positions:
                # Known here, and held or gone by what is known here.
                return False
            self._positions[change.id] = change.position
            self._removals[change.id] = now + one.seconds
            self._entries[change.id] = change.entry
            return True
        self._positions[change.id] = change.position
        self._doubted.setdefault(change.id, _Doubted(change, now + one.seconds))
        self._removals.pop(change.id, None)
        return self._entries.pop(change.id, None) is not None

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
