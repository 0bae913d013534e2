"""Sends callers' requests to targets, over connections that are kept for reuse.

Every call ends with a verdict that says whether the target may have run the request. A request
that must not run twice goes over a kept connection only well within the time that the target
keeps it open, and is never sent again.
"""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING, Any

import structlog
from twisted.internet import protocol

from lineworks.decisions import ownership, verdict
from lineworks.forwarding import _connection_pool, answers, target_learning
from lineworks.http1 import client_connection
from lineworks.platform import headers

if TYPE_CHECKING:
    from collections.abc import Callable

    from lineworks.forwarding import target_state

UNREPEATABLE_IDLE_SHARE = 0.5
"""Part of a target's idle time after which its connection gets no unrepeatable request."""

MIN_SILENT_TARGETS = 4
"""Targets that do not answer over kept connections, while none does, from which on these are taken
to be silent for good. Pauses and slow targets rarely meet in so many without one that answers."""

SILENCE_FACTOR = 1.5
"""Usual service times after which a target counts as one that does not answer."""

SILENCE_FLOOR_SECONDS = 0.04
"""Seconds that an answer may always take: two ways between regions."""

SILENCE_CHECK_SECONDS = 0.01
"""Seconds between looks for targets that do not answer: each goes through the calls under way."""

SWEEP_SECONDS = 1.0
"""Seconds between looks for connections that were idle too long."""


_log = structlog.get_logger(component="target_calls")


@dataclasses.dataclass(frozen=True, slots=True)
class TargetCall:
    """A request as every target gets it."""

    head: bytes
    """Request line and headers, without those that differ by target and without the blank line."""

    body: bytes
    """The body."""

    attempt: bytes
    """Identity of the caller's try, which the answer repeats."""

    deadline: float
    """Time by which an answer is of use, in seconds on this process's clock."""

    is_repeatable: bool
    """Whether the request may run more than once."""

    content: str = ""
    """Fingerprint of what is asked, which other tries may share; empty where it isn't needed."""

    workspace: str = ""
    """Name of the workspace that it is served for; empty for none."""

    has_quota: bool = False
    """Whether that workspace has a quota."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallEnd:
    """How a call ended."""

    verdict: verdict.Verdict
    """What is known of it."""

    response: client_connection.Response | None = None
    """The target's answer, if a whole one came."""

    lost_before_answer: bool = False
    """Whether the connection ended after the request was sent and before any byte of an answer:
    the target may have ended, or only the connection."""


@dataclasses.dataclass(slots=True, eq=False)
class _Exchange:
    """A call under way."""

    state: target_state.TargetState
    call: TargetCall
    on_end: Callable[[CallEnd], None] | None
    started: float
    connection: client_connection.ClientConnection | None = None
    connector: Any = None


