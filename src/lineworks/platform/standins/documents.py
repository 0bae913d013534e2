"""What the platform's operator, its targets' keys, its balancer and its callers say on the wire."""

from __future__ import annotations

import base64
import json
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

CONFIGURATION_KEY = "op/config"
"""Key that holds the newest configuration."""

EXTERNAL_PREFIXES = ("op/", "servers/")
"""Prefixes of the keys that operators and targets write."""

READINESS_REQUEST = b"GET /lineworks/readiness HTTP/1.1\r\nHost: x\r\n\r\n"
"""What the balancer sends."""

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
    """Name the key of a target's entry."""
    return f"servers/{name}"


def evacuation_key(hall: str) -> str:
    """Name the key by which operators ask to leave a data hall alone."""
    return f"op/evacuate/{hall}"


def target_entry(
    service: str, address: str, hall: str, slots: int, state: str, born: int | None = None
) -> str:
    """Write a target's entry.

    Args:
        service: Service that it serves.
        address: Where it takes requests, as `HOST:PORT`.
        hall: Its data hall.
        slots: Requests that it works on at a time.
        state: `ready` or `draining`.
        born: Unix millisecond of its start; older targets do not tell it.

    Returns:
        The entry's JSON, not yet encoded for the store.
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
    """Write a configuration.

    Args:
        version: Its version.
        routes: Routes in the platform's form; what is usual may be left out.
        services: Names of the services.
        cold_seconds: Seconds that their targets are cold after a start.
        cold_rate: Requests a second that one handles while cold; 0 for no bound.
        workspaces: Workspaces in the platform's form; none where no request needs a key.

    Returns:
        The document as the store holds it.
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
    """Write a workspace as configurations hold it.

    Args:
        name: Its name.
        *keys: Its keys.
        rate: Requests a second that it may send; None for no limit.
        burst: Requests besides, at once.
        priority: Rank of its requests; None where that of their routes holds.
        homes: Home regions; none for any.

    Returns:
        Its fields.
    """
    return {
        "Name": name,
        "ApiKeys": list(keys),
        **({} if rate is None else {"RatePerS": rate, "Burst": burst}),
        **({} if priority is None else {"Priority": priority}),
        **({"AllowedRegions": list(homes)} if homes else {}),
    }


def encode_value(text: str) -> str:
    """Encode a value as the store holds it."""
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
    """Write a caller's request.

    Args:
        method: Method.
        path: Path.
        attempt: Identity of the try.
        budget: Seconds that the caller waits.
        body: Body; empty for none.
        key: API key; empty for none.
        claimed: Name of the workspace that the caller says it belongs to; empty for none.

    Returns:
        Its bytes.
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
