"""Services and state that all requests of a front share."""

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

MAX_HEDGE_LINES_PER_SECOND = 10.0
"""Maximum number of log lines per second for hedges."""

MAX_LOGGED_HEDGES = 6
"""Maximum number of hedges that one log line lists."""

HEDGE_QUANTILE = 0.8
"""Quantile of a route's sub-query latencies from which the hedging delay is computed."""

HEDGE_FACTOR = 1.3
"""Multiple of that quantile after which a sub-query is hedged, so that latencies within the usual
spread do not cause hedges."""

MIN_HEDGE_SHARE = 0.08
"""Minimum hedging delay, as a share of the route's latency objective."""

MAX_HEDGE_SHARE = 0.4
"""Maximum hedging delay, as a share of the route's latency objective; also used until latencies are
known."""


class HedgeTimes:
    """Computes hedging delays from the latencies of each route, separately for remote targets."""

    def __init__(self) -> None:
        self._latencies: dict[tuple[str, bool], estimators.Quantiles] = {}

    def record(self, route: str, is_remote: bool, seconds: float) -> None:
        """Record the latency of a sub-query that was answered.

        Args:
            route: Name of the route.
            is_remote: Whether its target is in another data hall.
            seconds: The latency, in seconds.
        """
        found = self._latencies.get((route, is_remote))
        if found is None:
            found = self._latencies[(route, is_remote)] = estimators.Quantiles()
        found.record(seconds)

    def delay(self, route: str, is_remote: bool, slo: float) -> float:
        """Compute the delay after which a sub-query is hedged.

        Args:
            route: Name of the route.
            is_remote: Whether its target is in another data hall.
            slo: The route's latency objective, in seconds.

        Returns:
            The delay, in seconds.
        """
        found = self._latencies.get((route, is_remote))
        max_delay = MAX_HEDGE_SHARE * slo
        if found is None or not found.has_samples:
            return max_delay
        late = HEDGE_FACTOR * found.quantile(HEDGE_QUANTILE)
        return min(max_delay, max(MIN_HEDGE_SHARE * slo, late))


@dataclasses.dataclass(slots=True)
class Counters:
    """Event counts of a front, exported as metrics."""

    hedges: int = 0
    """Hedges sent: second attempts of slow sub-queries."""

    hedges_won: int = 0
    """Hedges that were answered before the first attempt."""

    retries: int = 0
    """Attempts after a failed attempt."""

    budget_spent: int = 0
    """Number of times that an extra attempt was needed but the local allowance was exhausted."""

    gather_queries: int = 0
    """Queries sent to gatherers in other data halls."""

    parts_dropped: int = 0
    """Merged results dropped because they contained a shard that was already included."""

    partial: int = 0
    """Searches answered with incomplete results."""


@dataclasses.dataclass(slots=True)
class FrontServices:
    """The services of one instance that its front's requests use."""

    reactor: Any
    """Twisted's reactor."""

    hall: str
    """Data hall of this instance."""

    book: target_book.TargetBook
    """The targets."""

    calls: target_calls.TargetCalls
    """Sends requests to targets."""

    gatherers: gatherers.GathererClient
    """Sends queries to gatherers in other data halls."""

    extra: extra_attempts.ExtraAttempts
    """Local allowance of extra attempts: those beyond the first."""

    keeper: extra_keeper.ExtraKeeper
    """Requests further extra attempts when the local allowance is exhausted."""

    suspects: suspect_exchange.SuspectExchange
    """Tracks the requests that are suspected of crashing targets."""

    quotas: quota_keeper.QuotaKeeper
    """Decides whether requests are within the quotas of their workspaces."""

    hedges: HedgeTimes
    """Delays after which sub-queries are hedged."""

    counters: Counters
    """Event counts exported as metrics."""

    log: rate_limited_log.RateLimitedLog
    """Rate-limited log of hedges."""

    queue: wait_queue.WaitQueue
    """Requests waiting for capacity, and the recent usage of each workspace."""

    without: frozenset[mechanisms.Mechanism] = frozenset()
    """Mechanisms that are disabled."""

    lags: estimators.Quantiles = dataclasses.field(default_factory=estimators.Quantiles)
    """Delays between the planned latest time of search answers and the time they were sent."""

    def try_spend(self, service: str, now: float, kept: float = 0.0, workspace: str = "") -> bool:
        """Spend one extra attempt at a service, or count that the allowance is exhausted.

        Args:
            service: The service.
            now: Current time, in seconds.
            kept: Share of the allowance (0 to 1) that is reserved for others.
            workspace: Workspace of the request; empty for none.

        Returns:
            Whether the attempt may be sent.
        """
        if self.is_overspending(service, now, workspace):
            kept += extra_attempts.RESERVED_FOR_RETRIES
        if not self.extra.spend(service, now, kept):
            self.counters.budget_spent += 1
            return False
        if self.queue.is_fair:
            self.queue.shares.note_spent(workspace, service, now)
        return True

    def is_overspending(self, service: str, now: float, workspace: str) -> bool:
        """Return whether a workspace must leave the last extra attempts at a service to others.

        Args:
            service: The service.
            now: Current time, in seconds.
            workspace: The workspace; empty for none.

        Returns:
            Whether capacity is shared between workspaces, and this one spent far more than its
            fair share of extra attempts.
        """
        queue = self.queue
        return queue.is_fair and queue.shares.is_overspending(workspace, service, now)

    def ask_for_retry(self, service: str, workspace: str, on_reply: Callable[[], None]) -> None:
        """Request an extra attempt at a service from the keeper; the local allowance is exhausted.

        Like a hedge, a retry of a workspace that spent far more than its fair share leaves the
        last extra attempts to others.

        Args:
            service: The service.
            workspace: Workspace of the request; empty for none.
            on_reply: Called once, when the keeper has answered or has failed to.
        """
        leaves_last = self.is_overspending(service, self.reactor.seconds(), workspace)
        self.keeper.ask((service,), leaves_last, on_reply)

    def log_hedges(
        self,
        call: target_calls.TargetCall,
        seconds: float,
        pairs: Sequence[tuple[target_state.TargetState, target_state.TargetState]],
    ) -> None:
        """Log hedges that are about to be sent.

        Args:
            call: The request.
            seconds: Time since the request arrived.
            pairs: For each hedge, the target that is slow and the target of the hedge.
        """
        named = [
            f"{late.replica.target.service}: {late.id}, now {other.id}"
            for late, other in pairs[:MAX_LOGGED_HEDGES]
        ]
        self.log.info(
            "hedge",
            id=call.attempt.decode("latin-1"),
            ms=round(seconds * 1000, 1),
            count=len(pairs),
            targets=named,
        )

    def record_answer(self, route: str, is_remote: bool, started: float, is_hedge: bool) -> None:
        """Record a successful attempt: its latency, or that a hedge won.

        Args:
            route: Name of the route.
            is_remote: Whether its target is in another data hall, or was queried by a gatherer.
            started: When the attempt was sent, in seconds.
            is_hedge: Whether the attempt is a hedge.
        """
        if is_hedge:
            self.counters.hedges_won += 1
        else:
            seconds = self.reactor.seconds() - started
            self.hedges.record(route, is_remote, seconds)
