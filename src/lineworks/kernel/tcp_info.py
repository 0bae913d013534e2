"""TCP statistics that the operating system keeps for a connection."""

from __future__ import annotations

import socket
import struct
from typing import Any

_INFO_BYTES = 104
_LAST_DATA_RECEIVED = struct.Struct("=52xI")
"""Location of `tcpi_last_data_recv` in Linux's `tcp_info`: milliseconds since data last arrived."""

_RTT = struct.Struct("=68xI")
"""Location of `tcpi_rtt` in `tcp_info`: the smoothed round-trip time in microseconds."""

MAX_READ_DELAY_SECONDS = 10.0
"""Upper limit in seconds for a plausible read delay; a longer one is ignored, since no caller waits
that long for its request to be read."""


def round_trip(handle: Any) -> float | None:
    """Return the round-trip time of a connection; at first that of its handshake.

    Args:
        handle: The connection's socket.

    Returns:
        Seconds, or None if the operating system does not provide it.
    """
    microseconds = _field(handle, _RTT)
    return microseconds / 1e6 if microseconds else None


def read_delay(handle: Any) -> float:
    """Return how long the newest data of a connection waited in the socket buffer before the read.

    Args:
        handle: The connection's socket, which has just been read.

    Returns:
        Seconds; 0 if the operating system does not provide it.
    """
    seconds = (_field(handle, _LAST_DATA_RECEIVED) or 0) / 1000
    return seconds if seconds <= MAX_READ_DELAY_SECONDS else 0.0


def _field(handle: Any, layout: struct.Struct) -> int | None:
    try:
        info = handle.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _INFO_BYTES)
    except OSError:
        # Not all systems support TCP_INFO. A log line for each connection would add no information.
        return None
    if len(info) < layout.size:
        return None
    value: int = layout.unpack_from(info)[0]
    return value
