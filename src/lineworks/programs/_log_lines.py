"""Parses lines of instances' logs: JSON objects, optionally behind a log collector's prefix."""

from __future__ import annotations

import json
from typing import Any

MAX_NUMBER = 2.0**53
"""Greatest number read from a line: counts and times are far below, and sums stay finite."""


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
    except (ValueError, RecursionError):
        # Another program's line, or one with a number or nesting that the interpreter refuses.
        return None
    return parsed if isinstance(parsed, dict) else None


def number_or_zero(value: Any) -> float:
    """Return a field's value as a float, or 0 if it is not a number of usual size."""
    # Also 0 for NaN, for which every comparison is false.
    if not isinstance(value, int | float) or not abs(value) <= MAX_NUMBER:
        return 0.0
    return float(value)


def text_of(value: Any) -> str:
    """Return a field's value as text that any output can encode."""
    try:
        return str(value).encode("utf-8", "backslashreplace").decode()
    except RecursionError:
        return "(nested too deeply)"
