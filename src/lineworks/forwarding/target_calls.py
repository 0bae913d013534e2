"""Sends callers' requests to targets over a pool of reusable connections.

Every call ends with a verdict that says whether the target may have run the request. A request
that must not run twice is sent over a pooled connection only well within the idle timeout of the
target, and is never sent again.
"""

from __future__ import annotations

import collections
import dataclasses
import math
from typing import TYPE_CHECKING, Any, TypeAlias

import structlog

from lineworks.decisions import ownership, verdict
from lineworks.forwarding import _connection_pool, answers, target_learning
from lineworks.http1 import client_connection, reading_turns, unfinished_bodies
from lineworks.kernel import rate_limited_log, releasing_factory
from lineworks.platform import headers

if TYPE_CHECKING:
    from collections.abc import Callable

    from lineworks.forwarding import target_state

UNREPEATABLE_IDLE_SHARE = 0.5
"""Fraction of a target's idle timeout after which an idle connection to it is not used for a
request that must not run twice."""

MIN_SILENT_TARGETS = 4
"""Number of targets that must be late over reused connections, while no such connection delivers
anything, before all of them count as silent for good. It is rare that this many targets pause or
are slow at once without a single one answering."""

SILENCE_FACTOR = 1.5
"""Multiple of the usual service time after which an answer counts as late."""

SILENCE_FLOOR_SECONDS = 0.04
"""Seconds within which an answer is never late: two round trips between regions."""

SILENCE_CHECK_SECONDS = 0.01
"""Minimum seconds between checks for silent connections, each of which iterates over the calls in
progress."""

SWEEP_SECONDS = 1.0
"""Seconds between sweeps that close connections past their idle timeout."""

MAX_LOG_LINES_PER_SECOND = 2.0
"""Maximum number of log lines per second for invalid answers, and for discarded ones."""

MAX_LOGGED_IDENTITY = 64
"""Maximum number of characters of an identity in a log line; a target may send longer ones."""


_log = structlog.get_logger(component="target_calls")


@dataclasses.dataclass(frozen=True, slots=True)
class TargetCall:
    """The part of a request that is the same for every target."""

    head: bytes
    """Request line and headers, without those that differ by target and without the blank line."""

    body: bytes
    """Request body."""

    attempt: bytes
    """Identity of the caller's try, which the answer must repeat."""

    deadline: float
    """Time after which an answer is useless, in seconds on this process's clock."""

    is_repeatable: bool
    """Whether the request may run more than once."""

    content: str = ""
    """Fingerprint of the request, the same for all tries of it; empty where it isn't needed."""

    workspace: str = ""
    """Workspace on whose behalf the request runs; empty for none."""

    has_quota: bool = False
    """Whether that workspace has a quota."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallEnd:
    """Outcome of a call."""

    verdict: verdict.Verdict
    """Verdict on the call: whether the target ran the request, and why."""

    response: client_connection.Response | None = None
    """The target's response, or None if no complete one was received."""

    lost_before_answer: bool = False
    """Whether the connection closed after the request was sent and before any byte of an answer:
    either the target's process or only the connection has ended."""

    connection: int = 0
    """Number of the connection that the request was sent over; 0 if it was sent over none."""


@dataclasses.dataclass(slots=True, eq=False)
class _Exchange:
    """A call in progress."""

    state: target_state.TargetState
    call: TargetCall
    on_end: Callable[[CallEnd], None] | None
    started: float
    connection: _TargetConnection | None = None
    connector: Any = None


_Pool: TypeAlias = "_connection_pool.ConnectionPool[_TargetConnection]"


