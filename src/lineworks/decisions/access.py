"""Whether a request may be served for whoever sends it, and on whose behalf."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from lineworks.decisions import verdict

if TYPE_CHECKING:
    from lineworks.decisions import routes, workspaces

CERTAIN_SECONDS = 3.0
"""Age up to which what an instance knows says for certain that there is no such key: a change is in
force within a few seconds everywhere, and what is known is usually renewed well before."""

_UNKNOWN_KEY = verdict.not_run(verdict.Reason.UNKNOWN_KEY, "no known key")
_PERHAPS_ADDED = verdict.not_run(
    verdict.Reason.KEY_UNSURE, "no known key, and the configuration may be newer elsewhere"
)
_PERHAPS_TAKEN_AWAY = verdict.not_run(
    verdict.Reason.KEY_UNSURE, "the key may have been taken away meanwhile"
)


@dataclasses.dataclass(frozen=True, slots=True)
class Knowledge:
    """How good what an instance knows of the configuration is."""

    age: float
    """Seconds since nothing newer is known to have been there."""

    is_outdated: bool = False
    """Whether a peer is known to have a newer configuration."""


@dataclasses.dataclass(frozen=True, slots=True)
class Revocation:
    """What holds for keys that were taken away while an instance heard nothing."""

    is_strict: bool = False
    """Whether keys count no more once what an instance knows is older than `seconds`."""

    seconds: float = 5.0
    """Seconds within which a key that was taken away must be refused everywhere."""


@dataclasses.dataclass(frozen=True, slots=True)
class Access:
    """On whose behalf a request is served, or why it isn't."""

    route: routes.Route
    """The route, with the priority and home regions that hold for the workspace."""

    workspace: workspaces.Workspace | None = None
    """The workspace; None where no key is needed."""

    refusal: verdict.Verdict | None = None
    """Why it is refused; None where it is served."""


def judge(
    table: routes.RouteTable,
    route: routes.Route,
    key: bytes | None,
    knowledge: Knowledge,
    revocation: Revocation,
) -> Access:
    """Judge a request.

    Args:
        table: The configuration in force.
        route: The route that the request takes.
        key: The key that it carries.
        knowledge: How good what this instance knows of the configuration is.
        revocation: What holds for keys that were taken away meanwhile.

    Returns:
        On whose behalf it is served, or why it isn't.
    """
    known = table.workspaces
    if not known.is_used:
        return Access(route)
    workspace = known.find(key) if key is not None else None
    if workspace is None:
        return Access(route, refusal=None if route.is_public else _refuse_unknown(knowledge))
    served = table.for_workspace(route, workspace)
    is_old = revocation.is_strict and knowledge.age > revocation.seconds
    if is_old and not route.is_public:
        return Access(served, workspace, _PERHAPS_TAKEN_AWAY)
    return Access(served, workspace)


def _refuse_unknown(knowledge: Knowledge) -> verdict.Verdict:
    """Refuse a request without a known key; a newer configuration may allow it."""
    if knowledge.is_outdated or knowledge.age > CERTAIN_SECONDS:
        return _PERHAPS_ADDED
    return _UNKNOWN_KEY
