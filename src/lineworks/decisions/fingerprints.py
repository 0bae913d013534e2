"""Tells whether two tries ask for the same: the identity of what a request asks.

Each try of a caller has an identity of its own, so it doesn't show that a request came before.
"""

from __future__ import annotations

import hashlib

FINGERPRINT_BYTES = 12
"""Bytes of a fingerprint: among a million requests two share one by chance once in 10^17."""


def fingerprint(method: bytes, host: bytes, path: bytes, caller: bytes, body: bytes) -> str:
    """Make the fingerprint of a request.

    Args:
        method: Its method.
        host: Host that it names.
        path: Path with the query.
        caller: Who asks, as far as the request says; empty where it doesn't.
        body: Its body.

    Returns:
        Hexadecimal digits, the same for requests that ask for the same.
    """
    # Lengths keep parts apart that would read the same one after the other.
    lengths = b"%d:%d:%d:%d:" % (len(method), len(host), len(path), len(caller))
    data = b"".join((lengths, method, host, path, caller, body))
    return hashlib.blake2b(data, digest_size=FINGERPRINT_BYTES).hexdigest()
