"""What a front makes of a query: what is in its way, what it has reached, and its answer."""

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
"""Seconds after which a refused caller may ask again at the earliest."""


def check_search(
    config: catalog.Catalog, match: selectors.Match, group: catalog.Group
) -> verdict.Verdict | None:
    """Say why a search can't be planned.

    Args:
        config: The configuration.
        match: The selector that matches it, if any.
        group: The group that the selector names.

    Returns:
        A verdict, or None when nothing is in the way.
    """
    if not config.version:
        return verdict.not_run(verdict.Reason.NOT_READY, "no configuration yet")
    if match.selector is None:
        return verdict.not_run(verdict.Reason.NO_SELECTOR, "no selector matches the query")
    if not group.services:
        return verdict.not_run(verdict.Reason.NO_SERVICE, f"no service carries {group.name}")
    return None


def check_run(config: catalog.Catalog, is_known: bool, service: str) -> verdict.Verdict | None:
    """Say why a request to one service can't be planned.

    Args:
        config: The configuration.
        is_known: Whether it has the service.
        service: Name of the service.

    Returns:
        A verdict, or None when nothing is in the way.
    """
    if not config.version:
        return verdict.not_run(verdict.Reason.NOT_READY, "no configuration yet")
    if not is_known:
        return verdict.not_run(verdict.Reason.NO_SERVICE, f"there is no service {service}")
    return None


def compute_coverage(query: queries.Query) -> coverage.Coverage:
    """Tell which shards a query has and lacks.

    Args:
        query: The query.

    Returns:
        Its coverage, with a verdict for each shard that is lacking.
    """
    covered = []
    lacking = {}
    cancelled = verdict.may_have_run(verdict.Reason.CANCELLED, "given up with the query")
    for shard in query.shards:
        result = shard.verdict
        if result is not None and result.is_ok:
            covered.append(shard.shard)
        else:
            lacking[shard.shard] = result or cancelled
    return coverage.Coverage(tuple(covered), lacking)


def combine_failures(first: verdict.Verdict | None, second: verdict.Verdict) -> verdict.Verdict:
    """Keep the verdict that says less surely that nothing ran; the later one of equals.

    Args:
        first: The verdict so far, if any.
        second: The later one.

    Returns:
        One of them.
    """
    if first is None or not second.is_not_run or first.is_not_run:
        return second
    return first


def unreachable_verdict(
    view: views.ClusterView, query: queries.Query, shard: queries.Shard
) -> verdict.Verdict:
    """Say why no owner is left to ask for a shard.

    Args:
        view: What the front knows of owners and their snapshots.
        query: The query.
        shard: The shard.

    Returns:
        A verdict that it has not run.
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
    """Make the answer to a query.

    Args:
        query: The query.
        found: What is known of it.
        shard_coverage: The shards that it has and lacks.
        bodies: The body of each shard that it has.

    Returns:
        The answer, with a time to come back for an overloaded caller.
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
