"""Shows operators where one instance sends requests: home regions, evacuated halls, cold targets.

Served beside the metrics, which only the instances' own network reaches.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from lineworks.http1 import server_connection

if TYPE_CHECKING:
    from collections.abc import Collection

    from lineworks.decisions import routes
    from lineworks.forwarding import target_book

PATH = b"/placement"
"""Path of the view (GET)."""


def is_wanted(request: server_connection.Request) -> bool:
    """Say whether a request is for this view.

    Args:
        request: The request.

    Returns:
        Whether its path is the view's.
    """
    return request.target.partition(b"?")[0] == PATH


def answer(
    table: routes.RouteTable | None,
    book: target_book.TargetBook,
    evacuated: Collection[str],
    age: float,
    now: float,
) -> server_connection.Answer:
    """Answer an operator.

    Args:
        table: The configuration in force, if there is one.
        book: The targets.
        evacuated: Data halls that get no new work.
        age: Age of what is known of the targets, in seconds.
        now: The present, in seconds.

    Returns:
        The view as JSON.
    """
    listed = table.routes if table is not None else []
    document = {
        "version": table.version if table is not None else 0,
        "view_age_seconds": round(age, 3),
        "evacuated": sorted(evacuated),
        "homes": [_homes(route, book) for route in listed if route.homes],
        "cold": [
            {
                "target": state.id,
                "service": state.replica.target.service,
                "hall": state.hall,
                "share_a_second": book.cold.share(state.id, state.cold_rate),
            }
            for state in book.states
            if state.is_bounded(now)
        ],
    }
    fields = [(b"Content-Type", b"application/json")]
    return server_connection.Answer(200, fields, json.dumps(document).encode())


def _homes(route: routes.Route, book: target_book.TargetBook) -> dict[str, Any]:
    """Tell of one route with homes, and of its services that no target there can be asked for."""
    services = route.shards or tuple(part.service for part in route.split)
    lacking = [service for service in services if not book.has_any(service, route.homes)]
    return {
        "route": route.name,
        "regions": sorted(route.homes),
        "services": len(services),
        "without_target": lacking,
    }
