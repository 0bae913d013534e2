"""Messages of the peer link other than those defined by the engine."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, TypeAlias

from lineworks.engine import messages
from lineworks.wire import node_frames

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lineworks.decisions import catalog


@dataclasses.dataclass(frozen=True, slots=True)
class Challenge:
    """First message on a link, sent by both sides."""

    nonce: bytes
    """Random bytes that the MAC of the peer's `Hello` must cover."""


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """Identifies and authenticates the sender."""

    name: str
    """Name of the instance."""

    hall: str
    """Data hall of the instance."""

    incarnation: str
    """ID of the instance's process."""

    mac: bytes
    """HMAC-SHA256 of the challenge and the other fields, keyed with the shared secret."""


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Sent every second on every link, and immediately when its content changes."""

    is_leaving: bool
    """Whether the sender accepts no new work because it is stopping."""

    config_version: int
    """Version of the configuration in force at the sender."""

    config_digest: str
    """Digest of the chain of changes up to that version."""

    instances: int = 0
    """Number of instances that the sender knows of, including itself; 0 if unknown."""

    store_era: int = 0
    """Highest era of the platform's store that the sender knows of; 0 if unknown."""

    gather_rate: float = 0.0
    """Shards per second that the sender can query for other instances; 0 if not stated."""


@dataclasses.dataclass(frozen=True, slots=True)
class Replies:
    """A batch of sub-query outcomes."""

    replies: tuple[messages.ShardReply, ...]
    """The outcomes."""


@dataclasses.dataclass(frozen=True, slots=True)
class Holdings:
    """All snapshots that a gatherer can serve."""

    held: Mapping[str, frozenset[catalog.Snapshot]]
    """Available snapshots by owned service."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigPull:
    """Requests the configuration changes after a version."""

    version: int
    """Version in force at the sender."""

    digest: str
    """Digest of that version."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigChanges:
    """Carries configuration changes."""

    document: bytes
    """A JSON document, see `lineworks.models.configuration.Transfer`."""


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """Relays a request to the instance that issued its ticket or claimed its idempotency key."""

    number: int
    """Message number, unique within the sending process."""

    ticket: str
    """Request ID: the text of the ticket, or `key:` and the digest of the workspace and the key."""

    document: bytes
    """The caller's request as JSON; an empty object if the request has a key."""

    deadline: float
    """Deadline of the reply, in seconds on the receiver's clock."""


@dataclasses.dataclass(frozen=True, slots=True)
class RelayReply:
    """The outcome of a relayed request."""

    number: int
    """Message number of the `Relay`."""

    document: bytes
    """The response as JSON."""


Frame: TypeAlias = (
    Challenge
    | Hello
    | Heartbeat
    | messages.SubQueries
    | messages.Cancel
    | Replies
    | Holdings
    | ConfigPull
    | ConfigChanges
    | Relay
    | RelayReply
    | node_frames.GatherQuery
    | node_frames.GatherParts
    | node_frames.GatherCancel
    | node_frames.TargetUpdate
    | node_frames.TableUpdate
    | node_frames.TablePull
    | node_frames.ExtraAsk
    | node_frames.ExtraGrant
    | node_frames.CreditPull
    | node_frames.CreditShare
    | node_frames.TargetReports
    | node_frames.SuspectReports
    | node_frames.QuotaAsk
    | node_frames.QuotaGrant
    | node_frames.QuotaReturn
    | node_frames.QuotaPull
    | node_frames.QuotaShare
)
"""Any message of a peer link."""
