"""Counts the reads of the platform's store by their outcome, and logs unexpected failures."""

from __future__ import annotations

import collections
import enum
from typing import TYPE_CHECKING, Any

from lineworks.kernel import failure_log

if TYPE_CHECKING:
    from lineworks.decisions import positions


class ReadOutcome(enum.Enum):
    """How a read of the store ended."""

    CHANGED = "changed"
    """There were changes since the last read."""

    UNCHANGED = "unchanged"
    """There were none."""

    LISTED = "listed"
    """All items were listed."""

    FAILED = "failed"
    """The store did not answer, or refused."""

    REJECTED = "rejected"
    """The store answered, and the answer could not be processed."""


class StoreReads:
    """The outcomes of the reads of one instance."""

    def __init__(self, clock: Any) -> None:
        """Initialise without any read.

        Args:
            clock: Clock with the interface of Twisted's `IReactorTime`.
        """
        self._failures = failure_log.FailureLog(clock, "directory", "ask_failed")
        self.counts: collections.Counter[str] = collections.Counter(
            dict.fromkeys((outcome.value for outcome in ReadOutcome), 0)
        )
        """Number of reads so far, by outcome."""

    def count(self, outcome: ReadOutcome) -> None:
        """Count a read.

        Args:
            outcome: How it ended.
        """
        self.counts[outcome.value] += 1
        if outcome not in (ReadOutcome.FAILED, ReadOutcome.REJECTED):
            self._failures.on_success()

    def on_rejected(self, error: Exception, position: positions.Position) -> None:
        """Count a read whose answer could not be processed; log it unless it is a repetition.

        Args:
            error: The error.
            position: Position after which the store was read.
        """
        self.count(ReadOutcome.REJECTED)
        self._failures.on_failure(error, revision=position.revision, era=position.era)
