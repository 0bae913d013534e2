"""One search: its shards, the attempts at them, and the answer that becomes of the parts.

Shards with a target in the own data hall are asked directly, the others through a gatherer in a
hall that has most of them. Whatever is late is asked once more elsewhere, as far as the extra
attempts last. Just before the route's aim the answer is given with the shards that are in, if
they are enough; a later answer is worth little.
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
    from lineworks.forwarding import caution, target_calls, target_state, tools

WAIT_SHARE = 0.2
"""Share of the aim that a search waits for targets with room before it is refused: a refusal within
a quarter of the aim leaves time for another try."""

ROOM_PAUSE = 0.01
"""Seconds between looks for targets with room."""

RETRY_PAUSE = 0.01
"""Seconds before a shard is tried again when all its targets were tried or full: a third of a usual
service time, after which a slot may be free. Doubled once."""

MOST_RETRY_PAUSE = 0.02
"""Seconds of such a pause at most: a target that comes back must still be of use."""

NO_RETRY_SECONDS = 2 * search_attempts.FLUSH_LEAD
"""Seconds before the deadline from which on no failure is answered by another attempt: gatherers
tell then what they know, and what ran and what did not is judged at the deadline."""

_OVERLAP = verdict.ran(verdict.Reason.FAILED, "merged with a shard that was in already")


class Search:
    """One search under way."""

    def __init__(
        self,
        shared: tools.Tools,
        route: routes.Route,
        call: target_calls.TargetCall,
        care: caution.Caution,
        due: float,
        arrived: float,
        on_end: Callable[[outcome.Outcome], None],
    ) -> None:
        """Make a search; nothing is sent yet.

        Args:
            shared: What the front's requests share.
            route: The route, with one version's set of shards.
            call: The request as every target gets it.
            care: How carefully it goes on.
            due: When its answer must leave to be in time, in seconds.
            arrived: When the request's first byte was read, in seconds.
            on_end: Called once with the outcome, unless the search is cancelled.
        """
        self._shared = shared
        self._route = route
        self._call = call
        self._care = care
        self._due = due
        self._arrived = arrived
        self._on_end: Callable[[outcome.Outcome], None] | None = on_end
        self._shards = [search_state.Shard(service) for service in route.shards]
        self._parts = parts.PartSet(len(self._shards), route.top)
        self._needed = parts.required_shards(len(self._shards), route.min_coverage)
        self._sent = search_attempts.SearchAttempts(
            shared,
            route,
            call,
            care,
            self._shards,
            self._parts.floor,
            self._take,
            self._on_failure,
        )
        self._timers: list[Any] = []
        self._is_late = False
        self._sent.due = due
        self._hedges = search_hedges.SearchHedges(
            shared, route, self._shards, self._parts, call.workspace
        )
        self._failures: list[str] = []
        self._held: list[int] = []
        self._given_up: set[int] = set()
        usual = max(map(shared.book.service_time, route.shards), default=0.0)
        self._claim = fair_shares.WaitingRequest(
            call.workspace,
            route.priority,
            arrived,
            fair_shares.latest_start(due, usual),
            call.has_quota,
        )
        self._leave_line: Callable[[], None] = lambda: None

    def start(self) -> None:
        """Send the first attempts."""
        shared = self._shared
        now = shared.reactor.seconds()
        for shard in self._shards:
            shared.extra.note_request(shard.service, now)
        self._set_timer(self._call.deadline - now, self._on_deadline)
        if shared.line.is_behind(self._claim, self._route.shards):
            self._wait_for_room()
        else:
            self._begin()

    def _begin(self) -> None:
        """Send the first attempts once enough shards have a target with room, or refuse."""
        if self._on_end is None:
            return
        shared = self._shared
        now = shared.reactor.seconds()
        chosen = {
            index: self._choose(shard, now)
            for index, shard in enumerate(self._shards)
            if index not in self._parts.covered
        }
        open_shards = sum(1 for state in chosen.values() if state is not None)
        if open_shards + len(self._parts.covered) < self._needed:
            self._wait_or_refuse(open_shards, now)
            return
        if not self._sent.count:
            shared.line.note_served(self._call.workspace)
        if self._care.is_trial:
            self._begin_trial(chosen, now)
            return
        self._hedges.begin(now, self._due)
        self._sent.hedge_at = now + self._hedges.remote_delay
        if mechanisms.Mechanism.EARLY_ANSWER not in shared.without:
            self._set_timer(self._due - now, self._on_aim)
        self._dispatch(chosen, is_hedge=False)
        if self._on_end is None:
            return
        if mechanisms.Mechanism.SEARCH_HEDGES not in shared.without:
            self._set_timer(self._hedges.local_delay, self._on_hedge)
            self._set_timer(self._hedges.remote_delay, self._on_hedge)
        self._check()

    def _begin_trial(
        self, chosen: Mapping[int, target_state.TargetState | None], now: float
    ) -> None:
        """Send a suspect to one target; the rest follows when that one has answered.

        Without it each try of such a search ended a target of every shard.
        """
        for index, state in chosen.items():
            if state is not None:
                self._sent.ask_target(index, state, now, is_hedge=False)
                return

    def _on_trial_end(self, found: verdict.Verdict) -> None:
        """Go on after the target of a trial failed: elsewhere if it didn't run, else not at all."""
        if self._care.holds or not found.is_not_run:
            self._finish_in_part()
        else:
            self._set_timer(ROOM_PAUSE, self._begin)

    def _wait_or_refuse(self, open_shards: int, now: float) -> None:
        """Wait a little for targets with room; a search that can't succeed loads no target."""
        reachable = sum(1 for shard in self._shards if self._has_any(shard))
        line = self._shared.line
        is_off = mechanisms.Mechanism.ROOM_WAIT in self._shared.without
        may_wait = not is_off and not line.is_too_late(self._claim, now)
        last = self._arrived + WAIT_SHARE * self._route.slo - ROOM_PAUSE
        if may_wait and reachable >= self._needed and now < min(last, self._call.deadline):
            self._wait_for_room()
            return
        if not self._sent.count:
            line.note_refused(self._call.workspace)
        detail = f"{open_shards} of {len(self._shards)} shards have a target with room"
        # The target of a trial may have run it.
        certainty = self._what_is_known().certainty
        found = dataclasses.replace(outcome.no_target(self._route, detail), certainty=certainty)
        self._finish_without(found, line.retry_after(outcome.RETRY_AFTER))

    def _wait_for_room(self) -> None:
        """Look again soon: in its turn where room is shared between workspaces."""
        line = self._shared.line
        if line.is_fair:
            self._leave_line = line.wait(self._claim, self._route.shards, self._begin)
        else:
            self._set_timer(ROOM_PAUSE, self._begin)

    def _has_any(self, shard: search_state.Shard) -> bool:
        return self._shared.book.has_any(shard.service, self._route.homes)

    def known(self) -> verdict.Verdict:
        """Tell what is known of the search while it is under way."""
        found = self._what_is_known()
        return dataclasses.replace(found, reason=verdict.Reason.LEAVING)

    def end(self) -> None:
        """Answer with what is in, because the process ends."""
        if self._on_end is None:
            return
        if len(self._parts.covered) >= self._needed:
            self._finish()
        else:
            self._sent.give_up_calls()
            self._end(outcome.refuse(self.known(), self._sent.count, outcome.STOP_RETRY_AFTER))

    def cancel(self) -> None:
        """Give the search up, because its caller has gone."""
        self._on_end = None
        self._care.finish()
        self._stop()

    def _set_timer(self, delay: float, call: Callable[[], None]) -> None:
        self._timers.append(self._shared.reactor.callLater(max(0.0, delay), call))

    def _dispatch(
        self, chosen: Mapping[int, target_state.TargetState | None], is_hedge: bool
    ) -> None:
        """Send attempts at shards, those for one other hall together.

        Hedges have been paid for; any other attempt after one that was sent is paid for here.

        Args:
            chosen: Positions of the shards, each with the target that should answer first.
            is_hedge: Whether they are second attempts beside slow ones.
        """
        now = self._shared.reactor.seconds()
        self._shared.calls.notice_silence(now)
        remote: list[int] = []
        near: dict[int, target_state.TargetState] = {}
        for index, state in chosen.items():
            shard = self._shards[index]
            if state is None:
                self._on_unreachable(index)
            elif shard.sent and not is_hedge and not self._may_retry(shard, now):
                self._on_no_budget(index)
            elif shard.was_sent_to(state.id):
                # A gatherer might choose another target, one more than the route allows.
                self._sent.ask_target(index, state, now, is_hedge)
            elif state.hall == self._shared.hall:
                near[index] = state
            else:
                remote.append(index)
        # The longest ways first: calls in the own hall keep the processor busy.
        if remote:
            self._sent.ask_halls(remote, now, is_hedge)
        if near:
            self._sent.ask_own_hall(near, now, is_hedge)

    def _may_retry(self, shard: search_state.Shard, now: float) -> bool:
        return self._shared.may_spend(shard.service, now, workspace=self._call.workspace)

    def _choose(self, shard: search_state.Shard, now: float) -> target_state.TargetState | None:
        return shard.choose(self._shared.book, self._route, now)

    def _choose_now(self, shard: search_state.Shard) -> target_state.TargetState | None:
        return self._choose(shard, self._shared.reactor.seconds())

    def _take(self, part: parts.Part, done: Iterable[search_state.Try]) -> bool:
        """Use a part, and stop the other attempts at its shards.

        Args:
            part: The part.
            done: The attempts that brought it.

        Returns:
            Whether it is in.
        """
        if self._on_end is None:
            return False
        was_trial = not self._hedges.is_begun
        is_used = self._parts.add(part)
        if not is_used:
            self._shared.counters.parts_dropped += 1
        for attempt in done:
            if attempt.shard in self._parts.covered:
                self._sent.stop_shard(self._shards[attempt.shard])
            else:
                self._on_failure(attempt.shard, _OVERLAP)
        if was_trial:
            self._begin()
        self._release()
        self._check()
        return is_used

    def _on_failure(self, index: int, found: verdict.Verdict) -> None:
        """Deal with an attempt that failed: try elsewhere, or wait for another one."""
        if self._on_end is None:
            return
        shard = self._shards[index]
        self._failures.append(f"{shard.service} {found.reason.value}: {found.detail}")
        if self._shared.reactor.seconds() + NO_RETRY_SECONDS >= self._call.deadline:
            # Too late for another attempt, and others are about to tell what became of theirs.
            return
        if self._care.is_trial:
            self._on_trial_end(found)
            return
        if not self._hedges.is_begun:
            # The target of a trial answered with a failure, so the request is no suspect.
            self._begin()
            return
        self._release()
        if index in self._parts.covered or shard.running or shard.is_waiting:
            self._check_held()
            return
        if self._care.holds:
            self._hold(index)
            return
        # The targets that had it failed just now, so they are not asked again.
        is_left = attempts.has_target_left(shard.made, self._route.max_attempts)
        if shard.sent >= search_hedges.MOST_SENT or not is_left:
            self._give_up(index)
        else:
            self._shared.counters.retries += 1
            self._dispatch({index: self._choose_now(shard)}, is_hedge=False)
        self._check()

    def _hold(self, index: int) -> None:
        """Put a shard off until a target has answered: the request may be what ends its targets.

        Repeats and hedges ended the other copy of the shards that a fatal search had lost.
        """
        self._shards[index].is_waiting = True
        self._held.append(index)
        self._check_held()

    def _check_held(self) -> None:
        """End a search whose targets broke off when none is left that could still answer."""
        is_running = any(shard.running for shard in self._shards)
        if self._on_end is not None and self._held and self._care.holds and not is_running:
            self._finish_in_part()

    def _release(self) -> None:
        """Try again the shards that were put off, because a target has answered."""
        if not self._held or self._care.holds:
            return
        held, self._held = self._held, []
        for index in held:
            self._on_retry(index)

    def _on_unreachable(self, index: int) -> None:
        """Deal with a shard that no target is left for: begin anew after a pause, or give up."""
        shard = self._shards[index]
        if shard.running or shard.is_waiting:
            return
        now = self._shared.reactor.seconds()
        pause = min(MOST_RETRY_PAUSE, RETRY_PAUSE * 2**shard.pauses)
        if now + pause < self._call.deadline and self._has_any(shard):
            shard.is_waiting = True
            shard.pauses += 1
            shard.tried.clear()
            self._set_timer(pause, functools.partial(self._on_retry, index))
        else:
            self._give_up(index)

    def _give_up(self, index: int) -> None:
        """Try nothing more for a shard."""
        self._shards[index].is_given_up = True
        self._given_up.add(index)

    def _on_retry(self, index: int) -> None:
        shard = self._shards[index]
        shard.is_waiting = False
        if self._on_end is None or index in self._parts.covered or shard.running:
            return
        if self._care.holds:
            self._hold(index)
            return
        self._dispatch({index: self._choose_now(shard)}, is_hedge=False)
        self._check()

    def _on_no_budget(self, index: int) -> None:
        """Ask for an extra attempt, or give the shard up when there is none."""
        shard = self._shards[index]
        if shard.running or shard.is_waiting:
            return
        if shard.asks < extra_keeper.MAX_ASKS:
            shard.asks += 1
            shard.is_waiting = True
            on_reply = functools.partial(self._on_retry, index)
            self._shared.ask_for_retry(shard.service, self._call.workspace, on_reply)
        else:
            self._give_up(index)

    def _on_hedge(self) -> None:
        """Ask once more for the shards that are late."""
        if self._on_end is None:
            return
        now = self._shared.reactor.seconds()
        if not self._care.holds:
            self._send_hedges(now)
        self._hedges.ask_for_more(self._on_more_extras)
        pause = self._hedges.next_look(now)
        if pause is not None:
            self._set_timer(pause, self._on_hedge)
        self._check()

    def _on_more_extras(self) -> None:
        """Choose again, because extra attempts that were lacking may have come."""
        if self._on_end is None or self._care.holds:
            return
        self._send_hedges(self._shared.reactor.seconds())
        self._check()

    def _send_hedges(self, now: float) -> None:
        hedged = self._hedges.choose(now)
        if hedged:
            pairs = [
                (self._shards[index].running[0].state, state) for index, state in hedged.items()
            ]
            self._shared.log_hedges(self._call, now - self._arrived, pairs)
            self._dispatch(hedged, is_hedge=True)

    def _on_aim(self) -> None:
        self._is_late = True
        self._check()
        if self._on_end is None:
            lag = self._shared.reactor.seconds() - self._due
            self._shared.lags.record(max(0.0, lag))

    def _on_deadline(self) -> None:
        if self._on_end is None:
            return
        if len(self._parts.covered) >= self._needed:
            self._finish()
            return
        self._finish_in_part(verdict.Reason.DEADLINE)

    def _check(self) -> None:
        """Answer as soon as waiting any longer brings nothing."""
        if self._on_end is None:
            return
        covered = len(self._parts.covered)
        is_enough = covered >= self._needed
        # Counted by what was given up, which is little: a look at all shards for each part would
        # grow with the square of their number.
        given_up = len(self._given_up - self._parts.covered) if self._given_up else 0
        open_shards = len(self._shards) - covered - given_up
        if not self._parts.missing or (is_enough and (self._is_late or not open_shards)):
            self._finish()
        elif covered + open_shards < self._needed:
            self._finish_in_part()

    def _what_is_known(self) -> verdict.Verdict:
        detail = f"{len(self._parts.covered)} of {len(self._shards)} shards answered"
        certainty = attempts.certainty(one for shard in self._shards for one in shard.made)
        return verdict.Verdict(certainty, verdict.Reason.COVERAGE, detail)

    def _finish(self) -> None:
        merged = self._parts.merged()
        fields = headers.write_coverage(merged.stamps, self._parts.missing)
        answer = server_connection.Answer(200, fields, b"".join(merged.records))
        if self._parts.missing:
            self._shared.counters.partial += 1
        self._end(outcome.Outcome(answer, verdict.OK, self._sent.count))

    def _finish_in_part(self, reason: verdict.Reason = verdict.Reason.COVERAGE) -> None:
        """End without an answer, because too few shards are in.

        Calls that still wait for their connections are given up first: they have reached nobody,
        so a search of which no target has seen anything certainly did not run.
        """
        self._sent.give_up_calls()
        self._finish_without(dataclasses.replace(self._what_is_known(), reason=reason))

    def _finish_without(self, found: verdict.Verdict, retry_after: float | None = None) -> None:
        self._end(outcome.refuse(found, self._sent.count, retry_after))

    def _end(self, found: outcome.Outcome) -> None:
        on_end = self._on_end
        self._on_end = None
        self._care.finish()
        described = dataclasses.replace(
            found,
            covered=len(self._parts.covered),
            total=len(self._shards),
            hedges=self._hedges.count,
            missing=tuple(
                search_state.why_missing(shard)
                for index, shard in enumerate(self._shards)
                if index not in self._parts.covered
            ),
            failures=tuple(self._failures),
            over_limit=search_state.over_limit(self._shards, self._route.max_attempts),
            broken=self._care.broken,
            is_answered=self._care.is_answered,
        )
        self._stop()
        if on_end is not None:
            on_end(described)

    def _stop(self) -> None:
        """Cancel all timers and attempts."""
        for timer in self._timers:
            if timer.active():
                timer.cancel()
        self._timers.clear()
        self._leave_line()
        self._sent.stop()
