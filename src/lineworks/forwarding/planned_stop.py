"""Planned stop of one process: every request is answered between the signal and the exit.

New requests are accepted until the load balancer has deregistered the instance. Requests still in
progress when the time is up are answered with their verdicts so far: either the caller can
retry, or it learns that the request may have run.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

import structlog

from lineworks.decisions import stop_times
from lineworks.kernel import listening

if TYPE_CHECKING:
    from collections.abc import Callable

    from lineworks.forwarding import front, gathering
    from lineworks.http1 import server_connection

POLL_SECONDS = 0.05
"""Seconds between checks for requests in progress during a stop."""

_log = structlog.get_logger(component="node")


class PlannedStop:
    """Planned stop of one process."""

    def __init__(
        self,
        reactor: Any,
        name: str,
        grace: float,
        callers: server_connection.Server,
        requests: front.Front,
        queries: gathering.Gatherer,
        stop_listening: Callable[[], None],
        refuse_new: Callable[[], bool] = lambda: False,
    ) -> None:
        """Prepare the stop, without beginning it.

        Args:
            reactor: Twisted's reactor; it is stopped at the end.
            name: Name of the instance.
            grace: Seconds after the signal at which the platform kills the process.
            callers: Server with the callers' connections.
            requests: Front with the callers' requests.
            queries: Gatherer with the queries of other instances.
            stop_listening: Accepts the connections in the backlog, and closes the callers' port.
            refuse_new: Lets no more connections be established, accepts those in the backlog, and
                returns whether the port must stay open for the handshakes under way.
        """
        self._reactor = reactor
        self._name = name
        self._grace = grace
        self._callers = callers
        self._requests = requests
        self._queries = queries
        self._stop_listening = stop_listening
        self._refuse_new = refuse_new
        self._is_refusing_new = False
        self._is_port_closed = False
        self._times: stop_times.StopTimes | None = None
        self._answered: int | None = None
        self.is_over = False
        """Whether the process is closing its connections and exits."""

    @property
    def is_begun(self) -> bool:
        """Whether the stop has begun."""
        return self._times is not None

    @property
    def answer_by(self) -> float:
        """Latest time at which requests in progress are answered, in seconds; infinite at first."""
        return math.inf if self._times is None else self._times.answer_by

    def begin(self, signalled_at: float) -> None:
        """Begin the stop: the process exits when all work is done, or when the time is up.

        Args:
            signalled_at: When the signal was received, in seconds.
        """
        self._times = stop_times.plan(signalled_at, self._grace)
        _log.info("stopping", name=self._name)
        self._poll(self._times)

    def _poll(self, times: stop_times.StopTimes) -> None:
        """Run the steps that are due; exit once deregistered and without requests in progress."""
        now = self._reactor.seconds()
        if now >= times.deregistered_by:
            self._close_idle(stop_times.MIN_IDLE_SECONDS)
        may_end = self._may_end(times, now)
        if may_end and self._is_port_closed:
            self._end()
            return
        if may_end or now >= times.answer_by or self._is_refusing_new:
            self._close_port()
        if now >= times.answer_by:
            self._answer_all()
        is_closing = self._is_refusing_new and not self._is_port_closed
        pause = listening.HANDSHAKE_SECONDS if is_closing else POLL_SECONDS
        self._reactor.callLater(pause, self._poll, times)

    def _may_end(self, times: stop_times.StopTimes, now: float) -> bool:
        is_deregistered = now >= times.deregistered_by and not self._callers.connections
        if is_deregistered and self._is_idle:
            return True
        # A process that was suspended until then must answer first; answers are sent within one
        # reactor iteration.
        return now >= times.end_by and self._answered is not None

    def _close_idle(self, min_idle: float) -> None:
        """Close connections without a request, unless their first request may be in transit.

        Without that exception, 289 connections in 60 stops were closed within milliseconds of
        being opened, and their callers could not know that nothing had run.
        """
        for connection in list(self._callers.connections):
            connection.close_if_idle(min_idle)

    def _close_port(self) -> None:
        """Stop accepting connections, but serve those that were established before.

        Later callers are refused by the operating system and know that nothing ran. With the port
        open, connections opened as the process exited were closed without an answer. The first call
        only keeps new connections out, so that the close resets none that the system completes
        just before it.
        """
        if self._is_port_closed:
            return
        if not self._is_refusing_new:
            self._is_refusing_new = True
            if self._refuse_new():
                return
        self._is_port_closed = True
        self._stop_listening()

    @property
    def _is_idle(self) -> bool:
        return self._requests.is_idle and self._queries.is_idle

    def _answer_all(self) -> None:
        """Answer the requests in progress, because the process exits before they can finish.

        Without this, their connections were closed unanswered: 203 attempts in 60 stops, with
        callers that kept sending until the process was gone while targets became slow.
        """
        for connection in list(self._callers.connections):
            connection.shut_down()
        count = self._requests.end_all() + self._queries.end_all()
        self._answered = count + (self._answered or 0)

    def _end(self) -> None:
        open_connections = self._callers.connections
        _log.info(
            "stopped",
            name=self._name,
            is_idle=self._is_idle,
            answered_at_end=self._answered or 0,
            connections=len(open_connections),
            under_way=sum(connection.is_busy for connection in open_connections),
        )
        self.is_over = True
        self._reactor.callLater(0, self._reactor.stop)
