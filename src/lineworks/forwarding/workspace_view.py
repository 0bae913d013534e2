"""Serves operators the workspaces in force at one instance. Keys are counted, but never shown.

Served on the metrics port, which is reachable only from the instances' own network.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from lineworks.forwarding import operator_answers

if TYPE_CHECKING:
    from collections.abc import Collection

    from lineworks.decisions import access, routes, workspaces
    from lineworks.http1 import server_connection

PATH = b"/workspaces"
"""Path of the view (GET)."""


def answer(
    table: routes.RouteTable | None,
    knowledge: access.ConfigurationFreshness,
    regions: Collection[str],
) -> server_connection.Answer:
    """Answer an operator's request for the view.

    Args:
        table: Configuration in force; None before there is one.
        knowledge: Freshness of this instance's configuration.
        regions: Regions of the deployment.

    Returns:
        The view as JSON.
    """
    listed = table.workspaces.all if table is not None else []
    counts = table.workspaces.key_counts if table is not None else {}
    document = {
        "version": table.version if table is not None else 0,
        "age_seconds": round(knowledge.age, 3),
        "is_outdated": knowledge.is_outdated,
        "workspaces": [_row(one, counts.get(one.name, 0), regions) for one in listed],
        "public_routes": [
            route.name for route in (table.routes if table is not None else []) if route.is_public
        ],
    }
    return operator_answers.as_json(document)


def _row(one: workspaces.Workspace, keys: int, regions: Collection[str]) -> dict[str, Any]:
    return {
        "name": one.name,
        "keys": keys,
        "priority": one.priority,
        "homes": sorted(one.homes),
        "unknown_homes": sorted(one.homes - set(regions)),
    }
