"""Planning checks, shard coverage and verdicts of a query, and its answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lineworks.decisions import coverage, verdict
from lineworks.engine import requests

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lineworks.decisions import catalog, selectors
    from lineworks.engine import query as queries
    from lineworks.engine import views

MIN_RETRY_AFTER = 0.05
"""Minimum retry delay, in seconds, that is returned to a refused caller."""


def check_search(
    config: catalog.Catalog, match: selectors.Match, group: catalog.Group
) -> verdict.Verdict | None:
    """Check whether a search can be planned.

    Args:
        config: The configuration.
        match: The result of matching the search with the selectors.
        group: The group that the selector names.

    Returns:
        A `NOT_RUN` verdict with the reason; None when it can be planned.
    """
    if not config.version:
        return verdict.not_run(verdict.Reason.NOT_READY, "no configuration yet")
    if match.selector is None:
        return verdict.not_run(verdict.Reason.NO_SELECTOR, "no selector matches the query")
    if not group.services:
        return verdict.not_run(verdict.Reason.NO_SERVICE, f"no service carries {group.name}")
    return None


def check_run(config: catalog.Catalog, is_known: bool, service: str) -> verdict.Verdict | None:
    """Check whether a request to one service can be planned.

    Args:
        config: The configuration.
        is_known: Whether the configuration has the service.
        service: Name of the service.

    Returns:
        A `NOT_RUN` verdict with the reason; None when it can be planned.
    """
    if not config.version:
        return verdict.not_run(verdict.Reason.NOT_READY, "no configuration yet")
    if not is_known:
        return verdict.not_run(verdict.Reason.NO_SERVICE, f"there is no service {service}")
    return None


def compute_coverage(query: queries.Query) -> coverage.Coverage:
    """Compute which shards have replied to a query.

    Args:
        query: The query.

    Returns:
        The covered shards, and a verdict for each shard without a successful reply.
    """
    covered = []
    missing = {}
    cancelled = verdict.may_have_run(verdict.Reason.CANCELLED, "given up with the query")
    for shard in query.shards:
        result = shard.verdict
        if result is not None and result.is_ok:
            covered.append(shard.shard)
        else:
            missing[shard.shard] = result or cancelled
    return coverage.Coverage(tuple(covered), missing)


def combine_failures(first: verdict.Verdict | None, second: verdict.Verdict) -> verdict.Verdict:
    """Combine the verdicts of two failures of a sub-query.

    A verdict that the sub-query ran, or may have run, takes precedence over `NOT_RUN`; otherwise
    the later verdict does.

    Args:
        first: The verdict so far, if any.
        second: The later verdict.

    Returns:
        One of the two verdicts.
    """
    if first is None or not second.is_not_run or first.is_not_run:
        return second
    return first


def unreachable_verdict(
    view: views.ClusterView, query: queries.Query, shard: queries.Shard
) -> verdict.Verdict:
    """Explain why no owner is available for a shard.

    Args:
        view: The front's view of owners and their snapshots.
        query: The query.
        shard: The shard.

    Returns:
        A `NOT_RUN` verdict with the reason.
    """
    if shard.tried_owners and view.paths(shard.service, query.snapshot):
        return verdict.not_run(verdict.Reason.UNREACHABLE, "no other owner is left to ask")
    if query.needs_snapshot and view.paths(shard.service, None):
        detail = f"no replica is known to hold {query.snapshot} any more"
        return verdict.not_run(verdict.Reason.SNAPSHOT_GONE, detail)
    return verdict.not_run(verdict.Reason.NO_REPLICA, "no data hall can serve it")


def build_answer(
    query: queries.Query,
    result: verdict.Verdict,
    shard_coverage: coverage.Coverage,
    bodies: Mapping[str, bytes],
) -> requests.Answer:
    """Build the answer to a query.

    Args:
        query: The query.
        result: The verdict of the query.
        shard_coverage: The shards that replied, and those that didn't.
        bodies: The reply of each covered shard.

    Returns:
        The answer; when the front is overloaded, with the time after which to retry.
    """
    retry_after = None
    if result.reason is verdict.Reason.OVERLOADED:
        retry_after = max(MIN_RETRY_AFTER, query.policy.target_latency)
    return requests.Answer(
        query.id,
        result,
        query.snapshot,
        query.config.version,
        shard_coverage,
        bodies,
        retry_after,
    )
