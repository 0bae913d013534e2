"""Long-running coroutines that a service starts and stops."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import structlog
from twisted.internet import defer

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

_log = structlog.get_logger(component="task")


class Task:
    """Runs one coroutine until it ends or is stopped; an error in it is logged."""

    def __init__(self, name: str, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Make a task; nothing runs yet.

        Args:
            name: Name for logs.
            work: Makes the coroutine.
        """
        self._name = name
        self._work = work
        self._running: defer.Deferred[None] | None = None

    def start(self) -> None:
        """Begin."""
        self._running = defer.ensureDeferred(self._work())
        self._running.addErrback(self._on_error)

    def stop(self) -> None:
        """End the coroutine where it waits."""
        if self._running is not None:
            self._running.cancel()

    def _on_error(self, failure: Any) -> None:
        if not failure.check(defer.CancelledError):
            _log.error("task_failed", task=self._name, error=failure.getTraceback())


def sleep(clock: Any, seconds: float) -> defer.Deferred[None]:
    """Wait.

    Args:
        clock: Twisted's reactor.
        seconds: How long.

    Returns:
        A deferred that fires then; cancelling it ends the wait.
    """
    waiting: defer.Deferred[None] = defer.Deferred(lambda _: call.cancel())
    call = clock.callLater(seconds, waiting.callback, None)
    return waiting
