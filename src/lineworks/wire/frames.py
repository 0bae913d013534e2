"""Messages of the peer link besides the engine's own."""

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
    """First message on a link, from each side."""

    nonce: bytes
    """Random bytes that the other side's `Hello` must be signed over."""


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """Says who is at this end of the link."""

    name: str
    """Name of the instance."""

    hall: str
    """Its data hall."""

    incarnation: str
    """Identity of its process."""

    mac: bytes
    """HMAC-SHA256 of the challenge and the other fields, by the shared secret."""


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Sent each second on every link, and at once when something in it changes."""

    is_leaving: bool
    """Whether the sender takes no new work."""

    config_version: int
    """Version of the configuration in force at the sender."""

    config_digest: str
    """Digest of the chain of changes up to that version."""

    instances: int = 0
    """Instances that the sender sees, itself included; 0 where that is not known."""

    store_era: int = 0
    """Greatest era of the platform's store that the sender knows of; 0 where it knows none."""


@dataclasses.dataclass(frozen=True, slots=True)
class Replies:
    """Outcomes of sub-queries, batched."""

    replies: tuple[messages.ShardReply, ...]
    """The outcomes."""


@dataclasses.dataclass(frozen=True, slots=True)
class Holdings:
    """What a gatherer can serve, whole."""

    held: Mapping[str, frozenset[catalog.Snapshot]]
    """For each service owned, the snapshots held."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigPull:
    """Asks for the changes after a version."""

    version: int
    """Version in force at the sender."""

    digest: str
    """Its digest."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigChanges:
    """Carries configuration changes."""

    document: bytes
    """A JSON document, see `lineworks.models.configuration.Transfer`."""


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """Hands a request with a ticket to the instance that issued the ticket."""

    number: int
    """Number of this message, unique for the sending incarnation."""

    ticket: str
    """The ticket."""

    document: bytes
    """The caller's request as JSON."""

    deadline: float
    """Time by which the reply is of use, in seconds on the receiver's clock."""


@dataclasses.dataclass(frozen=True, slots=True)
class RelayReply:
    """The outcome of a relayed request."""

    number: int
    """Number of the `Relay`."""

    document: bytes
    """The answer as JSON."""


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
"""Everything that travels on a peer link."""
