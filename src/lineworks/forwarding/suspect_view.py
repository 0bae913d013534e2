"""Shows operators the suspects of one instance, and takes their word to lift a refusal.

Served beside the metrics, which only the instances' own network reaches. To lift a refusal risks
one target: the next such request runs on one, and is refused again if that ends.
"""

from __future__ import annotations

import json
import urllib.parse
from typing import TYPE_CHECKING, Any

from lineworks.http1 import server_connection

if TYPE_CHECKING:
    from lineworks.decisions import suspects
    from lineworks.forwarding import suspect_exchange

PATH = b"/suspects"
"""Path of the list (GET)."""

LIFT_PATH = b"/suspects/lift"
"""Path that lifts one refusal (POST), with its fingerprint as `content` in the query."""


def is_wanted(request: server_connection.Request) -> bool:
    """Say whether a request is for the suspects.

    Args:
        request: The request.

    Returns:
        Whether its path is one of theirs.
    """
    return request.target.partition(b"?")[0] in (PATH, LIFT_PATH)


def answer(
    request: server_connection.Request, exchange: suspect_exchange.SuspectExchange, now: float
) -> server_connection.Answer:
    """Answer an operator.

    Args:
        request: The request.
        exchange: The suspects.
        now: The present, in seconds.

    Returns:
        The list, or what became of the wish; 404 for a fingerprint that isn't refused.
    """
    path, _, query = request.target.partition(b"?")
    if path == PATH:
        return _json(200, {"suspects": [_row(record, now) for record in exchange.records]})
    if request.method != b"POST":
        return _json(405, {"detail": "lift by POST"})
    wanted = urllib.parse.parse_qs(query.decode("latin-1")).get("content", [""])[0]
    if exchange.lift(wanted):
        return _json(200, {"lifted": wanted})
    return _json(404, {"detail": f"not refused here: {wanted[:80]!r}"})


def _row(record: suspects.Record, now: float) -> dict[str, Any]:
    return {
        "content": record.content,
        "judgement": record.judge(now).value,
        "refused_for_seconds": round(max(0.0, record.refused_until - now), 1),
        "ends": [
            {
                "target": end.target,
                "seconds_ago": round(now - end.at, 1),
                "in_trial": end.is_trial,
                "proven": end.is_proven,
            }
            for end in record.ends
        ],
    }


def _json(status: int, document: Any) -> server_connection.Answer:
    fields = [(b"Content-Type", b"application/json")]
    return server_connection.Answer(status, fields, json.dumps(document).encode())
