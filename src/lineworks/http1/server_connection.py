"""The server side of an HTTP/1.1 connection; a caller's requests are processed in order.

A single parser decides the framing. A request with ambiguous length is refused and closes the
connection. A request is handed to its handler only when its whole body has been received.
"""

from __future__ import annotations

import collections
import dataclasses
import io
import math
from typing import TYPE_CHECKING, Any

import httptools
from twisted.internet import error as net_error
from twisted.internet import protocol

from lineworks.http1 import drain_notice, unfinished_bodies
from lineworks.http1 import fields as http_fields
from lineworks.kernel import failure_log, immediate_write, tcp_info

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

LINGER_SECONDS = 0.5
"""Seconds for which the connection of a refused request stays open, so that the caller can read the
response."""

SHUTDOWN_FIELDS = ((b"Retry-After", b"0"),)
"""Header fields of the response to a request that was only partly read when the process stops:
nothing was executed, and another instance accepts the next connection immediately."""

NO_ROOM_FIELDS = ((b"Retry-After", b"1"),)
"""Header fields of the response to a request that was not run because the process holds too much
of others."""

FIELD_BYTES = 160
"""Memory that a header field takes besides its text, in bytes: two byte strings and a pair."""

BODY_COPIES = 3
"""Number of times that the body of a request in progress exists: in the request, and in the buffers
of the connections to two servers that don't read it."""

MAX_PIPELINED = 16
"""Maximum number of requests that a caller may send before it reads a response."""


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A complete request."""

    method: bytes
    """HTTP method."""

    target: bytes
    """Request target as received: path and query string."""

    fields: list[tuple[bytes, bytes]] = dataclasses.field(repr=False)
    """Header fields in order, with names in lower case. They are excluded from the representation
    because they contain the caller's API key."""

    body: bytes
    """The body."""

    arrived: float
    """Arrival time of the first byte, in seconds on the reactor's clock."""

    network_delay: float | None = None
    """Seconds that the network adds to the caller's latency: the time until the first byte arrived
    here plus the time that the response will take. None if the operating system does not provide a
    round-trip time."""

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a field that must not be repeated.

        Args:
            name: Field name in lower case.

        Returns:
            The value, or None if the field is missing or repeated.
        """
        found = [value for field, value in self.fields if field == name]
        return found[0] if len(found) == 1 else None


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A response to a caller."""

    status: int
    """HTTP status code."""

    fields: list[tuple[bytes, bytes]] = dataclasses.field(default_factory=list)
    """Header fields other than those that frame the message."""

    body: bytes = b""
    """The body."""


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the requests of a caller."""

    header_bytes: int = 16384
    """Maximum size of a request's head in bytes."""

    body_bytes: int = 262144
    """Maximum size of a request's body in bytes."""

    header_seconds: float = 3.0
    """Maximum time in seconds from the first byte to the end of the head."""

    idle_seconds: float = 15.0
    """Maximum idle time in seconds between requests, between the end of a request's head and its
    complete body, and while a caller reads nothing of its response."""


