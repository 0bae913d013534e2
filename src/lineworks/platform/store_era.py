"""Which era the platform's store is in, as one process knows it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

if TYPE_CHECKING:
    from collections.abc import Callable

_log = structlog.get_logger(component="store")


class StoreEra:
    """The greatest era that was heard of; it rises when the store returns from an older copy."""

    def __init__(self) -> None:
        self._era: int | None = None
        self.listeners: list[Callable[[], None]] = []
        """Called when the store is known to have come back from an older copy."""
        self.first_listeners: list[Callable[[], None]] = []
        """Called when an era is known for the first time; the store may have just come back."""

    @property
    def value(self) -> int:
        """The era; 0 while none is known."""
        return self._era or 0

    def learn(self, era: int) -> None:
        """Take in an era.

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
