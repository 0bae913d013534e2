"""One end of a link between two instances: framed, compressed, authenticated by a shared secret."""

from __future__ import annotations

import hashlib
import hmac
import os
import struct
from typing import TYPE_CHECKING, Any, Protocol

import structlog
from twisted.protocols import basic

from lineworks.http1 import drain_notice
from lineworks.kernel import immediate_write
from lineworks.wire import codec, deflate, frames

if TYPE_CHECKING:
    import collections

    from lineworks.http1 import unfinished_bodies

MAX_HANDSHAKE_BYTES = 4096
"""Maximum size of a frame in bytes, compressed or not, until the other end is authenticated."""

SERVICE = "(links)"
"""Stands for a service where another instance sends or reads a frame; no service has this name."""

_NONCE_BYTES = 16
_log = structlog.get_logger(component="peer_links")


def sign(secret: bytes, nonce: bytes, name: str, hall: str, incarnation: str) -> bytes:
    """Compute the signature of a `Hello`.

    Args:
        secret: The shared secret.
        nonce: Nonce of the other end's challenge.
        name: Name of the signing instance.
        hall: Its data hall.
        incarnation: ID of its process.

    Returns:
        The HMAC-SHA256 of the nonce, the name, the hall and the incarnation.
    """
    text = "\0".join((name, hall, incarnation)).encode()
    return hmac.new(secret, nonce + text, hashlib.sha256).digest()


class LinkOwner(Protocol):
    """Interface that a link requires of its owner."""

    compresses: bool
    """Whether sent frames are compressed."""

    counts: collections.Counter[str]
    """Number of links closed, by reason."""

    unfinished: unfinished_bodies.UnfinishedBodies
    """Limits what links hold of unfinished frames, together with others of the process."""

    @property
    def now(self) -> float:
        """The current time, in seconds."""

    def make_hello(self, nonce: bytes) -> frames.Hello:
        """Create the signed hello that answers a challenge."""

    def is_authentic(self, hello: frames.Hello, nonce: bytes) -> bool:
        """Verify a hello against the challenge that was sent."""

    def on_authenticated(self, link: PeerLink) -> None:
        """Register an authenticated link."""

    def on_frame(self, link: PeerLink, frame: frames.Frame) -> None:
        """Process a frame that arrived on an authenticated link."""

    def on_closed(self, link: PeerLink) -> None:
        """Process the end of a link's connection."""


