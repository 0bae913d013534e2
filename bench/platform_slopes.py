"""Measures what a target, a heartbeat, shared extra attempts and workspaces cost: `python -m
bench.platform_slopes`."""

from __future__ import annotations

import json
import pathlib
import random
import time
import tracemalloc
from typing import TYPE_CHECKING, Any

from bench import workspace_slopes
from lineworks.decisions import quota, routes, suspects, target_view
from lineworks.forwarding import target_book
from lineworks.wire import codec, deflate, frames, node_frames

if TYPE_CHECKING:
    from collections.abc import Sequence

OUT = pathlib.Path(__file__).with_name("platform_slopes.json")
"""Where the figures go."""

TARGETS = 13_000
"""Targets of the measured book: as many as the letter names."""

HALLS = 9
HEARTBEATS = 200
ROUNDS = 5


def _entries() -> list[target_view.TargetEntry]:
    return [
        target_view.TargetEntry(
            id=f"i-{number:010x}",
            service=f"service-{number // 2:05d}",
            hall=f"hall-{number % HALLS}",
            host=f"10.{number % 200}.{number // 250}.{number % 250}",
            port=8000,
            slots=2,
            is_leaving=False,
            is_cold=False,
        )
        for number in range(TARGETS)
    ]


def measure_book() -> dict[str, float]:
    """Measure the records of the targets.

    Returns:
        Bytes for each target, and microseconds a target for one update of the view.
    """
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    entries = _entries()
    specs = {entry.service: routes.ServiceSpec(entry.service, 52) for entry in entries}
    halls = {f"hall-{number}": f"region-{number % 3}" for number in range(HALLS)}
    book = target_book.TargetBook("hall-0", halls, random.Random(1))
    book.update(entries, specs)
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    seconds = []
    for _ in range(ROUNDS):
        began = time.perf_counter()
        book.update(entries, specs)
        seconds.append(time.perf_counter() - began)
    return {"bytes": size / TARGETS, "update_us": min(seconds) / TARGETS * 1e6}


def measure_heartbeat() -> dict[str, float]:
    """Measure heartbeats on one link.

    Returns:
        Bytes of one on the wire, and microseconds for its two ends.
    """
    return _measure_frames(
        [frames.Heartbeat(False, number // 20, "") for number in range(HEARTBEATS)]
    )


def measure_collection() -> dict[str, float]:
    """Measure collections of extra attempts on one link.

    Returns:
        Bytes of a question with its answer on the wire, and microseconds for their two ends.
    """
    return _both(
        [node_frames.CreditPull(number) for number in range(HEARTBEATS)],
        [node_frames.CreditShare(number, 0.1 + number / 1e4) for number in range(HEARTBEATS)],
    )


def measure_quota() -> dict[str, float]:
    """Measure questions for a workspace's tokens on one link.

    Returns:
        Bytes of a question with its answer on the wire, and microseconds for their two ends.
    """
    granted = quota.Decision.GRANTED
    return _both(
        [node_frames.QuotaAsk(number, _workspace(number)) for number in range(HEARTBEATS)],
        [node_frames.QuotaGrant(number, granted) for number in range(HEARTBEATS)],
    )


def measure_quota_pull() -> dict[str, float]:
    """Measure questions for tokens of another hall on one link.

    Returns:
        Bytes of a question with its answer on the wire, and microseconds for their two ends.
    """
    amounts = [0.1 + number / 1e4 for number in range(HEARTBEATS)]
    return _both(
        [
            node_frames.QuotaPull(number, _workspace(number), amount)
            for number, amount in enumerate(amounts)
        ],
        [node_frames.QuotaShare(number, amount) for number, amount in enumerate(amounts)],
    )


def _workspace(number: int) -> str:
    return f"workspace-{number * 37 % 88:05d}"


def _both(asked: Sequence[frames.Frame], answered: Sequence[frames.Frame]) -> dict[str, float]:
    """Measure questions and their answers, each on one way of a link."""
    one, other = _measure_frames(asked), _measure_frames(answered)
    return {kind: one[kind] + other[kind] for kind in one}


def measure_suspect() -> dict[str, float]:
    """Measure reports of requests that end their targets, on one link.

    Returns:
        Bytes of one on the wire, with as many ends as a record holds, and microseconds for its two
        ends.
    """
    return _measure_frames(
        [
            node_frames.SuspectReports(
                (
                    suspects.Record(
                        f"{number:024x}",
                        0,
                        tuple(
                            suspects.TargetEnd(
                                f"i-{number * 16 + end:010x}", f"{number:016x}", 0.0, False
                            )
                            for end in range(suspects.MAX_ENDS)
                        ),
                    ),
                )
            )
            for number in range(HEARTBEATS)
        ]
    )


def _measure_frames(sent: Sequence[frames.Frame]) -> dict[str, float]:
    """Measure frames of one kind on one link: bytes of one, and microseconds for its two ends.

    The fastest of some rounds counts: the others had other work beside them.
    """
    rounds = []
    for _ in range(ROUNDS):
        deflater = deflate.Deflater()
        inflater = deflate.Inflater(codec.MAX_FRAME_BYTES)
        size = 0
        began = time.perf_counter()
        for frame in sent:
            data = deflater.deflate(codec.encode(frame, 0.0))
            size += len(data) + 4
            codec.decode(inflater.inflate(data), 0.0)
        rounds.append(time.perf_counter() - began)
    return {"bytes": size / len(sent), "us": min(rounds) / len(sent) * 1e6}


def main() -> None:
    """Measure and write the figures."""
    found: dict[str, Any] = {
        "target": measure_book(),
        "heartbeat": measure_heartbeat(),
        "collection": measure_collection(),
        "suspect": measure_suspect(),
        "quota": measure_quota(),
        "quota_pull": measure_quota_pull(),
        "workspace": workspace_slopes.measure_configuration(),
        "key": workspace_slopes.measure_key(),
    }
    OUT.write_text(json.dumps(found, indent=1) + "\n")


if __name__ == "__main__":
    main()
