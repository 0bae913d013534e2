"""The state of one target, as known to an instance."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lineworks.decisions import estimators, replicas


@dataclasses.dataclass(slots=True, eq=False)
class TargetState:
    """State of one target, as known to this instance."""

    replica: replicas.Replica
    """Load, concurrency limit, back-off and stalls."""

    latency: estimators.MovingAverage
    """Moving average of its latency, in seconds."""

    errors: estimators.MovingAverage
    """Moving average of its failure rate (0 to 1)."""

    last_outcome_at: float = -math.inf
    """When it last answered, failed or was given up, in seconds."""

    is_cold: bool = False
    """Whether its entry says that it is still warming up."""

    cold_rate: float = 0.0
    """Requests per second that it can handle while cold; 0 for no limit."""

    assumed_cold_until: float = -math.inf
    """Time until which it counts as cold even if its entry doesn't say so, in seconds."""

    pace: float = 1.0
    """Duration of its work as a multiple of the usual duration, as it last reported."""

    pace_reported_at: float = -math.inf
    """When it reported its pace, in seconds."""

    is_evacuated: bool = False
    """Whether operators evacuated its data hall, so that it gets no new requests."""

    identity: str = ""
    """Identity that requests carry so that no other target runs them. It outlives a process: the
    next process of the target may have the same one."""

    is_avoided: bool = False
    """Whether it has been avoided for failures or slowness since it last answered."""

    @property
    def id(self) -> str:
        """Identity of the target's process, unique among all processes with its `identity`."""
        return self.replica.target.name

    def is_cold_limited(self, now: float) -> bool:
        """Return whether its rate of requests is limited because it is cold.

        Args:
            now: The current time, in seconds.

        Returns:
            Whether all instances together must keep to its `cold_rate`.
        """
        return self.cold_rate > 0 and (self.is_cold or now < self.assumed_cold_until)

    @property
    def hall(self) -> str:
        """Data hall of the target."""
        return self.replica.target.hall


def unavailability(state: TargetState, now: float) -> str:
    """Describe why a target can't be sent a request, for logs and callers.

    Args:
        state: The target.
        now: The current time, in seconds.

    Returns:
        One clause.
    """
    replica = state.replica
    if replica.is_leaving:
        return "leaving"
    if state.is_evacuated:
        return f"evacuated with {state.hall}"
    if replica.backoff_until > now:
        left = round((replica.backoff_until - now) * 1000)
        return f"left alone for {left} ms after {replica.failures} failures"
    if replica.in_flight >= replica.limit.value:
        return f"full with {replica.in_flight}"
    if state.is_cold_limited(now):
        return "cold, and the share of this instance is used up"
    return "not asked: stalled, in another hall, or asked already"
