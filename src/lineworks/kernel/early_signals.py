"""Handles signals from the first statement of the process to its end.

By default these signals would end the process immediately, also while it is importing modules.
Callers are already connected to its open port by then, so their connections would be reset with
requests in flight. A signal that arrives before there is a handler for it is recorded.

This module must import neither Twisted nor `signal`, which are slow to import. `_signal` is the
part of `signal` that is built into the interpreter.
"""

from __future__ import annotations

import _signal  # type: ignore[import-not-found]
import time
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

_HANDLED = (_signal.SIGHUP, _signal.SIGTERM, _signal.SIGINT)

_stop_requested_at: list[float] = []
_stop_handlers: list[Callable[[float], None]] = []
_reloads_requested: list[int] = []
_reload_handlers: list[Callable[[], None]] = []


def install_handlers() -> None:
    """Record SIGTERM, SIGINT and SIGHUP, until there are handlers for them.

    The process that started this one may have blocked these signals, or ignored them.
    """
    _signal.signal(_signal.SIGHUP, _on_reload)
    _signal.signal(_signal.SIGTERM, _on_stop)
    _signal.signal(_signal.SIGINT, _on_stop)
    _signal.pthread_sigmask(_signal.SIG_UNBLOCK, _HANDLED)


def ignore() -> None:
    """Ignore further signals, so that they cannot change the exit code.

    While the interpreter shuts down, its signal handlers are gone. A signal that arrived after
    `stopped` was logged made the exit code -15, as if the stop had failed. Signals that are set to
    be ignored remain ignored.
    """
    for number in _HANDLED:
        _signal.signal(number, _signal.SIG_IGN)


def handle_stop(handle: Callable[[float], None]) -> None:
    """Set what is done at the first SIGTERM or SIGINT; if it has arrived already, do it now.

    Args:
        handle: Called once, between two instructions of the main thread or by `request_stop`, with
            the time of the signal in seconds on the clock of `steady_reactor`. It replaces an
            earlier one.
    """
    _stop_handlers.clear()
    # Added before the look for an earlier signal: one that arrives in between finds the handler.
    _stop_handlers.append(handle)
    if _stop_requested_at:
        _call_handlers()


def is_stop_requested() -> bool:
    """Return whether SIGTERM or SIGINT has arrived; a start that waits for something must look."""
    return bool(_stop_requested_at)


def wake(descriptor: int) -> None:
    """Write the number of each signal to a descriptor as soon as the signal arrives.

    The handlers of Python wait until the main thread is between two of its instructions: for the
    end of a native call, and for the next event if the main thread is just about to wait for one.

    Args:
        descriptor: Descriptor to write to; it must be non-blocking, and stay open until another
            one is set.
    """
    _signal.set_wakeup_fd(descriptor, warn_on_full_buffer=False)


def is_stop(number: int) -> bool:
    """Return whether a signal asks the process to stop.

    Args:
        number: Number of the signal.
    """
    return number in (_signal.SIGTERM, _signal.SIGINT)


def request_stop() -> None:
    """Begin to stop, as at SIGTERM; any thread may call it, and only the first call counts."""
    if _stop_requested_at:
        return
    _stop_requested_at.append(time.clock_gettime(time.CLOCK_BOOTTIME))
    _call_handlers()


def handle_reload(handle: Callable[[], None]) -> None:
    """Set what is done at each SIGHUP; if one has arrived since `forget_reloads`, do it now.

    Args:
        handle: Called between two instructions of the main thread.
    """
    _reload_handlers.append(handle)
    if _reloads_requested:
        _call_reload_handlers()


def forget_reloads() -> None:
    """Forget the SIGHUP that have arrived, because the settings are about to be read."""
    _reloads_requested.clear()


def _on_stop(number: int, frame: Any) -> None:
    request_stop()


def _call_handlers() -> None:
    try:
        handle = _stop_handlers.pop()
    except IndexError:
        # There is none yet, or another thread has called it.
        return
    handle(_stop_requested_at[0])


def _on_reload(number: int, frame: Any) -> None:
    _reloads_requested.append(number)
    _call_reload_handlers()


def _call_reload_handlers() -> None:
    for handle in _reload_handlers:
        _reloads_requested.clear()
        handle()
