"""The state of sub-queries at a gatherer: attempts, frames, pools of replicas, and groups."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from lineworks.decisions import estimators, hedging, replicas, verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from lineworks.engine import messages, ports

STALL_FACTOR = 6.0
"""A replica without progress for this many usual service times counts as stalled."""

STALL_FLOOR = 0.05
"""Seconds without progress that are never a stall."""

SLOW_FACTOR = 2.0
"""An attempt given up after this many usual service times counts against its replica."""

RETRY_BURST = 10.0
"""Retries that a service's budget holds at most."""

RETRY_SHARE = 0.1
"""Retries earned for each sub-query."""

HEDGE_BURST = 20.0
"""Hedges that a group's budget holds at most."""

HEDGE_START = 8.0
"""Hedges that a group's budget holds at first, so that many restarts add little load."""

SHED_REST = 0.02
"""Seconds that a target is left alone after it shed a request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Tuning:
    """Choices of a gatherer that the bench varies."""

    choose: replicas.ChooseReplica = replicas.choose_least_loaded
    """Rule that picks among replicas with room."""

    is_bounded: bool = True
    """Whether attempts are limited for each target and sub-queries wait for room."""

    ejects_stalled: bool = True
    """Whether replicas without progress are passed over."""

    hedge: hedging.HedgeRule = dataclasses.field(default_factory=hedging.make_progress_rule)
    """When a sub-query is hedged at another replica of the hall."""


@dataclasses.dataclass(slots=True)
class Counters:
    """Counts of what a gatherer did, for metrics."""

    started: int = 0
    """Attempts handed to targets."""

    hedges: int = 0
    """Of those, second attempts that a front asked for."""

    retries: int = 0
    """Of those, attempts after a failed one."""

    refused: int = 0
    """Attempts that targets refused as not run."""

    cancelled: int = 0
    """Attempts given up."""

    wrong_snapshot: int = 0
    """Replies discarded because they came from another snapshot."""


@dataclasses.dataclass(slots=True, eq=False)
class SubQuery:
    """A sub-query under way."""

    origin: str
    """Incarnation of the front that asked."""

    request: messages.SubQueries
    """The message that asked for it."""

    index: int
    """Its position in that message."""

    reply: Callable[[messages.ShardReply], None]
    """Takes its outcome."""

    arrived: float
    """When it arrived, in seconds."""

    waited: float = 0.0
    """Seconds until its first attempt."""

    attempts: int = 0
    """Attempts handed to targets."""

    running: dict[str, Running] = dataclasses.field(default_factory=dict)
    """Attempts under way, by identity."""

    tried: set[str] = dataclasses.field(default_factory=set)
    """Targets that it was sent to."""

    is_waiting: bool = False
    """Whether it waits for a replica with room."""

    is_hedged: bool = False
    """Whether it needs no more looks by the hedge rule."""

    is_done: bool = False
    """Whether its outcome is settled."""

    last: verdict.Verdict | None = None
    """What is known from attempts that failed."""

    last_target: str = ""
    """Target of the last attempt."""

    @property
    def service(self) -> str:
        """The service that holds its shard."""
        return self.request.services[self.index]


@dataclasses.dataclass(slots=True, eq=False)
class Frame:
    """The sub-queries of one message that have no outcome yet, counted."""

    subs: list[SubQuery]
    """All of them."""

    open: int
    """How many are not settled."""

    timer: ports.Timer
    """Fires at the deadline."""

    hedge_timer: ports.Timer | None = None
    """Fires when the hedge rule wants to look again."""


@dataclasses.dataclass(slots=True, eq=False)
class Running:
    """An attempt under way."""

    replica: replicas.Replica
    """Where it was sent."""

    started: float
    """When, in seconds."""

    cancel: Callable[[], None] | None = None
    """Cancels it."""


class Pool:
    """The replicas of one service, with the sub-queries that wait for one."""

    def __init__(self) -> None:
        self.replicas: list[replicas.Replica] = []
        self.waiting: collections.deque[SubQuery] = collections.deque()
        self.service_time = estimators.MovingAverage(0.05)
        self.retries = estimators.TokenBudget(RETRY_BURST)

    @property
    def patience(self) -> float:
        """Seconds without progress after which a replica counts as stalled."""
        return max(STALL_FLOOR, STALL_FACTOR * self.service_time.value)


class Group:
    """What a gatherer has learned about one group."""

    def __init__(self) -> None:
        self.latencies = estimators.Quantiles()
        self.hedges = estimators.TokenBudget(HEDGE_BURST, HEDGE_START)
        self.hedge_budget = 0.0


def why_none(sub: SubQuery, pool: Pool) -> verdict.Verdict:
    """Say why no replica is left for a sub-query.

    Args:
        sub: The sub-query.
        pool: The replicas of its service.

    Returns:
        A verdict that it has not run.
    """
    present = [replica for replica in pool.replicas if not replica.is_leaving]
    if not pool.replicas:
        return verdict.not_run(verdict.Reason.NO_REPLICA, "no target is owned here")
    if not present:
        return verdict.not_run(verdict.Reason.LEAVING, "all replicas are leaving")
    snapshot = sub.request.snapshot
    if sub.request.needs_snapshot and not any(snapshot in r.holds for r in present):
        return verdict.not_run(verdict.Reason.SNAPSHOT_GONE, f"no replica holds {snapshot}")
    return verdict.not_run(verdict.Reason.UNREACHABLE, "all replicas are resting")


def is_wrong_snapshot(sub: SubQuery, outcome: ports.Outcome) -> bool:
    """Say whether an attempt brought another snapshot than its sub-query is pinned to.

    Args:
        sub: The sub-query.
        outcome: How the attempt ended.

    Returns:
        False when any snapshot will do.
    """
    if not sub.request.needs_snapshot:
        return False
    if outcome.verdict.reason is verdict.Reason.SNAPSHOT_GONE:
        return True
    return outcome.verdict.is_ok and outcome.snapshot != sub.request.snapshot
