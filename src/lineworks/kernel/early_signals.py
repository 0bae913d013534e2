"""Handles signals that arrive while the process is still importing modules.

By default these signals would terminate the process immediately. Callers are already connected to
its open port by then, so their connections would be reset with requests in flight. This module must
not import Twisted, which is slow to import.
"""

from __future__ import annotations

import signal
import time
from typing import Any

_stop_requested_at: list[float] = []


def install_handlers() -> None:
    """Record SIGTERM for later, and ignore SIGHUP, since the settings are yet to be read."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, _on_stop)


def stop_requested_at() -> float | None:
    """Return when the first SIGTERM arrived.

    Returns:
        Time in seconds on the clock of `steady_reactor`, or None if none arrived.
    """
    return _stop_requested_at[0] if _stop_requested_at else None


def _on_stop(number: int, frame: Any) -> None:
    _stop_requested_at.append(time.clock_gettime(time.CLOCK_BOOTTIME))
