"""Serves operators a view of where one instance sends requests.

It lists home regions, evacuated halls and cold targets. It is served on the metrics port, which is
reachable only from the instances' own network.
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
    """Answer an operator's request for the view.

    Args:
        table: Configuration in force; None before there is one.
        book: State of all targets.
        evacuated: Data halls that receive no new work.
        age: Age of this instance's knowledge of the targets in seconds.
        now: Current time in seconds.

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
    """Describe a route with home regions, and its services without an available target there."""
    services = route.shards or tuple(part.service for part in route.split)
    lacking = [service for service in services if not book.has_target(service, route.homes)]
    return {
        "route": route.name,
        "regions": sorted(route.homes),
        "services": len(services),
        "without_target": lacking,
    }
