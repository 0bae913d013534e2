"""Which snapshot a query is pinned to, from what replicas say they hold.

Holdings are told per service and data hall: gatherers own the targets and tell fronts the
snapshots that at least one usable replica of theirs holds.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from lineworks.decisions import catalog


@dataclasses.dataclass(frozen=True, slots=True)
class Pin:
    """The snapshot chosen for a query."""

    snapshot: catalog.Snapshot | None
    """The snapshot, or None when no replica of the group holds any."""

    is_whole: bool
    """Whether every shard of the snapshot has a replica that holds it."""


def pin(
    group: catalog.Group,
    held: Callable[[str], Iterable[catalog.Snapshot]],
    excluded: catalog.Snapshot | None = None,
) -> Pin:
    """Choose the newest snapshot that can be served for every shard.

    A snapshot is servable when each service of the group has a replica that holds it. Where no
    snapshot is servable everywhere, the one held by most services is taken, the newest of equals.

    Args:
        group: The services that the query reaches.
        held: For a service name, the snapshots that usable replicas of it hold.
        excluded: A snapshot that vanished under the query, if any.

    Returns:
        The choice.
    """
    counts: dict[catalog.Snapshot, int] = {}
    for service in group.services:
        for snapshot in set(held(service.name)):
            counts[snapshot] = counts.get(snapshot, 0) + 1
    if excluded is not None:
        counts.pop(excluded, None)
    if not counts:
        return Pin(None, False)
    whole = len(group.services)
    best = max(counts, key=lambda snapshot: (counts[snapshot], snapshot))
    return Pin(best, counts[best] == whole)
