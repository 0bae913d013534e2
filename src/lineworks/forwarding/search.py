"""Coordinates one search: fans it out to shards, retries and hedges, and merges the results.

Shards that have a target in the local data hall are queried directly. The others are queried
through a gatherer in the hall that covers most of them. Slow shards are hedged at another target
while the budget of extra attempts lasts. Just before the route's latency objective (`slo`), the
search returns the shards received so far if they reach the required coverage, because a later
answer is worth little.
"""

from __future__ import annotations

import dataclasses
import functools
from typing import TYPE_CHECKING, Any

from lineworks.decisions import fair_shares, mechanisms, parts, verdict
from lineworks.forwarding import (
    attempts,
    extra_keeper,
    outcome,
    search_attempts,
    search_hedges,
    search_state,
)
from lineworks.http1 import server_connection
from lineworks.platform import headers

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from lineworks.decisions import routes
    from lineworks.forwarding import caution, front_services, target_calls, target_state

SLOT_WAIT_SHARE = 0.2
"""Share of the latency objective for which a search waits for targets with a free slot before it is
refused. A refusal within a quarter of the objective leaves the caller time to try again."""

SLOT_POLL_SECONDS = 0.01
"""Seconds between checks for targets with a free slot."""

RETRY_BACKOFF = 0.01
"""Seconds before a shard is retried after all its targets were tried or full. This is a third of a
typical service time, after which a slot may be free. Later backoffs are twice as long."""

MAX_RETRY_BACKOFF = 0.02
"""Upper bound of the retry backoff, in seconds: a target that recovers must still be able to answer
in time."""

RETRY_CUTOFF_SECONDS = 2 * search_attempts.FLUSH_MARGIN
"""Seconds before the deadline from which failed attempts are no longer retried. Gatherers send
their final reports in this period, and the deadline handler decides from them what ran."""

_OVERLAP = verdict.ran(verdict.Reason.FAILED, "merged with a shard that was in already")


