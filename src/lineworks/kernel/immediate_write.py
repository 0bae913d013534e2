"""Writes data to the socket immediately instead of waiting for the reactor.

Twisted buffers written data until all events of the current reactor iteration are processed. A
search that sends a hundred sub-queries, or reads as many replies, keeps the iteration busy for many
milliseconds.
"""

from __future__ import annotations

from typing import Any

from twisted.internet import abstract


def write(transport: Any, data: bytes) -> bool:
    """Write data and flush as much as the socket buffer accepts; the reactor sends the rest.

    Args:
        transport: A Twisted transport or a test double.
        data: Data to write.

    Returns:
        Whether nothing is left that the reactor has to send.
    """
    transport.write(data)
    # A lost transport has no socket any more. If the flush fails, the reactor handles it: it still
    # watches the transport, retries the write and reports the lost connection.
    is_real = isinstance(transport, abstract.FileDescriptor)
    if is_real and transport.connected and not transport.disconnecting:
        transport.doWrite()
        return not transport.dataBuffer
    return True
