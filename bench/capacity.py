"""Makes docs/CAPACITY.md from the measured slopes: `python -m bench.capacity`."""

from __future__ import annotations

import dataclasses
import json
import pathlib
from typing import Any

from bench import platform_slopes, search_path, slopes
from lineworks.forwarding import extra_keeper, quota_holder

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "CAPACITY.md"
"""The page."""

_DAY = 86_400.0

_SUSPECT_REPORTS = 2
"""Reports to each node by each of the two that find a search to end its targets, as counted in six
instances in memory."""

_HEARTBEAT_SECONDS = 2.0
"""Seconds between heartbeats on the users' platform (`forwarding/node.py`)."""

_POLL_SECONDS = 1.2
"""Seconds between looks of a hall's reader at the store (`forwarding/directory.py`)."""

_REPEAT_SECONDS = 0.2
"""Seconds after which a read without an answer is repeated (`platform/_store_connections.py`)."""

_MOST_PAUSE_SECONDS = 1.0
"""Longest pause after a refusal for the rate of calls (`forwarding/directory.py`)."""

_RENEW_SECONDS = 45.0
"""Seconds between renewals of a node's lease (`forwarding/registration.py`)."""

_WORKSPACES = 1000
"""Workspaces of the rows on them."""

_LARGE_SHARE = 0.02
"""Share of all requests that a large workspace sends."""

_RENEWAL_PRICE = 0.1
"""Price of a renewal in reading calls, by the platform's pages."""


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


def _row(*cells: object) -> str:
    return "| " + " | ".join(str(cell) for cell in cells) + " |"


def _table(head: tuple[str, ...], rows: list[tuple[object, ...]]) -> str:
    lines = [_row(*head), "|" + "---|" * len(head)]
    return "\n".join(lines + [_row(*row) for row in rows])


def _ratio(value: float, allowed: float) -> str:
    share = value / allowed
    return "reached" if share <= 1.0 else f"{share:.1f} times too much"


def _load_rows(size: Size) -> list[tuple[object, ...]]:
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


def _memory_rows(size: Size, found: dict[str, Any]) -> list[tuple[object, ...]]:
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


