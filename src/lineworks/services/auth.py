"""Signs and checks operators' HTTP requests with the shared secret.

A request carries `Lineworks-Auth: MILLISECONDS:NONCE:MAC`, the HMAC-SHA256 of time, nonce, method,
path and body. A request is refused when its time is off by more than `MAX_SKEW` seconds or when
its nonce was seen before.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets

HEADER = "Lineworks-Auth"
"""Name of the header."""

MAX_SKEW = 30.0
"""Seconds that the clocks may differ."""

_NONCE_BYTES = 12


class RefusedError(Exception):
    """A request is not signed as it must be; the message says why."""


def sign(secret: bytes, method: str, path: str, body: bytes, wall_now: float) -> str:
    """Sign a request.

    Args:
        secret: The shared secret.
        method: HTTP method.
        path: Path with query.
        body: The body.
        wall_now: Seconds since the epoch.

    Returns:
        The header's value.
    """
    milliseconds = str(int(wall_now * 1000))
    nonce = secrets.token_hex(_NONCE_BYTES)
    return f"{milliseconds}:{nonce}:{_mac(secret, milliseconds, nonce, method, path, body)}"


def _mac(secret: bytes, milliseconds: str, nonce: str, method: str, path: str, body: bytes) -> str:
    text = "\n".join((milliseconds, nonce, method, path)).encode() + b"\n" + body
    return hmac.new(secret, text, hashlib.sha256).hexdigest()


class Checker:
    """Checks requests and remembers their nonces for as long as they could be replayed."""

    def __init__(self, secret: bytes) -> None:
        """Start without memories.

        Args:
            secret: The shared secret.
        """
        self._secret = secret
        self._seen: dict[str, float] = {}

    def check(self, header: str | None, method: str, path: str, body: bytes, now: float) -> None:
        """Check a request.

        Args:
            header: The header's value, or None.
            method: HTTP method.
            path: Path with query.
            body: The body.
            now: Seconds since the epoch.

        Raises:
            RefusedError: The request is not to be served.
        """
        parts = (header or "").split(":")
        if len(parts) != 3 or not parts[0].isdecimal():
            raise RefusedError(f"the header {HEADER} is missing or malformed")
        milliseconds, nonce, mac = parts
        expected = _mac(self._secret, milliseconds, nonce, method, path, body)
        if not hmac.compare_digest(expected, mac):
            raise RefusedError("the signature is wrong")
        if abs(now - int(milliseconds) / 1000) > MAX_SKEW:
            raise RefusedError("the time is too far off")
        self._forget(now)
        if nonce in self._seen:
            raise RefusedError("the request was seen before")
        self._seen[nonce] = now

    def _forget(self, now: float) -> None:
        limit = now - 2 * MAX_SKEW
        for nonce in [nonce for nonce, seen in self._seen.items() if seen < limit]:
            del self._seen[nonce]
