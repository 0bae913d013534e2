"""The outcome of a forwarded request and the response sent to its caller."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from lineworks.decisions import verdict
from lineworks.http1 import server_connection
from lineworks.platform import headers

if TYPE_CHECKING:
    from lineworks.decisions import routes

RETRY_AFTER = 0.25
"""Seconds after which a caller may retry: by then a replica's backoff is over or its
restart is known."""

NOT_READY_RETRY_AFTER = 1.0
"""Seconds after which a caller may retry at an instance that has neither a configuration nor
targets. Its store does not respond, which rarely ends within a fraction of a second, and callers
retry only once or twice. They wait for at most a third of their remaining time."""

SHUTDOWN_RETRY_AFTER = 0.0
"""Seconds after which a caller may retry when this process shuts down. It may do so at once,
because another instance accepts its next connection."""


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The outcome of a forwarded request."""

    answer: server_connection.Answer
    """The response to the caller."""

    verdict: verdict.Verdict
    """Whether the request ran, and why."""

    attempts: int = 0
    """Number of attempts handed over to targets or gatherers."""

    covered: int = 0
    """Number of shards in the result of a search."""

    total: int = 0
    """Number of shards of a search."""

    hedges: int = 0
    """Number of hedges among the attempts."""

    missing: tuple[str, ...] = ()
    """For each missing shard, its service and why it is missing."""

    failures: tuple[str, ...] = ()
    """For each failed attempt, its target or service and the reason."""

    over_limit: tuple[str, ...] = ()
    """For each service that may have run the request on too many targets, its attempts."""

    broken: tuple[str, ...] = ()
    """Targets whose connections closed before the first byte of an answer."""

    is_answered: bool = False
    """Whether a target ran the request and answered."""

    target: str = ""
    """The target that answered, or else the last one tried."""


def no_target(route: routes.Route, detail: str) -> verdict.Verdict:
    """Create the verdict for a request that no target can take.

    Args:
        route: The route of the request.
        detail: Why no target can take it.

    Returns:
        The verdict. It names the home regions if the route is restricted to them.
    """
    if not route.homes:
        return verdict.not_run(verdict.Reason.NO_REPLICA, detail)
    homes = ", ".join(sorted(route.homes))
    return verdict.not_run(verdict.Reason.NO_HOME_TARGET, f"in its home regions {homes}: {detail}")


def refuse(found: verdict.Verdict, attempts: int = 0, retry_after: float | None = None) -> Outcome:
    """Create the outcome of a request that ends without a target's answer.

    Args:
        found: The verdict. Callers take a refusal as a guarantee that the request did not run, so
            only a request that certainly did not run is refused.
        attempts: Number of attempts made.
        retry_after: Seconds after which the caller may retry; None for the default.

    Returns:
        Status 401 for an unknown key, 429 for an exceeded quota, 503 for any other request that
        did not run, 504 at the deadline, and 502 otherwise.
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
