"""Which instances ask a hall's targets for a search, where instances differ in processor and link.

A few instances have several times the processor and the link of all others, and searches arrive at
any of them. A search over a hundred shards that arrives at a small one takes more time in its
processor and on its link than at the targets. The large ones then ask the targets, and the small
one only merges what they bring. Which of them asks is drawn at random, the more likely the faster
it is and the less it already does for this instance. So none gets all work, and a smaller one takes
over where the large ones are busy or gone.

Instances that are much alike, or of which nothing is known, are treated alike.
"""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

_Item = TypeVar("_Item")

UNKNOWN = 0.0
"""Rate of an instance that tells none."""

SHARD_SECONDS = 0.0003
"""Seconds of a whole core that it takes to ask one shard and to merge its part."""

SHARD_BITS = 5000.0
"""Bits of a request to a target, or of its answer: a few hundred bytes with their headers."""

UNLIKE = 2.0
"""How many times faster than another an instance must be to be preferred to it. Handing work over
costs a message there and back, which smaller differences don't pay for."""

PREFERENCE = 2.0
"""Power of the rate by which an instance is drawn: with 1 the many small ones, which have as much
room together, would get half of all searches while the large ones are idle."""

MIN_DELEGATED_SHARDS = 8
"""Shards from which on an instance hands them to a faster one of its own hall: fewer take no
longer than the message there and back."""

_LEAST_DRAWN = 1e-12
"""Least number drawn that counts, since 0 has no logarithm."""


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An instance that could ask targets."""

    name: str
    """Its name."""

    rate: float
    """Shards a second that it can ask; `UNKNOWN` where it does not tell."""

    open: int
    """Queries that it works on for the instance that chooses."""


def rate(processor: float, link: float) -> float:
    """Tell how many shards an instance can ask in a second.

    Args:
        processor: Its processor, in cores.
        link: Bits a second of its link.

    Returns:
        Shards a second; `UNKNOWN` where either is not known.
    """
    if processor <= 0 or link <= 0:
        return UNKNOWN
    return 1.0 / (SHARD_SECONDS / processor + SHARD_BITS / link)


def is_faster(one: float, other: float) -> bool:
    """Say whether an instance is so much faster than another that work is handed to it.

    Args:
        one: Its rate.
        other: Rate of the other.

    Returns:
        False where either is unknown.
    """
    return other > UNKNOWN and one >= UNLIKE * other


def are_similar(rates: Sequence[float]) -> bool:
    """Say whether instances are to be treated alike.

    Args:
        rates: Their rates.

    Returns:
        Whether no one is much faster than another, as far as is known.
    """
    return not rates or not is_faster(max(rates), min(rates))


def rank(helpers: Sequence[Candidate], draw: Callable[[], float]) -> list[str]:
    """Order instances by whom to ask first.

    Args:
        helpers: The instances.
        draw: Draws a number from 0 to 1.

    Returns:
        Their names: alike ones by how little they do, others drawn by rate and work.
    """
    if are_similar([helper.rate for helper in helpers]):
        return [one.name for one in sorted(helpers, key=lambda one: (one.open, draw()))]
    return [one.name for one in sorted(helpers, key=lambda one: _turn(one, draw()))]


def divide(items: Sequence[_Item], rates: Sequence[float]) -> list[list[_Item]]:
    """Divide items into pieces that take about as long each.

    Args:
        items: The items.
        rates: Rate of each instance that takes a piece; one at least.

    Returns:
        A piece for each, of like size where the instances are alike.
    """
    count = len(rates)
    if are_similar(rates):
        return [list(items[first::count]) for first in range(count)]
    total = sum(rates)
    pieces = []
    begin = 0
    share = 0.0
    for one in rates:
        share += one
        end = round(len(items) * share / total)
        pieces.append(list(items[begin:end]))
        begin = end
    return pieces


def _turn(helper: Candidate, drawn: float) -> float:
    """Draw an instance's turn: the smallest of several goes first, in proportion to its weight."""
    weight = (helper.rate / (1 + helper.open)) ** PREFERENCE
    return -math.log(max(drawn, _LEAST_DRAWN)) / weight
