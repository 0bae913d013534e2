"""Headers of requests and answers on the users' platform.

All names are kept in lower case, as the parsers hand them over.
"""

from __future__ import annotations

import dataclasses
import functools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

ATTEMPT = b"x-attempt-id"
"""Identity of one try of a caller; a target repeats it in its answer."""

BUDGET = b"x-time-budget"
"""Milliseconds that the sender still waits."""

EXPECT = b"x-expect-instance"
"""Identity of the only process that may run the request."""

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
"""Reports of load that are kept with what they say."""

_MAX_CACHED_BYTES = 32
"""Bytes of such a report at most: anybody may write longer ones."""

CALLER = b"authorization"
"""Says who asks; it holds the API key where requests need one."""

WORKSPACE = b"x-tenant-name"
"""Tells a target whose request it is."""

CHALLENGE = (b"WWW-Authenticate", b"Bearer")
"""Tells a caller without a known key how to carry one."""

READINESS_PATH = b"/lineworks/readiness"
"""Path that the balancer asks."""


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """What a target says of its load."""

    running: int
    """Requests that it works on."""

    waiting: int
    """Requests in its queue."""

    pace: float | None = None
    """How long work takes there at this moment, as a multiple of what is usual. None where the
    target does not tell, or no number that makes sense."""


def find_budget(head: bytes) -> float | None:
    """Find a caller's time budget in a request's head that is not parsed yet.

    Args:
        head: Bytes that hold the head.

    Returns:
        Seconds, or None where there is none.
    """
    for line in head.partition(b"\r\n\r\n")[0].split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        if name.strip().lower() == BUDGET:
            return read_budget(value.strip())
    return None


def read_budget(value: bytes | None) -> float | None:
    """Read a caller's time budget.

    Args:
        value: The header's value, or None.

    Returns:
        Seconds, or None where the header is missing or no number.
    """
    if value is None or not value.strip().isdigit():
        return None
    return min(int(value), _MAX_BUDGET_MS) / 1000


def read_key(value: bytes | None) -> bytes | None:
    """Read the API key that a request carries.

    Args:
        value: Value of its header `Authorization`, or None.

    Returns:
        The key, or None where there is none.
    """
    if value is None:
        return None
    scheme, _, key = value.strip().partition(b" ")
    return key.strip() if scheme.lower() == b"bearer" and key.strip() else None


def read_caller(fields: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Read who asks, as far as a request says.

    Args:
        fields: Header fields of the request, names in lower case.

    Returns:
        The caller's credentials, or nothing where the request has none.
    """
    return b",".join(value for name, value in fields if name == CALLER)


def write_target_fields(target: str, seconds: float) -> bytes:
    """Write the headers that differ from target to target.

    Args:
        target: Identity of the target's process; any other process refuses the request.
        seconds: Time that is left.

    Returns:
        Header lines, each with its line end.
    """
    return f"X-Time-Budget: {max(1, int(seconds * 1000))}\r\n{_EXPECT}: {target}\r\n".encode()


def is_not_run(status: int, found: Mapping[bytes, bytes]) -> bool:
    """Say whether a target states that it did not run the request.

    Args:
        status: Status of its answer.
        found: Headers of its answer.

    Returns:
        Whether it is certain that the request has not run there and will not.
    """
    return status == _WRONG_INSTANCE_STATUS or _NOT_RUN in found


def is_wrong_instance(status: int) -> bool:
    """Say whether the address belongs to another process than the one expected."""
    return status == _WRONG_INSTANCE_STATUS


def implies_not_run(status: int) -> bool:
    """Say whether callers take a status as a promise that the request has not run."""
    return status in _NOT_RUN_STATUSES


def read_stamp(found: Mapping[bytes, bytes]) -> str:
    """Read the target's signature of its answer.

    Args:
        found: Headers of the answer.

    Returns:
        The signature, or an empty text.
    """
    return found.get(_STAMP, b"").decode("latin-1")


def read_load(found: Mapping[bytes, bytes]) -> LoadReport | None:
    """Read a target's report of its load.

    Args:
        found: Headers of the answer.

    Returns:
        The report, or None where there is none that can be read.
    """
    value = found.get(_LOAD)
    if value is None:
        return None
    # Most targets say one of a few things, again and again.
    return _cached_load(value) if len(value) <= _MAX_CACHED_BYTES else _parse_load(value)


def _parse_load(value: bytes) -> LoadReport | None:
    parts = value.split(b",")
    running, waiting = _parse_integer(parts, 0), _parse_integer(parts, 1)
    if running is None or waiting is None:
        return None
    # The third figure, its slots, stands in the target's entry as well.
    pace = _parse_integer(parts, 3)
    is_valid = pace is not None and 0 < pace <= _MAX_PACE
    return LoadReport(running, waiting, pace / _NORMAL_PACE if pace and is_valid else None)


_cached_load = functools.lru_cache(_LOAD_CACHE_ENTRIES)(_parse_load)


def read_cold_seconds(found: Mapping[bytes, bytes]) -> float | None:
    """Read how long a target will still be cold.

    Args:
        found: Headers of its answer.

    Returns:
        Seconds, 0 for a warm one; None where the answer does not tell, or no whole number.
    """
    value = found.get(_COLD)
    left = None if value is None else _parse_integer([value], 0)
    return None if left is None else min(left, _MAX_BUDGET_MS) / 1000


def _parse_integer(parts: Sequence[bytes], position: int) -> int | None:
    """Read one of several whole numbers that anybody may have written."""
    if position >= len(parts):
        return None
    text = parts[position].strip()
    return int(text) if text.isdigit() and len(text) <= _MAX_DIGITS else None


def write_coverage(stamps: Iterable[str], missing: int) -> list[tuple[bytes, bytes]]:
    """Write the headers of a search's answer.

    Args:
        stamps: Signatures of the parts that are in.
        missing: Shards that are left out.

    Returns:
        Names and values.
    """
    listed = ", ".join(stamps).encode("latin-1")
    return [(b"X-Part-Stamps", listed), (b"X-Parts-Missing", str(missing).encode())]
