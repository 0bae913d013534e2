"""The round trip of a TCP connection, as the operating system measured it in the handshake."""

from __future__ import annotations

import socket
import struct
from typing import Any

_INFO_BYTES = 104
_RTT = struct.Struct("=68xI")
"""Where Linux keeps the smoothed round trip, in microseconds, in its `tcp_info`."""


def measure(handle: Any) -> float | None:
    """Tell the round trip of a connection.

    Args:
        handle: Its socket.

    Returns:
        Seconds, or None where the system does not tell.
    """
    try:
        found = handle.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _INFO_BYTES)
    except OSError:
        # Not every system has it, and a line for each connection would tell nothing new.
        return None
    if len(found) < _RTT.size:
        return None
    microseconds: int = _RTT.unpack_from(found)[0]
    return microseconds / 1e6 if microseconds else None
