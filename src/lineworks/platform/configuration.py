"""The operators' configuration as it lies in the platform's store (JSON)."""

from __future__ import annotations

from lineworks.decisions import routes
from lineworks.platform import _fields

KEY = "op/config"
"""Key of the newest configuration."""

_REPEATABLE = "idempotent"
_KINDS = (_REPEATABLE, "non_idempotent")


class ConfigurationError(Exception):
    """A configuration cannot be used; the message names the field."""


def decode(data: bytes) -> routes.RouteTable:
    """Read a configuration.

    Args:
        data: The stored value.

    Returns:
        The configuration.

    Raises:
        ConfigurationError: It is no JSON, or a field is missing or wrong.
    """
    try:
        return _decode(_fields.Fields(_fields.parse_json(data)))
    except _fields.DocumentError as error:
        raise ConfigurationError(str(error)) from error


def _decode(found: _fields.Fields) -> routes.RouteTable:
    services = [
        routes.ServiceSpec(
            item.text("Name"),
            item.integer("MaxConns", 25, least=1),
            item.number("WarmupS", 0.0),
            item.number("WarmupPerS", 0.0),
        )
        for item in found.tables("Services")
    ]
    listed = [_route(item) for item in found.tables("Routing")]
    limits = _limits(found.table("Limits")) if "Limits" in found else routes.CallerLimits()
    return routes.RouteTable(found.integer("ConfigVersion"), listed, services, limits)


def _limits(item: _fields.Fields) -> routes.CallerLimits:
    usual = routes.CallerLimits()
    return routes.CallerLimits(
        item.integer("HeaderBytes", usual.header_bytes, least=1),
        item.integer("BodyBytes", usual.body_bytes),
        item.number("HeaderMs", usual.header_seconds * 1000, least=1) / 1000,
        item.number("IdleMs", usual.idle_seconds * 1000, least=1) / 1000,
    )


def _route(item: _fields.Fields) -> routes.Route:
    kind = item.text("RouteType", _REPEATABLE)
    if kind not in _KINDS:
        raise _fields.DocumentError(f"RouteType: expected one of {_KINDS}, found {kind[:80]!r}")
    timeout = item.number("TimeoutMs", least=1) / 1000
    shards = item.texts("Fanout")
    return routes.Route(
        name=item.text("Name"),
        host=item.text("Hostname").lower(),
        prefix=item.text("PathPrefix"),
        is_repeatable=kind == _REPEATABLE,
        timeout=timeout,
        aim=item.number("SloMs", timeout * 1000) / 1000,
        max_attempts=item.integer("MaxAttempts", 1, least=1),
        priority=item.integer("Priority", 0),
        split=() if shards else _split(item),
        shards=shards,
        top=item.integer("TopK", 0),
        # Despite its name the field holds a share: that of the shards that an answer needs.
        least_share=item.number("OldestVersion", 1.0),
        homes=frozenset(item.texts("AllowedRegions")),
    )


def _split(item: _fields.Fields) -> tuple[routes.WeightedService, ...]:
    parts = item.tables("WeightedSplit")
    if not parts:
        return (routes.WeightedService(item.text("Service"), 1.0),)
    return tuple(
        routes.WeightedService(part.text("Service"), part.number("Weight")) for part in parts
    )
