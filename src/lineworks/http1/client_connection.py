"""The client's end of an HTTP/1.1 connection, used for one request at a time.

The connection is suspicious by design, because its server may be faulty: bytes that nobody asked
for close it, an answer to another request is dropped and ends its reuse, and an answer without a
length is whole only when the server closes the connection in order.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any

import httptools
from twisted.internet import error as net_error
from twisted.internet import protocol

from lineworks.kernel import immediate_write

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

MAX_BODY = 16 * 1024 * 1024
"""Bytes of an answer's body at most; a longer one is broken off."""

DEFAULT_IDLE = 4.0
"""Seconds that a connection is kept for reuse when its server does not say how long it waits."""

IDLE_MARGIN = 1.0
"""Seconds before the server's own limit at which a connection is given up."""

_FRAMING = frozenset((b"content-length", b"transfer-encoding"))


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A whole answer."""

    status: int
    """HTTP status."""

    fields: list[tuple[bytes, bytes]]
    """Header fields in order, names in lower case."""

    body: bytes
    """The body."""

    headers: Mapping[bytes, bytes] = dataclasses.field(init=False, repr=False, compare=False)
    """The fields by name; of fields with the same name the last."""

    def __post_init__(self) -> None:
        """Sort the fields by name once: several readers look for theirs."""
        object.__setattr__(self, "headers", dict(self.fields))


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionFailure:
    """The connection ended without a whole answer."""

    detail: str
    """What happened, for logs."""

    saw_bytes: bool
    """Whether any byte of an answer came."""

    is_closed: bool = False
    """Whether the connection ended; otherwise its bytes were no answer."""

    @property
    def is_unanswered(self) -> bool:
        """Whether the connection ended before any byte of an answer came."""
        return self.is_closed and not self.saw_bytes


class ClientConnection(protocol.Protocol):
    """One connection. It also receives the parser's callbacks, whose names httptools sets."""

    transport: Any

    def __init__(
        self, now: Callable[[], float], on_closed: Callable[[ClientConnection], None]
    ) -> None:
        """Make an end that is not connected yet.

        Args:
            now: Tells the present, in seconds.
            on_closed: Called once when the connection is closed.
        """
        self._now = now
        self._on_closed = on_closed
        self._on_end: Callable[[Response | ConnectionFailure], None] | None = None
        self._expect: tuple[bytes, bytes] | None = None
        self._parser: Any = None
        self._fields: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._size = 0
        self._ends_with_connection = False
        self._is_tainted = False
        self._has_body = False
        self._whole: Response | None = None
        self._idle_limit = DEFAULT_IDLE
        self._idle_since = 0.0
        self.is_closed = False
        """Whether no request may be sent any more."""

    def is_reusable(self, now: float, share: float = 1.0) -> bool:
        """Say whether the server certainly still waits for a request.

        Args:
            now: The present, in seconds.
            share: Part of the server's idle time that may have passed.

        Returns:
            Whether the connection may be used.
        """
        if self.is_closed or self._on_end is not None:
            return False
        return now - self._idle_since < self._idle_limit * share

    def connectionMade(self) -> None:  # noqa: N802
        """Send small requests at once."""
        self.transport.setTcpNoDelay(True)
        self._idle_since = self._now()

    def send(
        self,
        data: bytes,
        has_body: bool,
        on_end: Callable[[Response | ConnectionFailure], None],
        expect: tuple[bytes, bytes] | None = None,
    ) -> None:
        """Send a request.

        Args:
            data: Its bytes.
            has_body: Whether it has a body; a failure answered before the whole body was read
                leaves the connection unusable.
            on_end: Called once, unless the connection is aborted first.
            expect: A header with its value that the answer must carry if it has that header.
        """
        self._on_end = on_end
        self._expect = expect
        self._has_body = has_body
        self._begin()
        immediate_write.write(self.transport, data)

    def abort(self) -> None:
        """Close at once and report nothing."""
        self._on_end = None
        self._drop()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Feed the parser.

        Args:
            data: Bytes from the server.
        """
        if self._on_end is None:
            # Bytes that nobody asked for: a late or a second answer.
            self._drop()
            return
        problem = ""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            problem = f"not an answer: {error}"
        whole = self._whole
        self._whole = None
        if whole is not None:
            self._deliver(whole, must_close=bool(problem))
        elif problem:
            self._finish(ConnectionFailure(problem, True))
            self._drop()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Report the end.

        Args:
            reason: Why, by Twisted.
        """
        self.is_closed = True
        is_clean = reason is not None and reason.check(net_error.ConnectionDone)
        if self._ends_with_connection and is_clean and not self._is_foreign():
            self._finish(self._response())
        else:
            detail = "closed by the server" if is_clean else "connection lost"
            self._finish(
                ConnectionFailure(detail, bool(self._fields or self._body), is_closed=True)
            )
        self._parser = None
        self._on_closed(self)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take in a header."""
        self._fields.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Note how the body is framed."""
        status = self._parser.get_status_code()
        is_framed = any(name in _FRAMING for name, _ in self._fields)
        self._ends_with_connection = not is_framed and status >= 200 and status not in (204, 304)

    def on_body(self, data: bytes) -> None:
        """Take in a piece of the body."""
        self._size += len(data)
        if self._size > MAX_BODY:
            raise ValueError("the body is too long")
        self._body.append(data)

    def on_message_begin(self) -> None:
        """Notice the start of a second answer behind a whole one."""
        if self._whole is not None:
            self._is_tainted = True
            # The whole answer keeps the lists that it was read into.
            self._begin_next()

    def on_message_complete(self) -> None:
        """Keep the answer until the parser has seen all bytes that came with it."""
        if self._whole is not None or self._on_end is None:
            return
        status = self._parser.get_status_code()
        if status < 200:
            self._begin_next()
            return
        if self._is_foreign():
            # An answer to an earlier request; the one that is due may follow.
            self._is_tainted = True
            self._begin_next()
            return
        self._note_reuse(status)
        self._whole = self._response()

    def _begin(self) -> None:
        # One parser reads all answers: what comes between two of them closes the connection.
        if self._parser is None:
            self._parser = httptools.HttpResponseParser(self)
        self._whole = None
        self._begin_next()

    def _begin_next(self) -> None:
        self._fields = []
        self._body = []
        self._size = 0
        self._ends_with_connection = False

    def _is_foreign(self) -> bool:
        """Say whether the answer belongs to another request.

        An answer must carry what is expected: surplus answers of faulty servers do not, or carry
        another value. Only a refusal of the request itself (4xx) may leave it out, since a server
        may not have read that far.
        """
        if self._expect is None:
            return False
        name, value = self._expect
        is_found = False
        for field, text in self._fields:
            if field == name:
                is_found = True
                if text != value:
                    return True
        return not is_found and not 400 <= self._parser.get_status_code() < 500

    def _note_reuse(self, status: int) -> None:
        is_early = self._has_body and status >= 300
        if is_early or not self._parser.should_keep_alive():
            self.is_closed = True
            return
        for name, value in self._fields:
            if name == b"keep-alive":
                self._idle_limit = _idle_limit(value)

    def _response(self) -> Response:
        return Response(self._parser.get_status_code(), self._fields, b"".join(self._body))

    def _deliver(self, response: Response, must_close: bool) -> None:
        self._ends_with_connection = False
        self._idle_since = self._now()
        if must_close or self._is_tainted or self.is_closed:
            self._on_end_then_drop(response)
        else:
            self._finish(response)

    def _on_end_then_drop(self, response: Response) -> None:
        self.is_closed = True
        self._finish(response)
        self.transport.abortConnection()

    def _finish(self, end: Response | ConnectionFailure) -> None:
        on_end = self._on_end
        self._on_end = None
        if on_end is not None:
            on_end(end)

    def _drop(self) -> None:
        self.is_closed = True
        if self.transport is not None:
            self.transport.abortConnection()


def _idle_limit(value: bytes) -> float:
    """Read the server's idle time from a Keep-Alive field."""
    for part in value.split(b","):
        name, _, seconds = part.partition(b"=")
        if name.strip().lower() == b"timeout" and seconds.strip().isdigit():
            return max(0.0, int(seconds) - IDLE_MARGIN)
    return DEFAULT_IDLE
