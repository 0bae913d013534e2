"""One log line for each request that did not go well, and some for those that did.

Lines are bounded by kind with a token bucket; once a second the number of lines left out is told.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import structlog

from lineworks.decisions import estimators

if TYPE_CHECKING:
    from lineworks.decisions import routes
    from lineworks.forwarding import metrics, outcome
    from lineworks.http1 import server_connection

BAD_PER_SECOND = 40.0
"""Lines a second for requests that failed, were refused, late or answered in part."""

GOOD_PER_SECOND = 0.5
"""Lines a second for all others: enough to compare with."""

_log = structlog.get_logger(component="front")


class RequestLog:
    """Logs and counts the requests of one front."""

    def __init__(self, reactor: Any, counts: metrics.RequestMetrics) -> None:
        """Start with full buckets.

        Args:
            reactor: Twisted's reactor.
            counts: Counts every request.
        """
        self._reactor = reactor
        self._counts = counts
        self._buckets = {
            "bad": estimators.Budget(2 * BAD_PER_SECOND),
            "good": estimators.Budget(2.0),
        }
        self._rates = {"bad": BAD_PER_SECOND, "good": GOOD_PER_SECOND}
        self._left_out = {"bad": 0, "good": 0}
        self._refilled_at = reactor.seconds()

    def on_end(
        self,
        request: server_connection.Request,
        attempt: bytes,
        route: routes.Route | None,
        version: int,
        found: outcome.Outcome,
    ) -> None:
        """Note the end of a request.

        Args:
            request: The request.
            attempt: Identity of the caller's try.
            route: The route, if one was found.
            version: Version of the configuration that it ran under; 0 for none.
            found: How it ended.
        """
        seconds = self._reactor.seconds() - request.arrived
        is_late = route is not None and seconds > route.aim
        is_partial = found.covered < found.total
        self._counts.on_end(route, found, seconds)
        is_good = found.answer.status == 200 and not is_late and not is_partial
        if not self._may_write("good" if is_good else "bad"):
            return
        _log.info(
            "request",
            id=attempt.decode("latin-1"),
            route=route.name if route is not None else None,
            version=version,
            status=found.answer.status,
            certainty=found.verdict.certainty.value,
            reason=found.verdict.reason.value,
            detail=found.verdict.detail,
            ms=round(seconds * 1000, 1),
            aim_ms=round(route.aim * 1000, 1) if route is not None else None,
            attempts=found.attempts,
            covered=found.covered,
            total=found.total,
            target=found.target,
        )

    def on_caller_gone(
        self, request: server_connection.Request, attempt: bytes, route: routes.Route
    ) -> None:
        """Note that a caller left before its answer.

        Args:
            request: The request.
            attempt: Identity of the caller's try.
            route: The route.
        """
        self._counts.on_caller_gone(route)
        if self._may_write("bad"):
            seconds = self._reactor.seconds() - request.arrived
            _log.info(
                "caller_gone",
                id=attempt.decode("latin-1"),
                route=route.name,
                ms=round(seconds * 1000, 1),
            )

    def _may_write(self, kind: str) -> bool:
        now = self._reactor.seconds()
        elapsed = now - self._refilled_at
        if elapsed >= 1.0:
            self._refilled_at = now
            for name, bucket in self._buckets.items():
                bucket.earn(elapsed * self._rates[name])
            if self._left_out["bad"]:
                _log.warning("lines_left_out", count=self._left_out["bad"])
                self._left_out["bad"] = 0
        if self._buckets[kind].spend():
            return True
        self._left_out[kind] += 1
        return False
