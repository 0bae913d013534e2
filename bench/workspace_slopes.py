"""Measures what a workspace costs: its part of a configuration, and the check of a key."""

from __future__ import annotations

import base64
import time
import tracemalloc
from typing import TYPE_CHECKING

from lineworks.decisions import access
from lineworks.platform import configuration, headers
from lineworks.platform.standins import documents

if TYPE_CHECKING:
    from collections.abc import Callable

WORKSPACES = 1000
"""Workspaces of the measured configuration, beyond the one that it is held against."""

KEYS = 2
"""Keys of each."""

REQUESTS = 5000
"""Requests whose keys are checked in one round."""

ROUNDS = 7
"""Rounds of which the fastest counts: the others had other work beside them."""

_ROUTE = {"Name": "read", "PathPrefix": "/read/", "Service": "shelf"}


def _key(place: int, number: int) -> str:
    return f"{place * 7919:08x}{number:08x}-secret-key"


def _document(count: int) -> bytes:
    """Write a configuration with some workspaces."""
    listed = [
        documents.workspace(
            f"workspace-{place:05d}",
            *(_key(place, number) for number in range(KEYS)),
            rate=10.0,
            burst=20.0,
        )
        for place in range(count)
    ]
    stored = documents.configuration(1, [_ROUTE], ("shelf",), workspaces=listed)
    return base64.b64decode(stored)


def _fastest(act: Callable[[], object]) -> float:
    """Tell how many seconds something takes, at best."""
    seconds = []
    for _ in range(ROUNDS):
        began = time.perf_counter()
        act()
        seconds.append(time.perf_counter() - began)
    return min(seconds)


def _memory(data: bytes) -> int:
    """Tell how many bytes a decoded configuration takes, with what was read of it."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    table = configuration.decode(data)
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    assert table.workspaces.requires_keys
    return size


def measure_configuration() -> dict[str, float]:
    """Measure one more workspace with its keys in a configuration.

    Returns:
        Bytes of the document, bytes in memory besides, and microseconds to decode it.
    """
    few, many = _document(1), _document(1 + WORKSPACES)
    decoded = _fastest(lambda: configuration.decode(many)) - _fastest(
        lambda: configuration.decode(few)
    )
    return {
        "document_bytes": (len(many) - len(few)) / WORKSPACES,
        "memory_bytes": (_memory(many) - _memory(few)) / WORKSPACES,
        "decode_us": decoded / WORKSPACES * 1e6,
    }


def measure_key() -> dict[str, float]:
    """Measure the check of one request's key.

    Returns:
        Microseconds for a known key and for an unknown one.
    """
    table = configuration.decode(_document(1 + WORKSPACES))
    route = table.routes[0]
    knowledge, revocation = access.ConfigurationFreshness(0.0), access.RevocationPolicy()

    def check(number: int) -> float:
        values = [
            f"Bearer {_key(place % WORKSPACES, number)}".encode() for place in range(REQUESTS)
        ]

        def act() -> None:
            for value in values:
                access.judge(table, route, headers.read_key(value), knowledge, revocation)

        return _fastest(act) / REQUESTS * 1e6

    return {"known_us": check(0), "unknown_us": check(KEYS)}
