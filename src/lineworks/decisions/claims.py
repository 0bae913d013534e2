"""Claims of idempotency keys, kept in the platform in grouped bucket values.

A key's hash names a bucket. All claims for a bucket that come within a few milliseconds are
added by one compare-and-swap. Each claim carries a nonce of its claimant, so that a write whose
reply was lost is settled by reading the bucket back.
"""

from __future__ import annotations

import dataclasses
import json
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

BUCKETS = 256
"""Bucket values in the platform."""

KEPT_SECONDS = 24 * 3600.0
"""Seconds for which a claim is kept."""

MAX_BUCKET_BYTES = 900_000
"""Size of a bucket value above which no more claims are taken."""


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """One idempotency key, taken."""

    key: str
    """Digest of workspace and key."""

    nonce: str
    """Chosen by the claimant for this one claim."""

    instance: str
    """Name of the claimant."""

    fingerprint: str
    """Digest of the request."""

    expires: float
    """Wall clock time, in seconds since the epoch, after which the claim is forgotten."""


class FullBucketError(Exception):
    """A bucket has no room for another claim."""


def digest(workspace: str, key: str) -> str:
    """Digest a caller's idempotency key.

    Args:
        workspace: The workspace, whose keys are apart from those of others.
        key: The key.

    Returns:
        32 hexadecimal digits.
    """
    found: str = xxhash.xxh3_128_hexdigest(f"{workspace}\0{key}".encode())
    return found


def bucket_of(key: str) -> str:
    """Name the bucket of a digested key.

    Args:
        key: The digest.

    Returns:
        The platform's key.
    """
    return f"claims/{int(key[:8], 16) % BUCKETS:03d}"


def parse_bucket(data: str | None) -> dict[str, Claim]:
    """Read a bucket value.

    Args:
        data: JSON, or None for an absent bucket.

    Returns:
        Claims by key.
    """
    if data is None:
        return {}
    return {row[0]: Claim(*row) for row in json.loads(data)}


def write_bucket(claims: Mapping[str, Claim]) -> str:
    """Write a bucket value.

    Args:
        claims: Claims by key.

    Returns:
        JSON.
    """
    rows = [list(dataclasses.astuple(claim)) for _, claim in sorted(claims.items())]
    return json.dumps(rows, separators=(",", ":"))


@dataclasses.dataclass(frozen=True, slots=True)
class Merge:
    """The outcome of adding claims to a bucket."""

    data: str
    """The bucket value to write."""

    won: tuple[Claim, ...]
    """Claims that hold once the value is written."""

    lost: Mapping[str, Claim]
    """For the nonce of each claim that came too late, the claim that was first."""


def merge(data: str | None, wanted: Iterable[Claim], wall_now: float) -> Merge:
    """Add claims to a bucket; the first claim of a key holds.

    Args:
        data: The bucket value now.
        wanted: The claims to add, in order.
        wall_now: The present, in seconds since the epoch; expired claims are dropped.

    Returns:
        The merge.

    Raises:
        FullBucketError: The value would grow too large.
    """
    held = {key: claim for key, claim in parse_bucket(data).items() if claim.expires > wall_now}
    won = []
    lost = {}
    for claim in wanted:
        first = held.setdefault(claim.key, claim)
        if first.nonce == claim.nonce:
            won.append(claim)
        else:
            lost[claim.nonce] = first
    written = write_bucket(held)
    if len(written) > MAX_BUCKET_BYTES:
        raise FullBucketError("the bucket has no room for another claim")
    return Merge(written, tuple(won), lost)
