"""How a forwarded request ended, and what its caller is told."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from lineworks.decisions import verdict
from lineworks.http1 import server_connection
from lineworks.platform import headers

if TYPE_CHECKING:
    from lineworks.decisions import routes

RETRY_AFTER = 0.25
"""Seconds after which a caller may ask again: a replica's pause is over, or a restart is known."""

NOT_READY_RETRY_AFTER = 1.0
"""Seconds after which a caller may ask an instance again that knows neither configuration nor
targets: its store does not answer, which rarely ends within a fraction of a second, and callers ask
only once or twice more. They wait for a third of the time that they have left at most."""

SHUTDOWN_RETRY_AFTER = 0.0
"""Seconds after which a caller may ask again when this process ends first: another instance takes
its next connection."""


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The end of a forwarded request."""

    answer: server_connection.Answer
    """What the caller gets."""

    verdict: verdict.Verdict
    """What is known of the request."""

    attempts: int = 0
    """Attempts that were handed to targets or gatherers."""

    covered: int = 0
    """Shards that are in, of a search."""

    total: int = 0
    """Shards of a search."""

    hedges: int = 0
    """Attempts among them that were made beside slow ones."""

    missing: tuple[str, ...] = ()
    """For each shard that is not in, its service and what it waited for."""

    failures: tuple[str, ...] = ()
    """Attempts that failed, each with its target or service and why."""

    over_limit: tuple[str, ...] = ()
    """What more targets may have run than the route allows: each service with its attempts."""

    broken: tuple[str, ...] = ()
    """Targets whose connections ended before any byte of an answer."""

    is_answered: bool = False
    """Whether any target ran the request and answered."""

    target: str = ""
    """The target that answered, or the last one tried."""


def no_target(route: routes.Route, detail: str) -> verdict.Verdict:
    """Say that no target can be asked for a request.

    Args:
        route: Its route.
        detail: What keeps the targets from being asked.

    Returns:
        The verdict, which names the home regions where they are the reason or a part of it.
    """
    if not route.homes:
        return verdict.not_run(verdict.Reason.NO_REPLICA, detail)
    homes = ", ".join(sorted(route.homes))
    return verdict.not_run(verdict.Reason.NO_HOME_TARGET, f"in its home regions {homes}: {detail}")


def refuse(found: verdict.Verdict, attempts: int = 0, retry_after: float | None = None) -> Outcome:
    """Make the outcome of a request that ends without a target's answer.

    Args:
        found: What is known of it. Only one that has not run becomes a refusal that callers take
            as a promise.
        attempts: Attempts that were made.
        retry_after: Seconds after which the caller may ask again, where they are known.

    Returns:
        401 for an unknown key, 429 for one over a quota, 503 for any other that has not run, 504
        at the deadline, 502 otherwise.
    """
    if found.reason is verdict.Reason.UNKNOWN_KEY:
        return Outcome(server_connection.Answer(401, [headers.CHALLENGE]), found, attempts)
    if found.reason is verdict.Reason.OVER_QUOTA:
        status = 429
    elif found.is_not_run:
        status = 503
    elif found.reason is verdict.Reason.DEADLINE:
        status = 504
    else:
        status = 502
    is_blind = found.reason is verdict.Reason.NOT_READY
    pause = NOT_READY_RETRY_AFTER if is_blind else RETRY_AFTER
    if retry_after is not None:
        pause = retry_after
    fields = [(b"Retry-After", b"%.2f" % pause)] if status != 504 else []
    return Outcome(server_connection.Answer(status, fields), found, attempts)
