"""Which instances own the connections to a service's targets in a data hall.

Rendezvous hashing (Thaler and Ravishankar, 1998): every instance gets a score for each service, and
the instances with the highest scores own the service. Instances with the same membership view
compute the same owners. When an instance leaves, only the services that it owned move.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

SMALL_CAP = 25
"""Largest connection limit of a target for which its service gets only `MIN_OWNERS` owners."""

MIN_OWNERS = 3
"""Owners of a service whose targets have a small connection limit."""

MAX_OWNERS = 4
"""Owners of a service whose targets accept many connections."""

VIEW_SLACK = 2
"""Additional instances that may temporarily consider themselves owners, due to differing views."""


def owner_count(connections: int) -> int:
    """Return how many owners a service gets, given the connection limit of its targets.

    Args:
        connections: Connection limit of each of the service's targets.

    Returns:
        The number of owners.
    """
    return MIN_OWNERS if connections <= SMALL_CAP else MAX_OWNERS


def connection_share(connections: int) -> int:
    """Return how many connections to one target an owner may hold.

    Membership views can differ temporarily, so more instances than planned may consider themselves
    owners of a target. The share leaves room for `VIEW_SLACK` additional ones.

    Args:
        connections: The target's connection limit.

    Returns:
        The maximum number of connections per owner, at least 1.
    """
    return max(1, connections // (owner_count(connections) + VIEW_SLACK))


def score(instance: str, service: str) -> int:
    """Compute the score of an instance for a service.

    Args:
        instance: Name of the instance.
        service: Name of the service.

    Returns:
        A 64-bit hash; the instances with the highest scores own the service.
    """
    digest: int = xxhash.xxh3_64_intdigest(f"{instance}\0{service}".encode())
    return digest


def owners(service: str, instances: Iterable[str], count: int) -> tuple[str, ...]:
    """Choose the owners of a service among the instances of a data hall.

    Args:
        service: Name of the service.
        instances: Names of the hall's live instances.
        count: Number of owners wanted.

    Returns:
        The owners, highest score first; all instances if there are fewer than `count`.
    """
    ranked = sorted(instances, key=lambda name: (-score(name, service), name))
    return tuple(ranked[:count])
