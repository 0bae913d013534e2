"""Metrics of one instance, with bounded label cardinality.

Requests are counted in plain numbers here. The Prometheus client library formats them; it is
imported on the first export, because the import takes a tenth of the start-up time of a process and
some instances are never scraped.
"""

from __future__ import annotations

import bisect
import collections
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from lineworks.decisions import routes
    from lineworks.forwarding import outcome

MAX_ROUTES = 50
"""Maximum number of routes with their own label; further ones are counted as `other`."""

MAX_WORKSPACES = 100
"""Maximum number of workspaces with their own label; further ones are counted as `other`."""

_OTHER = "other"

BUCKETS = (0.01, 0.025, 0.05, 0.084, 0.111, 0.132, 0.2, 0.233, 0.4, 0.7, 1.0, 2.0, 6.0)
"""Upper bounds of the histogram's buckets, in seconds: the SLOs and deadlines that the users
require, and round values between them."""


class _LatencyHistogram:
    """Latency histogram of one route or workspace."""

    __slots__ = ("buckets", "total")

    def __init__(self) -> None:
        self.buckets = [0] * (len(BUCKETS) + 1)
        self.total = 0.0

    def record(self, seconds: float) -> None:
        """Add one request."""
        self.buckets[bisect.bisect_left(BUCKETS, seconds)] += 1
        self.total += seconds

    def cumulative(self) -> list[tuple[str, float]]:
        """Return the cumulative buckets: for each upper bound, the requests that took no longer."""
        bounds = [*(str(bound) for bound in BUCKETS), "+Inf"]
        rows = []
        count = 0
        for bound, found in zip(bounds, self.buckets, strict=True):
            count += found
            rows.append((bound, float(count)))
        return rows


