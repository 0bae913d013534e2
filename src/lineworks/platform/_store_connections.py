"""Persistent connections to the platform's store, each with one request at a time.

A read without an answer is sent again on a new connection while the first one still waits: a lost
answer never arrives, and a connection that has gone silent gives no other sign.
"""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Any

from twisted.internet import defer

from lineworks.http1 import client_connection
from lineworks.kernel import releasing_factory

if TYPE_CHECKING:
    from collections.abc import Callable

    from lineworks.http1 import unfinished_bodies
    from lineworks.models import node_settings

CONNECT_SECONDS = 1.0
"""Timeout for opening a connection, in seconds."""

RESEND_SECONDS = 0.2
"""Seconds without an answer after which a read is sent again. This is 50 times the usual response
time of the store, and a fifteenth of the time within which a change must take effect. It also
bounds the time from a silent store's recovery until a starting instance asks it again."""


SERVICE = "(store)"
"""Stands for a service where the store sends an answer; no service has this name."""


class ConnectError(Exception):
    """No connection could be opened, so the request was not sent."""


class StoreConnections:
    """Pool of connections of one store client."""

    def __init__(
        self,
        reactor: Any,
        address: node_settings.Address,
        unfinished: unfinished_bodies.UnfinishedBodies | None = None,
    ) -> None:
        """Create an empty pool.

        Args:
            reactor: Twisted's reactor.
            address: Address of the store.
            unfinished: Limits the answers that are being received, together with others of the
                process; None for no such limit.
        """
        self._reactor = reactor
        self._unfinished = unfinished
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
        """Send a read-only request, and resend it at intervals until an answer arrives.

        Args:
            data: The encoded request.
            timeout: Seconds to wait for an answer.
            on_sent: Called each time the request is sent.

        Returns:
            The first answer, or the failure of the last connection.

        Raises:
            ConnectError: No connection could be opened.
        """
        outcome: (
            client_connection.Response | client_connection.ConnectionFailure
        ) = await _ResentRead(
            self._reactor, functools.partial(self.exchange, data), timeout, on_sent
        ).start()
        return outcome

    async def exchange(
        self, data: bytes, timeout: float, discard_idle: bool = False
    ) -> client_connection.Response | client_connection.ConnectionFailure:
        """Send a request and wait for its answer.

        Args:
            data: The encoded request.
            timeout: Seconds to wait for the answer.
            discard_idle: Whether to close the idle connections, which may be dead, and open a new
                one.

        Returns:
            The answer, or the failure that ended the connection before the answer was complete.

        Raises:
            ConnectError: No connection could be opened.
        """
        if discard_idle:
            self.close()
        connection = await self._connect()
        completed: defer.Deferred[Any] = defer.Deferred()
        timer = self._reactor.callLater(timeout, _on_timeout, connection, completed)
        connection.send(
            data, False, lambda outcome: None if completed.called else completed.callback(outcome)
        )
        try:
            outcome: (
                client_connection.Response | client_connection.ConnectionFailure
            ) = await completed
        except defer.CancelledError:
            connection.abort()
            raise
        finally:
            if timer.active():
                timer.cancel()
        if not connection.is_closed:
            self._idle.append(connection)
        return outcome

    async def _connect(self) -> _StoreConnection:
        now = self._reactor.seconds()
        while self._idle:
            connection = self._idle.pop()
            if connection.is_reusable(now):
                return connection
            connection.abort()
        opened: defer.Deferred[Any] = defer.Deferred(lambda _: connector.disconnect())
        factory = _StoreFactory(self._reactor, opened, self._unfinished)
        address = self._address
        connector = self._reactor.connectTCP(
            address.host, address.port, factory, timeout=CONNECT_SECONDS
        )
        connected = await opened
        if not isinstance(connected, _StoreConnection):
            raise ConnectError(connected)
        return connected


class _ResentRead:
    """A read that may be in progress on several connections at once."""

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
        self._exchanges: list[defer.Deferred[Any]] = []
        self._resend_timer: Any = None
        self._deadline_timer: Any = None
        self._is_over = False
        self._completed: defer.Deferred[Any] = defer.Deferred(lambda _: self._stop())

    def start(self) -> defer.Deferred[Any]:
        """Send the request for the first time.

        Returns:
            A deferred that fires with the answer or the failure; cancelling it ends the read.
        """
        remaining = self._deadline - self._reactor.seconds()
        self._deadline_timer = self._reactor.callLater(remaining, self._on_deadline)
        self._send(discard_idle=False)
        return self._completed

    def _send(self, discard_idle: bool) -> None:
        remaining = self._deadline - self._reactor.seconds()
        if remaining > RESEND_SECONDS:
            self._resend_timer = self._reactor.callLater(RESEND_SECONDS, self._send, True)
        self._on_sent()
        running = defer.ensureDeferred(self._exchange(remaining, discard_idle))
        self._exchanges.append(running)
        running.addBoth(self._on_outcome, running)

    def _on_outcome(self, outcome: Any, running: defer.Deferred[Any]) -> None:
        if running in self._exchanges:
            self._exchanges.remove(running)
        is_answer = isinstance(outcome, client_connection.Response)
        if self._is_over or (self._exchanges and not is_answer):
            return
        self._stop()
        self._completed.callback(outcome)

    def _on_deadline(self) -> None:
        """End the read, even if a connection is still being opened."""
        self._stop()
        self._completed.callback(client_connection.ConnectionFailure("no answer in time", False))

    def _stop(self) -> None:
        self._is_over = True
        for timer in (self._resend_timer, self._deadline_timer):
            if timer is not None and timer.active():
                timer.cancel()
        running, self._exchanges = self._exchanges, []
        for other in running:
            other.cancel()


class _StoreConnection(client_connection.ClientConnection):
    """Connection to the store that fires a deferred once it is open."""

    def __init__(
        self,
        reactor: Any,
        opened: defer.Deferred[Any],
        unfinished: unfinished_bodies.UnfinishedBodies | None,
    ) -> None:
        super().__init__(reactor.seconds, lambda connection: None, unfinished, SERVICE)
        self._opened = opened

    def connectionMade(self) -> None:  # noqa: N802
        """Fire the deferred with this connection."""
        super().connectionMade()
        self._opened.callback(self)


class _StoreFactory(releasing_factory.ReleasingFactory):
    """Factory for one connection."""

    def __init__(
        self,
        reactor: Any,
        opened: defer.Deferred[Any],
        unfinished: unfinished_bodies.UnfinishedBodies | None,
    ) -> None:
        self._reactor = reactor
        self._opened = opened
        self._unfinished = unfinished

    def buildProtocol(self, addr: Any) -> _StoreConnection:  # noqa: N802
        """Create the protocol of the connection."""
        return _StoreConnection(self._reactor, self._opened, self._unfinished)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802
        """Fire the deferred with the name of the error."""
        self._opened.callback(type(reason.value).__name__)


def _on_timeout(connection: _StoreConnection, completed: defer.Deferred[Any]) -> None:
    connection.abort()
    completed.callback(client_connection.ConnectionFailure("no answer in time", False))
