"""Sends sub-queries to gatherers and matches what comes back.

The dispatcher chooses the hall and the owner, batches what goes to one owner into one frame,
hedges across halls, and notices gatherers that have fallen silent with work in hand. It knows
nothing of answers; every outcome is handed to the front.
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

SILENCE = 0.25
"""Seconds with work in hand and no reply at all after which a gatherer counts as silent."""


@dataclasses.dataclass(slots=True)
class _Peer:
    """What is known of one gatherer."""

    outstanding: int = 0
    heard_at: float = 0.0
    """Last reply, or the first message after all earlier ones were settled."""


class Dispatcher:
    """The sub-queries of one front that are under way."""

    def __init__(
        self,
        name: str,
        clock: ports.Clock,
        rng: random.Random,
        gatherers: ports.GathererPort,
        view: views.ClusterView,
        tuning: front_state.Tuning,
        counters: front_state.Counters,
        state_of: Callable[[queries.Query], queries.GroupState],
        on_outcome: Callable[[queries.Query, queries.Shard, messages.ShardReply], None],
        trace: Callable[[queries.Query, str, str, str], None],
    ) -> None:
        """Start with nothing under way.

        Args:
            name: Name of this instance.
            clock: Time and timers.
            rng: Random source.
            gatherers: Carries messages.
            view: Configuration, owners and holdings.
            tuning: Choices that the bench varies.
            counters: Counts of the front.
            state_of: Finds what was learned about a query's group.
            on_outcome: Takes each outcome that is still wanted.
            trace: Takes (query, shard, event, detail).
        """
        self._name = name
        self._clock = clock
        self._rng = rng
        self._gatherers = gatherers
        self._view = view
        self._tuning = tuning
        self._counters = counters
        self._state_of = state_of
        self._on_outcome = on_outcome
        self._trace = trace
        self._numbers = itertools.count(1)
        self._frames: dict[int, queries.Frame] = {}
        self._loads: dict[str, dict[str, routing.HallLoad]] = {}
        self._peers: dict[str, _Peer] = {}

    def send(
        self, query: queries.Query, positions: Sequence[int], is_hedge: bool = False
    ) -> list[queries.Shard]:
        """Send sub-queries, one message to each owner.

        Args:
            query: The query.
            positions: Positions of its sub-queries.
            is_hedge: Whether they are sent a second time, to a hall not tried yet.

        Returns:
            Sub-queries that no owner could be found for.
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
        """Match a reply with its sub-query; drop and count what does not match.

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
        self._peers[instance].heard_at = self._clock.seconds()
        self._settle(reply.frame, frame, shard)
        self._learn(query, frame, shard, reply)
        if query.is_over or shard.is_done:
            self._counters.late_replies += 1
            return
        self._on_outcome(query, shard, reply)

    def on_link_lost(self, instance: str) -> None:
        """Handle the loss of a gatherer: what it was asked has no outcome.

        Args:
            instance: The gatherer.
        """
        lost = [number for number, frame in self._frames.items() if frame.instance == instance]
        found = verdict.may_have_run(verdict.Reason.LINK_LOST, f"lost {instance}")
        for number in lost:
            self._fail_frame(number, found)

    def cancel_query(self, query: queries.Query) -> None:
        """Give up every frame of a query.

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
        """Give up what is still under way for one sub-query.

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
        """Choose the hall and the owner that get a sub-query."""
        snapshot = query.snapshot if query.needs_snapshot else None
        paths: Sequence[routing.Path] = self._view.paths(shard.service, snapshot)
        if is_hedge:
            paths = [path for path in paths if path.hall not in shard.tried_halls]
        elif shard.tried_owners:
            paths = [p for p in paths if not shard.tried_owners.issuperset(p.owners)]
        paths = self._without_silent(paths)
        if not paths:
            return None
        now = self._clock.seconds()
        if self._tuning.is_routing_by_load:
            time = self._state_of(query).service_time.value
            loads = self._hall_loads(shard.service)
            path = routing.choose_path(paths, loads, now, time, self._rng)
        else:
            path = paths[int(self._rng.random() * len(paths))]
        tried = frozenset(shard.tried_owners)
        outstanding = {name: self._peer(name).outstanding for name in path.owners}
        return path.hall, routing.choose_owner(path, self._name, outstanding, tried)

    def _without_silent(self, paths: Sequence[routing.Path]) -> Sequence[routing.Path]:
        """Leave out silent owners, unless all are silent."""
        if not self._tuning.avoids_silent:
            return paths
        if not any(self._is_silent(name) for path in paths for name in path.owners):
            return paths
        heard = []
        for path in paths:
            owners = tuple(name for name in path.owners if not self._is_silent(name))
            if owners:
                heard.append(dataclasses.replace(path, owners=owners))
        return heard or paths

    def _is_silent(self, instance: str) -> bool:
        peer = self._peers.get(instance)
        if peer is None or not peer.outstanding or instance == self._name:
            return False
        return self._clock.seconds() - peer.heard_at >= SILENCE

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
        number = next(self._numbers)
        shards = [query.shards[position] for position in batch]
        self._frames[number] = queries.Frame(
            query, instance, hall, batch, is_hedge, len(batch), now
        )
        query.frames.add(number)
        peer = self._peer(instance)
        if not peer.outstanding:
            peer.heard_at = now
        peer.outstanding += len(batch)
        for index, shard in enumerate(shards):
            self._note_sent(query, shard, number, index, is_hedge)
        request = self._make_request(query, number, hall, instance, shards)
        if not self._gatherers.send(instance, request):
            found = verdict.not_run(verdict.Reason.UNREACHABLE, f"no link to {instance}")
            self._fail_frame(number, found)
            return
        if query.is_repeatable and not query.is_over:
            self._watch(query, number, is_hedge)

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
            hedge_budget=self._state_of(query).hedge_budget,
            network_delay=2 * delay,
        )

    def _note_sent(
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

    def _watch(self, query: queries.Query, number: int, is_hedge: bool) -> None:
        """Set the timers that look at a frame's slow sub-queries."""
        frame = self._frames[number]
        if not is_hedge:
            self._check_hedge(query, frame)
        if self._tuning.avoids_silent and frame.instance != self._name:
            query.timers.append(self._clock.callLater(SILENCE, self._check_silence, number))

    def _check_silence(self, number: int) -> None:
        """Send a silent gatherer's sub-queries elsewhere, without giving the first ones up."""
        frame = self._frames.get(number)
        if frame is None or frame.query.is_over or not self._is_silent(frame.instance):
            return
        query = frame.query
        waiting = [p for p in frame.positions if not query.shards[p].is_done]
        state = self._state_of(query)
        again = [p for p in waiting if self._has_other_path(query, query.shards[p])]
        again = [position for position in again if state.retries.spend()]
        self._counters.resent += len(again)
        self.send(query, again)

    def _has_other_path(self, query: queries.Query, shard: queries.Shard) -> bool:
        snapshot = query.snapshot if query.needs_snapshot else None
        owners = {
            name
            for path in self._view.paths(shard.service, snapshot)
            for name in path.owners
            if not self._is_silent(name)
        }
        return not owners <= shard.tried_owners

    def _check_hedge(self, query: queries.Query, frame: queries.Frame) -> None:
        """Ask the hedge rule about a frame, act on it, and set the next check."""
        if query.is_over:
            return
        waiting = [p for p in frame.positions if _is_hedged_here(query.shards[p])]
        if not waiting:
            return
        state = self._state_of(query)
        elapsed = self._clock.seconds() - frame.sent_at
        fill = state.hedges.tokens / queries.HEDGE_BURST
        progress = hedging.QueryProgress(elapsed, query.outstanding, len(query.shards), fill)
        latencies = state.path_latencies(frame.hall)
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

    def _fail_frame(self, number: int, found: verdict.Verdict) -> None:
        """Settle all of a frame's sub-queries with one verdict."""
        frame = self._frames.get(number)
        if frame is None:
            return
        for index in range(len(frame.positions)):
            failed = messages.ShardReply(number, index, found, None, b"", 0.0, "", 0)
            self.on_reply(frame.instance, failed)

    def _settle(self, number: int, frame: queries.Frame, shard: queries.Shard) -> None:
        """Count one sub-query of a frame as settled, and forget the frame after its last."""
        frame.open -= 1
        self._peers[frame.instance].outstanding -= 1
        load = self._loads[shard.service.name].get(frame.hall)
        if load is not None:
            load.outstanding -= 1
        if not frame.open:
            del self._frames[number]
            frame.query.frames.discard(number)

    def _learn(
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
            state = self._state_of(query)
            seconds = now - frame.sent_at
            state.path_latencies(frame.hall).record(seconds)
            state.service_time.record(seconds - reply.waited)


def _is_hedged_here(shard: queries.Shard) -> bool:
    """Say whether the front hedges a sub-query, in another hall, and not its gatherer."""
    if shard.is_done:
        return False
    return sum(1 for target in shard.service.targets if target.hall == shard.hall) == 1
