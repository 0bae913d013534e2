"""Connections to the platform's store: kept for the next call, one request at a time on each.

A read that gets no answer is sent again on a new connection, beside the one that waits: a lost
answer never comes, and a connection that went silent shows nothing else.
"""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Any

from twisted.internet import defer, protocol

from lineworks.http1 import client_connection

if TYPE_CHECKING:
    from collections.abc import Callable

    from lineworks.models import node_settings

CONNECT_SECONDS = 1.0
"""Seconds to wait for a connection."""

RESEND_SECONDS = 0.2
"""Seconds without an answer after which a read is sent again: fifty times what the store usually
takes, and a fifteenth of the time in which a change must be in force. An instance that starts
beside a silent store asks again within that time of the store's return."""


class ConnectError(Exception):
    """No connection could be opened, so nothing was sent."""


class StoreConnections:
    """The connections of one client."""

    def __init__(self, reactor: Any, address: node_settings.Address) -> None:
        """Start without connections.

        Args:
            reactor: Twisted's reactor.
            address: Where the store is.
        """
        self._reactor = reactor
        self._address = address
        self._idle: list[_StoreConnection] = []

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.abort()
        self._idle.clear()

    async def read(
        self, data: bytes, timeout: float, on_sent: Callable[[], None]
    ) -> client_connection.Response | client_connection.ConnectionFailure:
        """Send a request that changes nothing, again and again until an answer comes.

        Args:
            data: The request.
            timeout: Seconds to wait for the answer.
            on_sent: Called each time that the request is sent.

        Returns:
            The first answer, or how the last connection broke off.

        Raises:
            ConnectError: There is no connection.
        """
        end: client_connection.Response | client_connection.ConnectionFailure = await _ResentRead(
            self._reactor, functools.partial(self.exchange, data), timeout, on_sent
        ).start()
        return end

    async def exchange(
        self, data: bytes, timeout: float, discard_idle: bool = False
    ) -> client_connection.Response | client_connection.ConnectionFailure:
        """Send a request and wait for its answer.

        Args:
            data: The request.
            timeout: Seconds to wait for the answer.
            is_new: Whether the kept connections are not to be trusted.

        Returns:
            The answer, or how the connection broke off before it was whole.

        Raises:
            ConnectError: There is no connection.
        """
        if discard_idle:
            self.close()
        connection = await self._connect()
        ended: defer.Deferred[Any] = defer.Deferred()
        timer = self._reactor.callLater(timeout, _on_timeout, connection, ended)
        connection.send(data, False, lambda end: None if ended.called else ended.callback(end))
        try:
            end: client_connection.Response | client_connection.ConnectionFailure = await ended
        except defer.CancelledError:
            connection.abort()
            raise
        finally:
            if timer.active():
                timer.cancel()
        if not connection.is_closed:
            self._idle.append(connection)
        return end

    async def _connect(self) -> _StoreConnection:
        now = self._reactor.seconds()
        while self._idle:
            connection = self._idle.pop()
            if connection.is_reusable(now):
                return connection
            connection.abort()
        opened: defer.Deferred[Any] = defer.Deferred(lambda _: connector.disconnect())
        factory = _StoreFactory(self._reactor, opened)
        address = self._address
        connector = self._reactor.connectTCP(
            address.host, address.port, factory, timeout=CONNECT_SECONDS
        )
        connected = await opened
        if not isinstance(connected, _StoreConnection):
            raise ConnectError(connected)
        return connected


class _ResentRead:
    """One read under way on several connections."""

    def __init__(
        self,
        reactor: Any,
        exchange: Callable[[float, bool], Any],
        timeout: float,
        on_sent: Callable[[], None],
    ) -> None:
        self._reactor = reactor
        self._exchange = exchange
        self._deadline = reactor.seconds() + timeout
        self._on_sent = on_sent
        self._running: list[defer.Deferred[Any]] = []
        self._timer: Any = None
        self._limit: Any = None
        self._is_over = False
        self._ended: defer.Deferred[Any] = defer.Deferred(lambda _: self._stop())

    def start(self) -> defer.Deferred[Any]:
        """Send it for the first time.

        Returns:
            A deferred of the answer; cancelling it ends the read.
        """
        left = self._deadline - self._reactor.seconds()
        self._limit = self._reactor.callLater(left, self._on_deadline)
        self._send(discard_idle=False)
        return self._ended

    def _send(self, discard_idle: bool) -> None:
        left = self._deadline - self._reactor.seconds()
        if left > RESEND_SECONDS:
            self._timer = self._reactor.callLater(RESEND_SECONDS, self._send, True)
        self._on_sent()
        running = defer.ensureDeferred(self._exchange(left, discard_idle))
        self._running.append(running)
        running.addBoth(self._on_end, running)

    def _on_end(self, end: Any, running: defer.Deferred[Any]) -> None:
        if running in self._running:
            self._running.remove(running)
        is_answer = isinstance(end, client_connection.Response)
        if self._is_over or (self._running and not is_answer):
            return
        self._stop()
        self._ended.callback(end)

    def _on_deadline(self) -> None:
        """End the read; a connection that is still being opened would hold it up."""
        self._stop()
        self._ended.callback(client_connection.ConnectionFailure("no answer in time", False))

    def _stop(self) -> None:
        self._is_over = True
        for timer in (self._timer, self._limit):
            if timer is not None and timer.active():
                timer.cancel()
        running, self._running = self._running, []
        for other in running:
            other.cancel()


class _StoreConnection(client_connection.ClientConnection):
    """A connection to the store that reports when it is open."""

    def __init__(self, reactor: Any, opened: defer.Deferred[Any]) -> None:
        super().__init__(reactor.seconds, lambda connection: None)
        self._opened = opened

    def connectionMade(self) -> None:  # noqa: N802
        """Report that it is open."""
        super().connectionMade()
        self._opened.callback(self)


class _StoreFactory(protocol.ClientFactory):
    """Opens one connection."""

    noisy = False

    def __init__(self, reactor: Any, opened: defer.Deferred[Any]) -> None:
        self._reactor = reactor
        self._opened = opened

    def buildProtocol(self, addr: Any) -> _StoreConnection:  # noqa: N802
        """Make the connection's end."""
        return _StoreConnection(self._reactor, self._opened)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802
        """Report that it could not be opened."""
        self._opened.callback(type(reason.value).__name__)


def _on_timeout(connection: _StoreConnection, ended: defer.Deferred[Any]) -> None:
    connection.abort()
    ended.callback(client_connection.ConnectionFailure("no answer in time", False))
