"""When a second attempt is started for a sub-query that is slow.

A rule is a closure that is asked at a check time and answers with what to hedge now and when to
ask again. The rule in force is `make_progress_rule`; the others are its baselines, compared in
docs/design/hedging.md.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from collections.abc import Callable

    from lineworks.decisions import estimators

MIN_BUDGET_SHARE = 0.8
"""Share of the hedge budget that the threshold is set to use up when no token is left."""

MAX_BUDGET_SHARE = 1.4
"""Share of the hedge budget that the threshold is set to use up when all tokens are left."""

_FILL_STEPS = 8

MIN_STRAGGLERS = 2
"""Outstanding sub-queries that count as a query's last stragglers in any case."""

MAX_STRAGGLER_SHARE = 0.1
"""Outstanding sub-queries, as a share of all, that count as its last stragglers."""

MIN_CHECK_SECONDS = 0.001
"""Seconds between looks at one message's slow sub-queries at least."""

RECHECK_SECONDS = 0.002
"""Seconds after which a query whose bulk is still out is looked at again."""


@dataclasses.dataclass(frozen=True, slots=True)
class QueryProgress:
    """How far a query is, as seen for one batch of its sub-queries."""

    elapsed: float
    """Seconds since the batch was sent."""

    outstanding: int
    """Sub-queries of the whole query that have no reply yet."""

    total: int
    """All sub-queries of the query."""

    budget_fill: float = 0.5
    """Share (0 to 1) of the hedge tokens that are left."""


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """What a rule says of a batch."""

    should_hedge: bool
    """Whether to hedge the batch's outstanding sub-queries now."""

    check_in: float | None
    """Seconds until the rule wants to be asked again; None for never."""


HedgeRule: TypeAlias = "Callable[[QueryProgress, estimators.Quantiles, float], Decision]"
"""(progress, latencies of batches on this path, hedge budget as a share) to advice."""

NO_HEDGE = Decision(False, None)
"""Advice of a rule that does not hedge."""


def never_hedge(
    progress: QueryProgress, latencies: estimators.Quantiles, budget: float
) -> Decision:
    """Never hedge.

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
    """Make the plain rule: hedge whatever is slower than a fixed percentile.

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
    """Make the rule in force: hedge a query's last stragglers at a threshold set by the budget.

    The threshold is the latency that a share of sub-queries exceeds which would use up the
    budget: more than all of it while tokens are plentiful, less when they run out. A query hedges
    only when few sub-queries are left, since an earlier hedge cannot make its answer ready sooner.

    Args:
        last_share: Outstanding share of a query that counts as its last stragglers.
        least: Share of the budget to aim at when no token is left.
        most: Share of the budget to aim at when all tokens are left.

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
    """Make the rule of the probe: hedge the last few after `factor` times the bulk's time.

    Args:
        factor: Multiple of the median latency.
        last: Outstanding sub-queries that may be hedged.

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
