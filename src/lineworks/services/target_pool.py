"""Sends attempts to targets over HTTP, with a limit on this instance's connections to each target.

docs/reference/targets.md describes the protocol.
"""

from __future__ import annotations

import dataclasses
import functools
import json
from typing import TYPE_CHECKING, Any

from twisted.internet import defer, endpoints, protocol

from lineworks.decisions import ownership, replicas, verdict
from lineworks.engine import ports
from lineworks.http1 import reading_turns, unfinished_bodies
from lineworks.kernel import rate_limited_log
from lineworks.models import target_http
from lineworks.services import target_connection

if TYPE_CHECKING:
    from collections.abc import Callable

    from lineworks.decisions import catalog

CANCEL_GRACE = 0.25
"""Seconds that a target has to respond to a cancelled request before its connection is closed."""

REPORT_TIMEOUT = 1.0
"""Timeout in seconds for a target's status report or for its reply to a cancellation."""

MAX_LOG_LINES_PER_SECOND = 1.0
"""Maximum number of log lines per second for status reports that can't be read and for discarded
replies."""

MAX_ERROR_TEXT = 200
"""Maximum length of a logged error, in characters: it may quote what the target sent."""

CONNECT_TIMEOUT = 1.0
"""Timeout in seconds for opening a connection."""


@dataclasses.dataclass(slots=True, eq=False)
class _Exchange:
    """An attempt in progress and its connection."""

    on_outcome: Callable[[ports.Outcome], None] | None
    connection: target_connection.TargetConnection | None = None
    is_cancelled: bool = False


class _ConnectionPool:
    """Connections of this instance to one target."""

    def __init__(
        self,
        reactor: Any,
        target: catalog.Target,
        unfinished: unfinished_bodies.UnfinishedBodies,
        turns: reading_turns.ReadingTurns,
        on_discarded: Callable[[int], None],
    ) -> None:
        self._reactor = reactor
        self._target = target
        self._on_discarded = on_discarded
        self._unfinished = unfinished
        self._turns = turns
        self._idle: list[target_connection.TargetConnection] = []
        self._open_count = 0

    def acquire(
        self,
        on_ready: Callable[[target_connection.TargetConnection], None],
        on_refused: Callable[[str], None],
    ) -> bool:
        """Acquire an idle connection or open a new one.

        Args:
            on_ready: Called with the connection, synchronously if one is idle.
            on_refused: Called with the error message if a new connection could not be opened.

        Returns:
            False if the limit on connections is reached; then neither function is called.
        """
        while self._idle:
            connection = self._idle.pop()
            if not connection.is_closed:
                on_ready(connection)
                return True
        if self._open_count >= ownership.connection_share(self._target.connections):
            return False
        self._open_count += 1
        self._connect(on_ready, on_refused)
        return True

    def release(self, connection: target_connection.TargetConnection) -> None:
        """Return a connection to the pool for reuse.

        Args:
            connection: The connection; it is ignored if it is closed or still in use.
        """
        if connection.is_idle:
            self._idle.append(connection)

    def close(self) -> None:
        """Close all idle connections."""
        for connection in self._idle:
            connection.transport.loseConnection()
        self._idle.clear()

    def _connect(
        self,
        on_ready: Callable[[target_connection.TargetConnection], None],
        on_refused: Callable[[str], None],
    ) -> None:
        target = self._target
        endpoint = endpoints.TCP4ClientEndpoint(
            self._reactor, target.host, target.port, timeout=CONNECT_TIMEOUT
        )
        factory: Any = protocol.Factory.forProtocol(
            lambda: target_connection.TargetConnection(
                self._on_closed, self._unfinished, self._turns, target.name, self._on_discarded
            )
        )

        def refused(failure: Any) -> None:
            self._open_count -= 1
            on_refused(failure.getErrorMessage())

        endpoint.connect(factory).addCallbacks(on_ready, refused)

    def _on_closed(self, connection: target_connection.TargetConnection) -> None:
        self._open_count -= 1
        if connection in self._idle:
            self._idle.remove(connection)