class RequestMetrics:
    """Request counts and latencies by route and by workspace."""

    def __init__(self) -> None:
        self._routes: set[str] = set()
        self._latencies: dict[str, _LatencyHistogram] = {}
        self._workspaces: set[str] = set()
        self._workspace_latencies: dict[str, _LatencyHistogram] = {}
        self._workspace_outcomes: collections.Counter[tuple[str, str, str]] = collections.Counter()
        self._outcomes: collections.Counter[tuple[str, str, str]] = collections.Counter()
        self._missing_shards: collections.Counter[str] = collections.Counter()
        self._over_limit: collections.Counter[str] = collections.Counter()
        self._gauge_sources: list[Callable[[], Mapping[str, Mapping[str, float]]]] = []

    def on_end(
        self,
        route: routes.Route | None,
        found: outcome.Outcome,
        seconds: float,
        workspace: str | None = None,
    ) -> None:
        """Count a request that was answered.

        Args:
            route: Its route; None if none matched.
            found: Its outcome.
            seconds: Its latency.
            workspace: Name of its workspace, if it has one.
        """
        status, reason = str(found.answer.status), found.verdict.reason.value
        if workspace is not None:
            self._count_workspace(workspace, status, reason, seconds)
        label = self._label(route)
        _record(self._latencies, label, seconds)
        self._outcomes[(label, status, reason)] += 1
        if found.covered < found.total:
            self._missing_shards[label] += found.total - found.covered
        if found.over_limit:
            self._over_limit[label] += 1

    def _count_workspace(
        self, workspace: str, status: str, reason: str, seconds: float | None = None
    ) -> None:
        label = _bounded_label(self._workspaces, workspace, MAX_WORKSPACES)
        self._workspace_outcomes[(label, status, reason)] += 1
        if seconds is not None:
            _record(self._workspace_latencies, label, seconds)

    def on_caller_gone(self, route: routes.Route, workspace: str | None = None) -> None:
        """Count a request whose caller closed the connection.

        Args:
            route: Its route.
            workspace: Name of its workspace, if it has one.
        """
        if workspace is not None:
            self._count_workspace(workspace, "0", "cancelled")
        self._outcomes[(self._label(route), "0", "cancelled")] += 1

    def on_cut(self, route: routes.Route, workspace: str | None = None) -> None:
        """Count a request that was aborted because this process exited.

        Args:
            route: Its route.
            workspace: Name of its workspace, if it has one.
        """
        if workspace is not None:
            self._count_workspace(workspace, "0", "cut")
        self._outcomes[(self._label(route), "0", "cut")] += 1

    def collect_from(self, read: Callable[[], Mapping[str, Mapping[str, float]]]) -> None:
        """Add a source of gauges that are kept elsewhere.

        Args:
            read: Returns, for each metric, its values by kind.
        """
        self._gauge_sources.append(read)

    def export(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        import prometheus_client

        registry = prometheus_client.CollectorRegistry()
        registry.register(self)  # type: ignore[arg-type]
        text: bytes = prometheus_client.generate_latest(registry)
        return text

    def collect(self) -> Iterable[Any]:
        """Yield all metric families, for the Prometheus client library."""
        from prometheus_client import core

        yield _histogram_family(
            "lineworks_request_seconds",
            "Time from a request's first byte to its answer.",
            "route",
            self._latencies,
        )
        yield _outcome_family(
            "lineworks_requests", "Requests by how they ended.", "route", self._outcomes
        )
        missing = core.CounterMetricFamily(
            "lineworks_missing_shards", "Shards that answers left out.", labels=("route",)
        )
        for route, count in self._missing_shards.items():
            missing.add_metric((route,), float(count))
        yield missing
        over_limit = core.CounterMetricFamily(
            "lineworks_attempts_over_limit",
            "Requests that more targets may have run than their route allows.",
            labels=("route",),
        )
        for route, count in self._over_limit.items():
            over_limit.add_metric((route,), float(count))
        yield over_limit
        if self._workspaces:
            yield from self._by_workspace()
        for read in self._gauge_sources:
            yield from _gauge_families(read())

    def _by_workspace(self) -> Iterable[Any]:
        yield _outcome_family(
            "lineworks_workspace_requests",
            "Requests of workspaces by how they ended.",
            "workspace",
            self._workspace_outcomes,
        )
        yield _histogram_family(
            "lineworks_workspace_seconds",
            "Time from a request's first byte to its answer, by workspace.",
            "workspace",
            self._workspace_latencies,
        )

    def describe(self) -> Iterable[Any]:
        """Describe no metrics, so that the Prometheus client library collects only on export."""
        return ()

    def _label(self, route: routes.Route | None) -> str:
        if route is None:
            return "none"
        return _bounded_label(self._routes, route.name, MAX_ROUTES)


def _bounded_label(known: set[str], name: str, limit: int) -> str:
    """Return the label of a name: the first `limit` names get their own, later ones share one.

    Args:
        known: Names with their own label; this one is added unless the limit is reached.
        name: The name.
        limit: Maximum number of names with their own label.
    """
    if name not in known:
        if len(known) >= limit:
            return _OTHER
        known.add(name)
    return name


def _record(found: dict[str, _LatencyHistogram], label: str, seconds: float) -> None:
    """Record a request's latency under a label."""
    times = found.get(label)
    if times is None:
        times = found[label] = _LatencyHistogram()
    times.record(seconds)


def _histogram_family(
    name: str, text: str, label: str, found: Mapping[str, _LatencyHistogram]
) -> Any:
    from prometheus_client import core

    family = core.HistogramMetricFamily(name, text, labels=(label,))
    for value, times in found.items():
        family.add_metric((value,), times.cumulative(), times.total)
    return family


def _outcome_family(
    name: str, text: str, label: str, found: Mapping[tuple[str, str, str], int]
) -> Any:
    from prometheus_client import core

    family = core.CounterMetricFamily(name, text, labels=(label, "status", "reason"))
    for values, count in found.items():
        family.add_metric(values, float(count))
    return family


def _gauge_families(found: Mapping[str, Mapping[str, float]]) -> Iterable[Any]:
    from prometheus_client import core

    for name, values in found.items():
        family = core.GaugeMetricFamily(name, "See docs/OPERATIONS.md.", labels=("kind",))
        for kind, value in sorted(values.items()):
            family.add_metric((kind,), float(value))
        yield family
