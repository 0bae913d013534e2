"""Changes of targets' entries as instances tell them to each other (JSON rows)."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from lineworks.decisions import target_view

if TYPE_CHECKING:
    from collections.abc import Iterable


_FIELDS = (str, str, str, int, int, bool, bool, int)
"""Types of an entry's fields: service, hall, host, port, slots, leaving, cold, born."""


class TargetDocumentError(ValueError):
    """The bytes are no list of changes."""


def encode(changes: Iterable[target_view.TargetChange]) -> bytes:
    """Write changes.

    Args:
        changes: The changes.

    Returns:
        JSON.
    """
    rows = []
    for change in changes:
        row: list[object] = [change.id, change.revision]
        entry = change.entry
        if entry is not None:
            row += [entry.service, entry.hall, entry.host, entry.port, entry.slots]
            row += [entry.is_leaving, entry.is_cold, entry.born]
        rows.append(row)
    return json.dumps(rows, separators=(",", ":")).encode()


def decode(data: bytes) -> list[target_view.TargetChange]:
    """Read changes.

    Args:
        data: What `encode` wrote.

    Returns:
        The changes.

    Raises:
        TargetDocumentError: It is something else.
    """
    try:
        return [_change(row) for row in json.loads(data)]
    except (ValueError, TypeError, IndexError, RecursionError) as error:
        raise TargetDocumentError(repr(error)) from error


def _change(row: list[object]) -> target_view.TargetChange:
    name, revision = row[0], row[1]
    if not isinstance(name, str) or type(revision) is not int:
        raise TargetDocumentError("expected an identity and a revision")
    if len(row) == 2:
        return target_view.TargetChange(name, revision, None)
    fields = row[2:]
    if len(fields) != len(_FIELDS) or any(
        type(field) is not kind for field, kind in zip(fields, _FIELDS, strict=True)
    ):
        raise TargetDocumentError(f"{name[:80]!r}: not the fields of an entry")
    entry = target_view.TargetEntry(name, *fields)  # type: ignore[arg-type]
    if entry.slots < 1 or entry.born < 0:
        raise TargetDocumentError(f"{name[:80]!r}: a number is too small")
    return target_view.TargetChange(name, revision, entry)
