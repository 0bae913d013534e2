"""Options and counters of a front."""

from __future__ import annotations

import dataclasses

from lineworks.decisions import hedging


@dataclasses.dataclass(frozen=True, slots=True)
class Tuning:
    """Options of a front; the benchmarks compare their settings."""

    hedge: hedging.HedgeRule = dataclasses.field(default_factory=hedging.make_progress_rule)
    """Rule that decides when sub-queries are hedged in another hall."""

    uses_admission: bool = True
    """Whether admission control limits and queues queries; otherwise all start at once."""

    routes_by_load: bool = True
    """Whether halls are selected by expected latency; otherwise at random."""

    hedge_budget: float | None = None
    """Hedges allowed as a share of sub-queries; None to use the budget of each policy."""

    avoids_unresponsive: bool = True
    """Whether gatherers that have stopped replying are avoided and their sub-queries resent."""


@dataclasses.dataclass(slots=True)
class Counters:
    """Event counts of a front, exported as metrics under the names of the attributes."""

    queries: int = 0
    """Queries received."""

    refused: int = 0
    """Queries refused, or cancelled before they started."""

    sub_queries: int = 0
    """Sub-queries created."""

    hedges: int = 0
    """Sub-queries hedged in another hall."""

    retries: int = 0
    """Sub-queries sent to another owner after a failure."""

    resent: int = 0
    """Sub-queries sent to another owner because their gatherer stopped replying."""

    restarts: int = 0
    """Queries restarted on another snapshot."""

    late_replies: int = 0
    """Replies dropped because their sub-query was done or unknown."""

    wrong_snapshot: int = 0
    """Replies dropped because they came from another snapshot."""
