"""What every request under way needs from its front."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any

from lineworks.decisions import estimators, extra_attempts

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from lineworks.decisions import mechanisms
    from lineworks.forwarding import (
        extra_keeper,
        gatherers,
        quota_keeper,
        suspect_exchange,
        target_book,
        target_calls,
        target_state,
        wait_queue,
    )
    from lineworks.kernel import rate_limited_log

HEDGE_LINES_PER_SECOND = 10.0
"""Log lines a second for hedges."""

MAX_HEDGES_PER_LINE = 6
"""Hedges that a line names at most."""

HEDGE_QUANTILE = 0.8
"""Share of a route's sub-queries that are faster than the time after which one is hedged."""

HEDGE_FACTOR = 1.3
"""Multiple of that quantile: the rest of a usual spread is waited for."""

MIN_HEDGE_SHARE = 0.08
"""Share of a route's aim before which nothing is hedged."""

MAX_HEDGE_SHARE = 0.4
"""Share of a route's aim after which everything is hedged; also used while nothing is known."""


class HedgeTimes:
    """Learns, for each route and way, when a sub-query counts as late."""

    def __init__(self) -> None:
        self._latencies: dict[tuple[str, bool], estimators.Quantiles] = {}

    def record(self, route: str, is_remote: bool, seconds: float) -> None:
        """Add the time of a sub-query that was answered.

        Args:
            route: Name of the route.
            is_remote: Whether its target stands in another data hall.
            seconds: How long it took.
        """
        found = self._latencies.get((route, is_remote))
        if found is None:
            found = self._latencies[(route, is_remote)] = estimators.Quantiles()
        found.record(seconds)

    def delay(self, route: str, is_remote: bool, slo: float) -> float:
        """Tell after how long a sub-query is hedged.

        Args:
            route: Name of the route.
            is_remote: Whether its target stands in another data hall.
            aim: Time within which its answer is worth most, in seconds.

        Returns:
            Seconds.
        """
        found = self._latencies.get((route, is_remote))
        max_delay = MAX_HEDGE_SHARE * slo
        if found is None or not found.has_samples:
            return max_delay
        late = HEDGE_FACTOR * found.quantile(HEDGE_QUANTILE)
        return min(max_delay, max(MIN_HEDGE_SHARE * slo, late))


@dataclasses.dataclass(slots=True)
class Counters:
    """Counts of a front, for metrics."""

    hedges: int = 0
    """Second attempts at slow sub-queries."""

    hedges_won: int = 0
    """Of those, the ones that were answered first."""

    retries: int = 0
    """Attempts after a failed one."""

    budget_spent: int = 0
    """Times that no extra attempt was left here when one was wanted."""

    gather_queries: int = 0
    """Queries sent to gatherers in other halls."""

    parts_dropped: int = 0
    """Merged results dropped because a shard of theirs was in already."""

    partial: int = 0
    """Searches answered in part."""


@dataclasses.dataclass(slots=True)
class FrontServices:
    """Shared by all requests of a front."""

    reactor: Any
    """Twisted's reactor."""

    hall: str
    """Data hall of this instance."""

    book: target_book.TargetBook
    """The targets."""

    calls: target_calls.TargetCalls
    """Sends requests to targets."""

    gatherers: gatherers.Gatherers
    """Sends queries to gatherers in other halls."""

    extra: extra_attempts.ExtraAttempts
    """Attempts beyond the first that are left."""

    keeper: extra_keeper.ExtraKeeper
    """Asks for more of them."""

    suspects: suspect_exchange.SuspectExchange
    """Knows the requests under which targets ended."""

    quotas: quota_keeper.QuotaKeeper
    """Tells whether requests are within the quotas of their workspaces."""

    hedges: HedgeTimes
    """When a sub-query counts as late."""

    counters: Counters
    """Counts for metrics."""

    log: rate_limited_log.RateLimitedLog
    """Takes a line for each hedge."""

    queue: wait_queue.WaitQueue
    """Requests that wait for room, and what each workspace got lately."""

    without: frozenset[mechanisms.Mechanism] = frozenset()
    """Mechanisms that are switched off."""

    lags: estimators.Quantiles = dataclasses.field(default_factory=estimators.Quantiles)
    """How long after their latest moment answers of searches left."""

    def try_spend(self, service: str, now: float, kept: float = 0.0, workspace: str = "") -> bool:
        """Take one extra attempt at a service, or count that none was left.

        Args:
            service: The service.
            now: The present, in seconds.
            kept: Part of the allowance (0 to 1) that is left for others.
            workspace: Workspace of the request; empty for none.

        Returns:
            Whether it may be sent.
        """
        if self.spent_far_more(service, now, workspace):
            kept += extra_attempts.KEPT_FROM_HEDGES
        if not self.extra.spend(service, now, kept):
            self.counters.budget_spent += 1
            return False
        if self.queue.is_fair:
            self.queue.shares.note_spent(workspace, service, now)
        return True

    def spent_far_more(self, service: str, now: float, workspace: str) -> bool:
        """Say whether a workspace leaves the last extra attempts at a service to others.

        Args:
            service: The service.
            now: The present, in seconds.
            workspace: The workspace; empty for none.

        Returns:
            Whether room is shared between workspaces, and it spent far more than its part.
        """
        queue = self.queue
        return queue.is_fair and queue.shares.spent_far_more(workspace, service, now)

    def ask_for_retry(self, service: str, workspace: str, on_reply: Callable[[], None]) -> None:
        """Ask the keeper for an extra attempt at a service, because none is left here.

        Like a hedge, a retry of a workspace that spent far more than its part leaves the last ones
        to others.

        Args:
            service: The service.
            workspace: Workspace of the request; empty for none.
            on_reply: Called once, when the keeper has answered or doesn't.
        """
        leaves_last = self.spent_far_more(service, self.reactor.seconds(), workspace)
        self.keeper.ask((service,), leaves_last, on_reply)

    def log_hedges(
        self,
        call: target_calls.TargetCall,
        seconds: float,
        pairs: Sequence[tuple[target_state.TargetState, target_state.TargetState]],
    ) -> None:
        """Write a line for hedges that are about to be sent.

        Args:
            call: The request.
            seconds: Time since it came.
            pairs: For each hedge the target that is waited for, and the one that is asked too.
        """
        named = [
            f"{late.replica.target.service}: {late.id}, now {other.id}"
            for late, other in pairs[:MAX_HEDGES_PER_LINE]
        ]
        self.log.info(
            "hedge",
            id=call.attempt.decode("latin-1"),
            ms=round(seconds * 1000, 1),
            count=len(pairs),
            targets=named,
        )

    def record_answer(self, route: str, is_remote: bool, started: float, is_hedge: bool) -> None:
        """Learn from an attempt that brought what was wanted.

        Args:
            route: Name of the route.
            is_remote: Whether its target stands in another data hall, or a gatherer asked it.
            started: When it was sent, in seconds.
            is_hedge: Whether it was made beside a slow one.
        """
        if is_hedge:
            self.counters.hedges_won += 1
        else:
            seconds = self.reactor.seconds() - started
            self.hedges.record(route, is_remote, seconds)
