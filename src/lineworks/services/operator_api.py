"""The HTTP API for operators; see docs/reference/operators.md."""

from __future__ import annotations

import json
import time
from typing import TYPE_CHECKING, Any

import klein
import structlog
from twisted.internet import defer

from lineworks.decisions import selectors
from lineworks.models import caller_http, configuration
from lineworks.services import auth, config_store, http_server

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from lineworks.models import settings
    from lineworks.services import (
        cluster,
        config_keeper,
        lifecycle,
        metrics,
        peer_links,
        platform_client,
        traces,
    )

MAX_CHANGE_BYTES = 4 * 1024 * 1024
"""Maximum size, in bytes, of the body of a change or of a search to explain."""

_log = structlog.get_logger(component="operator_api")

_STATUS_BY_REFUSAL = {"conflict": 409, "base": 409, "invalid": 400, "unknown": 404}


class OperatorApi:
    """Serves operators' requests, health and readiness probes, and metrics."""

    def __init__(
        self,
        reactor: Any,
        options: settings.Settings,
        query_engine: cluster.QueryEngine,
        keeper: config_keeper.ConfigKeeper,
        store: config_store.ConfigStore,
        lifecycle: lifecycle.Lifecycle,
        instance_metrics: metrics.Metrics,
        timelines: traces.Traces,
        links: peer_links.PeerLinks,
        platform: platform_client.PlatformClient,
        reserved: socket.socket | None = None,
    ) -> None:
        """Initialise the API; it does not listen before `start`.

        Args:
            reactor: Twisted's reactor.
            options: Settings of this instance.
            query_engine: The query engine.
            keeper: The configuration in force.
            store: Reads and changes the configuration that the platform stores.
            lifecycle: Lifecycle of this instance.
            instance_metrics: Metrics of this instance.
            timelines: Timelines of recent queries.
            links: Links to peers.
            platform: Client of the platform.
            reserved: Socket that is bound to its port and doesn't listen yet; opened by `start` if
                not given.
        """
        self._reactor = reactor
        self._options = options
        self._query_engine = query_engine
        self._keeper = keeper
        self._store = store
        self._lifecycle = lifecycle
        self._instance_metrics = instance_metrics
        self._timelines = timelines
        self._links = links
        self._platform = platform
        self._verifier = auth.SignatureVerifier(options.shared_secret())
        self._reserved = reserved
        self._port: Any = None
        self._app = self._routes()

    @property
    def port(self) -> int:
        """TCP port on which operators are served."""
        number: int = self._port.getHost().port
        return number

    def start(self) -> None:
        """Start listening."""
        address = self._options.operator
        self._port = http_server.listen(
            self._reactor, self._app, address.host, address.port, self._reserved
        )

    def stop(self) -> Any:
        """Stop listening."""
        return http_server.close(self._reactor, self._port)

    def _routes(self) -> klein.Klein:
        app = klein.Klein()
        http_server.add_route(app, "GET", "/healthz", http_server.handle_health)
        http_server.add_route(app, "GET", "/readyz", self._readyz)
        http_server.add_route(app, "GET", "/metrics", self._metrics)
        routes: tuple[tuple[str, str, Callable[..., Any]], ...] = (
            ("GET", "/v1/status", self._status),
            ("GET", "/v1/configuration", self._configuration),
            ("POST", "/v1/changes", self._change),
            ("GET", "/v1/changes/<change_id>", self._change_outcome),
            ("POST", "/v1/explain", self._explain),
            ("GET", "/v1/traces/<query>", self._trace),
            ("POST", "/v1/drain", self._drain),
        )
        for method, path, handler in routes:
            http_server.add_route(app, method, path, self._require_signature(handler))
        return app

    def _require_signature(self, handler: Callable[..., Any]) -> Callable[..., Any]:
        """Wrap a handler so that only requests with a valid signature reach it."""

        def handle(request: Any, **path_params: str) -> defer.Deferred[bytes]:
            return defer.ensureDeferred(respond(request, path_params))

        async def respond(request: Any, path_params: dict[str, str]) -> bytes:
            body = request.content.read(MAX_CHANGE_BYTES + 1)
            # Bytes that are no text are signed as they are, and so refused as any other path.
            path = request.uri.decode(errors="surrogateescape")
            method = request.method.decode(errors="surrogateescape")
            try:
                self._verifier.verify(
                    request.getHeader(auth.HEADER), method, path, body, time.time()
                )
            except auth.AuthenticationError as error:
                _log.warning("refused", path=ascii(path)[1:-1], reason=str(error))
                reply = caller_http.problem_reply(401, "Not authorised", str(error))
                return http_server.write_reply(request, reply)
            return http_server.write_reply(request, await handler(body, **path_params))

        return handle

    def _readyz(self, request: Any) -> bytes:
        request.setResponseCode(200 if self._lifecycle.is_ready else 503)
        document: dict[str, Any] = {"state": self._lifecycle.state}
        if self._lifecycle.state == "starting":
            document["why"] = "neither the platform nor a peer has given a configuration yet"
        return http_server.write_json(request, document)

    def _metrics(self, request: Any) -> bytes:
        request.setHeader("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
        return self._instance_metrics.export()

    async def _status(self, body: bytes) -> caller_http.Reply:
        del body
        view = self._query_engine.view
        replicas = [
            {
                "target": replica.target.name,
                "service": replica.target.service,
                "hall": replica.target.hall,
                "in_flight": replica.in_flight,
                "limit": replica.limit.value,
                "holds": [str(snapshot) for snapshot in sorted(replica.holds)],
                "leaving": replica.is_leaving,
                "failures": replica.failures,
            }
            for replica in self._query_engine.gatherer.owned_replicas
        ]
        document = {
            "name": self._options.name,
            "hall": self._options.hall,
            "state": self._lifecycle.state,
            "configuration": {
                "version": self._keeper.version,
                "digest": self._keeper.digest,
                "age_ms": round(self._keeper.age * 1000),
                "is_watcher": self._keeper.is_watcher,
                "alarms": self._keeper.alarms,
            },
            "members": dict(view.members),
            "links": sorted(self._links.up),
            "platform_calls": dict(self._platform.calls),
            "targets": replicas,
        }
        return caller_http.Reply(200, document)

    async def _configuration(self, body: bytes) -> caller_http.Reply:
        del body
        items = {key: json.loads(text) for key, text in sorted(self._keeper.items.items())}
        document = {
            "version": self._keeper.version,
            "digest": self._keeper.digest,
            "items": items,
            "changes": [
                {
                    "version": change.version,
                    "id": change.id,
                    "author": change.author,
                    "keys": sorted(change.keys),
                }
                for change in self._keeper.head.changes
            ],
        }
        return caller_http.Reply(200, document)

    async def _change(self, body: bytes) -> caller_http.Reply:
        if len(body) > MAX_CHANGE_BYTES:
            detail = f"larger than {MAX_CHANGE_BYTES} bytes"
            return caller_http.problem_reply(400, "Bad request", detail)
        try:
            document = json.loads(body)
            change_id = _encodable(document["id"])
            author = _encodable(document["author"])
            base = document["base"]
            file = configuration.parse_file(json.dumps(document["file"]))
        except (ValueError, KeyError, TypeError, RecursionError) as error:
            return caller_http.problem_reply(400, "Bad request", f"malformed change: {error}")
        except configuration.ConfigurationError as error:
            return caller_http.problem_reply(400, "Configuration refused", str(error))
        base_version = self._keeper.version if base is None else base
        if not isinstance(base_version, int) or base_version < 0:
            return caller_http.problem_reply(400, "Bad request", "base: must be a version")
        outcome = await self._store.apply(file.items(), base_version, change_id, author)
        if isinstance(outcome, config_store.Accepted):
            await self._refresh()
        return _change_reply(outcome, change_id)

    async def _change_outcome(self, body: bytes, change_id: str) -> caller_http.Reply:
        del body
        return _change_reply(await self._store.settle(change_id), change_id)

    async def _refresh(self) -> None:
        """Apply an accepted change on this instance at once, without waiting for the watch."""
        try:
            await self._keeper.refresh()
        except Exception as error:
            _log.warning("refresh_failed", error=str(error))

    async def _explain(self, body: bytes) -> caller_http.Reply:
        try:
            search: caller_http.SearchBody = caller_http.parse(
                caller_http.SearchBody, body, MAX_CHANGE_BYTES
            )
        except caller_http.RequestError as error:
            return caller_http.problem_reply(400, "Bad request", str(error), field=error.field)
        config = self._query_engine.view.config
        match = selectors.choose(config.selectors, search.selector_fields())
        labels = match.selector.group if match.selector else {"": ""}
        matched = match.selector.name if match.selector else None
        document = caller_http.describe_match(matched, match.considered, config.group(labels))
        return caller_http.Reply(200, document)

    async def _trace(self, body: bytes, query: str) -> caller_http.Reply:
        del body
        timeline = self._timelines.timeline(query)
        if timeline is None:
            return caller_http.problem_reply(404, "Unknown query", f"{query} is not kept here")
        return caller_http.Reply(200, {"query": query, "timeline": timeline})

    async def _drain(self, body: bytes) -> caller_http.Reply:
        del body
        self._lifecycle.stop_requested()
        return caller_http.Reply(200, {"state": self._lifecycle.state})


def _encodable(value: Any) -> str:
    """Return a value as text; all instances read it from the head, so it must be encodable.

    Raises:
        ValueError: The text has an unpaired surrogate.
    """
    text = str(value)
    text.encode()
    return text


def _change_reply(outcome: config_store.Outcome, change_id: str) -> caller_http.Reply:
    if isinstance(outcome, config_store.Accepted):
        change = outcome.change
        return caller_http.Reply(
            200, {"outcome": "accepted", "id": change.id, "version": change.version}
        )
    if isinstance(outcome, config_store.Unsure):
        document = {"outcome": "MAY_HAVE_RUN", "id": change_id, "detail": outcome.detail}
        return caller_http.Reply(502, document)
    status = _STATUS_BY_REFUSAL.get(outcome.reason, 503)
    document = {
        "outcome": "refused",
        "id": change_id,
        "reason": outcome.reason,
        "detail": outcome.detail,
    }
    return caller_http.Reply(status, document)
