"""Deadlines: absolute at each process, sent as remaining time, reduced at each hop."""

from __future__ import annotations

HOP_MARGIN = 0.002
"""Seconds that a hop keeps for itself, so that its own answer still arrives in time."""

MAX_DEADLINE = 60.0
"""Longest time, in seconds, that a caller may ask for."""


def for_next_hop(deadline: float, one_way: float) -> float:
    """Reduce a deadline for the process that is asked next.

    Args:
        deadline: When this process must answer, in seconds on its clock.
        one_way: Seconds that a message takes to the next process.

    Returns:
        The latest time, on this process's clock, at which the next one should answer.
    """
    return deadline - one_way - HOP_MARGIN


def remaining(deadline: float, now: float) -> float:
    """Say how much time is left.

    Args:
        deadline: A time in seconds.
        now: The present, on the same clock.

    Returns:
        Seconds, never negative.
    """
    return max(0.0, deadline - now)
