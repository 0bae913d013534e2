"""The HTTP API for callers; see docs/reference/callers.md."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Any

import klein
from twisted.internet import defer

from lineworks.decisions import deadlines, verdict
from lineworks.engine import requests
from lineworks.models import caller_http
from lineworks.services import http_server

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from lineworks.models import settings
    from lineworks.services import (
        cluster,
        config_keeper,
        lifecycle,
        metrics,
        runs,
        traces,
    )

IDEMPOTENCY_KEY = b"Idempotency-Key"
"""Header with a caller's own name for a request, under which the request runs at most once."""

DRAIN_RETRY_AFTER = 0.1
"""Retry delay, in seconds, that a draining instance gives to callers it refuses.

A retry may reach another instance.
"""


class CallerApi:
    """Serves searches, single requests and tickets to callers."""

    def __init__(
        self,
        reactor: Any,
        options: settings.Settings,
        query_engine: cluster.QueryEngine,
        runner: runs.RequestRunner,
        keeper: config_keeper.ConfigKeeper,
        lifecycle: lifecycle.Lifecycle,
        instance_metrics: metrics.Metrics,
        timelines: traces.Traces,
        reserved: socket.socket | None = None,
    ) -> None:
        """Initialise the API; it does not listen before `start`.

        Args:
            reactor: Twisted's reactor.
            options: Settings of this instance.
            query_engine: The query engine.
            runner: Runs single requests.
            keeper: The configuration in force.
            lifecycle: Lifecycle of this instance, by which new requests are served or refused.
            instance_metrics: Metrics of this instance.
            timelines: Timelines of recent queries.
            reserved: Socket that is bound to its port and doesn't listen yet; opened by `start` if
                not given.
        """
        self._reactor = reactor
        self._options = options
        self._query_engine = query_engine
        self._runner = runner
        self._keeper = keeper
        self._lifecycle = lifecycle
        self._instance_metrics = instance_metrics
        self._timelines = timelines
        self._reserved = reserved
        self._port: Any = None
        self._active_responses = 0
        self._app = self._routes()

    @property
    def port(self) -> int:
        """TCP port on which callers are served."""
        number: int = self._port.getHost().port
        return number

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress."""
        return self._active_responses == 0

    def start(self) -> None:
        """Start listening."""
        address = self._options.caller
        self._port = http_server.listen(
            self._reactor, self._app, address.host, address.port, self._reserved
        )

    def stop(self) -> Any:
        """Stop listening."""
        return http_server.close(self._reactor, self._port)

    def _routes(self) -> klein.Klein:
        app = klein.Klein()
        routes: tuple[tuple[str, Callable[[Any], Any]], ...] = (
            ("/v1/search", self._search),
            ("/v1/run", self._run),
            ("/v1/tickets", self._tickets),
        )
        for path, handler in routes:
            http_server.add_route(app, "POST", path, self._wrap_handler(handler))
        http_server.add_route(app, "GET", "/healthz", http_server.handle_health)
        http_server.add_route(app, "GET", "/readyz", self._readyz)
        return app

    def _wrap_handler(self, handler: Callable[[Any], Any]) -> Callable[[Any], Any]:
        """Wrap a handler in what all requests have in common.

        The wrapper counts requests in progress, refuses them while the instance starts or drains,
        and answers malformed ones.
        """

        def handle(request: Any) -> defer.Deferred[bytes]:
            return defer.ensureDeferred(respond(request))

        async def respond(request: Any) -> bytes:
            self._active_responses += 1
            try:
                reply = await self._dispatch(handler, request)
            finally:
                self._active_responses -= 1
            return http_server.write_reply(request, reply)

        return handle

    async def _dispatch(self, handler: Callable[[Any], Any], request: Any) -> caller_http.Reply:
        if self._lifecycle.state in ("draining", "stopped"):
            refusal = verdict.not_run(verdict.Reason.LEAVING, "this instance is leaving")
            request.setHeader("Connection", "close")
            return caller_http.verdict_reply(refusal, DRAIN_RETRY_AFTER)
        if self._lifecycle.state == "starting":
            refusal = verdict.not_run(verdict.Reason.NOT_READY, "no configuration yet")
            return caller_http.verdict_reply(refusal, 1.0)
        try:
            reply: caller_http.Reply = await handler(request)
        except caller_http.RequestError as error:
            return caller_http.problem_reply(400, "Bad request", str(error), field=error.field)
        return reply

    def _parse(self, request: Any, model: type) -> Any:
        limit = self._options.max_body_bytes
        return caller_http.parse(model, request.content.read(limit + 1), limit)

    async def _search(self, request: Any) -> caller_http.Reply:
        body: caller_http.SearchBody = self._parse(request, caller_http.SearchBody)
        started = self._reactor.seconds()
        search = requests.SearchRequest(
            body.selector_fields(),
            body.body.encode(),
            body.caller_class,
            deadlines.for_answer(started, body.deadline_ms / 1000),
            body.min_coverage,
        )
        done: defer.Deferred[requests.Answer] = defer.Deferred()
        _cancel_on_disconnect(request, self._query_engine.front.search(search, done.callback), done)
        answer = await done
        self._instance_metrics.observe(
            body.workspace, body.caller_class, answer, self._reactor.seconds() - started
        )
        reply = caller_http.answer_reply(answer, self._keeper.age)
        if _wants_timeline(request):
            reply.document["timeline"] = self._timelines.timeline(answer.query)
        return reply

    async def _run(self, request: Any) -> caller_http.Reply:
        body: caller_http.RunBody = self._parse(request, caller_http.RunBody)
        key = _read_idempotency_key(request)
        reply = await self._runner.run(
            body, key, lambda cancel: _cancel_on_disconnect(request, cancel, None)
        )
        if _wants_timeline(request) and "query" in reply.document:
            timeline = self._timelines.timeline(reply.document["query"])
            return caller_http.Reply(
                reply.status, {**reply.document, "timeline": timeline}, reply.retry_after
            )
        return reply

    async def _tickets(self, request: Any) -> caller_http.Reply:
        body: caller_http.TicketsBody = self._parse(request, caller_http.TicketsBody)
        return caller_http.Reply(200, {"tickets": self._runner.issue(body)})

    def _readyz(self, request: Any) -> bytes:
        request.setResponseCode(200 if self._lifecycle.is_ready else 503)
        return http_server.write_json(request, {"state": self._lifecycle.state})


def _read_idempotency_key(request: Any) -> str | None:
    value = request.getHeader(IDEMPOTENCY_KEY)
    if value is None:
        return None
    try:
        key: str = value.decode()
    except UnicodeDecodeError as error:
        raise caller_http.RequestError(IDEMPOTENCY_KEY.decode(), "is not UTF-8") from error
    if not 1 <= len(key) <= 200:
        raise caller_http.RequestError(IDEMPOTENCY_KEY.decode(), "must have 1 to 200 characters")
    return key


def _wants_timeline(request: Any) -> bool:
    return bool(request.args.get(b"explain") == [b"1"])


def _cancel_on_disconnect(
    request: Any, cancel: Callable[[], None], done: defer.Deferred[Any] | None
) -> None:
    """Cancel a query when its caller's connection is lost."""

    def on_disconnect(_: Any) -> None:
        cancel()
        if done is not None and not done.called:
            done.cancel()

    with contextlib.suppress(Exception):
        request.notifyFinish().addErrback(on_disconnect)
