"""Updates the state of targets from the outcome of calls.

Outcomes show which targets are fast, full, unreachable, slow or gone. A log line is written when a
target is avoided, and another one when it answers again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from lineworks.decisions import hall_ways, verdict
from lineworks.kernel import rate_limited_log
from lineworks.platform import headers

if TYPE_CHECKING:
    import random

    from lineworks.forwarding import target_book, target_state
    from lineworks.http1 import client_connection

SHED_BACKOFF_SECONDS = 0.02
"""Seconds for which a target is not chosen after it refused a request for lack of capacity."""

SLOW_FACTOR = 2.0
"""A call given up after this multiple of the usual service time counts against its target."""

MAX_LOG_LINES_PER_SECOND = 5.0
"""Maximum number of log lines per second for targets that are avoided or answer again."""


class TargetLearning:
    """Records the outcome of one instance's calls."""

    def __init__(self, clock: Any, book: target_book.TargetBook, rng: random.Random) -> None:
        """Start without outcomes.

        Args:
            clock: Provides the current time, as Twisted's reactor does.
            book: State of all targets.
            rng: Random numbers for the jitter of back-offs.
        """
        self._book = book
        self._rng = rng
        self._log = rate_limited_log.RateLimitedLog(clock, "targets", MAX_LOG_LINES_PER_SECOND)

    @property
    def suppressed_lines(self) -> int:
        """Number of log lines suppressed since the start."""
        return self._log.suppressed_total

    def service_time(self, state: target_state.TargetState) -> float:
        """Return the average latency of the target's service, in seconds; 0 if unknown."""
        return self._book.service_time(state.replica.target.service)

    def connect_seconds(self, state: target_state.TargetState) -> float:
        """Return the connect timeout for a target, in seconds."""
        return hall_ways.connect_seconds(self._book.round_trips.round_trip(state.hall))

    def on_sent(self, state: target_state.TargetState, now: float) -> None:
        """Count a call that is about to be sent against the limit of a cold target.

        Args:
            state: The target.
            now: The current time, in seconds.
        """
        if state.cold_rate > 0:
            self._book.cold.note_sent(state.id, now)

    def on_end(
        self,
        state: target_state.TargetState,
        found: verdict.Verdict,
        response: client_connection.Response | None,
        now: float,
        seconds: float,
    ) -> None:
        """Record the outcome of a call.

        Args:
            state: The target.
            found: Verdict on the call.
            response: The target's response, or None if no complete one was received.
            now: The current time, in seconds.
            seconds: How long it took.
        """
        if found.is_ok:
            state.replica.limit.on_success()
            self._book.note_answer(state, now, seconds)
            self._log_return(state)
        elif found.reason is verdict.Reason.CAPPED:
            state.replica.limit.on_refused()
        else:
            self._book.note_failure(state, now)
            self._on_failure(state, found, now)
        if response is not None:
            self._record_reported_load(state, response, now)

    def _record_reported_load(
        self,
        state: target_state.TargetState,
        response: client_connection.Response,
        now: float,
    ) -> None:
        """Record the load and the warm-up time that a target reports in its answer."""
        load = headers.read_load(response.headers)
        if load is not None:
            state.replica.on_load(now, state.id, load.running + load.waiting)
            if load.pace is not None:
                state.pace = load.pace
                state.pace_reported_at = now
        left = headers.read_cold_seconds(response.headers)
        if left:
            state.assumed_cold_until = max(state.assumed_cold_until, now + left)

    def on_given_up(self, state: target_state.TargetState, now: float, seconds: float) -> None:
        """Record a call that was given up before it ended.

        Args:
            state: The target.
            now: The current time, in seconds.
            seconds: Time since it was sent.
        """
        usual = self._book.service_time(state.replica.target.service)
        if usual and seconds > SLOW_FACTOR * usual:
            state.replica.on_attempt_abandoned(now)
            if state.replica.ejected_until > now:
                self._log_avoided(state, now, state.replica.ejected_until, "slow", seconds)
        self._book.note_given_up(state, now, seconds)

    def _on_failure(
        self, state: target_state.TargetState, found: verdict.Verdict, now: float
    ) -> None:
        replica = state.replica
        if found.reason is verdict.Reason.OVERLOADED:
            replica.limit.on_refused()
            replica.backoff_until = now + SHED_BACKOFF_SECONDS
        elif found.reason in (verdict.Reason.UNREACHABLE, verdict.Reason.LINK_LOST):
            replica.on_unreachable(now, self._rng)
            if found.reason is verdict.Reason.UNREACHABLE:
                self._book.observations.note_unreachable(state.id, now)
            self._log_avoided(state, now, replica.backoff_until, found.reason.value, 0.0)
        elif found.reason is verdict.Reason.LEAVING:
            # Another process listens on the address, so this one is gone for good.
            replica.is_leaving = True
            self._book.observations.note_gone(state.id, now)

    def _log_avoided(
        self, state: target_state.TargetState, now: float, until: float, reason: str, waited: float
    ) -> None:
        """Log that a target is avoided for a while."""
        state.is_avoided = True
        self._log.info(
            "target_avoided",
            target=state.id,
            service=state.replica.target.service,
            reason=reason,
            seconds=round(until - now, 3),
            failures=state.replica.failures,
            losses=state.replica.losses,
            waited_ms=round(waited * 1000, 1),
        )

    def _log_return(self, state: target_state.TargetState) -> None:
        """Log that a target that was avoided answers again."""
        if state.is_avoided:
            state.is_avoided = False
            service = state.replica.target.service
            self._log.info("target_returned", target=state.id, service=service)
