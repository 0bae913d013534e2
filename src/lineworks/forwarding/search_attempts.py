"""The attempts of one search: sends them, and takes in what comes back.

What to send, and what a failure means, is decided by `lineworks.forwarding.search`.
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

FLUSH_LEAD = 0.004
"""Seconds that a gatherer's first parts should be here before the hedges are decided, and its last
message before the deadline."""

ONE_HALL_SHARE = 0.3
"""Share of the aim that a first attempt may be slower by when that saves asking one more hall,
which would send as many records again. Weighed in docs/design/platform.md."""

NO_ROOM_REST = 0.02
"""Seconds for which a target is left alone that a gatherer could not reach or had no room for: a
round trip between regions, after which either may have changed."""


class SearchAttempts:
    """Attempts under way, at targets and through gatherers."""

    def __init__(
        self,
        shared: front_services.FrontServices,
        route: routes.Route,
        call: target_calls.TargetCall,
        care: caution.Caution,
        shards: Sequence[search_state.Shard],
        floor: Callable[[], bytes],
        take: Callable[[parts.Part, Iterable[search_state.Try]], bool],
        on_failure: Callable[[int, verdict.Verdict], None],
    ) -> None:
        """Start with nothing sent.

        Args:
            shared: What the front's requests share.
            route: The route.
            call: The request as every target gets it.
            care: Takes note of answers and of targets that break off.
            shards: The search's shards.
            floor: Tells the least record that can still change the answer.
            take: Takes a part with the attempts that brought it, and says whether it is in.
            on_failure: Takes the position of a shard whose attempt failed, and why.
        """
        self._shared = shared
        self._route = route
        self._call = call
        self._care = care
        self._shards = shards
        self._floor = floor
        self._take = take
        self._on_failure = on_failure
        self._queries: dict[int, list[search_state.Try]] = {}
        self._is_over = False
        self.count = 0
        """Attempts made so far."""
        self.hedge_at = 0.0
        """When attempts through gatherers are looked at, in seconds."""
        self.due = 0.0
        """When the answer must leave to be in time, in seconds."""

    def ask_halls(self, wanted: list[int], now: float, is_hedge: bool) -> None:
        """Send attempts to as few other halls as will do, the best covered first.

        Args:
            wanted: Positions of shards that have a target to ask.
            now: The present, in seconds.
            is_hedge: Whether they are second attempts beside slow ones.
        """
        slack = target_book.GOOD_SECONDS
        if not is_hedge and mechanisms.Mechanism.ONE_HALL not in self._shared.without:
            slack = max(slack, ONE_HALL_SHARE * self._route.slo)
        left: dict[int, list[tuple[float, target_state.TargetState]]] = {}
        for index in wanted:
            shard = self._shards[index]
            left[index] = self._shared.book.rated(
                shard.service, now, shard.tried, slack, self._route.homes
            )
        while left:
            by_hall: dict[str, dict[int, target_state.TargetState]] = {}
            slowest: dict[str, float] = {}
            for index, rated in left.items():
                for seconds, state in rated:
                    hall = state.hall
                    by_hall.setdefault(hall, {})[index] = state
                    slowest[hall] = max(seconds, slowest.get(hall, 0.0))
            # Most shards first, then the hall whose slowest target is soonest.
            hall = max(by_hall, key=lambda name: (len(by_hall[name]), -slowest[name]))
            chosen = by_hall[hall]
            self._send_to_hall(hall, chosen, now, is_hedge)
            for index in chosen:
                del left[index]

    def _send_to_hall(
        self,
        hall: str,
        chosen: dict[int, target_state.TargetState],
        now: float,
        is_hedge: bool,
    ) -> None:
        if hall == self._shared.hall:
            self.ask_own_hall(chosen, now, is_hedge)
            return
        peers = self._shared.gatherers.ranked(hall)
        count = self._pieces(len(chosen), len(peers), is_hedge)
        self._ask_each(peers[:count] or [None], hall, chosen, now, is_hedge)

    def ask_own_hall(
        self, chosen: dict[int, target_state.TargetState], now: float, is_hedge: bool
    ) -> None:
        """Send attempts to targets of the own hall; peers there take a part of many.

        Args:
            chosen: Positions of shards, each with its target.
            now: The present, in seconds.
            is_hedge: Whether they are second attempts beside slow ones.
        """
        hall = self._shared.hall
        gatherers = self._shared.gatherers
        is_many = len(chosen) >= gather_rate.MIN_DELEGATED_SHARDS and not is_hedge
        peers: list[str] = []
        if len(chosen) > work_split.MAX_SHARDS_PER_INSTANCE or (
            is_many and gatherers.has_faster(hall)
        ):
            peers = gatherers.ranked(hall)
        count = self._pieces(len(chosen), len(peers) + 1, is_hedge)
        # Its own piece last: the messages leave before the processor is busy with calls.
        helpers: list[str | None] = [*peers[: count - 1], None]
        if count == 1 and is_many and peers and gatherers.is_faster(peers[0]):
            helpers = [peers[0]]
        self._ask_each(helpers, hall, chosen, now, is_hedge)

    def _ask_each(
        self,
        helpers: Sequence[str | None],
        hall: str,
        chosen: dict[int, target_state.TargetState],
        now: float,
        is_hedge: bool,
    ) -> None:
        """Divide shards among gatherers of a hall; None stands for this instance."""
        gatherers = self._shared.gatherers
        rates = [gatherers.own_rate if name is None else gatherers.rate(name) for name in helpers]
        pieces = gather_rate.divide(list(chosen.items()), rates)
        for peer, piece in zip(helpers, pieces, strict=True):
            if piece:
                self._ask_by(peer, hall, dict(piece), now, is_hedge)

    def _pieces(self, count: int, helpers: int, is_hedge: bool) -> int:
        if is_hedge or mechanisms.Mechanism.WORK_SPLIT in self._shared.without:
            return 1
        return work_split.pieces(count, helpers)

    def _ask_by(
        self,
        peer: str | None,
        hall: str,
        chosen: dict[int, target_state.TargetState],
        now: float,
        is_hedge: bool,
    ) -> None:
        """Ask through a gatherer, or directly where there is none."""
        if peer is None or not self._ask_gatherer(peer, hall, chosen, now, is_hedge):
            for index, state in chosen.items():
                self.ask_target(index, state, now, is_hedge)

    def _ask_gatherer(
        self,
        peer: str,
        hall: str,
        chosen: dict[int, target_state.TargetState],
        now: float,
        is_hedge: bool,
    ) -> bool:
        shared = self._shared
        way = shared.book.ways.round_trip(hall)
        deadline = self._call.deadline - way - FLUSH_LEAD
        if deadline <= now:
            # Its last message would come too late, and what became of the query would not be known.
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
            flush_at=now if is_hedge else self.hedge_at - way - FLUSH_LEAD,
            is_fair=shared.queue.is_fair,
            workspace=self._call.workspace,
            has_quota=self._call.has_quota,
            priority=self._route.priority,
            due=self.due - way / 2,
        )
        on_parts = functools.partial(self._on_parts, number)
        on_lost = functools.partial(self._on_gatherer_lost, number)
        if not shared.gatherers.send(peer, query, on_parts, on_lost):
            return False
        shared.counters.gather_queries += 1
        tries = []
        for position, (index, state) in enumerate(chosen.items()):
            attempt = self._note_try(index, state, now, is_hedge)
            attempt.query = number
            attempt.position = position
            tries.append(attempt)
        self._queries[number] = tries
        return True

    def ask_target(
        self, index: int, state: target_state.TargetState, now: float, is_hedge: bool
    ) -> None:
        """Send an attempt straight to a target.

        Args:
            index: Position of the shard.
            state: The target.
            now: The present, in seconds.
            is_hedge: Whether it is a second attempt beside a slow one.
        """
        attempt = self._note_try(index, state, now, is_hedge)
        on_end = functools.partial(self._on_call_end, attempt)
        attempt.cancel = self._shared.calls.send(state, self._call, on_end)

    def _note_try(
        self, index: int, state: target_state.TargetState, now: float, is_hedge: bool
    ) -> search_state.Try:
        shard = self._shards[index]
        attempt = search_state.Try(state, now, is_hedge, shard=index)
        shard.made.append(attempt)
        shard.running.append(attempt)
        shard.tried.add(state.id)
        shard.sent += 1
        self.count += 1
        return attempt

    def _on_call_end(self, attempt: search_state.Try, end: target_calls.CallEnd) -> None:
        """Take in the answer of a target that was asked directly."""
        shard = self._shards[attempt.shard]
        shard.running.remove(attempt)
        attempt.end = end.verdict
        self._care.note_end(attempt.state.id, end.broke_off, end.verdict)
        if not end.verdict.is_ok or end.response is None:
            if not answers.was_sent(end.verdict):
                self._note_unsent(shard)
            self._on_failure(attempt.shard, end.verdict)
            return
        self._record(attempt)
        records = parts.split_records(end.response.body)
        top = parts.top_records(records, self._route.top)
        stamp = headers.read_stamp(end.response.headers)
        self._take(parts.Part(frozenset((attempt.shard,)), (stamp,), top), (attempt,))

    def _on_parts(self, number: int, frame: node_frames.GatherParts) -> None:
        """Take in what a gatherer sent."""
        tries = self._queries.get(number)
        if tries is None or self._is_over:
            return
        now = self._shared.reactor.seconds()
        found = []
        for part, arrived in search_state.read_parts(tries, frame):
            done = [one for one in arrived if one in self._shards[one.shard].running]
            for attempt in done:
                self._shards[attempt.shard].running.remove(attempt)
                attempt.end = verdict.OK
                self._note_remote(attempt, now)
            found.append((part, done))
        if found:
            self._care.note_answer()
        self._close_query_if_over(number)
        for part, done in found:
            self._use(number, part, done, is_merged=not frame.counts)
        broken = frame.broken or ("",) * len(frame.failed)
        for position, failure, target in zip(frame.failed, frame.failures, broken, strict=True):
            if self._is_over:
                return
            if position < len(tries):
                self._on_remote_failure(tries[position], failure, target, now)

    def _use(
        self, number: int, part: parts.Part, done: Sequence[search_state.Try], is_merged: bool
    ) -> None:
        """Use a part; a query's later parts are of no use without the merged one before them."""
        if self._is_over:
            return
        is_used = bool(done) and self._take(part, done)
        if is_merged and not is_used:
            self._drop_query(number)

    def _note_remote(self, attempt: search_state.Try, now: float) -> None:
        """Learn how long a target took that a gatherer asked."""
        book = self._shared.book
        seconds = now - attempt.started - book.ways.round_trip(attempt.state.hall)
        # Parts wait at the gatherer for the slowest of their query, so only a target that is
        # later than the first parts is known to be slow.
        usual = book.service_time(attempt.state.replica.target.service)
        is_first = now <= self.hedge_at + FLUSH_LEAD
        book.note_answer(attempt.state, now, min(seconds, usual) if is_first and usual else seconds)
        self._record(attempt)

    def _on_remote_failure(
        self,
        attempt: search_state.Try,
        failure: node_frames.Failure,
        broken: str,
        now: float,
    ) -> None:
        """Take in a failure at a gatherer, with the target that broke off if one did."""
        shard = self._shards[attempt.shard]
        if attempt not in shard.running:
            return
        shard.running.remove(attempt)
        self._close_query_if_over(attempt.query)
        if failure is node_frames.Failure.NOT_SENT:
            self._note_unsent(shard)
            attempt.state.replica.rest_until = max(
                attempt.state.replica.rest_until, now + NO_ROOM_REST
            )
        self._shared.book.note_failure(attempt.state, now)
        attempt.end = search_state.remote_verdict(failure)
        self._care.note_end(broken, bool(broken), attempt.end)
        self._on_failure(attempt.shard, attempt.end)

    def _note_unsent(self, shard: search_state.Shard) -> None:
        """Note that an attempt reached no target; another one in its place is not an extra one."""
        if mechanisms.Mechanism.FREE_RETRIES not in self._shared.without:
            shard.sent -= 1

    def _on_gatherer_lost(self, number: int) -> None:
        tries = self._queries.pop(number, [])
        found = verdict.may_have_run(verdict.Reason.LINK_LOST, "the gatherer is gone")
        lost = [attempt for attempt in tries if attempt in self._shards[attempt.shard].running]
        for attempt in lost:
            self._shards[attempt.shard].running.remove(attempt)
            attempt.end = found
        for attempt in lost:
            self._on_failure(attempt.shard, found)

    def _record(self, attempt: search_state.Try) -> None:
        is_remote = attempt.is_remote(self._shared.hall)
        self._shared.record_answer(self._route.name, is_remote, attempt.started, attempt.is_hedge)

    def _drop_query(self, number: int) -> None:
        """Give up the rest of a query whose first part can't be used: later ones build on it."""
        if number in self._queries:
            self._shared.gatherers.close(number, (0,))
            self._on_gatherer_lost(number)

    def _note_given_up(self, tries: Iterable[search_state.Try]) -> None:
        now = self._shared.reactor.seconds()
        for attempt in tries:
            if attempt in self._shards[attempt.shard].running:
                self._shared.book.note_given_up(attempt.state, now, now - attempt.started)

    def stop_shard(self, shard: search_state.Shard) -> None:
        """Cancel the attempts at a shard that is in.

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
                self._close_query_if_over(attempt.query)

    def _close_query_if_over(self, number: int) -> None:
        tries = self._queries.get(number)
        if tries is None:
            return
        if any(attempt in self._shards[attempt.shard].running for attempt in tries):
            return
        del self._queries[number]
        self._shared.gatherers.close(number, None)

    def give_up_calls(self) -> None:
        """Cancel the attempts that went straight to targets, and note which reached none."""
        for shard in self._shards:
            for attempt in shard.running:
                attempts.give_up(attempt)
            shard.running = [one for one in shard.running if one.query]

    def stop(self) -> None:
        """Cancel all attempts; nothing is reported any more."""
        self._is_over = True
        self.give_up_calls()
        for number, tries in self._queries.items():
            open_positions = tuple(
                attempt.position
                for attempt in tries
                if attempt in self._shards[attempt.shard].running
            )
            self._note_given_up(tries)
            self._shared.gatherers.close(number, open_positions)
        self._queries.clear()
