"""Which instances own the connections to a service's targets in a data hall.

Rendezvous hashing (Thaler and Ravishankar, 1998): every instance scores each service and the
highest scores own it. Instances that share a membership view compute the same owners, and when
one instance goes only the services that it owned move.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

SMALL_CAP = 25
"""Connection cap up to which a service gets `MIN_OWNERS` owners."""

MIN_OWNERS = 3
"""Owners of a service whose targets have a small connection cap."""

MAX_OWNERS = 4
"""Owners of a service whose targets accept many connections."""

VIEW_SLACK = 2
"""Owners beyond the planned number that may believe in their ownership for a while."""


def owner_count(connections: int) -> int:
    """Say how many owners a target's connection cap bears.

    Args:
        connections: Connection cap of the service's targets.

    Returns:
        The number of owners wanted.
    """
    return MIN_OWNERS if connections <= SMALL_CAP else MAX_OWNERS


def connection_share(connections: int) -> int:
    """Say how many connections to one target an owner may hold.

    Membership views differ for a while, so more instances than planned may believe that they
    own a target. The share leaves room for `VIEW_SLACK` of them.

    Args:
        connections: The target's connection cap.

    Returns:
        The largest number of connections for one owner, at least 1.
    """
    return max(1, connections // (owner_count(connections) + VIEW_SLACK))


def score(instance: str, service: str) -> int:
    """Score an instance for a service.

    Args:
        instance: Name of the instance.
        service: Name of the service.

    Returns:
        A 64-bit number; the highest of all instances owns the service.
    """
    digest: int = xxhash.xxh3_64_intdigest(f"{instance}\0{service}".encode())
    return digest


def owners(service: str, instances: Iterable[str], count: int) -> tuple[str, ...]:
    """Choose the owners of a service among a hall's instances.

    Args:
        service: Name of the service.
        instances: Names of the hall's live instances.
        count: How many owners are wanted.

    Returns:
        The owners, highest score first; all instances when there are fewer than wanted.
    """
    ranked = sorted(instances, key=lambda name: (-score(name, service), name))
    return tuple(ranked[:count])
