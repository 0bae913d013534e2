"""Rows of the platform's store that can't be used: counted, and logged once for each revision."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from lineworks.kernel import rate_limited_log

if TYPE_CHECKING:
    from collections.abc import Collection

    from lineworks.decisions import positions

MAX_LINES_PER_SECOND = 5.0
"""Maximum number of log lines per second: anybody may write any number of such rows."""

MAX_KEYS = 1000
"""Maximum number of keys that are remembered, which bounds the memory."""

MAX_KEY_CHARACTERS = 120
"""Maximum length of a key in a log line, in characters."""


class RefusedRows:
    """Remembers the keys whose newest row was refused."""

    def __init__(self, clock: Any, component: str) -> None:
        """Initialise without any row.

        Args:
            clock: Clock with the interface of Twisted's `IReactorTime`.
            component: Name of the logging component.
        """
        self._log = rate_limited_log.RateLimitedLog(clock, component, MAX_LINES_PER_SECOND)
        self._positions: dict[str, positions.Position] = {}
        self.total = 0
        """Number of rows refused so far; a row that is read again is not counted again."""

    @property
    def current(self) -> int:
        """Number of keys whose newest row is refused, at most `MAX_KEYS`."""
        return len(self._positions)

    def refuse(self, event: str, key: str, position: positions.Position, reason: str) -> None:
        """Count and log a row, unless the same revision was refused before.

        Args:
            event: Name of the log event.
            key: Key of the row.
            position: Position of the row.
            reason: Why it can't be used.
        """
        if self._positions.get(key) == position:
            return
        self._positions.pop(key, None)
        if len(self._positions) >= MAX_KEYS:
            del self._positions[next(iter(self._positions))]
        self._positions[key] = position
        self.total += 1
        self._log.info(
            event,
            key=ascii(key)[1:-1][:MAX_KEY_CHARACTERS],
            revision=position.revision,
            era=position.era,
            error=reason,
        )

    def skip(self, position: positions.Position, reason: str) -> None:
        """Count and log a row without a usable key or revision.

        Args:
            position: Position of the answer that contained it.
            reason: Why it can't be used.
        """
        self.total += 1
        self._log.info("row_skipped", revision=position.revision, era=position.era, error=reason)

    def accept(self, key: str) -> None:
        """Forget a key whose newest row can be used or was removed.

        Args:
            key: The key.
        """
        self._positions.pop(key, None)

    def keep_only(self, keys: Collection[str]) -> None:
        """Forget all keys that are no longer in the store.

        Args:
            keys: All keys of the store.
        """
        for key in self._positions.keys() - set(keys):
            del self._positions[key]
