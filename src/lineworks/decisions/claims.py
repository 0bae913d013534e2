"""Claims of idempotency keys, stored in the platform as buckets.

The hash of a key determines its bucket. Claims for the same bucket that arrive within a few
milliseconds are added by one compare-and-swap. Each claim carries a nonce chosen by its claimant:
if the reply to a write is lost, reading the bucket back shows which claims were stored.
"""

from __future__ import annotations

import dataclasses
import json
from typing import TYPE_CHECKING, Any

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

BUCKET_COUNT = 256
"""Number of bucket values in the platform."""

CLAIM_TTL_SECONDS = 24 * 3600.0
"""Seconds for which a claim is stored."""

MAX_BUCKET_BYTES = 900_000
"""Maximum size of a bucket value in bytes; a claim that would exceed it is refused."""


UNREADABLE_EXPIRES = 2.0**53
"""Expiry time of a claim whose row is invalid, in seconds since the epoch: never in practice."""


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """An instance's claim of one idempotency key."""

    key: str
    """Digest of the workspace and the idempotency key."""

    nonce: str
    """Value that the claimant chose for this claim only."""

    instance: str
    """Name of the instance that made the claim."""

    fingerprint: str
    """Digest of the request."""

    expires: float
    """Expiry time, in seconds since the epoch."""


class BucketDamagedError(Exception):
    """The value of a bucket is not a list of claims."""


class BucketFullError(Exception):
    """A bucket has no room for another claim."""


def digest(workspace: str, key: str) -> str:
    """Compute the digest of a caller's idempotency key.

    Args:
        workspace: Name of the workspace; each workspace has its own namespace of keys.
        key: The idempotency key.

    Returns:
        32 hexadecimal digits.
    """
    hexadecimal: str = xxhash.xxh3_128_hexdigest(f"{workspace}\0{key}".encode())
    return hexadecimal


def bucket_key(key: str) -> str:
    """Return the platform key of the bucket that holds an idempotency key.

    Args:
        key: Digest of the idempotency key.

    Returns:
        The bucket's key in the platform.
    """
    return f"claims/{int(key[:8], 16) % BUCKET_COUNT:03d}"


def decode_bucket(data: str | None) -> dict[str, Claim]:
    """Decode a bucket value.

    Args:
        data: The value as JSON; None if the bucket does not exist.

    Returns:
        Claims by key digest. The key of a row that is otherwise invalid counts as taken, so that
        its request cannot run twice; a row without a key is skipped.

    Raises:
        BucketDamagedError: The value is not a list in JSON.
    """
    if data is None:
        return {}
    try:
        rows = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise BucketDamagedError(f"the bucket is not JSON: {error}"[:200]) from error
    if not isinstance(rows, list):
        raise BucketDamagedError("the bucket is not a list")
    claims = [_decode_row(row) for row in rows if _has_key(row)]
    return {claim.key: claim for claim in claims}


def _has_key(row: Any) -> bool:
    return isinstance(row, list) and bool(row) and isinstance(row[0], str)


def _decode_row(row: list[Any]) -> Claim:
    """Decode a row that has a key; one that is otherwise invalid is a claim of nobody."""
    if len(row) == 5 and all(isinstance(value, str) for value in row[:4]):
        expires = row[4]
        # Also refuses NaN, for which every comparison is false.
        if type(expires) in (int, float) and 0 <= expires <= UNREADABLE_EXPIRES:
            return Claim(*row)
    return Claim(row[0], "", "", "", UNREADABLE_EXPIRES)


def encode_bucket(claims: Mapping[str, Claim]) -> str:
    """Encode a bucket value.

    Args:
        claims: Claims by key digest.

    Returns:
        The value as JSON.
    """
    rows = [list(dataclasses.astuple(claim)) for _, claim in sorted(claims.items())]
    return json.dumps(rows, separators=(",", ":"))


@dataclasses.dataclass(frozen=True, slots=True)
class MergeResult:
    """The result of adding claims to a bucket."""

    data: str
    """The new bucket value."""

    won: tuple[Claim, ...]
    """Claims that are in effect once the value is written."""

    lost: Mapping[str, Claim]
    """By the nonce of each rejected claim, the earlier claim of the same key."""


def merge(data: str | None, wanted: Iterable[Claim], wall_now: float) -> MergeResult:
    """Add claims to a bucket; the first claim of a key wins.

    Args:
        data: The current bucket value; None if the bucket does not exist.
        wanted: The claims to add, in order.
        wall_now: Current time in seconds since the epoch; expired claims are dropped.

    Returns:
        The new bucket value and the outcome for each claim.

    Raises:
        BucketDamagedError: The current value is not a list in JSON.
        BucketFullError: The new value would exceed `MAX_BUCKET_BYTES`.
    """
    held = {key: claim for key, claim in decode_bucket(data).items() if claim.expires > wall_now}
    won = []
    lost = {}
    for claim in wanted:
        first = held.setdefault(claim.key, claim)
        if first.nonce == claim.nonce:
            won.append(claim)
        else:
            lost[claim.nonce] = first
    encoded = encode_bucket(held)
    if len(encoded) > MAX_BUCKET_BYTES:
        raise BucketFullError("the bucket has no room for another claim")
    return MergeResult(encoded, tuple(won), lost)
