"""One target as an instance sees it."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lineworks.decisions import estimators, replicas


@dataclasses.dataclass(slots=True, eq=False)
class TargetState:
    """One target as this instance sees it."""

    replica: replicas.Replica
    """Load, limit, back-off and stalls."""

    latency: estimators.Average
    """Seconds that it took lately."""

    errors: estimators.Average
    """Share of its answers that were failures."""

    last_outcome_at: float = -math.inf
    """When it last answered, failed or was given up, in seconds."""

    is_cold: bool = False
    """Whether it has just started."""

    cold_rate: float = 0.0
    """Requests a second that it can handle while cold; 0 where nothing bounds them."""

    assumed_cold_until: float = -math.inf
    """Until when it counts as cold though its entry doesn't say so, in seconds."""

    pace: float = 1.0
    """How long work takes there, as a multiple of what is usual, as it last said."""

    pace_reported_at: float = -math.inf
    """When it said so, in seconds."""

    is_evacuated: bool = False
    """Whether the operators ask to send nothing more to its data hall."""

    identity: str = ""
    """Identity that a request names so that no other target runs it; its next process may have the
    same."""

    is_avoided: bool = False
    """Whether it was passed over for failures or slowness since it last answered."""

    @property
    def id(self) -> str:
        """Identity of the target's process, among all that had or will have its identity."""
        return self.replica.target.name

    def is_cold_limited(self, now: float) -> bool:
        """Say whether it is cold, and what it may get is bounded.

        Args:
            now: The present, in seconds.

        Returns:
            Whether all instances together may send it no more than some requests a second.
        """
        return self.cold_rate > 0 and (self.is_cold or now < self.assumed_cold_until)

    @property
    def hall(self) -> str:
        """Data hall that it stands in."""
        return self.replica.target.hall


def unavailability(state: TargetState, now: float) -> str:
    """Tell, for logs, what keeps a target from being asked.

    Args:
        state: The target.
        now: The present, in seconds.

    Returns:
        One clause.
    """
    replica = state.replica
    if replica.is_leaving:
        return "leaving"
    if state.is_evacuated:
        return f"evacuated with {state.hall}"
    if replica.rest_until > now:
        left = round((replica.rest_until - now) * 1000)
        return f"left alone for {left} ms after {replica.failures} failures"
    if replica.in_flight >= replica.limit.value:
        return f"full with {replica.in_flight}"
    if state.is_cold_limited(now):
        return "cold, and the share of this instance is used up"
    return "not asked: stalled, in another hall, or asked already"
