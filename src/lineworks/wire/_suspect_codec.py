"""Encodes and decodes the frame that reports suspect requests."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Any

from lineworks.decisions import suspects
from lineworks.wire import _base, node_frames

if TYPE_CHECKING:
    from collections.abc import Callable

_IS_TRIAL = 1

_IS_PROVEN = 2

_MAX_EPOCH = 2**32 - 1

_MAX_AGE = 2**64 - 1


def _write_reports(builder: Any, frame: node_frames.SuspectReports, now: float) -> None:
    body = builder.init("suspectReports")
    rows = frame.records
    body.contents = [row.content for row in rows]
    body.epochs = [min(_MAX_EPOCH, row.epoch) for row in rows]
    body.cleared = [row.cleared_at is not None for row in rows]
    body.clearedAges = [0 if row.cleared_at is None else _age(row.cleared_at, now) for row in rows]
    body.counts = [len(row.ends) for row in rows]
    ends = [end for row in rows for end in row.ends]
    body.targets = [end.target for end in ends]
    body.attempts = [end.attempt for end in ends]
    body.ages = [_age(end.at, now) for end in ends]
    body.flags = [_IS_TRIAL * end.is_trial + _IS_PROVEN * end.is_proven for end in ends]


def _age(at: float, now: float) -> int:
    return min(_MAX_AGE, int(max(0.0, now - at) * _base.MICROSECONDS_PER_SECOND))


def _read_reports(body: Any, now: float) -> node_frames.SuspectReports:
    *columns, counts = _base.columns(
        body.contents, body.epochs, body.cleared, body.clearedAges, body.counts
    )
    ends = _base.columns(body.targets, body.attempts, body.ages, body.flags)
    if len(ends[0]) != sum(counts):
        raise _base.MalformedFrameError("columns of different lengths")
    decoded_ends = iter(
        suspects.TargetEnd(
            target,
            attempt,
            now - age / _base.MICROSECONDS_PER_SECOND,
            bool(flag & _IS_TRIAL),
            bool(flag & _IS_PROVEN),
        )
        for target, attempt, age, flag in zip(*ends, strict=True)
    )
    records = []
    for content, epoch, is_cleared, age, count in zip(*columns, counts, strict=True):
        own_ends = tuple(itertools.islice(decoded_ends, count))
        cleared_at = now - age / _base.MICROSECONDS_PER_SECOND if is_cleared else None
        records.append(suspects.Record(content, epoch, own_ends, cleared_at))
    return node_frames.SuspectReports(tuple(records))


ENCODERS: dict[type, Callable[[Any, Any, float], None]] = {
    node_frames.SuspectReports: _write_reports,
}
"""Encoders by message class; each takes the frame's builder, the message and the current time."""

DECODERS: dict[str, Callable[[Any, float], Any]] = {"suspectReports": _read_reports}
"""Decoders by kind of frame; each takes the frame's body and the current time."""
