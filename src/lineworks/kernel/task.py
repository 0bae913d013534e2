"""Long-running coroutines that a service starts and stops."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import structlog
from twisted.internet import defer

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

_log = structlog.get_logger(component="task")


class Task:
    """Runs a coroutine until it returns or is stopped, and logs an exception that it raises."""

    def __init__(self, name: str, make_coroutine: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Initialise without running the coroutine.

        Args:
            name: Name of the task for the logs.
            make_coroutine: Called by `start` to create the coroutine.
        """
        self._name = name
        self._make_coroutine = make_coroutine
        self._running: defer.Deferred[None] | None = None

    def start(self) -> None:
        """Start the coroutine."""
        self._running = defer.ensureDeferred(self._make_coroutine())
        self._running.addErrback(self._on_error)

    def stop(self) -> None:
        """Cancel the coroutine at its current await."""
        if self._running is not None:
            self._running.cancel()

    def _on_error(self, failure: Any) -> None:
        if not failure.check(defer.CancelledError):
            _log.error("task_failed", task=self._name, error=failure.getTraceback())


def sleep(clock: Any, seconds: float) -> defer.Deferred[None]:
    """Wait for a duration.

    Args:
        clock: Twisted's reactor.
        seconds: Duration in seconds.

    Returns:
        A deferred that fires after the duration; cancelling it cancels the timer.
    """
    elapsed: defer.Deferred[None] = defer.Deferred(lambda _: call.cancel())
    call = clock.callLater(seconds, elapsed.callback, None)
    return elapsed
