"""The attempts at one request, or at one shard of a search, and the limit on their targets.

A route limits how many targets one try of a caller may run on. A target counts if it ran the
request or may still run it, whether it is working on it now or not, and also if it failed. Each
attempt through a gatherer counts as one more target, because the gatherer chooses the target and
does not report which.
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
"""Verdict on an attempt that was given up: its target learns of that later, or never."""

IN_PROGRESS = verdict.may_have_run(verdict.Reason.CANCELLED, "under way")
"""Verdict on an attempt that has not ended."""

UNSENT = verdict.not_run(verdict.Reason.UNREACHABLE, "given up before a connection was open")
"""Verdict on an attempt that was given up before any of it was written to a connection."""


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to run a request on a target."""

    state: target_state.TargetState
    """The target; for an attempt through a gatherer, the target that it is expected to choose."""

    started: float
    """When it was sent, in seconds."""

    is_hedge: bool = False
    """Whether it was sent while another attempt was slow."""

    cancel: Callable[[], bool] | None = None
    """Cancels an attempt that was sent directly to its target, and returns whether nothing of it
    was written to a connection."""

    end: verdict.Verdict | None = None
    """Its verdict, or None while it is in progress."""

    @property
    def may_have_run(self) -> bool:
        """Whether its target ran the request, or may still run it."""
        return self.end is None or not self.end.is_not_run

    @property
    def is_direct(self) -> bool:
        """Whether it was sent directly to its target."""
        return True

    def is_remote(self, hall: str) -> bool:
        """Return whether the attempt went to another hall.

        Args:
            hall: The hall of this instance.

        Returns:
            True if its target is in another hall or it went through a gatherer.
        """
        return not self.is_direct or self.state.hall != hall


def give_up(attempt: Attempt) -> None:
    """Cancel an attempt that was sent directly to its target, and record whether it may have run.

    Args:
        attempt: The attempt; one through a gatherer is not changed.
    """
    if attempt.cancel is not None:
        attempt.end = UNSENT if attempt.cancel() else GIVEN_UP


def certainty(made: Iterable[Attempt]) -> verdict.Certainty:
    """Return whether a request ran, as far as its attempts show.

    Args:
        made: All attempts so far.

    Returns:
        The combined certainty of their verdicts; an attempt in progress may have run.
    """
    return verdict.combine([one.end or IN_PROGRESS for one in made])


def known_targets(made: Iterable[Attempt]) -> frozenset[str]:
    """Return the targets that are known to have run a request or may still run it.

    Args:
        made: All attempts so far.

    Returns:
        Identities of the targets of direct attempts, without those that certainly did not run it.
    """
    return frozenset(one.state.id for one in made if one.is_direct and one.may_have_run)


def count_targets(made: Sequence[Attempt]) -> int:
    """Count the targets that ran a request, or may still run it.

    Args:
        made: All attempts so far.

    Returns:
        Their number, with each attempt through a gatherer counted as a different target.
    """
    through_gatherers = sum(1 for one in made if one.may_have_run and not one.is_direct)
    return len(known_targets(made)) + through_gatherers


def has_target_left(made: Sequence[Attempt], max_targets: int) -> bool:
    """Return whether a request may be sent to one more target.

    Args:
        made: All attempts so far.
        max_targets: Number of targets that the route allows.

    Returns:
        Whether fewer targets ran it or may still run it.
    """
    return len(made) < max_targets or count_targets(made) < max_targets


def exceeds_target_limit(made: Sequence[Attempt], max_targets: int) -> bool:
    """Return whether more targets may have run a request than allowed, which is a bug.

    Args:
        made: All attempts so far.
        max_targets: Number of targets that the route allows.

    Returns:
        Whether more targets ran it or may still run it.
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

    Targets that failed count towards the limit. When only targets still at work were counted,
    shards ran on three targets where two were allowed if some failed at once: 27 searches in
    3 seconds on 62 instances.

    Args:
        book: The targets.
        route: The route, which limits targets and regions.
        service: The service.
        now: The current time, in seconds.
        made: All attempts so far.
        excluded: Identities of targets that must not be chosen.

    Returns:
        The best target of all or, once the limit is reached, of those known to have been sent the
        request; None if there is none.
    """
    if has_target_left(made, route.max_attempts):
        return book.choose(service, now, excluded, route.homes)
    known = known_targets(made).difference(excluded)
    return book.choose_among(service, now, known, route.homes)


def describe(service: str, made: Sequence[Attempt]) -> str:
    """Describe the outcome of each attempt, for logs.

    Args:
        service: The service that the request was for.
        made: All attempts so far.

    Returns:
        The service and, for each attempt, its target, its kind and its verdict.
    """
    return f"{service}: " + ", ".join(_describe_one(attempt) for attempt in made)


def _describe_one(attempt: Attempt) -> str:
    kind = " (hedge)" if attempt.is_hedge else ""
    end = "under way" if attempt.end is None else f"{attempt.end.reason.value} {attempt.end.detail}"
    return f"{attempt.state.id}{kind} {end.rstrip()}"
