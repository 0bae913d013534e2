"""Metrics of one instance, with labels of bounded number."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import prometheus_client
from prometheus_client import core

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from lineworks.decisions import routes
    from lineworks.forwarding import outcome

MAX_ROUTES = 50
"""Routes that get a label of their own; later ones are counted as `other`."""

_BUCKETS = (0.01, 0.025, 0.05, 0.084, 0.111, 0.132, 0.2, 0.233, 0.4, 0.7, 1, 2, 6)


class RequestMetrics:
    """Counts and times of requests by route."""

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self._routes: set[str] = set()
        self._seconds = prometheus_client.Histogram(
            "lineworks_request_seconds",
            "Time from a request's first byte to its answer.",
            ("route",),
            buckets=_BUCKETS,
            registry=self.registry,
        )
        self._ends = prometheus_client.Counter(
            "lineworks_requests",
            "Requests by how they ended.",
            ("route", "status", "reason"),
            registry=self.registry,
        )
        self._missing = prometheus_client.Counter(
            "lineworks_missing_shards",
            "Shards that answers left out.",
            ("route",),
            registry=self.registry,
        )

    def on_end(self, route: routes.Route | None, found: outcome.Outcome, seconds: float) -> None:
        """Count a request.

        Args:
            route: Its route, if one was found.
            found: How it ended.
            seconds: How long it took.
        """
        label = self._label(route)
        self._seconds.labels(label).observe(seconds)
        self._ends.labels(label, str(found.answer.status), found.verdict.reason.value).inc()
        if found.covered < found.total:
            self._missing.labels(label).inc(found.total - found.covered)

    def on_caller_gone(self, route: routes.Route) -> None:
        """Count a request whose caller left.

        Args:
            route: Its route.
        """
        self._ends.labels(self._label(route), "0", "cancelled").inc()

    def collect_from(self, read: Callable[[], Mapping[str, Mapping[str, float]]]) -> None:
        """Export counts that others keep.

        Args:
            read: Tells, for each metric, values by kind.
        """
        self.registry.register(_Collector(read))

    def export(self) -> bytes:
        """Write all metrics in Prometheus's text form."""
        text: bytes = prometheus_client.generate_latest(self.registry)
        return text

    def _label(self, route: routes.Route | None) -> str:
        if route is None:
            return "none"
        if route.name not in self._routes:
            if len(self._routes) >= MAX_ROUTES:
                return "other"
            self._routes.add(route.name)
        return route.name


class _Collector:
    def __init__(self, read: Callable[[], Mapping[str, Mapping[str, float]]]) -> None:
        self._read = read

    def collect(self) -> Iterable[Any]:
        for name, values in self._read().items():
            family = core.GaugeMetricFamily(name, "See docs/OPERATIONS.md.", labels=("kind",))
            for kind, value in sorted(values.items()):
                family.add_metric((kind,), float(value))
            yield family

    def describe(self) -> Iterable[Any]:
        return ()
