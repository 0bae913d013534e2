"""Deadlines: absolute within a process, sent as remaining time and reduced at each hop."""

from __future__ import annotations

HOP_MARGIN = 0.002
"""Seconds that a hop reserves so that its own response arrives in time."""

MAX_TIMEOUT_SECONDS = 60.0
"""Longest timeout in seconds that a caller may request."""


ANSWER_SHARE = 0.05
"""Fraction of a caller's timeout that is reserved for returning the response."""

ANSWER_MARGIN = 0.02
"""Maximum time in seconds that is reserved for returning the response."""


def for_answer(now: float, allowed: float) -> float:
    """Return the time by which a front must respond for the response to reach its caller in time.

    Args:
        now: Time in seconds at which the request was read.
        allowed: Seconds that the caller waits.

    Returns:
        The deadline in seconds, on the same clock.
    """
    return now + allowed - min(ANSWER_MARGIN, ANSWER_SHARE * allowed)


def for_next_hop(deadline: float, one_way: float) -> float:
    """Return the deadline for a request that is forwarded to the next process.

    Args:
        deadline: Time in seconds, on this process's clock, by which this process must respond.
        one_way: Seconds that a message takes to reach the next process.

    Returns:
        The latest time in seconds, on this process's clock, for the next process to respond.
    """
    return deadline - one_way - HOP_MARGIN


def remaining(deadline: float, now: float) -> float:
    """Return the time left until a deadline.

    Args:
        deadline: The deadline in seconds.
        now: Current time in seconds, on the same clock.

    Returns:
        Seconds, never negative.
    """
    return max(0.0, deadline - now)
