"""The front: turns a caller's query into sub-queries and their replies into one answer."""

from __future__ import annotations

import dataclasses
import functools
import itertools
from typing import TYPE_CHECKING

from lineworks.decisions import (
    admission,
    catalog,
    coverage,
    deadlines,
    estimators,
    hedging,
    limits,
    routing,
    selectors,
    snapshots,
    verdict,
)
from lineworks.engine import messages

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Mapping, Sequence

    from lineworks.engine import ports, views

RETRY_BURST = 20.0
"""Retries that a group's budget holds at most."""

HEDGE_BURST = 20.0
"""Hedges that a group's budget holds at most."""

HEDGE_START = 4.0
"""Hedges that a group's budget holds at first, so that many restarts add little load."""

WAIT_SHARE = 0.25
"""Share of a policy's target latency that waiting for a slot may take."""

DEFAULT_WEIGHT = 1.0
"""Admission weight of a class that no selector gives one."""


@dataclasses.dataclass(frozen=True, slots=True)
class Tuning:
    """Choices of a front that the bench varies."""

    hedge: hedging.Rule = dataclasses.field(default_factory=hedging.make_progress_rule)
    """When sub-queries are hedged."""

    is_admitting: bool = True
    """Whether queries are limited and queued; otherwise all start at once."""

    is_routing_by_load: bool = True
    """Whether halls are chosen by expected time; otherwise by chance."""

    hedge_budget: float | None = None
    """Overrides the policies' hedge budgets."""


@dataclasses.dataclass(frozen=True, slots=True)
class SearchRequest:
    """A caller's search, checked."""

    fields: Mapping[str, str]
    """Query fields, caller class and tenant among them."""

    body: bytes
    """The body that every shard gets."""

    caller_class: str
    """Class whose weight applies at admission."""

    deadline: float
    """When the caller stops waiting, in seconds on this process's clock."""

    min_coverage: float | None = None
    """Share of shards (0 to 1) below which the caller wants a refusal."""


@dataclasses.dataclass(frozen=True, slots=True)
class RunRequest:
    """A caller's request to one service, checked."""

    service: str
    """Name of the service."""

    shard: str | None
    """The shard, or None where the service has only one."""

    body: bytes
    """The request's body."""

    caller_class: str
    """Class whose weight applies at admission."""

    deadline: float
    """When the caller stops waiting, in seconds on this process's clock."""

    is_repeatable: bool = False
    """Whether it may run more than once."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What a caller gets."""

    query: str
    """Identity of the query."""

    verdict: verdict.Verdict
    """What is known of the query."""

    snapshot: catalog.Snapshot | None
    """The snapshot that every reply came from."""

    config_version: int
    """Version of the configuration that the query ran under."""

    coverage: coverage.Coverage
    """Shards covered and lacking."""

    bodies: Mapping[str, bytes]
    """For each covered shard, the reply."""

    retry_after: float | None = None
    """Seconds after which a refused caller may ask again."""


@dataclasses.dataclass(slots=True)
class Counters:
    """Counts of what a front did, for metrics."""

    queries: int = 0
    """Queries received."""

    refused: int = 0
    """Queries refused as not run."""

    sub_queries: int = 0
    """Sub-queries planned."""

    hedges: int = 0
    """Hedges asked for."""

    retries: int = 0
    """Sub-queries sent again to another owner."""

    restarts: int = 0
    """Queries started again on another snapshot."""

    late_replies: int = 0
    """Replies dropped because their sub-query was over or unknown."""

    wrong_snapshot: int = 0
    """Replies dropped because they came from another snapshot."""


@dataclasses.dataclass(slots=True, eq=False)
class _Shard:
    """One sub-query of a query."""

    service: catalog.Service
    shard: str
    sent_at: float = 0.0
    hall: str = ""
    pending: dict[int, int] = dataclasses.field(default_factory=dict)
    """Frames that may still answer, each with the position in it."""
    tried_owners: set[str] = dataclasses.field(default_factory=set)
    tried_halls: set[str] = dataclasses.field(default_factory=set)
    is_done: bool = False
    is_hedged: bool = False
    body: bytes = b""
    verdict: verdict.Verdict | None = None
    waited: float = 0.0


