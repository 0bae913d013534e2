"""The client side of an HTTP/1.1 connection, without pipelining.

The server may be faulty, so the connection handles its data defensively: unsolicited bytes close
the connection, a response to another request is discarded and prevents reuse, and a response
without a length counts as complete only when the server closes the connection cleanly. Responses
that exceed a limit of `response_limits` abort the connection.

A response names its request by an identity that the caller of `send` states. The server may repeat
a response at any later moment, so the name proves whose response it is only if no other request of
that identity was sent over the same connection; `may_send` tells that.
"""

from __future__ import annotations

import dataclasses
import enum
import io
from typing import TYPE_CHECKING, Any

import httptools
from twisted.internet import error as net_error
from twisted.internet import protocol

from lineworks.http1 import _sent_identities, response_limits
from lineworks.kernel import immediate_write

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from lineworks.http1 import reading_turns, unfinished_bodies

DEFAULT_KEEP_ALIVE_SECONDS = 4.0
"""Seconds for which an idle connection is kept when the server states no keep-alive timeout."""

KEEP_ALIVE_MARGIN_SECONDS = 1.0
"""Seconds before the server's keep-alive timeout at which a connection is no longer reused."""

_FRAMING_FIELDS = frozenset((b"content-length", b"transfer-encoding"))


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete response."""

    status: int
    """HTTP status code."""

    fields: list[tuple[bytes, bytes]]
    """Header fields in order, with names in lower case."""

    body: bytes
    """The body."""

    headers: Mapping[bytes, bytes] = dataclasses.field(init=False, repr=False, compare=False)
    """Header fields by name; of repeated fields, the last value."""

    def __post_init__(self) -> None:
        """Index the fields by name once, since several readers look them up."""
        object.__setattr__(self, "headers", dict(self.fields))


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionFailure:
    """The outcome of a request that got no complete response."""

    detail: str
    """Description of the failure for the logs."""

    has_received_data: bool
    """Whether any part of a response was received."""

    is_closed: bool = False
    """Whether the connection was closed; otherwise the data received was no valid response."""

    @property
    def is_unanswered(self) -> bool:
        """Whether the connection was closed before any part of a response was received."""
        return self.is_closed and not self.has_received_data

    @property
    def is_invalid(self) -> bool:
        """Whether the data received was no valid response."""
        return self.has_received_data and not self.is_closed


class DiscardReason(enum.Enum):
    """Why data from a server was taken for no request's response."""

    OTHER_REQUEST = "other_request"
    """The response names another request."""

    NO_IDENTITY = "no_identity"
    """The response names no request."""

    UNSOLICITED = "unsolicited"
    """The data arrived while no request was pending."""


@dataclasses.dataclass(frozen=True, slots=True)
class Discarded:
    """A response, or other data, that belongs to no pending request."""

    reason: DiscardReason
    """Why it was discarded."""

    status: int = 0
    """HTTP status; 0 if it was not parsed."""

    identity: bytes = b""
    """Identity of the request that it names; empty if it names none."""

    expected: bytes = b""
    """Identity of the pending request; empty if there was none."""


