"""Settings of an instance on the users' platform, independent of the platform's format."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from lineworks.decisions import access, cold_targets, extra_attempts, quota

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lineworks.decisions import mechanisms


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """An IP address with a port."""

    host: str
    """IP address."""

    port: int
    """TCP port."""


@dataclasses.dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of one process of `lineworks-node`."""

    name: str
    """Unique name of the instance."""

    hall: str
    """Data hall of the instance."""

    region: str
    """Region of the data hall."""

    regions: Mapping[str, str]
    """Region of each data hall of the deployment."""

    callers: Address
    """Address on which callers connect."""

    readiness: Address
    """Address at which the load balancer checks whether the instance takes new connections."""

    peers: Address
    """Address on which other instances connect."""

    metrics: Address
    """Address that serves metrics."""

    store: Address
    """Address of the platform's store."""

    allowance: extra_attempts.Allowance
    """Limit on attempts beyond the first that all instances together may send to a service."""

    stop_seconds: float
    """Seconds between SIGTERM and the platform's killing the process."""

    cold_bound: cold_targets.ColdBound = cold_targets.ColdBound()
    """Limit on requests that all instances together may send to cold targets."""

    quota_bound: quota.QuotaBound = quota.QuotaBound()
    """Limit on requests that all instances together may admit beyond a workspace's quota."""

    revocation: access.RevocationPolicy = access.RevocationPolicy()
    """Rules for API keys that may have been revoked while the instance's configuration could not be
    refreshed."""

    gather_rate: float = 0.0
    """Shards per second that the instance can query for other instances; 0 if not known."""

    memory_bytes: int = 0
    """Memory that the process may use, in bytes; 0 if not known."""

    max_descriptors: int = 0
    """Descriptors that the process may have open; 0 if not known."""

    without: frozenset[mechanisms.Mechanism] = frozenset()
    """Mechanisms that are disabled, to measure their benefit."""