class TargetCalls:
    """Makes the calls of one instance to targets and holds its connections to them."""

    def __init__(
        self,
        reactor: Any,
        learning: target_learning.TargetLearning,
        unfinished: unfinished_bodies.UnfinishedBodies | None = None,
    ) -> None:
        """Start without connections.

        Args:
            reactor: Twisted's reactor.
            learning: Records how targets perform.
            unfinished: Limits the answers that are being received, together with others of the
                process; None for a limit of its own.
        """
        self._reactor = reactor
        self._learning = learning
        self._unfinished = (
            unfinished if unfinished is not None else unfinished_bodies.UnfinishedBodies()
        )
        self._turns = reading_turns.ReadingTurns(reactor)
        self._invalid = 0
        self._invalid_log = rate_limited_log.RateLimitedLog(
            reactor, "target_calls", MAX_LOG_LINES_PER_SECOND
        )
        self._discarded: collections.Counter[client_connection.DiscardReason] = (
            collections.Counter()
        )
        self._discarded_log = rate_limited_log.RateLimitedLog(
            reactor, "target_calls", MAX_LOG_LINES_PER_SECOND
        )
        self._pools: dict[str, _Pool] = {}
        self._timer: Any = None
        self._in_progress: dict[_Exchange, None] = {}
        # Calls in progress over reused connections, the oldest first.
        self._pooled_calls: dict[_Exchange, None] = {}
        # Latest start time of a call for which a reused connection delivered an answer or closed.
        self._last_answered_start = -math.inf
        self._next_silence_check = -math.inf
        self.opened = 0
        """Connections opened since the start, failed attempts included."""
        self.on_silence: Callable[[], None] = lambda: None
        """Called when the open connections turn out to be silent."""

    @property
    def unfinished(self) -> unfinished_bodies.UnfinishedBodies:
        """The bodies of the answers that are being received."""
        return self._unfinished

    @property
    def suppressed_lines(self) -> int:
        """Number of log lines suppressed since the start."""
        return self._invalid_log.suppressed_total + self._discarded_log.suppressed_total

    @property
    def gauges(self) -> dict[str, float]:
        """Invalid and discarded answers since the start, and bytes that are being received."""
        discarded = {
            f"discarded_{reason.value}": float(self._discarded[reason])
            for reason in client_connection.DiscardReason
        }
        return {
            **discarded,
            "invalid": float(self._invalid),
            "given_up": float(self._unfinished.given_up),
            "unfinished_bytes": float(self._unfinished.total_bytes),
        }

    def start(self) -> None:
        """Start the periodic sweep of idle connections."""
        self._timer = self._reactor.callLater(SWEEP_SECONDS, self._sweep)

    def stop(self) -> None:
        """Stop the sweep and close all idle connections."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        for pool in self._pools.values():
            pool.close_idle()

    def forget(self, target: str) -> None:
        """Close the idle connections to a target that was removed.

        Args:
            target: Identity of its process.
        """
        pool = self._pools.pop(target, None)
        if pool is not None:
            pool.close_idle()

    def on_target_ended(self, state: target_state.TargetState) -> None:
        """End all calls to a target whose process is known to have ended.

        Otherwise callers would wait until their deadline whenever the connection isn't closed.

        Args:
            state: The target.
        """
        for exchange in [one for one in self._in_progress if one.state is state]:
            connection = exchange.connection
            exchange.connection = None
            self._pooled_calls.pop(exchange, None)
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
            on_end: Called once unless the call is cancelled, and never before this returns.

        Returns:
            A function that cancels the call and the target's work on it. It returns whether nothing
            of the request was written to a connection, in which case it certainly did not run.
        """
        now = self._reactor.seconds()
        self.check_silence(now)
        exchange = _Exchange(state, call, on_end, now)
        self._in_progress[exchange] = None
        state.replica.on_started(now)
        self._learning.on_sent(state, now)
        pool = self._pool(state)
        share = 1.0 if call.is_repeatable else UNREPEATABLE_IDLE_SHARE
        connection = pool.take(now, share, call.attempt)
        if connection is not None:
            self._pooled_calls[exchange] = None
            self._send_on(exchange, connection)
        elif pool.has_capacity:
            self._connect(pool, exchange)
        elif pool.displace():
            # The target must see the end of the old connection before the new one.
            self._reactor.callLater(0, self._connect_unless_cancelled, pool, exchange)
        else:
            self._reactor.callLater(0, self._on_capped, exchange)
        return lambda: self._cancel(exchange)

    def check_silence(self, now: float) -> None:
        """Close the pooled connections if they are silent, before anything is sent over them.

        A search calls this before it sends to gatherers, because their links are silent then as
        well: searches that used them within a second of the silence ended at their deadline.

        Args:
            now: The current time, in seconds.
        """
        if self._are_pooled_silent(now):
            self._on_connections_silent(now)

    def _are_pooled_silent(self, now: float) -> bool:
        """Return whether several targets are late over reused connections and none answers."""
        if now < self._next_silence_check:
            return False
        self._next_silence_check = now + SILENCE_CHECK_SECONDS
        silent = set()
        for exchange in self._pooled_calls:
            if now - exchange.started <= SILENCE_FLOOR_SECONDS:
                break
            usual = self._learning.service_time(exchange.state)
            is_late = now - exchange.started > SILENCE_FACTOR * usual
            if is_late and exchange.started > self._last_answered_start:
                silent.add(exchange.state.id)
        return len(silent) >= MIN_SILENT_TARGETS

    def _on_connections_silent(self, now: float) -> None:
        """Close all idle connections, so that later requests are sent over new ones."""
        _log.warning("connections_silent", under_way=len(self._pooled_calls))
        self._last_answered_start = now
        for pool in self._pools.values():
            pool.close_idle()
        self.on_silence()

    def _pool(self, state: target_state.TargetState) -> _Pool:
        pool = self._pools.get(state.id)
        if pool is None:
            share = ownership.connection_share(state.replica.target.connections)
            pool = self._pools[state.id] = _connection_pool.ConnectionPool(share)
        return pool

    def _connect_unless_cancelled(self, pool: _Pool, exchange: _Exchange) -> None:
        if exchange.on_end is not None:
            self._connect(pool, exchange)

    def _connect(self, pool: _Pool, exchange: _Exchange) -> None:
        self.opened += 1
        pool.open += 1
        target = exchange.state.replica.target
        factory = _Factory(self, pool, exchange, self.opened)
        exchange.connector = self._reactor.connectTCP(
            target.host,
            target.port,
            factory,
            timeout=self._learning.connect_seconds(exchange.state),
        )

    def on_connected(self, exchange: _Exchange, connection: _TargetConnection) -> None:
        """Send the request that a connection was opened for, or pool it if that was cancelled."""
        exchange.connector = None
        if exchange.on_end is None:
            self._release(exchange, connection)
            return
        self._send_on(exchange, connection)

    def on_connect_failed(self, pool: _Pool, exchange: _Exchange, detail: str) -> None:
        """End a call whose connection could not be opened, so that nothing was sent."""
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

    def _send_on(self, exchange: _Exchange, connection: _TargetConnection) -> None:
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
        number = 0 if connection is None else connection.number
        if exchange in self._pooled_calls:
            del self._pooled_calls[exchange]
            self._last_answered_start = max(self._last_answered_start, exchange.started)
        if isinstance(end, client_connection.ConnectionFailure):
            if end.is_invalid:
                self._on_invalid(exchange, end.detail)
            found = verdict.may_have_run(verdict.Reason.LINK_LOST, end.detail)
            lost = CallEnd(found, lost_before_answer=end.is_unanswered, connection=number)
            self._end(exchange, lost, is_progress=False)
            return
        if connection is not None:
            self._release(exchange, connection)
        found = answers.classify_response(end)
        self._end(exchange, CallEnd(found, end, connection=number), is_progress=True)

    def _on_invalid(self, exchange: _Exchange, detail: str) -> None:
        self._invalid += 1
        target = exchange.state.replica.target
        self._invalid_log.info(
            "answer_invalid", target=exchange.state.id, service=target.service, detail=detail
        )

    def on_discarded(
        self,
        connection: _TargetConnection,
        discarded: client_connection.Discarded,
    ) -> None:
        """Count and log an answer, or other data of a target, that belongs to no pending call."""
        self._discarded[discarded.reason] += 1
        self._discarded_log.info(
            "answer_discarded",
            target=connection.target,
            connection=connection.number,
            reason=discarded.reason.value,
            status=discarded.status,
            names=_logged_identity(discarded.identity),
            expected=_logged_identity(discarded.expected),
        )

    def _release(self, exchange: _Exchange, connection: _TargetConnection) -> None:
        pool = self._pools.get(exchange.state.id)
        if pool is None or exchange.state.replica.is_leaving:
            connection.abort()
        elif not connection.is_closed:
            pool.idle.append(connection)

    def _end(self, exchange: _Exchange, end: CallEnd, is_progress: bool) -> None:
        """Record the outcome of a call and report it to the caller."""
        on_end = exchange.on_end
        exchange.on_end = None
        if on_end is None:
            return
        self._in_progress.pop(exchange, None)
        now = self._reactor.seconds()
        exchange.state.replica.on_ended(now, is_progress)
        seconds = now - exchange.started
        self._learning.on_end(exchange.state, end.verdict, end.response, now, seconds)
        on_end(end)

    def _cancel(self, exchange: _Exchange) -> bool:
        """Cancel a call; closing its connection makes the target drop the request.

        Returns:
            Whether it was still waiting for a connection, so that nothing is sent any more.
        """
        if exchange.on_end is None:
            return False
        exchange.on_end = None
        self._in_progress.pop(exchange, None)
        self._pooled_calls.pop(exchange, None)
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


