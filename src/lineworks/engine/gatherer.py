"""The gatherer: turns sub-queries into attempts at the targets that this instance owns.

A sub-query that finds no replica with room waits in its service's queue and is bound to a
replica only when one has room, so a slow replica holds up only what it is already working on.
"""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from lineworks.decisions import deadlines, hedging, replicas, verdict
from lineworks.engine import messages, ports
from lineworks.engine import sub_query as state

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
        tuning: state.Tuning | None = None,
        on_trace: Callable[[str, str, str, str], None] | None = None,
    ) -> None:
        """Start without targets.

        Args:
            clock: Time and timers.
            rng: Random source.
            targets: Sends attempts.
            tuning: Choices that differ from the usual ones.
            on_trace: Called with (query, shard, event, detail) at each step.
        """
        self._clock = clock
        self._rng = rng
        self._targets = targets
        self._tuning = tuning or state.Tuning()
        self._on_trace = on_trace
        self._pools: dict[str, state.Pool] = {}
        self._by_target: dict[str, replicas.Replica] = {}
        self._groups: dict[str, state.Group] = {}
        self._frames: dict[tuple[str, int], state.Frame] = {}
        self.counters = state.Counters()
        self.on_holdings: Callable[[], None] = lambda: None

    @property
    def is_idle(self) -> bool:
        """Whether no sub-query is under way."""
        return not self._frames

    @property
    def owned(self) -> Iterable[replicas.Replica]:
        """The views of all targets that this instance owns."""
        return self._by_target.values()

    def set_targets(self, owned: Iterable[catalog.Target]) -> None:
        """Replace the set of owned targets; work under way goes on.

        Args:
            owned: The targets that this instance owns now.
        """
        now_owned = {target.name: target for target in owned}
        for name in list(self._by_target):
            if name not in now_owned:
                replica = self._by_target.pop(name)
                self._pools[replica.target.service].replicas.remove(replica)
        for name, target in now_owned.items():
            if name not in self._by_target:
                self._by_target[name] = replicas.make_replica(target)
                self._pool(target.service).replicas.append(self._by_target[name])
            replica = self._by_target[name]
            replica.target = target
            replica.is_leaving = replica.is_leaving or target.is_leaving
        self.on_holdings()

    def holdings(self) -> dict[str, frozenset[catalog.Snapshot]]:
        """Tell what can be served from the owned targets.

        Returns:
            For each service, the snapshots that at least one replica which is not leaving holds.
        """
        held: dict[str, frozenset[catalog.Snapshot]] = {}
        for service, pool in self._pools.items():
            able = [replica.holds for replica in pool.replicas if not replica.is_leaving]
            held[service] = frozenset().union(*able)
        return held

    def on_report(self, target: str, report: replicas.StatusReport) -> None:
        """Take in what a target said of itself.

        Args:
            target: Name of the target.
            report: The report.
        """
        replica = self._by_target.get(target)
        if replica is None:
            return
        before = (replica.holds, replica.is_leaving)
        replica.on_report(self._clock.seconds(), report)
        if before != (replica.holds, replica.is_leaving):
            self.on_holdings()

    def on_leaving(self, target: str) -> None:
        """Note that a target is leaving; this holds for its whole incarnation.

        Args:
            target: Name of the target.
        """
        replica = self._by_target.get(target)
        if replica is not None and not replica.is_leaving:
            replica.is_leaving = True
            self.on_holdings()

    def on_sub_queries(
        self,
        origin: str,
        request: messages.SubQueries,
        reply: Callable[[messages.ShardReply], None],
    ) -> None:
        """Start the sub-queries of a frame.

        Args:
            origin: Incarnation of the front that asks.
            request: The frame.
            reply: Called once for each sub-query that is not cancelled.
        """
        now = self._clock.seconds()
        key = (origin, request.frame)
        subs = [
            state.SubQuery(origin, request, index, reply, now)
            for index in range(len(request.services))
        ]
        delay = max(0.0, request.deadline - now)
        timer = self._clock.callLater(delay, self._on_deadline, key)
        self._frames[key] = state.Frame(subs, len(subs), timer)
        for sub in subs:
            self._pool(sub.service).retries.earn(state.RETRY_SHARE)
            self._place(sub)
        if request.is_repeatable:
            group = self._group(request.group)
            group.hedge_budget = request.hedge_budget
            group.hedges.earn(request.hedge_budget * len(subs))
            self._check_hedges(key)

    def on_cancel(self, origin: str, cancel: messages.Cancel) -> None:
        """Give up sub-queries and the attempts at them.

        Args:
            origin: Incarnation of the front that asked for them.
            cancel: Which ones.
        """
        frame = self._frames.get((origin, cancel.frame))
        if frame is None:
            return
        wanted = cancel.indices or range(len(frame.subs))
        for index in wanted:
            if 0 <= index < len(frame.subs):
                self._abandon(frame.subs[index])

    def on_origin_lost(self, origin: str) -> None:
        """Give up everything repeatable that a front asked for, because its link is gone.

        Args:
            origin: Incarnation of the front.
        """
        for key in [key for key in self._frames if key[0] == origin]:
            if self._frames[key].subs[0].request.is_repeatable:
                self.on_cancel(origin, messages.Cancel(key[1]))

    def _check_hedges(self, key: tuple[str, int]) -> None:
        """Ask the hedge rule about each running sub-query of a frame, and set the next check."""
        frame = self._frames.get(key)
        if frame is None:
            return
        next_check: float | None = None
        for sub in frame.subs:
            if sub.is_done or sub.is_hedged:
                continue
            check_in = self._check_hedge(sub, frame)
            if check_in is not None and (next_check is None or check_in < next_check):
                next_check = check_in
        if next_check is not None:
            delay = max(next_check, hedging.MIN_CHECK_SECONDS)
            frame.hedge_timer = self._clock.callLater(delay, self._check_hedges, key)

    def _check_hedge(self, sub: state.SubQuery, frame: state.Frame) -> float | None:
        """Hedge a sub-query if it is time, and say in how many seconds to look again."""
        group = self._group(sub.request.group)
        elapsed = self._elapsed(sub)
        fill = group.hedges.tokens / state.HEDGE_BURST
        progress = hedging.QueryProgress(elapsed, frame.open, len(frame.subs), fill)
        advice = self._tuning.hedge(progress, group.latencies, group.hedge_budget)
        if advice.should_hedge and sub.running:
            self._hedge(sub, group)
        return None if sub.is_hedged else advice.check_in

    def _elapsed(self, sub: state.SubQuery) -> float:
        """Tell how long a sub-query holds up its query, network both ways included."""
        return self._clock.seconds() - sub.arrived + sub.request.network_delay

    def _hedge(self, sub: state.SubQuery, group: state.Group) -> None:
        able = self._able(sub)
        if not able:
            sub.is_hedged = True
            return
        replica = self._pick(able)
        if replica is None or not group.hedges.spend():
            return
        sub.is_hedged = True
        self.counters.hedges += 1
        self._start(sub, replica, "hedge")

    def _group(self, name: str) -> state.Group:
        group = self._groups.get(name)
        if group is None:
            group = self._groups[name] = state.Group()
        return group

    def _pool(self, service: str) -> state.Pool:
        pool = self._pools.get(service)
        if pool is None:
            pool = self._pools[service] = state.Pool()
        return pool

    def _able(self, sub: state.SubQuery) -> list[replicas.Replica]:
        """List the replicas that may still serve a sub-query, with or without room."""
        pool = self._pool(sub.service)
        request = sub.request
        snapshot = request.snapshot if request.needs_snapshot else None
        patience = pool.patience if self._tuning.ejects_stalled else None
        able = replicas.usable(pool.replicas, snapshot, self._clock.seconds(), patience)
        return [replica for replica in able if replica.target.name not in sub.tried]

    def _pick(self, able: list[replicas.Replica]) -> replicas.Replica | None:
        """Choose among able replicas the one to start at, or None when none has room."""
        if self._tuning.is_bounded:
            able = [replica for replica in able if replica.in_flight < replica.limit.value]
        if not able:
            return None
        return self._tuning.choose(able, self._clock.seconds(), self._rng)

    def _place(self, sub: state.SubQuery) -> None:
        """Start a sub-query's next attempt, or let it wait, or give it up."""
        able = self._able(sub)
        replica = self._pick(able)
        if replica is not None:
            self._start(sub, replica, "retry" if sub.attempts else "attempt")
            return
        if able:
            sub.is_waiting = True
            self._pool(sub.service).waiting.append(sub)
            self._trace(sub, "wait", "no replica has room")
            return
        self._finish(sub, sub.last or state.why_none(sub, self._pool(sub.service)))

    def _start(self, sub: state.SubQuery, replica: replicas.Replica, event: str) -> None:
        now = self._clock.seconds()
        request = sub.request
        if sub.attempts == 0:
            sub.waited = now - sub.arrived
        attempt_id = f"{request.query}.{request.frame}.{sub.index}.{sub.attempts}"
        sub.attempts += 1
        sub.last_target = replica.target.name
        sub.tried.add(replica.target.name)
        running = state.Running(replica, now)
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

    def _on_outcome(self, sub: state.SubQuery, attempt_id: str, outcome: ports.Outcome) -> None:
        running = sub.running.pop(attempt_id)
        replica = running.replica
        self._learn(sub, running, outcome)
        if not sub.is_done:
            self._judge(sub, outcome)
        self._drain(self._pool(replica.target.service))

    def _learn(self, sub: state.SubQuery, running: state.Running, outcome: ports.Outcome) -> None:
        """Update the view of the target from how an attempt at it ended."""
        now = self._clock.seconds()
        replica = running.replica
        reason = outcome.verdict.reason
        is_silent = reason in (verdict.Reason.UNREACHABLE, verdict.Reason.LINK_LOST)
        replica.on_ended(now, is_progress=not is_silent)
        if outcome.report is not None:
            self.on_report(replica.target.name, outcome.report)
        if outcome.verdict.is_ok:
            replica.limit.on_success()
            self._pool(sub.service).service_time.record(now - running.started)
        elif is_silent or reason is verdict.Reason.CAPPED:
            replica.on_unreachable(now, self._rng)
            replica.limit.on_refused()
        elif reason is verdict.Reason.OVERLOADED:
            replica.limit.on_refused()
            replica.backoff_until = now + state.SHED_REST
        elif reason is verdict.Reason.LEAVING:
            self.on_leaving(replica.target.name)
        if state.is_wrong_snapshot(sub, outcome):
            replica.on_snapshot_refused(now, sub.request.snapshot)
            self.on_holdings()
        if outcome.verdict.is_not_run:
            self.counters.refused += 1

    def _judge(self, sub: state.SubQuery, outcome: ports.Outcome) -> None:
        """Answer, retry or wait for another attempt, by how this one ended."""
        found = outcome.verdict
        if found.is_ok and state.is_wrong_snapshot(sub, outcome):
            self.counters.wrong_snapshot += 1
            detail = f"the target answered from {outcome.snapshot}"
            found = verdict.ran(verdict.Reason.SNAPSHOT_GONE, detail)
        self._trace(sub, "outcome", f"{found.certainty.value} {found.reason.value}")
        if found.is_ok:
            # From the arrival, so that a hedged sub-query counts as slow though its hedge was fast.
            self._group(sub.request.group).latencies.record(self._elapsed(sub))
            self._finish(sub, found, outcome)
            return
        sub.last = found if sub.last is None or not found.is_not_run else sub.last
        if sub.running:
            return
        if self._may_retry(sub, found):
            self.counters.retries += 1
            self._place(sub)
            return
        self._finish(sub, sub.last)

    def _may_retry(self, sub: state.SubQuery, found: verdict.Verdict) -> bool:
        if not found.is_not_run and not sub.request.is_repeatable:
            return False
        if self._clock.seconds() + deadlines.HOP_MARGIN >= sub.request.deadline:
            return False
        return self._pool(sub.service).retries.spend()

    def _drain(self, pool: state.Pool) -> None:
        """Bind waiting sub-queries to replicas that have room now."""
        waiting = pool.waiting
        now = self._clock.seconds()
        while waiting:
            sub = waiting[0]
            if sub.is_done or now >= sub.request.deadline:
                waiting.popleft()
                continue
            able = self._able(sub)
            replica = self._pick(able)
            if able and replica is None:
                return
            waiting.popleft()
            sub.is_waiting = False
            if replica is None:
                self._finish(sub, sub.last or state.why_none(sub, self._pool(sub.service)))
            else:
                self._start(sub, replica, "retry" if sub.attempts else "attempt")

    def _finish(
        self, sub: state.SubQuery, found: verdict.Verdict, outcome: ports.Outcome | None = None
    ) -> None:
        self._abandon(sub)
        request = sub.request
        waited = sub.waited if sub.attempts else self._clock.seconds() - sub.arrived
        sub.reply(
            messages.ShardReply(
                request.frame,
                sub.index,
                found,
                outcome.snapshot if outcome else None,
                outcome.body if outcome else b"",
                waited,
                sub.last_target,
                sub.attempts,
            )
        )

    def _abandon(self, sub: state.SubQuery) -> None:
        """End a sub-query and cancel the attempts at it that still run."""
        if sub.is_done:
            return
        sub.is_done = True
        sub.is_waiting = False
        self._close((sub.origin, sub.request.frame))
        if not sub.running:
            return
        now = self._clock.seconds()
        pool = self._pool(sub.service)
        slow = state.SLOW_FACTOR * pool.service_time.value
        for running in sub.running.values():
            if running.cancel is not None:
                running.cancel()
            self.counters.cancelled += 1
            running.replica.on_ended(now, is_progress=False)
            if slow and now - running.started > slow:
                running.replica.on_attempt_abandoned(now)
        sub.running.clear()
        if pool.waiting:
            self._clock.callLater(0, self._drain, pool)

    def _on_deadline(self, key: tuple[str, int]) -> None:
        for sub in list(self._frames[key].subs):
            if sub.is_done:
                continue
            if sub.running:
                found = verdict.may_have_run(verdict.Reason.DEADLINE, "no outcome in time")
            else:
                found = sub.last or verdict.not_run(
                    verdict.Reason.OVERLOADED, "no replica had room in time"
                )
            self._finish(sub, found)

    def _close(self, key: tuple[str, int]) -> None:
        """Count one sub-query of a frame as done, and forget the frame after its last."""
        frame = self._frames[key]
        frame.open -= 1
        if frame.open:
            return
        del self._frames[key]
        for timer in (frame.timer, frame.hedge_timer):
            if timer is not None and timer.active():
                timer.cancel()

    def _trace(self, sub: state.SubQuery, event: str, detail: str) -> None:
        if self._on_trace is not None:
            self._on_trace(sub.request.query, sub.request.shards[sub.index], event, detail)
