"""What is known of the attempts at one request, or at one shard of a search.

A route limits how many targets one try of a caller may run on. What counts is whether a target ran
the request or may still run it, not whether it is at work now.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from lineworks.decisions import verdict

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from lineworks.forwarding import target_state

GIVEN_UP = verdict.may_have_run(verdict.Reason.CANCELLED, "given up")
"""End of an attempt that was given up: its target hears of that later, or not at all."""


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """One attempt at a target."""

    state: target_state.TargetState
    """The target; of an attempt through a gatherer, the one that it should choose."""

    started: float
    """When it was sent, in seconds."""

    is_hedge: bool = False
    """Whether it was made beside a slow one."""

    cancel: Callable[[], None] | None = None
    """Cancels an attempt that went straight to its target."""

    end: verdict.Verdict | None = None
    """How it ended, or None while it is under way."""

    @property
    def may_have_run(self) -> bool:
        """Whether its target ran the request, or may run it yet."""
        return self.end is None or not self.end.is_not_run


def count_runs(made: Iterable[Attempt]) -> int:
    """Count the attempts whose targets ran the request, or may run it yet.

    Args:
        made: All attempts so far.

    Returns:
        Their number.
    """
    return sum(1 for attempt in made if attempt.may_have_run)


def describe(service: str, made: Sequence[Attempt]) -> str:
    """Tell people what became of each attempt.

    Args:
        service: The service that was asked.
        made: All attempts so far.

    Returns:
        The service with, for each attempt, its target, its kind and its end.
    """
    return f"{service}: " + ", ".join(_describe_one(attempt) for attempt in made)


def _describe_one(attempt: Attempt) -> str:
    kind = " (hedge)" if attempt.is_hedge else ""
    end = "under way" if attempt.end is None else f"{attempt.end.reason.value} {attempt.end.detail}"
    return f"{attempt.state.id}{kind} {end.rstrip()}"
