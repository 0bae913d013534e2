"""Deadlines: absolute at each process, sent as remaining time, reduced at each hop."""

from __future__ import annotations

HOP_MARGIN = 0.002
"""Seconds that a hop keeps for itself, so that its own answer still arrives in time."""

MAX_DEADLINE = 60.0
"""Longest time, in seconds, that a caller may ask for."""


ANSWER_SHARE = 0.05
"""Share of a caller's time that is kept for the answer's way back."""

ANSWER_MARGIN = 0.02
"""Seconds that are kept for the answer's way back at most."""


def for_answer(now: float, allowed: float) -> float:
    """Set the time by which a front answers, so that its caller has the answer in time.

    Args:
        now: When the request was read, in seconds.
        allowed: Seconds that the caller waits.

    Returns:
        The deadline, on the same clock.
    """
    return now + allowed - min(ANSWER_MARGIN, ANSWER_SHARE * allowed)


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
