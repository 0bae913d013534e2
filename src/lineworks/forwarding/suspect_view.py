"""Serves operators the suspects of one instance, and lets them lift a refusal.

Served on the metrics port, which is reachable only from the instances' own network. Lifting a
refusal risks one target: the next such request runs on one target, and is refused again if that
target ends.
"""

from __future__ import annotations

import urllib.parse
from typing import TYPE_CHECKING, Any

from lineworks.forwarding import operator_answers

if TYPE_CHECKING:
    from lineworks.decisions import suspects
    from lineworks.forwarding import suspect_exchange
    from lineworks.http1 import server_connection

PATH = b"/suspects"
"""Path of the list (GET)."""

LIFT_PATH = b"/suspects/lift"
"""Path that lifts a refusal (POST); the query parameter `content` is the request's fingerprint."""


def answer(
    request: server_connection.Request, exchange: suspect_exchange.SuspectExchange, now: float
) -> server_connection.Answer:
    """Answer an operator's request to list suspects or to lift a refusal.

    Args:
        request: HTTP request.
        exchange: Suspects that this instance knows.
        now: Current time in seconds.

    Returns:
        The list, or the result of lifting the refusal; 404 for a fingerprint that is not refused,
        405 for a request to lift that is not a POST.
    """
    path, _, query = request.target.partition(b"?")
    if path == PATH:
        rows = [_row(record, now) for record in exchange.records]
        return operator_answers.as_json({"suspects": rows})
    if request.method != b"POST":
        return operator_answers.as_json({"detail": "lift by POST"}, 405)
    wanted = urllib.parse.parse_qs(query.decode("latin-1")).get("content", [""])[0]
    if exchange.lift(wanted):
        return operator_answers.as_json({"lifted": wanted})
    return operator_answers.as_json({"detail": f"not refused here: {wanted[:80]!r}"}, 404)


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
