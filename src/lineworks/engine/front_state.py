"""What a front may be told to do differently, and what it counts."""

from __future__ import annotations

import dataclasses

from lineworks.decisions import hedging


@dataclasses.dataclass(frozen=True, slots=True)
class Tuning:
    """Choices of a front that the bench varies."""

    hedge: hedging.HedgeRule = dataclasses.field(default_factory=hedging.make_progress_rule)
    """When sub-queries are hedged in another hall."""

    is_admitting: bool = True
    """Whether queries are limited and queued; otherwise all start at once."""

    is_routing_by_load: bool = True
    """Whether halls are chosen by expected time; otherwise by chance."""

    hedge_budget: float | None = None
    """Overrides the policies' hedge budgets."""

    avoids_silent: bool = True
    """Whether gatherers that have fallen silent are passed over."""


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
    """Hedges sent to another hall."""

    retries: int = 0
    """Sub-queries sent again to another owner."""

    resent: int = 0
    """Sub-queries sent elsewhere because their gatherer had fallen silent."""

    restarts: int = 0
    """Queries started again on another snapshot."""

    late_replies: int = 0
    """Replies dropped because their sub-query was over or unknown."""

    wrong_snapshot: int = 0
    """Replies dropped because they came from another snapshot."""
