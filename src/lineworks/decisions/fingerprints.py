"""Fingerprints of requests, which show whether two requests ask for the same.

Request IDs cannot show this: a caller that retries sends a new ID with each attempt.
"""

from __future__ import annotations

import hashlib

FINGERPRINT_BYTES = 12
"""Length of a fingerprint in bytes. The probability that any two of a million requests collide is
about 1 in 10^17."""


def fingerprint(method: bytes, host: bytes, path: bytes, caller: bytes, body: bytes) -> str:
    """Compute the fingerprint of a request.

    Args:
        method: The HTTP method.
        host: The requested host.
        path: The path, including the query string.
        caller: The caller's credentials; empty if the request has none.
        body: The request body.

    Returns:
        Hexadecimal digits, equal for requests that ask for the same.
    """
    # The lengths make the concatenation unambiguous.
    lengths = b"%d:%d:%d:%d:" % (len(method), len(host), len(path), len(caller))
    data = b"".join((lengths, method, host, path, caller, body))
    return hashlib.blake2b(data, digest_size=FINGERPRINT_BYTES).hexdigest()
