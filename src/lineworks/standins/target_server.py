"""An HTTP server that exposes a `TargetModel` as a stand-in target.

It implements the protocol of docs/reference/targets.md, limits the number of open connections and
counts those that it refuses.
"""

from __future__ import annotations

import functools
import time
from typing import TYPE_CHECKING, Any

import klein
from twisted.internet import defer
from twisted.web import server

from lineworks.decisions import catalog, verdict
from lineworks.engine import ports
from lineworks.models import target_http
from lineworks.services import http_server

if TYPE_CHECKING:
    from collections.abc import Callable

    from lineworks.standins import target_model

_REFUSAL_BY_REASON = {
    verdict.Reason.OVERLOADED: "overloaded",
    verdict.Reason.LEAVING: "leaving",
    verdict.Reason.SNAPSHOT_GONE: "snapshot",
    verdict.Reason.CANCELLED: "cancelled",
    verdict.Reason.DEADLINE: "deadline",
}


class _CappedSite(server.Site):
    """Closes connections above the limit immediately, and counts them."""

    def __init__(self, resource: Any, cap: int) -> None:
        super().__init__(resource)
        self._cap = cap
        self.open = 0
        self.peak = 0
        self.refused = 0

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        if self.open >= self._cap:
            self.refused += 1
            return None
        channel: Any = super().buildProtocol(addr)
        self.open += 1
        self.peak = max(self.peak, self.open)
        report_loss = channel.connectionLost

        def on_lost(reason: Any) -> None:
            self.open -= 1
            report_loss(reason)

        channel.connectionLost = on_lost
        return channel


class TargetServer:
    """A target that listens on a TCP port."""

    def __init__(self, reactor: Any, model: target_model.TargetModel, connections: int) -> None:
        """Create the server; `listen` opens its socket.

        Args:
            reactor: Twisted's reactor.
            model: The target that handles the requests.
            connections: Number of connections that may be open at once.
        """
        self._reactor = reactor
        self.model = model
        self._site = _CappedSite(self._routes().resource(), connections)
        self._port: Any = None

    @property
    def port(self) -> int:
        """TCP port that the server listens on."""
        number: int = self._port.getHost().port
        return number

    @property
    def peak_connections(self) -> int:
        """Largest number of connections that were open at once."""
        return self._site.peak

    @property
    def refused_connections(self) -> int:
        """Number of connections refused because of the limit."""
        return self._site.refused

    def listen(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Start to listen.

        Args:
            host: IP address to listen on.
            port: TCP port; 0 lets the system choose.
        """
        self._port = self._reactor.listenTCP(port, self._site, interface=host, backlog=128)

    def close(self) -> Any:
        """Stop listening.

        Returns:
            An awaitable that completes when the socket is closed.
        """
        return self._port.stopListening() if self._port is not None else None

    def _routes(self) -> klein.Klein:
        app = klein.Klein()
        app.route("/v1/sub-query", methods=["POST"])(_repeating_number(self._sub_query))
        app.route("/v1/cancel", methods=["POST"])(_repeating_number(self._cancel))
        app.route("/v1/report", methods=["GET"])(_repeating_number(self._report))
        app.route("/v1/books", methods=["GET"])(self._books)
        return app

    def _sub_query(self, request: Any) -> defer.Deferred[bytes]:
        snapshot = request.getHeader(target_http.SNAPSHOT)
        remaining = int(request.getHeader(target_http.REMAINING) or "0") / 1000
        attempt = ports.Attempt(
            request.getHeader(target_http.REQUEST) or "",
            request.getHeader(target_http.SHARD) or "",
            catalog.parse_snapshot(snapshot) if snapshot else None,
            request.content.read(),
            self._reactor.seconds() + remaining,
        )
        done: defer.Deferred[ports.Outcome] = defer.Deferred()
        self.model.submit(attempt, done.callback)
        return done.addCallback(self._write_outcome, request)

    def _write_outcome(self, outcome: ports.Outcome, request: Any) -> bytes:
        assert outcome.report is not None
        for name, value in target_http.report_headers(outcome.report).items():
            request.setHeader(name, value)
        if outcome.snapshot is not None:
            request.setHeader(target_http.SNAPSHOT, str(outcome.snapshot))
        outcome_verdict = outcome.verdict
        if outcome_verdict.is_ok:
            return outcome.body
        request.setResponseCode(503 if outcome_verdict.is_not_run else 500)
        if outcome_verdict.is_not_run:
            request.setHeader(target_http.NOT_RUN, _REFUSAL_BY_REASON[outcome_verdict.reason])
        return outcome_verdict.detail.encode()

    def _cancel(self, request: Any) -> bytes:
        self.model.cancel(request.getHeader(target_http.REQUEST) or "")
        return b""

    def _report(self, request: Any) -> bytes:
        report = self.model.report()
        document = {
            "incarnation": report.incarnation,
            "holds": [str(snapshot) for snapshot in sorted(report.holds)],
            "busy": report.busy,
            "queue": report.queue,
            "state": target_http.state_name(report),
        }
        return http_server.write_json(request, document)

    def _books(self, request: Any) -> bytes:
        books = self.model.books
        document = {
            "target": self.model.name,
            "started": books.total_started,
            "refused": books.refused,
            "cancelled": books.cancelled,
            "started_after_leaving": books.started_after_leaving,
            "doubled": sum(1 for count in books.started.values() if count > 1),
            "most_connections": self.peak_connections,
            "at": time.time(),
        }
        return http_server.write_json(request, document)


def _repeating_number(handle: Callable[[Any], Any]) -> Callable[[Any], Any]:
    """Return a handler that repeats a request's number in its reply."""

    # Klein names a route after its handler.
    @functools.wraps(handle)
    def handle_numbered(request: Any) -> Any:
        number = request.getHeader(target_http.EXCHANGE)
        if number is not None:
            request.setHeader(target_http.EXCHANGE, number)
        return handle(request)

    return handle_numbered
