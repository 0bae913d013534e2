"""How the parts of a search become one answer, with no shard in it twice.

Records are byte strings of `RECORD_BYTES`, compared byte by byte. A gatherer merges the greatest
records of several shards before they travel, so a merged result can't be taken apart again: it
is either used whole or not at all.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

RECORD_BYTES = 16
"""Length of a record."""


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """Results of one or more shards, merged."""

    shards: frozenset[int]
    """Positions of the shards in the search."""

    stamps: tuple[str, ...]
    """The targets' signatures, one for each shard."""

    records: tuple[bytes, ...]
    """The greatest records of these shards, falling."""


def split_records(body: bytes) -> list[bytes]:
    """Cut a body into records; a remainder that is too short is no record.

    Args:
        body: The body.

    Returns:
        The records in the order of the body.
    """
    end = len(body) - len(body) % RECORD_BYTES
    return [body[at : at + RECORD_BYTES] for at in range(0, end, RECORD_BYTES)]


def top_records(records: Iterable[bytes], top: int) -> tuple[bytes, ...]:
    """Keep the greatest records.

    Args:
        records: Records in any order; equal ones all count.
        top: How many to keep.

    Returns:
        They, falling.
    """
    # Records are few and compare fast; picking the greatest one by one takes several times as long.
    return tuple(sorted(records, reverse=True)[:top])


def merge(parts: Sequence[Part], top: int) -> Part:
    """Merge parts that have no shard in common.

    Args:
        parts: The parts.
        top: Records to keep.

    Returns:
        One part with all their shards.
    """
    shards: set[int] = set()
    for part in parts:
        shards |= part.shards
    stamps = tuple(stamp for part in parts for stamp in part.stamps)
    records = top_records((record for part in parts for record in part.records), top)
    return Part(frozenset(shards), stamps, records)


class PartSet:
    """The parts of one search that can be used together."""

    def __init__(self, total: int, top: int) -> None:
        """Start empty.

        Args:
            total: Shards of the search.
            top: Records that the answer holds.
        """
        self._total = total
        self._top = top
        self._parts: list[Part] = []
        self.covered: set[int] = set()
        """Shards that are in."""

    @property
    def missing(self) -> int:
        """Shards that are not in."""
        return self._total - len(self.covered)

    def add(self, part: Part) -> bool:
        """Take a part in, unless that would bring a shard in twice.

        A part that is in stays in. So the floor never falls, and a further part that was cut at an
        earlier floor stays right. Replicas of one shard need not hold the same records.

        Args:
            part: The part.

        Returns:
            Whether it was taken.
        """
        if not self.covered.isdisjoint(part.shards):
            return False
        self._parts.append(part)
        self.covered |= part.shards
        return True

    def floor(self) -> bytes:
        """Tell the least record that a further part must bring to change the answer.

        Returns:
            The last record of the answer so far, or nothing while the answer is not full.
        """
        records = self.merged().records
        return records[-1] if len(records) == self._top else b""

    def merged(self) -> Part:
        """Merge all parts.

        Returns:
            One part.
        """
        return merge(self._parts, self._top)


def required_shards(total: int, min_coverage: float) -> int:
    """Count the shards that an answer needs.

    Args:
        total: Shards of the search.
        least_share: Share of them (0 to 1).

    Returns:
        A number of shards, at least 1.
    """
    count = total
    while count > 1 and (count - 1) / total >= min_coverage:
        count -= 1
    return count
