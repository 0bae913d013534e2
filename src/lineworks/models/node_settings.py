"""What a process learns before it starts, in the product's own words."""

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
    """Settings of one process on the users' machines."""

    name: str
    """Unique name of the instance."""

    hall: str
    """Data hall that it stands in."""

    region: str
    """Region of the hall."""

    regions: Mapping[str, str]
    """For each hall of the deployment, its region."""

    callers: Address
    """Where callers connect."""

    readiness: Address
    """Where the balancer asks whether the instance takes new connections."""

    peers: Address
    """Where other instances connect."""

    metrics: Address
    """Where metrics are served."""

    store: Address
    """The platform's store."""

    allowance: extra_attempts.Allowance
    """Attempts beyond the first that a service may get from all instances together."""

    stop_seconds: float
    """Seconds from SIGTERM until the platform kills the process."""

    cold_bound: cold_targets.ColdBound = cold_targets.ColdBound()
    """What cold targets may get from all instances together."""

    quota_bound: quota.QuotaBound = quota.QuotaBound()
    """What all instances together may let through beyond a workspace's quota."""

    revocation: access.RevocationPolicy = access.RevocationPolicy()
    """What holds for keys that were taken away while the instance heard nothing."""

    gather_rate: float = 0.0
    """Shards a second that the instance can ask for others; 0 where that is not known."""

    without: frozenset[mechanisms.Mechanism] = frozenset()
    """Mechanisms that are switched off, to measure what they are worth."""
