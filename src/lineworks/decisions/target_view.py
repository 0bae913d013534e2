"""Tracks the targets by the entries that they maintain in the platform's store.

Updates arrive as full listings and as changes, in any order; the position of each entry decides
which is newer. A target whose entry is gone takes no new work. After a store outage entries may be
missing only because they could not be renewed, so their removal is held until their targets have
had time to renew them. After the store was restored from an older copy, entries of targets that had
left may reappear; they are doubted, that is, not used, until they are written again, or until the
entries of dead targets would have expired.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

from lineworks.decisions import positions

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

REMOVAL_GRACE_SECONDS = 2.3
"""Seconds after the store is available again during which a missing entry is not removed: running
targets renew their entries within about two seconds, and a call takes some time."""

DOUBT_SECONDS = 5.0
"""Seconds for which an entry that reappeared from an older copy is not used: the entry of a dead
target expires after three missed heartbeats, which are slightly more than a second apart."""


MAX_GONE = 1500
"""Maximum number of entries that are gone whose positions are kept."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetEntry:
    """The entry that a target maintains in the store."""

    id: str
    """Identity of the target; a restarted process may have the same one."""

    service: str
    """Name of the service that it provides."""

    hall: str
    """Data hall in which it runs."""

    host: str
    """IP address."""

    port: int
    """TCP port."""

    slots: int
    """Maximum number of concurrent requests."""

    is_leaving: bool
    """Whether it is draining and takes no new work."""

    is_cold: bool
    """Whether it has just started and is slow."""

    born: int = 0
    """Start time of the process in Unix milliseconds, which distinguishes processes with the same
    identity; 0 if unknown."""

    @property
    def process_key(self) -> str:
        """Key of this process, unique among all processes with the same target identity."""
        return f"{self.id}@{self.born}" if self.born else self.id


@dataclasses.dataclass(frozen=True, slots=True)
class TargetChange:
    """A change of one entry."""

    id: str
    """Identity of the target."""

    position: positions.Position
    """Position of the change."""

    entry: TargetEntry | None
    """The entry, or None if it is gone or can't be used."""

    is_refused: bool = False
    """Whether an entry was written that can't be used, so that the target is not merely missing."""


class UnsettledReason(enum.Enum):
    """Why it is still uncertain whether an entry is valid."""

    HELD = "held"
    """It is missing from the store but still used, as it may return."""

    DOUBTED = "doubted"
    """It had been removed, reappeared from an older copy of the store, and is not used yet."""

    LEAVING = "leaving"
    """Its target is draining, which the older copy of the store does not show."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unsettled:
    """An entry whose validity is uncertain for a while."""

    change: TargetChange
    """The entry, with the position at which it was read."""

    reason: UnsettledReason
    """Why it is unsettled."""

    seconds: float = 0.0
    """Seconds until it is settled, unless an update arrives first."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Doubted:
    """An entry that had been removed and reappeared from an older copy of the store."""

    change: TargetChange
    until: float


def effective_changes(
    known: Mapping[str, TargetEntry], changes: Iterable[TargetChange]
) -> list[TargetChange]:
    """Filter out changes that repeat the known entry or an earlier change.

    Args:
        known: The entries before the changes, by identity.
        changes: The changes, in order.

    Returns:
        Changes that alter an entry, and all removals. A removal is kept even if the entry came
        with the same changes or was known only to peers: without it, peers kept a target that had
        left and sent it requests.
    """
    present: dict[str, TargetEntry | None] = dict(known)
    found = []
    for change in changes:
        is_earlier = (
            change.entry is not None
            and change.id in known
            and change.entry.born < known[change.id].born
        )
        # Whether an entry of an earlier process counts depends on its repetition.
        if change.entry is None or is_earlier or present.get(change.id) != change.entry:
            found.append(change)
        present[change.id] = change.entry
    return found


