"""Rules that decide when a slow sub-query is hedged, that is, sent a second time.

A rule is a function that is called at check times and returns whether to hedge now and when to call
it again. `make_progress_rule` makes the rule used in production; the others are baselines. They are
compared in docs/design/hedging.md.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from collections.abc import Callable

    from lineworks.decisions import estimators

MIN_BUDGET_SHARE = 0.8
"""Share of the hedge budget that the threshold aims to spend when no token is left."""

MAX_BUDGET_SHARE = 1.4
"""Share of the hedge budget that the threshold aims to spend when all tokens are left."""

_FILL_STEPS = 8

MIN_STRAGGLERS = 2
"""Number of outstanding sub-queries that always count as a query's stragglers."""

MAX_STRAGGLER_SHARE = 0.1
"""Share of a query's sub-queries up to which the outstanding ones count as stragglers."""

MIN_CHECK_SECONDS = 0.001
"""Minimum interval between hedging checks of one message, in seconds."""

RECHECK_SECONDS = 0.002
"""Seconds after which a query that still has more outstanding sub-queries than stragglers is
checked again."""


@dataclasses.dataclass(frozen=True, slots=True)
class QueryProgress:
    """Progress of a query, as seen by one batch of its sub-queries."""

    elapsed: float
    """Seconds since the batch was sent."""

    outstanding: int
    """Sub-queries of the whole query that have no reply yet."""

    total: int
    """Number of sub-queries of the query."""

    budget_fill: float = 0.5
    """Share (0 to 1) of the hedge tokens that are left."""


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """What a rule decides for a batch."""

    should_hedge: bool
    """Whether to hedge the batch's outstanding sub-queries now."""

    check_in: float | None
    """Seconds until the rule is to be called again; None for never."""


HedgeRule: TypeAlias = "Callable[[QueryProgress, estimators.Quantiles, float], Decision]"
"""Maps (progress, batch latencies on this path, hedge budget as a share) to a decision."""

NO_HEDGE = Decision(False, None)
"""Decision not to hedge and not to check again."""


def never_hedge(
    progress: QueryProgress, latencies: estimators.Quantiles, budget: float
) -> Decision:
    """Never hedge; a baseline.

    Args:
        progress: Unused.
        latencies: Unused.
        budget: Unused.

    Returns:
        `NO_HEDGE`.
    """
    del progress, latencies, budget
    return NO_HEDGE


def make_percentile_rule(share: float) -> HedgeRule:
    """Make a baseline rule that hedges whatever is slower than a fixed percentile.

    Args:
        share: The percentile, for example 0.95.

    Returns:
        The rule.
    """

    def rule(progress: QueryProgress, latencies: estimators.Quantiles, budget: float) -> Decision:
        del budget
        if not latencies.has_samples:
            return NO_HEDGE
        threshold = latencies.quantile(share)
        if progress.elapsed < threshold:
            return Decision(False, threshold - progress.elapsed)
        return Decision(True, None)

    return rule


def make_progress_rule(
    max_straggler_share: float = MAX_STRAGGLER_SHARE,
    min_budget_share: float = MIN_BUDGET_SHARE,
    max_budget_share: float = MAX_BUDGET_SHARE,
) -> HedgeRule:
    """Make the production rule: hedge a query's stragglers beyond a budget-driven threshold.

    The threshold is the latency quantile at which hedging would spend a given share of the budget:
    more than all of it while tokens are plentiful, less when they run out. A query is hedged only
    when few sub-queries are outstanding, since an earlier hedge cannot complete it sooner.

    Args:
        max_straggler_share: Share of a query's sub-queries up to which the outstanding ones
            count as stragglers.
        min_budget_share: Share of the budget to spend when no token is left.
        max_budget_share: Share of the budget to spend when all tokens are left.

    Returns:
        The rule.
    """

    def rule(progress: QueryProgress, latencies: estimators.Quantiles, budget: float) -> Decision:
        if not latencies.has_samples:
            return NO_HEDGE
        fill = round(progress.budget_fill * _FILL_STEPS) / _FILL_STEPS
        target_share = min_budget_share + (max_budget_share - min_budget_share) * fill
        threshold = latencies.quantile(1.0 - budget * target_share)
        if progress.elapsed < threshold:
            return Decision(False, threshold - progress.elapsed)
        if progress.outstanding > max(MIN_STRAGGLERS, progress.total * max_straggler_share):
            return Decision(False, RECHECK_SECONDS)
        return Decision(True, RECHECK_SECONDS)

    return rule


def make_quantile_multiple_rule(
    factor: float = 1.5, max_stragglers: int = MIN_STRAGGLERS
) -> HedgeRule:
    """Make a baseline rule that hedges the last few after `factor` times the 0.9 quantile.

    Args:
        factor: Multiple of the 0.9 quantile of the latency.
        max_stragglers: Outstanding sub-queries that may be hedged.

    Returns:
        The rule.
    """

    def rule(progress: QueryProgress, latencies: estimators.Quantiles, budget: float) -> Decision:
        del budget
        if not latencies.has_samples:
            return NO_HEDGE
        threshold = latencies.quantile(0.9) * factor
        if progress.elapsed < threshold:
            return Decision(False, threshold - progress.elapsed)
        if progress.outstanding > max_stragglers:
            return Decision(False, RECHECK_SECONDS)
        return Decision(True, None)

    return rule
