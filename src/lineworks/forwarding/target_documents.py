"""Codec for changes of targets' entries that instances send each other, as rows of JSON."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from lineworks.decisions import positions, target_view

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence


_FIELDS = (str, str, str, int, int, bool, bool, int)
"""Types of an entry's fields: service, hall, host, port, slots, leaving, cold, born."""


class TargetDocumentError(ValueError):
    """The data is not a valid list of changes."""


def encode(changes: Iterable[target_view.TargetChange]) -> bytes:
    """Encode changes.

    Args:
        changes: The changes.

    Returns:
        JSON.
    """
    rows = [_row(change) for change in changes]
    return json.dumps(rows, separators=(",", ":")).encode()


def _row(change: target_view.TargetChange) -> list[object]:
    row: list[object] = [change.id, change.position.era, change.position.revision]
    entry = change.entry
    if entry is not None:
        row += [entry.service, entry.hall, entry.host, entry.port, entry.slots]
        row += [entry.is_leaving, entry.is_cold, entry.born]
    return row


def encode_unsettled(found: Sequence[target_view.Unsettled]) -> bytes:
    """Encode entries that are not settled yet.

    Args:
        found: The entries.

    Returns:
        JSON, or empty data if there are none.
    """
    if not found:
        return b""
    rows = [[one.reason.value, round(one.seconds, 3), *_row(one.change)] for one in found]
    return json.dumps(rows, separators=(",", ":")).encode()


def decode_unsettled(data: bytes) -> list[target_view.Unsettled]:
    """Decode entries that are not settled yet.

    Args:
        data: Output of `encode_unsettled`.

    Returns:
        The entries.

    Raises:
        TargetDocumentError: The data is malformed.
    """
    if not data:
        return []
    try:
        return [
            target_view.Unsettled(
                _change(row[2:]), target_view.UnsettledReason(row[0]), _seconds(row[1])
            )
            for row in json.loads(data)
        ]
    except (ValueError, TypeError, IndexError, KeyError, RecursionError) as error:
        raise TargetDocumentError(repr(error)) from error


def _seconds(value: object) -> float:
    if type(value) not in (int, float):
        raise TargetDocumentError("expected seconds")
    return float(value)  # type: ignore[arg-type]


def decode(data: bytes) -> list[target_view.TargetChange]:
    """Decode changes.

    Args:
        data: Output of `encode`.

    Returns:
        The changes.

    Raises:
        TargetDocumentError: The data is malformed.
    """
    try:
        return [_change(row) for row in json.loads(data)]
    except (ValueError, TypeError, IndexError, RecursionError) as error:
        raise TargetDocumentError(repr(error)) from error


def _change(row: list[object]) -> target_view.TargetChange:
    name, era, revision = row[0], row[1], row[2]
    if not isinstance(name, str) or type(era) is not int or type(revision) is not int:
        raise TargetDocumentError("expected an identity, an era and a revision")
    position = positions.Position(era, revision)
    if len(row) == 3:
        return target_view.TargetChange(name, position, None)
    fields = row[3:]
    if len(fields) != len(_FIELDS) or any(
        type(field) is not kind for field, kind in zip(fields, _FIELDS, strict=True)
    ):
        raise TargetDocumentError(f"{name[:80]!r}: not the fields of an entry")
    entry = target_view.TargetEntry(name, *fields)  # type: ignore[arg-type]
    if entry.slots < 1 or entry.born < 0:
        raise TargetDocumentError(f"{name[:80]!r}: a number is too small")
    return target_view.TargetChange(name, position, entry)
