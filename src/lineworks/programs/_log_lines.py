"""Reads the lines of instances' logs: JSON objects, perhaps behind what a collector put there."""

from __future__ import annotations

import json
from typing import Any


def parse_line(text: str) -> dict[str, Any] | None:
    """Read a line.

    Args:
        text: The line; what stands before the first brace is passed over.

    Returns:
        Its fields, or None when it is no log line.
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
    """Read a field that should be a number; 0 when it is none."""
    return float(value) if isinstance(value, int | float) else 0.0
