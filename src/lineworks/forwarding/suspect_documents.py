"""Encodes and decodes the records of suspects in the platform's store (JSON)."""

from __future__ import annotations

import json
from typing import Any

from lineworks.decisions import suspects

PREFIX = "lineworks/suspects/"
"""Prefix of the keys, followed by the fingerprint of the request."""

MAX_EPOCH = 2**31
"""Greatest epoch accepted; the peers' frames carry 32 bits, and a record's epoch still grows."""

MAX_TEXT_BYTES = 4096
"""Maximum length of a fingerprint, of a target's identity and of an attempt's, in bytes: all
records that an instance keeps fit into the frames that it sends."""


class SuspectDocumentError(ValueError):
    """Raised for bytes that are not a valid record."""


def encode(record: suspects.Record) -> bytes:
    """Encode a record. Times are omitted, because instances do not share a clock.

    Args:
        record: Record to encode.

    Returns:
        The record as JSON.
    """
    ends = [[end.target, end.attempt, end.is_trial, end.is_proven] for end in record.ends]
    document = {
        "epoch": record.epoch,
        "cleared": record.cleared_at is not None,
        "ends": ends,
    }
    return json.dumps(document, separators=(",", ":")).encode()


def decode(content: str, data: bytes, now: float) -> suspects.Record:
    """Decode a record. Its ends are dated to the present, because their times are not stored.

    Args:
        content: Fingerprint of the request.
        data: JSON that `encode` returned.
        now: Current time in seconds.

    Returns:
        The decoded record.

    Raises:
        SuspectDocumentError: If the data is not a valid record.
    """
    try:
        found = json.loads(data)
        epoch, is_cleared = _epoch(found["epoch"]), _flag(found["cleared"])
        ends = tuple(_end(row, now) for row in found["ends"][: suspects.MAX_ENDS])
        _text(content)
    except (ValueError, TypeError, KeyError, RecursionError) as error:
        raise SuspectDocumentError(f"{ascii(content)[1:-1][:80]}: {error!r}"[:200]) from error
    return suspects.Record(content, epoch, ends, now if is_cleared else None)


def _end(row: Any, now: float) -> suspects.TargetEnd:
    target, attempt, is_trial, is_proven = row
    return suspects.TargetEnd(_text(target), _text(attempt), now, _flag(is_trial), _flag(is_proven))


def _epoch(value: Any) -> int:
    if type(value) is not int or not 0 <= value <= MAX_EPOCH:
        raise ValueError(f"epoch: expected a whole number from 0 to {MAX_EPOCH}")
    return value


def _flag(value: Any) -> bool:
    if not isinstance(value, bool):
        raise TypeError("expected true or false")
    return value


def _text(value: Any) -> str:
    if not isinstance(value, str) or not 0 < len(value.encode()) <= MAX_TEXT_BYTES:
        raise ValueError(f"expected a text of at most {MAX_TEXT_BYTES} bytes")
    return value
