"""Writes log lines before the log library is imported.

A standard output that is closed, full or never read must neither end nor hold up a process that
starts or stops: lines that it doesn't accept in time are dropped.
"""

from __future__ import annotations

import json
import os
import select
import time
from typing import Any

STDOUT = 1

WAIT_SECONDS = 0.2
"""Maximum total time in seconds for which a process waits until these lines can be written."""

_seconds_waited = [0.0]


def write_line(level: str, event: str, **fields: Any) -> None:
    """Write a log line as `_node_logs` does, without the log library.

    Args:
        level: Level of the line, such as "warning".
        event: Name of the event.
        **fields: Fields of the line, which JSON can represent.
    """
    now = time.clock_gettime(time.CLOCK_BOOTTIME)
    line = {"component": "node", **fields, "event": event, "t": round(now, 4), "level": level}
    _write(json.dumps(line).encode() + b"\n")


def _write(data: bytes) -> None:
    # A pipe that is ready takes this much at once, also if writing to it may block.
    while data and _is_ready():
        try:
            written = os.write(STDOUT, data[: select.PIPE_BUF])
        except OSError:
            # The reader has gone, or there is no room; there is nowhere else to log it.
            return
        data = data[written:]


def _is_ready() -> bool:
    """Wait until standard output can be written, or until the time of all waiting is used up."""
    poll = select.poll()
    poll.register(STDOUT, select.POLLOUT)
    began_at = time.monotonic()
    is_ready = bool(poll.poll(max(0.0, WAIT_SECONDS - _seconds_waited[0]) * 1000))
    _seconds_waited[0] += time.monotonic() - began_at
    return is_ready
