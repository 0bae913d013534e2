"""Frames between instances on the platform's path: queries, parts, targets and configurations."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lineworks.decisions import evacuations, positions, quota, suspects, target_evidence


class Failure(enum.IntEnum):
    """Why a gatherer has no part of a shard."""

    NOT_SENT = 0
    """The request reached no target."""

    NOT_RUN = 1
    """A target refused it without running it."""

    MAY_HAVE_RUN = 2
    """A target may have run it, and no whole answer came."""

    RAN = 3
    """A target ran it and failed."""


@dataclasses.dataclass(frozen=True, slots=True)
class GatherQuery:
    """Asks a gatherer for the parts of several shards."""

    number: int
    """Number of this message, unique for the sending process."""

    services: tuple[str, ...]
    """Services that are the shards."""

    head: bytes
    """Request line and headers for every target, without those that differ by target."""

    body: bytes
    """The request's body."""

    attempt: bytes
    """Identity of the caller's try; targets repeat it."""

    top: int
    """Records wanted at most."""

    floor: bytes
    """Records below this one are of no use; empty for none."""

    deadline: float
    """Time by which parts are of use, in seconds on the receiver's clock."""

    flush_at: float
    """Time at which the parts that are in are sent, in seconds on the receiver's clock."""

    is_fair: bool = False
    """Whether room is shared between workspaces."""

    workspace: str = ""
    """Name of the workspace that it is for; empty for none."""

    has_quota: bool = False
    """Whether that workspace has a quota."""

    priority: int = 0
    """Rank; 0 is the most urgent."""

    due: float = 0.0
    """When the parts must leave to be of use in time, in seconds on the receiver's clock."""


@dataclasses.dataclass(frozen=True, slots=True)
class GatherParts:
    """Some of the shards that a `GatherQuery` asked for, merged or side by side."""

    number: int
    """Number of the query."""

    shards: tuple[int, ...]
    """Positions in the query's services of the shards that are in."""

    stamps: tuple[str, ...]
    """The targets' signatures, one for each of these shards."""

    records: bytes
    """The greatest records of these shards, falling, one after the other. Those that can't be in
    the answer beside the query's floor, or beside the first part of the query, are left out; so a
    front that can't use the first part of a query can't use the later ones either."""

    failed: tuple[int, ...]
    """Positions of the shards that nothing is to be expected for."""

    failures: tuple[Failure, ...]
    """For each of those, why."""

    counts: tuple[int, ...] = ()
    """Records of each shard, in the order of `shards`, where the shards are not merged: `records`
    then holds theirs one shard after the other. Empty when they are merged."""

    broken: tuple[str, ...] = ()
    """For each failure the identity of the target whose connection ended before its answer, or an
    empty text. Left out when none did."""


@dataclasses.dataclass(frozen=True, slots=True)
class GatherCancel:
    """Gives up shards of a `GatherQuery`."""

    number: int
    """Number of the query."""

    shards: tuple[int, ...] = ()
    """Positions given up; empty for all."""


@dataclasses.dataclass(frozen=True, slots=True)
class ExtraAsk:
    """Asks a keeper for extra attempts, one at each service."""

    number: int
    """Number of this message, unique for the sending process."""

    hedges: tuple[str, ...]
    """Services that a second attempt beside a slow one is wanted for."""

    retries: tuple[str, ...]
    """Services that an attempt after a failed one is wanted for."""


@dataclasses.dataclass(frozen=True, slots=True)
class ExtraGrant:
    """A keeper's answer."""

    number: int
    """Number of the `ExtraAsk`."""

    services: tuple[str, ...]
    """Services that one extra attempt each is granted for."""


@dataclasses.dataclass(frozen=True, slots=True)
class CreditPull:
    """Asks an instance for the credit that it has earned."""

    number: int
    """Number of this message, unique for the sending process."""


@dataclasses.dataclass(frozen=True, slots=True)
class CreditShare:
    """Hands credit over; the sender has none of it any more."""

    number: int
    """Number of the `CreditPull`."""

    amount: float
    """Extra attempts for every service, fractions included."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetReports:
    """Tells the keeper of a data hall what was seen of targets, or the hall what it made of it."""

    sightings: tuple[target_evidence.Observation, ...]
    """One for each target."""

    is_belief: bool = False
    """Whether the keeper says so, by the reports of several instances."""


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectReports:
    """Tells the peers of requests under which targets ended."""

    records: tuple[suspects.Record, ...]
    """One for each request, with times on the receiver's clock."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetUpdate:
    """Tells the peers of a data hall what the platform's store said of the targets."""

    after: positions.Position
    """Position after which the changes begin; `positions.ABSENT` when they list all targets."""

    position: positions.Position
    """Position up to which they go."""

    age: float
    """Seconds since the store was asked."""

    document: bytes
    """The changes, as `target_documents` writes them."""

    evacuations: tuple[evacuations.EvacuationChange, ...] = ()
    """Changes of the halls that get no new work, of the same positions."""

    unsettled: bytes = b""
    """Entries that may yet go or come back, as `target_documents` writes them."""


@dataclasses.dataclass(frozen=True, slots=True)
class TableUpdate:
    """Carries a whole configuration."""

    version: int
    """Its version."""

    document: bytes = dataclasses.field(repr=False)
    """The document as it lies in the store. It holds API keys."""

    era: int
    """Era of the store in which it was read there."""


@dataclasses.dataclass(frozen=True, slots=True)
class TablePull:
    """Asks for the configuration in force at a peer."""

    version: int
    """Version in force at the sender."""


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaAsk:
    """Asks the holder of a workspace's tokens for one."""

    number: int
    """Number of this message, unique for the sending process."""

    workspace: str
    """Name of the workspace."""

    version: int = 0
    """Version of the configuration by which it has a limit."""


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaGrant:
    """A holder's answer."""

    number: int
    """Number of the `QuotaAsk`."""

    decision: quota.Decision
    """What it is."""

    retry_after: float = 0.0
    """Seconds after which the caller may ask again, where there is no token."""


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaReturn:
    """Gives back the token of a request that certainly did not run."""

    number: int
    """Number of the `QuotaAsk` that it was granted for."""


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaPull:
    """Asks the holder in another data hall for tokens."""

    number: int
    """Number of this message, unique for the sending process."""

    workspace: str
    """Name of the workspace."""

    amount: float
    """Tokens wanted at most, fractions included."""


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaShare:
    """Hands tokens over; the sender has none of them any more."""

    number: int
    """Number of the `QuotaPull`."""

    amount: float
    """Tokens, fractions included."""
