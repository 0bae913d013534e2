"""The planned stop of one process: from the signal to its end, every request gets an answer.

New work is taken until the balancer has let go. What is still under way when the time is up is
answered with what is known of it: its caller can ask again, or knows that it may have run.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

import structlog

from lineworks.decisions import stop_times

if TYPE_CHECKING:
    from collections.abc import Callable

    from lineworks.forwarding import front, gathering
    from lineworks.http1 import server_connection

POLL_SECONDS = 0.05
"""Seconds between looks for requests under way while the process stops."""

_log = structlog.get_logger(component="node")


class PlannedStop:
    """The stop of one process; it has not begun at first."""

    def __init__(
        self,
        reactor: Any,
        name: str,
        grace: float,
        callers: server_connection.Server,
        requests: front.Front,
        queries: gathering.Gatherer,
        stop_listening: Callable[[], None],
    ) -> None:
        """Prepare the stop.

        Args:
            reactor: Twisted's reactor; it is stopped at the end.
            name: Name of the instance.
            grace: Seconds after the signal at which the platform ends the process.
            callers: Connections of callers.
            requests: Their requests.
            queries: What other instances asked this one to gather.
            stop_listening: Accepts the connections that wait, and closes the callers' port.
        """
        self._reactor = reactor
        self._name = name
        self._grace = grace
        self._callers = callers
        self._requests = requests
        self._queries = queries
        self._stop_listening = stop_listening
        self._is_port_closed = False
        self._times: stop_times.StopTimes | None = None
        self._answered: int | None = None
        self.is_over = False
        """Whether the process closes its connections now."""

    @property
    def is_begun(self) -> bool:
        """Whether the process stops."""
        return self._times is not None

    @property
    def answer_by(self) -> float:
        """When whatever is under way is answered, in seconds; infinite before the stop."""
        return math.inf if self._times is None else self._times.answer_by

    def begin(self, asked_at: float) -> None:
        """Stop the process: it ends when all work is done, or when the time is up.

        Args:
            asked_at: When the signal came, in seconds.
        """
        self._times = stop_times.plan(asked_at, self._grace)
        _log.info("stopping", name=self._name)
        self._poll(self._times)

    def _poll(self, times: stop_times.StopTimes) -> None:
        """Do what is due, and end when the balancer has let go and no request is under way."""
        now = self._reactor.seconds()
        if now >= times.deregistered_by:
            self._close_idle(stop_times.MIN_IDLE_SECONDS)
        if self._may_end(times, now):
            if self._is_port_closed:
                self._end()
                return
            self._close_port()
        if now >= times.answer_by:
            self._close_port()
            self._answer_all()
        self._reactor.callLater(POLL_SECONDS, self._poll, times)

    def _may_end(self, times: stop_times.StopTimes, now: float) -> bool:
        is_deregistered = now >= times.deregistered_by and not self._callers.connections
        if is_deregistered and self._is_idle:
            return True
        # A process that stood still until then must answer first; one turn lets answers leave.
        return now >= times.end_by and self._answered is not None

    def _close_idle(self, min_idle: float) -> None:
        """Close connections without a request, but not while their first one may be on its way.

        Without that, 289 callers in 60 stops were closed out within milliseconds of their dial, and
        could not know that nothing had run.
        """
        for connection in list(self._callers.connections):
            connection.close_if_idle(min_idle)

    def _close_port(self) -> None:
        """Take no new connections, but serve those that had connected by then.

        Whoever comes later is refused by the system and knows that nothing ran; a connection that
        came with the end of the process was closed unanswered.
        """
        if not self._is_port_closed:
            self._is_port_closed = True
            self._stop_listening()

    @property
    def _is_idle(self) -> bool:
        return self._requests.is_idle and self._queries.is_idle

    def _answer_all(self) -> None:
        """Answer what is under way, because the process ends before it could be finished.

        Without it such requests were cut: 203 of them in 60 stops under callers that go on until
        the process is gone, while targets turned slow (count of tries without an answer).
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
