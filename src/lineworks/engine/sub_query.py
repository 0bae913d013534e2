"""The state of a gatherer: sub-queries, attempts, frames, replica pools and groups."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from lineworks.decisions import estimators, hedging, replicas, verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from lineworks.engine import messages, ports

STALL_FACTOR = 6.0
"""Multiple of the average service time without progress after which a replica is stalled."""

MIN_STALL_TIMEOUT = 0.05
"""Minimum number of seconds without progress before a replica is stalled."""

SLOW_FACTOR = 2.0
"""Multiple of the service time after which a cancelled attempt counts against its replica."""

RETRY_BURST = 10.0
"""Maximum number of retry tokens of a service."""

RETRY_RATIO = 0.1
"""Retry tokens earned by each sub-query."""

HEDGE_BURST = 20.0
"""Maximum number of hedge tokens of a group."""

INITIAL_HEDGE_TOKENS = 8.0
"""Hedge tokens of a new group; fewer than the maximum, so that many restarts add little load."""

SHED_BACKOFF = 0.02
"""Seconds for which a target gets no attempt after it shed a request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Tuning:
    """Options of a gatherer; the benchmarks compare their settings."""

    choose: replicas.ChooseReplica = replicas.choose_least_loaded
    """Rule that chooses among the usable replicas with free capacity."""

    limits_concurrency: bool = True
    """Whether attempts at each target are limited and further sub-queries queued."""

    ejects_stalled: bool = True
    """Whether stalled replicas get no attempts unless all are stalled."""

    hedge: hedging.HedgeRule = dataclasses.field(default_factory=hedging.make_progress_rule)
    """Rule that decides when a sub-query is hedged at another replica in the hall."""


@dataclasses.dataclass(slots=True)
class Counters:
    """Event counts of a gatherer, exported as metrics under the names of the attributes."""

    started: int = 0
    """Attempts sent to targets."""

    hedges: int = 0
    """Hedges among the started attempts."""

    retries: int = 0
    """Retries after a failed attempt."""

    refused: int = 0
    """Attempts that ended with a `NOT_RUN` verdict."""

    cancelled: int = 0
    """Attempts cancelled."""

    wrong_snapshot: int = 0
    """Replies discarded because they came from another snapshot."""


@dataclasses.dataclass(slots=True, eq=False)
class SubQuery:
    """A sub-query at the gatherer, until its outcome is sent."""

    origin: str
    """Incarnation of the front that sent it."""

    request: messages.SubQueries
    """The frame that it came in."""

    index: int
    """Its position in that frame."""

    reply: Callable[[messages.ShardReply], None]
    """Sends its outcome to the front."""

    arrived: float
    """Time of arrival in seconds."""

    waited: float = 0.0
    """Seconds from arrival to the first attempt."""

    attempts: int = 0
    """Attempts started."""

    running: dict[str, RunningAttempt] = dataclasses.field(default_factory=dict)
    """Running attempts by attempt ID."""

    tried: set[str] = dataclasses.field(default_factory=set)
    """Names of the targets that were tried."""

    is_waiting: bool = False
    """Whether it waits for a replica with free capacity."""

    is_hedged: bool = False
    """Whether hedging is finished: it was hedged, or no other replica was usable."""

    is_done: bool = False
    """Whether it has an outcome or was cancelled."""

    failure: verdict.Verdict | None = None
    """Verdict of its failed attempts, if any; `NOT_RUN` only if none of them may have run."""

    last_target: str = ""
    """Name of the target of the last attempt."""

    @property
    def service(self) -> str:
        """The service that holds its shard."""
        return self.request.services[self.index]


@dataclasses.dataclass(slots=True, eq=False)
class Frame:
    """The sub-queries of one frame, until all of them are done."""

    sub_queries: list[SubQuery]
    """All sub-queries of the frame."""

    outstanding: int
    """Number of sub-queries that are not done."""

    timer: ports.Timer
    """Fires at the deadline."""

    hedge_timer: ports.Timer | None = None
    """Fires at the next check of the hedging rule."""


@dataclasses.dataclass(slots=True, eq=False)
class RunningAttempt:
    """An attempt that has no outcome yet."""

    replica: replicas.Replica
    """The replica that it was sent to."""

    started: float
    """Start time in seconds."""

    cancel: Callable[[], None] | None = None
    """Cancels the attempt."""


class ReplicaPool:
    """The replicas of one service and the queue of sub-queries that wait for them."""

    def __init__(self) -> None:
        self.replicas: list[replicas.Replica] = []
        self.waiting: collections.deque[SubQuery] = collections.deque()
        self.service_time = estimators.MovingAverage(0.05)
        self.retries = estimators.TokenBudget(RETRY_BURST)

    @property
    def stall_timeout(self) -> float:
        """Seconds without progress after which a replica counts as stalled."""
        return max(MIN_STALL_TIMEOUT, STALL_FACTOR * self.service_time.value)


class GroupState:
    """Latencies and hedge budget of one group, as seen by this gatherer."""

    def __init__(self) -> None:
        self.latencies = estimators.Quantiles()
        self.hedges = estimators.TokenBudget(HEDGE_BURST, INITIAL_HEDGE_TOKENS)
        self.hedge_budget = 0.0


def unavailable_verdict(sub: SubQuery, pool: ReplicaPool) -> verdict.Verdict:
    """Explain why no replica is available for a sub-query.

    Args:
        sub: The sub-query.
        pool: The replica pool of its service.

    Returns:
        A `NOT_RUN` verdict with the reason.
    """
    available = [replica for replica in pool.replicas if not replica.is_leaving]
    if not pool.replicas:
        return verdict.not_run(verdict.Reason.NO_REPLICA, "no target is owned here")
    if not available:
        return verdict.not_run(verdict.Reason.LEAVING, "all replicas are leaving")
    snapshot = sub.request.snapshot
    if sub.request.needs_snapshot and not any(snapshot in r.holds for r in available):
        return verdict.not_run(verdict.Reason.SNAPSHOT_GONE, f"no replica holds {snapshot}")
    return verdict.not_run(verdict.Reason.UNREACHABLE, "all replicas are resting")


def is_wrong_snapshot(sub: SubQuery, outcome: ports.Outcome) -> bool:
    """Return whether a target lacked the pinned snapshot or replied from another one.

    Args:
        sub: The sub-query.
        outcome: The outcome of the attempt.

    Returns:
        Whether the snapshot was wrong; always False when any snapshot is accepted.
    """
    if not sub.request.needs_snapshot:
        return False
    if outcome.verdict.reason is verdict.Reason.SNAPSHOT_GONE:
        return True
    return outcome.verdict.is_ok and outcome.snapshot != sub.request.snapshot
