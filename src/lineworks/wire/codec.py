"""Encodes and decodes frames of the peer link with Cap'n Proto.

The schema `peer.capnp` is loaded at import time, so no code generation is needed.
"""

from __future__ import annotations

import math
import pathlib
from typing import TYPE_CHECKING, Any

import capnp
import structlog

from lineworks.decisions import catalog, verdict
from lineworks.engine import messages
from lineworks.wire import (
    _base,
    _gather_codec,
    _quota_codec,
    _sharing_codec,
    _suspect_codec,
    frames,
)

if TYPE_CHECKING:
    from collections.abc import Callable

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("peer.capnp")))
_FRAME = _SCHEMA.Frame

MalformedFrameError = _base.MalformedFrameError
"""The data is not a valid frame of the peer link."""

_log = structlog.get_logger(component="peer_links")

MAX_FRAME_BYTES = 4 * 1024 * 1024
"""Maximum size of a frame in bytes."""

_WORD_BYTES = 8

_TRAVERSALS = 8
"""How often a decoder may read all words of a frame: those of lists are read for each access."""

_MIN_TRAVERSAL_WORDS = 1024
_CERTAINTIES = tuple(verdict.Certainty)
_REASONS = tuple(verdict.Reason)
_CERTAINTY_NUMBERS = {item: number for number, item in enumerate(_CERTAINTIES)}
_REASON_NUMBERS = {item: number for number, item in enumerate(_REASONS)}


def encode(frame: frames.Frame, now: float) -> bytes:
    """Encode a frame.

    Args:
        frame: The message.
        now: Current time on the sender's clock, in seconds.

    Returns:
        The encoded frame, without a length prefix.
    """
    builder = _FRAME.new_message()
    _ENCODERS[type(frame)](builder, frame, now)
    data: bytes = builder.to_bytes()
    return data


def decode(data: bytes, now: float) -> frames.Frame:
    """Decode a frame.

    Args:
        data: The encoded frame, without a length prefix.
        now: Current time on the receiver's clock, in seconds.

    Returns:
        The message.

    Raises:
        _base.MalformedFrameError: The frame is truncated, damaged or of an unknown kind, or its
            columns have different lengths.
    """
    try:
        with _FRAME.from_bytes(data, traversal_limit_in_words=_traversal_limit(data)) as reader:
            kind = str(reader.which())
            read = _DECODERS.get(kind)
            if read is None:
                raise _base.MalformedFrameError("unknown kind of frame")
            return read(getattr(reader, kind), now)
    except _base.MalformedFrameError:
        raise
    except (capnp.KjException, ValueError, IndexError, UnicodeDecodeError, TypeError) as error:
        raise _base.MalformedFrameError(
            str(error).splitlines()[0] if str(error) else "malformed frame"
        ) from error


