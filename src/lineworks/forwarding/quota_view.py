"""Serves operators a view of quotas: limits, holders of tokens, and refusals by workspace.

Served on the metrics port, which is reachable only from the instances' own network.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lineworks.forwarding import operator_answers

if TYPE_CHECKING:
    from lineworks.forwarding import quota_keeper
    from lineworks.http1 import server_connection

PATH = b"/quotas"
"""Path of the view (GET)."""


def answer(keeper: quota_keeper.QuotaKeeper, hall: str) -> server_connection.Answer:
    """Answer an operator's request for the view.

    Args:
        keeper: Admits requests by the quotas of their workspaces.
        hall: Data hall of this instance.

    Returns:
        The view as JSON.
    """
    held = keeper.holder.held()
    document = {
        "hall": hall,
        "limits": [
            {
                "workspace": name,
                "rate": limit.rate,
                "burst": limit.burst,
                "holders": keeper.ranks.holders(name),
            }
            for name, limit in sorted(keeper.holder.limits.items())
        ],
        "held": [
            {
                "workspace": name,
                "tokens": round(tokens, 3),
                "share_of_rate": round(keeper.ranks.share(name), 3),
            }
            for name, tokens in sorted(held.items())
        ],
        "refusals": [
            {"workspace": name, "reason": reason, "count": count}
            for (name, reason), count in sorted(keeper.refusals.items())
        ],
    }
    return operator_answers.as_json(document)
