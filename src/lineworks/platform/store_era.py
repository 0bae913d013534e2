"""Era of the platform's store as known to one process."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

if TYPE_CHECKING:
    from collections.abc import Callable

_log = structlog.get_logger(component="store")


class StoreEra:
    """Greatest known era; it increases when the store is restored from an older copy."""

    def __init__(self) -> None:
        self._era: int | None = None
        self.listeners: list[Callable[[], None]] = []
        """Called when a greater era shows that the store was restored from an older copy."""
        self.first_listeners: list[Callable[[], None]] = []
        """Called when the first era is learned; the store may just have been restored."""

    @property
    def value(self) -> int:
        """The greatest known era; 0 if none is known yet."""
        return self._era or 0

    def learn(self, era: int) -> None:
        """Record an era and call the listeners if it is the first or a greater one.

        Args:
            era: The era, from an answer of the store or from another instance.
        """
        before = self._era
        if before is not None and era <= before:
            return
        self._era = era
        if before is None:
            for listener in self.first_listeners:
                listener()
            return
        _log.warning("store_from_older_copy", era=era, before=before)
        for listener in self.listeners:
            listener()