class TargetCalls:
    """Calls and connections of one instance."""

    def __init__(self, reactor: Any, learning: target_learning.TargetLearning) -> None:
        """Start without connections.

        Args:
            reactor: Twisted's reactor.
            learning: Takes note of how targets do.
        """
        self._reactor = reactor
        self._learning = learning
        self._pools: dict[str, _connection_pool.ConnectionPool] = {}
        self._timer: Any = None
        self._under_way: dict[_Exchange, None] = {}
        # Calls under way over kept connections, the oldest first.
        self._on_reused: dict[_Exchange, None] = {}
        # Start of the latest call that a kept connection brought an answer, or an end, to.
        self._last_answered_start = -math.inf
        self._next_silence_check = -math.inf
        self.opened = 0
        """Connections opened so far."""
        self.on_silence: Callable[[], None] = lambda: None
        """Called when open connections are found silent."""

    def start(self) -> None:
        """Begin to look for connections that were idle too long."""
        self._timer = self._reactor.callLater(SWEEP_SECONDS, self._sweep)

    def stop(self) -> None:
        """Close all idle connections."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        for pool in self._pools.values():
            pool.close_idle()

    def forget(self, target: str) -> None:
        """Close the idle connections to a target that is gone.

        Args:
            target: Identity of its process.
        """
        pool = self._pools.pop(target, None)
        if pool is not None:
            pool.close_idle()

    def on_target_ended(self, state: target_state.TargetState) -> None:
        """End all calls to a target whose process is known to have ended.

        Without it callers wait until their deadline where no connection tells of the end.

        Args:
            state: The target.
        """
        for exchange in [one for one in self._under_way if one.state is state]:
            connection = exchange.connection
            exchange.connection = None
            self._on_reused.pop(exchange, None)
            if connection is not None:
                connection.abort()
                found = verdict.may_have_run(verdict.Reason.LINK_LOST, "the target has ended")
            else:
                found = verdict.not_run(verdict.Reason.UNREACHABLE, "the target has ended")
            self._end(exchange, CallEnd(found, lost_before_answer=connection is not None), False)

    def send(
        self,
        state: target_state.TargetState,
        call: TargetCall,
        on_end: Callable[[CallEnd], None],
    ) -> Callable[[], bool]:
        """Start a call.

        Args:
            state: The target.
            call: The request.
            on_end: Called once, never from inside this function, unless the call is cancelled.

        Returns:
            A function that cancels the call and what the target does for it. It says whether
            nothing of the request was handed to a connection, so that it certainly did not run.
        """
        now = self._reactor.seconds()
        self.check_silence(now)
        exchange = _Exchange(state, call, on_end, now)
        self._under_way[exchange] = None
        state.replica.on_started(now)
        self._learning.on_sent(state, now)
        pool = self._pool(state)
        share = 1.0 if call.is_repeatable else UNREPEATABLE_IDLE_SHARE
        connection = pool.take(now, share)
        if connection is not None:
            self._on_reused[exchange] = None
            self._send_on(exchange, connection)
        elif pool.has_room:
            self._connect(pool, exchange)
        else:
            self._reactor.callLater(0, self._on_capped, exchange)
        return lambda: self._cancel(exchange)

    def check_silence(self, now: float) -> None:
        """Give up kept connections where they are silent, before anything is sent by them.

        A search asks gatherers first, whose links are silent as well then: those that asked them
        within a second of the silence ended at their deadline.

        Args:
            now: The present, in seconds.
        """
        if self._are_reused_silent(now):
            self._on_connections_silent(now)

    def _are_reused_silent(self, now: float) -> bool:
        """Say whether several targets owe answers over kept connections, and none gives any."""
        if now < self._next_silence_check:
            return False
        self._next_silence_check = now + SILENCE_CHECK_SECONDS
        silent = set()
        for exchange in self._on_reused:
            if now - exchange.started <= SILENCE_FLOOR_SECONDS:
                break
            usual = self._learning.usual(exchange.state)
            is_late = now - exchange.started > SILENCE_FACTOR * usual
            if is_late and exchange.started > self._last_answered_start:
                silent.add(exchange.state.id)
        return len(silent) >= MIN_SILENT_TARGETS

    def _on_connections_silent(self, now: float) -> None:
        """Close all idle connections, so that what is sent from now on goes over new ones."""
        _log.warning("connections_silent", under_way=len(self._on_reused))
        self._last_answered_start = now
        for pool in self._pools.values():
            pool.close_idle()
        self.on_silence()

    def _pool(self, state: target_state.TargetState) -> _connection_pool.ConnectionPool:
        pool = self._pools.get(state.id)
        if pool is None:
            share = ownership.connection_share(state.replica.target.connections)
            pool = self._pools[state.id] = _connection_pool.ConnectionPool(share)
        return pool

    def _connect(self, pool: _connection_pool.ConnectionPool, exchange: _Exchange) -> None:
        self.opened += 1
        pool.open += 1
        target = exchange.state.replica.target
        factory = _Factory(self, pool, exchange)
        exchange.connector = self._reactor.connectTCP(
            target.host,
            target.port,
            factory,
            timeout=self._learning.connect_seconds(exchange.state),
        )

    def on_connected(
        self, exchange: _Exchange, connection: client_connection.ClientConnection
    ) -> None:
        """Send the request that a connection was opened for."""
        exchange.connector = None
        if exchange.on_end is None:
            self._release(exchange, connection)
            return
        self._send_on(exchange, connection)

    def on_connect_failed(
        self, pool: _connection_pool.ConnectionPool, exchange: _Exchange, detail: str
    ) -> None:
        """End a call whose connection could not be opened; nothing was sent."""
        pool.open -= 1
        exchange.connector = None
        if exchange.on_end is None:
            return
        found = verdict.not_run(verdict.Reason.UNREACHABLE, detail)
        self._end(exchange, CallEnd(found), is_progress=False)

    def _on_capped(self, exchange: _Exchange) -> None:
        if exchange.on_end is None:
            return
        found = verdict.not_run(verdict.Reason.CAPPED, "own share of connections is used up")
        self._end(exchange, CallEnd(found), is_progress=False)

    def _send_on(self, exchange: _Exchange, connection: client_connection.ClientConnection) -> None:
        exchange.connection = connection
        call = exchange.call
        remaining = call.deadline - self._reactor.seconds()
        data = b"".join(
            (
                call.head,
                headers.write_target_fields(exchange.state.identity, remaining),
                b"\r\n",
                call.body,
            )
        )
        connection.send(
            data,
            bool(call.body),
            lambda end: self._on_end(exchange, end),
            (headers.ATTEMPT, call.attempt),
        )

    def _on_end(
        self,
        exchange: _Exchange,
        end: client_connection.Response | client_connection.ConnectionFailure,
    ) -> None:
        connection = exchange.connection
        exchange.connection = None
        if exchange in self._on_reused:
            del self._on_reused[exchange]
            self._last_answered_start = max(self._last_answered_start, exchange.started)
        if isinstance(end, client_connection.ConnectionFailure):
            found = verdict.may_have_run(verdict.Reason.LINK_LOST, end.detail)
            self._end(
                exchange, CallEnd(found, lost_before_answer=end.is_unanswered), is_progress=False
            )
            return
        if connection is not None:
            self._release(exchange, connection)
        found = answers.judge(end)
        self._end(exchange, CallEnd(found, end), is_progress=True)

    def _release(self, exchange: _Exchange, connection: client_connection.ClientConnection) -> None:
        pool = self._pools.get(exchange.state.id)
        if pool is None or exchange.state.replica.is_leaving:
            connection.abort()
        elif not connection.is_closed:
            pool.idle.append(connection)

    def _end(self, exchange: _Exchange, end: CallEnd, is_progress: bool) -> None:
        """Learn from a call's end and report it."""
        on_end = exchange.on_end
        exchange.on_end = None
        if on_end is None:
            return
        self._under_way.pop(exchange, None)
        now = self._reactor.seconds()
        exchange.state.replica.on_ended(now, is_progress)
        seconds = now - exchange.started
        self._learning.on_end(exchange.state, end.verdict, end.response, now, seconds)
        on_end(end)

    def _cancel(self, exchange: _Exchange) -> bool:
        """Give a call up; closing its connection makes the target drop the request.

        Returns:
            Whether it was under way and waited for a connection yet, over which nothing goes now.
        """
        if exchange.on_end is None:
            return False
        exchange.on_end = None
        self._under_way.pop(exchange, None)
        self._on_reused.pop(exchange, None)
        now = self._reactor.seconds()
        exchange.state.replica.on_ended(now, is_progress=False)
        self._learning.on_given_up(exchange.state, now, now - exchange.started)
        if exchange.connection is None:
            return True
        exchange.connection.abort()
        exchange.connection = None
        return False

    def _sweep(self) -> None:
        self._timer = self._reactor.callLater(SWEEP_SECONDS, self._sweep)
        now = self._reactor.seconds()
        for pool in self._pools.values():
            pool.close_expired(now)


