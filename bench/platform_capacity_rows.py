"""Works the rows of docs/CAPACITY.md out that tell of the users' platform."""

from __future__ import annotations

from typing import Any

from bench import capacity_rows, search_path
from lineworks.forwarding import extra_keeper, quota_holder

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


def platform_rows(size: capacity_rows.Size, found: dict[str, Any]) -> list[tuple[object, ...]]:
    """Work out what a node on the users' platform spends at the size.

    Args:
        size: The fleet.
        found: The figures of `bench.platform_slopes`.

    Returns:
        Cells of each row.
    """
    target, heartbeat = found["target"], found["heartbeat"]
    links = size.nodes - 1
    beats = links / _HEARTBEAT_SECONDS
    bytes_per_second = 2 * beats * heartbeat["bytes"]
    processor = beats * heartbeat["us"] / 1e6
    memory = target["bytes"] * size.replicas / 1e6
    update = target["update_us"] * size.replicas / 1e6
    share = update / _POLL_SECONDS
    reads = size.halls / _POLL_SECONDS + size.nodes / _RENEW_SECONDS * _RENEWAL_PRICE
    collections = (size.hall_nodes - 1) / extra_keeper.MIN_PULL_INTERVAL_SECONDS
    collection = found["collection"]
    report = found["suspect"]
    reports = _SUSPECT_REPORTS * links
    return [
        (
            "extra attempts, the keeper of a hall while targets fail; nothing while all is well",
            f"{collections * collection['bytes']:,.0f} bytes/s,"
            f" {collections * collection['us'] / 1e6:.2%} of a core",
            capacity_rows.ratio(collections * collection["bytes"], size.bytes_per_second),
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
            capacity_rows.ratio(bytes_per_second, size.bytes_per_second),
            "links to all nodes; subsets: not built",
        ),
        (
            "records of all targets",
            f"{memory:.1f} MB",
            capacity_rows.ratio(memory, size.memory_mb),
            "every node knows every target",
        ),
        (
            "one change among the targets",
            f"{update * 1000:.0f} ms, {share:.1%} of a core if there is one at each look",
            capacity_rows.ratio(share, size.processor_share),
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


def workspace_rows(size: capacity_rows.Size, found: dict[str, Any]) -> list[tuple[object, ...]]:
    """Work out what keys and quotas cost a node at the size, if all requests need both.

    Args:
        size: The fleet.
        found: The figures of `bench.platform_slopes`.

    Returns:
        Cells of each row.
    """
    one, key = found["workspace"], found["key"]
    asked, pulled = found["quota"], found["quota_pull"]
    requests = size.queries / size.nodes
    large = _LARGE_SHARE * size.queries / size.halls
    pulls = (size.halls - 1) / quota_holder.MAX_PULL_BACKOFF_SECONDS
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
            capacity_rows.ratio(requests * key["known_us"] / 1e6, size.processor_share),
            "a digest for each request",
        ),
        (
            "quotas, workspaces spread evenly over the holders",
            f"{2 * requests * asked['bytes']:,.0f} bytes/s,"
            f" {requests * asked['us'] / 1e6:.2%} of a core",
            capacity_rows.ratio(2 * requests * asked["bytes"], size.bytes_per_second),
            "one question to the hall's holder for each request; credit in advance: not built",
        ),
        (
            f"quotas, the holder of a workspace that sends {_LARGE_SHARE:.0%} of all requests",
            f"{large:,.0f} questions/s, {large * asked['bytes']:,.0f} bytes/s,"
            f" {large * asked['us'] / 2 / 1e6:.0%} of a core",
            capacity_rows.ratio(large * asked["us"] / 2 / 1e6, size.processor_share),
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


def path_rows(found: dict[str, Any]) -> list[tuple[object, ...]]:
    """Make the rows of where a search's processor time goes, those of all instances summed last.

    Args:
        found: The figures of `bench.slopes`.

    Returns:
        Cells of each row.
    """
    now, before = found["search_path"], found["search_path_before"]
    columns = [figures[shards] for shards in now for figures in (before, now)]
    steps = [step for step in columns[0] if step != search_path.STAND_INS]
    rows = [(step, *(f"{column[step]:.0f}" for column in columns)) for step in steps]
    sums = (sum(column[step] for step in steps) for column in columns)
    return [*rows, ("all", *(f"{each:.0f}" for each in sums))]
