"""Encodes and decodes the records of suspects in the platform's store (JSON)."""

from __future__ import annotations

import json

from lineworks.decisions import suspects

PREFIX = "lineworks/suspects/"
"""Prefix of the keys, followed by the fingerprint of the request."""


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
        epoch, is_cleared = int(found["epoch"]), bool(found["cleared"])
        ends = tuple(
            suspects.TargetEnd(str(target), str(attempt), now, bool(is_trial), bool(is_proven))
            for target, attempt, is_trial, is_proven in found["ends"]
        )
    except (ValueError, TypeError, KeyError, OverflowError, RecursionError) as error:
        raise SuspectDocumentError(f"{content}: {error!r}") from error
    return suspects.Record(content, epoch, ends, now if is_cleared else None)
