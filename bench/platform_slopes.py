"""Measures what a target, a heartbeat and shared extra attempts cost: `python -m
bench.platform_slopes`."""

from __future__ import annotations

import json
import pathlib
import random
import time
import tracemalloc
from typing import TYPE_CHECKING, Any

from lineworks.decisions import routes, suspects, target_view
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
    asked = _measure_frames([node_frames.CreditPull(number) for number in range(HEARTBEATS)])
    answered = _measure_frames(
        [node_frames.CreditShare(number, 0.1 + number / 1e4) for number in range(HEARTBEATS)]
    )
    return {kind: asked[kind] + answered[kind] for kind in asked}


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
                            suspects.End(
                                f"i-{number * 16 + end:010x}", f"{number:016x}", 0.0, False
                            )
                            for end in range(suspects.MOST_ENDS)
                        ),
                    ),
                )
            )
            for number in range(HEARTBEATS)
        ]
    )


def _measure_frames(sent: Sequence[frames.Frame]) -> dict[str, float]:
    """Measure frames of one kind on one link: bytes of one, and microseconds for its two ends."""
    deflater = deflate.Deflater()
    inflater = deflate.Inflater(codec.MAX_FRAME)
    size = 0
    began = time.perf_counter()
    for frame in sent:
        data = deflater.deflate(codec.encode(frame, 0.0))
        size += len(data) + 4
        codec.decode(inflater.inflate(data), 0.0)
    seconds = time.perf_counter() - began
    return {"bytes": size / len(sent), "us": seconds / len(sent) * 1e6}


def main() -> None:
    """Measure and write the figures."""
    found: dict[str, Any] = {
        "target": measure_book(),
        "heartbeat": measure_heartbeat(),
        "collection": measure_collection(),
        "suspect": measure_suspect(),
    }
    OUT.write_text(json.dumps(found, indent=1) + "\n")


if __name__ == "__main__":
    main()
