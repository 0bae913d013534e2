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

LEAST_SHARE = 0.8
"""Share of the hedge budget that the threshold is set to use up when no token is left."""

MOST_SHARE = 1.4
"""Share of the hedge budget that the threshold is set to use up when all tokens are left."""

_FILL_STEPS = 8

MIN_LAST = 2
"""Outstanding sub-queries that count as a query's last stragglers in any case."""

LAST_SHARE = 0.1
"""Outstanding sub-queries, as a share of all, that count as its last stragglers."""

LEAST_CHECK = 0.001
"""Seconds between looks at one message's slow sub-queries at least."""

WAIT_FOR_BULK = 0.002
"""Seconds after which a query whose bulk is still out is looked at again."""


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
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
class Advice:
    """What a rule says of a batch."""

    should_hedge: bool
    """Whether to hedge the batch's outstanding sub-queries now."""

    check_in: float | None
    """Seconds until the rule wants to be asked again; None for never."""


Rule: TypeAlias = "Callable[[Progress, estimators.Quantiles, float], Advice]"
"""(progress, latencies of batches on this path, hedge budget as a share) to advice."""

NEVER = Advice(False, None)
"""Advice of a rule that does not hedge."""


def never(progress: Progress, latencies: estimators.Quantiles, budget: float) -> Advice:
    """Never hedge.

    Args:
        progress: Unused.
        latencies: Unused.
        budget: Unused.

    Returns:
        `NEVER`.
    """
    del progress, latencies, budget
    return NEVER


def make_percentile_rule(share: float) -> Rule:
    """Make the plain rule: hedge whatever is slower than a fixed percentile.

    Args:
        share: The percentile, for example 0.95.

    Returns:
        The rule.
    """

    def rule(progress: Progress, latencies: estimators.Quantiles, budget: float) -> Advice:
        del budget
        if not latencies.has_samples:
            return NEVER
        threshold = latencies.quantile(share)
        if progress.elapsed < threshold:
            return Advice(False, threshold - progress.elapsed)
        return Advice(True, None)

    return rule


def make_progress_rule(
    last_share: float = LAST_SHARE, least: float = LEAST_SHARE, most: float = MOST_SHARE
) -> Rule:
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

    def rule(progress: Progress, latencies: estimators.Quantiles, budget: float) -> Advice:
        if not latencies.has_samples:
            return NEVER
        fill = round(progress.budget_fill * _FILL_STEPS) / _FILL_STEPS
        aim = least + (most - least) * fill
        threshold = latencies.quantile(1.0 - budget * aim)
        if progress.elapsed < threshold:
            return Advice(False, threshold - progress.elapsed)
        if progress.outstanding > max(MIN_LAST, progress.total * last_share):
            return Advice(False, WAIT_FOR_BULK)
        return Advice(True, WAIT_FOR_BULK)

    return rule


def make_bulk_rule(factor: float = 1.5, last: int = MIN_LAST) -> Rule:
    """Make the rule of the probe: hedge the last few after `factor` times the bulk's time.

    Args:
        factor: Multiple of the median latency.
        last: Outstanding sub-queries that may be hedged.

    Returns:
        The rule.
    """

    def rule(progress: Progress, latencies: estimators.Quantiles, budget: float) -> Advice:
        del budget
        if not latencies.has_samples:
            return NEVER
        threshold = latencies.quantile(0.9) * factor
        if progress.elapsed < threshold:
            return Advice(False, threshold - progress.elapsed)
        if progress.outstanding > last:
            return Advice(False, WAIT_FOR_BULK)
        return Advice(True, None)

    return rule
