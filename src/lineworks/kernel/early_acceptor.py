"""Accepts connections on a background thread while the process is still importing modules.

Callers connect to the open port and wait for the event loop to read their requests. On a machine
short of processor time the imports can take longer than the callers' time budgets. Until the event
loop runs, a thread accepts their connections and answers 503 (nothing was executed) to each request
whose budget is nearly used up. All other connections are handed to the event loop together with the
data received so far. The thread also begins a stop at a signal, since the main thread may be in a
native call of an import for seconds. This module must not import Twisted, which is slow to import.
"""

from __future__ import annotations

import contextlib
import math
import os
import selectors
import socket
import threading
from typing import TYPE_CHECKING, Any

from lineworks.kernel import (
    _early_connection,
    descriptors,
    early_signals,
    early_stop,
    listening,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from lineworks.decisions import stop_times

REFUSAL_BUDGET_FRACTION = 0.8
"""Fraction of a request's time budget after which it is refused. Most imports finish long before
that, and the remaining time is enough to deliver the response."""

POLL_SECONDS = 0.02
"""Interval in seconds at which budgets are checked while any connection is waiting."""

ACCEPT_RETRY_SECONDS = 0.1
"""Seconds after which connections are accepted again when the system could accept none."""

MAX_CONNECTIONS = 512
"""Maximum number of connections accepted; further ones stay in the backlog for the event loop."""

DESCRIPTOR_FRACTION = 0.5
"""Fraction of the descriptors of the process that these connections may take; imports open files
meanwhile."""

RETRY_LATER = b"1.00"
"""Value of `Retry-After`, in seconds, while the process is starting: most imports end within it."""


END = 0
"""Byte that wakes the thread to end it; all other bytes are numbers of signals."""

WAKEUP_BYTES = 64
"""Maximum number of bytes that are read at once from those that wake the thread."""


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
        self._connections: dict[int, _early_connection.EarlyConnection] = {}
        max_descriptors = int(descriptors.limit() * DESCRIPTOR_FRACTION)
        self._max_connections = min(MAX_CONNECTIONS, max_descriptors)
        self._selector = selectors.DefaultSelector()
        self._wakeup_reader, self._wakeup_writer = os.pipe()
        os.set_blocking(self._wakeup_writer, False)
        self._thread = threading.Thread(target=self._run, name="early acceptor", daemon=True)
        self._errors: list[str] = []
        self._is_adopted = False
        self._is_ending = False
        self._accepts_again_at = math.inf

    @property
    def errors(self) -> list[str]:
        """Errors that occurred before logging was set up."""
        return self._errors

    @property
    def wakeup_descriptor(self) -> int:
        """Descriptor to which the numbers of signals may be written, until `adopt`."""
        return self._wakeup_writer

    @property
    def is_adopted(self) -> bool:
        """Whether the connections were handed to a reactor."""
        return self._is_adopted

    def start(self) -> None:
        """Start the thread that accepts connections.

        If the system starts no thread, the connections wait in the backlog for the event loop.
        """
        self._selector.register(self._listening_socket, selectors.EVENT_READ)
        self._selector.register(self._wakeup_reader, selectors.EVENT_READ)
        try:
            self._thread.start()
        except RuntimeError as error:
            self._on_error(error)

    def adopt(self, reactor: Any, factory: Any) -> Any:
        """Stop the thread and hand the listening socket and the open connections to a reactor.

        Args:
            reactor: Twisted's reactor.
            factory: Twisted factory that builds the protocol of each connection.

        Returns:
            Twisted's listening port.
        """
        self._is_adopted = True
        connections = self._end_thread()
        os.close(self._wakeup_writer)
        os.close(self._wakeup_reader)
        port = listening.adopt(reactor, self._listening_socket, factory)
        for connection in connections:
            if not connection.is_refused:
                self._hand_over(reactor, factory, connection)
            connection.socket.close()
        return port

    def _hand_over(
        self, reactor: Any, factory: Any, connection: _early_connection.EarlyConnection
    ) -> None:
        """Hand over one connection; a failure must not keep the others from being handed over."""
        try:
            _hand_over(reactor, factory, connection)
        except Exception as error:
            self._on_error(error)

    def stop(self, times: stop_times.StopTimes, min_idle: float) -> early_stop.EarlyStop:
        """Stop the thread, refuse all callers as not run, and close the port; block meanwhile.

        It must not be called after `adopt`. The thread itself may call it, but must not return.

        Args:
            times: Deadlines of the stop.
            min_idle: Seconds after the opening of a connection during which its first request may
                be in transit.

        Returns:
            The stop, which is over.
        """
        connections = self._end_thread()
        stop = early_stop.EarlyStop(self._listening_socket, connections, times, min_idle)
        stop.run()
        return stop

    def _end_thread(self) -> list[_early_connection.EarlyConnection]:
        """End the thread, unless this is the thread itself, and return the open connections."""
        if self._thread.ident is not None and self._thread is not threading.current_thread():
            self._is_ending = True
            # A pipe that is full of numbers of signals wakes the thread as well.
            with contextlib.suppress(BlockingIOError):
                os.write(self._wakeup_writer, bytes((END,)))
            self._thread.join()
        self._selector.close()
        return list(self._connections.values())

    def _run(self) -> None:
        try:
            while not self._serve_once():
                pass
        except Exception as error:
            # The event loop takes over the port and the connections all the same.
            self._on_error(error)

    def _serve_once(self) -> bool:
        """Handle what has arrived; return whether the thread is to end."""
        for key, _ in self._selector.select(self._poll_seconds()):
            if key.fileobj == self._wakeup_reader:
                if self._is_ended_by_wakeup():
                    return True
            elif key.fileobj is self._listening_socket:
                self._accept()
            else:
                self._read(self._connections[key.fd])
        self._refuse_due()
        self._accept_again_if_due()
        return False

    def _poll_seconds(self) -> float | None:
        is_waiting = any(not connection.is_refused for connection in self._connections.values())
        return POLL_SECONDS if is_waiting or self._accepts_again_at < math.inf else None

    def _is_ended_by_wakeup(self) -> bool:
        """Begin a stop if a signal asks for it, and return whether the thread has to end."""
        woken_by = os.read(self._wakeup_reader, WAKEUP_BYTES)
        if any(early_signals.is_stop(number) for number in woken_by):
            early_signals.request_stop()
        return self._is_ending

    def _accept(self) -> None:
        try:
            connection = _early_connection.accept(self._listening_socket)
        except OSError as error:
            self._on_error(error)
            self._selector.unregister(self._listening_socket)
            self._accepts_again_at = _early_connection.now() + ACCEPT_RETRY_SECONDS
            return
        if connection is None:
            return
        self._connections[connection.socket.fileno()] = connection
        self._selector.register(connection.socket, selectors.EVENT_READ)
        if len(self._connections) >= self._max_connections:
            self._selector.unregister(self._listening_socket)

    def _accept_again_if_due(self) -> None:
        if _early_connection.now() >= self._accepts_again_at:
            self._accepts_again_at = math.inf
            self._selector.register(self._listening_socket, selectors.EVENT_READ)

    def _on_error(self, error: Exception) -> None:
        """Keep an error for the log, unless it is there already."""
        text = repr(error)
        if text not in self._errors:
            self._errors.append(text)

    def _read(self, connection: _early_connection.EarlyConnection) -> None:
        connection.read()
        if connection.is_ended or connection.is_full:
            self._selector.unregister(connection.socket)
        if connection.refuse_at == float("inf") and connection.has_head:
            budget = self._find_budget(connection.data)
            if budget is not None:
                refuse_in = REFUSAL_BUDGET_FRACTION * budget
                connection.refuse_at = _early_connection.now() + refuse_in

    def _find_budget(self, head: bytes) -> float | None:
        """Return the budget that a head states; None if it can't be read."""
        try:
            return self._read_budget(head)
        except Exception as error:
            # One odd head must not end the thread, which refuses the others in time.
            self._on_error(error)
            return None

    def _refuse_due(self) -> None:
        now = _early_connection.now()
        for connection in self._connections.values():
            if not connection.is_refused and connection.refuse_at <= now:
                self._refuse(connection)

    def _refuse(self, connection: _early_connection.EarlyConnection) -> None:
        try:
            connection.refuse(RETRY_LATER)
        except OSError as error:
            self._on_error(error)


def _hand_over(reactor: Any, factory: Any, connection: _early_connection.EarlyConnection) -> None:
    """Hand a connection to a reactor and deliver the data already read from it."""
    try:
        connection.socket.getpeername()
    except OSError:
        # The peer has disconnected.
        return
    transport = reactor.adoptStreamConnection(connection.socket.fileno(), socket.AF_INET, factory)
    try:
        if connection.data:
            transport.protocol.dataReceived(connection.data)
    except Exception:
        transport.abortConnection()
        raise
