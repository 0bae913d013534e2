"""Tells from the logs of instances where requests went badly: which, where, when and why.

A request that was not answered counts as lost whole, a late one nearly so, and a search without
some of its shards by the square of the share that it covered. Only what is logged can be counted:
lines left out for their number are told apart.
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
"""Part of a request's use that is lost when it is answered after its aim: callers mostly have gone
on by then."""

MAX_ROWS = 12
"""Rows that a table shows at most."""

MAX_EXAMPLES = 3
"""Identities of requests that a row names at most."""

_GENERATED_ID = re.compile(r"\b[a-z]+-[0-9a-f]{4,}\b")
_SERVICE_PREFIX = re.compile(r"^\S+: ")
_COLLECTOR_PREFIX = re.compile(r"^\s*(-?\d+\.\d+)\s+(\S+)\s+\{")
_UNKNOWN = "?"

_UNCOUNTED_STATUSES = (401, 404, 429)
"""Status of answers to an unknown key, to an unknown route, and to what is over a quota."""

_NO_WORKSPACE = "none"

_CUT_REASON = "cut by the end of the process"


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """A request that went badly."""

    attempt_id: str
    """The caller's identity of the try."""

    route: str
    """Its route; a question mark where none was known yet."""

    workspace: str
    """Its workspace; empty where the line names none."""

    hall: str
    """Data hall of its instance."""

    second: int
    """When it ended, in seconds on the log's clock."""

    reason: str
    """Why, in a few words."""

    amount: float
    """Part of its use that was lost, from 0 to 1."""


class LossReader:
    """Reads logs one after the other; it remembers the halls of instances and what is left out."""

    def __init__(self) -> None:
        """Start with nothing read."""
        self._halls: dict[str, str] = {}
        self._failed_attempts: set[str] = set()
        self.left_out = 0
        """Lines on requests that the instances left out for their number."""

    def read(self, name: str, lines: Iterable[str]) -> Iterator[Loss]:
        """Read one log.

        Args:
            name: Name of the log, which stands for the instance where a line does not name one.
            lines: Its lines. Each may begin with a time and the name of an instance; what is no
                log line is passed over.

        Yields:
            Requests that went badly.
        """
        for text in lines:
            fields = _log_lines.parse_line(text)
            if fields is None:
                continue
            prefix = _COLLECTOR_PREFIX.match(text)
            instance = prefix[2] if prefix else name
            ended_at = float(prefix[1]) if prefix else _log_lines.number_or_zero(fields.get("t"))
            found = self._process(instance, ended_at, fields)
            if found is not None:
                yield found

    def _process(self, instance: str, ended_at: float, fields: dict[str, Any]) -> Loss | None:
        event = fields.get("event")
        if event == "started":
            self._halls[instance] = str(fields.get("hall", _UNKNOWN))
        elif event == "lines_left_out" and fields.get("kind") == "request":
            self.left_out += int(_log_lines.number_or_zero(fields.get("count")))
        elif event == "caller_gone":
            return self._loss(instance, ended_at, fields, "the caller left", 1.0)
        elif event in ("cut_at_end", "answer_not_delivered"):
            # A failure is lost once, also when its caller did not get it.
            if fields.get("id") in self._failed_attempts:
                return None
            return self._loss(instance, ended_at, fields, _CUT_REASON, 1.0)
        elif event == "request":
            return self._evaluate_request(instance, ended_at, fields)
        return None

    def _evaluate_request(
        self, instance: str, ended_at: float, fields: dict[str, Any]
    ) -> Loss | None:
        """Say what a request lost; nothing where nobody owes an answer."""
        if fields.get("status") in _UNCOUNTED_STATUSES:
            return None
        if fields.get("status") != 200:
            self._failed_attempts.add(str(fields.get("id")))
            return self._loss(instance, ended_at, fields, _failure_reason(fields), 1.0)
        slo = _log_lines.number_or_zero(fields.get("aim_ms"))
        if slo and _log_lines.number_or_zero(fields.get("ms")) > slo:
            return self._loss(instance, ended_at, fields, "late", LATE_LOSS)
        total = _log_lines.number_or_zero(fields.get("total"))
        covered = _log_lines.number_or_zero(fields.get("covered"))
        if covered < total:
            amount = 1.0 - (covered / total) ** 2
            return self._loss(instance, ended_at, fields, _partial_reason(fields), amount)
        return None

    def _loss(
        self, instance: str, ended_at: float, fields: dict[str, Any], reason: str, amount: float
    ) -> Loss:
        return Loss(
            attempt_id=str(fields.get("id", _UNKNOWN)),
            route=str(fields.get("route") or _UNKNOWN),
            workspace=str(fields.get("workspace") or ""),
            hall=self._halls.get(instance, _UNKNOWN),
            second=int(ended_at // 1),
            reason=reason,
            amount=amount,
        )


def format_tables(losses: Sequence[Loss], left_out: int) -> list[str]:
    """Write tables of what was lost, the greatest first; seconds in their order.

    Args:
        losses: Requests that went badly.
        left_out: Lines on requests that the logs leave out.

    Returns:
        Lines for a person.
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
    detail = re.sub(r"\d+", "n", _GENERATED_ID.sub("", str(fields.get("detail", "")))).strip()
    return f"{fields.get('status')} {fields.get('reason')}: {detail.partition(',')[0]}"


def _partial_reason(fields: dict[str, Any]) -> str:
    """Name what most of the missing shards waited for."""
    missing = fields.get("missing") or [_UNKNOWN]
    clauses = [
        _GENERATED_ID.sub("a target", _SERVICE_PREFIX.sub("", str(clause))) for clause in missing
    ]
    clause, _ = collections.Counter(clauses).most_common(1)[0]
    return f"in part: {clause}"