def _traversal_limit(data: bytes) -> int:
    """Return how many words may be read: elements without any bytes count as one word each."""
    return max(_MIN_TRAVERSAL_WORDS, _TRAVERSALS * len(data) // _WORD_BYTES)


def _write_challenge(builder: Any, frame: frames.Challenge, now: float) -> None:
    builder.init("challenge").nonce = frame.nonce


def _write_hello(builder: Any, frame: frames.Hello, now: float) -> None:
    body = builder.init("hello")
    body.name = frame.name
    body.hall = frame.hall
    body.incarnation = frame.incarnation
    body.mac = frame.mac


def _write_heartbeat(builder: Any, frame: frames.Heartbeat, now: float) -> None:
    body = builder.init("heartbeat")
    body.isLeaving = frame.is_leaving
    body.configVersion = frame.config_version
    body.configDigest = frame.config_digest
    body.instances = frame.instances
    body.storeEra = frame.store_era
    body.gatherRate = frame.gather_rate


def _write_sub_queries(builder: Any, frame: messages.SubQueries, now: float) -> None:
    body = builder.init("subQueries")
    body.frame = frame.frame
    body.query = frame.query
    body.hall = frame.hall
    body.snapshotVersion = frame.snapshot.version
    body.snapshotLayout = frame.snapshot.layout
    body.services = list(frame.services)
    body.shards = list(frame.shards)
    body.body = frame.body
    body.remaining = _base.remaining_microseconds(frame.deadline, now)
    body.isRepeatable = frame.is_repeatable
    body.needsSnapshot = frame.needs_snapshot
    body.group = frame.group
    body.hedgeBudget = frame.hedge_budget
    body.networkDelay = min(
        _base.MAX_MICROSECONDS, int(frame.network_delay * _base.MICROSECONDS_PER_SECOND)
    )


def _write_cancel(builder: Any, frame: messages.Cancel, now: float) -> None:
    body = builder.init("cancel")
    body.frame = frame.frame
    body.indices = list(frame.indices)


def _write_replies(builder: Any, frame: frames.Replies, now: float) -> None:
    body = builder.init("replies")
    rows = frame.replies
    body.frames = [row.frame for row in rows]
    body.indices = [row.index for row in rows]
    body.certainties = [_CERTAINTY_NUMBERS[row.verdict.certainty] for row in rows]
    body.reasons = [_REASON_NUMBERS[row.verdict.reason] for row in rows]
    body.details = [row.verdict.detail for row in rows]
    body.snapshots = [str(row.snapshot) if row.snapshot else "" for row in rows]
    body.bodies = [row.body for row in rows]
    body.waits = [
        min(_base.MAX_MICROSECONDS, int(row.waited * _base.MICROSECONDS_PER_SECOND)) for row in rows
    ]
    body.targets = [row.target for row in rows]
    body.attempts = [row.attempts for row in rows]


def _write_holdings(builder: Any, frame: frames.Holdings, now: float) -> None:
    body = builder.init("holdings")
    body.services = list(frame.held)
    body.snapshots = [
        ",".join(str(snapshot) for snapshot in sorted(held)) for held in frame.held.values()
    ]


def _write_config_pull(builder: Any, frame: frames.ConfigPull, now: float) -> None:
    body = builder.init("configPull")
    body.version = frame.version
    body.digest = frame.digest


def _write_config_changes(builder: Any, frame: frames.ConfigChanges, now: float) -> None:
    builder.init("configChanges").document = frame.document


def _write_relay(builder: Any, frame: frames.Relay, now: float) -> None:
    body = builder.init("relay")
    body.number = frame.number
    body.ticket = frame.ticket
    body.document = frame.document
    body.remaining = _base.remaining_microseconds(frame.deadline, now)


def _write_relay_reply(builder: Any, frame: frames.RelayReply, now: float) -> None:
    body = builder.init("relayReply")
    body.number = frame.number
    body.document = frame.document


def _read_challenge(body: Any, now: float) -> frames.Frame:
    return frames.Challenge(bytes(body.nonce))


def _read_hello(body: Any, now: float) -> frames.Frame:
    return frames.Hello(body.name, body.hall, body.incarnation, bytes(body.mac))


def _read_heartbeat(body: Any, now: float) -> frames.Frame:
    return frames.Heartbeat(
        body.isLeaving,
        body.configVersion,
        body.configDigest,
        body.instances,
        body.storeEra,
        max(0.0, body.gatherRate) if math.isfinite(body.gatherRate) else 0.0,
    )


def _read_sub_queries(body: Any, now: float) -> frames.Frame:
    services = tuple(body.services)
    shards = tuple(body.shards)
    if len(services) != len(shards) or not services:
        raise _base.MalformedFrameError("columns of different lengths")
    return messages.SubQueries(
        frame=body.frame,
        query=body.query,
        hall=body.hall,
        snapshot=catalog.Snapshot(body.snapshotVersion, body.snapshotLayout),
        services=services,
        shards=shards,
        body=bytes(body.body),
        deadline=now + body.remaining / _base.MICROSECONDS_PER_SECOND,
        is_repeatable=body.isRepeatable,
        needs_snapshot=body.needsSnapshot,
        group=body.group,
        hedge_budget=round(body.hedgeBudget, 6),
        network_delay=body.networkDelay / _base.MICROSECONDS_PER_SECOND,
    )


def _read_cancel(body: Any, now: float) -> frames.Frame:
    return messages.Cancel(body.frame, tuple(body.indices))


def _read_replies(body: Any, now: float) -> frames.Frame:
    columns = _base.columns(
        body.frames,
        body.indices,
        body.certainties,
        body.reasons,
        body.details,
        body.snapshots,
        body.bodies,
        body.waits,
        body.targets,
        body.attempts,
    )
    return frames.Replies(tuple(_read_reply(*row) for row in zip(*columns, strict=True)))


def _read_reply(
    frame: int,
    index: int,
    certainty: int,
    reason: int,
    detail: str,
    snapshot: str,
    body: bytes,
    waited: int,
    target: str,
    attempts: int,
) -> messages.ShardReply:
    outcome = verdict.Verdict(_CERTAINTIES[certainty], _REASONS[reason], detail)
    return messages.ShardReply(
        frame,
        index,
        outcome,
        catalog.parse_snapshot(snapshot) if snapshot else None,
        bytes(body),
        waited / _base.MICROSECONDS_PER_SECOND,
        target,
        attempts,
    )


def _read_holdings(body: Any, now: float) -> frames.Frame:
    services = list(body.services)
    held = list(body.snapshots)
    if len(services) != len(held):
        raise _base.MalformedFrameError("columns of different lengths")
    return frames.Holdings(
        {
            service: _parse_valid_snapshots(service, text)
            for service, text in zip(services, held, strict=True)
        }
    )


def _parse_valid_snapshots(service: str, text: str) -> frozenset[catalog.Snapshot]:
    """Parse snapshots, without those that are invalid: a target stated them, not the peer.

    A peer states its holdings again on each new link, so that closing it would be repeated.
    """
    found = set()
    for part in filter(None, text.split(",")):
        try:
            found.add(catalog.parse_snapshot(part))
        except ValueError as error:
            _log.warning("snapshot_refused", service=service, error=str(error))
    return frozenset(found)


def _read_config_pull(body: Any, now: float) -> frames.Frame:
    return frames.ConfigPull(body.version, body.digest)


def _read_config_changes(body: Any, now: float) -> frames.Frame:
    return frames.ConfigChanges(bytes(body.document))


def _read_relay(body: Any, now: float) -> frames.Frame:
    deadline = now + body.remaining / _base.MICROSECONDS_PER_SECOND
    return frames.Relay(body.number, body.ticket, bytes(body.document), deadline)


def _read_relay_reply(body: Any, now: float) -> frames.Frame:
    return frames.RelayReply(body.number, bytes(body.document))


_ENCODERS: dict[type, Callable[[Any, Any, float], None]] = {
    frames.Challenge: _write_challenge,
    frames.Hello: _write_hello,
    frames.Heartbeat: _write_heartbeat,
    messages.SubQueries: _write_sub_queries,
    messages.Cancel: _write_cancel,
    frames.Replies: _write_replies,
    frames.Holdings: _write_holdings,
    frames.ConfigPull: _write_config_pull,
    frames.ConfigChanges: _write_config_changes,
    frames.Relay: _write_relay,
    frames.RelayReply: _write_relay_reply,
    **_gather_codec.ENCODERS,
    **_sharing_codec.ENCODERS,
    **_suspect_codec.ENCODERS,
    **_quota_codec.ENCODERS,
}

_DECODERS: dict[str, Callable[[Any, float], frames.Frame]] = {
    "challenge": _read_challenge,
    "hello": _read_hello,
    "heartbeat": _read_heartbeat,
    "subQueries": _read_sub_queries,
    "cancel": _read_cancel,
    "replies": _read_replies,
    "holdings": _read_holdings,
    "configPull": _read_config_pull,
    "configChanges": _read_config_changes,
    "relay": _read_relay,
    "relayReply": _read_relay_reply,
    **_gather_codec.DECODERS,
    **_sharing_codec.DECODERS,
    **_suspect_codec.DECODERS,
    **_quota_codec.DECODERS,
}
