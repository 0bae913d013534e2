"""One HTTP/1.1 connection to a target, used for one request at a time.

Twisted's own HTTP client costs about 0.8 ms of processor time for each sub-query; this one hands
Twisted's TCP connection to the parser of the library httptools instead. The measurement is in
docs/design/target-connections.md.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any

import httptools
from twisted.internet import protocol

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

_FORBIDDEN_CHARACTERS = frozenset("\r\n\0")


class UnsafeHeaderError(ValueError):
    """A header's value would break out of its line."""


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A whole response."""

    status: int
    """HTTP status."""

    headers: Mapping[str, str]
    """Headers by name in title case."""

    body: bytes
    """The body."""


def encode_request(
    method: str, path: str, host: str, headers: Mapping[str, str], body: bytes
) -> bytes:
    """Write a request.

    Args:
        method: HTTP method.
        path: Path.
        host: Value of the host header.
        headers: Further headers.
        body: The body.

    Returns:
        The bytes to send.

    Raises:
        UnsafeHeaderError: A value holds a line break.
    """
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"Content-Length: {len(body)}"]
    for name, value in headers.items():
        if not _FORBIDDEN_CHARACTERS.isdisjoint(value):
            raise UnsafeHeaderError(f"{name} holds a line break")
        lines.append(f"{name}: {value}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class TargetConnection(protocol.Protocol):
    """The client's end of a connection.

    It also receives the parser's callbacks, whose names httptools sets.
    """

    transport: Any

    def __init__(self, on_closed: Callable[[TargetConnection], None]) -> None:
        """Make an end that is not connected yet.

        Args:
            on_closed: Called once when the connection is closed.
        """
        self._on_closed = on_closed
        self._on_response: Callable[[Response | None], None] | None = None
        self._parser: Any = None
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []
        self.is_closed = False

    @property
    def is_idle(self) -> bool:
        """Whether a request may be sent."""
        return self._on_response is None and not self.is_closed

    def connectionMade(self) -> None:  # noqa: N802
        """Send small requests at once."""
        self.transport.setTcpNoDelay(True)

    def send(self, data: bytes, on_response: Callable[[Response | None], None]) -> None:
        """Send a request.

        Args:
            data: Its bytes.
            on_response: Called once, with None when the connection broke before the whole
                response had come.
        """
        self._on_response = on_response
        self._parser = httptools.HttpResponseParser(self)
        self._headers = {}
        self._body = []
        self.transport.write(data)

    def close(self) -> None:
        """Close the connection at once."""
        self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Feed the parser.

        Args:
            data: Bytes of a response.
        """
        if self._parser is None:
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.close()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Report that the connection is gone.

        Args:
            reason: Why, by Twisted.
        """
        self.is_closed = True
        self._on_closed(self)
        self._complete(None)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take in a header.

        Args:
            name: Its name.
            value: Its value.
        """
        self._headers[name.decode("latin-1").title()] = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        """Take in a part of the body.

        Args:
            data: The part.
        """
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Hand over the whole response."""
        parser = self._parser
        self._parser = None
        response = Response(parser.get_status_code(), self._headers, b"".join(self._body))
        if not parser.should_keep_alive():
            self.is_closed = True
            self.transport.loseConnection()
        self._complete(response)

    def _complete(self, response: Response | None) -> None:
        on_response = self._on_response
        self._on_response = None
        if on_response is not None:
            on_response(response)
