"""Opens a listening port before any slow import, and closes it without losing connections.

A starting process spends some tenths of a second on imports. If the port were closed meanwhile, the
operating system would refuse callers' connections and they would use up their retries. With the
port open, their connections wait in the backlog until the reactor takes over. This module therefore
must not import Twisted at module level.
"""

from __future__ import annotations

import socket
from typing import Any

BACKLOG = 512
"""Maximum number of connections that wait to be accepted."""


def open_port(host: str, port: int) -> socket.socket:
    """Listen on a TCP port.

    Args:
        host: IPv4 address.
        port: Port number; 0 for any free port.

    Returns:
        The listening socket, in non-blocking mode.

    Raises:
        OSError: The port is in use, or the address does not belong to this machine.
    """
    listening_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening_socket.setblocking(False)
        listening_socket.bind((host, port))
        listening_socket.listen(BACKLOG)
    except OSError:
        listening_socket.close()
        raise
    return listening_socket


def adopt(reactor: Any, listening_socket: socket.socket, factory: Any) -> Any:
    """Hand a listening socket to a reactor, which accepts the connections waiting on it.

    Args:
        reactor: Twisted's reactor.
        listening_socket: A socket returned by `open_port`. It is closed here; the reactor keeps a
            duplicate.
        factory: Twisted factory that builds the protocol of each connection.

    Returns:
        Twisted's listening port.
    """
    port = reactor.adoptStreamPort(listening_socket.fileno(), socket.AF_INET, factory)
    listening_socket.close()
    return port


def close(port: Any) -> None:
    """Accept the connections waiting on a listening port, then close the port.

    The operating system resets connections that are established but not accepted yet. Their callers
    may have sent requests already and could not tell that these were never read.

    Args:
        port: Twisted's listening port.
    """
    from twisted.internet import main
    from twisted.python import failure

    # Twisted adapts the number of accepts per read event to the recent load.
    port.numberAccepts = BACKLOG
    port.doRead()
    # `stopListening` would close the port only in the next reactor iteration, and connections made
    # until then would be reset.
    port.connectionLost(failure.Failure(main.CONNECTION_DONE))
