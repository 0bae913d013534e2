"""How the parts of a search are combined into one answer that counts each shard once.

Records are byte strings of `RECORD_BYTES` bytes, ordered bytewise. A gatherer merges the top
records of several shards before it sends them. A merged part cannot be split up again, so it is
either used as a whole or discarded.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

RECORD_BYTES = 16
"""Length of a record in bytes."""

BLOCK_BYTES = 4096 * RECORD_BYTES
"""Bytes of a body whose records are selected from at once: a record takes four times its length
while it is apart from the body."""


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """Merged results of one or more shards."""

    shards: frozenset[int]
    """Positions of the shards in the search."""

    stamps: tuple[str, ...]
    """Signatures of the targets, one per shard."""

    records: tuple[bytes, ...]
    """The top records of these shards, in descending order."""


def split_records(body: bytes) -> list[bytes]:
    """Split a body into records; an incomplete record at the end is dropped.

    Args:
        body: The body.

    Returns:
        The records in the order of the body.
    """
    end = len(body) - len(body) % RECORD_BYTES
    return [body[at : at + RECORD_BYTES] for at in range(0, end, RECORD_BYTES)]


def top_records(records: Iterable[bytes], top: int) -> tuple[bytes, ...]:
    """Select the largest records.

    Args:
        records: Records in any order; duplicates are kept.
        top: How many records to select.

    Returns:
        The selected records, in descending order.
    """
    # Sorting is several times faster than selecting one by one: records are few and compare fast.
    return tuple(sorted(records, reverse=True)[:top])


def top_of_body(body: bytes, top: int) -> tuple[bytes, ...]:
    """Select the largest records of a body, without taking much more memory than the body.

    Args:
        body: The body; an incomplete record at its end is dropped.
        top: How many records to select.

    Returns:
        The selected records, in descending order.
    """
    if len(body) <= BLOCK_BYTES:
        return top_records(split_records(body), top)
    found: tuple[bytes, ...] = ()
    for start in range(0, len(body), BLOCK_BYTES):
        records = split_records(body[start : start + BLOCK_BYTES])
        if found and len(found) == top:
            floor = found[-1]
            records = [record for record in records if record > floor]
        if records:
            found = top_records((*found, *records), top)
    return found


def merge(parts: Sequence[Part], top: int) -> Part:
    """Merge parts whose shards are disjoint.

    Args:
        parts: The parts.
        top: How many records to keep.

    Returns:
        One part with all of their shards.
    """
    shards: set[int] = set()
    for part in parts:
        shards |= part.shards
    stamps = tuple(stamp for part in parts for stamp in part.stamps)
    records = top_records((record for part in parts for record in part.records), top)
    return Part(frozenset(shards), stamps, records)


class PartSet:
    """The parts of one search that are used for its answer."""

    def __init__(self, total: int, top: int) -> None:
        """Start without parts.

        Args:
            total: Number of shards of the search.
            top: Number of records in the answer.
        """
        self._total = total
        self._top = top
        self._parts: list[Part] = []
        self.covered: set[int] = set()
        """Positions of the shards that the parts cover."""

    @property
    def missing(self) -> int:
        """Number of shards that are not covered."""
        return self._total - len(self.covered)

    def add(self, part: Part) -> bool:
        """Add a part unless it contains a shard that is already covered.

        Parts are never removed, so the floor never falls, and a later part whose records were
        filtered by an earlier floor stays correct. Replacing a part could break this, because
        replicas of one shard need not hold the same records.

        Args:
            part: The part.

        Returns:
            Whether the part was added.
        """
        if not self.covered.isdisjoint(part.shards):
            return False
        self._parts.append(part)
        self.covered |= part.shards
        return True

    def floor(self) -> bytes:
        """Return the smallest record that a further part must contain to change the answer.

        Returns:
            The last record of the merged answer, or empty bytes while it has fewer records than the
            search returns.
        """
        records = self.merged().records
        return records[-1] if records and len(records) == self._top else b""

    def merged(self) -> Part:
        """Merge all parts.

        Returns:
            One part that contains all of them.
        """
        return merge(self._parts, self._top)


def required_shards(total: int, min_coverage: float) -> int:
    """Compute how many shards an answer must cover.

    Args:
        total: Number of shards of the search.
        min_coverage: Minimum share of them that must be covered (0 to 1).

    Returns:
        The number of shards, at least 1.
    """
    count = total
    while count > 1 and (count - 1) / total >= min_coverage:
        count -= 1
    return count
