"""Decides whether a request is authorized, and for which workspace."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from lineworks.decisions import verdict

if TYPE_CHECKING:
    from lineworks.decisions import routes, workspaces

MAX_CONCLUSIVE_AGE_SECONDS = 3.0
"""Age in seconds of an instance's configuration up to which an unknown key is conclusively invalid.
A change takes effect everywhere within a few seconds, and the configuration is usually confirmed
well before it reaches this age."""

_UNKNOWN_KEY = verdict.not_run(verdict.Reason.UNKNOWN_KEY, "no known key")
_KEY_MAY_BE_ADDED = verdict.not_run(
    verdict.Reason.KEY_UNSURE, "no known key, and the configuration may be newer elsewhere"
)
_KEY_MAY_BE_REVOKED = verdict.not_run(
    verdict.Reason.KEY_UNSURE, "the key may have been taken away meanwhile"
)


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationFreshness:
    """How up to date an instance's configuration is."""

    age: float
    """Seconds since the instance last knew that no newer configuration existed."""

    is_outdated: bool = False
    """Whether a peer is known to have a newer configuration."""


@dataclasses.dataclass(frozen=True, slots=True)
class RevocationPolicy:
    """How revoked keys are handled by an instance that receives no configuration updates."""

    is_strict: bool = False
    """Whether keys are no longer accepted once the configuration is older than `seconds`."""

    seconds: float = 5.0
    """Seconds within which a revoked key must be refused by every instance."""


@dataclasses.dataclass(frozen=True, slots=True)
class AccessDecision:
    """The workspace that a request runs for, or the reason why it is refused."""

    route: routes.Route
    """The route, with the workspace's priority and home regions applied."""

    workspace: workspaces.Workspace | None = None
    """The workspace; None if the request needs no key."""

    refusal: verdict.Verdict | None = None
    """Why the request is refused; None if it is served."""


def judge(
    table: routes.RouteTable,
    route: routes.Route,
    key: bytes | None,
    freshness: ConfigurationFreshness,
    revocation: RevocationPolicy,
) -> AccessDecision:
    """Authorize a request.

    Args:
        table: The configuration in force.
        route: The route that the request matches.
        key: The API key in the request; None if it has none.
        freshness: How up to date this instance's configuration is.
        revocation: How revoked keys are handled without configuration updates.

    Returns:
        The workspace that the request runs for, or the reason why it is refused.
    """
    known = table.workspaces
    if not known.requires_keys:
        return AccessDecision(route)
    workspace = known.find(key) if key is not None else None
    if workspace is None:
        return AccessDecision(
            route, refusal=None if route.is_public else _refuse_unknown(freshness)
        )
    workspace_route = table.for_workspace(route, workspace)
    is_expired = revocation.is_strict and freshness.age > revocation.seconds
    if is_expired and not route.is_public:
        return AccessDecision(workspace_route, workspace, _KEY_MAY_BE_REVOKED)
    return AccessDecision(workspace_route, workspace)


def _refuse_unknown(freshness: ConfigurationFreshness) -> verdict.Verdict:
    """Refuse a request without a known key, which a newer configuration might accept."""
    if freshness.is_outdated or freshness.age > MAX_CONCLUSIVE_AGE_SECONDS:
        return _KEY_MAY_BE_ADDED
    return _UNKNOWN_KEY
