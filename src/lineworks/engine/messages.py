"""Messages between a front and the gatherers that it asks.

They travel as plain objects inside one process and as peer link frames between processes.
Deadlines are on the receiver's own clock; the link carries remaining time.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, TypeAlias

from lineworks.decisions import verdict

if TYPE_CHECKING:
    from lineworks.decisions import catalog


@dataclasses.dataclass(frozen=True, slots=True)
class SubQueries:
    """Asks a gatherer for several shards of one query."""

    frame: int
    """Number of this message, unique for the sending incarnation."""

    query: str
    """Identity of the query, for logs and targets."""

    hall: str
    """Data hall whose targets are wanted."""

    snapshot: catalog.Snapshot
    """Snapshot that every reply must come from."""

    services: tuple[str, ...]
    """For each sub-query, the service."""

    shards: tuple[str, ...]
    """For each sub-query, the shard."""

    body: bytes
    """The body that every target gets."""

    deadline: float
    """Time by which replies are of use, in seconds on the receiver's clock."""

    is_repeatable: bool = True
    """Whether a sub-query may be started more than once."""

    needs_snapshot: bool = True
    """Whether only replicas that hold the snapshot may answer."""

    group: str = ""
    """Group that the query reaches; latencies and hedge tokens are kept by group."""

    hedge_budget: float = 0.0
    """Hedges that the group's policy allows, as a share of sub-queries."""

    network_delay: float = 0.0
    """Seconds that this message and a reply to it spend on the way, as the front expects."""


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Gives up sub-queries of a frame."""

    frame: int
    """The frame that asked for them."""

    indices: tuple[int, ...] = ()
    """Positions given up; empty for all."""


@dataclasses.dataclass(frozen=True, slots=True)
class ShardReply:
    """The outcome of one sub-query."""

    frame: int
    """The frame that asked for it."""

    index: int
    """Position in that frame."""

    verdict: verdict.Verdict
    """What is known of it."""

    snapshot: catalog.Snapshot | None
    """Snapshot that the target answered from."""

    body: bytes
    """The target's reply, empty unless the verdict is OK."""

    waited: float
    """Seconds spent waiting for a slot at the gatherer."""

    target: str
    """Name of the last target tried, or empty."""

    attempts: int
    """Attempts that were handed to targets."""


Request: TypeAlias = SubQueries | Cancel
"""What a front sends to a gatherer."""
