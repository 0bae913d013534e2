"""Whether a set of shard outcomes is an answer, and how it is described."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from lineworks.decisions import verdict

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lineworks.decisions import catalog


@dataclasses.dataclass(frozen=True, slots=True)
class Coverage:
    """Which shards an answer covers and which it lacks."""

    covered: tuple[str, ...]
    """Shards whose reply is part of the answer."""

    lacking: Mapping[str, verdict.Verdict]
    """Shards without a reply, each with the reason."""

    @property
    def share(self) -> float:
        """Covered shards over all shards; 0 when there are none."""
        total = len(self.covered) + len(self.lacking)
        return len(self.covered) / total if total else 0.0


def evaluate(coverage: Coverage, policy: catalog.Policy, wanted: float | None) -> verdict.Verdict:
    """Decide whether the covered shards make an answer.

    Args:
        coverage: What was reached.
        policy: The selector's promise.
        wanted: Minimum coverage asked for by the caller (0 to 1), which may only raise the
            policy's, or None.

    Returns:
        OK for an answer; otherwise what is known of the query, with reason `COVERAGE`, or with
        the shards' own reason when all lacking shards share one and nothing ran.
    """
    minimum = max(policy.min_coverage, wanted or 0.0)
    if not policy.allows_partial:
        minimum = 1.0
    if coverage.covered and coverage.share >= minimum:
        return verdict.OK
    parts = list(coverage.lacking.values())
    certainty = verdict.combine(parts)
    if coverage.covered:
        certainty = verdict.Certainty.RAN
    reasons = {part.reason for part in parts}
    reason = reasons.pop() if len(reasons) == 1 else verdict.Reason.COVERAGE
    detail = f"{len(coverage.covered)} of {len(coverage.covered) + len(parts)} shards answered"
    return verdict.Verdict(certainty, reason, detail)
