"""The state of a search's shards and attempts, and how what a gatherer sent is read."""

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
class Try(attempts.Attempt):
    """One attempt at one shard."""

    shard: int = 0
    """Position of the shard in the search."""

    query: int = 0
    """Number of the gatherer's query; 0 for none."""

    position: int = 0
    """Position of the shard in that query."""

    @property
    def is_direct(self) -> bool:
        """Whether it went straight to its target, and not through a gatherer."""
        return not self.query


class NotHedged(enum.Enum):
    """Why a shard that is late was not asked a second time."""

    NOT_DUE = "not due"
    """Its attempt was not late yet when the search ended, or had failed."""

    NO_TARGET = "no other target with room"
    """Its other targets are unknown, leaving, resting or full."""

    LIMIT = "as many targets as the route allows"
    """As many targets as the route allows ran it or may run it yet."""

    TOO_LATE = "too late to help"
    """The answer was due before another target could have answered."""

    NO_BUDGET = "no extra attempt left"
    """The service's extra attempts were used up."""


@dataclasses.dataclass(slots=True, eq=False)
class Shard:
    """One shard."""

    service: str
    """The service that it is."""

    made: list[Try] = dataclasses.field(default_factory=list)
    """All attempts, in the order in which they were sent."""

    running: list[Try] = dataclasses.field(default_factory=list)
    """Attempts under way."""

    tried: set[str] = dataclasses.field(default_factory=set)
    """Identities of targets asked since all of them were last allowed again."""

    pauses: int = 0
    """Pauses taken, because no target was left to ask."""

    sent: int = 0
    """Attempts that reached a target, as far as is known."""

    asks: int = 0
    """Times that an extra attempt was asked for."""

    is_hedged: bool = False
    """Whether a hedge was sent."""

    not_hedged: NotHedged = NotHedged.NOT_DUE
    """Why no hedge was sent at the last look."""

    is_waiting: bool = False
    """Whether it waits to be tried again."""

    is_given_up: bool = False
    """Whether nothing more is tried."""

    def choose(
        self, book: target_book.TargetBook, route: routes.Route, now: float
    ) -> target_state.TargetState | None:
        """Choose the target of another attempt, among those not tried lately.

        Args:
            book: The targets.
            route: The search's route.
            now: The present, in seconds.

        Returns:
            The target, or None when none may be asked now.
        """
        return attempts.choose_target(book, route, self.service, now, self.made, self.tried)

    def was_sent_to(self, target: str) -> bool:
        """Say whether a target was asked directly.

        Args:
            target: Its identity.

        Returns:
            Whether it ran the shard or may run it yet.
        """
        return bool(self.made) and target in attempts.known_targets(self.made)


def over_limit(shards: Iterable[Shard], most: int) -> tuple[str, ...]:
    """Tell of the shards that more targets may have run than the route allows.

    Args:
        shards: The search's shards.
        most: Targets that the route allows.

    Returns:
        For each of them its service, with the end of every attempt.
    """
    return tuple(
        attempts.describe(shard.service, shard.made)
        for shard in shards
        if attempts.exceeds_target_limit(shard.made, most)
    )


def why_missing(shard: Shard) -> str:
    """Tell what a shard that is not in waited for.

    Args:
        shard: The shard.

    Returns:
        Its service with one clause for people.
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
    tries: Sequence[Try], frame: node_frames.GatherParts
) -> list[tuple[parts.Part, list[Try]]]:
    """Read what a gatherer has of the shards of a query.

    Args:
        tries: The query's attempts, by position.
        frame: What the gatherer sent; positions that the query does not have are passed over.

    Returns:
        Each part with the attempts that brought it: one part if the shards are merged.
    """
    records = parts.split_records(frame.records)
    rows = list(zip(frame.shards, frame.stamps, strict=True))
    if not frame.counts:
        arrived = [tries[position] for position, _ in rows if position < len(tries)]
        shards = frozenset(attempt.shard for attempt in arrived)
        return [(parts.Part(shards, frame.stamps, tuple(records)), arrived)] if arrived else []
    found = []
    begin = 0
    for (position, stamp), count in zip(rows, frame.counts, strict=True):
        own = tuple(records[begin : begin + count])
        begin += count
        if position < len(tries):
            attempt = tries[position]
            found.append((parts.Part(frozenset((attempt.shard,)), (stamp,), own), [attempt]))
    return found


def remote_verdict(failure: node_frames.Failure) -> verdict.Verdict:
    """Say what a gatherer's failure means for the shard.

    Args:
        failure: Why the gatherer has no part of it.

    Returns:
        The verdict of the attempt.
    """
    if failure is node_frames.Failure.NOT_SENT:
        return verdict.not_run(verdict.Reason.UNREACHABLE, "no target of the hall has room")
    if failure is node_frames.Failure.NOT_RUN:
        return verdict.not_run(verdict.Reason.OVERLOADED, "no target of the hall ran it")
    if failure is node_frames.Failure.RAN:
        return verdict.ran(verdict.Reason.FAILED, "a target of the hall failed")
    return verdict.may_have_run(verdict.Reason.LINK_LOST, "a target of the hall broke off")
