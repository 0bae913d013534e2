"""The chain of configuration changes, and when an instance may adopt a new head.

Each change is made against a base version and lists the keys that it modifies. The digest of
version n+1 is the SHA-256 of the digest of version n and of the change, so a digest identifies a
complete history, as in the summary hash history of Kang, Wilensky and Kubiatowicz.
docs/design/configuration.md discusses which parts of that design are used.
"""

from __future__ import annotations

import dataclasses
import hashlib
import json
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

KEPT_CHANGES = 64
"""Number of recent changes that the head includes, with their content digests."""


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """An accepted change."""

    id: str
    """Unique identifier chosen by the writer. It shows whether a write took effect if the reply was
    lost."""

    version: int
    """Version that it created."""

    previous: str
    """Digest of the preceding version."""

    digest: str
    """Digest of the version that it created."""

    author: str
    """Author of the change."""

    puts: Mapping[str, str]
    """SHA-256 of the item content by key, for the keys written."""

    deletes: tuple[str, ...]
    """Keys deleted."""

    @property
    def keys(self) -> frozenset[str]:
        """All keys that the change writes or deletes."""
        return frozenset(self.puts) | frozenset(self.deletes)


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The newest version, as stored in the platform under one key."""

    version: int
    """Number of the version."""

    digest: str
    """Its digest."""

    manifest: str
    """SHA-256 of the manifest, which lists every key with its content digest."""

    changes: tuple[Change, ...]
    """The most recent changes, oldest first."""


EMPTY_HEAD = Head(0, "", "", ())
"""The head before the first change."""


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """A change is refused because an accepted change modified the same keys."""

    winner: Change
    """The change that was accepted."""

    keys: tuple[str, ...]
    """The keys that both changes modify."""


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownBase:
    """A change is refused because its base version is too old or not part of this chain."""

    base: int
    """The base version of the refused change."""

    version: int
    """The current version."""


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyChanges:
    """The head is reached by applying these changes in order."""

    changes: tuple[Change, ...]
    """Changes after the active version; empty if it is already that of the head."""


@dataclasses.dataclass(frozen=True, slots=True)
class LoadManifest:
    """The complete manifest must be loaded, because the head's recent changes do not reach back far
    enough."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The head must not be adopted."""

    reason: str
    """`older`, `forked` or `broken`."""

    detail: str
    """Explanation in one sentence, not meant to be parsed."""


def content_digest(content: str) -> str:
    """Compute the digest of an item or a manifest.

    Args:
        content: Its canonical JSON.

    Returns:
        SHA-256 in hexadecimal digits.
    """
    return hashlib.sha256(content.encode()).hexdigest()


def chain_digest(
    previous: str, change_id: str, puts: Mapping[str, str], deletes: tuple[str, ...]
) -> str:
    """Compute the digest of a version from the preceding one.

    Args:
        previous: Digest of the preceding version.
        change_id: Identifier of the change.
        puts: Content digests of the keys written.
        deletes: Keys deleted.

    Returns:
        SHA-256 in hexadecimal digits.
    """
    parts = [previous, change_id, dict(sorted(puts.items())), sorted(deletes)]
    return hashlib.sha256(json.dumps(parts).encode()).hexdigest()


def conflict(head: Head, base: int, keys: frozenset[str]) -> Conflict | UnknownBase | None:
    """Check whether a change that is based on an older version conflicts with later changes.

    Args:
        head: The newest head.
        base: Version on which the change is based.
        keys: Keys that it modifies.

    Returns:
        None if no change since the base modifies any of the keys; otherwise why it is refused.
    """
    if base == head.version:
        return None
    oldest = head.changes[0].version if head.changes else head.version + 1
    if base > head.version or base + 1 < oldest:
        return UnknownBase(base, head.version)
    for change in head.changes:
        if change.version <= base:
            continue
        common = change.keys & keys
        if common:
            return Conflict(change, tuple(sorted(common)))
    return None


def extend(
    head: Head,
    change_id: str,
    author: str,
    puts: Mapping[str, str],
    deletes: tuple[str, ...],
    manifest: str,
) -> Head:
    """Create the next head from an accepted change.

    Args:
        head: The current head.
        change_id: Identifier of the change.
        author: Author of the change.
        puts: Content digests of the keys written.
        deletes: Keys deleted.
        manifest: Digest of the manifest after the change.

    Returns:
        The next head.
    """
    digest = chain_digest(head.digest, change_id, puts, deletes)
    version = head.version + 1
    change = Change(change_id, version, head.digest, digest, author, dict(puts), deletes)
    kept = (*head.changes, change)[-KEPT_CHANGES:]
    return Head(version, digest, manifest, kept)


def follow(version: int, digest: str, head: Head) -> ApplyChanges | LoadManifest | Rejected:
    """Determine how an instance can move from its version to a given head.

    A head is adopted only if its version is higher and its chain includes the instance's own
    digest, as far back as the recent changes in the head reach.

    Args:
        version: Version that is active at the instance.
        digest: Digest of that version.
        head: The head to move to.

    Returns:
        The changes to apply, or that the manifest must be loaded, or why the head is rejected.
    """
    if head.version < version:
        return Rejected(
            "older", f"version {head.version} is older than the active version {version}"
        )
    if head.version == version:
        if head.digest != digest:
            return Rejected("forked", f"the active version {version} has a different digest")
        return ApplyChanges(())
    inconsistent = _first_inconsistent(head)
    if inconsistent is not None:
        return Rejected("broken", f"the digest of version {inconsistent} does not match the chain")
    later = tuple(change for change in head.changes if change.version > version)
    if version == 0:
        return LoadManifest()
    if not later or later[0].version != version + 1:
        return LoadManifest()
    if later[0].previous != digest:
        return Rejected("forked", f"version {later[0].version} is not based on the active version")
    return ApplyChanges(later)


def _first_inconsistent(head: Head) -> int | None:
    """Return the first version in the chain whose digest is inconsistent, or None."""
    previous: str | None = None
    for change in head.changes:
        expected = chain_digest(change.previous, change.id, change.puts, change.deletes)
        if change.digest != expected or (previous is not None and change.previous != previous):
            return change.version
        previous = change.digest
    if head.changes and previous != head.digest:
        return head.version
    return None
