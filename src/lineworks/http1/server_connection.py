"""The server's end of an HTTP/1.1 connection: callers' requests, one after the other.

One parser decides all framing; a request whose length is ambiguous is refused and ends the
connection. Bodies are taken whole before a request is handed on.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING, Any

import httptools
from twisted.internet import error, protocol

from lineworks.http1 import fields as http_fields
from lineworks.kernel import immediate_write, tcp_info

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

LINGER = 0.5
"""Seconds that a refused caller gets to read the answer before the connection is closed."""

END_FIELDS = ((b"Retry-After", b"0"),)
"""What is told besides when this process ends before it has read a request: nothing ran, and
another one takes the next connection at once."""

MAX_WAITING = 16
"""Requests that a caller may send ahead of answers."""


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A whole request."""

    method: bytes
    """Method."""

    target: bytes
    """Path with the query, as it came."""

    fields: list[tuple[bytes, bytes]] = dataclasses.field(repr=False)
    """Header fields in order, names in lower case. They hold the caller's key."""

    body: bytes
    """The body."""

    arrived: float
    """When its first byte was read, in seconds on the steady clock."""

    network_delay: float | None = None
    """Seconds that the caller loses on the way: what it waited until the first byte was here, and
    what the answer will take. None where the system does not tell."""

    def header(self, name: bytes) -> bytes | None:
        """Find a field that stands once.

        Args:
            name: Name in lower case.

        Returns:
            Its value, or None where it is missing or stands more than once.
        """
        found = [value for field, value in self.fields if field == name]
        return found[0] if len(found) == 1 else None


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What a caller gets."""

    status: int
    """HTTP status."""

    fields: list[tuple[bytes, bytes]] = dataclasses.field(default_factory=list)
    """Header fields besides those of the framing."""

    body: bytes = b""
    """The body."""


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """What a caller may send."""

    header_bytes: int = 16384
    """Bytes of a head."""

    body_bytes: int = 262144
    """Bytes of a body."""

    header_seconds: float = 3.0
    """Seconds from the first byte to the end of the head."""

    idle_seconds: float = 15.0
    """Seconds between requests, and between pieces of a body."""


class ServerConnection(protocol.Protocol):
    """One caller's connection. It also receives the parser's callbacks."""

    transport: Any

    def __init__(self, server: Server) -> None:
        """Make an end that is not connected yet.

        Args:
            server: What the connections of a port share.
        """
        self._server = server
        self._parser: Any = httptools.HttpRequestParser(self)
        self._waiting: collections.deque[Request] = collections.deque()
        self._target = b""
        self._fields: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._head_size = 0
        self._body_size = 0
        self._began_at: float | None = None
        self._is_in_body = False
        self._is_broken = False
        self._must_close = False
        self._timer: Any = None
        self._cancel: Callable[[], None] | None = None
        self._round_trip: float | None = None
        self._is_first = True
        self._idle_since = server.now()
        self._leaving: Request | None = None
        self.is_busy = False
        """Whether a request waits for its answer or is partly read."""

    def connectionMade(self) -> None:  # noqa: N802
        """Wait for the first request."""
        self.transport.setTcpNoDelay(True)
        self._round_trip = tcp_info.round_trip(self.transport.getHandle())
        self._server.connections.add(self)
        self._set_timer(self._server.limits().idle_seconds)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Cancel what the caller no longer waits for."""
        self._stop_timer()
        self._server.connections.discard(self)
        self._is_broken = True
        self._waiting.clear()
        cancel = self._cancel
        self._cancel = None
        self.is_busy = False
        if cancel is not None:
            cancel()
        leaving, self._leaving = self._leaving, None
        is_clean = reason is not None and reason.check(error.ConnectionDone)
        if leaving is not None and not is_clean:
            self._server.on_undelivered(leaving)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Feed the parser."""
        if self._is_broken:
            return
        if self._began_at is None and not self.is_busy:
            # Counted from its arrival: a process that stood still reads it late, and its caller
            # would be answered late by as much.
            self._began_at = self._server.now() - tcp_info.waited(self.transport.getHandle())
            self._set_timer(self._server.limits().header_seconds)
        if not self._is_in_body:
            self._head_size += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._refuse(400)
            return
        if self._began_at is not None and not self._is_in_body:
            self._check_head()

    def close_if_idle(self, rest: float = 0.0) -> None:
        """Close the connection unless a request is under way, or may be on its way.

        Args:
            rest: Seconds since the opening or the last answer in which one may be.
        """
        is_at_rest = self._server.now() >= self._idle_since + rest
        if not self.is_busy and self._began_at is None and not self._is_broken and is_at_rest:
            self._is_broken = True
            self.transport.loseConnection()

    def shut_down(self) -> None:
        """Refuse a request that is partly read, because the process ends; close when at rest.

        A connection without any request stays open: its first one may be on its way.
        """
        if self.is_busy or self._is_broken:
            return
        if self._began_at is not None:
            self._refuse(503, END_FIELDS)
        elif not self._is_first:
            self.close_if_idle()

    def on_message_begin(self) -> None:
        """Start to collect a request."""
        if self._began_at is None:
            self._began_at = self._server.now()
        self._target = b""
        self._fields = []
        self._body = []
        self._body_size = 0

    def on_url(self, url: bytes) -> None:
        """Take in a piece of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take in a header."""
        self._fields.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check the head's size and let a waiting caller send the body."""
        self._is_in_body = True
        self._check_head()
        if not self._is_broken:
            self._set_timer(self._server.limits().idle_seconds)
            if any(field == (b"expect", b"100-continue") for field in self._fields):
                self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Take in a piece of the body."""
        self._body_size += len(data)
        if self._body_size > self._server.limits().body_bytes:
            self._refuse(413)
            return
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Queue the request."""
        if self._is_broken:
            return
        self._is_in_body = False
        self._head_size = 0
        arrived = self._began_at if self._began_at is not None else self._server.now()
        self._began_at = None
        method = self._parser.get_method()
        is_last = not self._parser.should_keep_alive()
        body = b"".join(self._body)
        request = Request(
            method, self._target, self._fields, body, arrived, self._take_caller_way()
        )
        self._must_close = self._must_close or is_last
        self._waiting.append(request)
        if len(self._waiting) > MAX_WAITING:
            self._refuse(400)
            return
        if not self.is_busy:
            self._next()

    def _take_caller_way(self) -> float | None:
        """Tell what the way costs a request's caller: one round trip, two with a new connection."""
        trips = 2 if self._is_first else 1
        self._is_first = False
        return None if self._round_trip is None else trips * self._round_trip

    def _check_head(self) -> None:
        size = sum(len(name) + len(value) + 4 for name, value in self._fields)
        size += len(self._target)
        if max(size, self._head_size if not self._is_in_body else 0) > (
            self._server.limits().header_bytes
        ):
            self._refuse(431)

    def _next(self) -> None:
        """Hand the next request on."""
        if not self._waiting or self._is_broken:
            return
        self._stop_timer()
        self.is_busy = True
        request = self._waiting.popleft()
        is_answered = False

        def answer(found: Answer) -> None:
            nonlocal is_answered
            if is_answered:
                return
            is_answered = True
            self._cancel = None
            self._write(request, found)

        cancel = self._server.on_request(request, answer)
        if not is_answered:
            self._cancel = cancel

    def _write(self, request: Request, answer: Answer) -> None:
        if self._is_broken:
            return
        # Requests that were sent ahead and read are answered, too, before the connection closes.
        is_last = not self._waiting and (self._must_close or self._server.is_closing())
        immediate_write.write(self.transport, _encode(answer, is_last, request.method == b"HEAD"))
        self.is_busy = False
        if is_last:
            self._is_broken = True
            self._leaving = request
            self.transport.loseConnection()
            return
        if self._waiting:
            self._server.call_later(0, self._next)
            self.is_busy = True
            return
        self._idle_since = self._server.now()
        limits = self._server.limits()
        is_idle = self._began_at is None
        self._set_timer(limits.idle_seconds if is_idle else limits.header_seconds)

    def _refuse(self, status: int, fields: Sequence[tuple[bytes, bytes]] = ()) -> None:
        """Answer a request that can't be read, and close once the caller could read that."""
        if self._is_broken:
            return
        self._is_broken = True
        self._stop_timer()
        self._server.on_refused(status)
        if self._cancel is None:
            self.transport.write(_encode(Answer(status, list(fields)), True, False))
        self._server.call_later(LINGER, self.transport.loseConnection)

    def _on_timer(self) -> None:
        self._timer = None
        if self._is_broken or self.is_busy:
            return
        if self._began_at is None:
            self._is_broken = True
            self.transport.loseConnection()
        else:
            self._refuse(408)

    def _set_timer(self, seconds: float) -> None:
        self._stop_timer()
        self._timer = self._server.call_later(seconds, self._on_timer)

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None


