"""What the operating system measured on a TCP connection."""

from __future__ import annotations

import socket
import struct
from typing import Any

_INFO_BYTES = 104
_LAST_RECEIVED = struct.Struct("=52xI")
"""Where Linux keeps the milliseconds since data last came, in its `tcp_info`."""

_RTT = struct.Struct("=68xI")
"""Where it keeps the smoothed round trip, in microseconds."""

MOST_WAITED_SECONDS = 10.0
"""Seconds above which a wait is not believed: no caller waits so long to be read."""


def round_trip(handle: Any) -> float | None:
    """Tell the round trip of a connection, as it was measured in the handshake at first.

    Args:
        handle: Its socket.

    Returns:
        Seconds, or None where the system does not tell.
    """
    microseconds = _field(handle, _RTT)
    return microseconds / 1e6 if microseconds else None


def waited(handle: Any) -> float:
    """Tell how long the newest data of a connection has waited to be read.

    Args:
        handle: Its socket, just read.

    Returns:
        Seconds; 0 where the system does not tell.
    """
    seconds = (_field(handle, _LAST_RECEIVED) or 0) / 1000
    return seconds if seconds <= MOST_WAITED_SECONDS else 0.0


def _field(handle: Any, layout: struct.Struct) -> int | None:
    try:
        found = handle.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _INFO_BYTES)
    except OSError:
        # Not every system has it, and a line for each connection would tell nothing new.
        return None
    if len(found) < layout.size:
        return None
    value: int = layout.unpack_from(found)[0]
    return value
