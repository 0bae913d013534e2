"""Header fields that every HTTP/1.1 intermediary has to handle."""

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
"""Hop-by-hop fields (RFC 9110, section 7.6.1) and fields that frame the message."""

REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
"""Reason phrases of the status codes that lineworks itself sends."""


def connection_options(fields: Iterable[tuple[bytes, bytes]]) -> frozenset[bytes]:
    """Return the connection options, the fields that a message declares as hop-by-hop.

    Args:
        fields: Header fields as pairs of lower-case name and value.

    Returns:
        Field names in lower case.
    """
    names: set[bytes] = set()
    for name, value in fields:
        if name == b"connection":
            names.update(part.strip().lower() for part in value.split(b","))
    return frozenset(names)


def end_to_end(fields: list[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
    """Return the fields that a proxy forwards.

    Args:
        fields: Header fields as pairs of lower-case name and value.

    Returns:
        The end-to-end fields, in order.
    """
    dropped = HOP_BY_HOP | connection_options(fields)
    return [(name, value) for name, value in fields if name not in dropped]
