"""Collects the log lines of one request from the logs of several processes."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any

from lineworks.programs import _log_lines

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Sequence

_HEADER_FIELDS = ("t", "level", "component", "event", "id")


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """A log line that belongs to a request."""

    source: str
    """Name of the log file."""

    number: int
    """Line number in the file, starting at 1."""

    fields: dict[str, Any]
    """The line's fields."""

    @property
    def time(self) -> float:
        """Time in seconds on the clock of the process that wrote the line."""
        return _log_lines.number_or_zero(self.fields.get("t"))


def find(attempt_id: str, name: str, lines: Iterable[str]) -> Iterator[Line]:
    """Find the lines of a request in a log.

    Args:
        attempt_id: The caller's ID of the attempt.
        name: Name of the log.
        lines: Lines of the log; lines without a JSON object are skipped.

    Yields:
        The request's lines, in the order of the log.
    """
    for number, text in enumerate(lines, 1):
        fields = _log_lines.parse_line(text) if attempt_id in text else None
        if fields is not None and fields.get("id") == attempt_id:
            yield Line(name, number, fields)


def format_timeline(attempt_id: str, found: Sequence[Line]) -> list[str]:
    """Format a request's timeline.

    The clocks of different processes are not comparable, so the lines are grouped by log.

    Args:
        attempt_id: The caller's ID of the attempt.
        found: The request's lines from all logs.

    Returns:
        Lines of human-readable text.
    """
    if not found:
        return [f"{attempt_id}: no line in these logs; good requests are logged by sample only"]
    output = [f"{attempt_id}: {len(found)} lines"]
    for line in sorted(found, key=lambda item: (item.source, item.time, item.number)):
        fields = line.fields
        output.append(
            f"{line.source}:{line.number} t={line.time:.4f} "
            f"{_log_lines.text_of(fields.get('component', '?'))} "
            f"{_log_lines.text_of(fields.get('event', '?'))}"
        )
        for name, value in fields.items():
            if name not in _HEADER_FIELDS and value not in ("", [], None):
                output.append(f"    {name}: {_log_lines.text_of(value)}")
    return [_log_lines.text_of(line) for line in output]
