"""The callers' own books, from which a run's figures are made."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any

from lineworks.decisions import verdict

if TYPE_CHECKING:
    from bench import fakes
    from lineworks.engine import requests

LATE_MARGIN = 0.005
"""Seconds after its deadline, besides the way to the caller, at which an answer is late."""


@dataclasses.dataclass(slots=True)
class Entry:
    """One request as its caller knows it."""

    cause: str
    """Names the request in its body, and so in replies and targets' books."""

    caller_class: str
    """Class of the caller."""

    sent_at: float
    """When the caller sent it, in seconds."""

    deadline: float
    """When the caller stops waiting."""

    is_run: bool
    """Whether it is an unrepeatable request to one service."""

    counts: bool
    """Whether it came after the warm-up."""

    answers: int = 0
    """Answers received."""

    received_at: float = 0.0
    """When the answer came."""

    answer: requests.Answer | None = None
    """The answer."""


class Books:
    """All requests of a run."""

    def __init__(self) -> None:
        self.entries: list[Entry] = []

    def figures(self, gates: dict[str, fakes.TargetGate], seconds: float) -> dict[str, Any]:
        """Make the figures of a run from the callers' and the targets' books.

        Args:
            gates: All targets.
            seconds: Length of the time that counts.

        Returns:
            Figures by name; latencies in milliseconds.
        """
        starts = _starts(gates)
        searches = [entry for entry in self.entries if entry.counts and not entry.is_run]
        document = self._latencies(searches, seconds)
        document.update(_extra_load(starts))
        document.update(self._broken(starts))
        document["cap_exceeded"] = sum(gate.refused for gate in gates.values())
        document["work_after_leaving"] = sum(
            gate.model.books.started_after_leaving for gate in gates.values()
        )
        document["classes"] = {
            name: self._latencies([e for e in searches if e.caller_class == name], seconds)
            for name in sorted({entry.caller_class for entry in searches})
        }
        return document

    def _latencies(self, entries: list[Entry], seconds: float) -> dict[str, Any]:
        answered = [entry for entry in entries if _is_answered(entry)]
        times = sorted((entry.received_at - entry.sent_at) * 1000 for entry in answered)
        shares = [entry.answer.coverage.share for entry in answered if entry.answer]
        return {
            "sent": len(entries),
            "answered": len(answered),
            "refused": sum(1 for entry in entries if _is_refused(entry)),
            "failed": sum(1 for e in entries if not _is_answered(e) and not _is_refused(e)),
            "p50_ms": _quantile(times, 0.5),
            "p99_ms": _quantile(times, 0.99),
            "p999_ms": _quantile(times, 0.999),
            "coverage": round(sum(shares) / len(shares), 6) if shares else 0.0,
            "goodput": round(len(answered) / seconds, 3),
        }

    def _broken(self, starts: dict[str, int]) -> dict[str, int]:
        """Count broken promises."""
        counts = dict.fromkeys(("doubled", "lost", "mixed", "crossed", "past_deadline"), 0)
        counts["untrue"] = 0
        by_cause: dict[str, int] = {}
        for key, number in starts.items():
            cause = key.partition("/")[0]
            by_cause[cause] = by_cause.get(cause, 0) + number
        for entry in self.entries:
            started = by_cause.get(entry.cause, 0)
            counts["lost"] += entry.answers != 1
            counts["doubled"] += entry.is_run and started > 1
            counts["past_deadline"] += entry.received_at > entry.deadline + LATE_MARGIN
            if entry.answer is not None:
                counts["mixed"] += _is_mixed(entry.answer)
                counts["crossed"] += _is_crossed(entry, entry.answer)
                counts["untrue"] += _is_untrue(entry.answer, started)
        return counts


def _starts(gates: dict[str, fakes.TargetGate]) -> dict[str, int]:
    total: dict[str, int] = {}
    for gate in gates.values():
        for key, number in gate.model.books.started.items():
            total[key] = total.get(key, 0) + number
    return total


def _extra_load(starts: dict[str, int]) -> dict[str, Any]:
    searches = [number for key, number in starts.items() if key.startswith("s")]
    extra = sum(searches) - len(searches)
    return {
        "sub_queries": len(searches),
        "extra_load": round(extra / len(searches), 6) if searches else 0.0,
    }


def _is_answered(entry: Entry) -> bool:
    return entry.answer is not None and entry.answer.verdict.is_ok


def _is_refused(entry: Entry) -> bool:
    return entry.answer is not None and entry.answer.verdict.is_not_run


def _is_mixed(answer: requests.Answer) -> bool:
    stamps = {body.split(b"|")[2] for body in answer.bodies.values()}
    if answer.snapshot is not None:
        stamps.add(str(answer.snapshot).encode())
    return len(stamps) > 1


def _is_crossed(entry: Entry, answer: requests.Answer) -> bool:
    for shard, body in answer.bodies.items():
        cause, stamped, _ = body.split(b"|")
        if cause.decode() != entry.cause or stamped.decode() != shard:
            return True
    return set(answer.bodies) != set(answer.coverage.covered) and answer.verdict.is_ok


def _is_untrue(answer: requests.Answer, started: int) -> bool:
    """Say whether the verdict contradicts the targets' books."""
    if answer.verdict.is_not_run:
        return started > 0
    return answer.verdict.certainty is verdict.Certainty.RAN and started == 0


def _quantile(ordered: list[float], share: float) -> float:
    if not ordered:
        return 0.0
    index = min(len(ordered) - 1, int(len(ordered) * share))
    return round(ordered[index], 3)