class Server(protocol.Factory):
    """What the connections of one port share."""

    noisy = False

    def __init__(
        self,
        clock: Any,
        limits: Callable[[], Limits],
        on_request: Callable[[Request, Callable[[Answer], None]], Callable[[], None] | None],
        is_closing: Callable[[], bool] = lambda: False,
        on_refused: Callable[[int], None] = lambda status: None,
        on_undelivered: Callable[[Request], None] = lambda request: None,
    ) -> None:
        """Start without connections.

        Args:
            clock: Twisted's reactor, or a clock of tests.
            limits: Tells the limits in force.
            on_request: Takes each request with a function that answers it once, and returns what
                cancels it when its caller leaves.
            is_closing: Says whether answers end their connections.
            on_refused: Takes the status of each request that could not be read.
            on_undelivered: Takes each request whose answer was the last one of its connection and
                had not left this process when the connection was lost. An answer that is written
                is not one that its caller got: the log must be able to tell them apart.
        """
        self._clock = clock
        self.limits = limits
        self.on_request = on_request
        self.is_closing = is_closing
        self.on_refused = on_refused
        self.on_undelivered = on_undelivered
        self.connections: set[ServerConnection] = set()
        """Open connections."""

    def now(self) -> float:
        """Tell the present, in seconds."""
        seconds: float = self._clock.seconds()
        return seconds

    def call_later(self, seconds: float, call: Callable[[], Any]) -> Any:
        """Schedule a call."""
        return self._clock.callLater(seconds, call)

    def buildProtocol(self, addr: Any) -> ServerConnection:  # noqa: N802
        """Make the end of a new connection."""
        return ServerConnection(self)


def _encode(answer: Answer, is_last: bool, is_head: bool) -> bytes:
    reason = http_fields.REASONS.get(answer.status, b"Status")
    lines = [b"HTTP/1.1 %d %s" % (answer.status, reason)]
    lines += [name + b": " + value for name, value in answer.fields]
    if answer.status not in (204, 304):
        lines.append(b"Content-Length: %d" % len(answer.body))
    if is_last:
        lines.append(b"Connection: close")
    head = b"\r\n".join(lines) + b"\r\n\r\n"
    return head if is_head else head + answer.body