class ServerConnection(protocol.Protocol):
    """A caller's connection; it also implements httptools' parser callbacks."""

    transport: Any

    def __init__(self, server: Server) -> None:
        """Initialise a connection that is not connected yet.

        Args:
            server: The server that accepted the connection.
        """
        self._server = server
        self._parser: Any = httptools.HttpRequestParser(self)
        self._queue: collections.deque[Request] = collections.deque()
        self._target = b""
        self._fields: list[tuple[bytes, bytes]] = []
        self._body = io.BytesIO()
        self._head_size = 0
        self._body_size = 0
        self._began_at: float | None = None
        self._is_in_body = False
        self._has_offer = False
        self._is_closed = False
        self._must_close = False
        self._timer: Any = None
        self._cancel: Callable[[], None] | None = None
        self._round_trip: float | None = None
        self._is_first_request = True
        self._idle_since = server.now()
        self._last_answered: Request | None = None
        self._unsent_bytes = 0
        self._held_bytes = 0
        self._is_recorded = False
        self._drops_data = False
        self._is_waiting_for_turn = False
        self._reading_timer: Any = None
        self._has_place = len(server.connections) < server.max_connections
        self.is_busy = False
        """Whether a request is waiting for its response."""

    def connectionMade(self) -> None:  # noqa: N802
        """Register the connection and wait for its first request."""
        self.transport.setTcpNoDelay(True)
        self._round_trip = tcp_info.round_trip(self.transport.getHandle())
        self._server.connections.add(self)
        self._set_timer(self._server.limits().idle_seconds)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Cancel the pending request, and report a final response that was not delivered."""
        self._stop_timer()
        self._stop_reading_timer()
        self._server.connections.discard(self)
        self._is_closed = True
        self._unsent_bytes = 0
        self._drop_requests()
        self._let_go()
        cancel = self._cancel
        self._cancel = None
        self.is_busy = False
        if cancel is not None:
            cancel()
        last_answered, self._last_answered = self._last_answered, None
        is_clean = reason is not None and reason.check(net_error.ConnectionDone)
        # The parser refers to this connection: with it, unsent responses are freed at once.
        self._parser = None
        if last_answered is not None and not is_clean:
            self._server.on_undelivered(last_answered)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse data from the caller."""
        if self._is_closed or self._drops_data:
            return
        if not self._take_place():
            self._refuse(503, NO_ROOM_FIELDS)
            return
        if self._began_at is None and not self.is_busy:
            # Measured from the arrival of the data: a process that was stalled reads it late, and
            # would otherwise answer its caller late by the same amount.
            self._began_at = self._server.now() - tcp_info.read_delay(self.transport.getHandle())
            self._set_timer(self._server.limits().header_seconds)
        if not self._is_in_body:
            self._head_size += len(data)
        try:
            self._parse(data)
        except httptools.HttpParserError:
            self._refuse(400)
            return
        if self._began_at is not None and not self._is_in_body:
            self._check_head()
        if self._began_at is not None or self._queue or self._is_recorded:
            self._record_unfinished()

    def _parse(self, data: bytes) -> None:
        """Parse data; an offer to change the protocol is ignored (RFC 9110, section 7.8).

        The parser takes what follows such an offer for another protocol, and so reads no body. The
        head is therefore parsed once more without the offer, and the rest of the data after it.

        Args:
            data: Data from the caller.

        Raises:
            httptools.HttpParserError: It is no request, or one for a tunnel.
        """
        while data and not self._is_closed:
            try:
                self._parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as upgrade:
                rest = data[upgrade.args[0] :]
            self._has_offer = False
            if self._parser.get_method() == b"CONNECT":
                raise httptools.HttpParserError("a request for a tunnel")
            head = self._head_without_offer()
            self._parser = httptools.HttpRequestParser(self)
            self._parser.feed_data(head)
            data = rest

    def _head_without_offer(self) -> bytes:
        """Encode the head that was just parsed, without the offer to change the protocol."""
        version = self._parser.get_http_version().encode()
        lines = [self._parser.get_method() + b" " + self._target + b" HTTP/" + version]
        lines += [name + b": " + value for name, value in self._fields if name != b"upgrade"]
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def on_too_much_unfinished(self) -> None:
        """Close the connection, because the process holds too much of unfinished messages.

        A request in progress is answered first; what was sent after it is dropped, and never runs.
        """
        if self.is_busy and not self._unsent_bytes and not self._is_waiting_for_turn:
            self._must_close = True
            self._drops_data = True
            self._drop_requests()
        elif self.is_busy or self._unsent_bytes:
            self._is_closed = True
            self._unsent_bytes = 0
            self._drop_requests()
            self.transport.abortConnection()
        else:
            self._refuse(503, NO_ROOM_FIELDS)

    def close_if_idle(self, grace: float = 0.0) -> None:
        """Close the connection unless a request is in progress or may still be in transit.

        Args:
            grace: Seconds after the connection opened, or after its last response, during which a
                request may be in transit.
        """
        is_grace_over = self._server.now() >= self._idle_since + grace
        if not self.is_busy and self._began_at is None and not self._is_closed and is_grace_over:
            self._is_closed = True
            self.transport.loseConnection()

    def shut_down(self) -> None:
        """Refuse a partly read request, or close an idle connection, because the process stops.

        A connection that has had no request yet stays open, since its first one may be in transit.
        """
        if self.is_busy or self._is_closed:
            return
        if self._began_at is not None:
            self._refuse(503, SHUTDOWN_FIELDS)
        elif not self._is_first_request:
            self.close_if_idle()

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        if self._began_at is None:
            self._began_at = self._server.now()
        self._target = b""
        self._forget_request()

    def on_url(self, url: bytes) -> None:
        """Store a chunk of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header field; a trailer field counts towards the body, and decides nothing.

        A field that comes after the body must not state the caller's credentials or the identity of
        its request (RFC 9110, section 6.5.1).
        """
        if self._is_in_body:
            self._count_body(len(name) + len(value))
            return
        self._fields.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check the size of the head, and send 100 (Continue) if the caller expects it."""
        if self._parser.should_upgrade():
            # The parser ends the message here; `_parse` goes on with it.
            self._has_offer = True
            return
        self._is_in_body = True
        # What was received with the end of the head belongs to the body.
        self._head_size = self._parsed_head_size()
        self._check_head()
        if not self._is_closed:
            self._set_timer(self._server.limits().idle_seconds)
            if any(field == (b"expect", b"100-continue") for field in self._fields):
                self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Store a chunk of the body."""
        if self._count_body(len(data)):
            self._body.write(data)

    def _count_body(self, size: int) -> bool:
        """Count bytes of a body, and return whether it is still within the limit."""
        self._body_size += size
        if self._body_size > self._server.limits().body_bytes:
            self._refuse(413)
        return not self._is_closed

    def on_message_complete(self) -> None:
        """Queue the request."""
        if self._is_closed or self._drops_data or self._has_offer:
            return
        self._is_in_body = False
        self._head_size = 0
        arrived = self._began_at if self._began_at is not None else self._server.now()
        self._began_at = None
        method = self._parser.get_method()
        is_last = not self._parser.should_keep_alive()
        body = self._body.getvalue() if self._body_size else b""
        request = Request(
            method, self._target, self._fields, body, arrived, self._take_network_delay()
        )
        self._forget_request()
        self._must_close = self._must_close or is_last
        self._queue.append(request)
        if len(self._queue) > MAX_PIPELINED:
            self._refuse(400)
            return
        if not self.is_busy:
            self._dispatch_next()

    def _forget_request(self) -> None:
        """Forget the request that is being received; an idle connection holds none."""
        self._fields = []
        if self._body_size:
            self._body = io.BytesIO()
            self._body_size = 0

    def _record_unfinished(self) -> None:
        """Count what the connection holds towards the limit of the process."""
        size = self._unsent_bytes + sum(_memory_of(request) for request in self._queue)
        if self._began_at is not None:
            size += self._head_size + self._body_size + FIELD_BYTES * len(self._fields)
        if size:
            self._is_recorded = True
            self._server.unfinished.record(self, unfinished_bodies.CALLERS, size)
        elif self._is_recorded:
            self._is_recorded = False
            self._server.unfinished.release(self, unfinished_bodies.CALLERS)

    def _drop_requests(self) -> None:
        """Drop all requests that aren't in progress, because the connection ends."""
        self._queue.clear()
        self._forget_request()
        self._head_size = 0
        self._record_unfinished()

    def _let_go(self) -> None:
        held, self._held_bytes = self._held_bytes, 0
        if held:
            self._server.unfinished.let_go(held)

    def _on_drained(self) -> None:
        self._stop_reading_timer()
        self._unsent_bytes = 0
        if not self._is_closed:
            self._last_answered = None
        self._record_unfinished()

    def _take_place(self) -> bool:
        """Return whether the connection is served; others may have ended since it was opened."""
        server = self._server
        self._has_place = self._has_place or len(server.connections) <= server.max_connections
        return self._has_place

    def _take_network_delay(self) -> float | None:
        """Return a request's network delay: one round trip, or two for a new connection."""
        trips = 2 if self._is_first_request else 1
        self._is_first_request = False
        return None if self._round_trip is None else trips * self._round_trip

    def _parsed_head_size(self) -> int:
        size = sum(len(name) + len(value) + 4 for name, value in self._fields)
        return size + len(self._target)

    def _check_head(self) -> None:
        size = max(self._parsed_head_size(), self._head_size)
        if size > self._server.limits().header_bytes:
            self._refuse(431)

    def _dispatch_next(self) -> None:
        """Hand the next queued request to the handler."""
        self._is_waiting_for_turn = False
        if not self._queue or self._is_closed:
            return
        self._stop_timer()
        self.is_busy = True
        request = self._queue.popleft()
        if self._is_recorded:
            self._record_unfinished()
        is_answered = False

        def respond(answer: Answer) -> None:
            nonlocal is_answered
            if is_answered:
                return
            is_answered = True
            self._cancel = None
            self._let_go()
            self._write(request, answer)

        if request.body and not self._hold(request):
            respond(Answer(503, list(NO_ROOM_FIELDS)))
            return
        try:
            cancel = self._server.on_request(request, respond)
        except Exception as error:
            # Without this, the parser would report it as a malformed request.
            self._server.failures.on_failure(error)
            respond(Answer(500))
            return
        if not is_answered:
            self._cancel = cancel

    def _hold(self, request: Request) -> bool:
        """Count the body of a request that is about to run; return whether there is room for it."""
        size = BODY_COPIES * len(request.body)
        if not self._server.unfinished.hold(size):
            self._server.on_refused(503)
            return False
        self._held_bytes = size
        return True

    def _write(self, request: Request, answer: Answer) -> None:
        if self._is_closed:
            return
        # Pipelined requests that were already read are answered before the connection closes.
        is_last = not self._queue and (self._must_close or self._server.is_closing())
        try:
            data = _encode(answer, is_last, request.method == b"HEAD")
        except Exception:
            # The caller must not wait for an answer that can't be written.
            self._is_closed = True
            self.transport.loseConnection()
            raise
        is_sent = immediate_write.write(self.transport, data)
        self.is_busy = False
        if not is_sent:
            self._on_unsent(request)
            if self._is_closed:
                return
        if is_last:
            self._is_closed = True
            self._last_answered = request
            self.transport.loseConnection()
            return
        if self._queue:
            self._server.call_later(0, self._dispatch_next)
            self.is_busy = True
            self._is_waiting_for_turn = True
            return
        self._idle_since = self._server.now()
        limits = self._server.limits()
        is_idle = self._began_at is None
        self._set_timer(limits.idle_seconds if is_idle else limits.header_seconds)

    def _on_unsent(self, request: Request) -> None:
        """Count what the caller has not taken yet of this response and those before it."""
        is_first = not self._unsent_bytes
        self._last_answered = dataclasses.replace(request, body=b"")
        self._unsent_bytes = drain_notice.unsent_bytes(self.transport)
        self._record_unfinished()
        if is_first and not self._is_closed:
            drain_notice.DrainNotice(self.transport, self._on_drained)
            self._check_reading_later()

    def _check_reading_later(self) -> None:
        """Close the connection later if the caller has read nothing of its response by then."""
        position = drain_notice.position(self.transport)
        seconds = self._server.limits().idle_seconds
        self._reading_timer = self._server.call_later(seconds, self._check_reading, position)

    def _check_reading(self, position: tuple[int, int]) -> None:
        self._reading_timer = None
        if position != drain_notice.position(self.transport):
            self._check_reading_later()
            return
        # A connection that is to close would wait for its caller for ever.
        self._is_closed = True
        self.transport.abortConnection()

    def _stop_reading_timer(self) -> None:
        timer, self._reading_timer = self._reading_timer, None
        if timer is not None:
            timer.cancel()

    def _refuse(self, status: int, fields: Sequence[tuple[bytes, bytes]] = ()) -> None:
        """Refuse a request that can't be read, and close the connection after a linger time."""
        if self._is_closed:
            return
        self._is_closed = True
        self._drop_requests()
        self._stop_timer()
        self._server.on_refused(status)
        if self._cancel is None:
            self.transport.write(_encode(Answer(status, list(fields)), True, False))
        self._server.call_later(LINGER_SECONDS, self.transport.loseConnection)

    def _on_timer(self) -> None:
        self._timer = None
        if self._is_closed or self.is_busy:
            return
        if self._began_at is None:
            self._is_closed = True
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
    """State and callbacks shared by all connections of one port."""

    noisy = False

    def __init__(
        self,
        clock: Any,
        limits: Callable[[], Limits],
        on_request: Callable[[Request, Callable[[Answer], None]], Callable[[], None] | None],
        is_closing: Callable[[], bool] = lambda: False,
        on_refused: Callable[[int], None] = lambda status: None,
        on_undelivered: Callable[[Request], None] = lambda request: None,
        unfinished: unfinished_bodies.UnfinishedBodies | None = None,
        max_connections: float = math.inf,
    ) -> None:
        """Initialise without connections.

        Args:
            clock: Twisted's reactor, or a test clock.
            limits: Returns the limits currently in force.
            on_request: Called with each request and a function that sends its response; only the
                function's first call has an effect. Returns a function that cancels the request,
                called when the caller disconnects, or None.
            is_closing: Returns whether connections are closed after their next response.
            on_refused: Called with the status code of each request that could not be read.
            on_undelivered: Called with each request whose response was the last of its connection
                and had not been sent completely when the connection was lost. A response that was
                written is not necessarily delivered, and the log must distinguish the two.
            unfinished: Limits what the connections hold of unfinished messages, together with
                others of the process; None for a limit of its own.
            max_connections: Number of open connections from which the requests of further ones are
                refused as not run.
        """
        self._clock = clock
        self.limits = limits
        self.on_request = on_request
        self.is_closing = is_closing
        self.on_refused = on_refused
        self.on_undelivered = on_undelivered
        self.failures = failure_log.FailureLog(clock, "http_server", "request_failed")
        """Logs errors in the handler of requests."""
        self.unfinished = (
            unfinished if unfinished is not None else unfinished_bodies.UnfinishedBodies()
        )
        """What the connections hold of unfinished messages."""
        self.max_connections = max_connections
        """Number of open connections from which further ones are refused."""
        self.connections: set[ServerConnection] = set()
        """Open connections."""

    def now(self) -> float:
        """Return the current time in seconds."""
        seconds: float = self._clock.seconds()
        return seconds

    def call_later(self, seconds: float, call: Callable[..., Any], *args: Any) -> Any:
        """Schedule a call after a number of seconds."""
        return self._clock.callLater(seconds, call, *args)

    def buildProtocol(self, addr: Any) -> ServerConnection:  # noqa: N802
        """Create the protocol of a new connection."""
        return ServerConnection(self)


def _memory_of(request: Request) -> int:
    """Return the memory that a request takes, in bytes."""
    text = sum(len(name) + len(value) for name, value in request.fields)
    return len(request.target) + len(request.body) + text + FIELD_BYTES * len(request.fields)


def _encode(answer: Answer, is_last: bool, is_head: bool) -> bytes:
    reason = http_fields.REASON_PHRASES.get(answer.status, b"Status")
    lines = [b"HTTP/1.1 %d %s" % (answer.status, reason)]
    lines += [name + b": " + value for name, value in answer.fields]
    if answer.status not in (204, 304):
        lines.append(b"Content-Length: %d" % len(answer.body))
    if is_last:
        lines.append(b"Connection: close")
    head = b"\r\n".join(lines) + b"\r\n\r\n"
    return head if is_head else head + answer.body
