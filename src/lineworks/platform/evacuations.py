"""The operators' requests to leave a data hall alone, as keys of the platform's store."""

from __future__ import annotations

PREFIX = "op/evacuate/"
"""Prefix of the keys; what follows is the data hall. The value says nothing."""


def hall_of(key: str) -> str | None:
    """Read which data hall a key asks to leave alone.

    Args:
        key: Any key of the store.

    Returns:
        The hall, or None where the key is about something else.
    """
    hall = key.removeprefix(PREFIX)
    return hall if hall and hall != key else None