class PeerLink(basic.Int32StringReceiver):
    """One end of a link; a Twisted protocol of frames with a length prefix."""

    MAX_LENGTH = MAX_HANDSHAKE_BYTES
    transport: Any

    def __init__(self, owner: LinkOwner, is_dialler: bool = False) -> None:
        """Initialise without a connection.

        Args:
            owner: Owner of the link.
            is_dialler: Whether this end opened the connection.
        """
        self._owner = owner
        self.is_dialler = is_dialler
        """Whether this end opened the connection."""
        self._nonce = os.urandom(_NONCE_BYTES)
        self._deflater = deflate.Deflater(
            deflate.COMPRESSION_LEVEL if owner.compresses else deflate.NO_COMPRESSION
        )
        self._inflater = deflate.Inflater(MAX_HANDSHAKE_BYTES)
        self._is_closed = False
        self._unsent_bytes = 0
        self._is_recorded = False
        self._last_heartbeat_data = b""
        self._last_heartbeat: frames.Frame | None = None
        self.hello: frames.Hello | None = None
        """Verified hello of the other end; None until the link is authenticated."""
        self.last_received_at = 0.0
        """Time of connection or of the last received frame, in seconds."""

    def connectionMade(self) -> None:  # noqa: N802
        """Send the challenge."""
        self.transport.setTcpNoDelay(True)
        self.last_received_at = self._owner.now
        self.send(frames.Challenge(self._nonce))

    def send(self, frame: frames.Frame) -> None:
        """Send a frame.

        Args:
            frame: The frame to send.
        """
        self.send_encoded(codec.encode(frame, self._owner.now))

    def send_encoded(self, data: bytes) -> None:
        """Send a frame that is already encoded.

        Args:
            data: Result of `codec.encode`, called just now, because frames carry remaining times.
        """
        compressed = self._deflater.deflate(data)
        # Written immediately, so that a gatherer need not wait until the current reactor iteration,
        # which may have many more calls to make, has ended.
        prefix = struct.pack(self.structFormat, len(compressed))
        is_sent = immediate_write.write(self.transport, prefix + compressed)
        if not is_sent and not self._is_closed:
            self._on_unsent()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Process received data, and count what is left of an unfinished frame.

        Args:
            data: Data received.
        """
        super().dataReceived(data)
        if self._unprocessed or self._is_recorded:
            self._record_unfinished()

    def on_too_much_unfinished(self) -> None:
        """Close the link, because the process holds too much of unfinished messages."""
        self.close("too much unfinished")

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Process one received frame.

        Args:
            string: The compressed frame, without its length prefix.
        """
        if self._is_closed:
            return
        self.last_received_at = self._owner.now
        try:
            frame = self._decode(self._inflater.inflate(string))
        except codec.MalformedFrameError as error:
            self.close(f"malformed frame: {error}")
            return
        if self.hello is None:
            self._on_handshake(frame)
        else:
            self._owner.on_frame(self, frame)

    def _decode(self, data: bytes) -> frames.Frame:
        """Decode a frame; a heartbeat identical to the previous one, as most are, is reused."""
        if self._last_heartbeat is not None and data == self._last_heartbeat_data:
            return self._last_heartbeat
        frame = codec.decode(data, self.last_received_at)
        if isinstance(frame, frames.Heartbeat):
            self._last_heartbeat_data, self._last_heartbeat = data, frame
        return frame

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802
        """Close the link because a frame exceeds `MAX_LENGTH`.

        Args:
            length: Length in bytes given in the frame's prefix.
        """
        self.close(f"frame of {length} bytes")

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Notify the owner that the connection is closed.

        Args:
            reason: Reason reported by Twisted.
        """
        self._is_closed = True
        self._record_unfinished()
        self._owner.on_closed(self)

    def close(self, reason: str) -> None:
        """Close the link.

        Args:
            reason: Reason for the log; the part before the first colon is counted in `counts`.
        """
        if self._is_closed:
            return
        self._is_closed = True
        name = self.hello.name if self.hello else None
        _log.warning("link_closed", peer=name, reason=reason)
        self._owner.counts[f"closed:{reason.partition(':')[0]}"] += 1
        self._record_unfinished()
        self.transport.abortConnection()

    def _on_unsent(self) -> None:
        """Count what the other end has not taken yet of this frame and those before it."""
        is_first = not self._unsent_bytes
        self._unsent_bytes = drain_notice.unsent_bytes(self.transport)
        self._record_unfinished()
        if is_first and not self._is_closed:
            drain_notice.DrainNotice(self.transport, self._on_drained)

    def _on_drained(self) -> None:
        self._unsent_bytes = 0
        self._record_unfinished()

    def _record_unfinished(self) -> None:
        """Count what the link holds towards the limit of the process."""
        size = 0 if self._is_closed else self._unsent_bytes + len(self._unprocessed)
        if size:
            self._is_recorded = True
            self._owner.unfinished.record(self, SERVICE, size)
        elif self._is_recorded:
            self._is_recorded = False
            self._owner.unfinished.release(self, SERVICE)

    def _on_handshake(self, frame: frames.Frame) -> None:
        if isinstance(frame, frames.Challenge):
            self.send(self._owner.make_hello(frame.nonce))
        elif isinstance(frame, frames.Hello):
            if not self._owner.is_authentic(frame, self._nonce):
                self.close("refused: the signature is wrong")
                return
            self.hello = frame
            self.MAX_LENGTH = self._inflater.limit = codec.MAX_FRAME_BYTES
            self._owner.on_authenticated(self)
        else:
            self.close(f"refused: {type(frame).__name__} before hello")
