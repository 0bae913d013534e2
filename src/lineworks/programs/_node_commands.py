"""Requests of `lineworks-ctl` to an instance on the users' platform, and output of the replies."""

from __future__ import annotations

import urllib.parse
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

SUSPECTS = "suspects"
LIFT = "lift"
PLACEMENT = "placement"
QUOTAS = "quotas"
WORKSPACES = "workspaces"

COMMANDS = (SUSPECTS, LIFT, PLACEMENT, QUOTAS, WORKSPACES)
"""All commands to an instance on the users' platform; they need no shared secret."""

WITHOUT_ARGUMENT = (SUSPECTS, PLACEMENT, QUOTAS, WORKSPACES)
"""Commands that take no argument."""


def method_and_path(arguments: list[str]) -> tuple[str, str]:
    """Return the HTTP request that executes a command.

    Args:
        arguments: The command, followed by its argument if it takes one.

    Returns:
        HTTP method and path.
    """
    if arguments[0] == LIFT:
        return "POST", f"/suspects/lift?content={urllib.parse.quote(arguments[1])}"
    return "GET", f"/{arguments[0]}"


def format_reply(arguments: list[str], reply: dict[str, Any]) -> str:
    """Format an instance's reply as human-readable text.

    Args:
        arguments: The command, followed by its argument if it takes one.
        reply: The instance's reply.

    Returns:
        The text, which may have several lines.
    """
    formatters: dict[str, Callable[[], str]] = {
        SUSPECTS: lambda: _format_suspects(reply["suspects"]),
        LIFT: lambda: f"lifted {arguments[1]}",
        PLACEMENT: lambda: _format_placement(reply),
        QUOTAS: lambda: _format_quotas(reply),
        WORKSPACES: lambda: _format_workspaces(reply),
    }
    return formatters[arguments[0]]()


def _format_suspects(rows: list[dict[str, Any]]) -> str:
    lines = []
    for row in rows:
        lines.append(
            f"{row['content']}  {row['judgement']}, for {row['refused_for_seconds']} s more"
        )
        for end in row["ends"]:
            kind = "in a trial" if end["in_trial"] else "under a usual try"
            proof = "ended" if end["proven"] else "broke off"
            lines.append(f"  {end['target']} {proof} {kind} {end['seconds_ago']} s ago")
    return "\n".join(lines) or "no suspects"


def _format_placement(reply: dict[str, Any]) -> str:
    halls = ", ".join(reply["evacuated"]) or "none"
    lines = [
        f"configuration {reply['version']}, targets known {reply['view_age_seconds']} s ago",
        f"evacuated halls: {halls}",
    ]
    for row in reply["homes"]:
        lines.append(f"route {row['route']}: only in {', '.join(row['regions'])}")
        if row["without_target"]:
            lacking = ", ".join(row["without_target"])
            count = f"{len(row['without_target'])} of {row['services']}"
            lines.append(f"  {count} services have no target there: {lacking}")
    for row in reply["cold"]:
        lines.append(
            f"cold: {row['service']}/{row['target']} in {row['hall']}, "
            f"{row['share_a_second']} requests a second from here"
        )
    return "\n".join(lines)


def _format_quotas(reply: dict[str, Any]) -> str:
    held = {row["workspace"]: row for row in reply["held"]}
    lines = []
    for row in reply["limits"]:
        holder = row["holders"][0] if row["holders"] else "nobody that is heard of"
        lines.append(
            f"{row['workspace']}: {row['rate']} a second and {row['burst']} besides; "
            f"in {reply['hall']} held by {holder}"
        )
        own = held.get(row["workspace"])
        if own is not None:
            lines.append(
                f"  here {own['tokens']} tokens, {own['share_of_rate']} of the hall's rate"
            )
    lines += [
        f"refused: {row['workspace']} {row['count']} times ({row['reason']})"
        for row in reply["refusals"]
    ]
    return "\n".join(lines) or "no workspace has a quota"


def _format_workspaces(reply: dict[str, Any]) -> str:
    newer = ", a peer has a newer one" if reply["is_outdated"] else ""
    age = reply["age_seconds"]
    lines = [f"configuration {reply['version']}, known to be the newest {age} s ago{newer}"]
    if not reply["workspaces"]:
        lines.append("no workspaces: requests need no key")
        return "\n".join(lines)
    public = ", ".join(reply["public_routes"]) or "none"
    lines.append(f"routes that need no key: {public}")
    for row in reply["workspaces"]:
        priority = "that of the route" if row["priority"] is None else row["priority"]
        homes = f"only in {', '.join(row['homes'])}" if row["homes"] else "in any region"
        lines.append(f"{row['name']}: keys {row['keys']}, priority {priority}, {homes}")
        if row["unknown_homes"]:
            unknown = ", ".join(row["unknown_homes"])
            lines.append(f"  the deployment has no region {unknown}")
    return "\n".join(lines)
