"""Passes what was read from the platform's store on to the services of an instance.

The position of the reader has moved on by then, so that what a service did not get would not be
read again. So a failure is contained: it affects neither the other services nor other rows, and
what a service failed to take over is reported to it again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from lineworks.forwarding import refused_rows
from lineworks.kernel import failure_log

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from lineworks.platform import store_items

    RowListener = Callable[[Sequence[store_items.Change]], None]

RETRY_SECONDS = 0.4
"""Seconds after which a service is told again of what it failed to take over."""


class ReadListeners:
    """The services that follow the store."""

    def __init__(self, clock: Any) -> None:
        """Initialise without services.

        Args:
            clock: Clock with the interface of Twisted's `IReactorTime`.
        """
        self._clock = clock
        self._log = failure_log.FailureLog(clock, "directory", "listener_failed")
        self._unreported: dict[str, Callable[[], None]] = {}
        self._report_at = 0.0
        self.rows: dict[str, RowListener] = {}
        """Services that are handed the rows of each read, by name for the logs."""
        self.refused = refused_rows.RefusedRows(clock, "directory")
        """Rows that a service failed on."""
        self.failures = 0
        """Number of times that a service failed to take over a configuration or the targets."""

    def hand_on(self, rows: Sequence[store_items.Change]) -> None:
        """Hand rows to each service.

        Args:
            rows: The rows of a read.
        """
        for name, listener in self.rows.items():
            self._hand_on_to(name, listener, rows)

    def _hand_on_to(
        self, name: str, listener: RowListener, rows: Sequence[store_items.Change]
    ) -> None:
        """Hand rows to a service; if it fails, one by one."""
        try:
            listener(rows)
        except Exception as error:
            if len(rows) == 1:
                row = rows[0]
                reason = f"{name}: {error!r}"[: failure_log.MAX_ERROR_CHARACTERS]
                self.refused.refuse("row_refused", row.key, row.position, reason)
                return
            for row in rows:
                self._hand_on_to(name, listener, [row])
        else:
            for row in rows:
                self.refused.accept(row.key)

    def report(self, name: str, listener: Callable[[], None]) -> None:
        """Let a service take something over, now and again until it succeeds.

        Args:
            name: Name of what is taken over; a later report of the same name replaces it.
            listener: Takes it over.
        """
        self._unreported.pop(name, None)
        try:
            listener()
        except Exception as error:
            self.failures += 1
            self._log.on_failure(error, listener=name)
            self._unreported[name] = listener
            self._report_at = self._clock.seconds() + RETRY_SECONDS

    def repeat_reports(self) -> None:
        """Repeat the reports that failed, if their time has come."""
        if self._unreported and self._clock.seconds() >= self._report_at:
            for name, listener in list(self._unreported.items()):
                self.report(name, listener)
