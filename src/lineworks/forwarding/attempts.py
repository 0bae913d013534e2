"""What is known of the attempts at one request, or at one shard of a search.

A route limits how many targets one try of a caller may run on. A target counts when it ran the
request or may run it yet, whether it is at work now or not: one that failed counts as well. So does
each attempt through a gatherer, which chooses the target and does not tell which.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from lineworks.decisions import verdict

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Sequence

    from lineworks.decisions import routes
    from lineworks.forwarding import target_book, target_state

GIVEN_UP = verdict.may_have_run(verdict.Reason.CANCELLED, "given up")
"""End of an attempt that was given up: its target hears of that later, or not at all."""

UNDER_WAY = verdict.may_have_run(verdict.Reason.CANCELLED, "under way")
"""What holds of an attempt that has not ended."""

UNSENT = verdict.not_run(verdict.Reason.UNREACHABLE, "given up before a connection was open")
"""End of an attempt that was given up before anything of it was handed to a connection."""


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """One attempt at a target."""

    state: target_state.TargetState
    """The target; of an attempt through a gatherer, the one that it should choose."""

    started: float
    """When it was sent, in seconds."""

    is_hedge: bool = False
    """Whether it was made beside a slow one."""

    cancel: Callable[[], bool] | None = None
    """Cancels an attempt that went straight to its target, and says whether nothing of it was
    handed to any connection."""

    end: verdict.Verdict | None = None
    """How it ended, or None while it is under way."""

    @property
    def may_have_run(self) -> bool:
        """Whether its target ran the request, or may run it yet."""
        return self.end is None or not self.end.is_not_run

    @property
    def is_direct(self) -> bool:
        """Whether it went straight to its target."""
        return True

    def is_remote(self, hall: str) -> bool:
        """Say whether its answer comes from another hall.

        Args:
            hall: The hall of this instance.

        Returns:
            Whether it does, or goes through a gatherer.
        """
        return not self.is_direct or self.state.hall != hall


def give_up(attempt: Attempt) -> None:
    """Give up an attempt that went straight to its target, and note whether it may have run.

    Args:
        attempt: The attempt; one through a gatherer is left alone.
    """
    if attempt.cancel is not None:
        attempt.end = UNSENT if attempt.cancel() else GIVEN_UP


def certainty(made: Iterable[Attempt]) -> verdict.Certainty:
    """Say whether a request ran.

    Args:
        made: All attempts so far.

    Returns:
        What is known by their ends; one under way may have run.
    """
    return verdict.combine([one.end or UNDER_WAY for one in made])


def known_targets(made: Iterable[Attempt]) -> frozenset[str]:
    """Name the targets that are known to have been sent a request.

    Args:
        made: All attempts so far.

    Returns:
        Identities of those that ran it, or may run it yet.
    """
    return frozenset(one.state.id for one in made if one.is_direct and one.may_have_run)


def count_targets(made: Sequence[Attempt]) -> int:
    """Count the targets that ran a request, or may run it yet.

    Args:
        made: All attempts so far.

    Returns:
        Their number, each attempt through a gatherer taken as another target.
    """
    through_gatherers = sum(1 for one in made if one.may_have_run and not one.is_direct)
    return len(known_targets(made)) + through_gatherers


def has_target_left(made: Sequence[Attempt], max_targets: int) -> bool:
    """Say whether a request may be sent to a target that did not have it.

    Args:
        made: All attempts so far.
        most: Targets that the route allows.

    Returns:
        Whether fewer targets than that ran it or may run it yet.
    """
    return len(made) < max_targets or count_targets(made) < max_targets


def exceeds_target_limit(made: Sequence[Attempt], max_targets: int) -> bool:
    """Say whether more targets may have run a request than allowed, which is a fault.

    Args:
        made: All attempts so far.
        most: Targets that the route allows.

    Returns:
        Whether there are more.
    """
    return len(made) > max_targets and count_targets(made) > max_targets


def choose_target(
    book: target_book.TargetBook,
    route: routes.Route,
    service: str,
    now: float,
    made: Sequence[Attempt],
    excluded: Collection[str],
) -> target_state.TargetState | None:
    """Choose the target of another attempt within the route's limit.

    Counting only targets at work let shards run on three targets where two are allowed, while some
    failed at once: 27 searches in 3 seconds on 62 instances.

    Args:
        book: The targets.
        route: The route, which limits targets and regions.
        service: The service.
        now: The present, in seconds.
        made: All attempts so far.
        excluded: Identities of targets that are not to be asked.

    Returns:
        Any target that is best now or, once as many as allowed may have run the request, one of
        those that are known; None when there is none.
    """
    if has_target_left(made, route.max_attempts):
        return book.choose(service, now, excluded, route.homes)
    known = known_targets(made).difference(excluded)
    return book.choose_among(service, now, known, route.homes)


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
