"""Signals that come while a process is still importing.

By default they would end it on the spot: callers wait on its open port by then, and their
connections would be reset with requests in them. The module imports nothing of Twisted.
"""

from __future__ import annotations

import signal
import time
from typing import Any

_stop_asked_at: list[float] = []


def install_handlers() -> None:
    """Note signals to stop, and ignore the one that settings changed: they are read later."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, _on_stop)


def stop_requested_at() -> float | None:
    """Tell when a signal to stop came.

    Returns:
        Seconds on the clock of `steady_reactor`, or None when none came.
    """
    return _stop_asked_at[0] if _stop_asked_at else None


def _on_stop(number: int, frame: Any) -> None:
    _stop_asked_at.append(time.clock_gettime(time.CLOCK_BOOTTIME))
