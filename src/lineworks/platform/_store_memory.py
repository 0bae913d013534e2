"""How much memory the answers of the platform's store may take."""

from __future__ import annotations

MEMORY_FRACTION = 0.0625
"""Fraction of the memory of the process that an answer may take when decoded, and that the rows of
all pages of a listing may take. An answer exists up to four times: as bytes, as text, as a
document, and as values."""

DEFAULT_MAX_BYTES = 32 * 1024 * 1024
"""Maximum number of bytes if the memory of the process is not known."""

ELEMENT_BYTES = 128
"""Memory that an element of a JSON document takes besides its text, in bytes."""

ROW_BYTES = 192
"""Memory that a row of a listing takes besides its text once its page is decoded, in bytes."""


def limit_for(memory_bytes: int) -> int:
    """Return the maximum memory of an answer when decoded.

    Args:
        memory_bytes: Memory that the process may use, in bytes; 0 if not known.

    Returns:
        The maximum in bytes.
    """
    return int(memory_bytes * MEMORY_FRACTION) if memory_bytes else DEFAULT_MAX_BYTES


def estimate(data: bytes) -> int:
    """Estimate the memory of a JSON document when decoded.

    Args:
        data: The encoded document.

    Returns:
        Its length, and more for each list, table and comma.
    """
    elements = data.count(b",") + data.count(b"[") + data.count(b"{")
    return len(data) + ELEMENT_BYTES * elements


def estimate_kept(size: int, rows: int) -> int:
    """Estimate the memory of the rows of a page, whose document is freed.

    Args:
        size: Length of the encoded page in bytes.
        rows: Number of its rows.

    Returns:
        The length, and more for each row.
    """
    return size + ROW_BYTES * rows
