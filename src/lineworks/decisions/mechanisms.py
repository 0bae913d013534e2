"""Mechanisms of request forwarding that can be disabled to measure their benefit.

All are enabled unless the settings of the process name them. Correctness depends on none of them:
without one, requests are served less well but never incorrectly.
"""

from __future__ import annotations

import enum


class Mechanism(enum.Enum):
    """A mechanism that can be disabled."""

    SEARCH_HEDGES = "search_hedges"
    """Sends second attempts for slow shards of a search."""

    READ_HEDGES = "read_hedges"
    """Sends second attempts for slow requests to a single target."""

    LOAD_REPORTS = "load_reports"
    """Chooses targets by load: the instance's own outstanding requests and the load they report."""

    SLOW_AVOIDANCE = "slow_avoidance"
    """Chooses targets by recent latency, and skips stalled ones."""

    MERGE = "merge"
    """Lets gatherers merge the parts of several shards before sending them."""

    ONE_HALL = "one_hall"
    """Prefers a slightly slower target if that avoids querying another data hall."""

    WORK_SPLIT = "work_split"
    """Splits a large search among several instances of a data hall."""

    FAST_GATHERERS = "fast_gatherers"
    """Delegates querying the targets to instances that are much faster than others."""

    HEDGE_FLOOR = "hedge_floor"
    """Lets gatherers omit records that can no longer be part of the answer."""

    FREE_RETRIES = "free_retries"
    """Excludes attempts that reached no target from the limit on attempts."""

    ROOM_WAIT = "room_wait"
    """Lets a request wait briefly for a target with free capacity before it is refused."""

    EARLY_ANSWER = "early_answer"
    """Answers a search just before its SLO expires if enough shards have answered."""

    START_HOLD = "start_hold"
    """Holds requests briefly while an instance has no configuration or no targets yet."""

    LINK_COMPRESSION = "link_compression"
    """Compresses frames between instances."""

    SHARED_ATTEMPTS = "shared_attempts"
    """Pools the extra attempts of a hall's instances and grants them where they are needed."""

    SHARED_EVIDENCE = "shared_evidence"
    """Shares evidence of slow targets among the instances of a hall."""

    STORE_REPEATS = "store_repeats"
    """Repeats reads of the store on a new connection while no answer arrives."""


class UnknownMechanismError(ValueError):
    """A setting names an unknown mechanism."""


def parse(text: str) -> frozenset[Mechanism]:
    """Parse the names of the mechanisms to disable.

    Args:
        text: Names separated by commas; surrounding whitespace and empty names are ignored.

    Returns:
        The mechanisms.

    Raises:
        UnknownMechanismError: A name is unknown. The message lists the known ones.
    """
    known = {mechanism.value: mechanism for mechanism in Mechanism}
    names = [name.strip() for name in text.split(",") if name.strip()]
    for name in names:
        if name not in known:
            raise UnknownMechanismError(
                f"unknown mechanism {name!r}; known mechanisms: {', '.join(sorted(known))}"
            )
    return frozenset(known[name] for name in names)
