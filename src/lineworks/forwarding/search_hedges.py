"""Second attempts at the late shards of one search: when, where, and whether they are worth it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lineworks.decisions import extra_attempts, parts
from lineworks.forwarding import attempts, extra_keeper, search_state

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from lineworks.decisions import routes
    from lineworks.forwarding import target_state, tools

MOST_SENT = 5
"""Attempts at one shard that reach a target. Those that reach none cost it nothing, and pauses keep
them rare."""

RECHECK_SECONDS = 0.02
"""Seconds after which shards that could not be hedged are looked at again."""

MOST_RECHECKS = 4
"""Looks at late shards after the first."""

LACKING_RECHECK_SECONDS = 0.1
"""Seconds between looks at the late shards of a search that has too few parts to be answered. While
two instances of a hall were frozen, a search ended at its deadline of two seconds because the extra
attempts had been used up when it asked for them."""

HEDGES_IN_TIME = 2.0
"""Hedges, one after the other, that should still be in time for the answer."""

MOST_HEDGE_SHARE = 0.5
"""Share of the aim after which a hedge is sent in any case."""

TIMER_SLACK = 0.001
"""Seconds that a timer may fire early by the rounding of clocks."""


class SearchHedges:
    """The hedges of one search."""

    def __init__(
        self,
        shared: tools.Tools,
        route: routes.Route,
        shards: Sequence[search_state.Shard],
        found: parts.PartSet,
        workspace: str = "",
    ) -> None:
        """Start with nothing due.

        Args:
            shared: What the front's requests share.
            route: The route.
            shards: The search's shards.
            found: The parts that are in.
            workspace: Workspace that it is for; empty for none.
        """
        self._shared = shared
        self._route = route
        self._shards = shards
        self._found = found
        self._workspace = workspace
        self._needed = parts.required_shards(len(shards), route.min_coverage)
        self._began = 0.0
        self._aim_at = 0.0
        self._rechecks = 0
        self._lacking: list[str] = []
        self._is_lacking = False
        self.local_delay = 0.0
        """Seconds after which an attempt in the own hall is late."""
        self.remote_delay = 0.0
        """Seconds after which an attempt in another hall is late."""
        self.count = 0
        """Hedges chosen so far."""
        self.is_begun = False
        """Whether the shards have been asked."""

    def begin(self, now: float, aim_at: float) -> None:
        """Decide when attempts that are sent now are late.

        Args:
            now: The present, in seconds.
            aim_at: When the answer is due.
        """
        self.is_begun = True
        self._began = now
        self._aim_at = aim_at
        self.local_delay = self._delay(False)
        self.remote_delay = self._delay(True)

    def choose(self, now: float) -> dict[int, target_state.TargetState]:
        """Choose hedges for the shards that are late, and pay for them.

        Args:
            now: The present, in seconds.

        Returns:
            Positions of shards, each with the target to ask.
        """
        chosen: dict[int, target_state.TargetState] = {}
        self._lacking.clear()
        for index, shard in enumerate(self._shards):
            if index not in self._found.covered and self._is_due(shard, now):
                state = self._hedge(shard, now)
                if state is not None:
                    chosen[index] = state
        self.count += len(chosen)
        self._shared.counters.hedges += len(chosen)
        return chosen

    def ask_for_more(self, on_reply: Callable[[], None]) -> None:
        """Ask for the extra attempts that were lacking at the last choice, if any were.

        Args:
            on_reply: Called when they may have come, so that the search chooses again.
        """
        lacking, self._lacking = self._lacking, []
        if not lacking:
            return
        for shard in self._shards:
            if shard.service in lacking:
                shard.asks += 1
        self._shared.keeper.ask(lacking, True, on_reply)

    def next_look(self, now: float) -> float | None:
        """Tell when to look again.

        Args:
            now: The present, in seconds.

        Returns:
            Seconds from now, or None when another look is planned already or there were enough.
        """
        if now < self._began + self.remote_delay - TIMER_SLACK:
            return None
        if self._rechecks < MOST_RECHECKS:
            self._rechecks += 1
            return RECHECK_SECONDS
        # Without more parts there is no answer at all, so it asks on until its deadline.
        self._is_lacking = len(self._found.covered) < self._needed
        return LACKING_RECHECK_SECONDS if self._is_lacking else None

    def _delay(self, is_remote: bool) -> float:
        """Tell after how long an attempt is hedged: late, but with time for two more.

        Waiting longer than a usual answer takes costs nothing while a hedge, and another try after
        it, still come before the answer is due; and most slow attempts end by themselves.
        """
        one_hedge = self._shared.book.usual_answer(shard.service for shard in self._shards)
        left = self._aim_at - self._began
        latest = min(MOST_HEDGE_SHARE * self._route.slo, left - HEDGES_IN_TIME * one_hedge)
        return max(self._usual_delay(is_remote), latest)

    def _usual_delay(self, is_remote: bool) -> float:
        """Tell after how long an attempt counts as late, whatever time is left."""
        return self._shared.hedges.delay(self._route.name, is_remote, self._route.slo)

    def _is_due(self, shard: search_state.Shard, now: float) -> bool:
        if len(shard.running) != 1 or shard.sent >= MOST_SENT:
            return False
        attempt = shard.running[0]
        # A gatherer keeps the parts of its targets together until then, also in the own hall.
        is_remote = attempt.is_remote(self._shared.hall)
        delay = self.remote_delay if is_remote else self.local_delay
        if attempt.started > self._began:
            # An earlier attempt failed, so less time is left than the delay counts on.
            delay = min(delay, self._usual_delay(is_remote))
        return now >= attempt.started + delay - TIMER_SLACK

    def _hedge(self, shard: search_state.Shard, now: float) -> target_state.TargetState | None:
        """Choose the target of a hedge, if it could be in time and an attempt is left for it."""
        book = self._shared.book
        most = self._route.max_attempts
        state = shard.choose(book, self._route, now)
        if state is None:
            # A target that failed, or had no room, may do by now.
            shard.tried = {attempt.state.id for attempt in shard.running}
            state = shard.choose(book, self._route, now)
        if state is None:
            is_left = attempts.has_target_left(shard.made, most)
            reason = search_state.NotHedged
            shard.not_hedged = reason.NO_TARGET if is_left else reason.LIMIT
            return None
        is_enough = len(self._found.covered) >= self._needed
        if is_enough and now + book.least(state) > self._aim_at:
            shard.not_hedged = search_state.NotHedged.TOO_LATE
            return None
        kept = extra_attempts.RESERVED_FOR_RETRIES
        if not self._shared.may_spend(shard.service, now, kept, self._workspace):
            shard.not_hedged = search_state.NotHedged.NO_BUDGET
            if self._shared.is_overspending(shard.service, now, self._workspace):
                return None
            if shard.asks < extra_keeper.MAX_ASKS or self._is_lacking:
                self._lacking.append(shard.service)
            return None
        shard.is_hedged = True
        return state
