"""Learns from calls how the targets do: who is fast, full, out of reach, slow, or gone.

Each time a target is left alone, and when it answers again, one line says so.
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
"""Seconds that a target is left alone after it refused a request for lack of room."""

SLOW_FACTOR = 2.0
"""A call given up after this many usual service times counts against its target."""

LINES_PER_SECOND = 5.0
"""Log lines a second on targets that are left alone or answer again."""


class TargetLearning:
    """What one instance learns from its calls."""

    def __init__(self, clock: Any, book: target_book.TargetBook, rng: random.Random) -> None:
        """Start with nothing learned.

        Args:
            clock: Tells the present, as Twisted's reactor does.
            book: Records of the targets.
            rng: Jitter of back-offs.
        """
        self._book = book
        self._rng = rng
        self._log = rate_limited_log.RateLimitedLog(clock, "targets", LINES_PER_SECOND)

    @property
    def lines_left_out(self) -> int:
        """Log lines left out since the start."""
        return self._log.suppressed_total

    def usual(self, state: target_state.TargetState) -> float:
        """Tell how long targets of its service usually take, in seconds; 0 when unknown."""
        return self._book.service_time(state.replica.target.service)

    def connect_seconds(self, state: target_state.TargetState) -> float:
        """Tell how long to wait for a connection to a target, in seconds."""
        return hall_ways.connect_seconds(self._book.ways.round_trip(state.hall))

    def on_sent(self, state: target_state.TargetState, now: float) -> None:
        """Count a call that is about to be sent.

        Args:
            state: The target.
            now: The present, in seconds.
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
        """Learn from a call that ended.

        Args:
            state: The target.
            found: What is known of the call.
            response: The target's answer, if a whole one came.
            now: The present, in seconds.
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
        """Take in what a target says of itself in an answer."""
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
        """Learn from a call that was no longer waited for.

        Args:
            state: The target.
            now: The present, in seconds.
            seconds: How long it had been waited for.
        """
        usual = self._book.service_time(state.replica.target.service)
        if usual and seconds > SLOW_FACTOR * usual:
            state.replica.on_lost_race(now)
            if state.replica.suspect_until > now:
                self._log_avoided(state, now, state.replica.suspect_until, "slow", seconds)
        self._book.note_given_up(state, now, seconds)

    def _on_failure(
        self, state: target_state.TargetState, found: verdict.Verdict, now: float
    ) -> None:
        replica = state.replica
        if found.reason is verdict.Reason.OVERLOADED:
            replica.limit.on_refused()
            replica.rest_until = now + SHED_BACKOFF_SECONDS
        elif found.reason in (verdict.Reason.UNREACHABLE, verdict.Reason.LINK_LOST):
            replica.on_unreachable(now, self._rng)
            if found.reason is verdict.Reason.UNREACHABLE:
                self._book.sightings.note_unreachable(state.id, now)
            self._log_avoided(state, now, replica.rest_until, found.reason.value, 0.0)
        elif found.reason is verdict.Reason.LEAVING:
            # Another process has the address, so this one is gone for good.
            replica.is_leaving = True
            self._book.sightings.note_gone(state.id, now)

    def _log_avoided(
        self, state: target_state.TargetState, now: float, until: float, why: str, waited: float
    ) -> None:
        """Say that a target is passed over for a while."""
        state.is_avoided = True
        self._log.info(
            "target_avoided",
            target=state.id,
            service=state.replica.target.service,
            reason=why,
            seconds=round(until - now, 3),
            failures=state.replica.failures,
            losses=state.replica.losses,
            waited_ms=round(waited * 1000, 1),
        )

    def _log_return(self, state: target_state.TargetState) -> None:
        """Say that a target that was passed over answers again."""
        if state.is_avoided:
            state.is_avoided = False
            service = state.replica.target.service
            self._log.info("target_returned", target=state.id, service=service)
