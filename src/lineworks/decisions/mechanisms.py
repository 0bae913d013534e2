"""Mechanisms of the platform's path that can be switched off, to measure what each is worth.

All are on unless the process's own setting names them. None that can be switched off guards a
promise: without them requests are served worse, never wrongly.
"""

from __future__ import annotations

import enum


class Mechanism(enum.Enum):
    """What can be switched off."""

    SEARCH_HEDGES = "search_hedges"
    """Second attempts at late shards of a search."""

    READ_HEDGES = "read_hedges"
    """Second attempts at late requests to one target."""

    LOAD_REPORTS = "load_reports"
    """Targets are chosen by the work that they have, own and reported."""

    SLOW_AVOIDANCE = "slow_avoidance"
    """Targets are chosen by how long they took lately, and stalled ones are passed over."""

    MERGE = "merge"
    """Gatherers merge the parts of several shards before they travel."""

    ONE_HALL = "one_hall"
    """A somewhat slower target is asked when that saves asking one more hall."""

    WORK_SPLIT = "work_split"
    """Several instances of a hall ask the targets of one large search."""

    FAST_GATHERERS = "fast_gatherers"
    """Instances that are much faster than others ask the targets for them."""

    HEDGE_FLOOR = "hedge_floor"
    """Gatherers leave out records that can't be in the answer any more."""

    FREE_RETRIES = "free_retries"
    """An attempt that reached no target does not count among those that may be made."""

    ROOM_WAIT = "room_wait"
    """A request waits a little for targets with room before it is refused."""

    EARLY_ANSWER = "early_answer"
    """A search is answered just before its aim when enough shards are in."""

    START_HOLD = "start_hold"
    """Requests are held for a moment while an instance has no configuration or targets."""

    LINK_COMPRESSION = "link_compression"
    """Frames between instances are compressed."""

    SHARED_ATTEMPTS = "shared_attempts"
    """The extra attempts of a hall's instances are gathered and granted where they are needed."""

    SHARED_EVIDENCE = "shared_evidence"
    """The instances of a hall tell each other which targets are slow."""

    STORE_REPEATS = "store_repeats"
    """Reads of the store are sent again on a new connection while no answer comes."""


class UnknownMechanismError(ValueError):
    """A setting names something that can't be switched off."""


def parse(text: str) -> frozenset[Mechanism]:
    """Read the names of mechanisms to switch off.

    Args:
        text: Names separated by commas; blanks around them are passed over.

    Returns:
        The mechanisms.

    Raises:
        UnknownMechanismError: A name is unknown; the message lists the known ones.
    """
    known = {mechanism.value: mechanism for mechanism in Mechanism}
    names = [name.strip() for name in text.split(",") if name.strip()]
    for name in names:
        if name not in known:
            raise UnknownMechanismError(f"{name}: unknown; known are {', '.join(sorted(known))}")
    return frozenset(known[name] for name in names)
