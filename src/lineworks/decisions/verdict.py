"""What is known about the execution of a request: whether it ran, and why.

Every refusal, retry and answer in lineworks is derived from a `Verdict`. `NOT_RUN` is used only if
no byte of the request was passed to a transport, or if the target itself reported that it did not
run the request.
"""

from __future__ import annotations

import dataclasses
import enum


class Certainty(enum.Enum):
    """Whether a request ran at a target."""

    NOT_RUN = "NOT_RUN"
    """It is certain that no target ran the request."""

    MAY_HAVE_RUN = "MAY_HAVE_RUN"
    """Unknown: the request was passed to a transport and no outcome was received."""

    RAN = "RAN"
    """It is certain that a target ran the request, and its outcome is known."""


class Reason(enum.Enum):
    """The reason for a verdict. The set is closed, so it can be used as a metric label."""

    OK = "ok"
    """The request ran and was answered."""

    NO_SELECTOR = "no_selector"
    """No selector matches the query."""

    NO_SERVICE = "no_service"
    """The configuration contains no such service."""

    NO_REPLICA = "no_replica"
    """The shard has no known live replica."""

    NO_SNAPSHOT = "no_snapshot"
    """No usable replica holds the pinned snapshot."""

    SNAPSHOT_GONE = "snapshot_gone"
    """The target no longer holds the pinned snapshot."""

    LEAVING = "leaving"
    """The target or the instance is leaving and accepts no new work."""

    OVERLOADED = "overloaded"
    """The request was shed because of load."""

    CAPPED = "capped"
    """The target refused a connection because its connection limit was reached."""

    UNREACHABLE = "unreachable"
    """A connection could not be opened."""

    LINK_LOST = "link_lost"
    """The connection was lost after the request had been sent."""

    DEADLINE = "deadline"
    """The deadline passed before an outcome was known."""

    CANCELLED = "cancelled"
    """The caller or the query cancelled the request."""

    FAILED = "failed"
    """The target ran the request and reported a failure."""

    BUDGET_SPENT = "budget_spent"
    """The retry budget of the group is exhausted."""

    COVERAGE = "coverage"
    """Fewer shards answered than the policy requires."""

    NOT_READY = "not_ready"
    """The instance has no configuration yet."""

    TICKET_UNKNOWN = "ticket_unknown"
    """The ticket was not issued by the instance that it names, or it was revoked."""

    TICKET_EXPIRED = "ticket_expired"
    """The ticket has expired."""

    TICKET_USED = "ticket_used"
    """The ticket has already been used."""

    ISSUER_GONE = "issuer_gone"
    """The instance that issued the ticket cannot be reached."""

    KEY_TAKEN = "key_taken"
    """Another request has already claimed the idempotency key."""

    PLATFORM_DOWN = "platform_down"
    """The platform's key-value store cannot be reached."""

    PLATFORM_UNSURE = "platform_unsure"
    """The outcome of a write to the platform is unknown."""

    INVALID = "invalid"
    """The request is invalid."""

    NO_HOME_TARGET = "no_home_target"
    """No target in the route's home regions is available, and targets elsewhere are not allowed."""

    CRASHES_TARGETS = "crashes_targets"
    """The request crashes the targets that run it."""

    UNKNOWN_KEY = "unknown_key"
    """The request has no API key, or one that is not in the configuration."""

    KEY_UNSURE = "key_unsure"
    """The instance cannot determine whether the key is valid: its configuration may be outdated."""

    OVER_QUOTA = "over_quota"
    """The workspace has used up its quota."""

    QUOTA_UNSURE = "quota_unsure"
    """No instance that could decide whether the request is within the quota answered."""


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Whether a request ran, with the reason."""

    certainty: Certainty
    """Whether the request ran."""

    reason: Reason
    """The reason for this."""

    detail: str = ""
    """Explanation in one sentence, never parsed."""

    @property
    def is_not_run(self) -> bool:
        """Whether it is certain that no target ran the request."""
        return self.certainty is Certainty.NOT_RUN

    @property
    def is_answered(self) -> bool:
        """Whether a target ran the request and answered, successfully or not."""
        return self.certainty is Certainty.RAN

    @property
    def is_ok(self) -> bool:
        """Whether the request ran and was answered."""
        return self.certainty is Certainty.RAN and self.reason is Reason.OK


OK = Verdict(Certainty.RAN, Reason.OK)
"""The verdict of a request that ran and was answered."""


def not_run(reason: Reason, detail: str = "") -> Verdict:
    """Create a verdict that no target ran the request.

    Args:
        reason: Why this is certain.
        detail: Explanation in one sentence.

    Returns:
        The verdict.
    """
    return Verdict(Certainty.NOT_RUN, reason, detail)


def may_have_run(reason: Reason, detail: str = "") -> Verdict:
    """Create a verdict that the outcome of the request is unknown.

    Args:
        reason: Why the outcome is unknown.
        detail: Explanation in one sentence.

    Returns:
        The verdict.
    """
    return Verdict(Certainty.MAY_HAVE_RUN, reason, detail)


def ran(reason: Reason, detail: str = "") -> Verdict:
    """Create a verdict that a target ran the request.

    Args:
        reason: The outcome.
        detail: Explanation in one sentence.

    Returns:
        The verdict.
    """
    return Verdict(Certainty.RAN, reason, detail)


def combine(verdicts: list[Verdict]) -> Certainty:
    """Combine the verdicts on a request that was sent in several parts.

    Args:
        verdicts: One verdict per part; empty if nothing was sent.

    Returns:
        `RAN` if any part ran, else `MAY_HAVE_RUN` if any part may have run, else `NOT_RUN`.
    """
    certainties = {verdict.certainty for verdict in verdicts}
    if Certainty.RAN in certainties:
        return Certainty.RAN
    if Certainty.MAY_HAVE_RUN in certainties:
        return Certainty.MAY_HAVE_RUN
    return Certainty.NOT_RUN