class ClientConnection(protocol.Protocol):
    """A client connection; it also implements httptools' parser callbacks (`on_header` etc.)."""

    transport: Any

    def __init__(
        self,
        now: Callable[[], float],
        on_closed: Callable[[ClientConnection], None],
        unfinished: unfinished_bodies.UnfinishedBodies | None = None,
        service: str = "",
        turns: reading_turns.ReadingTurns | None = None,
    ) -> None:
        """Initialise a connection that is not connected yet.

        Args:
            now: Returns the current time in seconds.
            on_closed: Called once when the connection is closed.
            unfinished: Limits the bodies that all connections of the process are receiving; None
                for no such limit.
            service: Service of the server, for that limit.
            turns: Turns of the connections whose data takes much processor time; None for none.
        """
        self._now = now
        self._on_closed = on_closed
        self._unfinished = unfinished
        self._service = service
        self._turns = turns
        self._on_done: Callable[[Response | ConnectionFailure], None] | None = None
        self._expected_field: tuple[bytes, bytes] | None = None
        self._sent = _sent_identities.SentIdentities()
        self._parser: Any = None
        self._fields: list[tuple[bytes, bytes]] = []
        self._body = io.BytesIO()
        self._meter = response_limits.ResponseMeter()
        self._ends_with_connection = False
        self._is_head_complete = False
        self._has_extra_response = False
        self._has_body = False
        self._complete: Response | None = None
        self._idle_limit = DEFAULT_KEEP_ALIVE_SECONDS
        self._idle_since = 0.0
        self.is_closed = False
        """Whether the connection takes no further requests."""

    def is_reusable(self, now: float, fraction: float = 1.0) -> bool:
        """Return whether the connection is idle and the server is expected to keep it open.

        Args:
            now: Current time in seconds.
            fraction: Fraction of the server's keep-alive timeout that may have elapsed.

        Returns:
            Whether the connection is idle and may be used for a request.
        """
        if self.is_closed or self._on_done is not None:
            return False
        return now - self._idle_since < self._idle_limit * fraction

    def may_send(self, identity: bytes) -> bool:
        """Return whether a response can be attributed to a request of an identity.

        Args:
            identity: Identity that the response will carry.

        Returns:
            Whether no request of this identity was sent over the connection before.
        """
        return self._sent.allows(identity)

    def connectionMade(self) -> None:  # noqa: N802
        """Disable Nagle's algorithm so that small requests are sent immediately."""
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = response_limits.FIRST_READ_BYTES
        self._idle_since = self._now()

    def send(
        self,
        data: bytes,
        has_body: bool,
        on_done: Callable[[Response | ConnectionFailure], None],
        expected_field: tuple[bytes, bytes] | None = None,
    ) -> None:
        """Send a request.

        Args:
            data: The encoded request.
            has_body: Whether the request has a body. A response with a status of 300 or more may
                arrive before the server has read the whole body, so the connection is not reused
                after it.
            on_done: Called once with the outcome, unless the connection is aborted first.
            expected_field: Name and value of a header field that identifies the response to this
                request; `may_send` must allow the value.
        """
        self._on_done = on_done
        self._expected_field = expected_field
        if expected_field is not None:
            self._sent.add(expected_field[1])
        self._has_body = has_body
        self._begin()
        immediate_write.write(self.transport, data)

    def abort(self) -> None:
        """Abort the connection without reporting an outcome."""
        self._on_done = None
        self._release_body()
        self._begin_response()
        self._drop()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse data from the server.

        Args:
            data: Data received.
        """
        if self._on_done is None:
            # Unsolicited data: a late or a duplicate response.
            if not self.is_closed:
                self.on_discarded(Discarded(DiscardReason.UNSOLICITED))
            self._drop()
            return
        problem = ""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            problem = response_limits.describe(error)
        complete = self._complete
        self._complete = None
        if complete is not None:
            self._deliver(complete, must_close=bool(problem))
        elif problem:
            self._fail(problem)
        else:
            self._on_incomplete(len(data))

    def on_discarded(self, discarded: Discarded) -> None:
        """Do nothing; a subclass may record what belongs to no pending request.

        Args:
            discarded: What was discarded, and why.
        """

    def on_too_much_unfinished(self) -> None:
        """End the request, because the unfinished bodies of the process are too long together."""
        self._fail(f"a body of over {self._meter.size} bytes, while the process receives too many")

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Report the outcome of the pending request, if any.

        Args:
            reason: Twisted failure that states why the connection was lost.
        """
        self.is_closed = True
        is_clean = reason is not None and reason.check(net_error.ConnectionDone)
        if self._ends_with_connection and is_clean and not self._is_mismatched():
            self._finish(self._response())
        else:
            detail = "closed by the server" if is_clean else "connection lost"
            self._finish(
                ConnectionFailure(detail, bool(self._fields or self._meter.size), is_closed=True)
            )
        self._parser = None
        self._on_closed(self)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header field.

        A trailer field is only counted: it comes after the body, and must not decide whose response
        it is or whether the request ran (RFC 9110, section 6.5.1).
        """
        if self._is_head_complete:
            self._meter.on_fields(1)
            return
        fields = self._fields
        fields.append((name.lower(), value))
        if len(fields) > response_limits.MAX_FIELDS:
            self._meter.on_fields(len(fields))

    def on_headers_complete(self) -> None:
        """Determine whether the body ends with the connection."""
        status = self._parser.get_status_code()
        if status < 100:
            raise ValueError(f"there is no status {status}")
        has_body = status >= 200 and status not in (204, 304)
        is_framed = False
        for name, value in self._fields:
            if name in _FRAMING_FIELDS:
                is_framed = True
                if has_body and name == b"content-length":
                    self._meter.on_length(value)
        self._ends_with_connection = not is_framed and has_body
        self._is_head_complete = True

    def on_body(self, data: bytes) -> None:
        """Store a chunk of the body."""
        self._meter.on_body(len(data))
        self._body.write(data)

    def on_message_begin(self) -> None:
        """Detect a second response that follows a complete one, and stop parsing there."""
        if self._complete is not None:
            self._has_extra_response = True
            raise response_limits.LimitError("a second response")

    def on_message_complete(self) -> None:
        """Hold the response back until the parser has processed all data received with it."""
        if self._complete is not None or self._on_done is None:
            return
        status = self._parser.get_status_code()
        if status < 200:
            self._meter.on_interim()
            self._meter.on_fields(len(self._fields))
            self._begin_response()
            return
        if self._is_mismatched():
            # The response to an earlier request; the expected one may follow.
            self._report_mismatched(status)
            self._has_extra_response = True
            self._meter.on_discarded()
            self._meter.on_fields(len(self._fields))
            self._begin_response()
            return
        self._update_keep_alive(status)
        self._complete = self._response()
        # An idle connection holds no body.
        self._begin_response()

    def _begin(self) -> None:
        # One parser reads all responses, so data between two responses closes the connection.
        if self._parser is None:
            self._parser = httptools.HttpResponseParser(self)
        self._complete = None
        self._meter = response_limits.ResponseMeter()

    def _begin_response(self) -> None:
        self._fields = []
        self._body = io.BytesIO()
        self._ends_with_connection = False
        self._is_head_complete = False

    def _on_incomplete(self, size: int) -> None:
        """Hold what was received so far against the limits.

        Args:
            size: Number of bytes of the last read.
        """
        try:
            self._meter.on_read(size)
        except response_limits.LimitError as error:
            self._fail(f"not an answer: {error}")
            return
        if self._unfinished is not None and self._meter.size:
            self._unfinished.record(self, self._service, self._meter.size)
        self.transport.bufferSize = self._meter.next_read_bytes
        if self._turns is not None and self._meter.is_read_costly and not self.is_closed:
            self._turns.wait(self)

    def _is_mismatched(self) -> bool:
        """Return whether the response belongs to another request.

        A response must carry the expected field, whatever its status. Surplus responses of faulty
        servers lack it or carry another value.
        """
        if self._expected_field is None:
            return False
        name, value = self._expected_field
        identities = self._identities(name)
        return not identities or any(text != value for text in identities)

    def _identities(self, name: bytes) -> list[bytes]:
        """Return the values of a field of the response; one that names a single request has one."""
        # Parsers may leave white space behind a value, which is no part of it.
        return [text.strip(b" \t") for field, text in self._fields if field == name]

    def _report_mismatched(self, status: int) -> None:
        assert self._expected_field is not None
        name, expected = self._expected_field
        identities = self._identities(name)
        reason = DiscardReason.OTHER_REQUEST if identities else DiscardReason.NO_IDENTITY
        self.on_discarded(Discarded(reason, status, b", ".join(identities), expected))

    def _update_keep_alive(self, status: int) -> None:
        is_early = self._has_body and status >= 300
        if is_early or self._sent.is_full or not self._parser.should_keep_alive():
            self.is_closed = True
            return
        for name, value in self._fields:
            if name == b"keep-alive":
                self._idle_limit = _idle_limit(value)

    def _response(self) -> Response:
        return Response(self._parser.get_status_code(), self._fields, self._body.getvalue())

    def _deliver(self, response: Response, must_close: bool) -> None:
        self._ends_with_connection = False
        self._idle_since = self._now()
        if must_close or self._has_extra_response or self.is_closed:
            self._finish_and_close(response)
        else:
            self._finish(response)

    def _finish_and_close(self, response: Response) -> None:
        self.is_closed = True
        self._finish(response)
        self.transport.abortConnection()

    def _fail(self, detail: str) -> None:
        """Abort the connection and report that the data received is no valid response."""
        self.is_closed = True
        self._begin_response()
        self._finish(ConnectionFailure(detail, True))
        self._drop()

    def _finish(self, outcome: Response | ConnectionFailure) -> None:
        self._release_body()
        on_done = self._on_done
        self._on_done = None
        if on_done is not None:
            on_done(outcome)

    def _release_body(self) -> None:
        if self._unfinished is not None:
            self._unfinished.release(self, self._service)

    def _drop(self) -> None:
        self.is_closed = True
        if self.transport is not None:
            self.transport.abortConnection()


def _idle_limit(value: bytes) -> float:
    """Return the idle limit in seconds that a Keep-Alive field's timeout allows."""
    for part in value.split(b","):
        name, _, seconds = part.partition(b"=")
        if name.strip().lower() == b"timeout" and seconds.strip().isdigit():
            # `int` refuses a number of thousands of digits; `float` reads any number of them.
            return max(0.0, float(seconds) - KEEP_ALIVE_MARGIN_SECONDS)
    return DEFAULT_KEEP_ALIVE_SECONDS
