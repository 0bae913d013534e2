"""Encoders for documents and requests of operators, targets, the load balancer and callers."""

from __future__ import annotations

import base64
import json
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

CONFIGURATION_KEY = "op/config"
"""Store key of the newest configuration."""

EXTERNAL_PREFIXES = ("op/", "servers/")
"""Prefixes of the keys that operators and targets write."""

READINESS_REQUEST = b"GET /lineworks/readiness HTTP/1.1\r\nHost: x\r\n\r\n"
"""Request that the load balancer sends."""

_DEFAULT_ROUTE = {
    "Hostname": "x.example",
    "RouteType": "idempotent",
    "TimeoutMs": 2000,
    "SloMs": 200,
    "MaxAttempts": 2,
    "Priority": 1,
}
_LIMITS = {"HeaderBytes": 4096, "BodyBytes": 10000, "HeaderMs": 3000, "IdleMs": 15000}
_CONNECTIONS = 25


def target_key(name: str) -> str:
    """Return the store key of a target's entry."""
    return f"servers/{name}"


def evacuation_key(hall: str) -> str:
    """Return the store key by which operators request the evacuation of a data hall."""
    return f"op/evacuate/{hall}"


def target_entry(
    service: str, address: str, hall: str, slots: int, state: str, born: int | None = None
) -> str:
    """Encode a target's entry.

    Args:
        service: Service that the target serves.
        address: Address at which it accepts requests, as `HOST:PORT`.
        hall: Its data hall.
        slots: Number of requests that it processes at a time.
        state: `ready` or `draining`.
        born: Unix time of its start, in milliseconds; None for older targets, which omit it.

    Returns:
        The entry as JSON, without the store's Base64 encoding.
    """
    return json.dumps(
        {
            "Service": service,
            "Address": address,
            "Zone": hall,
            "ConfigVersion": "v1",
            "Capacity": slots,
            "State": state,
            "WarmupLeftMs": 0,
            "CallSeq": 1,
            **({} if born is None else {"born": born}),
        }
    )


def configuration(
    version: int,
    routes: Sequence[dict[str, Any]],
    services: Iterable[str],
    cold_seconds: float = 0.0,
    cold_rate: float = 0.0,
    workspaces: Sequence[dict[str, Any]] = (),
) -> str:
    """Encode a configuration.

    Args:
        version: Version of the configuration.
        routes: Routes in the platform's format; missing fields get default values.
        services: Names of the services.
        cold_seconds: Seconds for which their targets are cold after a start.
        cold_rate: Requests per second that a cold target handles; 0 for no limit.
        workspaces: Workspaces in the platform's format; if empty, no request needs an API key.

    Returns:
        The document in the store's Base64 encoding.
    """
    document = {
        "ConfigVersion": version,
        "Routing": [{**_DEFAULT_ROUTE, **route} for route in routes],
        "Services": [
            {
                "Name": name,
                "MaxConns": _CONNECTIONS,
                "WarmupS": cold_seconds,
                "WarmupPerS": cold_rate,
            }
            for name in sorted(services)
        ],
        "Limits": _LIMITS,
        **({"Tenants": list(workspaces)} if workspaces else {}),
    }
    return encode_value(json.dumps(document))


def workspace(
    name: str,
    *keys: str,
    rate: float | None = None,
    burst: float = 0.0,
    priority: int | None = None,
    homes: Sequence[str] = (),
) -> dict[str, Any]:
    """Build a workspace entry of a configuration.

    Args:
        name: Name of the workspace.
        *keys: Its API keys.
        rate: Requests per second that it may send; None for no limit.
        burst: Number of requests allowed at once beyond the rate.
        priority: Priority of its requests; None to use the priority of their routes.
        homes: Home regions; empty for any region.

    Returns:
        The fields of the entry.
    """
    return {
        "Name": name,
        "ApiKeys": list(keys),
        **({} if rate is None else {"RatePerS": rate, "Burst": burst}),
        **({} if priority is None else {"Priority": priority}),
        **({"AllowedRegions": list(homes)} if homes else {}),
    }


def encode_value(text: str) -> str:
    """Encode a value as Base64, as the store holds it."""
    return base64.b64encode(text.encode()).decode()


def caller_request(
    method: str,
    path: str,
    attempt: str,
    budget: float,
    body: bytes,
    key: str = "",
    claimed: str = "",
) -> bytes:
    """Encode a caller's request.

    Args:
        method: HTTP method.
        path: Path.
        attempt: Identity of the attempt.
        budget: Seconds for which the caller waits.
        body: Body; empty for none.
        key: API key; empty for none.
        claimed: Name of the workspace to which the caller claims to belong; empty for none.

    Returns:
        The encoded request.
    """
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: x.example\r\nX-Attempt-Id: {attempt}\r\n"
        f"X-Time-Budget: {int(budget * 1000)}\r\n"
    )
    if key:
        head += f"Authorization: Bearer {key}\r\n"
    if claimed:
        head += f"X-Tenant-Name: {claimed}\r\n"
    if body:
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body
