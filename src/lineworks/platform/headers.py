"""Request and response headers of the users' platform.

Header names to look up are in lower case, as the parsers return them.
"""

from __future__ import annotations

import dataclasses
import functools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

ATTEMPT = b"x-attempt-id"
"""Identity of one attempt of a caller; a target echoes it in its answer."""

BUDGET = b"x-time-budget"
"""Remaining time for which the sender waits, in milliseconds."""

EXPECT = b"x-expect-instance"
"""Identity of the only target process that may run the request."""

_EXPECT = "X-Expect-Instance"
_STAMP = b"x-response-stamp"
_LOAD = b"x-server-load"
_COLD = b"x-warmup-left"
_MAX_PACE = 100_000
_NORMAL_PACE = 100
_NOT_RUN = b"x-not-executed"
_WRONG_INSTANCE_STATUS = 421
_MAX_DIGITS = 9
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_MAX_BUDGET_MS = 600_000
_LOAD_CACHE_ENTRIES = 1024
"""Number of distinct load reports whose parsed form is cached."""

_MAX_CACHED_BYTES = 32
"""Maximum length of a cached load report, in bytes. The header comes from untrusted writers, who
may send longer ones."""

CALLER = b"authorization"
"""Credentials of the caller; holds the API key if requests need one."""

WORKSPACE = b"x-tenant-name"
"""Name of the workspace to which a request belongs, sent to targets."""

CHALLENGE = (b"WWW-Authenticate", b"Bearer")
"""Header that tells a caller without a known API key how to send one."""

READINESS_PATH = b"/lineworks/readiness"
"""Path that the load balancer polls."""


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that a target reports."""

    running: int
    """Requests that the target is processing."""

    waiting: int
    """Requests in the target's queue."""

    pace: float | None = None
    """Current processing time as a multiple of the usual one. None if the target reports none or an
    invalid number."""


def read_attempt(value: bytes | None) -> bytes:
    """Read the identity of an attempt of a caller.

    Args:
        value: Value of the header, or None.

    Returns:
        The identity, without the white space around it, which is no part of a field's value; empty
        if there is none.
    """
    return b"" if value is None else value.strip(b" \t")


def find_budget(head: bytes) -> float | None:
    """Find a caller's time budget in an unparsed request head.

    Args:
        head: Bytes that contain the head.

    Returns:
        The budget in seconds, or None if there is no valid one.
    """
    for line in head.partition(b"\r\n\r\n")[0].split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        if name.strip().lower() == BUDGET:
            return read_budget(value.strip())
    return None


def read_budget(value: bytes | None) -> float | None:
    """Parse a caller's time budget.

    Args:
        value: Value of the header, or None.

    Returns:
        The budget in seconds, at most 600; None if the header is missing or not a number.
    """
    if value is None or not value.strip().isdigit():
        return None
    # `int` refuses a number of thousands of digits; `float` reads any number of them.
    return min(float(value), _MAX_BUDGET_MS) / 1000


def read_key(value: bytes | None) -> bytes | None:
    """Read the API key of a request.

    Args:
        value: Value of the `Authorization` header, or None.

    Returns:
        The bearer token, or None if there is none.
    """
    if value is None:
        return None
    scheme, _, key = value.strip().partition(b" ")
    return key.strip() if scheme.lower() == b"bearer" and key.strip() else None


def read_caller(fields: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Read the caller's credentials from a request.

    Args:
        fields: Header fields of the request, names in lower case.

    Returns:
        The credentials, or empty bytes if the request has none.
    """
    return b",".join(value for name, value in fields if name == CALLER)


def write_target_fields(target: str, seconds: float) -> bytes:
    """Write the header lines that differ between targets.

    Args:
        target: Identity of the target's process; any other process refuses the request.
        seconds: Time left, in seconds; at least 1 ms is sent.

    Returns:
        Header lines, each ended by CRLF.
    """
    return f"X-Time-Budget: {max(1, int(seconds * 1000))}\r\n{_EXPECT}: {target}\r\n".encode()


def is_not_run(status: int, headers: Mapping[bytes, bytes]) -> bool:
    """Return whether a target states that it did not run the request.

    Args:
        status: HTTP status of its answer.
        headers: Headers of its answer.

    Returns:
        True if it is certain that the request has not run there and will not run there.
    """
    return status == _WRONG_INSTANCE_STATUS or _NOT_RUN in headers


def is_wrong_instance(status: int) -> bool:
    """Return whether a status states that the process is not the expected one."""
    return status == _WRONG_INSTANCE_STATUS


def implies_not_run(status: int) -> bool:
    """Return whether callers infer from a status that the request has not run."""
    return status in _NOT_RUN_STATUSES


def read_stamp(headers: Mapping[bytes, bytes]) -> str:
    """Read the target's signature of its answer.

    Args:
        headers: Headers of the answer.

    Returns:
        The signature, or an empty string if there is none.
    """
    return headers.get(_STAMP, b"").decode("latin-1")


def read_load(headers: Mapping[bytes, bytes]) -> LoadReport | None:
    """Read a target's report of its load.

    Args:
        headers: Headers of the answer.

    Returns:
        The report, or None if it is missing or malformed.
    """
    value = headers.get(_LOAD)
    if value is None:
        return None
    # Most targets send a few distinct values over and over, so parsed ones are cached.
    return _cached_load(value) if len(value) <= _MAX_CACHED_BYTES else _parse_load(value)


def _parse_load(value: bytes) -> LoadReport | None:
    parts = value.split(b",")
    running, waiting = _parse_integer(parts, 0), _parse_integer(parts, 1)
    if running is None or waiting is None:
        return None
    # The third number, the slots, is skipped: the target's entry holds it too.
    pace = _parse_integer(parts, 3)
    is_valid = pace is not None and 0 < pace <= _MAX_PACE
    return LoadReport(running, waiting, pace / _NORMAL_PACE if pace and is_valid else None)


_cached_load = functools.lru_cache(_LOAD_CACHE_ENTRIES)(_parse_load)


def read_cold_seconds(headers: Mapping[bytes, bytes]) -> float | None:
    """Read how much longer a target will be cold.

    Args:
        headers: Headers of its answer.

    Returns:
        Seconds, at most 600, and 0 for a warm target; None if the header is missing or not an
        integer.
    """
    value = headers.get(_COLD)
    left = None if value is None else _parse_integer([value], 0)
    return None if left is None else min(left, _MAX_BUDGET_MS) / 1000


def _parse_integer(parts: Sequence[bytes], position: int) -> int | None:
    """Parse one of several integers from an untrusted writer; None if it is missing or invalid."""
    if position >= len(parts):
        return None
    text = parts[position].strip()
    return int(text) if text.isdigit() and len(text) <= _MAX_DIGITS else None


def write_coverage(stamps: Iterable[str], missing: int) -> list[tuple[bytes, bytes]]:
    """Write the coverage headers of a search's answer.

    Args:
        stamps: Signatures of the parts that the answer contains.
        missing: Number of shards that the answer lacks.

    Returns:
        Header names and values.
    """
    listed = ", ".join(stamps).encode("latin-1")
    return [(b"X-Part-Stamps", listed), (b"X-Parts-Missing", str(missing).encode())]
