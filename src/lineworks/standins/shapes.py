"""Plans services and targets, spread over data halls, for trials at the users' sizes."""

from __future__ import annotations

import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """The number and sizes of the services of one application."""

    app: str
    """Value of the label `app` of the services, and prefix of their names."""

    services: int
    """Number of services."""

    replicas: int
    """Number of replicas of each service."""

    slots: int
    """Number of requests that each replica runs at once."""

    connections: int
    """Number of connections that each replica accepts at once."""

    halls: tuple[str, ...]
    """Data halls; services are assigned to them in turn."""

    replicas_share_hall: bool = True
    """Whether all replicas of a service stand in one hall; if not, each stands in the hall after
    that of the previous replica."""


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedTarget:
    """The name, service and hall of one target of a shape."""

    name: str
    """Unique name."""

    service: str
    """Name of the service that it serves."""

    hall: str
    """Data hall of the target."""


def plan_targets(shape: Shape) -> list[PlannedTarget]:
    """Return the targets of a shape.

    Args:
        shape: The shape.

    Returns:
        The targets, ordered by service and replica.
    """
    planned = []
    for number in range(shape.services):
        service = f"{shape.app}-{number:03d}"
        for replica in range(shape.replicas):
            hall_offset = 0 if shape.replicas_share_hall else replica
            hall = shape.halls[(number + hall_offset) % len(shape.halls)]
            planned.append(PlannedTarget(f"{service}-{'abcdefgh'[replica]}", service, hall))
    return planned


def service_items(
    shape: Shape, ports: dict[str, int], layouts: dict[str, int] | None = None
) -> dict[str, Any]:
    """Return the services of a shape as configuration items.

    Args:
        shape: The shape.
        ports: TCP port of each target, by the target's name.
        layouts: Number of shards of each service, by layout; by default one shard in `base`.

    Returns:
        The items, by name of the service.
    """
    items: dict[str, Any] = {}
    for target in plan_targets(shape):
        item = items.setdefault(
            target.service,
            {
                "labels": {"app": shape.app},
                "layouts": _shards_by_layout(target.service, layouts or {"base": 1}),
                "targets": [],
            },
        )
        item["targets"].append(
            {
                "name": target.name,
                "hall": target.hall,
                "host": "127.0.0.1",
                "port": ports[target.name],
                "slots": shape.slots,
                "connections": shape.connections,
            }
        )
    return items


def _shards_by_layout(service: str, layouts: dict[str, int]) -> dict[str, list[str]]:
    shards = {}
    for layout, count in layouts.items():
        suffixes = [""] if count == 1 else [f".{number}" for number in range(count)]
        shards[layout] = [f"{service}{suffix}" for suffix in suffixes]
    return shards
