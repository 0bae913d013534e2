"""The front: splits a caller's query into sub-queries and merges the replies into one answer."""

from __future__ import annotations

import functools
import itertools
from typing import TYPE_CHECKING

from lineworks.decisions import catalog, coverage, deadlines, selectors, snapshots, verdict
from lineworks.engine import answers, dispatcher, front_state
from lineworks.engine import query as queries

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Mapping

    from lineworks.engine import messages, ports, requests, views

OWNERSHIP_CHANGE_WINDOW = 1.0
"""Seconds after a membership change in which new owners may lack reports from their targets."""

OWNER_RETRY_DELAY = 0.05
"""Seconds between attempts to find an owner during `OWNERSHIP_CHANGE_WINDOW`."""


class Front:
    """Admits queries, plans and sends their sub-queries, and merges the replies."""

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
        """Initialise a front without queries.

        Args:
            name: Name of this instance.
            clock: Source of the time and of timers.
            rng: Random number generator.
            gatherers: Sends messages to gatherers.
            view: Configuration, owners and holdings, as seen by this instance.
            tuning: Options; the defaults when None.
            on_trace: Called with (query, shard, event, detail) at each step.
        """
        self._name = name
        self._clock = clock
        self._view = view
        self._tuning = tuning or front_state.Tuning()
        self._on_trace = on_trace
        self._query_numbers = itertools.count(1)
        self._groups: dict[str, queries.GroupState] = {}
        self._active: dict[str, queries.Query] = {}
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
            self._group_state,
            self._on_shard_reply,
            self._trace,
        )

    @property
    def is_idle(self) -> bool:
        """Whether no query is queued or running."""
        return not self._active

    @property
    def groups(self) -> Mapping[str, queries.GroupState]:
        """The state of each group by the group's name."""
        return self._groups

    def search(
        self, request: requests.SearchRequest, on_answer: Callable[[requests.Answer], None]
    ) -> Callable[[], None]:
        """Run a search.

        Args:
            request: The search.
            on_answer: Called exactly once, at the deadline at the latest, unless cancelled.

        Returns:
            A function that cancels the search, for a caller that has disconnected.
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
            only_shard=None,
            on_answer=on_answer,
        )
        return self._submit(query, answers.check_search(config, match, group))

    def run(
        self, request: requests.RunRequest, on_answer: Callable[[requests.Answer], None]
    ) -> Callable[[], None]:
        """Run a request at one service.

        Args:
            request: The request.
            on_answer: Called exactly once, at the deadline at the latest, unless cancelled.

        Returns:
            A function that cancels the request, for a caller that has disconnected. It doesn't
            cancel a request that is not repeatable and was already sent.
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
            only_shard=request.shard,
            on_answer=on_answer,
        )
        return self._submit(query, answers.check_run(config, is_known, request.service))

    def on_reply(self, instance: str, reply: messages.ShardReply) -> None:
        """Process the reply to a sub-query.

        Args:
            instance: The gatherer that sent it.
            reply: The reply.
        """
        self._dispatcher.on_reply(instance, reply)

    def on_link_lost(self, instance: str) -> None:
        """Handle the loss of the link to a gatherer.

        Args:
            instance: The gatherer.
        """
        self._dispatcher.on_link_lost(instance)

    def on_members_changed(self) -> None:
        """Record a membership change, after which owners may differ."""
        self._members_changed_at = self._clock.seconds()

    def _next_id(self) -> str:
        return f"{self._name}-{next(self._query_numbers)}"

    def _submit(self, query: queries.Query, problem: verdict.Verdict | None) -> Callable[[], None]:
        """Start, queue or refuse a query."""
        now = self._clock.seconds()
        self.counters.queries += 1
        self._active[query.id] = query
        if problem is not None:
            self._refuse(query, problem)
            return _no_op
        self._set_timer(query, query.deadline - now, self._on_deadline)
        if not self._tuning.uses_admission:
            self._start(query)
            return functools.partial(self._cancel, query)
        weight = self._view.class_weight(query.caller_class)
        admission = self._group_state(query).admission
        admitted = admission.offer(query, query.caller_class, weight, now, query.deadline)
        if admitted is None:
            self._trace(query, "", "queue", f"{admission.waiting} waiting")
        elif admitted.is_ok:
            self._start(query)
        else:
            self._refuse(query, admitted)
        return functools.partial(self._cancel, query)

    def _set_timer(
        self, query: queries.Query, delay: float, call: Callable[[queries.Query], None]
    ) -> None:
        query.timers.append(self._clock.callLater(max(0.0, delay), call, query))

    def _group_state(self, query: queries.Query) -> queries.GroupState:
        name = query.group.name
        state = self._groups.get(name)
        if state is None:
            override = self._tuning.hedge_budget
            budget = query.policy.hedge_budget if override is None else override
            state = queries.GroupState(query.policy, budget, self._refuse)
            self._groups[name] = state
        return state

    def _start(self, query: queries.Query) -> None:
        """Pin the snapshot, create the sub-queries and send them."""
        query.is_started = True
        query.started_at = self._clock.seconds()
        if not self._plan(query, excluded=None):
            return
        if query.policy.allows_partial and query.needs_snapshot:
            self._set_timer(query, query.policy.target_latency, self._on_target_latency)
        self._send(query, list(range(len(query.shards))))

    def _plan(self, query: queries.Query, excluded: catalog.Snapshot | None) -> bool:
        """Pin a snapshot and create the sub-queries; finish the query when it can't be planned."""
        layout = catalog.BASE_LAYOUT
        if query.needs_snapshot:
            pin = snapshots.pin(query.group, self._view.held_snapshots, excluded)
            if pin.snapshot is None:
                result = verdict.not_run(verdict.Reason.NO_SNAPSHOT, "no replica holds a snapshot")
                self._finish(query, result)
                return False
            query.snapshot = pin.snapshot
            layout = pin.snapshot.layout
        planned = [
            queries.Shard(service, shard)
            for service, shard in query.group.shards(layout)
            if query.only_shard in (None, shard)
        ]
        if not query.needs_snapshot and len(planned) != 1:
            detail = "name one of the service's shards"
            self._finish(query, verdict.not_run(verdict.Reason.INVALID, detail))
            return False
        query.shards = planned
        query.outstanding = len(planned)
        state = self._group_state(query)
        state.hedges.earn(state.hedge_budget * len(planned))
        state.retries.earn(state.retry_budget * len(planned))
        self.counters.sub_queries += len(planned)
        self._trace(query, "", "plan", f"{query.snapshot or 'any'}, {len(planned)} shards")
        return True

    def _send(self, query: queries.Query, positions: list[int]) -> None:
        for shard in self._dispatcher.send(query, positions):
            if query.is_finished or shard not in query.shards:
                return
            if shard.is_done or shard.pending:
                continue
            if self._may_wait_for_owner(query):
                self._trace(query, shard.shard, "wait", "for a new owner")
                self._set_timer(query, OWNER_RETRY_DELAY, functools.partial(self._resend, shard))
            else:
                self._fail_shard(
                    query, shard, answers.unreachable_verdict(self._view, query, shard)
                )

    def _may_wait_for_owner(self, query: queries.Query) -> bool:
        now = self._clock.seconds()
        is_changing = now - self._members_changed_at < OWNERSHIP_CHANGE_WINDOW
        return is_changing and now + 2 * OWNER_RETRY_DELAY < query.deadline

    def _resend(self, shard: queries.Shard, query: queries.Query) -> None:
        if query.is_finished or shard not in query.shards or shard.is_done or shard.pending:
            return
        self._send(query, [query.shards.index(shard)])

    def _on_shard_reply(
        self, query: queries.Query, shard: queries.Shard, reply: messages.ShardReply
    ) -> None:
        """Process the reply to a sub-query that is not done: complete, retry or fail it."""
        result = reply.verdict
        if result.is_ok and query.needs_snapshot and reply.snapshot != query.snapshot:
            self.counters.wrong_snapshot += 1
            result = verdict.ran(verdict.Reason.SNAPSHOT_GONE, f"replied from {reply.snapshot}")
        self._trace(query, shard.shard, "reply", f"{result.certainty.value} {result.reason.value}")
        shard.waited = reply.waited
        if result.is_ok:
            shard.body = reply.body
            self._complete_shard(query, shard, result)
            return
        shard.verdict = answers.combine_failures(shard.verdict, result)
        if shard.pending:
            return
        if self._may_retry(query, result):
            self.counters.retries += 1
            self._send(query, [query.shards.index(shard)])
        else:
            self._fail_shard(query, shard, result)

    def _may_retry(self, query: queries.Query, result: verdict.Verdict) -> bool:
        if not result.is_not_run and not query.is_repeatable:
            return False
        if self._clock.seconds() + deadlines.HOP_MARGIN >= query.deadline:
            return False
        return self._group_state(query).retries.spend()

    def _fail_shard(
        self, query: queries.Query, shard: queries.Shard, result: verdict.Verdict
    ) -> None:
        """Restart the query on another snapshot, or complete the sub-query as failed."""
        is_snapshot_gone = result.reason is verdict.Reason.SNAPSHOT_GONE
        if is_snapshot_gone and query.is_repeatable and self._has_other_snapshot(query):
            self._restart(query)
        else:
            self._complete_shard(query, shard, answers.combine_failures(shard.verdict, result))

    def _has_other_snapshot(self, query: queries.Query) -> bool:
        """Return whether the query may restart, once, on a snapshot that covers every shard."""
        if query.has_restarted:
            return False
        return snapshots.pin(query.group, self._view.held_snapshots, query.snapshot).is_whole

    def _restart(self, query: queries.Query) -> None:
        """Restart the whole query on another snapshot."""
        old_snapshot = query.snapshot
        self._dispatcher.cancel_query(query)
        query.has_restarted = True
        self.counters.restarts += 1
        self._trace(query, "", "restart", f"{old_snapshot} is gone")
        if self._plan(query, excluded=old_snapshot):
            self._send(query, list(range(len(query.shards))))

    def _complete_shard(
        self, query: queries.Query, shard: queries.Shard, result: verdict.Verdict
    ) -> None:
        """Complete a sub-query, cancel its other copies, and finish the query if it is decided."""
        if query.is_finished or shard.is_done:
            return
        shard.is_done = True
        shard.verdict = result
        query.outstanding -= 1
        self._dispatcher.cancel_shard(shard)
        cannot_succeed = not result.is_ok and not query.policy.allows_partial
        if not query.outstanding or cannot_succeed:
            self._finish(query, None)

    def _on_target_latency(self, query: queries.Query) -> None:
        """Send a partial answer at the target latency if enough shards have replied."""
        if query.is_finished:
            return
        completed = sum(1 for shard in query.shards if shard.is_done)
        required = max(query.policy.min_coverage, query.min_coverage or 0.0)
        if completed and completed >= required * len(query.shards):
            self._mark_timed_out(query, "no reply within the wanted latency")
            self._finish(query, None)

    def _on_deadline(self, query: queries.Query) -> None:
        if query.is_finished:
            return
        if not query.is_started:
            self._group_state(query).admission.remove(query)
            self._refuse(query, verdict.not_run(verdict.Reason.OVERLOADED, "waited too long"))
            return
        self._mark_timed_out(query, "no reply in time")
        self._finish(query, None)

    def _mark_timed_out(self, query: queries.Query, detail: str) -> None:
        timed_out = verdict.may_have_run(verdict.Reason.DEADLINE, detail)
        for shard in query.shards:
            if not shard.is_done:
                shard.verdict = answers.combine_failures(shard.verdict, timed_out)

    def _finish(self, query: queries.Query, problem: verdict.Verdict | None) -> None:
        """Release the resources of a query and send its answer."""
        query.is_finished = True
        shard_coverage = answers.compute_coverage(query)
        result = problem or coverage.evaluate(shard_coverage, query.policy, query.min_coverage)
        bodies = {
            shard.shard: shard.body
            for shard in query.shards
            if shard.verdict is not None and shard.verdict.is_ok
        }
        self._release(query)
        self._answer(query, result, shard_coverage, bodies if result.is_ok else {})

    def _release(self, query: queries.Query) -> None:
        self._dispatcher.cancel_query(query)
        self._deregister(query)
        if query.is_started and self._tuning.uses_admission:
            state = self._group_state(query)
            now = self._clock.seconds()
            latency = now - query.started_at
            state.admission.finish(now, latency, queries.wait_signal(query))
            while (next_query := state.admission.take(now)) is not None:
                self._start(next_query)

    def _deregister(self, query: queries.Query) -> None:
        for timer in query.timers:
            if timer.active():
                timer.cancel()
        self._active.pop(query.id, None)

    def _refuse(self, query: queries.Query, result: verdict.Verdict) -> None:
        query.is_finished = True
        self.counters.refused += 1
        self._deregister(query)
        self._answer(query, result, coverage.Coverage((), {}), {})

    def _answer(
        self,
        query: queries.Query,
        result: verdict.Verdict,
        shard_coverage: coverage.Coverage,
        bodies: Mapping[str, bytes],
    ) -> None:
        self._trace(query, "", "answer", f"{result.certainty.value} {result.reason.value}")
        query.on_answer(answers.build_answer(query, result, shard_coverage, bodies))

    def _cancel(self, query: queries.Query) -> None:
        """Cancel a query because its caller has disconnected."""
        if query.is_finished or (query.is_started and not query.is_repeatable):
            return
        query.is_finished = True
        query.on_answer = _discard_answer
        if query.is_started:
            self._trace(query, "", "cancel", "the caller has gone")
            self._release(query)
            return
        self._group_state(query).admission.remove(query)
        self._refuse(query, verdict.not_run(verdict.Reason.CANCELLED))

    def _trace(self, query: queries.Query, shard: str, event: str, detail: str) -> None:
        if self._on_trace is not None:
            self._on_trace(query.id, shard, event, detail)


def _no_op() -> None:
    """Do nothing; returned as the cancel function of a query that was refused."""


def _discard_answer(answer: requests.Answer) -> None:
    """Discard an answer because its caller has disconnected."""
    del answer
