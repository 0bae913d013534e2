"""Records of suspects as instances write them to the platform's store (JSON)."""

from __future__ import annotations

import json

from lineworks.decisions import suspects

PREFIX = "lineworks/suspects/"
"""Prefix of the keys; what follows is the fingerprint of the request."""


class SuspectDocumentError(ValueError):
    """The bytes are no record."""


def encode(record: suspects.Record) -> bytes:
    """Write a record. Times are left out: instances share no clock.

    Args:
        record: The record.

    Returns:
        JSON.
    """
    ends = [[end.target, end.attempt, end.is_trial, end.is_proven] for end in record.ends]
    document = {
        "epoch": record.epoch,
        "cleared": record.cleared_at is not None,
        "ends": ends,
    }
    return json.dumps(document, separators=(",", ":")).encode()


def decode(content: str, data: bytes, now: float) -> suspects.Record:
    """Read a record; its ends count from now.

    Args:
        content: Fingerprint of the request.
        data: What `encode` wrote.
        now: The present, in seconds.

    Returns:
        The record.

    Raises:
        SuspectDocumentError: It is something else.
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
