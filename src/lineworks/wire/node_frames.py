"""Messages between instances for forwarded requests, shared state and configurations."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lineworks.decisions import evacuations, positions, quota, suspects, target_evidence


class Failure(enum.IntEnum):
    """Reason why a gatherer has no response from a shard."""

    NOT_SENT = 0
    """The request was not sent to any target."""

    NOT_RUN = 1
    """A target refused the request without executing it."""

    MAY_HAVE_RUN = 2
    """A target may have executed the request, but no complete response arrived."""

    RAN = 3
    """A target executed the request and failed."""


@dataclasses.dataclass(frozen=True, slots=True)
class GatherQuery:
    """Requests the partial results of several shards from a gatherer."""

    number: int
    """Message number, unique within the sending process."""

    services: tuple[str, ...]
    """Services that represent the shards."""

    head: bytes
    """Request line and the header fields that are the same for all targets."""

    body: bytes
    """Request body."""

    attempt: bytes
    """Identifier of the caller's attempt; targets echo it."""

    top: int
    """Maximum number of records in the result."""

    floor: bytes
    """Lower bound of the records wanted; records below it are not used. Empty for no bound."""

    deadline: float
    """Deadline of the partial results, in seconds on the receiver's clock."""

    flush_at: float
    """Time at which the gatherer sends the partial results received so far, in seconds on the
    receiver's clock."""

    is_fair: bool = False
    """Whether the gatherer shares its capacity fairly between workspaces."""

    workspace: str = ""
    """Name of the workspace on whose behalf the request runs; empty for none."""

    has_quota: bool = False
    """Whether the workspace has a quota."""

    priority: int = 0
    """Priority of the request; 0 is the most urgent."""

    due: float = 0.0
    """Time by which the partial results must be sent in order to arrive in time, in seconds on
    the receiver's clock."""


@dataclasses.dataclass(frozen=True, slots=True)
class GatherParts:
    """Partial results for some shards of a `GatherQuery`, merged or shard by shard."""

    number: int
    """Message number of the `GatherQuery`."""

    shards: tuple[int, ...]
    """Indices in the query's `services` of the shards that responded."""

    stamps: tuple[str, ...]
    """Stamps of the targets' responses, one for each of these shards."""

    records: bytes
    """The top records of these shards, concatenated in descending order. Records are omitted if
    the query's floor, or the first partial result sent for the query, rules them out of the final
    result. A front that can't use the first partial result therefore can't use later ones
    either."""

    failed: tuple[int, ...]
    """Indices of the shards that failed and will yield no result."""

    failures: tuple[Failure, ...]
    """Reason for each entry of `failed`."""

    counts: tuple[int, ...] = ()
    """Number of records of each shard, in the order of `shards`, if the shards are not merged;
    `records` is then grouped by shard in this order. Empty if they are merged."""

    broken: tuple[str, ...] = ()
    """For each entry of `failed`, the identity of the target whose connection closed before its
    response, or an empty string. Empty if no connection closed."""


@dataclasses.dataclass(frozen=True, slots=True)
class GatherCancel:
    """Cancels shards of a `GatherQuery`."""

    number: int
    """Message number of the `GatherQuery`."""

    shards: tuple[int, ...] = ()
    """Indices of the cancelled shards; empty for all."""


@dataclasses.dataclass(frozen=True, slots=True)
class ExtraAsk:
    """Requests extra attempts from the hall's keeper, one for each service."""

    number: int
    """Message number, unique within the sending process."""

    hedges: tuple[str, ...]
    """Services for which a hedge is requested: a second attempt while a slow one is pending."""

    retries: tuple[str, ...]
    """Services for which a retry is requested: another attempt after a failed one."""


@dataclasses.dataclass(frozen=True, slots=True)
class ExtraGrant:
    """The keeper's reply to an `ExtraAsk`."""

    number: int
    """Message number of the `ExtraAsk`."""

    services: tuple[str, ...]
    """Services for which one extra attempt each is granted."""


@dataclasses.dataclass(frozen=True, slots=True)
class CreditPull:
    """Requests the credit for extra attempts that an instance has earned."""

    number: int
    """Message number, unique within the sending process."""


@dataclasses.dataclass(frozen=True, slots=True)
class CreditShare:
    """Transfers credit; the sender has already deducted it."""

    number: int
    """Message number of the `CreditPull`."""

    amount: float
    """Number of extra attempts for every service; may be fractional."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetReports:
    """Carries observations of targets to a hall's keeper, or the keeper's beliefs to the hall."""

    observations: tuple[target_evidence.Observation, ...]
    """One observation for each target."""

    is_belief: bool = False
    """Whether these are the keeper's beliefs, based on reports of several instances."""


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectReports:
    """Reports requests during which targets terminated."""

    records: tuple[suspects.Record, ...]
    """One record for each request, with times on the receiver's clock."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetUpdate:
    """Forwards changes of targets, read from the platform's store, to the peers in a data hall."""

    after: positions.Position
    """Position after which the changes begin; `positions.ABSENT` if they list all targets."""

    position: positions.Position
    """Position of the last change."""

    age: float
    """Seconds since the store was read."""

    document: bytes
    """The changes, encoded by `target_documents`."""

    evacuations: tuple[evacuations.EvacuationChange, ...] = ()
    """Changes of evacuated halls between the same positions."""

    unsettled: bytes = b""
    """Entries that may still be removed or restored, encoded by `target_documents`."""


@dataclasses.dataclass(frozen=True, slots=True)
class TableUpdate:
    """Carries a complete configuration."""

    version: int
    """Version of the configuration."""

    document: bytes = dataclasses.field(repr=False)
    """The document as stored. It contains API keys."""

    era: int
    """Era of the store in which the document was read."""


@dataclasses.dataclass(frozen=True, slots=True)
class TablePull:
    """Requests the configuration in force at a peer."""

    version: int
    """Version in force at the sender."""


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaAsk:
    """Requests one token from the holder of a workspace's tokens."""

    number: int
    """Message number, unique within the sending process."""

    workspace: str
    """Name of the workspace."""

    version: int = 0
    """Version of the configuration that defines the workspace's limit."""


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaGrant:
    """The holder's reply to a `QuotaAsk`."""

    number: int
    """Message number of the `QuotaAsk`."""

    decision: quota.Decision
    """Decision of the holder."""

    retry_after: float = 0.0
    """Seconds after which the caller may retry if no token was granted."""


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaReturn:
    """Returns the token of a request that was certainly not executed."""

    number: int
    """Message number of the `QuotaAsk` for which the token was granted."""


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaPull:
    """Requests tokens from the holder in another data hall."""

    number: int
    """Message number, unique within the sending process."""

    workspace: str
    """Name of the workspace."""

    amount: float
    """Maximum number of tokens requested; may be fractional."""


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaShare:
    """Transfers tokens; the sender has already deducted them."""

    number: int
    """Message number of the `QuotaPull`."""

    amount: float
    """Number of tokens; may be fractional."""