def _logged_identity(identity: bytes) -> str:
    return identity.decode("latin-1")[:MAX_LOGGED_IDENTITY]


class _Factory(releasing_factory.ReleasingFactory):
    """Creates the connection that is opened for one call."""

    def __init__(self, calls: TargetCalls, pool: _Pool, exchange: _Exchange, number: int) -> None:
        self._calls = calls
        self._pool = pool
        self._exchange = exchange
        self._number = number

    def buildProtocol(self, addr: Any) -> _TargetConnection:  # noqa: N802
        """Create the protocol of the connection."""
        return _TargetConnection(self._calls, self._pool, self._exchange, self._number)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802
        """Report that the connection could not be opened."""
        detail = type(reason.value).__name__
        self._calls.on_connect_failed(self._pool, self._exchange, detail)


class _TargetConnection(client_connection.ClientConnection):
    """A connection that reports when it opens and counts towards its pool until it closes."""

    def __init__(self, calls: TargetCalls, pool: _Pool, exchange: _Exchange, number: int) -> None:
        service = exchange.state.replica.target.service
        super().__init__(
            calls._reactor.seconds, self._on_gone, calls.unfinished, service, calls._turns
        )
        self._calls = calls
        self._pool = pool
        self._exchange: _Exchange | None = exchange
        self.target = exchange.state.id
        """Identity of the target's process."""
        self.number = number
        """Number of the connection among all that this process has opened, for the logs."""

    def connectionMade(self) -> None:  # noqa: N802
        """Report the connection, over which the waiting request is then sent."""
        super().connectionMade()
        exchange = self._exchange
        self._exchange = None
        assert exchange is not None
        self._calls.on_connected(exchange, self)

    def on_discarded(self, discarded: client_connection.Discarded) -> None:
        """Count and log what belongs to no pending call."""
        self._calls.on_discarded(self, discarded)

    def _on_gone(self, connection: client_connection.ClientConnection) -> None:
        self._pool.open -= 1
