"""Compresses the frames of one link with a history that all of them share.

Requests on a link repeat their heads and the names of services, so a frame costs little more than
what is new in it. Each frame ends on a byte boundary; the four bytes that every such end has are
left out, as in RFC 7692.
"""

from __future__ import annotations

import zlib

from lineworks.wire import _base

LEVEL = 4
"""Level of compression: higher ones find hardly more in frames of some hundred bytes."""

STORED = 0
"""Level without compression; the receiving side needs not know."""

WINDOW_BITS = 13
"""History of 8 KB: some tens of frames. Larger ones cost memory for each link."""

MEMORY_LEVEL = 6
"""Memory of the search: 64 KB a link with this history."""

_END = b"\x00\x00\xff\xff"


class Deflater:
    """The sending side of a link."""

    def __init__(self, level: int = LEVEL) -> None:
        """Start without history.

        Args:
            level: Level of compression.
        """
        self._state = zlib.compressobj(level, zlib.DEFLATED, -WINDOW_BITS, MEMORY_LEVEL)

    def deflate(self, data: bytes) -> bytes:
        """Compress a frame.

        Args:
            data: The frame.

        Returns:
            Bytes that only the receiving side of the same link understands, in order.
        """
        packed = self._state.compress(data) + self._state.flush(zlib.Z_SYNC_FLUSH)
        return packed.removesuffix(_END)


class Inflater:
    """The receiving side of a link."""

    def __init__(self, limit: int) -> None:
        """Start without history.

        Args:
            limit: Bytes that a frame may have.
        """
        self._limit = limit
        self._state = zlib.decompressobj(-WINDOW_BITS)

    def inflate(self, data: bytes) -> bytes:
        """Restore a frame.

        Args:
            data: What `Deflater.deflate` made.

        Returns:
            The frame.

        Raises:
            MalformedFrameError: The bytes are damaged, or the frame is too long.
        """
        try:
            found = self._state.decompress(data + _END, self._limit)
        except zlib.error as error:
            raise _base.MalformedFrameError(f"not compressed data: {error}") from error
        if self._state.unconsumed_tail:
            raise _base.MalformedFrameError("the frame is too long")
        return found
