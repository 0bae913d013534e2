"""Decides when and where to hedge the slow shards of one search, and whether it is worthwhile."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lineworks.decisions import extra_attempts, parts
from lineworks.forwarding import attempts, extra_keeper, search_state

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from lineworks.decisions import routes
    from lineworks.forwarding import front_services, target_state

MAX_SENT_ATTEMPTS = 5
"""Maximum number of attempts per shard that reach a target. Attempts that reach none put no load on
targets, and backoffs keep them rare."""

RECHECK_SECONDS = 0.02
"""Seconds after which shards that could not be hedged are checked again."""

MAX_RECHECKS = 4
"""Maximum number of regular checks of slow shards after the first one."""

INCOMPLETE_RECHECK_SECONDS = 0.1
"""Seconds between checks of slow shards while a search lacks the required coverage. Checks go on
until the deadline: while two instances of a hall were frozen, a search failed at its deadline of
two seconds because no extra attempts were left at the time when it requested them."""

HEDGE_ROUNDS_BEFORE_DUE = 2.0
"""Number of consecutive hedges that should still fit before the answer is due."""

MAX_HEDGE_DELAY_SHARE = 0.5
"""Share of the latency objective after which a slow attempt is hedged at the latest."""

TIMER_TOLERANCE = 0.001
"""Seconds by which a timer may fire early because of clock rounding."""


class SearchHedges:
    """Chooses the hedges of one search."""

    def __init__(
        self,
        shared: front_services.FrontServices,
        route: routes.Route,
        shards: Sequence[search_state.Shard],
        received: parts.PartSet,
        workspace: str = "",
    ) -> None:
        """Create the object; `start` computes the hedge delays.

        Args:
            shared: State shared by all requests of the front.
            route: The route.
            shards: The shards of the search.
            received: The partial results received so far.
            workspace: Workspace of the request; empty for none.
        """
        self._shared = shared
        self._route = route
        self._shards = shards
        self._received = received
        self._workspace = workspace
        self._needed = parts.required_shards(len(shards), route.min_coverage)
        self._started_at = 0.0
        self._due = 0.0
        self._rechecks = 0
        self._without_budget: list[str] = []
        self._is_incomplete = False
        self.local_delay = 0.0
        """Seconds after which an attempt in the local hall is hedged."""
        self.remote_delay = 0.0
        """Seconds after which a remote attempt, or one through a gatherer, is hedged."""
        self.count = 0
        """Number of hedges chosen so far."""
        self.is_started = False
        """Whether the search has begun to query all shards, after any trial."""

    def start(self, now: float, due: float) -> None:
        """Compute the hedge delays for attempts that are sent now.

        Args:
            now: Current time in seconds.
            due: Time by which the answer must be sent to meet the latency objective, in seconds.
        """
        self.is_started = True
        self._started_at = now
        self._due = due
        self.local_delay = self._delay(False)
        self.remote_delay = self._delay(True)

    def choose(self, now: float) -> dict[int, target_state.TargetState]:
        """Choose hedges for slow shards, and charge them to the budget of extra attempts.

        Args:
            now: Current time in seconds.

        Returns:
            The target of each hedge, by position of the shard.
        """
        chosen: dict[int, target_state.TargetState] = {}
        self._without_budget.clear()
        for index, shard in enumerate(self._shards):
            if index not in self._received.covered and self._is_hedge_due(shard, now):
                state = self._choose_hedge(shard, now)
                if state is not None:
                    chosen[index] = state
        self.count += len(chosen)
        self._shared.counters.hedges += len(chosen)
        return chosen

    def request_budget(self, on_reply: Callable[[], None]) -> None:
        """Request the extra attempts that were missing when hedges were last chosen, if any.

        Args:
            on_reply: Called when attempts may have been granted, so that the search chooses again.
        """
        services, self._without_budget = self._without_budget, []
        if not services:
            return
        for shard in self._shards:
            if shard.service in services:
                shard.budget_requests += 1
        self._shared.keeper.ask(services, True, on_reply)

    def next_check(self, now: float) -> float | None:
        """Return when slow shards are to be checked again.

        Args:
            now: Current time in seconds.

        Returns:
            Seconds from now, or None if another check is already scheduled or no more are needed.
        """
        if now < self._started_at + self.remote_delay - TIMER_TOLERANCE:
            return None
        if self._rechecks < MAX_RECHECKS:
            self._rechecks += 1
            return RECHECK_SECONDS
        # Without more results there is no answer at all, so checks go on until the deadline.
        self._is_incomplete = len(self._received.covered) < self._needed
        return INCOMPLETE_RECHECK_SECONDS if self._is_incomplete else None

    def _delay(self, is_remote: bool) -> float:
        """Return the delay after which an attempt is hedged, which leaves time for two hedges.

        Waiting longer than a typical response time costs nothing as long as a hedge, and one more
        attempt after it, can still finish before the answer is due. Most slow attempts finish by
        themselves in that time.
        """
        hedge_seconds = self._shared.book.usual_answer(shard.service for shard in self._shards)
        left = self._due - self._started_at
        latest = min(
            MAX_HEDGE_DELAY_SHARE * self._route.slo, left - HEDGE_ROUNDS_BEFORE_DUE * hedge_seconds
        )
        return max(self._usual_delay(is_remote), latest)

    def _usual_delay(self, is_remote: bool) -> float:
        """Return the delay after which an attempt counts as slow, whatever time is left."""
        return self._shared.hedges.delay(self._route.name, is_remote, self._route.slo)

    def _is_hedge_due(self, shard: search_state.Shard, now: float) -> bool:
        if len(shard.running) != 1 or shard.sent >= MAX_SENT_ATTEMPTS:
            return False
        attempt = shard.running[0]
        # A gatherer, in the local hall too, holds results until the remote delay is over.
        is_remote = attempt.is_remote(self._shared.hall)
        delay = self.remote_delay if is_remote else self.local_delay
        if attempt.started > self._started_at:
            # An earlier attempt failed, so less time is left than the extended delay assumes.
            delay = min(delay, self._usual_delay(is_remote))
        return now >= attempt.started + delay - TIMER_TOLERANCE

    def _choose_hedge(
        self, shard: search_state.Shard, now: float
    ) -> target_state.TargetState | None:
        """Choose the target of a hedge and charge it to the budget.

        Returns None if no target is eligible, the hedge would come too late, or no extra attempt is
        left.
        """
        book = self._shared.book
        max_targets = self._route.max_attempts
        state = shard.choose(book, self._route, now)
        if state is None:
            # A target that failed or was full may be usable by now.
            shard.tried = {attempt.state.id for attempt in shard.running}
            state = shard.choose(book, self._route, now)
        if state is None:
            is_left = attempts.has_target_left(shard.all_attempts, max_targets)
            reason = search_state.NotHedged
            shard.not_hedged = reason.NO_TARGET if is_left else reason.LIMIT
            return None
        is_enough = len(self._received.covered) >= self._needed
        if is_enough and now + book.min_seconds(state) > self._due:
            shard.not_hedged = search_state.NotHedged.TOO_LATE
            return None
        reserve = extra_attempts.RESERVED_FOR_RETRIES
        if not self._shared.try_spend(shard.service, now, reserve, self._workspace):
            shard.not_hedged = search_state.NotHedged.NO_BUDGET
            if self._shared.is_overspending(shard.service, now, self._workspace):
                return None
            if shard.budget_requests < extra_keeper.MAX_ASKS or self._is_incomplete:
                self._without_budget.append(shard.service)
            return None
        shard.is_hedged = True
        return state
