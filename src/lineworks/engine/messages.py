"""Messages between a front and its gatherers.

Within a process they are passed as objects; between processes they are sent as peer link frames.
Deadlines are times on the receiver's clock; a peer link transmits the remaining time.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, TypeAlias

from lineworks.decisions import verdict

if TYPE_CHECKING:
    from lineworks.decisions import catalog


@dataclasses.dataclass(frozen=True, slots=True)
class SubQueries:
    """A frame with sub-queries of one query for a gatherer."""

    frame: int
    """Number of this frame, unique within the sender's incarnation."""

    query: str
    """ID of the query, for logs and attempt IDs."""

    hall: str
    """Data hall whose targets serve the sub-queries."""

    snapshot: catalog.Snapshot
    """Snapshot that every reply must come from."""

    services: tuple[str, ...]
    """Service name of each sub-query."""

    shards: tuple[str, ...]
    """Shard name of each sub-query."""

    body: bytes
    """Body that is sent to every target."""

    deadline: float
    """Time by which replies must be sent, in seconds on the receiver's clock."""

    is_repeatable: bool = True
    """Whether a sub-query may be started more than once."""

    needs_snapshot: bool = True
    """Whether only replicas that hold the snapshot may answer."""

    group: str = ""
    """Name of the group that is queried; the gatherer keeps latencies and hedge tokens by group."""

    hedge_budget: float = 0.0
    """Hedges that the group's policy allows, as a share of sub-queries (0 to 1)."""

    network_delay: float = 0.0
    """Network round-trip time in seconds, as expected by the front."""


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Cancels sub-queries of a frame."""

    frame: int
    """Number of the frame with the sub-queries."""

    indices: tuple[int, ...] = ()
    """Positions of the sub-queries to cancel; empty for all."""


@dataclasses.dataclass(frozen=True, slots=True)
class ShardReply:
    """The outcome of one sub-query."""

    frame: int
    """Number of the frame with the sub-query."""

    index: int
    """Position of the sub-query in that frame."""

    verdict: verdict.Verdict
    """Verdict of the sub-query."""

    snapshot: catalog.Snapshot | None
    """Snapshot that the target replied from; None when no target replied."""

    body: bytes
    """Body of the target's reply; empty unless the verdict is OK."""

    waited: float
    """Seconds that the sub-query was queued at the gatherer."""

    target: str
    """Name of the last target tried, or empty."""

    attempts: int
    """Number of attempts sent to targets."""


Request: TypeAlias = SubQueries | Cancel
"""A message from a front to a gatherer."""
