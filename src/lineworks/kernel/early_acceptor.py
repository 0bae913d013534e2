"""Accepts connections on a background thread while the process is still importing modules.

Callers connect to the open port and wait for the event loop to read their requests. On a machine
short of processor time the imports can take longer than the callers' time budgets. Until the event
loop runs, a thread accepts their connections and answers 503 (nothing was executed) to each request
whose budget is nearly used up. All other connections are handed to the event loop together with the
data received so far. This module must not import Twisted, which is slow to import.
"""

from __future__ import annotations

import dataclasses
import os
import selectors
import socket
import threading
import time
from typing import TYPE_CHECKING, Any

from lineworks.kernel import listening

if TYPE_CHECKING:
    from collections.abc import Callable

REFUSAL_BUDGET_FRACTION = 0.8
"""Fraction of a request's time budget after which it is refused. Most imports finish long before
that, and the remaining time is enough to deliver the response."""

POLL_SECONDS = 0.02
"""Interval in seconds at which budgets are checked while any connection is waiting."""

MAX_CONNECTIONS = 512
"""Maximum number of connections accepted; further ones stay in the backlog for the event loop."""

MAX_BUFFERED_BYTES = 65536
"""Maximum number of bytes read from a connection; the rest stays in its socket buffer."""

_HEAD_END = b"\r\n\r\n"

_REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\n"
    b"Retry-After: 1.00\r\n"
    b"Connection: close\r\n"
    b"Content-Length: 0\r\n\r\n"
)


@dataclasses.dataclass(slots=True, eq=False)
class _Connection:
    """A connection accepted before the event loop runs."""

    socket: socket.socket
    data: bytes = b""
    refuse_at: float = float("inf")
    is_refused: bool = False


class EarlyAcceptor:
    """Accepts connections on a listening socket until a reactor takes over."""

    def __init__(
        self, listening_socket: socket.socket, read_budget: Callable[[bytes], float | None]
    ) -> None:
        """Initialise without accepting connections yet.

        Args:
            listening_socket: The listening socket.
            read_budget: Returns the time budget in seconds that a request's head states, or None
                if it states none.
        """
        self._listening_socket = listening_socket
        self._read_budget = read_budget
        self._connections: dict[int, _Connection] = {}
        self._selector = selectors.DefaultSelector()
        self._wakeup_reader, self._wakeup_writer = os.pipe()
        self._thread = threading.Thread(target=self._run, name="early acceptor", daemon=True)
        self._errors: list[str] = []

    @property
    def errors(self) -> list[str]:
        """Errors that occurred before logging was set up."""
        return self._errors

    def start(self) -> None:
        """Start the thread that accepts connections."""
        self._selector.register(self._listening_socket, selectors.EVENT_READ)
        self._selector.register(self._wakeup_reader, selectors.EVENT_READ)
        self._thread.start()

    def adopt(self, reactor: Any, factory: Any) -> Any:
        """Stop the thread and hand the listening socket and the open connections to a reactor.

        Args:
            reactor: Twisted's reactor.
            factory: Twisted factory that builds the protocol of each connection.

        Returns:
            Twisted's listening port.
        """
        os.write(self._wakeup_writer, b"x")
        self._thread.join()
        self._selector.close()
        os.close(self._wakeup_writer)
        os.close(self._wakeup_reader)
        port = listening.adopt(reactor, self._listening_socket, factory)
        for connection in self._connections.values():
            if not connection.is_refused:
                _hand_over(reactor, factory, connection)
            connection.socket.close()
        return port

    def _run(self) -> None:
        while True:
            is_waiting = any(not connection.is_refused for connection in self._connections.values())
            ready = self._selector.select(POLL_SECONDS if is_waiting else None)
            for key, _ in ready:
                if key.fileobj == self._wakeup_reader:
                    return
                if key.fileobj is self._listening_socket:
                    self._accept()
                else:
                    self._read(self._connections[key.fd])
            self._refuse_due()

    def _accept(self) -> None:
        try:
            accepted, _ = self._listening_socket.accept()
        except BlockingIOError:
            # The peer disconnected before its connection was accepted.
            return
        except OSError as error:
            self._errors.append(repr(error))
            self._selector.unregister(self._listening_socket)
            return
        accepted.setblocking(False)
        self._connections[accepted.fileno()] = _Connection(accepted)
        self._selector.register(accepted, selectors.EVENT_READ)
        if len(self._connections) >= MAX_CONNECTIONS:
            self._selector.unregister(self._listening_socket)

    def _read(self, connection: _Connection) -> None:
        try:
            data = connection.socket.recv(MAX_BUFFERED_BYTES - len(connection.data))
        except BlockingIOError:
            return
        except OSError:
            # The peer reset the connection; the reactor detects that itself.
            data = b""
        connection.data += data
        if not data or len(connection.data) >= MAX_BUFFERED_BYTES:
            self._selector.unregister(connection.socket)
        if connection.refuse_at == float("inf") and _HEAD_END in connection.data:
            budget = self._read_budget(connection.data)
            if budget is not None:
                connection.refuse_at = _now() + REFUSAL_BUDGET_FRACTION * budget

    def _refuse_due(self) -> None:
        now = _now()
        for connection in self._connections.values():
            if not connection.is_refused and connection.refuse_at <= now:
                self._refuse(connection)

    def _refuse(self, connection: _Connection) -> None:
        connection.is_refused = True
        try:
            connection.socket.send(_REFUSAL)
            connection.socket.shutdown(socket.SHUT_WR)
        except OSError as error:
            self._errors.append(repr(error))


def _now() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def _hand_over(reactor: Any, factory: Any, connection: _Connection) -> None:
    """Hand a connection to a reactor and deliver the data already read from it."""
    try:
        connection.socket.getpeername()
    except OSError:
        # The peer has disconnected.
        return
    transport = reactor.adoptStreamConnection(connection.socket.fileno(), socket.AF_INET, factory)
    if connection.data:
        transport.protocol.dataReceived(connection.data)
