"""Reports from instances' logs which requests failed, were late or incomplete, and where and why.

Each such request loses a part of its value to the caller: an unanswered request all of it, a late
one most of it, and a search that lacks shards 1 minus the square of the fraction of shards covered.
Only logged requests can be counted; log lines that were suppressed by rate limiting are counted
separately.
"""

from __future__ import annotations

import collections
import dataclasses
import re
from typing import TYPE_CHECKING, Any

from lineworks.programs import _log_lines

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Sequence

LATE_LOSS = 0.9
"""Fraction of a request's value that is lost when its answer misses the latency target: by then
most callers have moved on."""

MAX_ROWS = 12
"""Maximum number of rows in a table."""

MAX_EXAMPLES = 3
"""Maximum number of example requests in a row."""

_GENERATED_ID = re.compile(r"\b[a-z]+-[0-9a-f]{4,}\b")
_SERVICE_PREFIX = re.compile(r"^\S+: ")
_COLLECTOR_PREFIX = re.compile(r"^\s*(-?\d+\.\d+)\s+(\S+)\s+\{")
_UNKNOWN = "?"

_UNCOUNTED_STATUSES = (401, 404, 429)
"""HTTP statuses that count as no loss: unknown key, unknown route, quota exceeded."""

_NO_WORKSPACE = "none"

_CUT_REASON = "cut by the end of the process"


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """A request that failed, was late or was answered incompletely."""

    attempt_id: str
    """The caller's ID of the attempt."""

    route: str
    """The route, or a question mark if it was not determined."""

    workspace: str
    """The workspace; empty if the log line names none."""

    hall: str
    """Data hall of the instance, or a question mark if the log does not name it."""

    second: int
    """Time at which the request ended, in whole seconds on the log's clock."""

    reason: str
    """Short description of the cause."""

    amount: float
    """Fraction of the request's value that was lost, from 0 to 1."""


