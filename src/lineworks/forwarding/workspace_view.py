"""Shows operators the workspaces in force at one instance; their keys are counted and never shown.

Served beside the metrics, which only the instances' own network reaches.
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
    """Answer an operator.

    Args:
        table: The configuration in force, if there is one.
        knowledge: How good what this instance knows of the configuration is.
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
