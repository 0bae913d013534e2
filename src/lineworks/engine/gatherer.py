"""The gatherer: runs sub-queries as attempts at the targets that this instance owns.

When no replica has free capacity, a sub-query waits in the queue of its service. It is assigned to
a replica only when one has free capacity, so a slow replica delays only the attempts that it is
already running.
"""

from __future__ import annotations

import functools
import itertools
from typing import TYPE_CHECKING

from lineworks.decisions import deadlines, hedging, replicas, verdict
from lineworks.engine import messages, ports, sub_query

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from lineworks.decisions import catalog


class Gatherer:
    """Runs the sub-queries that fronts send to this instance."""

    def __init__(
        self,
        clock: ports.Clock,
        rng: random.Random,
        targets: ports.TargetPort,
        tuning: sub_query.Tuning | None = None,
        on_trace: Callable[[str, str, str, str], None] | None = None,
    ) -> None:
        """Initialise a gatherer without targets.

        Args:
            clock: Source of the time and of timers.
            rng: Random number generator.
            targets: Sends attempts to targets.
            tuning: Options; the defaults when None.
            on_trace: Called with (query, shard, event, detail) at each step.
        """
        self._clock = clock
        self._rng = rng
        self._targets = targets
        self._tuning = tuning or sub_query.Tuning()
        self._on_trace = on_trace
        self._pools: dict[str, sub_query.ReplicaPool] = {}
        self._replicas: dict[str, replicas.Replica] = {}
        self._groups: dict[str, sub_query.GroupState] = {}
        self._frames: dict[tuple[str, int], sub_query.Frame] = {}
        self._attempt_numbers = itertools.count(1)
        self.counters = sub_query.Counters()
        self.on_holdings_changed: Callable[[], None] = lambda: None

    @property
    def is_idle(self) -> bool:
        """Whether no sub-query is queued or running."""
        return not self._frames

    @property
    def owned_replicas(self) -> Iterable[replicas.Replica]:
        """The replicas at all targets that this instance owns."""
        return self._replicas.values()

    def set_targets(self, targets: Iterable[catalog.Target]) -> None:
        """Replace the set of owned targets; running attempts continue.

        Args:
            targets: The targets that this instance owns now.
        """
        owned_targets = {target.name: target for target in targets}
        for name in list(self._replicas):
            if name not in owned_targets:
                replica = self._replicas.pop(name)
                self._pools[replica.target.service].replicas.remove(replica)
        for name, target in owned_targets.items():
            if name not in self._replicas:
                self._replicas[name] = replicas.make_replica(target)
                self._pool(target.service).replicas.append(self._replicas[name])
            replica = self._replicas[name]
            replica.target = target
            replica.is_leaving = replica.is_leaving or target.is_leaving
        self.on_holdings_changed()

    def holdings(self) -> dict[str, frozenset[catalog.Snapshot]]:
        """List the snapshots that the owned targets can serve.

        Returns:
            For each service, the snapshots held by at least one replica that is not leaving.
        """
        held: dict[str, frozenset[catalog.Snapshot]] = {}
        for service, pool in self._pools.items():
            usable = [replica.holds for replica in pool.replicas if not replica.is_leaving]
            held[service] = frozenset().union(*usable)
        return held

    def on_report(self, target: str, report: replicas.StatusReport) -> None:
        """Process a report that a target sent about itself.

        Args:
            target: Name of the target.
            report: The report.
        """
        replica = self._replicas.get(target)
        if replica is None:
            return
        before = (replica.holds, replica.is_leaving)
        replica.on_report(self._clock.seconds(), report)
        if before != (replica.holds, replica.is_leaving):
            self.on_holdings_changed()

    def on_leaving(self, target: str) -> None:
        """Mark a target as leaving for the rest of its incarnation.

        Args:
            target: Name of the target.
        """
        replica = self._replicas.get(target)
        if replica is not None and not replica.is_leaving:
            replica.is_leaving = True
            self.on_holdings_changed()

    def on_sub_queries(
        self,
        origin: str,
        request: messages.SubQueries,
        reply: Callable[[messages.ShardReply], None],
    ) -> None:
        """Start the sub-queries of a frame.

        Args:
            origin: Incarnation of the front that sent the frame.
            request: The frame.
            reply: Called once for each sub-query that is not cancelled.
        """
        now = self._clock.seconds()
        key = (origin, request.frame)
        sub_queries = [
            sub_query.SubQuery(origin, request, index, reply, now)
            for index in range(len(request.services))
        ]
        delay = max(0.0, request.deadline - now)
        timer = self._clock.callLater(delay, self._on_deadline, key)
        self._frames[key] = sub_query.Frame(sub_queries, len(sub_queries), timer)
        for sub in sub_queries:
            self._pool(sub.service).retries.earn(sub_query.RETRY_RATIO)
            self._schedule(sub)
        if request.is_repeatable:
            group = self._group(request.group)
            group.hedge_budget = request.hedge_budget
            group.hedges.earn(request.hedge_budget * len(sub_queries))
            self._check_hedges(key)

    def on_cancel(self, origin: str, cancel: messages.Cancel) -> None:
        """Cancel sub-queries and their attempts.

        Args:
            origin: Incarnation of the front that sent the sub-queries.
            cancel: The frame and the positions to cancel.
        """
        frame = self._frames.get((origin, cancel.frame))
        if frame is None:
            return
        positions = cancel.indices or range(len(frame.sub_queries))
        for index in positions:
            if 0 <= index < len(frame.sub_queries):
                self._end_sub_query(frame.sub_queries[index])

    def on_origin_lost(self, origin: str) -> None:
        """Cancel the repeatable sub-queries of a front, because the link to it is lost.

        Args:
            origin: Incarnation of the front.
        """
        for key in [key for key in self._frames if key[0] == origin]:
            if self._frames[key].sub_queries[0].request.is_repeatable:
                self.on_cancel(origin, messages.Cancel(key[1]))

    def _check_hedges(self, key: tuple[str, int]) -> None:
        """Apply the hedging rule to each open sub-query of a frame and schedule the next check."""
        frame = self._frames.get(key)
        if frame is None:
            return
        next_check: float | None = None
        for sub in frame.sub_queries:
            if sub.is_done or sub.is_hedged:
                continue
            check_in = self._check_hedge(sub, frame)
            if check_in is not None and (next_check is None or check_in < next_check):
                next_check = check_in
        if next_check is not None:
            delay = max(next_check, hedging.MIN_CHECK_SECONDS)
            frame.hedge_timer = self._clock.callLater(delay, self._check_hedges, key)

    def _check_hedge(self, sub: sub_query.SubQuery, frame: sub_query.Frame) -> float | None:
        """Hedge a sub-query if it is due; return the seconds until the next check, if any."""
        group = self._group(sub.request.group)
        elapsed = self._elapsed(sub)
        budget_fill = group.hedges.tokens / sub_query.HEDGE_BURST
        progress = hedging.QueryProgress(
            elapsed, frame.outstanding, len(frame.sub_queries), budget_fill
        )
        advice = self._tuning.hedge(progress, group.latencies, group.hedge_budget)
        if advice.should_hedge and sub.running:
            self._hedge(sub, group)
        return None if sub.is_hedged else advice.check_in

    def _elapsed(self, sub: sub_query.SubQuery) -> float:
        """Return the sub-query's age in seconds as the front sees it, with the network delay."""
        return self._clock.seconds() - sub.arrived + sub.request.network_delay

    def _hedge(self, sub: sub_query.SubQuery, group: sub_query.GroupState) -> None:
        usable = self._usable_replicas(sub)
        if not usable:
            sub.is_hedged = True
            return
        replica = self._choose_replica(usable)
        if replica is None or not group.hedges.spend():
            return
        sub.is_hedged = True
        self.counters.hedges += 1
        self._start(sub, replica, "hedge")

    def _group(self, name: str) -> sub_query.GroupState:
        group = self._groups.get(name)
        if group is None:
            group = self._groups[name] = sub_query.GroupState()
        return group

    def _pool(self, service: str) -> sub_query.ReplicaPool:
        pool = self._pools.get(service)
        if pool is None:
            pool = self._pools[service] = sub_query.ReplicaPool()
        return pool

    def _usable_replicas(self, sub: sub_query.SubQuery) -> list[replicas.Replica]:
        """List the replicas that may still serve a sub-query, with or without free capacity."""
        pool = self._pool(sub.service)
        request = sub.request
        snapshot = request.snapshot if request.needs_snapshot else None
        stall_timeout = pool.stall_timeout if self._tuning.ejects_stalled else None
        usable = replicas.usable(pool.replicas, snapshot, self._clock.seconds(), stall_timeout)
        return [replica for replica in usable if replica.target.name not in sub.tried]

    def _choose_replica(self, usable: list[replicas.Replica]) -> replicas.Replica | None:
        """Choose the replica for an attempt; None when no usable one has free capacity."""
        if self._tuning.limits_concurrency:
            usable = [replica for replica in usable if replica.in_flight < replica.limit.value]
        if not usable:
            return None
        return self._tuning.choose(usable, self._clock.seconds(), self._rng)

    def _schedule(self, sub: sub_query.SubQuery) -> None:
        """Start the next attempt of a sub-query, queue the sub-query, or fail it."""
        usable = self._usable_replicas(sub)
        replica = self._choose_replica(usable)
        if replica is not None:
            self._start(sub, replica, "retry" if sub.attempts else "attempt")
            return
        if usable:
            sub.is_waiting = True
            self._pool(sub.service).waiting.append(sub)
            self._trace(sub, "wait", "no replica has room")
            return
        self._finish(
            sub, sub.failure or sub_query.unavailable_verdict(sub, self._pool(sub.service))
        )

    def _start(self, sub: sub_query.SubQuery, replica: replicas.Replica, event: str) -> None:
        now = self._clock.seconds()
        request = sub.request
        if sub.attempts == 0:
            sub.waited = now - sub.arrived
        attempt_id = f"{request.query}.{sub.index}.{next(self._attempt_numbers)}"
        sub.attempts += 1
        sub.last_target = replica.target.name
        sub.tried.add(replica.target.name)
        running = sub_query.RunningAttempt(replica, now)
        sub.running[attempt_id] = running
        replica.on_started(now)
        self.counters.started += 1
        self._trace(sub, event, replica.target.name)
        attempt = ports.Attempt(
            attempt_id,
            request.shards[sub.index],
            request.snapshot if request.needs_snapshot else None,
            request.body,
            request.deadline,
        )
        running.cancel = self._targets.send(
            replica.target, attempt, functools.partial(self._on_outcome, sub, attempt_id)
        )

    def _on_outcome(self, sub: sub_query.SubQuery, attempt_id: str, outcome: ports.Outcome) -> None:
        running = sub.running.pop(attempt_id)
        replica = running.replica
        self._update_replica(sub, running, outcome)
        if not sub.is_done:
            self._handle_outcome(sub, outcome)
        self._dispatch_waiting(self._pool(replica.target.service))

    def _update_replica(
        self, sub: sub_query.SubQuery, running: sub_query.RunningAttempt, outcome: ports.Outcome
    ) -> None:
        """Update the state of a replica from the outcome of an attempt."""
        now = self._clock.seconds()
        replica = running.replica
        reason = outcome.verdict.reason
        is_unreachable = reason in (verdict.Reason.UNREACHABLE, verdict.Reason.LINK_LOST)
        replica.on_ended(now, is_progress=not is_unreachable)
        if outcome.report is not None:
            self.on_report(replica.target.name, outcome.report)
        if outcome.verdict.is_ok:
            replica.limit.on_success()
            self._pool(sub.service).service_time.record(now - running.started)
        elif is_unreachable or reason is verdict.Reason.CAPPED:
            replica.on_unreachable(now, self._rng)
            replica.limit.on_refused()
        elif reason is verdict.Reason.OVERLOADED:
            replica.limit.on_refused()
            replica.backoff_until = now + sub_query.SHED_BACKOFF
        elif reason is verdict.Reason.LEAVING:
            self.on_leaving(replica.target.name)
        if sub_query.is_wrong_snapshot(sub, outcome):
            replica.on_snapshot_refused(now, sub.request.snapshot)
            self.on_holdings_changed()
        if outcome.verdict.is_not_run:
            self.counters.refused += 1

    def _handle_outcome(self, sub: sub_query.SubQuery, outcome: ports.Outcome) -> None:
        """Complete or retry a sub-query after an attempt, or wait for its other attempt."""
        result = outcome.verdict
        if result.is_ok and sub_query.is_wrong_snapshot(sub, outcome):
            self.counters.wrong_snapshot += 1
            detail = f"the target answered from {outcome.snapshot}"
            result = verdict.ran(verdict.Reason.SNAPSHOT_GONE, detail)
        self._trace(sub, "outcome", f"{result.certainty.value} {result.reason.value}")
        if result.is_ok:
            # Measured from arrival: a hedged sub-query counts as slow even if its hedge was fast.
            self._group(sub.request.group).latencies.record(self._elapsed(sub))
            self._finish(sub, result, outcome)
            return
        sub.failure = result if sub.failure is None or not result.is_not_run else sub.failure
        if sub.running:
            return
        if self._may_retry(sub, result):
            self.counters.retries += 1
            self._schedule(sub)
            return
        self._finish(sub, sub.failure)

    def _may_retry(self, sub: sub_query.SubQuery, result: verdict.Verdict) -> bool:
        if not result.is_not_run and not sub.request.is_repeatable:
            return False
        if self._clock.seconds() + deadlines.HOP_MARGIN >= sub.request.deadline:
            return False
        return self._pool(sub.service).retries.spend()

    def _dispatch_waiting(self, pool: sub_query.ReplicaPool) -> None:
        """Start queued sub-queries at replicas that have free capacity."""
        waiting = pool.waiting
        now = self._clock.seconds()
        while waiting:
            sub = waiting[0]
            if sub.is_done or now >= sub.request.deadline:
                waiting.popleft()
                continue
            usable = self._usable_replicas(sub)
            replica = self._choose_replica(usable)
            if usable and replica is None:
                return
            waiting.popleft()
            sub.is_waiting = False
            if replica is None:
                self._finish(
                    sub, sub.failure or sub_query.unavailable_verdict(sub, self._pool(sub.service))
                )
            else:
                self._start(sub, replica, "retry" if sub.attempts else "attempt")

    def _finish(
        self, sub: sub_query.SubQuery, result: verdict.Verdict, outcome: ports.Outcome | None = None
    ) -> None:
        self._end_sub_query(sub)
        request = sub.request
        waited = sub.waited if sub.attempts else self._clock.seconds() - sub.arrived
        sub.reply(
            messages.ShardReply(
                request.frame,
                sub.index,
                result,
                outcome.snapshot if outcome else None,
                outcome.body if outcome else b"",
                waited,
                sub.last_target,
                sub.attempts,
            )
        )

    def _end_sub_query(self, sub: sub_query.SubQuery) -> None:
        """Mark a sub-query as done and cancel its running attempts."""
        if sub.is_done:
            return
        sub.is_done = True
        sub.is_waiting = False
        self._settle((sub.origin, sub.request.frame))
        if not sub.running:
            return
        now = self._clock.seconds()
        pool = self._pool(sub.service)
        slow_threshold = sub_query.SLOW_FACTOR * pool.service_time.value
        for running in sub.running.values():
            if running.cancel is not None:
                running.cancel()
            self.counters.cancelled += 1
            running.replica.on_ended(now, is_progress=False)
            if slow_threshold and now - running.started > slow_threshold:
                running.replica.on_attempt_abandoned(now)
        sub.running.clear()
        if pool.waiting:
            self._clock.callLater(0, self._dispatch_waiting, pool)

    def _on_deadline(self, key: tuple[str, int]) -> None:
        for sub in list(self._frames[key].sub_queries):
            if sub.is_done:
                continue
            if sub.running:
                result = verdict.may_have_run(verdict.Reason.DEADLINE, "no outcome in time")
            else:
                result = sub.failure or verdict.not_run(
                    verdict.Reason.OVERLOADED, "no replica had room in time"
                )
            self._finish(sub, result)

    def _settle(self, key: tuple[str, int]) -> None:
        """Count one sub-query of a frame as done; remove the frame after its last one."""
        frame = self._frames[key]
        frame.outstanding -= 1
        if frame.outstanding:
            return
        del self._frames[key]
        for timer in (frame.timer, frame.hedge_timer):
            if timer is not None and timer.active():
                timer.cancel()

    def _trace(self, sub: sub_query.SubQuery, event: str, detail: str) -> None:
        if self._on_trace is not None:
            self._on_trace(sub.request.query, sub.request.shards[sub.index], event, detail)
