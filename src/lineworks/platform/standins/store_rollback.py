"""Rolls an in-memory store back to an older copy, as in the users' recovery drills."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Any

from lineworks.platform.standins import documents

if TYPE_CHECKING:
    from lineworks.platform.standins import store_model

COPY_INTERVAL_SECONDS = 0.2
"""Interval between copies, in seconds."""

COPY_RETENTION_SECONDS = 8.0
"""Age at which a copy is dropped, in seconds."""

REWRITE_DELAY_SECONDS = 0.6
"""Seconds from a rollback until operators and targets have written their keys again."""


class StoreRollback:
    """Copies of a store, and the keys that operators and targets rewrite after a rollback."""

    def __init__(self, clock: Any, model: store_model.StoreModel) -> None:
        """Create a rollback helper without copies.

        Args:
            clock: Clock with timers.
            model: The store.
        """
        self._clock = clock
        self._model = model
        self._copies: collections.deque[tuple[float, store_model.StoreCopy]] = collections.deque()
        self._external_before: dict[str, str] = {}

    def schedule_copies(self) -> None:
        """Copy the store now and periodically from now on."""
        self.take_copy()
        self._clock.callLater(COPY_INTERVAL_SECONDS, self.schedule_copies)

    def take_copy(self) -> None:
        """Copy the store and drop copies that are too old."""
        now = self._clock.seconds()
        self._copies.append((now, self._model.copy()))
        while self._copies[0][0] < now - COPY_RETENTION_SECONDS:
            self._copies.popleft()

    def newest_copy(self, at: float) -> store_model.StoreCopy:
        """Return the newest copy taken at or before a time, or else the oldest copy.

        Args:
            at: The time, in seconds.

        Returns:
            The copy.
        """
        older = [copy for taken, copy in self._copies if taken <= at]
        return older[-1] if older else self._copies[0][1]

    def restore(
        self, copy: store_model.StoreCopy, rewrite_delay: float = REWRITE_DELAY_SECONDS
    ) -> None:
        """Restore the store from a copy.

        Operators and targets later rewrite the keys that they had changed since the copy; what
        the instances had written since is lost.

        Args:
            copy: The copy.
            rewrite_delay: Seconds until the operators and targets have rewritten their keys.
        """
        self._external_before = self._external_items()
        self._model.restore(copy)
        self._clock.callLater(rewrite_delay, self._restore_external, copy.revision)

    def remove(self, key: str) -> None:
        """Remove a key on behalf of its writer, which then does not rewrite it."""
        self._external_before.pop(key, None)
        self._model.remove(key)

    def _external_items(self) -> dict[str, str]:
        """Return the values, by key, that operators and targets keep in the store."""
        return {
            item.key: item.value
            for prefix in documents.EXTERNAL_PREFIXES
            for item in self._model.page(prefix, "")[0]
        }

    def _restore_external(self, copied: int) -> None:
        """Restore keys of operators and targets unless they were written since the rollback."""
        saved, self._external_before = self._external_before, {}
        present = self._external_items()
        written = {change.key for change in self._model.changes("", copied)}
        for key, value in saved.items():
            if key not in written and present.get(key) != value:
                self._model.write(key, value)
        for key in present.keys() - saved.keys() - written:
            self._model.remove(key)
