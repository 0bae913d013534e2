"""Compresses the frames of a link with a shared DEFLATE window.

Requests on a link repeat their heads and the names of services, so a compressed frame is little
larger than its new content. Each frame ends with a sync flush; the four bytes 00 00 FF FF at the
end of a sync flush are omitted, as in RFC 7692.
"""

from __future__ import annotations

import zlib

from lineworks.wire import _base

COMPRESSION_LEVEL = 4
"""Default compression level; higher levels hardly shrink frames of some hundred bytes further."""

NO_COMPRESSION = 0
"""Compression level that stores data uncompressed; the receiver needs no configuration for it."""

WINDOW_BITS = 13
"""Window size of 8 KB, some tens of frames; a larger window costs more memory for each link."""

MEMORY_LEVEL = 6
"""zlib's memory level for the match search: 64 KB per link with this window."""

_SYNC_FLUSH_TRAILER = b"\x00\x00\xff\xff"


class Deflater:
    """Compressor for the frames sent on a link."""

    def __init__(self, level: int = COMPRESSION_LEVEL) -> None:
        """Initialise with an empty window.

        Args:
            level: zlib compression level.
        """
        self._stream = zlib.compressobj(level, zlib.DEFLATED, -WINDOW_BITS, MEMORY_LEVEL)

    def deflate(self, data: bytes) -> bytes:
        """Compress a frame.

        Args:
            data: The frame.

        Returns:
            The compressed frame. The peer must inflate the frames of a link in the order sent.
        """
        packed = self._stream.compress(data) + self._stream.flush(zlib.Z_SYNC_FLUSH)
        return packed.removesuffix(_SYNC_FLUSH_TRAILER)


class Inflater:
    """Decompressor for the frames received on a link."""

    def __init__(self, limit: int) -> None:
        """Initialise with an empty window.

        Args:
            limit: Maximum size of a decompressed frame in bytes.
        """
        self.limit = limit
        """Maximum size of a decompressed frame in bytes."""
        self._stream = zlib.decompressobj(-WINDOW_BITS)

    def inflate(self, data: bytes) -> bytes:
        """Decompress a frame.

        Args:
            data: A frame compressed by `Deflater.deflate`.

        Returns:
            The frame.

        Raises:
            MalformedFrameError: The data is damaged, or the frame exceeds the limit.
        """
        try:
            frame = self._stream.decompress(data + _SYNC_FLUSH_TRAILER, self.limit)
        except zlib.error as error:
            raise _base.MalformedFrameError(f"invalid compressed data: {error}") from error
        if self._stream.unconsumed_tail:
            raise _base.MalformedFrameError(f"frame exceeds {self.limit} bytes")
        return frame
