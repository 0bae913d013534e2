"""Limits on what a client takes in of the responses to one request.

A faulty server may send without end, as fast as the network allows, until the request's deadline.
The limits hold for everything that arrives for a request, so its memory and its processor time
depend neither on the server nor on the time that the request has left.
"""

from __future__ import annotations

MAX_BODY_BYTES = 16 * 1024 * 1024
"""Maximum size of a response body, in bytes."""

MAX_LENGTH_DIGITS = len(str(MAX_BODY_BYTES))
"""Maximum number of digits of a body's length."""

MAX_HEAD_BYTES = 128 * 1024
"""Maximum size in bytes of all that isn't a body, chunk framing in proportion to a body excepted:
twice what the answer to a search over 820 shards needs."""

MAX_FIELDS = 1024
"""Maximum number of header fields and trailer fields. A short field takes far more memory and
processor time than its bytes suggest."""

MAX_INTERIM_RESPONSES = 64
"""Maximum number of 1xx responses."""

MAX_DISCARDED_RESPONSES = 8
"""Maximum number of responses to other requests; a faulty server repeats a response once or
twice."""

MAX_BODY_PIECES = 1024 * 1024
"""Maximum number of pieces, chunks for example, in which bodies arrive: 16 bytes each for the
longest body. Each piece costs the same processor time, however small it is."""

MAX_READ_PIECES = 1024
"""Number of pieces of bodies in one read above which a connection takes turns with others; chunks
of more than 11 bytes stay below it."""

FRAMING_BYTES_PER_BODY_BYTE = 8
"""Bytes of chunk framing allowed for each byte of the body; a chunk of one byte needs five."""

FIRST_READ_BYTES = 16 * 1024
"""Maximum number of bytes that the first read of a connection takes, and each read while the data
is costly to parse: it bounds the time for which all other connections wait."""

READ_BYTES = 64 * 1024
"""Maximum number of bytes that any other read takes; Twisted's default."""


class LimitError(Exception):
    """The responses to a request exceed a limit; the message says which."""


class ResponseMeter:
    """Holds the responses to one request against the limits."""

    size: int = 0
    """Bytes received of the body of the current response."""

    is_read_costly: bool = False
    """Whether the last read held so many pieces that it took much processor time."""

    # Defaults in the class: one is made for each request, and most answers change two of them.
    _received_bytes = 0
    _bytes_since_body = 0
    _body_bytes_at_last_read = 0
    _pieces = 0
    _pieces_at_last_read = 0
    _fields = 0
    _interim = 0
    _discarded = 0
    _discarded_bytes = 0

    @property
    def next_read_bytes(self) -> int:
        """Maximum number of bytes that the next read should take."""
        return FIRST_READ_BYTES if self.is_read_costly else READ_BYTES

    def on_fields(self, count: int) -> None:
        """Count header fields and trailer fields.

        Args:
            count: Number of fields.

        Raises:
            LimitError: There are too many.
        """
        self._fields += count
        if self._fields > MAX_FIELDS:
            raise LimitError(f"more than {MAX_FIELDS} header fields")

    def on_length(self, value: bytes) -> None:
        """Check the length that a response states for its body, before any of it arrives.

        Args:
            value: Value of the Content-Length field; the parser accepts digits only.

        Raises:
            LimitError: The body is too long.
        """
        if len(value) < MAX_LENGTH_DIGITS:
            return
        digits = value.strip().lstrip(b"0")
        if len(digits) > MAX_LENGTH_DIGITS or int(digits or b"0") > MAX_BODY_BYTES:
            raise LimitError(f"a body of more than {MAX_BODY_BYTES} bytes")

    def on_body(self, size: int) -> None:
        """Count a piece of the body of the current response.

        Args:
            size: Its size in bytes.

        Raises:
            LimitError: The body is too long, or there are too many pieces.
        """
        self.size += size
        self._pieces += 1
        if self.size > MAX_BODY_BYTES:
            raise LimitError(f"a body of more than {MAX_BODY_BYTES} bytes")
        if self._pieces > MAX_BODY_PIECES:
            raise LimitError(f"a body in more than {MAX_BODY_PIECES} pieces")

    def on_interim(self) -> None:
        """Count a 1xx response, after which another response begins.

        Raises:
            LimitError: There are too many.
        """
        self._interim += 1
        if self._interim > MAX_INTERIM_RESPONSES:
            raise LimitError(f"more than {MAX_INTERIM_RESPONSES} interim responses")

    def on_discarded(self) -> None:
        """Count a response to another request, after which another response begins.

        Raises:
            LimitError: There are too many, or their bodies are too long together.
        """
        self._discarded += 1
        self._discarded_bytes += self.size
        self.size = 0
        if self._discarded > MAX_DISCARDED_RESPONSES:
            raise LimitError(f"more than {MAX_DISCARDED_RESPONSES} responses to other requests")
        if self._discarded_bytes > MAX_BODY_BYTES:
            raise LimitError(f"over {MAX_BODY_BYTES} bytes in bodies of other responses")

    def on_read(self, size: int) -> None:
        """Count the bytes of a read after which the response is still incomplete.

        Args:
            size: Number of bytes, of bodies and of all else.

        Raises:
            LimitError: A head, the chunk framing or the trailers are too long.
        """
        self._received_bytes += size
        self.is_read_costly = self._pieces - self._pieces_at_last_read > MAX_READ_PIECES
        self._pieces_at_last_read = self._pieces
        body_bytes = self._discarded_bytes + self.size
        has_body = body_bytes > self._body_bytes_at_last_read
        self._body_bytes_at_last_read = body_bytes
        self._bytes_since_body = 0 if has_body else self._bytes_since_body + size
        if self._bytes_since_body > MAX_HEAD_BYTES:
            raise LimitError(f"more than {MAX_HEAD_BYTES} bytes of heads, framing or trailers")
        framing = self._received_bytes - body_bytes
        if framing > MAX_HEAD_BYTES + FRAMING_BYTES_PER_BODY_BYTE * body_bytes:
            raise LimitError(f"{framing} bytes of heads and framing for {body_bytes} of bodies")


def describe(error: Exception) -> str:
    """Return the reason for which the parser stopped, for the logs.

    Args:
        error: The parser's error; if a callback raised a `LimitError`, that is its context.

    Returns:
        The exceeded limit, or what is invalid in the response.
    """
    cause = error.__context__
    if isinstance(cause, LimitError):
        return f"not an answer: {cause}"
    if cause is not None:
        # The exception that a callback raised.
        return f"not an answer: {error}: {cause!r}"
    return f"not an answer: {error}"
