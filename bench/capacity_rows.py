"""Works the rows of docs/CAPACITY.md out that rest on `bench.slopes`: a slope times a size each."""

from __future__ import annotations

import dataclasses
from typing import Any

_DAY = 86_400.0


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """The fleet that the letter names."""

    nodes: int = 2100
    halls: int = 9
    replicas: int = 13_000
    replicas_each: int = 2
    queries: float = 410_000.0
    fanout: int = 820
    changes_a_day: float = 10_000.0
    restarts_a_day: float = 3264.0
    processor_share: float = 0.021
    memory_mb: float = 32.0
    bytes_per_second: float = 5000.0

    @property
    def services(self) -> int:
        """Services, each with two replicas."""
        return self.replicas // self.replicas_each

    @property
    def hall_nodes(self) -> float:
        """Instances of one hall."""
        return self.nodes / self.halls

    @property
    def sub_queries(self) -> float:
        """Sub-queries a second that one front plans, and one gatherer gets."""
        return self.queries * self.fanout / self.nodes


WIRE_FRONT_US = 81.0
"""Processor time of a front for one sub-query by relay at fan-out 820, by `make bench-wire`."""

WIRE_GATHERER_US = 342.0
"""Processor time of a gatherer for one sub-query by relay at fan-out 820, by `make bench-wire`."""


def ratio(value: float, allowed: float) -> str:
    """Hold a value against what is allowed.

    Args:
        value: The value.
        allowed: The greatest that is allowed, in the same unit.

    Returns:
        Words for a cell.
    """
    share = value / allowed
    return "reached" if share <= 1.0 else f"{share:.1f} times too much"


def load_rows(size: Size) -> list[tuple[object, ...]]:
    """Work out what searches cost a node at the size.

    Args:
        size: The fleet.

    Returns:
        Cells of each row.
    """
    rate = size.sub_queries
    front = rate * WIRE_FRONT_US / 1e6
    gatherer = rate * WIRE_GATHERER_US / 1e6
    per_target = size.queries * size.fanout / size.replicas
    return [
        ("front", f"{rate:,.0f} sub-queries/s", f"{front:.1f} cores", "frames per query and owner"),
        (
            "gatherer",
            f"{rate:,.0f} sub-queries/s",
            f"{gatherer:.1f} cores",
            "pooled connections; batching to targets is not built",
        ),
        ("target", f"{per_target:,.0f} sub-queries/s", "the target's", "needs batching"),
    ]


def memory_rows(size: Size, found: dict[str, Any]) -> list[tuple[object, ...]]:
    """Work out what state takes in memory.

    Args:
        size: The fleet.
        found: The figures of `bench.slopes`.

    Returns:
        Cells of each row.
    """
    each = found["memory_bytes"]
    owned = size.replicas / size.halls * 3 / size.hall_nodes
    rows: list[tuple[str, int, float, str]] = [
        ("targets owned", round(owned), each["target_at_owner"], "rendezvous ownership"),
        ("services in the catalog", size.services, each["service_in_catalog"], "whole catalog"),
        ("holdings", size.services * 3, each["holding_of_service"], "told by owners"),
        ("members", size.nodes, each["member"], "whole list"),
    ]
    return [
        (name, count, f"{one:,.0f}", f"{count * one / 1e6:.2f}", how)
        for name, count, one, how in rows
    ]


def control_rows(size: Size, found: dict[str, Any]) -> list[tuple[object, ...]]:
    """Work out what keeping together costs a node.

    Args:
        size: The fleet.
        found: The figures of `bench.slopes`.

    Returns:
        Cells of each row.
    """
    control = found["control"]
    links, idle = list(control["idle_by_links"].items())[-1]
    per_link = idle["bytes_per_second"] / int(links)
    all_links = per_link * (size.nodes - 1)
    beat = control["heartbeat_encode_us"] + control["heartbeat_decode_us"]
    beat_share = beat * (size.nodes - 1) / 1e6
    change_bytes = control["head_bytes"] + control["service_item_bytes"]
    change_rate = size.changes_a_day / _DAY
    platform = _platform_calls(size, control["idle_by_links"])
    return [
        (
            "heartbeats on all links",
            f"{all_links:,.0f} bytes/s",
            ratio(all_links, size.bytes_per_second),
            "links only with peers in use, a subset view: not built",
        ),
        (
            "processor time of heartbeats",
            f"{beat_share:.2%} of a core",
            ratio(beat_share, size.processor_share),
            "the same",
        ),
        (
            "configuration changes, bytes",
            f"{change_bytes * change_rate:,.0f} bytes/s",
            ratio(change_bytes * change_rate, size.bytes_per_second),
            "deltas from hall watchers; the head is sent whole with each",
        ),
        (
            "configuration changes, platform",
            f"{change_rate * 2 * size.halls:.1f} reads/s",
            "reached",
            "two watchers in each hall",
        ),
        (
            "announcements and list reads",
            f"{platform:,.0f} platform calls/s",
            ratio(platform, 500.0),
            "announced each 15 s; the list is read often by two instances of each hall",
        ),
    ]


def _platform_calls(size: Size, idle: dict[str, Any]) -> float:
    """Draw a line through the smallest and the largest fleet of three halls that were measured."""
    smallest, largest = list(idle.values())[0], list(idle.values())[-1]
    more = largest["instances"] - smallest["instances"]
    rise = largest["platform_calls_per_second"] - smallest["platform_calls_per_second"]
    slope: float = rise / more
    at_hall = (smallest["platform_calls_per_second"] - slope * smallest["instances"]) / 3
    return float(slope * size.nodes + at_hall * size.halls)


def churn_rows(size: Size, found: dict[str, Any]) -> list[tuple[object, ...]]:
    """Work out what moves when instances come and go.

    Args:
        size: The fleet.
        found: The figures of `bench.slopes`.

    Returns:
        Cells of each row.
    """
    moved = found["ownership_by_instances"]["100"]["moved_share"]
    places = size.services / size.halls * 3
    one = places / size.hall_nodes
    return [
        (
            "an instance goes",
            f"{one:.0f} services change one owner",
            f"{1 / size.hall_nodes:.2%} of a hall",
        ),
        (
            "a day's 3,264",
            f"{size.restarts_a_day * one * 2 / _DAY:.1f} services/s",
            "spread over the day",
        ),
        ("a rack of 20", f"{20 * one:.0f} services", f"{20 / size.hall_nodes:.1%} of a hall"),
        ("a hall", f"{places:.0f} places", "owners come from the nearest hall"),
        ("measured at 100 instances", f"{moved:.2%} of places for one instance", "1.00% expected"),
    ]


def tail_rows(found: dict[str, Any]) -> list[tuple[object, ...]]:
    """Make the rows of the slowest answers by fan-out.

    Args:
        found: The figures of `bench.slopes`.

    Returns:
        Cells of each row.
    """
    return [
        (
            fanout,
            f"{item['p99_ms']:.0f}",
            f"{item['oracle_p99_ms']:.0f}",
            f"{item['p99_ms'] / item['oracle_p99_ms']:.2f}",
            f"{item['extra_load']:.2%}",
            found["engine_us_by_fanout"][fanout],
        )
        for fanout, item in found["tail_by_fanout"].items()
    ]


def codec_rows(found: dict[str, Any]) -> list[tuple[object, ...]]:
    """Make the rows of messages on a peer link by batch.

    Args:
        found: The figures of `bench.slopes`.

    Returns:
        Cells of each row.
    """
    return [(batch, *item.values()) for batch, item in found["codec_by_batch"].items()]
