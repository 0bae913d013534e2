"""A caller's connection before the event loop runs."""

from __future__ import annotations

import dataclasses
import errno
import socket
import time

MAX_BUFFERED_BYTES = 65536
"""Maximum number of bytes read from a connection; the rest stays in its socket buffer."""

_HEAD_END = b"\r\n\r\n"

_REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\n"
    b"Retry-After: %b\r\n"
    b"Connection: close\r\n"
    b"Content-Length: 0\r\n\r\n"
)
"""Response to a request that was not run; the placeholder takes the seconds until a retry."""


@dataclasses.dataclass(slots=True, eq=False)
class EarlyConnection:
    """A connection accepted before the event loop runs."""

    socket: socket.socket
    """Its socket, in non-blocking mode."""

    opened_at: float
    """When it was accepted, in seconds on the clock of `now`."""

    data: bytes = b""
    """Bytes received so far."""

    refuse_at: float = float("inf")
    """When its request is refused, in seconds on the clock of `now`."""

    is_refused: bool = False
    """Whether its request was refused."""

    is_ended: bool = False
    """Whether the peer has closed its end, or the connection is broken."""

    @property
    def has_head(self) -> bool:
        """Whether the head of a request has arrived."""
        return _HEAD_END in self.data

    @property
    def is_full(self) -> bool:
        """Whether no more bytes are read from it."""
        return len(self.data) >= MAX_BUFFERED_BYTES

    def read(self) -> None:
        """Read what has arrived, up to `MAX_BUFFERED_BYTES` in all."""
        self.data += self._receive(MAX_BUFFERED_BYTES - len(self.data))

    def discard(self) -> None:
        """Read and drop what has arrived: a close with unread data would reset the connection."""
        self._receive(MAX_BUFFERED_BYTES)

    def refuse(self, retry_after: bytes) -> None:
        """Refuse the request as not run, and send nothing more.

        Args:
            retry_after: Seconds until a retry.

        Raises:
            OSError: The connection is broken.
        """
        self.is_refused = True
        self.socket.send(_REFUSAL % retry_after)
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError as error:
            if error.errno != errno.ENOTCONN:
                raise
            # The peer has closed the connection, as many do as soon as they have the response.
            self.is_ended = True

    def _receive(self, size: int) -> bytes:
        try:
            data = self.socket.recv(size)
        except BlockingIOError:
            return b""
        except OSError:
            # The peer reset the connection; whoever takes it over detects that itself.
            data = b""
        self.is_ended = not data
        return data


def now() -> float:
    """Return the current time in seconds, on the clock of `steady_reactor`."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def accept(listening_socket: socket.socket) -> EarlyConnection | None:
    """Accept a connection.

    Args:
        listening_socket: The listening socket, in non-blocking mode.

    Returns:
        The connection, or None if none waits.

    Raises:
        OSError: The system can accept no connection.
    """
    try:
        accepted, _ = listening_socket.accept()
    except BlockingIOError:
        # The peer disconnected before its connection was accepted.
        return None
    accepted.setblocking(False)
    return EarlyConnection(accepted, now())