class Search:
    """A search in progress."""

    def __init__(
        self,
        shared: front_services.FrontServices,
        route: routes.Route,
        call: target_calls.TargetCall,
        crash_guard: caution.CrashGuard,
        due: float,
        arrived: float,
        on_end: Callable[[outcome.Outcome], None],
    ) -> None:
        """Create a search without sending anything.

        Args:
            shared: State shared by all requests of the front.
            route: The route, with the set of shards of one configuration version.
            call: The request as it is sent to every target.
            crash_guard: Limits retries and hedges while the request may be crashing its targets.
            due: Time by which the answer must be sent to meet the latency objective, in seconds.
            arrived: Time at which the first byte of the request was read, in seconds.
            on_end: Called once with the outcome, unless the search is cancelled.
        """
        self._shared = shared
        self._route = route
        self._call = call
        self._crash_guard = crash_guard
        self._due = due
        self._arrived = arrived
        self._on_end: Callable[[outcome.Outcome], None] | None = on_end
        self._shards = [search_state.Shard(service) for service in route.shards]
        self._parts = parts.PartSet(len(self._shards), route.top)
        self._needed = parts.required_shards(len(self._shards), route.min_coverage)
        self._attempts = search_attempts.SearchAttempts(
            shared,
            route,
            call,
            crash_guard,
            self._shards,
            self._parts.floor,
            self._add_part,
            self._on_failure,
        )
        self._timers: list[Any] = []
        self._is_due = False
        self._attempts.due = due
        self._hedges = search_hedges.SearchHedges(
            shared, route, self._shards, self._parts, call.workspace
        )
        self._failures: list[str] = []
        self._deferred: list[int] = []
        self._given_up: set[int] = set()
        usual_seconds = max(map(shared.book.service_time, route.shards), default=0.0)
        self._waiting_request = fair_shares.WaitingRequest(
            call.workspace,
            route.priority,
            arrived,
            fair_shares.latest_start(due, usual_seconds),
            call.has_quota,
        )
        self._leave_queue: Callable[[], None] = lambda: None

    def start(self) -> None:
        """Start the search, or queue it behind requests that go first."""
        shared = self._shared
        now = shared.reactor.seconds()
        for shard in self._shards:
            shared.extra.note_request(shard.service, now)
        self._set_timer(self._call.deadline - now, self._on_deadline)
        if shared.queue.has_waiter_ahead(self._waiting_request, self._route.shards):
            self._wait_for_slots()
        else:
            self._begin()

    def _begin(self) -> None:
        """Send the first attempts if enough shards have a target with a free slot.

        Otherwise the search waits or is refused.
        """
        if self._on_end is None:
            return
        shared = self._shared
        now = shared.reactor.seconds()
        chosen = {
            index: self._choose_target(shard, now)
            for index, shard in enumerate(self._shards)
            if index not in self._parts.covered
        }
        open_shards = sum(1 for state in chosen.values() if state is not None)
        if open_shards + len(self._parts.covered) < self._needed:
            self._wait_or_refuse(open_shards, now)
            return
        if not self._attempts.count:
            shared.queue.note_served(self._call.workspace)
        if self._crash_guard.is_trial:
            self._begin_trial(chosen, now)
            return
        self._hedges.start(now, self._due)
        self._attempts.hedge_at = now + self._hedges.remote_delay
        if mechanisms.Mechanism.EARLY_ANSWER not in shared.without:
            self._set_timer(self._due - now, self._on_due)
        self._dispatch(chosen, is_hedge=False)
        if self._on_end is None:
            return
        if mechanisms.Mechanism.SEARCH_HEDGES not in shared.without:
            self._set_timer(self._hedges.local_delay, self._on_hedge)
            self._set_timer(self._hedges.remote_delay, self._on_hedge)
        self._finish_if_done()

    def _begin_trial(
        self, chosen: Mapping[int, target_state.TargetState | None], now: float
    ) -> None:
        """Send a request that is suspected of crashing targets to a single target.

        The other shards follow once that target has answered. Without this, each try of such a
        search crashed one target of every shard.
        """
        for index, state in chosen.items():
            if state is not None:
                self._attempts.send_to_target(index, state, now, is_hedge=False)
                return

    def _on_trial_end(self, found: verdict.Verdict) -> None:
        """Retry a failed trial if the target did not run the request; otherwise end the search."""
        if self._crash_guard.blocks_retries or not found.is_not_run:
            self._finish_incomplete()
        else:
            self._set_timer(SLOT_POLL_SECONDS, self._begin)

    def _wait_or_refuse(self, open_shards: int, now: float) -> None:
        """Wait briefly for free slots, or refuse the search.

        Nothing is sent until enough shards can be queried, so a search that cannot succeed puts no
        load on targets.
        """
        reachable = sum(1 for shard in self._shards if self._has_known_target(shard))
        queue = self._shared.queue
        is_off = mechanisms.Mechanism.ROOM_WAIT in self._shared.without
        may_wait = not is_off and not queue.is_too_late(self._waiting_request, now)
        last = self._arrived + SLOT_WAIT_SHARE * self._route.slo - SLOT_POLL_SECONDS
        if may_wait and reachable >= self._needed and now < min(last, self._call.deadline):
            self._wait_for_slots()
            return
        if not self._attempts.count:
            queue.note_refused(self._call.workspace)
        detail = f"{open_shards} of {len(self._shards)} shards have a target with room"
        # The target of a trial may have run the request.
        certainty = self._coverage_verdict().certainty
        found = dataclasses.replace(outcome.no_target(self._route, detail), certainty=certainty)
        self._finish_with_error(found, queue.retry_after(outcome.RETRY_AFTER))

    def _wait_for_slots(self) -> None:
        """Schedule another attempt to begin, in queue order if workspaces share the slots."""
        queue = self._shared.queue
        if queue.is_fair:
            self._leave_queue = queue.wait(self._waiting_request, self._route.shards, self._begin)
        else:
            self._set_timer(SLOT_POLL_SECONDS, self._begin)

    def _has_known_target(self, shard: search_state.Shard) -> bool:
        return self._shared.book.has_target(shard.service, self._route.homes)

    def current_verdict(self) -> verdict.Verdict:
        """Return the verdict on the search so far, for a shutdown of this process."""
        found = self._coverage_verdict()
        return dataclasses.replace(found, reason=verdict.Reason.LEAVING)

    def end(self) -> None:
        """End the search because the process is shutting down.

        Returns the results received so far if they reach the required coverage, else an error.
        """
        if self._on_end is None:
            return
        if len(self._parts.covered) >= self._needed:
            self._finish()
        else:
            self._attempts.cancel_direct_attempts()
            self._end(
                outcome.refuse(
                    self.current_verdict(), self._attempts.count, outcome.SHUTDOWN_RETRY_AFTER
                )
            )

    def cancel(self) -> None:
        """Cancel the search because its caller has disconnected."""
        self._on_end = None
        self._crash_guard.finish()
        self._stop()

    def _set_timer(self, delay: float, call: Callable[[], None]) -> None:
        self._timers.append(self._shared.reactor.callLater(max(0.0, delay), call))

    def _dispatch(
        self, chosen: Mapping[int, target_state.TargetState | None], is_hedge: bool
    ) -> None:
        """Send attempts for shards, grouping those that go to the same remote hall.

        Hedges have already been charged to the budget of extra attempts. Retries are charged here.

        Args:
            chosen: The target expected to answer first, by position of the shard.
            is_hedge: Whether the attempts are hedges.
        """
        now = self._shared.reactor.seconds()
        self._shared.calls.check_silence(now)
        remote: list[int] = []
        local: dict[int, target_state.TargetState] = {}
        for index, state in chosen.items():
            shard = self._shards[index]
            if state is None:
                self._on_unreachable(index)
            elif shard.sent and not is_hedge and not self._spend_retry(shard, now):
                self._on_budget_exhausted(index)
            elif shard.was_sent_to(state.id):
                # A gatherer might choose a different target and so exceed the route's limit.
                self._attempts.send_to_target(index, state, now, is_hedge)
            elif state.hall == self._shared.hall:
                local[index] = state
            else:
                remote.append(index)
        # Remote halls first: sending the local calls takes CPU time and would delay them.
        if remote:
            self._attempts.send_to_halls(remote, now, is_hedge)
        if local:
            self._attempts.send_to_local_hall(local, now, is_hedge)

    def _spend_retry(self, shard: search_state.Shard, now: float) -> bool:
        return self._shared.try_spend(shard.service, now, workspace=self._call.workspace)

    def _choose_target(
        self, shard: search_state.Shard, now: float
    ) -> target_state.TargetState | None:
        return shard.choose(self._shared.book, self._route, now)

    def _choose_target_now(self, shard: search_state.Shard) -> target_state.TargetState | None:
        return self._choose_target(shard, self._shared.reactor.seconds())

    def _add_part(self, part: parts.Part, done: Iterable[search_state.ShardAttempt]) -> bool:
        """Add a partial result, and cancel the other attempts at its shards.

        Args:
            part: The partial result.
            done: The attempts that delivered it.

        Returns:
            Whether the partial result was accepted.
        """
        if self._on_end is None:
            return False
        was_trial = not self._hedges.is_started
        is_used = self._parts.add(part)
        if not is_used:
            self._shared.counters.parts_dropped += 1
        for attempt in done:
            if attempt.shard in self._parts.covered:
                self._attempts.cancel_shard(self._shards[attempt.shard])
            else:
                self._on_failure(attempt.shard, _OVERLAP)
        if was_trial:
            self._begin()
        self._retry_deferred()
        self._finish_if_done()
        return is_used

    def _on_failure(self, index: int, found: verdict.Verdict) -> None:
        """Handle a failed attempt: retry, defer, or leave it to an attempt still running."""
        if self._on_end is None:
            return
        shard = self._shards[index]
        self._failures.append(f"{shard.service} {found.reason.value}: {found.detail}")
        if self._shared.reactor.seconds() + RETRY_CUTOFF_SECONDS >= self._call.deadline:
            # Too late for another attempt; gatherers are about to send their final reports.
            return
        if self._crash_guard.is_trial:
            self._on_trial_end(found)
            return
        if not self._hedges.is_started:
            # The trial target answered, if only with an error, so the request is not crashing it.
            self._begin()
            return
        self._retry_deferred()
        if index in self._parts.covered or shard.running or shard.is_waiting:
            self._finish_if_stuck()
            return
        if self._crash_guard.blocks_retries:
            self._defer(index)
            return
        # Targets that have run the request failed just now, so they are not asked again.
        is_left = attempts.has_target_left(shard.all_attempts, self._route.max_attempts)
        if shard.sent >= search_hedges.MAX_SENT_ATTEMPTS or not is_left:
            self._give_up(index)
        else:
            self._shared.counters.retries += 1
            self._dispatch({index: self._choose_target_now(shard)}, is_hedge=False)
        self._finish_if_done()

    def _defer(self, index: int) -> None:
        """Defer a shard until a target has answered, since the request may be crashing targets.

        Retries and hedges of such a search crashed the second replica of each shard as well.
        """
        self._shards[index].is_waiting = True
        self._deferred.append(index)
        self._finish_if_stuck()

    def _finish_if_stuck(self) -> None:
        """End the search if targets disconnected and no running attempt could still answer."""
        is_running = any(shard.running for shard in self._shards)
        if (
            self._on_end is not None
            and self._deferred
            and self._crash_guard.blocks_retries
            and not is_running
        ):
            self._finish_incomplete()

    def _retry_deferred(self) -> None:
        """Retry the deferred shards once a target has answered."""
        if not self._deferred or self._crash_guard.blocks_retries:
            return
        deferred, self._deferred = self._deferred, []
        for index in deferred:
            self._on_retry(index)

    def _on_unreachable(self, index: int) -> None:
        """Handle a shard without an eligible target: retry all after a backoff, or give up."""
        shard = self._shards[index]
        if shard.running or shard.is_waiting:
            return
        now = self._shared.reactor.seconds()
        pause = min(MAX_RETRY_BACKOFF, RETRY_BACKOFF * 2**shard.backoffs)
        if now + pause < self._call.deadline and self._has_known_target(shard):
            shard.is_waiting = True
            shard.backoffs += 1
            shard.tried.clear()
            self._set_timer(pause, functools.partial(self._on_retry, index))
        else:
            self._give_up(index)

    def _give_up(self, index: int) -> None:
        """Mark a shard as given up, so that nothing more is sent for it."""
        self._shards[index].is_given_up = True
        self._given_up.add(index)

    def _on_retry(self, index: int) -> None:
        shard = self._shards[index]
        shard.is_waiting = False
        if self._on_end is None or index in self._parts.covered or shard.running:
            return
        if self._crash_guard.blocks_retries:
            self._defer(index)
            return
        self._dispatch({index: self._choose_target_now(shard)}, is_hedge=False)
        self._finish_if_done()

    def _on_budget_exhausted(self, index: int) -> None:
        """Request an extra attempt for a shard, or give the shard up after too many requests."""
        shard = self._shards[index]
        if shard.running or shard.is_waiting:
            return
        if shard.budget_requests < extra_keeper.MAX_ASKS:
            shard.budget_requests += 1
            shard.is_waiting = True
            on_reply = functools.partial(self._on_retry, index)
            self._shared.ask_for_retry(shard.service, self._call.workspace, on_reply)
        else:
            self._give_up(index)

    def _on_hedge(self) -> None:
        """Hedge the slow shards, and schedule the next check."""
        if self._on_end is None:
            return
        now = self._shared.reactor.seconds()
        if not self._crash_guard.blocks_retries:
            self._send_hedges(now)
        self._hedges.request_budget(self._on_budget_reply)
        pause = self._hedges.next_check(now)
        if pause is not None:
            self._set_timer(pause, self._on_hedge)
        self._finish_if_done()

    def _on_budget_reply(self) -> None:
        """Choose hedges again, because extra attempts may have been granted."""
        if self._on_end is None or self._crash_guard.blocks_retries:
            return
        self._send_hedges(self._shared.reactor.seconds())
        self._finish_if_done()

    def _send_hedges(self, now: float) -> None:
        hedged = self._hedges.choose(now)
        if hedged:
            pairs = [
                (self._shards[index].running[0].state, state) for index, state in hedged.items()
            ]
            self._shared.log_hedges(self._call, now - self._arrived, pairs)
            self._dispatch(hedged, is_hedge=True)

    def _on_due(self) -> None:
        self._is_due = True
        self._finish_if_done()
        if self._on_end is None:
            lag = self._shared.reactor.seconds() - self._due
            self._shared.lags.record(max(0.0, lag))

    def _on_deadline(self) -> None:
        if self._on_end is None:
            return
        if len(self._parts.covered) >= self._needed:
            self._finish()
            return
        self._finish_incomplete(verdict.Reason.DEADLINE)

    def _finish_if_done(self) -> None:
        """End the search as soon as waiting longer cannot improve its result."""
        if self._on_end is None:
            return
        covered = len(self._parts.covered)
        is_enough = covered >= self._needed
        # Counted from the few shards that were given up: a scan of all shards for each partial
        # result would make the total work quadratic in the number of shards.
        given_up = len(self._given_up - self._parts.covered) if self._given_up else 0
        open_shards = len(self._shards) - covered - given_up
        if not self._parts.missing or (is_enough and (self._is_due or not open_shards)):
            self._finish()
        elif covered + open_shards < self._needed:
            self._finish_incomplete()

    def _coverage_verdict(self) -> verdict.Verdict:
        detail = f"{len(self._parts.covered)} of {len(self._shards)} shards answered"
        certainty = attempts.certainty(
            attempt for shard in self._shards for attempt in shard.all_attempts
        )
        return verdict.Verdict(certainty, verdict.Reason.COVERAGE, detail)

    def _finish(self) -> None:
        merged = self._parts.merged()
        fields = headers.write_coverage(merged.stamps, self._parts.missing)
        answer = server_connection.Answer(200, fields, b"".join(merged.records))
        if self._parts.missing:
            self._shared.counters.partial += 1
        self._end(outcome.Outcome(answer, verdict.OK, self._attempts.count))

    def _finish_incomplete(self, reason: verdict.Reason = verdict.Reason.COVERAGE) -> None:
        """End with an error because too few shards were received.

        Calls that still wait for a connection are cancelled first. They have reached no target, so
        a search whose calls are all of this kind is reported as certainly not run.
        """
        self._attempts.cancel_direct_attempts()
        self._finish_with_error(dataclasses.replace(self._coverage_verdict(), reason=reason))

    def _finish_with_error(self, found: verdict.Verdict, retry_after: float | None = None) -> None:
        self._end(outcome.refuse(found, self._attempts.count, retry_after))

    def _end(self, found: outcome.Outcome) -> None:
        on_end = self._on_end
        self._on_end = None
        self._crash_guard.finish()
        described = dataclasses.replace(
            found,
            covered=len(self._parts.covered),
            total=len(self._shards),
            hedges=self._hedges.count,
            missing=tuple(
                search_state.describe_missing(shard)
                for index, shard in enumerate(self._shards)
                if index not in self._parts.covered
            ),
            failures=tuple(self._failures),
            over_limit=search_state.over_limit(self._shards, self._route.max_attempts),
            broken=self._crash_guard.broken,
            is_answered=self._crash_guard.is_answered,
        )
        self._stop()
        if on_end is not None:
            on_end(described)

    def _stop(self) -> None:
        """Cancel all timers and attempts, and leave the waiting queue."""
        for timer in self._timers:
            if timer.active():
                timer.cancel()
        self._timers.clear()
        self._leave_queue()
        self._attempts.stop()
