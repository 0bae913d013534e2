"""Ready-made deployments for trials: services, halls and targets of the users' sizes."""

from __future__ import annotations

import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """The size of one application's deployment."""

    app: str
    """Value of the label `app` of its services."""

    services: int
    """How many services it has."""

    replicas: int
    """Replicas of each service."""

    slots: int
    """Slots of each replica."""

    connections: int
    """Connections that each replica accepts."""

    halls: tuple[str, ...]
    """Data halls, over which services are spread."""

    replicas_share_hall: bool = True
    """Whether the replicas of a service stand in one hall; otherwise in following halls."""


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedTarget:
    """A target of a shape."""

    name: str
    """Unique name."""

    service: str
    """Its service."""

    hall: str
    """Its data hall."""


def plan_targets(shape: Shape) -> list[PlannedTarget]:
    """List the targets of a shape.

    Args:
        shape: The shape.

    Returns:
        Targets, in order of service and replica.
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
    """Write the services of a shape as configuration items.

    Args:
        shape: The shape.
        ports: TCP port of each target, by name.
        layouts: Shards of each service by layout; one shard in `base` when not given.

    Returns:
        Service items by name.
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
