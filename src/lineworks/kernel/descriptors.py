"""How many descriptors a process may have open, and how many of them callers' connections get."""

from __future__ import annotations

import resource

CALLERS_FRACTION = 0.75
"""Fraction of the descriptors that callers' connections may take. The rest is for targets, the
store and other instances, without which callers can't be served, and to refuse more callers."""

DEFAULT_DESCRIPTORS = 1024
"""Descriptors that a process may have open if nothing limits them."""


def limit(stated: int = 0) -> int:
    """Return the number of descriptors that the process may have open.

    Args:
        stated: Descriptors that the settings allow; 0 if they state none.

    Returns:
        The lower one of that and the system's limit.
    """
    of_system, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    # The system's limit is negative if there is none.
    allowed = [count for count in (stated, of_system) if count > 0]
    return min(allowed, default=DEFAULT_DESCRIPTORS)


def max_caller_connections(stated: int = 0) -> int:
    """Return the number of callers' connections whose requests are served.

    Args:
        stated: Descriptors that the settings allow; 0 if they state none.

    Returns:
        The number.
    """
    return int(limit(stated) * CALLERS_FRACTION)