def _control_rows(size: Size, found: dict[str, Any]) -> list[tuple[object, ...]]:
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
            _ratio(all_links, size.bytes_per_second),
            "links only with peers in use, a subset view: not built",
        ),
        (
            "processor time of heartbeats",
            f"{beat_share:.2%} of a core",
            _ratio(beat_share, size.processor_share),
            "the same",
        ),
        (
            "configuration changes, bytes",
            f"{change_bytes * change_rate:,.0f} bytes/s",
            _ratio(change_bytes * change_rate, size.bytes_per_second),
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
            _ratio(platform, 500.0),
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


def _churn_rows(size: Size, found: dict[str, Any]) -> list[tuple[object, ...]]:
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


def _tail_rows(found: dict[str, Any]) -> list[tuple[object, ...]]:
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


def _codec_rows(found: dict[str, Any]) -> list[tuple[object, ...]]:
    return [(batch, *item.values()) for batch, item in found["codec_by_batch"].items()]


def _platform_rows(size: Size, found: dict[str, Any]) -> list[tuple[object, ...]]:
    """Work out what a node on the users' platform spends at the size."""
    target, heartbeat = found["target"], found["heartbeat"]
    links = size.nodes - 1
    beats = links / _HEARTBEAT_SECONDS
    bytes_per_second = 2 * beats * heartbeat["bytes"]
    processor = beats * heartbeat["us"] / 1e6
    memory = target["bytes"] * size.replicas / 1e6
    update = target["update_us"] * size.replicas / 1e6
    share = update / _POLL_SECONDS
    reads = size.halls / _POLL_SECONDS + size.nodes / _RENEW_SECONDS * _RENEWAL_PRICE
    collections = (size.hall_nodes - 1) / extra_keeper.PULL_SECONDS
    collection = found["collection"]
    report = found["suspect"]
    reports = _SUSPECT_REPORTS * links
    return [
        (
            "extra attempts, the keeper of a hall while targets fail; nothing while all is well",
            f"{collections * collection['bytes']:,.0f} bytes/s,"
            f" {collections * collection['us'] / 1e6:.2%} of a core",
            _ratio(collections * collection["bytes"], size.bytes_per_second),
            "one keeper a hall, asked at most 4 times a second to collect; collections of a part of"
            " the hall: not built",
        ),
        (
            "a search that ends the targets that run it, for each of the two nodes that find it so;"
            " nothing while no target ends",
            f"{reports * report['bytes'] / 1e6:.2f} MB once,"
            f" {reports * report['us'] / 1e3:,.0f} ms",
            "-",
            "whoever finds something tells all nodes; by halls: not built",
        ),
        (
            "heartbeats",
            f"{bytes_per_second:,.0f} bytes/s, {processor:.2%} of a core",
            _ratio(bytes_per_second, size.bytes_per_second),
            "links to all nodes; subsets: not built",
        ),
        (
            "records of all targets",
            f"{memory:.1f} MB",
            _ratio(memory, size.memory_mb),
            "every node knows every target",
        ),
        (
            "one change among the targets",
            f"{update * 1000:.0f} ms, {share:.1%} of a core if there is one at each look",
            _ratio(share, size.processor_share),
            "the whole book is looked through; only what changed: not built",
        ),
        ("store, all nodes", f"{reads:.1f} reads/s", "-", "one reader a hall; leases of 120 s"),
        (
            "store, all nodes started beside a silent one",
            f"{size.nodes / _REPEAT_SECONDS:,.0f} reads/s; where it refuses for the rate, down to"
            f" {size.nodes / _MOST_PAUSE_SECONDS:,.0f}",
            "-",
            "reads repeated while nothing is known; the first that knows tells all: not built",
        ),
    ]


def _workspace_rows(size: Size, found: dict[str, Any]) -> list[tuple[object, ...]]:
    """Work out what keys and quotas cost a node at the size, if all requests need both."""
    one, key = found["workspace"], found["key"]
    asked, pulled = found["quota"], found["quota_pull"]
    requests = size.queries / size.nodes
    large = _LARGE_SHARE * size.queries / size.halls
    pulls = (size.halls - 1) / quota_holder.MOST_PAUSE
    return [
        (
            f"{_WORKSPACES:,} workspaces with two keys each",
            f"{_WORKSPACES * one['memory_bytes'] / 1e6:.2f} MB; a change of the configuration has"
            f" {_WORKSPACES * one['document_bytes'] / 1e3:.0f} KB and takes"
            f" {_WORKSPACES * one['decode_us'] / 1e3:.0f} ms",
            "-",
            "the whole document is sent and decoded at each change; only what changed: not built",
        ),
        (
            f"keys, {requests:.0f} requests/s",
            f"{requests * key['known_us'] / 1e6:.3%} of a core",
            _ratio(requests * key["known_us"] / 1e6, size.processor_share),
            "a digest for each request",
        ),
        (
            "quotas, workspaces spread evenly over the holders",
            f"{2 * requests * asked['bytes']:,.0f} bytes/s,"
            f" {requests * asked['us'] / 1e6:.2%} of a core",
            _ratio(2 * requests * asked["bytes"], size.bytes_per_second),
            "one question to the hall's holder for each request; credit in advance: not built",
        ),
        (
            f"quotas, the holder of a workspace that sends {_LARGE_SHARE:.0%} of all requests",
            f"{large:,.0f} questions/s, {large * asked['bytes']:,.0f} bytes/s,"
            f" {large * asked['us'] / 2 / 1e6:.0%} of a core",
            _ratio(large * asked["us"] / 2 / 1e6, size.processor_share),
            "the same",
        ),
        (
            "quotas, each holder of a workspace that is over its limit everywhere",
            f"{2 * pulls:.0f} questions/s between halls,"
            f" {2 * pulls * pulled['bytes']:,.0f} bytes/s,"
            f" {pulls * pulled['us'] / 1e6:.3%} of a core",
            "-",
            "a pull from all halls after the longest pause; none for one far below its limit",
        ),
    ]


def _path_rows(found: dict[str, Any]) -> list[tuple[object, ...]]:
    """Make the rows of where a search's processor time goes, those of all instances summed last."""
    now, before = found["search_path"], found["search_path_before"]
    columns = [figures[shards] for shards in now for figures in (before, now)]
    steps = [step for step in columns[0] if step != search_path.STAND_INS]
    rows = [(step, *(f"{column[step]:.0f}" for column in columns)) for step in steps]
    sums = (sum(column[step] for step in steps) for column in columns)
    return [*rows, ("all", *(f"{each:.0f}" for each in sums))]


def page(found: dict[str, Any], platform: dict[str, Any]) -> str:
    """Write the page.

    Args:
        found: The figures of `bench.slopes`.
        platform: The figures of `bench.platform_slopes`.

    Returns:
        Markdown.
    """
    size = Size()
    view = found["view"]["paths_of_service_us"]
    owners = found["ownership_by_instances"]
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
        _table(("role", "rate", "processor time", "mechanism"), _load_rows(size)),
        f"Slopes: {WIRE_FRONT_US:.0f} us at a front and {WIRE_GATHERER_US:.0f} us at a gatherer for"
        " one sub-query, by relay at fan-out 820. Today's build does not reach"
        " the size: a node needs"
        f" {size.sub_queries * (WIRE_FRONT_US + WIRE_GATHERER_US) / 1e6:.0f} cores for both roles."
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
            _codec_rows(found),
        ),
        "## State, for each node",
        _table(("state", "count", "bytes each", "MB", "mechanism"), _memory_rows(size, found)),
        "An idle process has 80 MB resident, most of it libraries; at fan-out"
        " 820 it had 91 to 112 MB."
        " Held against 32 MB for control, the state fits and the libraries do not.",
        "## Control, for each node",
        _table(("what", "cost", "against the limit", "mechanism"), _control_rows(size, found)),
        "## On the users' platform, for each node",
        "The path of `forwarding/`, from `bench/platform_slopes.json`.",
        _table(("what", "cost", "against the limit", "mechanism"), _platform_rows(size, platform)),
        "Keys and quotas, if all requests need both:",
        _table(("what", "cost", "against the limit", "mechanism"), _workspace_rows(size, platform)),
        "With 7 nodes a quiet day takes 28 to 29 MB a node, 0.05 cores, a start included, and 175"
        " calls to the store in 46 s. What grows with all nodes or all targets is what binds: the"
        " links, and the look through all targets at each change.",
        "## A search's way on the users' platform",
        "Microseconds of processor time for one sub-query, all instances together, measured in"
        ' memory by `python -m bench.search_path` beside other load; "before" is the code before'
        " its steps were looked at one by one. Sockets, the kernel and the stand-ins are not in it."
        " Two runs of the same code differ by a tenth or more, so no bound is checked.",
        _table(
            ("step", "90 shards, before", "90 shards", "135 shards, before", "135 shards"),
            _path_rows(found),
        ),
        "## Churn",
        _table(("event", "what moves", "remark"), _churn_rows(size, found)),
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
            _tail_rows(found),
        ),
        "These rest on 100 to 200 searches each, so p99 is that of one or two of them.",
        "With a straggler in 1% of sub-queries, a query of 820 has 8 of them; the budget of 2% must"
        " cover them all, and what limits the tail is the second hedge that a"
        " straggling hedge would"
        " need. p99 within 78 ms needs targets whose own p99.9 is well below it.",
    ]
    return "\n\n".join(sections) + "\n"


def main() -> None:
    """Write the page."""
    platform = json.loads(platform_slopes.OUT.read_text())
    PAGE.write_text(page(json.loads(slopes.OUT.read_text()), platform))


if __name__ == "__main__":
    main()
