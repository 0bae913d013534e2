"""Sends sub-queries to gatherers and matches replies with them.

The dispatcher selects the data hall and the owner of each sub-query, batches sub-queries for the
same owner into one frame, hedges across halls, and resends sub-queries whose gatherer has stopped
replying. It doesn't assemble answers: it passes every outcome to the front.
"""

from __future__ import annotations

import dataclasses
import itertools
from typing import TYPE_CHECKING

from lineworks.decisions import catalog, deadlines, hedging, routing, verdict
from lineworks.engine import messages
from lineworks.engine import query as queries

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from lineworks.engine import front_state, ports, views

UNRESPONSIVE_AFTER = 0.25
"""Seconds without any reply after which a gatherer with outstanding work is unresponsive."""


@dataclasses.dataclass(slots=True)
class _Peer:
    """The state of one gatherer, as seen by this front."""

    outstanding: int = 0
    """Sub-queries sent to it that are not settled."""

    progress_at: float = 0.0
    """Time in seconds of its last reply, or of the first frame sent while it had no work."""


class Dispatcher:
    """Routes, sends, hedges and cancels the sub-queries of one front."""

    def __init__(
        self,
        name: str,
        clock: ports.Clock,
        rng: random.Random,
        gatherers: ports.GathererPort,
        view: views.ClusterView,
        tuning: front_state.Tuning,
        counters: front_state.Counters,
        get_group_state: Callable[[queries.Query], queries.GroupState],
        on_outcome: Callable[[queries.Query, queries.Shard, messages.ShardReply], None],
        trace: Callable[[queries.Query, str, str, str], None],
    ) -> None:
        """Initialise a dispatcher without sub-queries.

        Args:
            name: Name of this instance.
            clock: Source of the time and of timers.
            rng: Random number generator.
            gatherers: Sends messages to gatherers.
            view: Configuration, owners and holdings.
            tuning: Options of the front.
            counters: Counters of the front, which the dispatcher updates too.
            get_group_state: Returns the state of a query's group.
            on_outcome: Called with each outcome of a sub-query that is not done yet.
            trace: Called with (query, shard, event, detail) at each step.
        """
        self._name = name
        self._clock = clock
        self._rng = rng
        self._gatherers = gatherers
        self._view = view
        self._tuning = tuning
        self._counters = counters
        self._get_group_state = get_group_state
        self._on_outcome = on_outcome
        self._trace = trace
        self._frame_numbers = itertools.count(1)
        self._frames: dict[int, queries.Frame] = {}
        self._loads: dict[str, dict[str, routing.HallLoad]] = {}
        self._peers: dict[str, _Peer] = {}

    def send(
        self, query: queries.Query, positions: Sequence[int], is_hedge: bool = False
    ) -> list[queries.Shard]:
        """Send sub-queries, batched into one frame for each owner.

        Args:
            query: The query.
            positions: Positions in the query of the sub-queries to send.
            is_hedge: Whether these are second copies, which go to a hall not tried yet.

        Returns:
            Sub-queries without an available owner.
        """
        batches: dict[tuple[str, str], list[int]] = {}
        unreachable = []
        for position in positions:
            chosen = self._route(query, query.shards[position], is_hedge)
            if chosen is None:
                unreachable.append(query.shards[position])
            else:
                batches.setdefault(chosen, []).append(position)
        for (hall, instance), batch in batches.items():
            self._send_batch(query, hall, instance, batch, is_hedge)
        return unreachable

    def on_reply(self, instance: str, reply: messages.ShardReply) -> None:
        """Match a reply with its sub-query; count and drop replies that match none.

        Args:
            instance: The gatherer that sent it.
            reply: The reply.
        """
        frame = self._frames.get(reply.frame)
        if frame is None or frame.instance != instance or reply.index >= len(frame.positions):
            self._counters.late_replies += 1
            return
        query = frame.query
        shard = query.shards[frame.positions[reply.index]]
        if shard.pending.pop(reply.frame, None) is None:
            self._counters.late_replies += 1
            return
        self._peers[instance].progress_at = self._clock.seconds()
        self._settle(reply.frame, frame, shard)
        self._update_estimates(query, frame, shard, reply)
        if query.is_finished or shard.is_done:
            self._counters.late_replies += 1
            return
        self._on_outcome(query, shard, reply)

    def on_link_lost(self, instance: str) -> None:
        """Fail every sub-query sent to a gatherer, because the link to it is lost.

        Args:
            instance: The gatherer.
        """
        lost = [number for number, frame in self._frames.items() if frame.instance == instance]
        result = verdict.may_have_run(verdict.Reason.LINK_LOST, f"lost {instance}")
        for number in lost:
            self._fail_frame(number, result)

    def cancel_query(self, query: queries.Query) -> None:
        """Cancel all frames of a query.

        Args:
            query: The query.
        """
        for number in sorted(query.frames):
            frame = self._frames[number]
            self._gatherers.send(frame.instance, messages.Cancel(number))
            for position in frame.positions:
                shard = query.shards[position]
                if shard.pending.pop(number, None) is not None:
                    self._settle(number, frame, shard)

    def cancel_shard(self, shard: queries.Shard) -> None:
        """Cancel all outstanding copies of a sub-query.

        Args:
            shard: The sub-query.
        """
        for number, index in list(shard.pending.items()):
            frame = self._frames[number]
            self._gatherers.send(frame.instance, messages.Cancel(number, (index,)))
            del shard.pending[number]
            self._settle(number, frame, shard)

    def _route(
        self, query: queries.Query, shard: queries.Shard, is_hedge: bool
    ) -> tuple[str, str] | None:
        """Select the data hall and the owner for a sub-query; None when there is no owner."""
        snapshot = query.snapshot if query.needs_snapshot else None
        paths: Sequence[routing.Path] = self._view.paths(shard.service, snapshot)
        if is_hedge:
            paths = [path for path in paths if path.hall not in shard.tried_halls]
        elif shard.tried_owners:
            paths = [p for p in paths if not shard.tried_owners.issuperset(p.owners)]
        paths = self._exclude_unresponsive(paths)
        if not paths:
            return None
        now = self._clock.seconds()
        if self._tuning.routes_by_load:
            service_time = self._get_group_state(query).service_time.value
            loads = self._hall_loads(shard.service)
            path = routing.choose_path(paths, loads, now, service_time, self._rng)
        else:
            path = paths[int(self._rng.random() * len(paths))]
        tried = frozenset(shard.tried_owners)
        outstanding = {name: self._peer(name).outstanding for name in path.owners}
        return path.hall, routing.choose_owner(path, self._name, outstanding, tried)

    def _exclude_unresponsive(self, paths: Sequence[routing.Path]) -> Sequence[routing.Path]:
        """Exclude unresponsive owners, unless all owners are unresponsive."""
        if not self._tuning.avoids_unresponsive:
            return paths
        if not any(self._is_unresponsive(name) for path in paths for name in path.owners):
            return paths
        responsive = []
        for path in paths:
            owners = tuple(name for name in path.owners if not self._is_unresponsive(name))
            if owners:
                responsive.append(dataclasses.replace(path, owners=owners))
        return responsive or paths

    def _is_unresponsive(self, instance: str) -> bool:
        peer = self._peers.get(instance)
        if peer is None or not peer.outstanding or instance == self._name:
            return False
        return self._clock.seconds() - peer.progress_at >= UNRESPONSIVE_AFTER

    def _peer(self, instance: str) -> _Peer:
        peer = self._peers.get(instance)
        if peer is None:
            peer = self._peers[instance] = _Peer()
        return peer

    def _hall_loads(self, service: catalog.Service) -> dict[str, routing.HallLoad]:
        loads = self._loads.get(service.name)
        if loads is None:
            loads = self._loads[service.name] = {}
            for target in service.targets:
                load = loads.setdefault(target.hall, routing.HallLoad(0))
                load.slots += target.slots
        return loads

    def _send_batch(
        self, query: queries.Query, hall: str, instance: str, batch: list[int], is_hedge: bool
    ) -> None:
        now = self._clock.seconds()
        number = next(self._frame_numbers)
        shards = [query.shards[position] for position in batch]
        self._frames[number] = queries.Frame(
            query, instance, hall, batch, is_hedge, len(batch), now
        )
        query.frames.add(number)
        peer = self._peer(instance)
        if not peer.outstanding:
            peer.progress_at = now
        peer.outstanding += len(batch)
        for index, shard in enumerate(shards):
            self._record_sent(query, shard, number, index, is_hedge)
        request = self._make_request(query, number, hall, instance, shards)
        if not self._gatherers.send(instance, request):
            result = verdict.not_run(verdict.Reason.UNREACHABLE, f"no link to {instance}")
            self._fail_frame(number, result)
            return
        if query.is_repeatable and not query.is_finished:
            self._start_timers(query, number, is_hedge)

    def _make_request(
        self,
        query: queries.Query,
        number: int,
        hall: str,
        instance: str,
        shards: Sequence[queries.Shard],
    ) -> messages.SubQueries:
        delay = self._view.delay_to(instance)
        return messages.SubQueries(
            frame=number,
            query=query.id,
            hall=hall,
            snapshot=query.snapshot or catalog.Snapshot(0, catalog.BASE_LAYOUT),
            services=tuple(shard.service.name for shard in shards),
            shards=tuple(shard.shard for shard in shards),
            body=query.body,
            deadline=deadlines.for_next_hop(query.deadline, delay),
            is_repeatable=query.is_repeatable,
            needs_snapshot=query.needs_snapshot,
            group=query.group.name,
            hedge_budget=self._get_group_state(query).hedge_budget,
            network_delay=2 * delay,
        )

    def _record_sent(
        self, query: queries.Query, shard: queries.Shard, number: int, index: int, is_hedge: bool
    ) -> None:
        frame = self._frames[number]
        shard.pending[number] = index
        shard.tried_owners.add(frame.instance)
        shard.tried_halls.add(frame.hall)
        if not is_hedge:
            shard.sent_at = frame.sent_at
            shard.hall = frame.hall
        load = self._hall_loads(shard.service).get(frame.hall)
        if load is not None:
            load.outstanding += 1
        event = "hedge" if is_hedge else "send"
        self._trace(query, shard.shard, event, f"{frame.instance} in {frame.hall}")

    def _start_timers(self, query: queries.Query, number: int, is_hedge: bool) -> None:
        """Start the timers that hedge or resend the slow sub-queries of a frame."""
        frame = self._frames[number]
        if not is_hedge:
            self._check_hedge(query, frame)
        if self._tuning.avoids_unresponsive and frame.instance != self._name:
            query.timers.append(
                self._clock.callLater(UNRESPONSIVE_AFTER, self._check_unresponsive, number)
            )

    def _check_unresponsive(self, number: int) -> None:
        """Resend an unresponsive gatherer's sub-queries without cancelling the first copies."""
        frame = self._frames.get(number)
        if frame is None or frame.query.is_finished or not self._is_unresponsive(frame.instance):
            return
        query = frame.query
        waiting = [p for p in frame.positions if not query.shards[p].is_done]
        state = self._get_group_state(query)
        resendable = [p for p in waiting if self._has_untried_owner(query, query.shards[p])]
        resendable = [position for position in resendable if state.retries.spend()]
        self._counters.resent += len(resendable)
        self.send(query, resendable)

    def _has_untried_owner(self, query: queries.Query, shard: queries.Shard) -> bool:
        snapshot = query.snapshot if query.needs_snapshot else None
        owners = {
            name
            for path in self._view.paths(shard.service, snapshot)
            for name in path.owners
            if not self._is_unresponsive(name)
        }
        return not owners <= shard.tried_owners

    def _check_hedge(self, query: queries.Query, frame: queries.Frame) -> None:
        """Apply the hedging rule to a frame and schedule the next check."""
        if query.is_finished:
            return
        waiting = [p for p in frame.positions if _is_hedged_by_front(query.shards[p])]
        if not waiting:
            return
        state = self._get_group_state(query)
        elapsed = self._clock.seconds() - frame.sent_at
        budget_fill = state.hedges.tokens / queries.HEDGE_BURST
        progress = hedging.QueryProgress(elapsed, query.outstanding, len(query.shards), budget_fill)
        latencies = state.hall_latencies(frame.hall)
        advice = self._tuning.hedge(progress, latencies, state.hedge_budget)
        if advice.should_hedge:
            for position in waiting:
                self._hedge(query, position, state)
        if advice.check_in is not None:
            delay = max(advice.check_in, hedging.MIN_CHECK_SECONDS)
            query.timers.append(self._clock.callLater(delay, self._check_hedge, query, frame))

    def _hedge(self, query: queries.Query, position: int, state: queries.GroupState) -> None:
        shard = query.shards[position]
        if shard.is_hedged or not shard.pending or not state.hedges.spend():
            return
        shard.is_hedged = True
        self._counters.hedges += 1
        self.send(query, [position], is_hedge=True)

    def _fail_frame(self, number: int, result: verdict.Verdict) -> None:
        """Settle all sub-queries of a frame with the same verdict."""
        frame = self._frames.get(number)
        if frame is None:
            return
        for index in range(len(frame.positions)):
            failed = messages.ShardReply(number, index, result, None, b"", 0.0, "", 0)
            self.on_reply(frame.instance, failed)

    def _settle(self, number: int, frame: queries.Frame, shard: queries.Shard) -> None:
        """Count one sub-query of a frame as settled; remove the frame after its last one."""
        frame.outstanding -= 1
        self._peers[frame.instance].outstanding -= 1
        load = self._loads[shard.service.name].get(frame.hall)
        if load is not None:
            load.outstanding -= 1
        if not frame.outstanding:
            del self._frames[number]
            frame.query.frames.discard(number)

    def _update_estimates(
        self,
        query: queries.Query,
        frame: queries.Frame,
        shard: queries.Shard,
        reply: messages.ShardReply,
    ) -> None:
        now = self._clock.seconds()
        load = self._loads[shard.service.name].get(frame.hall)
        if load is not None:
            load.on_reply(now, reply.waited)
        if reply.verdict.is_ok and not frame.is_hedge:
            state = self._get_group_state(query)
            seconds = now - frame.sent_at
            state.hall_latencies(frame.hall).record(seconds)
            state.service_time.record(seconds - reply.waited)


def _is_hedged_by_front(shard: queries.Shard) -> bool:
    """Return whether the front hedges a sub-query in another hall.

    It does where the service has a single target in the hall, so that the gatherer has no other
    replica to hedge at.
    """
    if shard.is_done:
        return False
    return sum(1 for target in shard.service.targets if target.hall == shard.hall) == 1
