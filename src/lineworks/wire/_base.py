"""Definitions shared by the codecs of all frames."""

from __future__ import annotations

MICROSECONDS_PER_SECOND = 1_000_000
"""Number of microseconds in a second."""

MAX_MICROSECONDS = 2**32 - 1
"""Longest duration that a 32-bit field can carry, in microseconds: more than an hour."""


class MalformedFrameError(Exception):
    """The data is not a valid frame of the peer link."""


def remaining_microseconds(deadline: float, now: float) -> int:
    """Convert a deadline to the remaining time, since the clocks of two instances differ.

    Args:
        deadline: Deadline in seconds on the sender's clock.
        now: Current time on the same clock.

    Returns:
        Microseconds, limited to the range of a 32-bit field.
    """
    return min(MAX_MICROSECONDS, max(0, int((deadline - now) * MICROSECONDS_PER_SECOND)))
