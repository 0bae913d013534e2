"""Encodes and decodes the frames of gather queries, target changes and configurations."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from lineworks.decisions import evacuations, positions
from lineworks.wire import _base, node_frames

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_EVACUATIONS = 10_000
"""Maximum number of evacuations in a frame; one without any fields takes no bytes."""

_FAILURES = tuple(node_frames.Failure)
_MAX_TOP = 2**32 - 1  # Range of the schema's fields; no search has as many records.
_MAX_PRIORITY = 2**31 - 1


def _write_query(builder: Any, frame: node_frames.GatherQuery, now: float) -> None:
    body = builder.init("gatherQuery")
    body.number = frame.number
    body.services = list(frame.services)
    body.head = frame.head
    body.body = frame.body
    body.attempt = frame.attempt
    body.top = min(frame.top, _MAX_TOP)
    body.floor = frame.floor
    body.remaining = _base.remaining_microseconds(frame.deadline, now)
    body.flushIn = _base.remaining_microseconds(frame.flush_at, now)
    body.isFair = frame.is_fair
    body.workspace = frame.workspace
    body.hasQuota = frame.has_quota
    body.priority = min(frame.priority, _MAX_PRIORITY)
    body.dueIn = _base.remaining_microseconds(frame.due, now)


def _read_query(body: Any, now: float) -> node_frames.GatherQuery:
    services = tuple(body.services)
    if not services:
        raise _base.MalformedFrameError("query without shards")
    return node_frames.GatherQuery(
        number=body.number,
        services=services,
        head=bytes(body.head),
        body=bytes(body.body),
        attempt=bytes(body.attempt),
        top=body.top,
        floor=bytes(body.floor),
        deadline=now + body.remaining / _base.MICROSECONDS_PER_SECOND,
        flush_at=now + body.flushIn / _base.MICROSECONDS_PER_SECOND,
        is_fair=body.isFair,
        workspace=body.workspace,
        has_quota=body.hasQuota,
        priority=body.priority,
        due=now + body.dueIn / _base.MICROSECONDS_PER_SECOND,
    )


def _write_parts(builder: Any, frame: node_frames.GatherParts, now: float) -> None:
    body = builder.init("gatherParts")
    body.number = frame.number
    body.shards = list(frame.shards)
    body.stamps = list(frame.stamps)
    body.records = frame.records
    body.failed = list(frame.failed)
    body.failures = [int(failure) for failure in frame.failures]
    body.counts = list(frame.counts)
    body.broken = list(frame.broken)


def _read_parts(body: Any, now: float) -> node_frames.GatherParts:
    shards, stamps = tuple(body.shards), tuple(body.stamps)
    failed, failures = tuple(body.failed), tuple(body.failures)
    counts = tuple(body.counts)
    broken = tuple(body.broken)
    if len(shards) != len(stamps) or len(failed) != len(failures):
        raise _base.MalformedFrameError("columns of different lengths")
    if counts and len(counts) != len(shards):
        raise _base.MalformedFrameError("columns of different lengths")
    if broken and len(broken) != len(failed):
        raise _base.MalformedFrameError("columns of different lengths")
    return node_frames.GatherParts(
        body.number,
        shards,
        stamps,
        bytes(body.records),
        failed,
        tuple(_FAILURES[number] for number in failures),
        counts,
        broken,
    )


def _write_cancel(builder: Any, frame: node_frames.GatherCancel, now: float) -> None:
    body = builder.init("gatherCancel")
    body.number = frame.number
    body.shards = list(frame.shards)


def _read_cancel(body: Any, now: float) -> node_frames.GatherCancel:
    return node_frames.GatherCancel(body.number, tuple(body.shards))


def _write_targets(builder: Any, frame: node_frames.TargetUpdate, now: float) -> None:
    body = builder.init("targetUpdate")
    body.fromRevision = frame.after.revision
    body.fromEra = frame.after.era
    body.toRevision = frame.position.revision
    body.toEra = frame.position.era
    body.age = min(_base.MAX_MICROSECONDS, int(frame.age * _base.MICROSECONDS_PER_SECOND))
    body.document = frame.document
    body.unsettled = frame.unsettled
    rows = body.init("evacuations", len(frame.evacuations))
    for row, change in zip(rows, frame.evacuations, strict=True):
        row.hall = change.hall
        row.revision = change.position.revision
        row.era = change.position.era
        row.isAsked = change.is_evacuated


def _read_targets(body: Any, now: float) -> node_frames.TargetUpdate:
    age = body.age / _base.MICROSECONDS_PER_SECOND
    if len(body.evacuations) > MAX_EVACUATIONS:
        raise _base.MalformedFrameError(f"more than {MAX_EVACUATIONS} evacuations")
    changes = tuple(
        evacuations.EvacuationChange(
            row.hall, positions.Position(row.era, row.revision), row.isAsked
        )
        for row in body.evacuations
    )
    after = positions.Position(body.fromEra, body.fromRevision)
    position = positions.Position(body.toEra, body.toRevision)
    return node_frames.TargetUpdate(
        after, position, age, bytes(body.document), changes, bytes(body.unsettled)
    )


def _write_table(builder: Any, frame: node_frames.TableUpdate, now: float) -> None:
    body = builder.init("tableUpdate")
    body.version = frame.version
    body.document = frame.document
    body.era = frame.era


def _read_table(body: Any, now: float) -> node_frames.TableUpdate:
    return node_frames.TableUpdate(body.version, bytes(body.document), body.era)


def _write_pull(builder: Any, frame: node_frames.TablePull, now: float) -> None:
    builder.init("tablePull").version = frame.version


def _read_pull(body: Any, now: float) -> node_frames.TablePull:
    return node_frames.TablePull(body.version)


ENCODERS: dict[type, Callable[[Any, Any, float], None]] = {
    node_frames.GatherQuery: _write_query,
    node_frames.GatherParts: _write_parts,
    node_frames.GatherCancel: _write_cancel,
    node_frames.TargetUpdate: _write_targets,
    node_frames.TableUpdate: _write_table,
    node_frames.TablePull: _write_pull,
}
"""Encoders by message class; each takes the frame's builder, the message and the current time."""

DECODERS: dict[str, Callable[[Any, float], Any]] = {
    "gatherQuery": _read_query,
    "gatherParts": _read_parts,
    "gatherCancel": _read_cancel,
    "targetUpdate": _read_targets,
    "tableUpdate": _read_table,
    "tablePull": _read_pull,
}
"""Decoders by kind of frame; each takes the frame's body and the current time."""
