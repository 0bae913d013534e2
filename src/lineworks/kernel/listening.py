"""Opens a listening port before anything slow is imported.

A process that starts imports for some tenths of a second. Callers who connect in that time would be
refused by the operating system and use up their retries; on an open port they wait until the
reactor takes the port over. The module imports nothing of Twisted before that for this reason.
"""

from __future__ import annotations

import socket
from typing import Any

BACKLOG = 512
"""Connections that may wait to be accepted."""


def open_port(host: str, port: int) -> socket.socket:
    """Listen on a TCP port.

    Args:
        host: IPv4 address.
        port: Port; 0 for any.

    Returns:
        The listening socket, which does not block.

    Raises:
        OSError: The port is in use, or the address is not this machine's.
    """
    opened = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        opened.setblocking(False)
        opened.bind((host, port))
        opened.listen(BACKLOG)
    except OSError:
        opened.close()
        raise
    return opened


def adopt(reactor: Any, opened: socket.socket, factory: Any) -> Any:
    """Hand a listening socket to a reactor; connections that wait on it are accepted.

    Args:
        reactor: Twisted's reactor.
        opened: What `open_port` returned; it is closed, the reactor keeps a copy.
        factory: Makes the protocol of each connection.

    Returns:
        Twisted's port.
    """
    port = reactor.adoptStreamPort(opened.fileno(), socket.AF_INET, factory)
    opened.close()
    return port


def close(port: Any) -> None:
    """Close a listening port after accepting what waits on it.

    The system resets connections that are established and not accepted yet; their callers have
    sent requests by then and could not know that nothing read them.

    Args:
        port: Twisted's port.
    """
    from twisted.internet import main
    from twisted.python import failure

    # Twisted adapts this number to how many waited lately.
    port.numberAccepts = BACKLOG
    port.doRead()
    # At once: `stopListening` closes in the next turn, and what connects until then is reset.
    port.connectionLost(failure.Failure(main.CONNECTION_DONE))
