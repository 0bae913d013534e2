"""Definitions shared by the codecs of all frames."""

from __future__ import annotations

from typing import Any

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


def columns(*readers: Any) -> list[list[Any]]:
    """Read lists of one length.

    The lengths are compared first: a list of booleans is 64 times as large once it is read.

    Args:
        *readers: Lists of a frame.

    Returns:
        Their elements.

    Raises:
        MalformedFrameError: Their lengths differ.
    """
    if len({len(reader) for reader in readers}) != 1:
        raise MalformedFrameError("columns of different lengths")
    return [list(reader) for reader in readers]