class LossReader:
    """Extracts losses from logs.

    It keeps state across logs: the instances' data halls, the failed attempts and the number of
    suppressed lines.
    """

    def __init__(self) -> None:
        """Create a reader that has read no logs."""
        self._halls: dict[str, str] = {}
        self._failed_attempts: set[str] = set()
        self.left_out = 0
        """Number of log lines about requests that the instances suppressed by rate limiting."""

    def read(self, name: str, lines: Iterable[str]) -> Iterator[Loss]:
        """Read a log.

        Args:
            name: Name of the log, used as the instance's name for lines that name none.
            lines: Lines of the log. Each may begin with a time in seconds and the name of an
                instance; lines without a JSON object are skipped.

        Yields:
            The losses, in the order of the lines.
        """
        for text in lines:
            fields = _log_lines.parse_line(text)
            if fields is None:
                continue
            prefix = _COLLECTOR_PREFIX.match(text)
            instance = prefix[2] if prefix else name
            stated = float(prefix[1]) if prefix else fields.get("t")
            ended_at = _log_lines.number_or_zero(stated)
            found = self._process(instance, ended_at, fields)
            if found is not None:
                yield found

    def _process(self, instance: str, ended_at: float, fields: dict[str, Any]) -> Loss | None:
        event = fields.get("event")
        if event == "started":
            self._halls[instance] = _log_lines.text_of(fields.get("hall", _UNKNOWN))
        elif event == "lines_left_out" and fields.get("kind") == "request":
            self.left_out += int(_log_lines.number_or_zero(fields.get("count")))
        elif event == "caller_gone":
            return self._loss(instance, ended_at, fields, "the caller left", 1.0)
        elif event in ("cut_at_end", "answer_not_delivered"):
            # A failed request counts as one loss, even if its answer was also not delivered.
            if _log_lines.text_of(fields.get("id")) in self._failed_attempts:
                return None
            return self._loss(instance, ended_at, fields, _CUT_REASON, 1.0)
        elif event == "request":
            return self._evaluate_request(instance, ended_at, fields)
        return None

    def _evaluate_request(
        self, instance: str, ended_at: float, fields: dict[str, Any]
    ) -> Loss | None:
        """Return the loss of a logged request, or None if there was none."""
        if fields.get("status") in _UNCOUNTED_STATUSES:
            return None
        if fields.get("status") != 200:
            self._failed_attempts.add(_log_lines.text_of(fields.get("id")))
            return self._loss(instance, ended_at, fields, _failure_reason(fields), 1.0)
        slo = _log_lines.number_or_zero(fields.get("aim_ms"))
        if slo and _log_lines.number_or_zero(fields.get("ms")) > slo:
            return self._loss(instance, ended_at, fields, "late", LATE_LOSS)
        total = _log_lines.number_or_zero(fields.get("total"))
        covered = _log_lines.number_or_zero(fields.get("covered"))
        if 0 <= covered < total:
            amount = 1.0 - (covered / total) ** 2
            return self._loss(instance, ended_at, fields, _partial_reason(fields), amount)
        return None

    def _loss(
        self, instance: str, ended_at: float, fields: dict[str, Any], reason: str, amount: float
    ) -> Loss:
        return Loss(
            attempt_id=_log_lines.text_of(fields.get("id", _UNKNOWN)),
            route=_log_lines.text_of(fields.get("route") or _UNKNOWN),
            workspace=_log_lines.text_of(fields.get("workspace") or ""),
            hall=self._halls.get(instance, _UNKNOWN),
            second=int(ended_at // 1),
            reason=_log_lines.text_of(reason),
            amount=amount,
        )


def format_tables(losses: Sequence[Loss], left_out: int) -> list[str]:
    """Format the losses as tables by route, workspace, hall, reason and second.

    Rows are sorted by the value lost, in descending order, except those by second, which are sorted
    by time.

    Args:
        losses: The losses.
        left_out: Number of log lines about requests that were suppressed.

    Returns:
        Lines of human-readable text.
    """
    total_lost = sum(loss.amount for loss in losses)
    lines = [f"{len(losses)} requests went badly; together they lost the use of {total_lost:.1f}"]
    if left_out:
        lines.append(f"{left_out} lines on requests were left out for their number")
    lines += _table("route", losses, lambda loss: loss.route)
    if any(loss.workspace for loss in losses):
        lines += _table("workspace", losses, lambda loss: loss.workspace or _NO_WORKSPACE)
    lines += _table("hall", losses, lambda loss: loss.hall)
    lines += _table("reason", losses, lambda loss: loss.reason)
    lines += _table("second", losses, lambda loss: f"{loss.second:5d}", is_ordered=True)
    return lines


def _table(title: str, losses: Sequence[Loss], key: Any, is_ordered: bool = False) -> list[str]:
    groups: dict[str, list[Loss]] = collections.defaultdict(list)
    for loss in losses:
        groups[key(loss)].append(loss)
    ranked = sorted(groups.items(), key=lambda item: -_total_amount(item[1]))
    shown = ranked[:MAX_ROWS]
    if is_ordered:
        shown.sort()
    lines = ["", f"{'lost':>7} {'requests':>8}  {title}, with examples"]
    for name, found in shown:
        worst = sorted(found, key=lambda loss: -loss.amount)[:MAX_EXAMPLES]
        examples = " ".join(loss.attempt_id for loss in worst)
        lines.append(f"{_total_amount(found):7.1f} {len(found):8d}  {name}: {examples}")
    if len(ranked) > len(shown):
        rest = [loss for _, found in ranked[MAX_ROWS:] for loss in found]
        lines.append(f"{_total_amount(rest):7.1f} {len(rest):8d}  ({len(ranked) - MAX_ROWS} more)")
    return lines


def _total_amount(losses: Iterable[Loss]) -> float:
    return sum(loss.amount for loss in losses)


def _failure_reason(fields: dict[str, Any]) -> str:
    detail = re.sub(
        r"\d+", "n", _GENERATED_ID.sub("", _log_lines.text_of(fields.get("detail", "")))
    ).strip()
    status, reason = (_log_lines.text_of(fields.get(name)) for name in ("status", "reason"))
    return f"{status} {reason}: {detail.partition(',')[0]}"


def _partial_reason(fields: dict[str, Any]) -> str:
    """Return the most frequent cause among the missing shards."""
    missing = fields.get("missing")
    if not isinstance(missing, list) or not missing:
        missing = [_UNKNOWN]
    clauses = [
        _GENERATED_ID.sub("a target", _SERVICE_PREFIX.sub("", _log_lines.text_of(clause)))
        for clause in missing
    ]
    clause, _ = collections.Counter(clauses).most_common(1)[0]
    return f"in part: {clause}"
