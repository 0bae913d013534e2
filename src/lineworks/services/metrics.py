"""Prometheus metrics of an instance; docs/operators/metrics.md describes each of them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import prometheus_client
from prometheus_client import core

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from lineworks.engine import front_state, requests, sub_query

MAX_LABEL_VALUES = 50
"""Maximum number of distinct label values, for workspaces and for caller classes each.

Values beyond the limit are counted under `other`.
"""

_BUCKETS = (0.005, 0.01, 0.02, 0.035, 0.05, 0.078, 0.1, 0.15, 0.25, 0.5, 1, 2.5, 5, 10)
_COVERAGE_BUCKETS = (0.0, 0.5, 0.8, 0.9, 0.95, 0.99, 1.0)


class _BoundedLabel:
    """Passes the first `MAX_LABEL_VALUES` distinct values through, and maps the rest to `other`."""

    def __init__(self) -> None:
        self._known: set[str] = set()

    def __call__(self, value: str) -> str:
        if value in self._known:
            return value
        if len(self._known) >= MAX_LABEL_VALUES:
            return "other"
        self._known.add(value)
        return value


class Metrics:
    """The metrics registry of an instance."""

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self._workspace = _BoundedLabel()
        self._class = _BoundedLabel()
        self._seconds = prometheus_client.Histogram(
            "lineworks_query_seconds",
            "Time from admission to answer.",
            ("workspace", "caller_class"),
            buckets=_BUCKETS,
            registry=self.registry,
        )
        self._coverage = prometheus_client.Histogram(
            "lineworks_query_coverage",
            "Share of shards covered by answers.",
            ("caller_class",),
            buckets=_COVERAGE_BUCKETS,
            registry=self.registry,
        )
        self._verdicts = prometheus_client.Counter(
            "lineworks_query_verdicts",
            "Queries by verdict.",
            ("caller_class", "certainty", "reason"),
            registry=self.registry,
        )

    def start(self) -> None:
        """Do nothing; the kernel requires this method of every service."""

    def stop(self) -> None:
        """Do nothing; the kernel requires this method of every service."""

    def observe(
        self, workspace: str, caller_class: str, answer: requests.Answer, seconds: float
    ) -> None:
        """Record an answered query.

        Args:
            workspace: Name of the workspace.
            caller_class: Name of the caller class.
            answer: The answer.
            seconds: Time from admission to the answer, in seconds.
        """
        class_label = self._class(caller_class)
        verdict = answer.verdict
        self._seconds.labels(self._workspace(workspace), class_label).observe(seconds)
        self._verdicts.labels(class_label, verdict.certainty.value, verdict.reason.value).inc()
        if answer.snapshot is not None:
            self._coverage.labels(class_label).observe(answer.coverage.share)

    def add_gauges(self, read: Callable[[], Iterable[tuple[str, str, dict[str, float]]]]) -> None:
        """Export values that services hold themselves, as gauges that are read at each export.

        Args:
            read: Returns, for each metric, its name, its help text, and its values by label.
        """
        self.registry.register(_Collector(read))

    def export(self) -> bytes:
        """Export all metrics.

        Returns:
            The metrics in Prometheus's text exposition format.
        """
        text: bytes = prometheus_client.generate_latest(self.registry)
        return text


class _Collector:
    def __init__(self, read: Callable[[], Iterable[tuple[str, str, dict[str, float]]]]) -> None:
        self._read = read

    def collect(self) -> Iterable[Any]:
        for name, text, values in self._read():
            family = core.GaugeMetricFamily(name, text, labels=("kind",))
            for label, value in sorted(values.items()):
                family.add_metric((label,), value)
            yield family

    def describe(self) -> Iterable[Any]:
        return ()


def engine_metrics(
    front_counters: front_state.Counters, gatherer_counters: sub_query.Counters
) -> Iterable[tuple[str, str, dict[str, float]]]:
    """Return the metrics of the query engine.

    Args:
        front_counters: Counters of the front.
        gatherer_counters: Counters of the gatherer.

    Yields:
        The name, the help text, and the values by label of each metric.
    """
    yield (
        "lineworks_front_events",
        "Counts kept by the front.",
        {name: float(getattr(front_counters, name)) for name in front_counters.__slots__},
    )
    yield (
        "lineworks_gatherer_events",
        "Counts kept by the gatherer.",
        {name: float(getattr(gatherer_counters, name)) for name in gatherer_counters.__slots__},
    )
