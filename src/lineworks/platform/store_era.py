"""Era of the platform's store as known to one process."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_ERA = 2**63 - 1
"""Greatest era accepted; heartbeats carry 64 bits."""

MAX_ERA_STEP = 1000
"""Greatest increase of the era that is believed. It counts restores, which are rare; an answer of
an older era counts as outdated, so that a wrong one would shut out the store for ever."""

MAX_LOGGED_DIGITS = 40
"""Maximum number of digits of a refused era in the log."""

_log = structlog.get_logger(component="store")


class StoreEra:
    """Greatest known era; it increases when the store is restored from an older copy."""

    def __init__(self) -> None:
        self._era: int | None = None
        self._refused: int | None = None
        self.refused_count = 0
        """Number of times that an implausible era was refused."""
        self.listeners: list[Callable[[], None]] = []
        """Called when a greater era shows that the store was restored from an older copy."""
        self.first_listeners: list[Callable[[], None]] = []
        """Called when the first era is learned; the store may just have been restored."""

    @property
    def value(self) -> int:
        """The greatest known era; 0 if none is known yet."""
        return self._era or 0

    def is_plausible(self, era: int) -> bool:
        """Return whether an era can follow the greatest known one, or precedes it."""
        greatest = MAX_ERA if self._era is None else min(MAX_ERA, self._era + MAX_ERA_STEP)
        return 0 <= era <= greatest

    def learn(self, era: int) -> None:
        """Record an era and call the listeners if it is the first or a greater one.

        An implausible era is refused, with one log line as long as it is repeated.

        Args:
            era: The era, from an answer of the store or from another instance.
        """
        before = self._era
        if not self.is_plausible(era):
            self.refused_count += 1
            if era != self._refused:
                self._refused = era
                _log.error("store_era_refused", era=str(era)[:MAX_LOGGED_DIGITS], known=before)
            return
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
