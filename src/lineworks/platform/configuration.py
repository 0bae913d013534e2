"""Decoder for the configuration that operators keep in the platform's store as JSON."""

from __future__ import annotations

from lineworks.decisions import routes, workspaces
from lineworks.platform import _fields

KEY = "op/config"
"""Store key of the newest configuration."""

_IDEMPOTENT = "idempotent"
_ROUTE_TYPES = (_IDEMPOTENT, "non_idempotent")


class ConfigurationError(Exception):
    """A configuration is invalid; the message names the field."""


def decode(data: bytes) -> routes.RouteTable:
    """Decode a configuration.

    Args:
        data: The stored value.

    Returns:
        The configuration.

    Raises:
        ConfigurationError: The value is not JSON, or a field is missing or invalid.
    """
    try:
        return _decode(_fields.Fields(_fields.parse_json(data)))
    except _fields.DocumentError as error:
        raise ConfigurationError(str(error)) from error


def _decode(document: _fields.Fields) -> routes.RouteTable:
    services = [
        routes.ServiceSpec(
            item.text("Name"),
            item.integer("MaxConns", 25, minimum=1),
            item.number("WarmupS", 0.0),
            item.number("WarmupPerS", 0.0),
        )
        for item in document.tables("Services")
    ]
    listed = [_route(item) for item in document.tables("Routing")]
    limits = _limits(document.table("Limits")) if "Limits" in document else routes.CallerLimits()
    return routes.RouteTable(
        document.integer("ConfigVersion"),
        listed,
        services,
        limits,
        workspaces.Workspaces(_workspaces(document.redacted())),
    )


def _workspaces(document: _fields.Fields) -> list[tuple[workspaces.Workspace, list[str]]]:
    """Read the workspaces, each with its API keys."""
    names: set[str] = set()
    keys: set[str] = set()
    listed = []
    for index, item in enumerate(document.tables("Tenants")):
        workspace = _workspace(item)
        path = document.item_path("Tenants", index)
        if not _is_header_value(workspace.name):
            raise _fields.DocumentError(f"{path}.Name: cannot stand in a header")
        if workspace.name in names:
            raise _fields.DocumentError(f"{path}.Name: stands twice")
        names.add(workspace.name)
        listed.append((workspace, _keys(item, keys)))
    return listed


def _workspace(item: _fields.Fields) -> workspaces.Workspace:
    rate = item.number("RatePerS", 0.0)
    burst = item.number("Burst", 0.0)
    return workspaces.Workspace(
        name=item.text("Name"),
        priority=item.integer("Priority") if "Priority" in item else None,
        quota=workspaces.Quota(rate, burst) if rate else None,
        homes=frozenset(item.texts("AllowedRegions")),
    )


def _keys(item: _fields.Fields, seen: set[str]) -> list[str]:
    """Read a workspace's API keys. Errors give the path of an invalid key, never its value.

    Args:
        item: Fields of the workspace.
        seen: Keys of all workspaces read so far; the keys of this one are added.
    """
    listed = item.items("ApiKeys")
    for index, key in enumerate(listed):
        path = item.item_path("ApiKeys", index)
        if not isinstance(key, str):
            raise _fields.DocumentError(f"{path}: expected a text")
        if not key:
            raise _fields.DocumentError(f"{path}: empty")
        if not _is_header_value(key):
            raise _fields.DocumentError(f"{path}: cannot stand in a header")
        if key in seen:
            raise _fields.DocumentError(f"{path}: stands twice")
        seen.add(key)
    return listed


def _is_header_value(text: str) -> bool:
    """Return whether a string is unchanged when sent as a header value."""
    return text.isprintable() and text == text.strip()


def _limits(item: _fields.Fields) -> routes.CallerLimits:
    defaults = routes.CallerLimits()
    return routes.CallerLimits(
        item.integer("HeaderBytes", defaults.header_bytes, minimum=1),
        item.integer("BodyBytes", defaults.body_bytes),
        item.number("HeaderMs", defaults.header_seconds * 1000, minimum=1) / 1000,
        item.number("IdleMs", defaults.idle_seconds * 1000, minimum=1) / 1000,
    )


def _route(item: _fields.Fields) -> routes.Route:
    kind = item.text("RouteType", _IDEMPOTENT)
    if kind not in _ROUTE_TYPES:
        raise _fields.DocumentError(
            f"RouteType: expected one of {_ROUTE_TYPES}, found {kind[:80]!r}"
        )
    timeout = item.number("TimeoutMs", minimum=1) / 1000
    shards = item.texts("Fanout")
    return routes.Route(
        name=item.text("Name"),
        host=item.text("Hostname").lower(),
        prefix=item.text("PathPrefix"),
        is_repeatable=kind == _IDEMPOTENT,
        timeout=timeout,
        slo=item.number("SloMs", timeout * 1000) / 1000,
        max_attempts=item.integer("MaxAttempts", 1, minimum=1),
        priority=item.integer("Priority", 0),
        split=() if shards else _split(item),
        shards=shards,
        top=item.integer("TopK", 0),
        # Despite its name, the field holds the share of shards that an answer needs.
        min_coverage=item.number("OldestVersion", 1.0),
        homes=frozenset(item.texts("AllowedRegions")),
        is_public=item.flag("Public", False),
    )


def _split(item: _fields.Fields) -> tuple[routes.WeightedService, ...]:
    parts = item.tables("WeightedSplit")
    if not parts:
        return (routes.WeightedService(item.text("Service"), 1.0),)
    return tuple(
        routes.WeightedService(part.text("Service"), part.number("Weight")) for part in parts
    )
