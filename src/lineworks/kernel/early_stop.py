"""Refuses callers of a process that is asked to stop before its event loop runs.

Such a process has run nothing. Callers are served sooner by another instance than after the imports
that are left, so each request is refused at once as not run, until the balancer has deregistered
the instance; then the port is closed. This module must not import Twisted, which is slow to import.
"""

from __future__ import annotations

import selectors
import time
from typing import TYPE_CHECKING

from lineworks.kernel import _early_connection, listening

if TYPE_CHECKING:
    import socket

    from lineworks.decisions import stop_times

POLL_SECONDS = 0.02
"""Interval in seconds at which the deadlines of the stop are checked."""

RETRY_ELSEWHERE = b"0"
"""Value of `Retry-After`: another instance accepts the next connection immediately."""


class EarlyStop:
    """The stop of a process whose event loop does not run yet."""

    def __init__(
        self,
        listening_socket: socket.socket,
        connections: list[_early_connection.EarlyConnection],
        times: stop_times.StopTimes,
        min_idle: float,
    ) -> None:
        """Initialise the stop; `run` carries it out.

        Args:
            listening_socket: The callers' listening socket; it is closed by `run`.
            connections: Connections that were accepted already.
            times: Deadlines of the stop.
            min_idle: Seconds after the opening of a connection during which its first request may
                be in transit.
        """
        self._listening_socket = listening_socket
        self._connections: dict[int, _early_connection.EarlyConnection] = {}
        self._times = times
        self._min_idle = min_idle
        self._selector = selectors.DefaultSelector()
        self._closes_port_at: float | None = None
        self._port_closed_at: float | None = None
        self.refused = 0
        """Number of requests that were refused."""
        self.connections_at_end = 0
        """Number of connections that the end of the stop closed."""
        self.errors: list[str] = []
        """Errors of the listening socket and of connections that broke."""
        for connection in connections:
            self._add(connection)

    def run(self) -> None:
        """Refuse each request, close the port when its time has come, and return at the end.

        It returns when the port and all connections are closed, or when the time is up.
        """
        self._selector.register(self._listening_socket, selectors.EVENT_READ)
        while not self._is_over(_early_connection.now()):
            for key, _ in self._selector.select(POLL_SECONDS):
                if key.fileobj is self._listening_socket:
                    self._accept_waiting()
                else:
                    self._read(self._connections[key.fd])
            now = _early_connection.now()
            self._close_port_if_due(now)
            for connection in list(self._connections.values()):
                self._refuse_or_close(connection, now)
        self.connections_at_end = len(self._connections)
        for connection in list(self._connections.values()):
            self._close(connection)
        self._selector.close()

    def _is_over(self, now: float) -> bool:
        if self._port_closed_at is None:
            return False
        # A process that stood still until its time was over must read what it accepted last.
        ends_at = max(self._times.end_by, self._port_closed_at + POLL_SECONDS)
        return not self._connections or now >= ends_at

    def _accept_waiting(self) -> None:
        try:
            while connection := _early_connection.accept(self._listening_socket):
                self._add(connection)
        except OSError as error:
            self.errors.append(repr(error))
            # The system is short of something, and the socket stays readable.
            time.sleep(POLL_SECONDS)

    def _add(self, connection: _early_connection.EarlyConnection) -> None:
        self._connections[connection.socket.fileno()] = connection
        self._selector.register(connection.socket, selectors.EVENT_READ)

    def _read(self, connection: _early_connection.EarlyConnection) -> None:
        if connection.is_refused or connection.is_full:
            connection.discard()
        else:
            connection.read()

    def _close_port_if_due(self, now: float) -> None:
        """Close the port in two steps; see `listening.refuse_new`."""
        if self._port_closed_at is not None or now < self._times.deregistered_by:
            return
        if self._closes_port_at is None:
            is_supported = listening.drop_new_handshakes(self._listening_socket)
            self._closes_port_at = now + listening.HANDSHAKE_SECONDS if is_supported else now
        self._accept_waiting()
        if now >= self._closes_port_at:
            self._port_closed_at = now
            self._selector.unregister(self._listening_socket)
            self._listening_socket.close()

    def _refuse_or_close(self, connection: _early_connection.EarlyConnection, now: float) -> None:
        is_incomplete_at_end = bool(connection.data) and now >= self._times.answer_by
        if not connection.is_refused and (connection.has_head or is_incomplete_at_end):
            self._refuse(connection)
        is_idle = not connection.data and now >= connection.opened_at + self._min_idle
        if connection.is_ended or (is_idle and now >= self._times.deregistered_by):
            self._close(connection)

    def _refuse(self, connection: _early_connection.EarlyConnection) -> None:
        self.refused += 1
        try:
            connection.refuse(RETRY_ELSEWHERE)
        except OSError as error:
            connection.is_ended = True
            self.errors.append(repr(error))

    def _close(self, connection: _early_connection.EarlyConnection) -> None:
        del self._connections[connection.socket.fileno()]
        self._selector.unregister(connection.socket)
        connection.socket.close()
