"""Whether a request may be served for whoever sends it, and on whose behalf."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from lineworks.decisions import workspaces

if TYPE_CHECKING:
    from lineworks.decisions import routes, verdict


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
    known: workspaces.Workspaces,
    route: routes.Route,
    key: bytes | None,
    age: float,
    revocation: Revocation,
) -> Access:
    """Judge a request.

    Args:
        known: The workspaces of the configuration in force.
        route: The route that it takes.
        key: The key that it carries.
        age: Age of what this instance knows of the configuration, in seconds.
        revocation: What holds for keys that were taken away meanwhile.

    Returns:
        On whose behalf it is served, or why it isn't.
    """
    return Access(route)
