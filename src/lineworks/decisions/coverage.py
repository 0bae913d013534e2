"""Whether a set of shard outcomes is sufficient for an answer, and how the answer describes it."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from lineworks.decisions import verdict

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lineworks.decisions import catalog


@dataclasses.dataclass(frozen=True, slots=True)
class Coverage:
    """The shards that an answer includes and those that are missing from it."""

    covered: tuple[str, ...]
    """Shards whose reply is part of the answer."""

    lacking: Mapping[str, verdict.Verdict]
    """Missing shards, each with the verdict that explains why."""

    @property
    def share(self) -> float:
        """Covered shards divided by all shards; 0 if there are none."""
        total = len(self.covered) + len(self.lacking)
        return len(self.covered) / total if total else 0.0


def evaluate(
    coverage: Coverage, policy: catalog.Policy, requested: float | None
) -> verdict.Verdict:
    """Decide whether the covered shards are sufficient for an answer.

    Args:
        coverage: The shards covered and those missing.
        policy: The selector's policy.
        requested: Minimum coverage requested by the caller (0 to 1), or None. It can raise the
            policy's minimum but not lower it.

    Returns:
        OK if the coverage is sufficient. Otherwise a verdict with the combined certainty of the
        missing shards, or `RAN` if any shard was covered. Its reason is the one that all missing
        shards share, or `COVERAGE` if they differ.
    """
    minimum = max(policy.min_coverage, requested or 0.0)
    if not policy.allows_partial:
        minimum = 1.0
    if coverage.covered and coverage.share >= minimum:
        return verdict.OK
    missing = list(coverage.lacking.values())
    certainty = verdict.combine(missing)
    if coverage.covered:
        certainty = verdict.Certainty.RAN
    reasons = {one.reason for one in missing}
    reason = reasons.pop() if len(reasons) == 1 else verdict.Reason.COVERAGE
    detail = f"{len(coverage.covered)} of {len(coverage.covered) + len(missing)} shards answered"
    return verdict.Verdict(certainty, reason, detail)
