"""Logs every request that failed or was degraded, and a sample of the others.

Each kind of line is rate-limited by a token bucket. The number of suppressed lines is logged once
per second.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from lineworks.kernel import rate_limited_log
from lineworks.platform import headers

if TYPE_CHECKING:
    from lineworks.decisions import routes, verdict, workspaces
    from lineworks.forwarding import metrics, outcome
    from lineworks.http1 import server_connection

MAX_PROBLEM_LINES_PER_SECOND = 40.0
"""Maximum number of log lines per second for requests that failed, were refused, were late or
returned partial results."""

MAX_LOGGED_ENTRIES = 6
"""Maximum number of entries in each list of a log line, such as missing shards and failed
attempts."""

MAX_NORMAL_LINES_PER_SECOND = 0.5
"""Maximum number of log lines per second for all other requests, as a sample for comparison."""

MAX_OVER_LIMIT_LINES_PER_SECOND = 20.0
"""Maximum number of log lines per second for requests that may have run on more targets than their
route allows. None are expected, so they have a limit of their own: other lines must not crowd them
out."""

MAX_CUT_LINES_PER_SECOND = 100.0
"""Maximum number of log lines per second for requests that the shutdown of the process interrupted,
and for answers that were not delivered. None are expected, but all would come at the same moment,
so the burst allowance covers the requests that a process has in progress."""

MAX_LOST_TARGET_LINES_PER_SECOND = 20.0
"""Maximum number of log lines per second for requests during which targets disconnected without an
answer. This also happens when a host fails with all its targets."""


class RequestLog:
    """Logs and counts the requests of one front."""

    def __init__(self, reactor: Any, counts: metrics.RequestMetrics) -> None:
        """Create a log with full token buckets.

        Args:
            reactor: Twisted's reactor.
            counts: Metrics that count every request.
        """
        self._reactor = reactor
        self._counts = counts
        self._problems = rate_limited_log.RateLimitedLog(
            reactor, "front", MAX_PROBLEM_LINES_PER_SECOND
        )
        self._normal = rate_limited_log.RateLimitedLog(
            reactor, "front", MAX_NORMAL_LINES_PER_SECOND
        )
        self._over_limit = rate_limited_log.RateLimitedLog(
            reactor, "front", MAX_OVER_LIMIT_LINES_PER_SECOND
        )
        self._lost_target = rate_limited_log.RateLimitedLog(
            reactor, "front", MAX_LOST_TARGET_LINES_PER_SECOND
        )
        self._cut = rate_limited_log.RateLimitedLog(reactor, "front", MAX_CUT_LINES_PER_SECOND)

    @property
    def suppressed_lines(self) -> int:
        """Number of log lines suppressed since the start."""
        logs = (self._problems, self._normal, self._over_limit, self._lost_target, self._cut)
        return sum(log.suppressed_total for log in logs)

    def on_end(
        self,
        request: server_connection.Request,
        attempt: bytes,
        route: routes.Route | None,
        version: int,
        found: outcome.Outcome,
        view_age: float,
        content: str = "",
        workspace: workspaces.Workspace | None = None,
    ) -> None:
        """Log and count the end of a request.

        Args:
            request: The request.
            attempt: Identity of the caller's try.
            route: The route, if one was found.
            version: Configuration version under which the request ran; 0 for none.
            found: The outcome.
            view_age: Age of the information about targets, in seconds.
            content: Fingerprint of the request's content.
            workspace: The workspace that the request belongs to, if known.
        """
        seconds = self._reactor.seconds() - request.arrived
        is_late = route is not None and seconds > route.slo
        is_partial = found.covered < found.total
        self._counts.on_end(route, found, seconds, _workspace_name(workspace))
        is_normal = found.answer.status == 200 and not is_late and not is_partial
        log = self._normal if is_normal else self._problems
        log.info(
            "request",
            id=attempt.decode("latin-1"),
            content=content,
            workspace=_workspace_name(workspace),
            route=route.name if route is not None else None,
            version=version,
            status=found.answer.status,
            certainty=found.verdict.certainty.value,
            reason=found.verdict.reason.value,
            detail=found.verdict.detail,
            ms=round(seconds * 1000, 1),
            aim_ms=round(route.slo * 1000, 1) if route is not None else None,
            attempts=found.attempts,
            covered=found.covered,
            total=found.total,
            hedges=found.hedges,
            missing=found.missing[:MAX_LOGGED_ENTRIES],
            failures=found.failures[:MAX_LOGGED_ENTRIES],
            target=found.target,
            view_age=round(view_age, 3),
        )
        if found.over_limit:
            self._over_limit.info(
                "attempts_over_limit",
                id=attempt.decode("latin-1"),
                limit=route.max_attempts if route is not None else None,
                attempts=found.over_limit[:MAX_LOGGED_ENTRIES],
            )
        if found.broken:
            self._lost_target.info(
                "targets_broke_off",
                id=attempt.decode("latin-1"),
                content=content,
                count=len(found.broken),
                is_answered=found.is_answered,
                targets=found.broken[:MAX_LOGGED_ENTRIES],
            )

    def on_cut(
        self,
        request: server_connection.Request,
        attempt: bytes,
        route: routes.Route,
        found: verdict.Verdict,
        workspace: workspaces.Workspace | None = None,
    ) -> None:
        """Log and count a request whose caller got no answer because this process shut down.

        Args:
            request: The request.
            attempt: Identity of the caller's try.
            route: The route.
            found: The verdict on the request at that time.
            workspace: The workspace that the request belongs to, if known.
        """
        self._counts.on_cut(route, _workspace_name(workspace))
        seconds = self._reactor.seconds() - request.arrived
        self._cut.info(
            "cut_at_end",
            id=attempt.decode("latin-1"),
            workspace=_workspace_name(workspace),
            route=route.name,
            certainty=found.certainty.value,
            detail=found.detail,
            ms=round(seconds * 1000, 1),
        )

    def on_undelivered(self, request: server_connection.Request) -> None:
        """Log that a connection was lost before the answer had left this process.

        Args:
            request: The request.
        """
        seconds = self._reactor.seconds() - request.arrived
        attempt = headers.read_attempt(request.header(headers.ATTEMPT))
        self._cut.info(
            "answer_not_delivered", id=attempt.decode("latin-1"), ms=round(seconds * 1000, 1)
        )

    def on_caller_gone(
        self,
        request: server_connection.Request,
        attempt: bytes,
        route: routes.Route,
        workspace: workspaces.Workspace | None = None,
    ) -> None:
        """Log and count a request whose caller disconnected before the answer.

        Args:
            request: The request.
            attempt: Identity of the caller's try.
            route: The route.
            workspace: The workspace that the request belongs to, if known.
        """
        self._counts.on_caller_gone(route, _workspace_name(workspace))
        seconds = self._reactor.seconds() - request.arrived
        self._problems.info(
            "caller_gone",
            id=attempt.decode("latin-1"),
            workspace=_workspace_name(workspace),
            route=route.name,
            ms=round(seconds * 1000, 1),
        )


def _workspace_name(workspace: workspaces.Workspace | None) -> str | None:
    return workspace.name if workspace is not None else None
