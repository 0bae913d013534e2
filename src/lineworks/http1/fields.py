"""Header fields that every HTTP/1.1 hop must know."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
"""Fields that concern only one connection (RFC 9110, section 7.6.1), and those of the framing."""

REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
"""Reason phrases of the statuses that lineworks itself sends."""


def named_in_connection(fields: Iterable[tuple[bytes, bytes]]) -> frozenset[bytes]:
    """List the fields that a message declares to concern only its connection.

    Args:
        fields: Names in lower case, with values.

    Returns:
        Names in lower case.
    """
    names: set[bytes] = set()
    for name, value in fields:
        if name == b"connection":
            names.update(part.strip().lower() for part in value.split(b","))
    return frozenset(names)


def end_to_end(fields: list[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
    """Keep the fields that a proxy passes on.

    Args:
        fields: Names in lower case, with values.

    Returns:
        Those fields, in order.
    """
    dropped = HOP_BY_HOP | named_in_connection(fields)
    return [(name, value) for name, value in fields if name not in dropped]
