"""Sends the attempts of one search and processes their responses.

`lineworks.forwarding.search` decides which shards to query and how to react to failures.
"""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from lineworks.decisions import gather_rate, mechanisms, parts, verdict, work_split
from lineworks.forwarding import (
    answers,
    attempts,
    search_state,
    target_book,
    target_calls,
    target_state,
)
from lineworks.platform import headers
from lineworks.wire import node_frames

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from lineworks.decisions import routes
    from lineworks.forwarding import caution, front_services

FLUSH_MARGIN = 0.004
"""Seconds by which a gatherer's first results should arrive before hedges are chosen, and its last
message before the deadline."""

SINGLE_HALL_SLOWDOWN_SHARE = 0.3
"""Share of the latency objective by which a first attempt may be slower if that avoids querying one
more hall. Each further hall sends as many records again. See docs/design/platform.md for the
trade-off."""

FULL_TARGET_BACKOFF = 0.02
"""Seconds for which a target is avoided after a gatherer could not reach it or found no free slot.
This is one round trip between regions, after which either condition may have changed."""


class SearchAttempts:
    """The attempts of a search, sent directly to targets and through gatherers."""

    def __init__(
        self,
        shared: front_services.FrontServices,
        route: routes.Route,
        call: target_calls.TargetCall,
        crash_guard: caution.CrashGuard,
        shards: Sequence[search_state.Shard],
        floor: Callable[[], bytes],
        add_part: Callable[[parts.Part, Iterable[search_state.ShardAttempt]], bool],
        on_failure: Callable[[int, verdict.Verdict], None],
    ) -> None:
        """Create the object without sending anything.

        Args:
            shared: State shared by all requests of the front.
            route: The route.
            call: The request as it is sent to every target.
            crash_guard: Records answers and targets that disconnected without one.
            shards: The shards of the search.
            floor: Returns the lowest record that can still change the result.
            add_part: Takes a partial result with the attempts that delivered it, and returns
                whether it was accepted.
            on_failure: Called with the position of a shard whose attempt failed, and the verdict.
        """
        self._shared = shared
        self._route = route
        self._call = call
        self._crash_guard = crash_guard
        self._shards = shards
        self._floor = floor
        self._add_part = add_part
        self._on_failure = on_failure
        self._queries: dict[int, list[search_state.ShardAttempt]] = {}
        self._is_stopped = False
        self.count = 0
        """Number of attempts made so far."""
        self.hedge_at = 0.0
        """Time at which attempts through gatherers are checked for hedging, in seconds."""
        self.due = 0.0
        """Time by which the answer must be sent to meet the latency objective, in seconds."""

    def send_to_halls(self, indices: list[int], now: float, is_hedge: bool) -> None:
        """Send attempts to as few halls as possible, starting with the one that covers most shards.

        Args:
            indices: Positions of shards that have an eligible target.
            now: Current time in seconds.
            is_hedge: Whether the attempts are hedges.
        """
        slack = target_book.LOCALITY_SLACK_SECONDS
        if not is_hedge and mechanisms.Mechanism.ONE_HALL not in self._shared.without:
            slack = max(slack, SINGLE_HALL_SLOWDOWN_SHARE * self._route.slo)
        remaining: dict[int, list[tuple[float, target_state.TargetState]]] = {}
        for index in indices:
            shard = self._shards[index]
            remaining[index] = self._shared.book.near_best(
                shard.service, now, shard.tried, slack, self._route.homes
            )
        while remaining:
            by_hall: dict[str, dict[int, target_state.TargetState]] = {}
            slowest: dict[str, float] = {}
            for index, near_best in remaining.items():
                for seconds, state in near_best:
                    hall = state.hall
                    by_hall.setdefault(hall, {})[index] = state
                    slowest[hall] = max(seconds, slowest.get(hall, 0.0))
            # Prefer the hall with most shards, then the one whose slowest target is expected first.
            hall = max(by_hall, key=lambda name: (len(by_hall[name]), -slowest[name]))
            chosen = by_hall[hall]
            self._send_to_hall(hall, chosen, now, is_hedge)
            for index in chosen:
                del remaining[index]

    def _send_to_hall(
        self,
        hall: str,
        chosen: dict[int, target_state.TargetState],
        now: float,
        is_hedge: bool,
    ) -> None:
        if hall == self._shared.hall:
            self.send_to_local_hall(chosen, now, is_hedge)
            return
        peers = self._shared.gatherers.ranked(hall)
        count = self._piece_count(len(chosen), len(peers), is_hedge)
        self._divide_among(peers[:count] or [None], hall, chosen, now, is_hedge)

    def send_to_local_hall(
        self, chosen: dict[int, target_state.TargetState], now: float, is_hedge: bool
    ) -> None:
        """Send attempts to targets of the local hall, sharing large batches with peers there.

        Args:
            chosen: The target of each shard, by position of the shard.
            now: Current time in seconds.
            is_hedge: Whether the attempts are hedges.
        """
        hall = self._shared.hall
        gatherers = self._shared.gatherers
        is_large = len(chosen) >= gather_rate.MIN_DELEGATED_SHARDS and not is_hedge
        peers: list[str] = []
        if len(chosen) > work_split.MAX_SHARDS_PER_INSTANCE or (
            is_large and gatherers.has_faster(hall)
        ):
            peers = gatherers.ranked(hall)
        count = self._piece_count(len(chosen), len(peers) + 1, is_hedge)
        # The local share comes last, so that messages to peers leave before the calls use the CPU.
        helpers: list[str | None] = [*peers[: count - 1], None]
        if count == 1 and is_large and peers and gatherers.is_faster(peers[0]):
            helpers = [peers[0]]
        self._divide_among(helpers, hall, chosen, now, is_hedge)

    def _divide_among(
        self,
        helpers: Sequence[str | None],
        hall: str,
        chosen: dict[int, target_state.TargetState],
        now: float,
        is_hedge: bool,
    ) -> None:
        """Divide shards among gatherers of a hall by their rates; None stands for this instance."""
        gatherers = self._shared.gatherers
        rates = [gatherers.own_rate if name is None else gatherers.rate(name) for name in helpers]
        pieces = gather_rate.divide(list(chosen.items()), rates)
        for peer, piece in zip(helpers, pieces, strict=True):
            if piece:
                self._send_via(peer, hall, dict(piece), now, is_hedge)

    def _piece_count(self, count: int, helpers: int, is_hedge: bool) -> int:
        if is_hedge or mechanisms.Mechanism.WORK_SPLIT in self._shared.without:
            return 1
        return work_split.pieces(count, helpers)

    def _send_via(
        self,
        peer: str | None,
        hall: str,
        chosen: dict[int, target_state.TargetState],
        now: float,
        is_hedge: bool,
    ) -> None:
        """Send attempts through a gatherer, or directly if that is not possible."""
        if peer is None or not self._send_to_gatherer(peer, hall, chosen, now, is_hedge):
            for index, state in chosen.items():
                self.send_to_target(index, state, now, is_hedge)

    def _send_to_gatherer(
        self,
        peer: str,
        hall: str,
        chosen: dict[int, target_state.TargetState],
        now: float,
        is_hedge: bool,
    ) -> bool:
        shared = self._shared
        round_trip = shared.book.round_trips.round_trip(hall)
        deadline = self._call.deadline - round_trip - FLUSH_MARGIN
        if deadline <= now:
            # The final report would arrive after the deadline, so the outcome would be unknown.
            return False
        without_floor = mechanisms.Mechanism.HEDGE_FLOOR in shared.without
        number = shared.gatherers.next_number()
        query = node_frames.GatherQuery(
            number=number,
            services=tuple(self._shards[index].service for index in chosen),
            head=self._call.head,
            body=self._call.body,
            attempt=self._call.attempt,
            top=self._route.top,
            floor=b"" if without_floor else self._floor(),
            deadline=deadline,
            flush_at=now if is_hedge else self.hedge_at - round_trip - FLUSH_MARGIN,
            is_fair=shared.queue.is_fair,
            workspace=self._call.workspace,
            has_quota=self._call.has_quota,
            priority=self._route.priority,
            due=self.due - round_trip / 2,
        )
        on_parts = functools.partial(self._on_parts, number)
        on_lost = functools.partial(self._on_gatherer_lost, number)
        if not shared.gatherers.send(peer, query, on_parts, on_lost):
            return False
        shared.counters.gather_queries += 1
        query_attempts = []
        for position, (index, state) in enumerate(chosen.items()):
            attempt = self._add_attempt(index, state, now, is_hedge)
            attempt.query = number
            attempt.position = position
            query_attempts.append(attempt)
        self._queries[number] = query_attempts
        return True

    def send_to_target(
        self, index: int, state: target_state.TargetState, now: float, is_hedge: bool
    ) -> None:
        """Send an attempt directly to a target.

        Args:
            index: Position of the shard.
            state: The target.
            now: Current time in seconds.
            is_hedge: Whether the attempt is a hedge.
        """
        attempt = self._add_attempt(index, state, now, is_hedge)
        on_end = functools.partial(self._on_call_end, attempt)
        attempt.cancel = self._shared.calls.send(state, self._call, on_end)

    def _add_attempt(
        self, index: int, state: target_state.TargetState, now: float, is_hedge: bool
    ) -> search_state.ShardAttempt:
        shard = self._shards[index]
        attempt = search_state.ShardAttempt(state, now, is_hedge, shard=index)
        shard.all_attempts.append(attempt)
        shard.running.append(attempt)
        shard.tried.add(state.id)
        shard.sent += 1
        self.count += 1
        return attempt

    def _on_call_end(self, attempt: search_state.ShardAttempt, end: target_calls.CallEnd) -> None:
        """Process the end of a direct call to a target."""
        shard = self._shards[attempt.shard]
        shard.running.remove(attempt)
        attempt.end = end.verdict
        self._crash_guard.note_end(attempt.state.id, end.lost_before_answer, end.verdict)
        if not end.verdict.is_ok or end.response is None:
            if not answers.reached_target(end.verdict):
                self._refund_unsent(shard)
            self._on_failure(attempt.shard, end.verdict)
            return
        self._record(attempt)
        top = parts.top_of_body(end.response.body, self._route.top)
        stamp = headers.read_stamp(end.response.headers)
        self._add_part(parts.Part(frozenset((attempt.shard,)), (stamp,), top), (attempt,))

    def _on_parts(self, number: int, frame: node_frames.GatherParts) -> None:
        """Process the results and failures in a message from a gatherer."""
        query_attempts = self._queries.get(number)
        if query_attempts is None or self._is_stopped:
            return
        now = self._shared.reactor.seconds()
        found = []
        for part, arrived in search_state.read_parts(query_attempts, frame):
            done = [item for item in arrived if item in self._shards[item.shard].running]
            for attempt in done:
                self._shards[attempt.shard].running.remove(attempt)
                attempt.end = verdict.OK
                self._note_remote_answer(attempt, now)
            found.append((part, done))
        if found:
            self._crash_guard.note_answer()
        self._close_query_if_done(number)
        for part, done in found:
            self._use_part(number, part, done, is_merged=not frame.counts)
        broken = frame.broken or ("",) * len(frame.failed)
        for position, failure, target in zip(frame.failed, frame.failures, broken, strict=True):
            if self._is_stopped:
                return
            if position < len(query_attempts):
                self._on_remote_failure(query_attempts[position], failure, target, now)

    def _use_part(
        self,
        number: int,
        part: parts.Part,
        done: Sequence[search_state.ShardAttempt],
        is_merged: bool,
    ) -> None:
        """Add a partial result, and drop the query if its merged result was rejected.

        Later results of the query omit records that cannot rank beside the merged one, so they are
        useless without it.
        """
        if self._is_stopped:
            return
        is_used = bool(done) and self._add_part(part, done)
        if is_merged and not is_used:
            self._drop_query(number)

    def _note_remote_answer(self, attempt: search_state.ShardAttempt, now: float) -> None:
        """Record the response time of a target that was called by a gatherer."""
        book = self._shared.book
        seconds = now - attempt.started - book.round_trips.round_trip(attempt.state.hall)
        # A gatherer holds results until the slowest of the query arrives or the query is flushed,
        # so only a target that misses the first message is known to be slow.
        usual = book.service_time(attempt.state.replica.target.service)
        is_first = now <= self.hedge_at + FLUSH_MARGIN
        book.note_answer(attempt.state, now, min(seconds, usual) if is_first and usual else seconds)
        self._record(attempt)

    def _on_remote_failure(
        self,
        attempt: search_state.ShardAttempt,
        failure: node_frames.Failure,
        broken: str,
        now: float,
    ) -> None:
        """Process a failure reported by a gatherer, and the target that disconnected, if any."""
        shard = self._shards[attempt.shard]
        if attempt not in shard.running:
            return
        shard.running.remove(attempt)
        self._close_query_if_done(attempt.query)
        if failure is node_frames.Failure.NOT_SENT:
            self._refund_unsent(shard)
            attempt.state.replica.backoff_until = max(
                attempt.state.replica.backoff_until, now + FULL_TARGET_BACKOFF
            )
        self._shared.book.note_failure(attempt.state, now)
        attempt.end = search_state.remote_verdict(failure)
        self._crash_guard.note_end(broken, bool(broken), attempt.end)
        self._on_failure(attempt.shard, attempt.end)

    def _refund_unsent(self, shard: search_state.Shard) -> None:
        """Stop counting an attempt that reached no target, so that its retry is not charged."""
        if mechanisms.Mechanism.FREE_RETRIES not in self._shared.without:
            shard.sent -= 1

    def _on_gatherer_lost(self, number: int) -> None:
        query_attempts = self._queries.pop(number, [])
        found = verdict.may_have_run(verdict.Reason.LINK_LOST, "the gatherer is gone")
        lost = [
            attempt for attempt in query_attempts if attempt in self._shards[attempt.shard].running
        ]
        for attempt in lost:
            self._shards[attempt.shard].running.remove(attempt)
            attempt.end = found
        for attempt in lost:
            self._on_failure(attempt.shard, found)

    def _record(self, attempt: search_state.ShardAttempt) -> None:
        is_remote = attempt.is_remote(self._shared.hall)
        self._shared.record_answer(self._route.name, is_remote, attempt.started, attempt.is_hedge)

    def _drop_query(self, number: int) -> None:
        """Cancel the rest of a query whose first, merged result could not be used."""
        if number in self._queries:
            self._shared.gatherers.close(number, (0,))
            self._on_gatherer_lost(number)

    def _note_given_up(self, query_attempts: Iterable[search_state.ShardAttempt]) -> None:
        now = self._shared.reactor.seconds()
        for attempt in query_attempts:
            if attempt in self._shards[attempt.shard].running:
                self._shared.book.note_given_up(attempt.state, now, now - attempt.started)

    def cancel_shard(self, shard: search_state.Shard) -> None:
        """Cancel the remaining attempts at a shard whose result was received.

        Args:
            shard: The shard.
        """
        running = shard.running
        if not running:
            return
        shard.running = []
        now = self._shared.reactor.seconds()
        for attempt in running:
            attempt.end = attempts.GIVEN_UP
            attempts.give_up(attempt)
            if attempt.query:
                self._shared.book.note_given_up(attempt.state, now, now - attempt.started)
                self._shared.gatherers.cancel(attempt.query, (attempt.position,))
                self._close_query_if_done(attempt.query)

    def _close_query_if_done(self, number: int) -> None:
        query_attempts = self._queries.get(number)
        if query_attempts is None:
            return
        if any(attempt in self._shards[attempt.shard].running for attempt in query_attempts):
            return
        del self._queries[number]
        self._shared.gatherers.close(number, None)

    def cancel_direct_attempts(self) -> None:
        """Cancel direct calls to targets, and record which of them reached no target."""
        for shard in self._shards:
            for attempt in shard.running:
                attempts.give_up(attempt)
            shard.running = [attempt for attempt in shard.running if attempt.query]

    def stop(self) -> None:
        """Cancel all attempts and stop reporting results and failures."""
        self._is_stopped = True
        self.cancel_direct_attempts()
        for number, query_attempts in self._queries.items():
            open_positions = tuple(
                attempt.position
                for attempt in query_attempts
                if attempt in self._shards[attempt.shard].running
            )
            self._note_given_up(query_attempts)
            self._shared.gatherers.close(number, open_positions)
        self._queries.clear()