@dataclasses.dataclass(slots=True)
class _Frame:
    """A message sent to a gatherer, until all of its sub-queries are settled."""

    query: _Query
    instance: str
    hall: str
    positions: list[int]
    is_hedge: bool
    open: int


@dataclasses.dataclass(slots=True, eq=False)
class _Query:
    """A query under way."""

    id: str
    group: catalog.Group
    policy: catalog.Policy
    config: catalog.Catalog
    body: bytes
    caller_class: str
    deadline: float
    min_coverage: float | None
    is_repeatable: bool
    needs_snapshot: bool
    wanted_shard: str | None
    on_answer: Callable[[Answer], None]
    snapshot: catalog.Snapshot | None = None
    shards: list[_Shard] = dataclasses.field(default_factory=list)
    outstanding: int = 0
    is_started: bool = False
    is_over: bool = False
    has_restarted: bool = False
    started_at: float = 0.0
    frames: set[int] = dataclasses.field(default_factory=set)
    timers: list[ports.Timer] = dataclasses.field(default_factory=list)


class _GroupState:
    """What a front has learned about one group."""

    def __init__(
        self,
        policy: catalog.Policy,
        hedge_budget: float,
        on_expired: Callable[[_Query, verdict.Verdict], None],
    ) -> None:
        limit = limits.QueryLimit(policy.target_latency * WAIT_SHARE)
        self.admission: admission.Admission[_Query] = admission.Admission(
            limit, policy.target_latency, on_expired
        )
        self.hedge_budget = hedge_budget
        self.hedges = estimators.Budget(HEDGE_BURST, HEDGE_START)
        self.retries = estimators.Budget(RETRY_BURST)
        self.retry_budget = policy.retry_budget
        self.latencies: dict[str, estimators.Quantiles] = {}
        self.service_time = estimators.Average(0.02)

    def path_latencies(self, hall: str) -> estimators.Quantiles:
        found = self.latencies.get(hall)
        if found is None:
            found = self.latencies[hall] = estimators.Quantiles()
        return found


