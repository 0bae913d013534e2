"""The entries that targets keep in the platform's store (JSON)."""

from __future__ import annotations

import json

from lineworks.decisions import target_view
from lineworks.platform import _fields

PREFIX = "servers/"
"""Prefix of the keys; what follows is the identity of the target's process."""

_LEAVING = "draining"


class EntryError(Exception):
    """An entry cannot be used; the message names the field."""


def decode(key: str, data: bytes) -> target_view.TargetEntry:
    """Read an entry.

    Args:
        key: Its key.
        data: The stored value.

    Returns:
        The entry.

    Raises:
        EntryError: It is no JSON, or a field is missing or wrong.
    """
    try:
        found = _fields.Fields(json.loads(data))
        host, port = found.address("Address")
        return target_view.TargetEntry(
            id=key.removeprefix(PREFIX),
            service=found.text("Service"),
            hall=found.text("Zone"),
            host=host,
            port=port,
            # Requests worked on at a time; a short queue comes on top.
            slots=found.integer("Capacity", 1, least=1),
            is_leaving=found.text("State") == _LEAVING,
            # Time still left of the slow phase after a start.
            is_cold=found.number("WarmupLeftMs", 0.0) > 0,
        )
    except (ValueError, _fields.DocumentError) as error:
        raise EntryError(f"{key}: {error}") from error
