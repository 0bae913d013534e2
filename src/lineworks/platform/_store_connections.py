"""Connections to the platform's store: kept for the next call, one request at a time on each."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet import defer, protocol

from lineworks.http1 import client_connection

if TYPE_CHECKING:
    from lineworks.models import node_settings

CONNECT_SECONDS = 1.0
"""Seconds to wait for a connection."""


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

    async def exchange(
        self, data: bytes, timeout: float
    ) -> client_connection.Response | client_connection.Broken:
        """Send a request and wait for its answer.

        Args:
            data: The request.
            timeout: Seconds to wait for the answer.

        Returns:
            The answer, or how the connection broke off before it was whole.

        Raises:
            ConnectError: There is no connection.
        """
        connection = await self._connect()
        ended: defer.Deferred[Any] = defer.Deferred()
        timer = self._reactor.callLater(timeout, _give_up, connection, ended)
        connection.send(data, False, lambda end: None if ended.called else ended.callback(end))
        try:
            end: client_connection.Response | client_connection.Broken = await ended
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
        opened: defer.Deferred[Any] = defer.Deferred()
        factory = _StoreFactory(self._reactor, opened)
        address = self._address
        self._reactor.connectTCP(address.host, address.port, factory, timeout=CONNECT_SECONDS)
        connected = await opened
        if not isinstance(connected, _StoreConnection):
            raise ConnectError(connected)
        return connected


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


def _give_up(connection: _StoreConnection, ended: defer.Deferred[Any]) -> None:
    connection.abort()
    ended.callback(client_connection.Broken("no answer in time", False))
