"""What the HTTP services share: JSON responses and listening sockets."""

from __future__ import annotations

import json
import math
from typing import TYPE_CHECKING, Any

from twisted.web import server

if TYPE_CHECKING:
    from collections.abc import Callable

    import klein
    from twisted.internet import defer

    from lineworks.models import caller_http

JSON_TYPE = "application/json"
"""Content type of answers."""

PROBLEM_TYPE = "application/problem+json"
"""Content type of errors, by RFC 9457."""


def write_reply(request: Any, reply: caller_http.Reply) -> bytes:
    """Write a response.

    Args:
        request: The HTTP request.
        reply: What to say.

    Returns:
        The body.
    """
    request.setResponseCode(reply.status)
    if reply.retry_after is not None:
        request.setHeader("Retry-After", str(math.ceil(reply.retry_after)))
        request.setHeader("Retry-After-Ms", str(math.ceil(reply.retry_after * 1000)))
    content_type = PROBLEM_TYPE if reply.status >= 400 else JSON_TYPE
    return write_json(request, reply.document, content_type)


def write_json(request: Any, document: Any, content_type: str = JSON_TYPE) -> bytes:
    """Write a JSON body.

    Args:
        request: The HTTP request.
        document: What JSON can hold.
        kind: Content type.

    Returns:
        The body.
    """
    request.setHeader("Content-Type", content_type)
    return json.dumps(document, ensure_ascii=False).encode()


def add_route(app: klein.Klein, method: str, path: str, handler: Callable[..., Any]) -> None:
    """Add a route under a name of its own.

    Klein names routes after their functions, and wrapped handlers share a function name.

    Args:
        app: The app.
        method: HTTP method.
        path: Path, with Werkzeug's placeholders.
        handler: Called with the request and the placeholders' values.
    """
    app.route(path, methods=[method], endpoint=f"{method} {path}")(handler)


def handle_health(request: Any) -> bytes:
    """Answer that the process is alive.

    Args:
        request: The HTTP request.

    Returns:
        The body.
    """
    return write_json(request, {"alive": True})


def listen(reactor: Any, app: klein.Klein, host: str, port: int) -> Any:
    """Serve a Klein app.

    Args:
        reactor: Twisted's reactor.
        app: The app.
        host: IP address.
        port: TCP port; 0 lets the system choose.

    Returns:
        The listening port.

    Raises:
        twisted.internet.error.CannotListenError: The port is in use.
    """
    site = server.Site(app.resource())
    return reactor.listenTCP(port, site, interface=host, backlog=512)


def close(port: Any) -> defer.Deferred[Any] | None:
    """Stop listening.

    Args:
        port: The listening port, or None.

    Returns:
        A deferred that fires when it is closed.
    """
    return port.stopListening() if port is not None else None
