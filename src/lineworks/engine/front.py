"""The front: turns a caller's query into sub-queries and their replies into one answer."""

from __future__ import annotations

import functools
import itertools
from typing import TYPE_CHECKING

from lineworks.decisions import catalog, coverage, deadlines, selectors, snapshots, verdict
from lineworks.engine import dispatcher, front_state, judgements
from lineworks.engine import query as queries

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Mapping

    from lineworks.engine import messages, ports, requests, views

TAKE_OVER = 1.0
"""Seconds after a change of members in which new owners may not have heard from targets yet."""

TAKE_OVER_PAUSE = 0.05
"""Seconds after which a sub-query that no owner can take is tried again in that time."""


class Front:
    """Admits queries, plans them, and merges the replies."""

    def __init__(
        self,
        name: str,
        clock: ports.Clock,
        rng: random.Random,
        gatherers: ports.GathererPort,
        view: views.ClusterView,
        tuning: front_state.Tuning | None = None,
        on_trace: Callable[[str, str, str, str], None] | None = None,
    ) -> None:
        """Start without queries.

        Args:
            name: Name of this instance.
            clock: Time and timers.
            rng: Random source.
            gatherers: Carries messages to gatherers.
            view: Configuration, owners and holdings as this instance knows them.
            tuning: Choices that differ from the usual ones.
            on_trace: Called with (query, shard, event, detail) at each step.
        """
        self._name = name
        self._clock = clock
        self._view = view
        self._tuning = tuning or front_state.Tuning()
        self._on_trace = on_trace
        self._numbers = itertools.count(1)
        self._groups: dict[str, queries.GroupState] = {}
        self._open: dict[str, queries.Query] = {}
        self._members_changed_at = float("-inf")
        self.counters = front_state.Counters()
        self._dispatcher = dispatcher.Dispatcher(
            name,
            clock,
            rng,
            gatherers,
            view,
            self._tuning,
            self.counters,
            self._state,
            self._take,
            self._trace,
        )

    @property
    def is_idle(self) -> bool:
        """Whether no query is waiting or under way."""
        return not self._open

    @property
    def groups(self) -> Mapping[str, queries.GroupState]:
        """What was learned about each group, by the group's name."""
        return self._groups

    def search(
        self, request: requests.SearchRequest, on_answer: Callable[[requests.Answer], None]
    ) -> Callable[[], None]:
        """Run a search.

        Args:
            request: The search.
            on_answer: Called exactly once, at the deadline at the latest, unless cancelled.

        Returns:
            A function that cancels the search when its caller has gone.
        """
        config = self._view.config
        match = selectors.choose(config.selectors, request.fields)
        group = config.group(match.selector.group) if match.selector else catalog.Group("", ())
        policy = match.selector.policy if match.selector else catalog.Policy()
        query = queries.Query(
            id=self._next_id(),
            group=group,
            policy=policy,
            config=config,
            body=request.body,
            caller_class=request.caller_class,
            deadline=request.deadline,
            min_coverage=request.min_coverage,
            is_repeatable=True,
            needs_snapshot=True,
            wanted_shard=None,
            on_answer=on_answer,
        )
        return self._submit(query, judgements.search_problem(config, match, group))

    def run(
        self, request: requests.RunRequest, on_answer: Callable[[requests.Answer], None]
    ) -> Callable[[], None]:
        """Run one request at one service.

        Args:
            request: The request.
            on_answer: Called exactly once, at the deadline at the latest, unless cancelled.

        Returns:
            A function that cancels it when its caller has gone; a request that is not repeatable
            and was already sent goes on.
        """
        config = self._view.config
        is_known = request.service in config.services
        name = f"service={request.service}"
        query = queries.Query(
            id=self._next_id(),
            group=config.service_group(request.service) if is_known else catalog.Group(name, ()),
            policy=catalog.Policy(),
            config=config,
            body=request.body,
            caller_class=request.caller_class,
            deadline=request.deadline,
            min_coverage=None,
            is_repeatable=request.is_repeatable,
            needs_snapshot=False,
            wanted_shard=request.shard,
            on_answer=on_answer,
        )
        return self._submit(query, judgements.run_problem(config, is_known, request.service))

    def on_reply(self, instance: str, reply: messages.ShardReply) -> None:
        """Take in the outcome of a sub-query.

        Args:
            instance: The gatherer that sent it.
            reply: The outcome.
        """
        self._dispatcher.on_reply(instance, reply)

    def on_link_lost(self, instance: str) -> None:
        """Handle the loss of the link to a gatherer.

        Args:
            instance: The gatherer.
        """
        self._dispatcher.on_link_lost(instance)

    def on_members_changed(self) -> None:
        """Note that owners may have changed."""
        self._members_changed_at = self._clock.seconds()

    def _next_id(self) -> str:
        return f"{self._name}-{next(self._numbers)}"

    def _submit(self, query: queries.Query, problem: verdict.Verdict | None) -> Callable[[], None]:
        """Start a query, let it wait, or refuse it."""
        now = self._clock.seconds()
        self.counters.queries += 1
        self._open[query.id] = query
        if problem is not None:
            self._refuse(query, problem)
            return _nothing
        self._set_timer(query, query.deadline - now, self._on_deadline)
        if not self._tuning.is_admitting:
            self._start(query)
            return functools.partial(self._cancel, query)
        weight = self._view.class_weight(query.caller_class)
        waiting = self._state(query).admission
        admitted = waiting.offer(query, query.caller_class, weight, now, query.deadline)
        if admitted is None:
            self._trace(query, "", "queue", f"{waiting.waiting} waiting")
        elif admitted.is_ok:
            self._start(query)
        else:
            self._refuse(query, admitted)
        return functools.partial(self._cancel, query)

    def _set_timer(
        self, query: queries.Query, delay: float, call: Callable[[queries.Query], None]
    ) -> None:
        query.timers.append(self._clock.callLater(max(0.0, delay), call, query))

    def _state(self, query: queries.Query) -> queries.GroupState:
        name = query.group.name
        state = self._groups.get(name)
        if state is None:
            override = self._tuning.hedge_budget
            budget = query.policy.hedge_budget if override is None else override
            state = queries.GroupState(query.policy, budget, self._refuse)
            self._groups[name] = state
        return state

    def _start(self, query: queries.Query) -> None:
        """Pin the snapshot, plan the shards and send them."""
        query.is_started = True
        query.started_at = self._clock.seconds()
        if not self._plan(query, excluded=None):
            return
        if query.policy.allows_partial and query.needs_snapshot:
            self._set_timer(query, query.policy.target_latency, self._on_target_latency)
        self._send(query, list(range(len(query.shards))))

    def _plan(self, query: queries.Query, excluded: catalog.Snapshot | None) -> bool:
        layout = catalog.BASE_LAYOUT
        if query.needs_snapshot:
            pin = snapshots.pin(query.group, self._view.held, excluded)
            if pin.snapshot is None:
                found = verdict.not_run(verdict.Reason.NO_SNAPSHOT, "no replica holds a snapshot")
                self._finish(query, found)
                return False
            query.snapshot = pin.snapshot
            layout = pin.snapshot.layout
        planned = [
            queries.Shard(service, shard)
            for service, shard in query.group.shards(layout)
            if query.wanted_shard in (None, shard)
        ]
        if not query.needs_snapshot and len(planned) != 1:
            detail = "name one of the service's shards"
            self._finish(query, verdict.not_run(verdict.Reason.INVALID, detail))
            return False
        query.shards = planned
        query.outstanding = len(planned)
        state = self._state(query)
        state.hedges.earn(state.hedge_budget * len(planned))
        state.retries.earn(state.retry_budget * len(planned))
        self.counters.sub_queries += len(planned)
        self._trace(query, "", "plan", f"{query.snapshot or 'any'}, {len(planned)} shards")
        return True

    def _send(self, query: queries.Query, positions: list[int]) -> None:
        for shard in self._dispatcher.send(query, positions):
            if query.is_over or shard not in query.shards:
                return
            if shard.is_done or shard.pending:
                continue
            if self._may_wait_for_owner(query):
                self._trace(query, shard.shard, "wait", "for a new owner")
                self._set_timer(query, TAKE_OVER_PAUSE, functools.partial(self._resend, shard))
            else:
                self._fail(query, shard, judgements.why_unreachable(self._view, query, shard))

    def _may_wait_for_owner(self, query: queries.Query) -> bool:
        now = self._clock.seconds()
        is_changing = now - self._members_changed_at < TAKE_OVER
        return is_changing and now + 2 * TAKE_OVER_PAUSE < query.deadline

    def _resend(self, shard: queries.Shard, query: queries.Query) -> None:
        if query.is_over or shard not in query.shards or shard.is_done or shard.pending:
            return
        self._send(query, [query.shards.index(shard)])

    def _take(self, query: queries.Query, shard: queries.Shard, reply: messages.ShardReply) -> None:
        """Use a reply that is still wanted: merge it, or send the sub-query elsewhere."""
        found = reply.verdict
        if found.is_ok and query.needs_snapshot and reply.snapshot != query.snapshot:
            self.counters.wrong_snapshot += 1
            found = verdict.ran(verdict.Reason.SNAPSHOT_GONE, f"replied from {reply.snapshot}")
        self._trace(query, shard.shard, "reply", f"{found.certainty.value} {found.reason.value}")
        shard.waited = reply.waited
        if found.is_ok:
            shard.body = reply.body
            self._conclude(query, shard, found)
            return
        shard.verdict = judgements.worse(shard.verdict, found)
        if shard.pending:
            return
        if self._may_retry(query, found):
            self.counters.retries += 1
            self._send(query, [query.shards.index(shard)])
        else:
            self._fail(query, shard, found)

    def _may_retry(self, query: queries.Query, found: verdict.Verdict) -> bool:
        if not found.is_not_run and not query.is_repeatable:
            return False
        if self._clock.seconds() + deadlines.HOP_MARGIN >= query.deadline:
            return False
        return self._state(query).retries.spend()

    def _fail(self, query: queries.Query, shard: queries.Shard, found: verdict.Verdict) -> None:
        """Deal with a sub-query that nothing is left to try for."""
        is_gone = found.reason is verdict.Reason.SNAPSHOT_GONE
        if is_gone and query.is_repeatable and self._has_other_snapshot(query):
            self._restart(query)
        else:
            self._conclude(query, shard, judgements.worse(shard.verdict, found))

    def _has_other_snapshot(self, query: queries.Query) -> bool:
        """Say whether a restart would find a whole snapshot; it may happen once."""
        if query.has_restarted:
            return False
        return snapshots.pin(query.group, self._view.held, query.snapshot).is_whole

    def _restart(self, query: queries.Query) -> None:
        """Start the whole query again on another snapshot, once."""
        gone = query.snapshot
        self._dispatcher.cancel_query(query)
        query.has_restarted = True
        self.counters.restarts += 1
        self._trace(query, "", "restart", f"{gone} is gone")
        if self._plan(query, excluded=gone):
            self._send(query, list(range(len(query.shards))))

    def _conclude(self, query: queries.Query, shard: queries.Shard, found: verdict.Verdict) -> None:
        """Settle a sub-query, cancel what else is under way for it, and perhaps answer."""
        if query.is_over or shard.is_done:
            return
        shard.is_done = True
        shard.verdict = found
        query.outstanding -= 1
        self._dispatcher.cancel_shard(shard)
        is_hopeless = not found.is_ok and not query.policy.allows_partial
        if not query.outstanding or is_hopeless:
            self._finish(query, None)

    def _on_target_latency(self, query: queries.Query) -> None:
        """Answer in part when the wanted latency has passed and enough shards replied."""
        if query.is_over:
            return
        done = sum(1 for shard in query.shards if shard.is_done)
        wanted = max(query.policy.min_coverage, query.min_coverage or 0.0)
        if done and done >= wanted * len(query.shards):
            self._mark_late(query, "no reply within the wanted latency")
            self._finish(query, None)

    def _on_deadline(self, query: queries.Query) -> None:
        if query.is_over:
            return
        if not query.is_started:
            self._state(query).admission.remove(query)
            self._refuse(query, verdict.not_run(verdict.Reason.OVERLOADED, "waited too long"))
            return
        self._mark_late(query, "no reply in time")
        self._finish(query, None)

    def _mark_late(self, query: queries.Query, detail: str) -> None:
        late = verdict.may_have_run(verdict.Reason.DEADLINE, detail)
        for shard in query.shards:
            if not shard.is_done:
                shard.verdict = judgements.worse(shard.verdict, late)

    def _finish(self, query: queries.Query, problem: verdict.Verdict | None) -> None:
        """Answer the caller and release everything that the query holds."""
        query.is_over = True
        reached = judgements.reached(query)
        found = problem or coverage.evaluate(reached, query.policy, query.min_coverage)
        bodies = {
            shard.shard: shard.body
            for shard in query.shards
            if shard.verdict is not None and shard.verdict.is_ok
        }
        self._release(query)
        self._answer(query, found, reached, bodies if found.is_ok else {})

    def _release(self, query: queries.Query) -> None:
        self._dispatcher.cancel_query(query)
        self._forget(query)
        if query.is_started and self._tuning.is_admitting:
            state = self._state(query)
            now = self._clock.seconds()
            latency = now - query.started_at
            state.admission.finish(now, latency, queries.wait_signal(query))
            while (following := state.admission.take(now)) is not None:
                self._start(following)

    def _forget(self, query: queries.Query) -> None:
        for timer in query.timers:
            if timer.active():
                timer.cancel()
        self._open.pop(query.id, None)

    def _refuse(self, query: queries.Query, found: verdict.Verdict) -> None:
        query.is_over = True
        self.counters.refused += 1
        self._forget(query)
        self._answer(query, found, coverage.Coverage((), {}), {})

    def _answer(
        self,
        query: queries.Query,
        found: verdict.Verdict,
        reached: coverage.Coverage,
        bodies: Mapping[str, bytes],
    ) -> None:
        self._trace(query, "", "answer", f"{found.certainty.value} {found.reason.value}")
        query.on_answer(judgements.answer(query, found, reached, bodies))

    def _cancel(self, query: queries.Query) -> None:
        """Give a query up because its caller has gone."""
        if query.is_over or (query.is_started and not query.is_repeatable):
            return
        query.is_over = True
        query.on_answer = _drop
        if query.is_started:
            self._trace(query, "", "cancel", "the caller has gone")
            self._release(query)
            return
        self._state(query).admission.remove(query)
        self._refuse(query, verdict.not_run(verdict.Reason.CANCELLED))

    def _trace(self, query: queries.Query, shard: str, event: str, detail: str) -> None:
        if self._on_trace is not None:
            self._on_trace(query.id, shard, event, detail)


def _nothing() -> None:
    """Cancel nothing, because the query is over."""


def _drop(answer: requests.Answer) -> None:
    """Drop an answer that nobody waits for."""
    del answer
