"""Makes docs/CAPACITY.md from the measured slopes: `python -m bench.capacity`."""

from __future__ import annotations

import json
import pathlib
import textwrap
from typing import Any

from bench import capacity_rows, platform_capacity_rows, platform_slopes, slopes

_SWEEP: dict[str, Any] = json.loads(
    pathlib.Path(__file__).with_name("sweep.json").read_text(encoding="utf-8")
)

_FLEET_DAY: dict[str, Any] = json.loads(
    pathlib.Path(__file__).with_name("fleet_day.json").read_text(encoding="utf-8")
)

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "CAPACITY.md"
"""The page."""

LINE = 118
"""Characters of a line of text at most."""


def _row(*cells: object) -> str:
    return "| " + " | ".join(str(cell) for cell in cells) + " |"


def _table(head: tuple[str, ...], rows: list[tuple[object, ...]]) -> str:
    lines = [_row(*head), "|" + "---|" * len(head)]
    return "\n".join(lines + [_row(*row) for row in rows])


def _wrapped(section: str) -> str:
    """Break the lines of a paragraph; headings and tables stay as they are."""
    if section.startswith(("#", "|")):
        return section
    return textwrap.fill(section, LINE, break_long_words=False, break_on_hyphens=False)


def page(found: dict[str, Any], platform: dict[str, Any]) -> str:
    """Write the page.

    Args:
        found: The figures of `bench.slopes`.
        platform: The figures of `bench.platform_slopes`.

    Returns:
        Markdown.
    """
    size = capacity_rows.Size()
    view = found["view"]["paths_of_service_us"]
    owners = found["ownership_by_instances"]
    front, gatherer = capacity_rows.WIRE_FRONT_US, capacity_rows.WIRE_GATHERER_US
    cores = size.sub_queries * (front + gatherer) / 1e6
    sections = [
        "# Capacity",
        "Made by `python -m bench.capacity` from `bench/slopes.json` (`make"
        " slopes`); the figures of"
        " real sockets are from `make bench-wire`. Each figure is a measured"
        " slope times a size; none"
        " was measured at that size.",
        f"The size: {size.nodes:,} nodes in {size.halls} halls, {size.replicas:,} replicas of"
        f" {size.services:,} services, {size.queries:,.0f} queries/s to"
        f" {size.fanout} replicas each,"
        " p99 78 ms, control at most 2.1% of a core, 32 MB and 5 KB/s a node.",
        "## Load, for each node",
        _table(("role", "rate", "processor time", "mechanism"), capacity_rows.load_rows(size)),
        f"Slopes: {front:.0f} us at a front and {gatherer:.0f} us at a gatherer for"
        " one sub-query, by relay at fan-out 820. Today's build does not reach"
        " the size: a node needs"
        f" {cores:.0f} cores for both roles."
        " What would carry it: one request to a target for several sub-queries (a target gets"
        f" {size.queries * size.fanout / size.replicas:,.0f} a second), and a"
        " gatherer's hot path out"
        " of Python.",
        "## Peer link, microseconds and bytes for one sub-query",
        _table(
            (
                "batch",
                "ask, encode",
                "ask, decode",
                "reply, encode",
                "reply, decode",
                "ask bytes",
                "reply bytes",
            ),
            capacity_rows.codec_rows(found),
        ),
        "## State, for each node",
        _table(
            ("state", "count", "bytes each", "MB", "mechanism"),
            capacity_rows.memory_rows(size, found),
        ),
        "An idle process has 80 MB resident, most of it libraries; at fan-out"
        " 820 it had 91 to 112 MB."
        " Held against 32 MB for control, the state fits and the libraries do not.",
        "## Control, for each node",
        _table(
            ("what", "cost", "against the limit", "mechanism"),
            capacity_rows.control_rows(size, found),
        ),
        "## On the users' platform, for each node",
        "The path of `forwarding/`, from `bench/platform_slopes.json`.",
        _table(
            ("what", "cost", "against the limit", "mechanism"),
            platform_capacity_rows.platform_rows(size, platform),
        ),
        "Keys and quotas, if all requests need both:",
        _table(
            ("what", "cost", "against the limit", "mechanism"),
            platform_capacity_rows.workspace_rows(size, platform),
        ),
        "With 7 nodes a quiet day takes 28 to 29 MB a node, 0.05 cores, a start included, and 175"
        " calls to the store in 46 s. What grows with all nodes or all targets is what binds: the"
        " links, and the look through all targets at each change.",
        "## One day at three sizes",
        "A deployment with workspaces, keys and quotas, played on the users' bench"
        " (`fleetbench sweep`), the middle node of each size where no other is named. The"
        " largest day was given up at 12.4 s for the processor time that it took to play, so its"
        " column is of its start and first seconds, and bytes and connections of a start weigh"
        " more in it. No rule was broken until then; that day counts as not shown.",
        _table(("what", *_SWEEP["columns"]), [tuple(row) for row in _SWEEP["rows"]]),
        "## What a day of a fleet costs to play",
        "Seconds of processor time of one instance on the users' bench, by the system's count, from"
        " trials that wrote it to the log at each mark (quiet days; of 195 the day trouble-1). All"
        " instances of a day share one machine.",
        _table(("part", *_FLEET_DAY["columns"]), [tuple(row) for row in _FLEET_DAY["rows"]]),
        "The same imports take 0.12 to 0.13 s in a process alone, without the bench: a fleet that"
        " imports at one moment on one machine pays twice as much. Tried to make a start cheaper:"
        " no generated `__repr__` methods, and no bookkeeping of the other instances at each link;"
        " neither changed it. Leaving out asyncio, 0.015 s, can't be done: pycapnp needs it.",
        "A whole day of 195 instances, all of which start twice, took 344 s (323 in their own code,"
        " 20 in the kernel; 154,216 requests reached targets): by the table 142 s are the two"
        " starts and some 150 s the links at rest, so a seventh is the work itself. A start grows"
        " with the links, and the links of all grow with the square of the instances. Links to"
        " some instances only should take most of it away: not built, so not shown.",
        "## A search's way on the users' platform",
        "Microseconds of processor time for one sub-query, all instances together, measured in"
        ' memory by `python -m bench.search_path` beside other load; "before" is the code before'
        " its steps were looked at one by one. Sockets, the kernel and the stand-ins are not in it."
        " Two runs of the same code differ by a tenth or more, so no bound is checked.",
        _table(
            ("step", "90 shards, before", "90 shards", "135 shards, before", "135 shards"),
            platform_capacity_rows.path_rows(found),
        ),
        "## Churn",
        _table(("event", "what moves", "remark"), capacity_rows.churn_rows(size, found)),
        "Finding the owners of a service among 1,000 instances takes"
        f" {owners['1000']['owners_us']:.0f}"
        f" us, among 2,100 {owners['2100']['owners_us']:.0f} us. After any change of members or"
        f" holdings the paths of a service are found again in {view:.0f} us (233 instances in the"
        f" hall); for all {size.services:,} services that is"
        f" {view * size.services / 1e6:.2f} s, which"
        " at 3,264 restarts a day is little, but comes at once.",
        "## The tail by fan-out",
        "Bench at load 0.3, four instances, median 20 ms, 1% stragglers of ten times, 2% budget.",
        _table(
            ("fan-out", "p99 ms", "oracle's", "ratio", "extra load", "engine us a sub-query"),
            capacity_rows.tail_rows(found),
        ),
        "These rest on 100 to 200 searches each, so p99 is that of one or two of them.",
        "With a straggler in 1% of sub-queries, a query of 820 has 8 of them; the budget of 2% must"
        " cover them all, and what limits the tail is the second hedge that a"
        " straggling hedge would"
        " need. p99 within 78 ms needs targets whose own p99.9 is well below it.",
    ]
    return "\n\n".join(map(_wrapped, sections)) + "\n"


def main() -> None:
    """Write the page."""
    platform = json.loads(platform_slopes.OUT.read_text())
    PAGE.write_text(page(json.loads(slopes.OUT.read_text()), platform))


if __name__ == "__main__":
    main()
