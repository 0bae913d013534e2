"""Codec for changes of targets' entries that instances send each other, as rows of JSON."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, TypeVar

import structlog

from lineworks.decisions import positions, target_view
from lineworks.models import addresses

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

MAX_NUMBER = 2**63 - 1
"""Greatest number accepted: the frames that carry positions have 64 bits."""

MAX_SECONDS = 86_400.0
"""Longest time for which an entry may be unsettled, in seconds."""

MAX_REASON_CHARACTERS = 200
"""Maximum length of the reason in an error, in characters."""

_Row = TypeVar("_Row")

_REFUSED = None
"""Stands in a row in place of an entry that can't be used."""

_log = structlog.get_logger(component="directory")

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
    if change.is_refused:
        row.append(_REFUSED)
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
        The entries; invalid ones are skipped.

    Raises:
        TargetDocumentError: The data is not a list in JSON.
    """
    if not data:
        return []
    return _decode_rows(data, _unsettled)


def decode(data: bytes) -> list[target_view.TargetChange]:
    """Decode changes.

    Args:
        data: Output of `encode`.

    Returns:
        The changes. An entry that is invalid counts as removed, as one in the store does; a row
        whose identity or position is invalid is skipped.

    Raises:
        TargetDocumentError: The data is not a list in JSON.
    """
    return _decode_rows(data, _change)


def _decode_rows(data: bytes, decode_row: Callable[[Any, list[str]], _Row]) -> list[_Row]:
    """Decode rows one by one, so that an invalid one does not affect those beside it."""
    try:
        rows = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise TargetDocumentError(f"(document): {error}"[:MAX_REASON_CHARACTERS]) from error
    if not isinstance(rows, list):
        raise TargetDocumentError("(document): expected a list")
    found = []
    refused: list[str] = []
    for row in rows:
        try:
            found.append(decode_row(row, refused))
        except TargetDocumentError as error:
            refused.append(str(error))
    if refused:
        _log.warning("peer_entries_refused", count=len(refused), first=refused[0])
    return found


def _unsettled(row: Any, refused: list[str]) -> target_view.Unsettled:
    if not isinstance(row, list) or len(row) < 2:
        raise TargetDocumentError("expected a reason and seconds")
    try:
        reason = target_view.UnsettledReason(row[0])
    except ValueError as error:
        raise TargetDocumentError("expected a reason") from error
    seconds = _seconds(row[1])
    name, position = _identity(row[2:])
    entry = _entry(name, row[5:]) if len(row) > 5 else None
    return target_view.Unsettled(target_view.TargetChange(name, position, entry), reason, seconds)


def _seconds(value: Any) -> float:
    # Also refuses NaN, for which every comparison is false.
    if type(value) not in (int, float) or not abs(value) <= MAX_SECONDS:
        raise TargetDocumentError("expected seconds")
    return float(value)


def _change(row: Any, refused: list[str]) -> target_view.TargetChange:
    name, position = _identity(row)
    if len(row) == 3:
        return target_view.TargetChange(name, position, None)
    if row[3:] == [_REFUSED]:
        return target_view.TargetChange(name, position, None, is_refused=True)
    try:
        return target_view.TargetChange(name, position, _entry(name, row[3:]))
    except TargetDocumentError as error:
        refused.append(str(error))
        return target_view.TargetChange(name, position, None, is_refused=True)


def _identity(row: Any) -> tuple[str, positions.Position]:
    if not isinstance(row, list) or len(row) < 3:
        raise TargetDocumentError("expected an identity, an era and a revision")
    name, era, revision = row[:3]
    if not isinstance(name, str) or not name or not name.isascii() or not name.isprintable():
        raise TargetDocumentError("expected an identity that a header can carry")
    if not _is_number(era) or not _is_number(revision):
        raise TargetDocumentError(f"{name[:80]!r}: expected an era and a revision")
    return name, positions.Position(era, revision)


def _entry(name: str, fields: list[Any]) -> target_view.TargetEntry:
    if len(fields) != len(_FIELDS) or any(
        type(field) is not kind for field, kind in zip(fields, _FIELDS, strict=True)
    ):
        raise TargetDocumentError(f"{name[:80]!r}: not the fields of an entry")
    entry = target_view.TargetEntry(name, *fields)
    if not _is_text(entry.service) or not _is_text(entry.hall):
        raise TargetDocumentError(f"{name[:80]!r}: not the name of a service and a hall")
    if not addresses.is_ip(entry.host) or not addresses.is_port(entry.port):
        raise TargetDocumentError(f"{name[:80]!r}: not an address")
    if entry.slots < 1 or not _is_number(entry.slots) or not _is_number(entry.born):
        raise TargetDocumentError(f"{name[:80]!r}: a number is out of range")
    return entry


def _is_number(value: Any) -> bool:
    return type(value) is int and 0 <= value <= MAX_NUMBER


def _is_text(value: str) -> bool:
    return bool(value) and not any("\ud800" <= character <= "\udfff" for character in value)
