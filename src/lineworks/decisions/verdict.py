"""What is known about a request: whether it ran, and why.

Every refusal, retry and answer in lineworks follows from a `Verdict`. The rule: `NOT_RUN` is
only said when no byte of the request was handed to a transport, or when the target itself said
that it did not run the request.
"""

from __future__ import annotations

import dataclasses
import enum


class Certainty(enum.Enum):
    """Whether a request ran at a target."""

    NOT_RUN = "NOT_RUN"
    """Certain: no target ran the request."""

    MAY_HAVE_RUN = "MAY_HAVE_RUN"
    """Unknown: the request was handed to a transport and no outcome came back."""

    RAN = "RAN"
    """Certain: a target ran the request and its outcome is known."""


class Reason(enum.Enum):
    """Why a verdict is what it is. A closed set, so that it can label metrics."""

    OK = "ok"
    """The request ran and was answered."""

    NO_SELECTOR = "no_selector"
    """No selector matches the query."""

    NO_SERVICE = "no_service"
    """The configuration holds no such service."""

    NO_REPLICA = "no_replica"
    """No live replica of the shard is known."""

    NO_SNAPSHOT = "no_snapshot"
    """No replica that can be used holds the pinned snapshot."""

    SNAPSHOT_GONE = "snapshot_gone"
    """The target no longer holds the pinned snapshot."""

    LEAVING = "leaving"
    """The target or the instance is leaving and takes no new work."""

    OVERLOADED = "overloaded"
    """The request was shed because of load."""

    CAPPED = "capped"
    """A connection was refused because the target's connection cap was reached."""

    UNREACHABLE = "unreachable"
    """A connection could not be opened."""

    LINK_LOST = "link_lost"
    """The connection broke after the request had been sent."""

    DEADLINE = "deadline"
    """The deadline came before an outcome."""

    CANCELLED = "cancelled"
    """The caller or the query gave the request up."""

    FAILED = "failed"
    """The target ran the request and reported a failure."""

    BUDGET_SPENT = "budget_spent"
    """The retry budget of the group is spent."""

    COVERAGE = "coverage"
    """Fewer shards answered than the policy demands."""

    NOT_READY = "not_ready"
    """The instance has no configuration yet."""

    TICKET_UNKNOWN = "ticket_unknown"
    """The ticket was not issued by the instance that it names, or was voided."""

    TICKET_EXPIRED = "ticket_expired"
    """The ticket's time is over."""

    TICKET_USED = "ticket_used"
    """The ticket was used before."""

    ISSUER_GONE = "issuer_gone"
    """The instance that issued the ticket cannot be reached."""

    KEY_TAKEN = "key_taken"
    """Another request already claimed the idempotency key."""

    PLATFORM_DOWN = "platform_down"
    """The platform's key-value service cannot be reached."""

    PLATFORM_UNSURE = "platform_unsure"
    """A write to the platform could not be settled."""

    INVALID = "invalid"
    """The request breaks the rules of the interface."""

    NO_HOME_TARGET = "no_home_target"
    """No target in the route's home regions can be asked, and no other one may be."""

    CRASHES_TARGETS = "crashes_targets"
    """The request ends the targets that run it."""

    UNKNOWN_KEY = "unknown_key"
    """The request carries no key that the configuration holds."""

    KEY_UNSURE = "key_unsure"
    """The instance cannot tell whether the request's key holds: it heard nothing for too long."""

    OVER_QUOTA = "over_quota"
    """The workspace has sent as much as its quota allows."""

    QUOTA_UNSURE = "quota_unsure"
    """Nobody who could tell whether the request is within the quota answers."""


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """A certainty with its reason."""

    certainty: Certainty
    """Whether the request ran."""

    reason: Reason
    """Why this is known."""

    detail: str = ""
    """One sentence for people; never parsed."""

    @property
    def is_not_run(self) -> bool:
        """Whether it is certain that no target ran the request."""
        return self.certainty is Certainty.NOT_RUN

    @property
    def is_answered(self) -> bool:
        """Whether a target ran the request and answered, with success or not."""
        return self.certainty is Certainty.RAN

    @property
    def is_ok(self) -> bool:
        """Whether the request ran and was answered."""
        return self.certainty is Certainty.RAN and self.reason is Reason.OK


OK = Verdict(Certainty.RAN, Reason.OK)
"""The verdict of a request that ran and was answered."""


def not_run(reason: Reason, detail: str = "") -> Verdict:
    """Make a verdict that no target ran the request.

    Args:
        reason: Why this is certain.
        detail: One sentence for people.

    Returns:
        The verdict.
    """
    return Verdict(Certainty.NOT_RUN, reason, detail)


def may_have_run(reason: Reason, detail: str = "") -> Verdict:
    """Make a verdict that the outcome is unknown.

    Args:
        reason: Why the outcome is unknown.
        detail: One sentence for people.

    Returns:
        The verdict.
    """
    return Verdict(Certainty.MAY_HAVE_RUN, reason, detail)


def ran(reason: Reason, detail: str = "") -> Verdict:
    """Make a verdict that a target ran the request.

    Args:
        reason: What came of it.
        detail: One sentence for people.

    Returns:
        The verdict.
    """
    return Verdict(Certainty.RAN, reason, detail)


def combine(verdicts: list[Verdict]) -> Certainty:
    """Say what is known of a request that was sent in several parts.

    Args:
        verdicts: One verdict for each part; an empty list means that nothing was sent.

    Returns:
        `RAN` if any part ran, else `MAY_HAVE_RUN` if any part may have, else `NOT_RUN`.
    """
    certainties = {verdict.certainty for verdict in verdicts}
    if Certainty.RAN in certainties:
        return Certainty.RAN
    if Certainty.MAY_HAVE_RUN in certainties:
        return Certainty.MAY_HAVE_RUN
    return Certainty.NOT_RUN