class Front:
    """Admits queries, plans them, and merges the replies."""

    def __init__(
        self,
        name: str,
        clock: ports.Clock,
        rng: random.Random,
        gatherers: ports.GathererPort,
        view: views.ClusterView,
        tuning: Tuning | None = None,
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
        self._rng = rng
        self._gatherers = gatherers
        self._view = view
        self._tuning = tuning or Tuning()
        self._on_trace = on_trace
        self._numbers = itertools.count(1)
        self._frame_numbers = itertools.count(1)
        self._frames: dict[int, _Frame] = {}
        self._groups: dict[str, _GroupState] = {}
        self._loads: dict[str, dict[str, routing.HallLoad]] = {}
        self._outstanding: dict[str, int] = {}
        self._open: dict[str, _Query] = {}
        self._weights: dict[str, float] = {}
        self.counters = Counters()

    @property
    def is_idle(self) -> bool:
        """Whether no query is waiting or under way."""
        return not self._open

    def search(
        self, request: SearchRequest, on_answer: Callable[[Answer], None]
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
        query = _Query(
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
        problem = self._problem(config, match.selector is None, group)
        return self._submit(query, problem)

    def run(self, request: RunRequest, on_answer: Callable[[Answer], None]) -> Callable[[], None]:
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
        group = (
            config.service_group(request.service)
            if is_known
            else catalog.Group(f"service={request.service}", ())
        )
        query = _Query(
            id=self._next_id(),
            group=group,
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
        problem = None
        if not config.version:
            problem = verdict.not_run(verdict.Reason.NOT_READY, "no configuration yet")
        elif not is_known:
            problem = verdict.not_run(verdict.Reason.NO_SERVICE, request.service)
        return self._submit(query, problem)

    def on_reply(self, instance: str, reply: messages.ShardReply) -> None:
        """Take in the outcome of a sub-query.

        Args:
            instance: The gatherer that sent it.
            reply: The outcome.
        """
        frame = self._frames.get(reply.frame)
        if frame is None or frame.instance != instance or reply.index >= len(frame.positions):
            self.counters.late_replies += 1
            return
        query = frame.query
        shard = query.shards[frame.positions[reply.index]]
        if shard.pending.pop(reply.frame, None) is None:
            self.counters.late_replies += 1
            return
        self._settle(reply.frame, frame, shard.service.name)
        self._learn(query, frame, shard, reply)
        if query.is_over or shard.is_done:
            self.counters.late_replies += 1
            return
        self._take(query, shard, reply)

    def on_link_lost(self, instance: str) -> None:
        """Handle the loss of the link to a gatherer: what it was asked has no outcome.

        Args:
            instance: The gatherer.
        """
        lost = [number for number, frame in self._frames.items() if frame.instance == instance]
        for number in lost:
            frame = self._frames.get(number)
            if frame is None:
                continue
            for index in range(len(frame.positions)):
                found = verdict.may_have_run(verdict.Reason.LINK_LOST, f"lost {instance}")
                self.on_reply(instance, _failed(number, index, found))

    def _next_id(self) -> str:
        return f"{self._name}-{next(self._numbers)}"

    def _problem(
        self, config: catalog.Catalog, has_no_selector: bool, group: catalog.Group
    ) -> verdict.Verdict | None:
        if not config.version:
            return verdict.not_run(verdict.Reason.NOT_READY, "no configuration yet")
        if has_no_selector:
            return verdict.not_run(verdict.Reason.NO_SELECTOR, "no selector matches the query")
        if not group.services:
            return verdict.not_run(verdict.Reason.NO_SERVICE, f"no service carries {group.name}")
        return None

    def _submit(self, query: _Query, problem: verdict.Verdict | None) -> Callable[[], None]:
        now = self._clock.seconds()
        self.counters.queries += 1
        self._open[query.id] = query
        if problem is not None:
            self._refuse(query, problem)
            return _nothing
        state = self._state(query)
        query.timers.append(
            self._clock.callLater(max(0.0, query.deadline - now), self._on_deadline, query)
        )
        if not self._tuning.is_admitting:
            self._start(query)
            return functools.partial(self._cancel, query)
        weight = self._view.class_weight(query.caller_class)
        admitted = state.admission.offer(query, query.caller_class, weight, now, query.deadline)
        if admitted is None:
            self._trace(query, "", "queue", f"{state.admission.waiting} waiting")
        elif admitted.is_ok:
            self._start(query)
        else:
            self._refuse(query, admitted)
        return functools.partial(self._cancel, query)

    def _state(self, query: _Query) -> _GroupState:
        name = query.group.name
        state = self._groups.get(name)
        if state is None:
            override = self._tuning.hedge_budget
            budget = query.policy.hedge_budget if override is None else override
            state = self._groups[name] = _GroupState(query.policy, budget, self._refuse)
        return state

    def _start(self, query: _Query) -> None:
        """Pin the snapshot, plan the shards and send them."""
        query.is_started = True
        if not query.started_at:
            query.started_at = self._clock.seconds()
        if not self._plan(query, excluded=None):
            return
        self._send(query, list(range(len(query.shards))))

    def _plan(self, query: _Query, excluded: catalog.Snapshot | None) -> bool:
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
            _Shard(service, shard)
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

    def _send(self, query: _Query, positions: Sequence[int], is_hedge: bool = False) -> None:
        """Group sub-queries by the owner that gets them and send one message to each."""
        batches: dict[tuple[str, str], list[int]] = {}
        unreachable: list[int] = []
        for position in positions:
            chosen = self._route(query, query.shards[position], is_hedge)
            if chosen is None:
                unreachable.append(position)
            else:
                batches.setdefault(chosen, []).append(position)
        for (hall, instance), batch in batches.items():
            self._send_batch(query, hall, instance, batch, is_hedge)
        if is_hedge:
            return
        for shard in [query.shards[position] for position in unreachable]:
            if query.is_over or shard not in query.shards:
                return
            if not shard.is_done and not shard.pending:
                self._fail(query, shard, self._why_unreachable(query, shard))

    def _why_unreachable(self, query: _Query, shard: _Shard) -> verdict.Verdict:
        if query.needs_snapshot and self._view.paths(shard.service, None):
            detail = f"no replica is known to hold {query.snapshot} any more"
            return verdict.not_run(verdict.Reason.SNAPSHOT_GONE, detail)
        return verdict.not_run(verdict.Reason.NO_REPLICA, "no data hall can serve it")

    def _route(self, query: _Query, shard: _Shard, is_hedge: bool) -> tuple[str, str] | None:
        service = shard.service
        snapshot = query.snapshot if query.needs_snapshot else None
        paths: Sequence[routing.Path] = self._view.paths(service, snapshot)
        if is_hedge or shard.tried_owners:
            paths = self._untried(paths, shard, is_hedge)
        if not paths:
            return None
        now = self._clock.seconds()
        if self._tuning.is_routing_by_load:
            time = self._state(query).service_time.value
            path = routing.choose_path(paths, self._hall_loads(service), now, time, self._rng)
        else:
            path = paths[int(self._rng.random() * len(paths))]
        tried = frozenset(shard.tried_owners)
        return path.hall, routing.choose_owner(path, self._name, self._outstanding, tried)

    def _untried(
        self, paths: Sequence[routing.Path], shard: _Shard, is_hedge: bool
    ) -> Sequence[routing.Path]:
        """Leave out paths that were tried: for a hedge whole halls, else halls without owners."""
        if is_hedge:
            return [path for path in paths if path.hall not in shard.tried_halls]
        return [path for path in paths if not shard.tried_owners.issuperset(path.owners)]

    def _hall_loads(self, service: catalog.Service) -> dict[str, routing.HallLoad]:
        loads = self._loads.get(service.name)
        if loads is None:
            loads = self._loads[service.name] = {}
            for target in service.targets:
                load = loads.setdefault(target.hall, routing.HallLoad(0))
                load.slots += target.slots
        return loads

    def _send_batch(
        self, query: _Query, hall: str, instance: str, batch: list[int], is_hedge: bool
    ) -> None:
        now = self._clock.seconds()
        number = next(self._frame_numbers)
        shards = [query.shards[position] for position in batch]
        delay = self._view.delay_to(instance)
        request = messages.SubQueries(
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
            hedge_budget=self._state(query).hedge_budget,
            network_delay=2 * delay,
        )
        self._frames[number] = _Frame(query, instance, hall, batch, is_hedge, len(batch))
        query.frames.add(number)
        self._outstanding[instance] = self._outstanding.get(instance, 0) + len(batch)
        for index, shard in enumerate(shards):
            self._note_sent(query, shard, number, index, hall, instance, is_hedge)
        if not self._gatherers.send(instance, request):
            found = verdict.not_run(verdict.Reason.UNREACHABLE, f"no link to {instance}")
            for index in range(len(batch)):
                self.on_reply(instance, _failed(number, index, found))
            return
        if not is_hedge and query.is_repeatable and not query.is_over:
            self._check_hedge(query, hall, batch, now)

    def _note_sent(
        self,
        query: _Query,
        shard: _Shard,
        number: int,
        index: int,
        hall: str,
        instance: str,
        is_hedge: bool,
    ) -> None:
        shard.pending[number] = index
        shard.tried_owners.add(instance)
        shard.tried_halls.add(hall)
        if not is_hedge:
            shard.sent_at = self._clock.seconds()
            shard.hall = hall
        load = self._hall_loads(shard.service).get(hall)
        if load is not None:
            load.outstanding += 1
        self._trace(query, shard.shard, "hedge" if is_hedge else "send", f"{instance} in {hall}")

    def _check_hedge(self, query: _Query, hall: str, batch: list[int], sent_at: float) -> None:
        """Ask the hedge rule about a batch, act on it, and set the next check."""
        if query.is_over:
            return
        waiting = [position for position in batch if self._is_hedged_here(query.shards[position])]
        if not waiting:
            return
        state = self._state(query)
        elapsed = self._clock.seconds() - sent_at
        fill = state.hedges.tokens / HEDGE_BURST
        progress = hedging.Progress(elapsed, query.outstanding, len(query.shards), fill)
        advice = self._tuning.hedge(progress, state.path_latencies(hall), state.hedge_budget)
        if advice.should_hedge:
            for position in waiting:
                self._hedge(query, position, state)
        if advice.check_in is not None:
            delay = max(advice.check_in, 0.0005)
            query.timers.append(
                self._clock.callLater(delay, self._check_hedge, query, hall, batch, sent_at)
            )

    def _hedge(self, query: _Query, position: int, state: _GroupState) -> None:
        shard = query.shards[position]
        if shard.is_done or shard.is_hedged or not shard.pending or not state.hedges.spend():
            return
        shard.is_hedged = True
        self.counters.hedges += 1
        self._send(query, [position], is_hedge=True)

    def _is_hedged_here(self, shard: _Shard) -> bool:
        """Say whether the front hedges a sub-query, in another hall, and not its gatherer."""
        if shard.is_done:
            return False
        return sum(1 for target in shard.service.targets if target.hall == shard.hall) == 1

    def _settle(self, number: int, frame: _Frame, service: str) -> None:
        """Count one sub-query of a frame as settled, and forget the frame after its last."""
        frame.open -= 1
        self._outstanding[frame.instance] -= 1
        load = self._loads[service].get(frame.hall)
        if load is not None:
            load.outstanding -= 1
        if not frame.open:
            del self._frames[number]
            frame.query.frames.discard(number)

    def _learn(
        self, query: _Query, frame: _Frame, shard: _Shard, reply: messages.ShardReply
    ) -> None:
        now = self._clock.seconds()
        load = self._loads[shard.service.name].get(frame.hall)
        if load is not None:
            load.on_reply(now, reply.waited)
        if reply.verdict.is_ok and not frame.is_hedge:
            state = self._state(query)
            state.path_latencies(frame.hall).record(now - shard.sent_at)
            spent = now - shard.sent_at - reply.waited
            state.service_time.record(spent)

    def _take(self, query: _Query, shard: _Shard, reply: messages.ShardReply) -> None:
        """Use a reply that is still wanted: merge it, or send the sub-query elsewhere."""
        found = reply.verdict
        if found.is_ok and query.needs_snapshot and reply.snapshot != query.snapshot:
            self.counters.wrong_snapshot += 1
            found = verdict.ran(verdict.Reason.SNAPSHOT_GONE, f"replied from {reply.snapshot}")
        self._trace(query, shard.shard, "reply", f"{found.certainty.value} {found.reason.value}")
        if found.is_ok:
            shard.body = reply.body
            shard.waited = reply.waited
            self._conclude(query, shard, found)
            return
        shard.verdict = _worse(shard.verdict, found)
        if shard.pending:
            return
        if self._may_retry(query, found):
            self.counters.retries += 1
            position = query.shards.index(shard)
            self._send(query, [position])
            return
        shard.waited = reply.waited
        self._fail(query, shard, found)

    def _fail(self, query: _Query, shard: _Shard, found: verdict.Verdict) -> None:
        """Deal with a sub-query that nothing is left to try for."""
        if self._may_restart(query, found):
            self._restart(query)
            return
        self._conclude(query, shard, _worse(shard.verdict, found))

    def _may_retry(self, query: _Query, found: verdict.Verdict) -> bool:
        if not found.is_not_run and not query.is_repeatable:
            return False
        if self._clock.seconds() + deadlines.HOP_MARGIN >= query.deadline:
            return False
        return self._state(query).retries.spend()

    def _may_restart(self, query: _Query, found: verdict.Verdict) -> bool:
        if found.reason is not verdict.Reason.SNAPSHOT_GONE:
            return False
        return query.is_repeatable and not query.has_restarted

    def _restart(self, query: _Query) -> None:
        """Start the whole query again on another snapshot, once."""
        gone = query.snapshot
        self._cancel_frames(query)
        query.has_restarted = True
        self.counters.restarts += 1
        self._trace(query, "", "restart", f"{gone} is gone")
        if self._plan(query, excluded=gone):
            self._send(query, list(range(len(query.shards))))

    def _conclude(self, query: _Query, shard: _Shard, found: verdict.Verdict) -> None:
        """Settle a sub-query, cancel what else is under way for it, and perhaps answer."""
        if query.is_over or shard.is_done:
            return
        shard.is_done = True
        shard.verdict = found
        query.outstanding -= 1
        for number, index in list(shard.pending.items()):
            frame = self._frames[number]
            self._gatherers.send(frame.instance, messages.Cancel(number, (index,)))
            del shard.pending[number]
            self._settle(number, frame, shard.service.name)
        if not query.outstanding or not found.is_ok and not query.policy.allows_partial:
            self._complete(query)

    def _complete(self, query: _Query) -> None:
        self._finish(query, None)

    def _on_deadline(self, query: _Query) -> None:
        if query.is_over:
            return
        if not query.is_started:
            self._state(query).admission.remove(query)
            self._refuse(query, verdict.not_run(verdict.Reason.OVERLOADED, "waited too long"))
            return
        for shard in query.shards:
            if not shard.is_done:
                found = verdict.may_have_run(verdict.Reason.DEADLINE, "no reply in time")
                shard.verdict = _worse(shard.verdict, found)
        self._finish(query, None)

    def _finish(self, query: _Query, problem: verdict.Verdict | None) -> None:
        """Answer the caller and release everything that the query holds."""
        query.is_over = True
        reached = self._coverage(query)
        found = problem or coverage.judge(reached, query.policy, query.min_coverage)
        bodies = {
            shard.shard: shard.body
            for shard in query.shards
            if shard.verdict is not None and shard.verdict.is_ok
        }
        self._release(query)
        self._answer(query, found, reached, bodies if found.is_ok else {})

    def _coverage(self, query: _Query) -> coverage.Coverage:
        covered = []
        lacking = {}
        for shard in query.shards:
            found = shard.verdict
            if found is not None and found.is_ok:
                covered.append(shard.shard)
            elif found is not None:
                lacking[shard.shard] = found
            else:
                reason = verdict.Reason.CANCELLED
                lacking[shard.shard] = verdict.may_have_run(reason, "given up with the query")
        return coverage.Coverage(tuple(covered), lacking)

    def _release(self, query: _Query) -> None:
        self._cancel_frames(query)
        for timer in query.timers:
            if timer.active():
                timer.cancel()
        self._open.pop(query.id, None)
        if query.is_started and self._tuning.is_admitting:
            state = self._state(query)
            now = self._clock.seconds()
            state.admission.finish(now, now - query.started_at, _wait_signal(query))
            self._start_next(state)

    def _start_next(self, state: _GroupState) -> None:
        while (following := state.admission.take(self._clock.seconds())) is not None:
            self._start(following)

    def _cancel_frames(self, query: _Query) -> None:
        for number in list(query.frames):
            frame = self._frames[number]
            self._gatherers.send(frame.instance, messages.Cancel(number))
            for position in frame.positions:
                shard = query.shards[position]
                if shard.pending.pop(number, None) is not None:
                    self._settle(number, frame, shard.service.name)

    def _refuse(self, query: _Query, found: verdict.Verdict) -> None:
        query.is_over = True
        self.counters.refused += 1
        for timer in query.timers:
            if timer.active():
                timer.cancel()
        self._open.pop(query.id, None)
        self._answer(query, found, coverage.Coverage((), {}), {})

    def _answer(
        self,
        query: _Query,
        found: verdict.Verdict,
        reached: coverage.Coverage,
        bodies: Mapping[str, bytes],
    ) -> None:
        self._trace(query, "", "answer", f"{found.certainty.value} {found.reason.value}")
        retry_after = None
        if found.reason is verdict.Reason.OVERLOADED:
            retry_after = max(0.05, query.policy.target_latency)
        query.on_answer(
            Answer(
                query.id,
                found,
                query.snapshot,
                query.config.version,
                reached,
                bodies,
                retry_after,
            )
        )

    def _cancel(self, query: _Query) -> None:
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

    def _trace(self, query: _Query, shard: str, event: str, detail: str) -> None:
        if self._on_trace is not None:
            self._on_trace(query.id, shard, event, detail)


def _failed(frame: int, index: int, found: verdict.Verdict) -> messages.ShardReply:
    return messages.ShardReply(frame, index, found, None, b"", 0.0, "", 0)


def _worse(first: verdict.Verdict | None, second: verdict.Verdict) -> verdict.Verdict:
    """Keep the verdict that says less surely that nothing ran; the later one of equals."""
    if first is None or not second.is_not_run or first.is_not_run:
        return second
    return first


def _wait_signal(query: _Query) -> float:
    """Tell the wait that decided a query, leaving out shards that its policy may lack."""
    waits = sorted(shard.waited for shard in query.shards if shard.is_done)
    if not waits:
        return 0.0
    if not query.policy.allows_partial:
        return waits[-1]
    spare = int(len(query.shards) * (1.0 - query.policy.min_coverage))
    return waits[max(0, len(waits) - 1 - spare)]


def _nothing() -> None:
    """Cancel nothing, because the query is over."""


def _drop(answer: Answer) -> None:
    """Drop an answer that nobody waits for."""
    del answer