class _Factory(protocol.ClientFactory):
    """Opens one connection for one call."""

    noisy = False

    def __init__(
        self, calls: TargetCalls, pool: _connection_pool.ConnectionPool, exchange: _Exchange
    ) -> None:
        self._calls = calls
        self._pool = pool
        self._exchange = exchange

    def buildProtocol(self, addr: Any) -> _TargetConnection:  # noqa: N802
        """Make the connection's end."""
        return _TargetConnection(self._calls, self._pool, self._exchange)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802
        """Report that it could not be opened."""
        detail = type(reason.value).__name__
        self._calls.on_connect_failed(self._pool, self._exchange, detail)


class _TargetConnection(client_connection.ClientConnection):
    """A connection that reports when it is open, and is counted until it is closed."""

    def __init__(
        self, calls: TargetCalls, pool: _connection_pool.ConnectionPool, exchange: _Exchange
    ) -> None:
        super().__init__(calls._reactor.seconds, self._on_gone)
        self._calls = calls
        self._pool = pool
        self._exchange: _Exchange | None = exchange

    def connectionMade(self) -> None:  # noqa: N802
        """Send the request that waits."""
        super().connectionMade()
        exchange = self._exchange
        self._exchange = None
        assert exchange is not None
        self._calls.on_connected(exchange, self)

    def _on_gone(self, connection: client_connection.ClientConnection) -> None:
        self._pool.open -= 1