class TargetPool:
    """Implements `lineworks.engine.ports.TargetPort` over HTTP."""

    def __init__(self, reactor: Any, incarnation: str = "") -> None:
        """Initialise without connections.

        Args:
            reactor: Twisted's reactor.
            incarnation: ID of this process. It precedes the identity of each attempt, so that no
                other process, and no later life of this one, cancels it.
        """
        self._reactor = reactor
        self._incarnation = incarnation
        self._pools: dict[str, _ConnectionPool] = {}
        self._log = rate_limited_log.RateLimitedLog(
            reactor, "target_pool", MAX_LOG_LINES_PER_SECOND
        )
        self._unfinished = unfinished_bodies.UnfinishedBodies()
        self._turns = reading_turns.ReadingTurns(reactor)

    def start(self) -> None:
        """Do nothing; connections are opened on demand."""

    def stop(self) -> None:
        """Close all idle connections."""
        for pool in self._pools.values():
            pool.close()

    def send(
        self,
        target: catalog.Target,
        attempt: ports.Attempt,
        on_outcome: Callable[[ports.Outcome], None],
    ) -> Callable[[], None]:
        """Start an attempt; see `lineworks.engine.ports.TargetPort`.

        Args:
            target: The target.
            attempt: The attempt to send.
            on_outcome: Called exactly once with the outcome, unless the attempt is cancelled first;
                never called synchronously.

        Returns:
            A function that cancels the attempt.
        """
        exchange = _Exchange(on_outcome)
        if self._incarnation:
            attempt = dataclasses.replace(attempt, id=f"{self._incarnation}.{attempt.id}")
        remaining = max(0.0, attempt.deadline - self._reactor.seconds())
        headers = target_http.request_headers(attempt, remaining)
        try:
            data = _encode("POST", "/v1/sub-query", target, headers, attempt.body)
        except target_connection.UnsafeHeaderError as error:
            return self._refuse_later(exchange, verdict.Reason.INVALID, str(error))
        pool = self._pool_for(target)
        is_acquired = pool.acquire(
            functools.partial(self._send_attempt, target, pool, exchange, data),
            functools.partial(_refuse, exchange, verdict.Reason.UNREACHABLE),
        )
        if not is_acquired:
            detail = "own share of connections is used up"
            return self._refuse_later(exchange, verdict.Reason.CAPPED, detail)
        return functools.partial(self._cancel, target, attempt, exchange)

    def request_report(
        self, target: catalog.Target
    ) -> defer.Deferred[replicas.StatusReport | None]:
        """Request a target's status report.

        Args:
            target: The target.

        Returns:
            A deferred that fires with the report, or with None if no connection was available, or
            the reply was invalid or did not arrive in time.
        """
        done: defer.Deferred[replicas.StatusReport | None] = defer.Deferred()

        def handle_response(response: target_connection.Response | None) -> None:
            if not done.called:
                done.callback(self._parse_report(target, response))

        self._send_control_request(
            target, _encode("GET", "/v1/report", target, {}, b""), handle_response
        )
        return done

    def _send_control_request(
        self,
        target: catalog.Target,
        data: bytes,
        on_response: Callable[[target_connection.Response | None], None],
    ) -> None:
        """Send a small request that is not an attempt; on timeout its connection is closed."""
        pool = self._pool_for(target)

        def send(connection: target_connection.TargetConnection) -> None:
            timer = self._reactor.callLater(REPORT_TIMEOUT, connection.close)

            def handle_response(response: target_connection.Response | None) -> None:
                if timer.active():
                    timer.cancel()
                pool.release(connection)
                on_response(response)

            connection.send(data, handle_response)

        if not pool.acquire(send, lambda error: on_response(None)):
            on_response(None)

    def _pool_for(self, target: catalog.Target) -> _ConnectionPool:
        pool = self._pools.get(target.name)
        if pool is None:
            pool = self._pools[target.name] = _ConnectionPool(
                self._reactor,
                target,
                self._unfinished,
                self._turns,
                functools.partial(self._on_discarded, target.name),
            )
        return pool

    def _on_discarded(self, target: str, status: int) -> None:
        self._log.info("reply_discarded", target=target, status=status)

    def _send_attempt(
        self,
        target: catalog.Target,
        pool: _ConnectionPool,
        exchange: _Exchange,
        data: bytes,
        connection: target_connection.TargetConnection,
    ) -> None:
        if exchange.is_cancelled:
            pool.release(connection)
            return
        exchange.connection = connection
        connection.send(data, functools.partial(self._on_response, target, pool, exchange))

    def _on_response(
        self,
        target: catalog.Target,
        pool: _ConnectionPool,
        exchange: _Exchange,
        response: target_connection.Response | None,
    ) -> None:
        connection = exchange.connection
        assert connection is not None
        exchange.connection = None
        pool.release(connection)
        if response is None:
            detail = connection.failure or "the connection broke"
            lost = verdict.may_have_run(verdict.Reason.LINK_LOST, detail)
            _deliver_outcome(exchange, ports.Outcome(lost))
            return
        report = self._read_report(target, response)
        outcome = target_http.read_outcome(response.status, response.headers, response.body, report)
        _deliver_outcome(exchange, outcome)

    def _read_report(
        self, target: catalog.Target, response: target_connection.Response
    ) -> replicas.StatusReport | None:
        """Read the report in a reply's headers; an invalid one does not invalidate the reply."""
        try:
            return target_http.read_report(response.headers)
        except target_http.MalformedReplyError as error:
            self._log.info("report_refused", target=target.name, error=str(error))
            return None

    def _parse_report(
        self, target: catalog.Target, response: target_connection.Response | None
    ) -> replicas.StatusReport | None:
        if response is None or response.status != 200:
            return None
        try:
            return target_http.parse_report(json.loads(response.body))
        except (ValueError, RecursionError) as error:
            self._log.info("report_refused", target=target.name, error=repr(error)[:MAX_ERROR_TEXT])
            return None

    def _refuse_later(
        self, exchange: _Exchange, reason: verdict.Reason, detail: str
    ) -> Callable[[], None]:
        self._reactor.callLater(0, _refuse, exchange, reason, detail)
        return functools.partial(_discard_outcome, exchange)

    def _cancel(self, target: catalog.Target, attempt: ports.Attempt, exchange: _Exchange) -> None:
        """Request cancellation from the target; close the connection if that takes too long."""
        _discard_outcome(exchange)
        exchange.is_cancelled = True
        connection = exchange.connection
        if connection is None:
            return
        headers = {target_http.REQUEST: attempt.id}
        self._send_control_request(
            target, _encode("POST", "/v1/cancel", target, headers, b""), _ignore_response
        )
        self._reactor.callLater(CANCEL_GRACE, _close_if_busy, exchange)


def _encode(
    method: str, path: str, target: catalog.Target, headers: dict[str, str], body: bytes
) -> bytes:
    host = f"{target.host}:{target.port}"
    return target_connection.encode_request(method, path, host, headers, body)


def _refuse(exchange: _Exchange, reason: verdict.Reason, detail: str) -> None:
    _deliver_outcome(exchange, ports.Outcome(verdict.not_run(reason, detail)))


def _deliver_outcome(exchange: _Exchange, outcome: ports.Outcome) -> None:
    on_outcome = exchange.on_outcome
    exchange.on_outcome = None
    if on_outcome is not None:
        on_outcome(outcome)


def _discard_outcome(exchange: _Exchange) -> None:
    exchange.on_outcome = None


def _ignore_response(response: target_connection.Response | None) -> None:
    del response


def _close_if_busy(exchange: _Exchange) -> None:
    if exchange.connection is not None:
        exchange.connection.close()
