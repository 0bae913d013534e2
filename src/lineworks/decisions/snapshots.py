"""Which snapshot a query is pinned to, based on the snapshots that replicas report.

Reports are per service and data hall. Gatherers own the targets and report to the fronts which
snapshots are held by at least one usable replica.
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
    """The snapshot, or None if no replica of the group holds any."""

    is_whole: bool
    """Whether every service of the group has a replica that holds the snapshot."""


def pin(
    group: catalog.Group,
    held: Callable[[str], Iterable[catalog.Snapshot]],
    excluded: catalog.Snapshot | None = None,
) -> Pin:
    """Choose the newest snapshot that is available for every shard.

    A snapshot is available if each service of the group has a replica that holds it. If no snapshot
    is available for all services, the one held by the most services is chosen, and the newest of
    these if there are several.

    Args:
        group: The services that the query is sent to.
        held: Returns the snapshots held by usable replicas of a service, given its name.
        excluded: A snapshot that was removed while the query was running, if any.

    Returns:
        The chosen snapshot.
    """
    counts: dict[catalog.Snapshot, int] = {}
    for service in group.services:
        for snapshot in set(held(service.name)):
            counts[snapshot] = counts.get(snapshot, 0) + 1
    if excluded is not None:
        counts.pop(excluded, None)
    if not counts:
        return Pin(None, False)
    total = len(group.services)
    best = max(counts, key=lambda snapshot: (counts[snapshot], snapshot))
    return Pin(best, counts[best] == total)