class TargetView:
    """The target entries, as known to one instance.

    The positions of entries that are gone are kept, so that late updates don't bring them back.
    Beyond `MAX_GONE` of them the oldest are forgotten; updates as old as these are ignored.
    """

    def __init__(self) -> None:
        self._entries: dict[str, TargetEntry] = {}
        self._positions: dict[str, positions.Position] = {}
        self._doubted: dict[str, _Doubted] = {}
        self._removals: dict[str, float] = {}
        self._leaving: set[str] = set()
        # By identity: start time of the latest known process.
        self._born: dict[str, int] = {}
        # By identity: start time of an earlier process that wrote after the latest known one.
        self._earlier: dict[str, int] = {}
        # Updates up to this position may be about entries whose end was forgotten.
        self._forgotten = positions.ABSENT
        self.position = positions.ABSENT
        """Position up to which all changes are known."""

    @property
    def entries(self) -> Mapping[str, TargetEntry]:
        """The entries by identity."""
        return self._entries

    def confirmed_entries(self) -> dict[str, TargetEntry]:
        """Return the entries without a pending removal.

        Returns:
            Entries by identity.
        """
        return {name: e for name, e in self._entries.items() if name not in self._removals}

    def apply(self, changes: Iterable[TargetChange], hold_until: float) -> bool:
        """Apply changes.

        Args:
            changes: The changes.
            hold_until: Time before which removed entries are kept, in seconds; 0 to remove them at
                once.

        Returns:
            Whether an entry was added, removed or changed in more than its position.
        """
        is_changed = False
        for change in changes:
            if change.position <= self._positions.get(change.id, self._forgotten):
                continue
            self._positions[change.id] = change.position
            self._doubted.pop(change.id, None)
            if change.entry is None:
                # Only a missing entry may be one that its target could not renew.
                is_changed |= self._remove(change.id, 0.0 if change.is_refused else hold_until)
            else:
                is_changed |= self._put(change.entry)
        self._forget_oldest_gone()
        return is_changed

    def _forget_oldest_gone(self) -> None:
        """Forget what is known of entries that are gone, if there are too many of them."""
        known = self._entries.keys() | self._doubted.keys()
        if len(self._positions) <= len(known) + MAX_GONE:
            return
        gone = sorted(self._positions.keys() - known, key=self._positions.__getitem__)
        for name in gone[: len(gone) // 2]:
            self._forgotten = max(self._forgotten, self._positions.pop(name))
            self._born.pop(name, None)
            self._earlier.pop(name, None)
            self._leaving.discard(name)

    def replace(
        self,
        entries: Iterable[TargetChange],
        position: positions.Position,
        hold_until: float,
        doubt_until: float = 0.0,
        held: Mapping[str, float] | None = None,
    ) -> bool:
        """Apply a full listing; entries that changed after its position are kept.

        Args:
            entries: All entries at the position.
            position: Position of the listing.
            hold_until: Time before which removed entries are kept, in seconds; 0 to remove them at
                once.
            doubt_until: Time before which entries that reappeared from an older copy of the store
                are not used, in seconds.
            held: Overrides `hold_until` for some entries, by identity.

        Returns:
            Whether an entry was added, removed or changed in more than its position.
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
        """Set aside the entries that were known to be gone before the store was restored.

        The older copy still has entries of targets that left for good; requests would go to them.
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
        """Return whether an entry was known to be gone before an era began."""
        known = self._positions.get(name)
        return known is not None and name not in self._entries and known.era < era

    def expire(self, now: float) -> bool:
        """Carry out the held removals that are due.

        Args:
            now: Current time in seconds.

        Returns:
            Whether there was one.
        """
        due = [name for name, at in self._removals.items() if at <= now]
        for name in due:
            del self._removals[name]
            self._entries.pop(name, None)
        return bool(due)

    def accept_doubted(self, now: float) -> bool:
        """Use the doubted entries that still exist after those of dead targets would have expired.

        Args:
            now: Current time in seconds.

        Returns:
            Whether there was one.
        """
        due = [found.change for found in self._doubted.values() if found.until <= now]
        for change in due:
            del self._doubted[change.id]
            if change.entry is not None:
                self._put(change.entry)
        return bool(due)

    def all_changes(self) -> list[TargetChange]:
        """Return all entries without a pending removal, for a peer that has just started."""
        return [self._as_change(name) for name in self._entries if name not in self._removals]

    def _as_change(self, name: str) -> TargetChange:
        position = self._positions.get(name, positions.ABSENT)
        return TargetChange(name, position, self._entries[name])

    def unsettled(self, now: float) -> list[Unsettled]:
        """Return the unsettled entries, for a peer that is sent all entries.

        Args:
            now: Current time in seconds.

        Returns:
            The held and the doubted entries.
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
        """Return what is missing in the listing of a peer, which may have just started.

        Args:
            listed: Entries that the peer lists.
            now: Current time in seconds.

        Returns:
            Those of the entries that are doubted here or whose targets are leaving.
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
        """Apply the unsettled entries of a peer, unless newer information is known here.

        Args:
            found: Unsettled entries of the peer.
            now: Current time in seconds.

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
                # Already known here; the local state decides whether it is held or gone.
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
        if entry.born < born and not self._is_repeated(entry):
            # A late update about an earlier process with the same identity.
            return False
        self._earlier.pop(entry.id, None)
        if entry.born != born:
            # Another process: nothing known about the previous one applies to it.
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

    def _is_repeated(self, entry: TargetEntry) -> bool:
        """Return whether a process that seems to be an earlier one has written before.

        An ended process may write once more, while a running one writes again and again. So the
        start time that is known must be wrong, which would hide its entries for ever.
        """
        if self._earlier.get(entry.id) == entry.born:
            return True
        self._earlier[entry.id] = entry.born
        return False

    def _remove(self, name: str, hold_until: float) -> bool:
        if name not in self._entries:
            return False
        if hold_until:
            self._removals.setdefault(name, hold_until)
            return False
        self._removals.pop(name, None)
        del self._entries[name]
        return True
