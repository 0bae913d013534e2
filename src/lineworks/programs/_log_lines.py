"""Parses lines of instances' logs: JSON objects, optionally behind a log collector's prefix."""

from __future__ import annotations

import json
from typing import Any


def parse_line(text: str) -> dict[str, Any] | None:
    """Parse a log line.

    Args:
        text: The line; anything before the first opening brace is ignored.

    Returns:
        The line's fields, or None if it holds no JSON object.
    """
    start = text.find("{")
    if start < 0:
        return None
    try:
        parsed = json.loads(text[start:])
    except ValueError:
        return None
    return parsed if isinstance(parsed, dict) else None


def number_or_zero(value: Any) -> float:
    """Return a field's value as a float, or 0 if it is not a number."""
    return float(value) if isinstance(value, int | float) else 0.0
