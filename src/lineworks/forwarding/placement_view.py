"""Shows operators where one instance sends requests: home regions, evacuated halls, cold targets.

Served beside the metrics, which only the instances' own network reaches.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from lineworks.forwarding import operator_answers

if TYPE_CHECKING:
    from collections.abc import Collection

    from lineworks.decisions import routes
    from lineworks.forwarding import target_book
    from lineworks.http1 import server_connection

PATH = b"/placement"
"""Path of the view (GET)."""


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
            if state.is_cold_limited(now)
        ],
    }
    return operator_answers.as_json(document)


def _homes(route: routes.Route, book: target_book.TargetBook) -> dict[str, Any]:
    """Tell of one route with homes, and of its services that no target there can be asked for."""
    services = route.shards or tuple(part.service for part in route.split)
    lacking = [service for service in services if not book.has_target(service, route.homes)]
    return {
        "route": route.name,
        "regions": sorted(route.homes),
        "services": len(services),
        "without_target": lacking,
    }
