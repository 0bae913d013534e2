"""The identities of the requests that were sent over one connection.

A server may send the response to a request a second time, at any later moment. Such a response
can't be told from the response to another request of the same identity, so a connection must carry
each identity once at most. The identities are kept in a Bloom filter (Bloom, 1970), which never
forgets one and takes the same memory for any number of them. It may take an unknown identity for a
known one, which costs another connection and nothing else.
"""

from __future__ import annotations

import xxhash

MAX_REQUESTS = 512
"""Maximum number of requests over one connection; a fuller filter reports too many unknown
identities as known: it is wrong for 0.5% of them at this number."""

_FILTER_BITS = 8192
_POSITION_BITS = 13
_POSITIONS = 3


class SentIdentities:
    """Remembers the identities of requests."""

    def __init__(self) -> None:
        """Start without an identity."""
        self._filter = 0
        self._count = 0

    @property
    def is_full(self) -> bool:
        """Whether no further request may be sent."""
        return self._count >= MAX_REQUESTS

    def add(self, identity: bytes) -> None:
        """Remember an identity.

        Args:
            identity: Identity of a request that is sent.
        """
        self._filter |= _mask(identity)
        self._count += 1

    def allows(self, identity: bytes) -> bool:
        """Return whether a request of an identity may be sent over the connection.

        Args:
            identity: The identity.

        Returns:
            True only if no request of this identity was sent, and the filter isn't full.
        """
        if self.is_full:
            return False
        mask = _mask(identity)
        return self._filter & mask != mask


def _mask(identity: bytes) -> int:
    """Return an integer with the bits set that stand for an identity."""
    digest: int = xxhash.xxh3_64_intdigest(identity)
    mask = 0
    for _ in range(_POSITIONS):
        mask |= 1 << (digest % _FILTER_BITS)
        digest >>= _POSITION_BITS
    return mask
