"""Fingerprints of requests, which show whether two requests ask for the same.

Request IDs cannot show this: a caller that retries sends a new ID with each attempt.
"""

from __future__ import annotations

import hashlib

FINGERPRINT_BYTES = 12
"""Length of a fingerprint in bytes. The probability that any two of a million requests collide is
about 1 in 10^17."""


MAX_ATTEMPT_BYTES = 200
"""Maximum length in bytes of the identity of an attempt that is kept as it is."""


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


def name_attempt(attempt: bytes) -> str:
    """Return an attempt's identity in a length that stored records and peers can take.

    Args:
        attempt: The identity that the caller sent.

    Returns:
        The identity, or its digest in hexadecimal digits if it is too long.
    """
    if len(attempt) <= MAX_ATTEMPT_BYTES:
        return attempt.decode("latin-1")
    return hashlib.blake2b(attempt, digest_size=FINGERPRINT_BYTES).hexdigest()
