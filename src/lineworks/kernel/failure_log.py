"""Logs a failure that goes on: at its first occurrence and then at long intervals."""

from __future__ import annotations

import traceback
from typing import TYPE_CHECKING, Any

import structlog

if TYPE_CHECKING:
    from collections.abc import Hashable

REPEAT_SECONDS = 30.0
"""Seconds after which a failure that goes on is logged again."""

MAX_FAILURES = 32
"""Maximum number of different failures that are remembered."""

MAX_ERROR_CHARACTERS = 300
"""Maximum length of an error in a log line, in characters."""


class FailureLog:
    """Logs the failures of one operation that is tried again and again."""

    def __init__(self, clock: Any, component: str, event: str) -> None:
        """Initialise without a failure.

        Args:
            clock: Clock with the interface of Twisted's `IReactorTime`.
            component: Name of the logging component.
            event: Name of the log event.
        """
        self._clock = clock
        self._event = event
        self._log = structlog.get_logger(component=component)
        # When each failure was logged last, and how often it occurred since.
        self._logged: dict[Hashable, tuple[float, int]] = {}

    def on_failure(self, error: Exception, **fields: Hashable) -> None:
        """Log a failure, unless the same one was logged less than `REPEAT_SECONDS` ago.

        Args:
            error: The error.
            **fields: Further fields; a failure is the same if its type and these are equal.
        """
        now = self._clock.seconds()
        fields["place"] = _place(error)
        failure = (type(error), *fields.items())
        logged_at, repeats = self._logged.pop(failure, (-REPEAT_SECONDS, 0))
        if now - logged_at < REPEAT_SECONDS:
            self._logged[failure] = (logged_at, repeats + 1)
            return
        if len(self._logged) >= MAX_FAILURES:
            del self._logged[next(iter(self._logged))]
        self._logged[failure] = (now, 0)
        text = repr(error)[:MAX_ERROR_CHARACTERS]
        self._log.error(self._event, error=text, repeats=repeats, **fields)

    def on_success(self) -> None:
        """Forget the failures, so that the next one is logged at once."""
        self._logged.clear()


def _place(error: Exception) -> str:
    """Return the function and line that raised an error; empty if it was not raised."""
    frames = traceback.extract_tb(error.__traceback__)
    return f"{frames[-1].name}:{frames[-1].lineno}" if frames else ""
