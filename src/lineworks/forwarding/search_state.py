"""State of the shards and attempts of a search, and decoding of gatherers' messages."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

from lineworks.decisions import parts, verdict
from lineworks.forwarding import attempts
from lineworks.wire import node_frames

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from lineworks.decisions import routes
    from lineworks.forwarding import target_book, target_state


@dataclasses.dataclass(slots=True, eq=False)
class ShardAttempt(attempts.Attempt):
    """An attempt to query one shard."""

    shard: int = 0
    """Index of the shard in the search."""

    query: int = 0
    """Number of the query sent to a gatherer; 0 if the target was called directly."""

    position: int = 0
    """Index of the shard in that query."""

    @property
    def is_direct(self) -> bool:
        """Whether the target was called directly and not through a gatherer."""
        return not self.query


class NotHedged(enum.Enum):
    """Reason why a missing shard was not hedged."""

    NOT_DUE = "not due"
    """The attempt was not slow enough yet when the search ended, or it had failed."""

    NO_TARGET = "no other target with room"
    """The other targets are unknown, shutting down, backing off or full."""

    LIMIT = "as many targets as the route allows"
    """As many targets as the route allows ran the query or may still run it."""

    TOO_LATE = "too late to help"
    """The search's answer was due before another target could have responded."""

    NO_BUDGET = "no extra attempt left"
    """The budget of extra attempts for the service was exhausted."""


@dataclasses.dataclass(slots=True, eq=False)
class Shard:
    """State of one shard of a search."""

    service: str
    """Name of the service that serves the shard."""

    all_attempts: list[ShardAttempt] = dataclasses.field(default_factory=list)
    """All attempts so far, in the order in which they were sent."""

    running: list[ShardAttempt] = dataclasses.field(default_factory=list)
    """Attempts in progress."""

    tried: set[str] = dataclasses.field(default_factory=set)
    """Identities of the targets tried since the set was last reset."""

    backoffs: int = 0
    """Number of backoffs taken because no eligible target was left."""

    sent: int = 0
    """Number of attempts, without those known to have reached no target."""

    budget_requests: int = 0
    """Number of times that an extra attempt was requested for the shard."""

    is_hedged: bool = False
    """Whether a hedge was sent."""

    not_hedged: NotHedged = NotHedged.NOT_DUE
    """Why no hedge was sent when the shard was last checked."""

    is_waiting: bool = False
    """Whether the shard waits for a retry."""

    is_given_up: bool = False
    """Whether no further attempt will be made."""

    def choose(
        self, book: target_book.TargetBook, route: routes.Route, now: float
    ) -> target_state.TargetState | None:
        """Choose the target for another attempt, excluding those in `tried`.

        Args:
            book: The known targets.
            route: The route of the search.
            now: Current time in seconds.

        Returns:
            The target, or None if no target is eligible now.
        """
        return attempts.choose_target(book, route, self.service, now, self.all_attempts, self.tried)

    def was_sent_to(self, target: str) -> bool:
        """Return whether an earlier direct call to a target ran the query or may still run it.

        Args:
            target: Identity of the target.

        Returns:
            Whether there is such a call.
        """
        return bool(self.all_attempts) and target in attempts.known_targets(self.all_attempts)


def over_limit(shards: Iterable[Shard], max_targets: int) -> tuple[str, ...]:
    """Describe the shards that may have run on more targets than the route allows.

    Args:
        shards: The shards of the search.
        max_targets: Maximum number of targets per shard.

    Returns:
        One entry per such shard: its service and the outcome of every attempt.
    """
    return tuple(
        attempts.describe(shard.service, shard.all_attempts)
        for shard in shards
        if attempts.exceeds_target_limit(shard.all_attempts, max_targets)
    )


def describe_missing(shard: Shard) -> str:
    """Describe why a shard is missing from the result.

    Args:
        shard: The shard.

    Returns:
        Its service and a short explanation for operators.
    """
    if shard.running:
        state = "waiting for " + "+".join(attempt.state.id for attempt in shard.running)
        if not shard.is_hedged:
            state += f" (no hedge: {shard.not_hedged.value})"
    elif shard.is_given_up:
        state = "given up"
    elif shard.is_waiting:
        state = "no target with room"
    else:
        state = "not asked"
    return f"{shard.service}: {state} after {shard.sent} sent"


def read_parts(
    query_attempts: Sequence[ShardAttempt], frame: node_frames.GatherParts
) -> list[tuple[parts.Part, list[ShardAttempt]]]:
    """Decode the partial results in a gatherer's message.

    Args:
        query_attempts: The attempts of the query, by position.
        frame: The message; positions outside the query are ignored.

    Returns:
        Each partial result with the attempts that delivered it. Merged shards form a single one.
    """
    records = parts.split_records(frame.records)
    rows = list(zip(frame.shards, frame.stamps, strict=True))
    if not frame.counts:
        arrived = [
            query_attempts[position] for position, _ in rows if position < len(query_attempts)
        ]
        shards = frozenset(attempt.shard for attempt in arrived)
        return [(parts.Part(shards, frame.stamps, tuple(records)), arrived)] if arrived else []
    found = []
    begin = 0
    for (position, stamp), count in zip(rows, frame.counts, strict=True):
        own = tuple(records[begin : begin + count])
        begin += count
        if position < len(query_attempts):
            attempt = query_attempts[position]
            found.append((parts.Part(frozenset((attempt.shard,)), (stamp,), own), [attempt]))
    return found


def remote_verdict(failure: node_frames.Failure) -> verdict.Verdict:
    """Translate a failure reported by a gatherer into a verdict.

    Args:
        failure: Why the gatherer has no result for the shard.

    Returns:
        The verdict on the attempt.
    """
    if failure is node_frames.Failure.NOT_SENT:
        return verdict.not_run(verdict.Reason.UNREACHABLE, "no target of the hall has room")
    if failure is node_frames.Failure.NOT_RUN:
        return verdict.not_run(verdict.Reason.OVERLOADED, "no target of the hall ran it")
    if failure is node_frames.Failure.RAN:
        return verdict.ran(verdict.Reason.FAILED, "a target of the hall failed")
    return verdict.may_have_run(verdict.Reason.LINK_LOST, "a target of the hall broke off")
