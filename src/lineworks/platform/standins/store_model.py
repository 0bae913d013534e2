"""In-memory model of the platform's store: revisions, history, transactions and leases.

It can be restored from an older copy of itself: what was written since is lost, and revisions and
lease numbers are issued again.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

PAGE_ITEMS = 500
"""Maximum number of items in a page of a listing."""

_FIRST_LEASE = 1001


class CompactedError(Exception):
    """The history after a revision is no longer available."""


class MismatchError(Exception):
    """A key did not have the expected revision."""


class LeaseNotFoundError(Exception):
    """The lease does not exist or has ended."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoredItem:
    """A key with its value, revisions and lease."""

    key: str
    value: str
    revision: int
    created: int
    lease: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoredChange:
    """A change: the item as written, or None for a removed key."""

    key: str
    revision: int
    item: StoredItem | None


@dataclasses.dataclass(frozen=True, slots=True)
class StoreCopy:
    """State of the store at one time."""

    revision: int
    items: dict[str, StoredItem]
    history: list[StoredChange]
    forgotten: int
    leases: dict[int, tuple[float, float]]
    next_lease: int


class StoreModel:
    """Contents and semantics of the store."""

    def __init__(self, clock: Any) -> None:
        """Create an empty store.

        Args:
            clock: Clock, for leases.
        """
        self._clock = clock
        self._items: dict[str, StoredItem] = {}
        self._history: list[StoredChange] = []
        self._compacted_revision = 0
        self._leases: dict[int, tuple[float, float]] = {}
        self._next_lease = _FIRST_LEASE
        self._watchers: list[tuple[str, Callable[[], None]]] = []
        self.revision = 0
        """Revision of the last change."""
        self.era = 1
        """Era: 1 plus the number of times the store was restored from a copy."""

    def copy(self) -> StoreCopy:
        """Return a copy of the whole state."""
        return StoreCopy(
            self.revision,
            dict(self._items),
            list(self._history),
            self._compacted_revision,
            dict(self._leases),
            self._next_lease,
        )

    def restore(self, copy: StoreCopy) -> None:
        """Restore an older copy and notify all watchers, so that they ask again.

        Args:
            copy: The copy.
        """
        self.revision = copy.revision
        self._items = dict(copy.items)
        self._history = list(copy.history)
        self._compacted_revision = copy.forgotten
        self._leases = dict(copy.leases)
        self._next_lease = copy.next_lease
        self.era += 1
        waiting, self._watchers = self._watchers, []
        for _, on_change in waiting:
            on_change()

    def get(self, key: str) -> StoredItem | None:
        """Return the item of a key, or None if it does not exist."""
        self._expire()
        return self._items.get(key)

    def page(self, prefix: str, after: str) -> tuple[list[StoredItem], bool]:
        """Read one page of the items below a prefix.

        Args:
            prefix: The prefix.
            after: Key after which the page starts.

        Returns:
            The items, and whether there are more.
        """
        self._expire()
        keys = sorted(key for key in self._items if key.startswith(prefix) and key > after)
        found = [self._items[key] for key in keys[:PAGE_ITEMS]]
        return found, len(keys) > PAGE_ITEMS

    def changes(self, prefix: str, after: int) -> list[StoredChange]:
        """List the changes below a prefix.

        Args:
            prefix: The prefix.
            after: Revision after which the changes start.

        Returns:
            The changes, in order.

        Raises:
            CompactedError: Some of them were compacted, or the store has not reached that
                revision.
        """
        self._expire()
        if after < self._compacted_revision or after > self.revision:
            raise CompactedError
        return [c for c in self._history if c.revision > after and c.key.startswith(prefix)]

    def transact(
        self,
        expected: Sequence[tuple[str, int]],
        writes: Sequence[tuple[str, str, int]],
        removed: Sequence[str],
    ) -> int:
        """Apply a transaction atomically.

        Args:
            expected: Keys with the revision that each must have; 0 for a key that must not exist.
            writes: Keys with value and lease number; 0 for no lease.
            removed: Keys to remove.

        Returns:
            Revision of the change.

        Raises:
            MismatchError: A key did not have the expected revision.
            LeaseNotFoundError: A lease does not exist or has ended.
        """
        self._expire()
        for key, revision in expected:
            item = self._items.get(key)
            if (item.revision if item else 0) != revision:
                raise MismatchError
        if any(lease and lease not in self._leases for _, _, lease in writes):
            raise LeaseNotFoundError
        self.revision += 1
        for key, value, lease in writes:
            self._put_item(key, value, lease)
        for key in removed:
            self._remove_item(key)
        self._notify_watchers()
        return self.revision

    def write(self, key: str, value: str) -> int:
        """Write a key without conditions, as operators and targets do."""
        return self.transact((), ((key, value, 0),), ())

    def remove(self, key: str) -> int:
        """Remove a key."""
        return self.transact((), (), (key,))

    def grant(self, seconds: float) -> int:
        """Create a lease and return its number."""
        lease = self._next_lease
        self._next_lease += 1
        self._leases[lease] = (self._clock.seconds() + seconds, seconds)
        return lease

    def renew(self, lease: int) -> float:
        """Renew a lease.

        Returns:
            Its duration, in seconds.

        Raises:
            LeaseNotFoundError: The lease does not exist or has ended.
        """
        self._expire()
        if lease not in self._leases:
            raise LeaseNotFoundError
        seconds = self._leases[lease][1]
        self._leases[lease] = (self._clock.seconds() + seconds, seconds)
        return seconds

    def end(self, lease: int) -> None:
        """End a lease and remove its keys."""
        self._leases.pop(lease, None)
        gone = [key for key, item in self._items.items() if item.lease == lease]
        if gone:
            self.revision += 1
            for key in gone:
                self._remove_item(key)
            self._notify_watchers()

    def compact(self) -> None:
        """Discard the history up to the current revision."""
        self._history.clear()
        self._compacted_revision = self.revision

    def wait(self, prefix: str, on_change: Callable[[], None]) -> Callable[[], None]:
        """Register a one-time watcher for a prefix.

        Args:
            prefix: The prefix.
            on_change: Called once at the next change below the prefix.

        Returns:
            A function that removes the watcher.
        """
        entry = (prefix, on_change)
        self._watchers.append(entry)

        def stop() -> None:
            if entry in self._watchers:
                self._watchers.remove(entry)

        return stop

    def _put_item(self, key: str, value: str, lease: int) -> None:
        old = self._items.get(key)
        created = old.created if old else self.revision
        item = StoredItem(key, value, self.revision, created, lease)
        self._items[key] = item
        self._history.append(StoredChange(key, self.revision, item))

    def _remove_item(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self._history.append(StoredChange(key, self.revision, None))

    def _expire(self) -> None:
        now = self._clock.seconds()
        for lease in [lease for lease, (until, _) in self._leases.items() if until <= now]:
            self.end(lease)

    def _notify_watchers(self) -> None:
        newest = {c.key for c in self._history if c.revision == self.revision}
        notified = [w for w in self._watchers if any(key.startswith(w[0]) for key in newest)]
        self._watchers = [watcher for watcher in self._watchers if watcher not in notified]
        for _, on_change in notified:
            on_change()
