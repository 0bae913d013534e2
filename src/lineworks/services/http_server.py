"""Helpers shared by the HTTP services: JSON responses, routes and listening sockets."""

from __future__ import annotations

import json
import math
from typing import TYPE_CHECKING, Any

from twisted.protocols import policies
from twisted.web import server

from lineworks.kernel import listening
from lineworks.services import _closing_port

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    import klein
    from twisted.internet import defer

    from lineworks.models import caller_http

JSON_TYPE = "application/json"
"""Content type of successful responses."""

PROBLEM_TYPE = "application/problem+json"
"""Content type of error responses (RFC 9457, problem details)."""

FIRST_REQUEST_SECONDS = 1.2
"""Seconds after a port was closed for which the first requests of connections accepted until then
are waited for. A first packet that is lost is retransmitted after one second (RFC 6298)."""


def write_reply(request: Any, reply: caller_http.Reply) -> bytes:
    """Set the status and headers of a response, and encode its body.

    Args:
        request: The HTTP request.
        reply: Status, document and optional retry delay of the response.

    Returns:
        The encoded body.
    """
    request.setResponseCode(reply.status)
    if reply.retry_after is not None:
        request.setHeader("Retry-After", str(math.ceil(reply.retry_after)))
        request.setHeader("Retry-After-Ms", str(math.ceil(reply.retry_after * 1000)))
    content_type = PROBLEM_TYPE if reply.status >= 400 else JSON_TYPE
    return write_json(request, reply.document, content_type)


def write_json(request: Any, document: Any, content_type: str = JSON_TYPE) -> bytes:
    """Set the content type of a response, and encode its body as JSON.

    Args:
        request: The HTTP request.
        document: A JSON-serialisable value.
        content_type: Value of the `Content-Type` header.

    Returns:
        The encoded body.
    """
    request.setHeader("Content-Type", content_type)
    return json.dumps(document, ensure_ascii=False).encode()


def add_route(app: klein.Klein, method: str, path: str, handler: Callable[..., Any]) -> None:
    """Add a route under a unique endpoint name.

    By default Klein names an endpoint after its function, but the wrapped handlers all have the
    same function name.

    Args:
        app: The Klein application.
        method: HTTP method.
        path: Path pattern, with Werkzeug placeholders.
        handler: Called with the request, and with the placeholders' values as keyword arguments.
    """
    app.route(path, methods=[method], endpoint=f"{method} {path}")(handler)


def handle_health(request: Any) -> bytes:
    """Answer a liveness probe.

    Args:
        request: The HTTP request.

    Returns:
        The encoded body.
    """
    return write_json(request, {"alive": True})


def listen(
    reactor: Any,
    app: klein.Klein,
    host: str,
    port: int,
    reserved: socket.socket | None = None,
) -> Any:
    """Serve a Klein application on a TCP port.

    Args:
        reactor: Twisted's reactor.
        app: The Klein application.
        host: IP address to bind.
        port: TCP port to bind; 0 lets the operating system choose one.
        reserved: Socket that is bound to the port already and doesn't listen yet, or None.

    Returns:
        Twisted's listening port.

    Raises:
        OSError: Another process listens on the reserved port.
        twisted.internet.error.CannotListenError: The port was not reserved and is in use.
    """
    # The wrappers tell `close` which connections are open.
    factory = policies.WrappingFactory(server.Site(app.resource()))
    return listening.listen(reactor, host, port, factory, reserved)


def close(reactor: Any, port: Any) -> defer.Deferred[None] | None:
    """Stop listening, answer what was established until then, and send all answers.

    `stopListening` accepts nothing more: it would reset the connections in the backlog, whose
    callers may have sent requests already and could not tell that these were never read.

    Args:
        reactor: Twisted's reactor.
        port: Twisted's listening port, or None if nothing listens.

    Returns:
        A deferred that fires when the port is closed, these connections are answered and callers
        have taken their answers or stopped reading, or None if `port` is None.
    """
    if port is None:
        return None
    return _closing_port.ClosingPort(reactor, port, FIRST_REQUEST_SECONDS).close()
