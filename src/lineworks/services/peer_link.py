"""One end of a link between two instances: framed, compressed, and proven by a shared secret."""

from __future__ import annotations

import hashlib
import hmac
import os
import struct
from typing import TYPE_CHECKING, Any, Protocol

import structlog
from twisted.protocols import basic

from lineworks.kernel import immediate_write
from lineworks.wire import codec, deflate, frames

if TYPE_CHECKING:
    import collections

_NONCE_BYTES = 16
_log = structlog.get_logger(component="peer_links")


def sign(secret: bytes, nonce: bytes, name: str, hall: str, incarnation: str) -> bytes:
    """Sign a `Hello`.

    Args:
        secret: The shared secret.
        nonce: The other side's challenge.
        name: Name of the signer.
        hall: Its data hall.
        incarnation: Identity of its process.

    Returns:
        HMAC-SHA256.
    """
    text = "\0".join((name, hall, incarnation)).encode()
    return hmac.new(secret, nonce + text, hashlib.sha256).digest()


class LinkOwner(Protocol):
    """What a link needs of the instance that it belongs to."""

    compresses: bool
    """Whether frames that are sent are compressed."""

    counts: collections.Counter[str]
    """Links closed, by reason."""

    @property
    def now(self) -> float:
        """The present, in seconds."""

    def make_hello(self, nonce: bytes) -> frames.Hello:
        """Answer a challenge."""

    def is_authentic(self, hello: frames.Hello, nonce: bytes) -> bool:
        """Check a hello against the challenge that was sent."""

    def on_authenticated(self, link: PeerLink) -> None:
        """Take a proven link into use."""

    def on_frame(self, link: PeerLink, frame: frames.Frame) -> None:
        """Take a frame in."""

    def on_closed(self, link: PeerLink) -> None:
        """Note that a link is gone."""


class PeerLink(basic.Int32StringReceiver):
    """One end of a link."""

    MAX_LENGTH = codec.MAX_FRAME_BYTES
    transport: Any

    def __init__(self, owner: LinkOwner, is_dialler: bool = False) -> None:
        """Make an end that is not connected yet.

        Args:
            owner: The instance's links.
            is_dialler: Whether this end opened the connection.
        """
        self._owner = owner
        self.is_dialler = is_dialler
        self._nonce = os.urandom(_NONCE_BYTES)
        self._deflater = deflate.Deflater(
            deflate.COMPRESSION_LEVEL if owner.compresses else deflate.NO_COMPRESSION
        )
        self._inflater = deflate.Inflater(codec.MAX_FRAME_BYTES)
        self._is_closed = False
        self._last_heartbeat_data = b""
        self._last_heartbeat: frames.Frame | None = None
        self.hello: frames.Hello | None = None
        self.last_received_at = 0.0

    def connectionMade(self) -> None:  # noqa: N802
        """Challenge the other side."""
        self.transport.setTcpNoDelay(True)
        self.last_received_at = self._owner.now
        self.send(frames.Challenge(self._nonce))

    def send(self, frame: frames.Frame) -> None:
        """Send a frame.

        Args:
            frame: The frame.
        """
        self.send_encoded(codec.encode(frame, self._owner.now))

    def send_encoded(self, data: bytes) -> None:
        """Send a frame that is encoded already.

        Args:
            data: What `codec.encode` made of it, just now.
        """
        compressed = self._deflater.deflate(data)
        # At once: what a gatherer does should not wait for the calls that follow its query.
        immediate_write.write(
            self.transport, struct.pack(self.structFormat, len(compressed)) + compressed
        )

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Take in one frame.

        Args:
            string: Its bytes.
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
        """Read a frame; most are heartbeats that say the same as the last one."""
        if self._last_heartbeat is not None and data == self._last_heartbeat_data:
            return self._last_heartbeat
        frame = codec.decode(data, self.last_received_at)
        if isinstance(frame, frames.Heartbeat):
            self._last_heartbeat_data, self._last_heartbeat = data, frame
        return frame

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802
        """Close the link, because a frame is too long.

        Args:
            length: The length announced.
        """
        self.close(f"frame of {length} bytes")

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Tell the links that this one is gone.

        Args:
            reason: Why, by Twisted.
        """
        self._is_closed = True
        self._owner.on_closed(self)

    def close(self, reason: str) -> None:
        """Close the link.

        Args:
            reason: Why; it is logged.
        """
        if self._is_closed:
            return
        self._is_closed = True
        name = self.hello.name if self.hello else None
        _log.warning("link_closed", peer=name, reason=reason)
        self._owner.counts[f"closed:{reason.partition(':')[0]}"] += 1
        self.transport.abortConnection()

    def _on_handshake(self, frame: frames.Frame) -> None:
        if isinstance(frame, frames.Challenge):
            self.send(self._owner.make_hello(frame.nonce))
        elif isinstance(frame, frames.Hello):
            if not self._owner.is_authentic(frame, self._nonce):
                self.close("refused: the signature is wrong")
                return
            self.hello = frame
            self._owner.on_authenticated(self)
        else:
            self.close(f"refused: {type(frame).__name__} before hello")
