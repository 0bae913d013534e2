"""Sets up the C library's allocator so that the memory of large blocks returns to the system."""

from __future__ import annotations

import ctypes

LARGE_BLOCK_BYTES = 256 * 1024
"""Size in bytes from which a block is mapped on its own, and unmapped when it is freed."""

_M_MMAP_THRESHOLD = -3
"""Parameter of `mallopt` (mallopt(3)); other C libraries than glibc have no such function."""


def return_large_blocks() -> bool:
    """Map each large block on its own.

    By default glibc raises the size from which it does so to that of the largest block freed yet.
    From then on long messages are taken from the heap, which keeps the room between them.

    Returns:
        Whether the C library supports this.
    """
    set_option = getattr(ctypes.CDLL(None), "mallopt", None)
    return set_option is not None and set_option(_M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES) == 1
