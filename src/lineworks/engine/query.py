"""The state of a front: queries with their sub-queries and frames, and groups."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from lineworks.decisions import admission, estimators, limits

if TYPE_CHECKING:
    from collections.abc import Callable

    from lineworks.decisions import catalog, verdict
    from lineworks.engine import ports, requests

RETRY_BURST = 20.0
"""Maximum number of retry tokens of a group."""

HEDGE_BURST = 20.0
"""Maximum number of hedge tokens of a group."""

INITIAL_HEDGE_TOKENS = 8.0
"""Hedge tokens of a new group; fewer than the maximum, so that many restarts add little load."""

WAIT_SHARE = 0.25
"""Share of a policy's target latency that sub-queries may spend queued at gatherers."""


@dataclasses.dataclass(slots=True, eq=False)
class Shard:
    """One sub-query: the part of a query that one shard answers."""

    service: catalog.Service
    """The service that holds the shard."""

    shard: str
    """Name of the shard."""

    sent_at: float = 0.0
    """Time in seconds when it was last sent, not counting hedges."""

    hall: str = ""
    """Data hall that it was last sent to, not counting hedges."""

    pending: dict[int, int] = dataclasses.field(default_factory=dict)
    """Numbers of the frames that await a reply for it, each with its position in the frame."""

    tried_owners: set[str] = dataclasses.field(default_factory=set)
    """Instances that it was sent to."""

    tried_halls: set[str] = dataclasses.field(default_factory=set)
    """Data halls that it was sent to."""

    is_done: bool = False
    """Whether it has its final outcome."""

    is_hedged: bool = False
    """Whether the front has hedged it."""

    body: bytes = b""
    """The body of the reply."""

    verdict: verdict.Verdict | None = None
    """Its final verdict, or that of its failures so far."""

    waited: float = 0.0
    """Seconds that it was queued at the gatherer, by the last reply."""


@dataclasses.dataclass(slots=True, eq=False)
class Frame:
    """A message with sub-queries sent to a gatherer, until all of them are settled."""

    query: Query
    """The query."""

    instance: str
    """The gatherer's instance."""

    hall: str
    """Data hall whose targets serve the sub-queries."""

    positions: list[int]
    """Positions of its sub-queries in the query."""

    is_hedge: bool
    """Whether it repeats sub-queries of another frame."""

    outstanding: int
    """Number of its sub-queries that are not settled."""

    sent_at: float
    """Time in seconds when it was sent."""


@dataclasses.dataclass(slots=True, eq=False)
class Query:
    """A query that is queued or running."""

    id: str
    """ID, unique among all instances."""

    group: catalog.Group
    """Group of services that it is sent to."""

    policy: catalog.Policy
    """Policy of the selector that matched it."""

    config: catalog.Catalog
    """Configuration in force when it was received."""

    body: bytes
    """Body that is sent to every shard."""

    caller_class: str
    """Class of the caller."""

    deadline: float
    """Time in seconds by which it must be answered."""

    min_coverage: float | None
    """Share of shards (0 to 1) that the caller requires; None for the policy's minimum."""

    is_repeatable: bool
    """Whether a sub-query may be started more than once."""

    needs_snapshot: bool
    """Whether all replies must come from one snapshot."""

    only_shard: str | None
    """The only shard to query, or None for all shards."""

    on_answer: Callable[[requests.Answer], None]
    """Called with the answer."""

    snapshot: catalog.Snapshot | None = None
    """The pinned snapshot."""

    shards: list[Shard] = dataclasses.field(default_factory=list)
    """Its sub-queries."""

    outstanding: int = 0
    """Number of sub-queries that are not done."""

    is_started: bool = False
    """Whether it has started, rather than being queued."""

    is_finished: bool = False
    """Whether it was answered, refused or cancelled."""

    has_restarted: bool = False
    """Whether it was restarted on another snapshot."""

    started_at: float = 0.0
    """Time in seconds when it started."""

    frames: set[int] = dataclasses.field(default_factory=set)
    """Numbers of its frames with unsettled sub-queries."""

    timers: list[ports.Timer] = dataclasses.field(default_factory=list)
    """Timers that are cancelled when it finishes."""


class GroupState:
    """Admission, budgets and latencies of one group, as seen by this front."""

    def __init__(
        self,
        policy: catalog.Policy,
        hedge_budget: float,
        on_expired: Callable[[Query, verdict.Verdict], None],
    ) -> None:
        """Initialise the state of a group with initial limits and no samples.

        Args:
            policy: The group's policy.
            hedge_budget: Hedges allowed, as a share of sub-queries.
            on_expired: Called with each query that is refused after it was queued, and the verdict.
        """
        limit = limits.QueryLimit(policy.target_latency * WAIT_SHARE)
        self.admission: admission.Admission[Query] = admission.Admission(
            limit, policy.target_latency, on_expired
        )
        self.hedge_budget = hedge_budget
        self.hedges = estimators.TokenBudget(HEDGE_BURST, INITIAL_HEDGE_TOKENS)
        self.retries = estimators.TokenBudget(RETRY_BURST)
        self.retry_budget = policy.retry_budget
        self.service_time = estimators.MovingAverage(0.02)
        self._latencies: dict[str, estimators.Quantiles] = {}

    def hall_latencies(self, hall: str) -> estimators.Quantiles:
        """Return the latencies of sub-queries sent to a hall.

        Args:
            hall: The data hall.

        Returns:
            Quantiles of the seconds from sending to reply, as measured at this front.
        """
        cached = self._latencies.get(hall)
        if cached is None:
            cached = self._latencies[hall] = estimators.Quantiles()
        return cached


def wait_signal(query: Query) -> float:
    """Return the queueing time at gatherers that determined when a query could be answered.

    The longest waits are left out for as many shards as the policy allows to be missing.

    Args:
        query: The finished query.

    Returns:
        Seconds; 0 when no sub-query is done.
    """
    waits = sorted(shard.waited for shard in query.shards if shard.is_done)
    if not waits:
        return 0.0
    if not query.policy.allows_partial:
        return waits[-1]
    optional = int(len(query.shards) * (1.0 - query.policy.min_coverage))
    return waits[max(0, len(waits) - 1 - optional)]
