"""One HTTP/1.1 connection to a target, used for one request at a time.

Each request carries a number that is unique on its connection, and the target repeats it in its
response. A faulty or late target may send a response twice; the number tells which request each
belongs to, also where two requests are the same.

Twisted's own HTTP client takes about 0.8 ms of processor time for each sub-query. This client
therefore combines Twisted's TCP connection with the response parser of httptools; see
docs/design/target-connections.md.
"""

from __future__ import annotations

import dataclasses
import io
from typing import TYPE_CHECKING, Any

import httptools
from twisted.internet import protocol

from lineworks.http1 import response_limits
from lineworks.models import target_http

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from lineworks.http1 import reading_turns, unfinished_bodies

_FORBIDDEN_CHARACTERS = frozenset("\r\n\0")


class UnsafeHeaderError(ValueError):
    """A header value contains a line break or NUL and could inject further headers."""


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete response."""

    status: int
    """HTTP status code."""

    headers: Mapping[str, str]
    """Headers by name in title case."""

    body: bytes
    """Body of the response."""


def encode_request(
    method: str, path: str, host: str, headers: Mapping[str, str], body: bytes
) -> bytes:
    """Encode a request.

    Args:
        method: HTTP method.
        path: Path of the request.
        host: Value of the Host header.
        headers: Additional headers.
        body: Body of the request.

    Returns:
        The bytes to send.

    Raises:
        UnsafeHeaderError: A value contains a line break or NUL.
    """
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"Content-Length: {len(body)}"]
    for name, value in headers.items():
        if not _FORBIDDEN_CHARACTERS.isdisjoint(value):
            raise UnsafeHeaderError(f"{name} holds a line break")
        lines.append(f"{name}: {value}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class TargetConnection(protocol.Protocol):
    """The client end of a connection.

    It also implements the parser's callbacks, whose names are defined by httptools.
    """

    transport: Any

    def __init__(
        self,
        on_closed: Callable[[TargetConnection], None],
        unfinished: unfinished_bodies.UnfinishedBodies,
        turns: reading_turns.ReadingTurns,
        target: str = "",
        on_discarded: Callable[[int], None] = lambda status: None,
    ) -> None:
        """Initialise without a connection.

        Args:
            on_closed: Called once with this object when the connection is closed.
            unfinished: Limits the bodies that all connections of the process are receiving.
            turns: Turns of the connections whose data takes much processor time.
            target: Name of the target, for the limit on bodies.
            on_discarded: Called with the status of each response that belongs to no pending
                request.
        """
        self._on_closed = on_closed
        self._on_discarded = on_discarded
        self._unfinished = unfinished
        self._turns = turns
        self._target = target
        self._failure = ""
        self._on_response: Callable[[Response | None], None] | None = None
        self._parser: Any = None
        self._headers: dict[str, str] = {}
        self._body = io.BytesIO()
        self._meter = response_limits.ResponseMeter()
        self._response: Response | None = None
        self._number = 0
        self._is_head_complete = False
        self._must_close = False
        self.is_closed = False

    @property
    def failure(self) -> str:
        """Why the response was invalid; empty if it was not."""
        return self._failure

    @property
    def is_idle(self) -> bool:
        """Whether the connection is open and has no request in progress."""
        return self._on_response is None and not self.is_closed

    def connectionMade(self) -> None:  # noqa: N802
        """Disable Nagle's algorithm, so that small requests are sent without delay."""
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = response_limits.FIRST_READ_BYTES

    def send(self, data: bytes, on_response: Callable[[Response | None], None]) -> None:
        """Send a request.

        Args:
            data: The encoded request; the number of the exchange is added to it.
            on_response: Called once with the response, or with None if the connection closed before
                the response was complete.
        """
        self._on_response = on_response
        self._number += 1
        self._must_close = False
        self._parser = httptools.HttpResponseParser(self)
        self._meter = response_limits.ResponseMeter()
        self._begin_response()
        first, _, rest = data.partition(b"\r\n")
        number = f"{target_http.EXCHANGE}: {self._number}".encode()
        self.transport.write(b"\r\n".join((first, number, rest)))

    def close(self) -> None:
        """Close the connection immediately, discarding unsent data."""
        self.is_closed = True
        self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass received bytes to the parser; unexpected or invalid ones close the connection.

        Args:
            data: The received bytes.
        """
        if self._parser is None:
            self.close()
            return
        problem = ""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            problem = response_limits.describe(error)
        # Delivered only now: the next request may be sent at once, and the data received must not
        # be taken for its response.
        response, self._response = self._response, None
        if response is not None:
            self._deliver(response, is_reusable=not problem)
        elif problem:
            self._fail(problem)
        else:
            self._on_incomplete(len(data))

    def on_too_much_unfinished(self) -> None:
        """End the request, because the unfinished bodies of the process are too long together."""
        self._fail(f"a body of over {self._meter.size} bytes, while the process receives too many")

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Report that the connection is closed.

        Args:
            reason: Reason reported by Twisted.
        """
        self.is_closed = True
        self._parser = None
        self._on_closed(self)
        self._complete(None)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header of the response; a trailer field is only counted, and decides nothing.

        Args:
            name: Name of the header.
            value: Value of the header.
        """
        self._meter.on_fields(1)
        if self._is_head_complete:
            return
        self._headers[name.decode("latin-1").title()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Mark the end of the head: fields that follow are trailer fields."""
        self._is_head_complete = True

    def on_body(self, data: bytes) -> None:
        """Append a part of the body.

        Args:
            data: The part received.
        """
        self._meter.on_body(len(data))
        self._body.write(data)

    def on_message_begin(self) -> None:
        """Stop parsing at a second response that follows a complete one."""
        if self._response is not None:
            raise response_limits.LimitError("a second response")

    def on_message_complete(self) -> None:
        """Hold the response back until the parser has processed all data received with it."""
        status = self._parser.get_status_code()
        if status < 200:
            self._meter.on_interim()
            self._begin_response()
            return
        if self._headers.get(target_http.EXCHANGE) != str(self._number):
            # It belongs to no request, or to an earlier one; the expected one may follow.
            self._meter.on_discarded()
            self._on_discarded(status)
            self._must_close = True
            self._begin_response()
            return
        self._must_close = self._must_close or not self._parser.should_keep_alive()
        self._response = Response(status, self._headers, self._body.getvalue())
        self._begin_response()

    def _deliver(self, response: Response, is_reusable: bool) -> None:
        """Deliver the complete response, and close the connection unless it can be reused."""
        self._parser = None
        self.is_closed = self._must_close or not is_reusable
        self._complete(response)
        if self.is_closed:
            self.close()

    def _begin_response(self) -> None:
        self._headers = {}
        self._body = io.BytesIO()
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
        if self._meter.size:
            self._unfinished.record(self, self._target, self._meter.size)
        self.transport.bufferSize = self._meter.next_read_bytes
        if self._meter.is_read_costly and not self.is_closed:
            self._turns.wait(self)

    def _fail(self, detail: str) -> None:
        """Close the connection because of an invalid response."""
        self._failure = detail
        self._parser = None
        self._begin_response()
        self.close()

    def _complete(self, response: Response | None) -> None:
        self._unfinished.release(self, self._target)
        on_response = self._on_response
        self._on_response = None
        if on_response is not None:
            on_response(response)
