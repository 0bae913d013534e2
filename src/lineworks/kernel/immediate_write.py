"""Writes that leave at once, and not when the reactor gets to them.

Twisted keeps what is written until all that arrived together has been dealt with. A search that
asks a hundred targets, or reads as many answers, is at work for many milliseconds by then.
"""

from __future__ import annotations

from typing import Any

from twisted.internet import abstract


def write(transport: Any, data: bytes) -> None:
    """Write, and hand the system at once what it takes; the rest leaves as usual.

    Args:
        transport: The transport, of Twisted or a stand-in.
        data: The bytes.
    """
    transport.write(data)
    # A transport that is lost has no socket left. What fails now is left to the reactor: it still
    # watches the transport, tries again and reports the loss.
    is_real = isinstance(transport, abstract.FileDescriptor)
    if is_real and transport.connected and not transport.disconnecting:
        transport.doWrite()
