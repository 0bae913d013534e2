"""Operators' requests to evacuate a data hall, which are keys in the platform's store."""

from __future__ import annotations

PREFIX = "op/evacuate/"
"""Prefix of the keys; the rest of the key names the data hall. The value is ignored."""


def hall_of(key: str) -> str | None:
    """Return the data hall whose evacuation a key requests.

    Args:
        key: Any key of the store.

    Returns:
        The hall, or None if the key is not an evacuation request.
    """
    hall = key.removeprefix(PREFIX)
    return hall if hall and hall != key else None
