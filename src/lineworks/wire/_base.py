"""What the codecs of all frames share."""

from __future__ import annotations

MICROSECONDS = 1_000_000
"""Microseconds in a second."""

MAX_REMAINING = 2**32 - 1
"""Longest time, in microseconds, that a frame can carry: over an hour."""


class MalformedFrameError(Exception):
    """The bytes are not a frame of the peer link."""


def remaining(deadline: float, now: float) -> int:
    """Turn a time into the time that is left, as it travels.

    Args:
        deadline: The time, in seconds on the sender's clock.
        now: The present on that clock.

    Returns:
        Microseconds, never negative.
    """
    return min(MAX_REMAINING, max(0, int((deadline - now) * MICROSECONDS)))
