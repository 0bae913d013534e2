"""Signs and verifies operators' HTTP requests with the shared secret.

A request carries the header `Lineworks-Auth: MILLISECONDS:NONCE:MAC`, where MAC is the HMAC-SHA256
of timestamp, nonce, method, path and body. A request is rejected if its timestamp differs from the
local clock by more than `MAX_SKEW_SECONDS`, or if its nonce was used before.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets

HEADER = "Lineworks-Auth"
"""Name of the HTTP header that carries the signature."""

MAX_SKEW_SECONDS = 30.0
"""Maximum difference, in seconds, between the clocks of signer and verifier."""

MAX_TIME_DIGITS = 20
"""Maximum number of digits of the milliseconds; a year has fewer than 12."""

_NONCE_BYTES = 12


class AuthenticationError(Exception):
    """A request's signature is missing, invalid, outdated or replayed; the message says which."""


def sign(secret: bytes, method: str, path: str, body: bytes, wall_now: float) -> str:
    """Sign a request.

    Args:
        secret: The shared secret.
        method: HTTP method.
        path: Request path, including the query string.
        body: Request body.
        wall_now: Current time, in seconds since the epoch.

    Returns:
        The value of the `Lineworks-Auth` header.
    """
    milliseconds = str(int(wall_now * 1000))
    nonce = secrets.token_hex(_NONCE_BYTES)
    return f"{milliseconds}:{nonce}:{_mac(secret, milliseconds, nonce, method, path, body)}"


def _mac(secret: bytes, milliseconds: str, nonce: str, method: str, path: str, body: bytes) -> str:
    text = "\n".join((milliseconds, nonce, method, path)).encode(errors="surrogateescape")
    text += b"\n" + body
    return hmac.new(secret, text, hashlib.sha256).hexdigest()


def _is_time(text: str) -> bool:
    return text.isdecimal() and len(text) <= MAX_TIME_DIGITS


class SignatureVerifier:
    """Verifies signed requests, and keeps their nonces for as long as they could be replayed."""

    def __init__(self, secret: bytes) -> None:
        """Initialise a verifier that has seen no nonces.

        Args:
            secret: The shared secret.
        """
        self._secret = secret
        self._seen_nonces: dict[str, float] = {}

    def verify(self, header: str | None, method: str, path: str, body: bytes, now: float) -> None:
        """Verify a request, and record its nonce.

        Args:
            header: Value of the `Lineworks-Auth` header, or None if it is absent.
            method: HTTP method.
            path: Request path, including the query string.
            body: Request body.
            now: Current time, in seconds since the epoch.

        Raises:
            AuthenticationError: The signature is missing or malformed or does not match, the
                timestamp is too far off, or the nonce was used before.
        """
        text = header or ""
        parts = text.split(":")
        if len(parts) != 3 or not text.isascii() or not _is_time(parts[0]):
            raise AuthenticationError(f"the header {HEADER} is missing or malformed")
        milliseconds, nonce, mac = parts
        expected = _mac(self._secret, milliseconds, nonce, method, path, body)
        if not hmac.compare_digest(expected, mac):
            raise AuthenticationError("the signature is wrong")
        if abs(now - int(milliseconds) / 1000) > MAX_SKEW_SECONDS:
            raise AuthenticationError("the time is too far off")
        self._expire_nonces(now)
        if nonce in self._seen_nonces:
            raise AuthenticationError("the request was seen before")
        self._seen_nonces[nonce] = now

    def _expire_nonces(self, now: float) -> None:
        limit = now - 2 * MAX_SKEW_SECONDS
        for nonce in [nonce for nonce, seen in self._seen_nonces.items() if seen < limit]:
            del self._seen_nonces[nonce]
