"""The state of a query at its front: its shards, its frames, and what its group has learned."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from lineworks.decisions import admission, estimators, limits

if TYPE_CHECKING:
    from collections.abc import Callable

    from lineworks.decisions import catalog, verdict
    from lineworks.engine import ports, requests

RETRY_BURST = 20.0
"""Retries that a group's budget holds at most."""

HEDGE_BURST = 20.0
"""Hedges that a group's budget holds at most."""

HEDGE_START = 8.0
"""Hedges that a group's budget holds at first, so that many restarts add little load."""

WAIT_SHARE = 0.25
"""Share of a policy's target latency that waiting for a slot may take."""


@dataclasses.dataclass(slots=True, eq=False)
class Shard:
    """One sub-query of a query."""

    service: catalog.Service
    """The service that holds the shard."""

    shard: str
    """Name of the shard."""

    sent_at: float = 0.0
    """When it was last sent, other than as a hedge."""

    hall: str = ""
    """Data hall that it was last sent to, other than as a hedge."""

    pending: dict[int, int] = dataclasses.field(default_factory=dict)
    """Frames that may still answer, each with the position in it."""

    tried_owners: set[str] = dataclasses.field(default_factory=set)
    """Instances that it was sent to."""

    tried_halls: set[str] = dataclasses.field(default_factory=set)
    """Data halls that it was sent to."""

    is_done: bool = False
    """Whether its outcome is settled."""

    is_hedged: bool = False
    """Whether the front sent it a second time."""

    body: bytes = b""
    """The reply."""

    verdict: verdict.Verdict | None = None
    """What is known of it."""

    waited: float = 0.0
    """Seconds that it waited for a slot."""


@dataclasses.dataclass(slots=True, eq=False)
class Frame:
    """A message sent to a gatherer, until all of its sub-queries are settled."""

    query: Query
    """The query."""

    instance: str
    """The gatherer's instance."""

    hall: str
    """The hall whose targets were asked for."""

    positions: list[int]
    """Positions of its sub-queries in the query."""

    is_hedge: bool
    """Whether it repeats what another frame asked for."""

    open: int
    """Sub-queries not settled."""

    sent_at: float
    """When it was sent, in seconds."""


@dataclasses.dataclass(slots=True, eq=False)
class Query:
    """A query under way."""

    id: str
    """Identity, unique among all instances."""

    group: catalog.Group
    """Services that it reaches."""

    policy: catalog.Policy
    """What its caller is promised."""

    config: catalog.Catalog
    """Configuration that it was admitted under."""

    body: bytes
    """Body for every shard."""

    caller_class: str
    """Class of the caller."""

    deadline: float
    """When the caller stops waiting."""

    min_coverage: float | None
    """Coverage that the caller asked for."""

    is_repeatable: bool
    """Whether a sub-query may be started more than once."""

    needs_snapshot: bool
    """Whether all replies must come from one snapshot."""

    wanted_shard: str | None
    """The only shard wanted, or None for all."""

    on_answer: Callable[[requests.Answer], None]
    """Takes the answer."""

    snapshot: catalog.Snapshot | None = None
    """Snapshot pinned."""

    shards: list[Shard] = dataclasses.field(default_factory=list)
    """Its sub-queries."""

    outstanding: int = 0
    """Sub-queries not settled."""

    is_started: bool = False
    """Whether it was admitted."""

    is_over: bool = False
    """Whether it was answered or cancelled."""

    has_restarted: bool = False
    """Whether it was started again on another snapshot."""

    started_at: float = 0.0
    """When it was admitted."""

    frames: set[int] = dataclasses.field(default_factory=set)
    """Numbers of its frames that are not settled."""

    timers: list[ports.Timer] = dataclasses.field(default_factory=list)
    """Timers to cancel when it is over."""


class GroupState:
    """What a front has learned about one group."""

    def __init__(
        self,
        policy: catalog.Policy,
        hedge_budget: float,
        on_expired: Callable[[Query, verdict.Verdict], None],
    ) -> None:
        """Start with the limits of a group that nothing is known about.

        Args:
            policy: The group's policy.
            hedge_budget: Hedges allowed, as a share of sub-queries.
            on_expired: Called with each query that is refused after it waited.
        """
        limit = limits.QueryLimit(policy.target_latency * WAIT_SHARE)
        self.admission: admission.Admission[Query] = admission.Admission(
            limit, policy.target_latency, on_expired
        )
        self.hedge_budget = hedge_budget
        self.hedges = estimators.TokenBudget(HEDGE_BURST, HEDGE_START)
        self.retries = estimators.TokenBudget(RETRY_BURST)
        self.retry_budget = policy.retry_budget
        self.service_time = estimators.MovingAverage(0.02)
        self._latencies: dict[str, estimators.Quantiles] = {}

    def path_latencies(self, hall: str) -> estimators.Quantiles:
        """Tell how long sub-queries to a hall take.

        Args:
            hall: The hall.

        Returns:
            Their latencies, as this front sees them.
        """
        found = self._latencies.get(hall)
        if found is None:
            found = self._latencies[hall] = estimators.Quantiles()
        return found


def wait_signal(query: Query) -> float:
    """Tell the wait that decided a query, leaving out shards that its policy may lack.

    Args:
        query: The query, over.

    Returns:
        Seconds.
    """
    waits = sorted(shard.waited for shard in query.shards if shard.is_done)
    if not waits:
        return 0.0
    if not query.policy.allows_partial:
        return waits[-1]
    spare = int(len(query.shards) * (1.0 - query.policy.min_coverage))
    return waits[max(0, len(waits) - 1 - spare)]
