"""The state of a search's shards and attempts, and how what a gatherer sent is read."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from lineworks.decisions import parts, verdict
from lineworks.forwarding import messages

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from lineworks.forwarding import target_book


@dataclasses.dataclass(slots=True, eq=False)
class Try:
    """One attempt at one shard."""

    shard: int
    state: target_book.TargetState
    started: float
    is_hedge: bool = False
    cancel: Callable[[], None] | None = None
    query: int = 0
    position: int = 0


@dataclasses.dataclass(slots=True, eq=False)
class Shard:
    """One shard."""

    service: str
    running: list[Try] = dataclasses.field(default_factory=list)
    tried: set[str] = dataclasses.field(default_factory=set)
    tries: int = 0
    sent: int = 0
    is_hedged: bool = False
    is_waiting: bool = False
    is_given_up: bool = False


def why_missing(shard: Shard) -> str:
    """Tell what a shard that is not in waited for.

    Args:
        shard: The shard.

    Returns:
        Its service with one clause for people.
    """
    if shard.running:
        state = "waiting for " + "+".join(attempt.state.id for attempt in shard.running)
    elif shard.is_given_up:
        state = "given up"
    elif shard.is_waiting:
        state = "no target with room"
    else:
        state = "not asked"
    return f"{shard.service}: {state} after {shard.sent} sent"


def read_part(arrived: Sequence[Try], frame: messages.GatherParts) -> parts.Part:
    size = parts.RECORD_BYTES
    data = frame.records
    records = tuple(data[at : at + size] for at in range(0, len(data), size))
    return parts.Part(frozenset(attempt.shard for attempt in arrived), frame.stamps, records)


def remote_verdict(failure: messages.Failure) -> verdict.Verdict:
    if failure is messages.Failure.NOT_SENT:
        return verdict.not_run(verdict.Reason.UNREACHABLE, "no target of the hall has room")
    if failure is messages.Failure.NOT_RUN:
        return verdict.not_run(verdict.Reason.OVERLOADED, "no target of the hall ran it")
    if failure is messages.Failure.RAN:
        return verdict.ran(verdict.Reason.FAILED, "a target of the hall failed")
    return verdict.may_have_run(verdict.Reason.LINK_LOST, "a target of the hall broke off")
