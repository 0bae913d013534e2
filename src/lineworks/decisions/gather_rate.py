"""Which instances of a data hall query its targets for a search when instances differ in capacity.

A few instances may have several times the processor and network bandwidth of the others, while
searches arrive at any of them. A search over a hundred shards that arrives at a small instance
spends more time on that instance's processor and link than at the targets. The large instances
therefore query the targets, and the small one only merges the parts that they return. The instance
is drawn at random, weighted by its rate and by how little work it already does for the requesting
instance. So no instance gets all of the work, and smaller ones take over when the large ones
are busy or unavailable.

Instances of similar or unknown capacity are treated as equal.
"""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

_Item = TypeVar("_Item")

UNKNOWN = 0.0
"""Rate of an instance that does not report one."""

SHARD_SECONDS = 0.0003
"""Processor time, in seconds of one core, to query one shard and to merge its part."""

SHARD_BITS = 5000.0
"""Bits of a request to a target or of its answer: a few hundred bytes including headers."""

MIN_SPEED_RATIO = 2.0
"""How many times faster than another an instance must be to be preferred. Delegating work costs a
message round trip, which a smaller difference does not make up for."""

RATE_EXPONENT = 2.0
"""Exponent applied to the rate when an instance is drawn. With 1, the many small instances, which
together have as much capacity as the large ones, would get half of all searches while the large
ones are idle."""

MIN_DELEGATED_SHARDS = 8
"""Fewest shards that an instance delegates to a faster one of its own hall. Querying fewer takes no
longer than the message round trip."""

_MIN_DRAW = 1e-12
"""Lower bound of a random draw, since the logarithm of 0 is undefined."""


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An instance that could query the targets."""

    name: str
    """Name of the instance."""

    rate: float
    """Shards per second that it can query; `UNKNOWN` if it does not report this."""

    open: int
    """Outstanding queries that it handles for the instance that chooses."""


def rate(processor: float, link: float) -> float:
    """Compute how many shards an instance can query per second.

    Args:
        processor: Its processor capacity, in cores.
        link: Its network bandwidth, in bits per second.

    Returns:
        Shards per second; `UNKNOWN` if either argument is not known.
    """
    if processor <= 0 or link <= 0:
        return UNKNOWN
    return 1.0 / (SHARD_SECONDS / processor + SHARD_BITS / link)


def is_faster(rate: float, other: float) -> bool:
    """Return whether an instance is fast enough to take over work from another one.

    Args:
        rate: Rate of the instance, in shards per second.
        other: Rate of the other instance.

    Returns:
        True if the first rate is at least `MIN_SPEED_RATIO` times the other; False if either is
        unknown.
    """
    return other > UNKNOWN and rate >= MIN_SPEED_RATIO * other


def are_similar(rates: Sequence[float]) -> bool:
    """Return whether instances are to be treated as equal.

    Args:
        rates: Their rates.

    Returns:
        True if none of them is known to be `MIN_SPEED_RATIO` times as fast as another.
    """
    return not rates or not is_faster(max(rates), min(rates))


def rank(candidates: Sequence[Candidate], draw: Callable[[], float]) -> list[str]:
    """Order instances by preference.

    Args:
        candidates: The instances.
        draw: Draws a random number between 0 and 1.

    Returns:
        Their names, preferred first. Similar instances are ordered by outstanding work with random
        tie-breaking; otherwise the order is drawn at random, weighted by rate and outstanding work.
    """
    if are_similar([candidate.rate for candidate in candidates]):
        return [one.name for one in sorted(candidates, key=lambda one: (one.open, draw()))]
    return [one.name for one in sorted(candidates, key=lambda one: _sampling_key(one, draw()))]


def divide(items: Sequence[_Item], rates: Sequence[float]) -> list[list[_Item]]:
    """Partition items so that all instances take about the same time.

    Args:
        items: The items.
        rates: Rate of each instance that takes a piece; at least one.

    Returns:
        One piece per instance, in the order of `rates`; of nearly equal size if the instances are
        similar.
    """
    count = len(rates)
    if are_similar(rates):
        return [list(items[first::count]) for first in range(count)]
    total = sum(rates)
    pieces = []
    begin = 0
    cumulative = 0.0
    for one in rates:
        cumulative += one
        end = round(len(items) * cumulative / total)
        pieces.append(list(items[begin:end]))
        begin = end
    return pieces


def _sampling_key(candidate: Candidate, drawn: float) -> float:
    """Compute an exponentially distributed sort key.

    The candidate with the smallest key comes first, with a probability proportional to its weight.
    """
    weight = (candidate.rate / (1 + candidate.open)) ** RATE_EXPONENT
    return -math.log(max(drawn, _MIN_DRAW)) / weight
