"""The chain of configuration changes, and when a head may be followed.

Each change names its base version and the keys that it touches. The digest of version n+1 is
the SHA-256 of the digest of version n and the change, so a digest stands for a whole history, as
in Kang, Wilensky and Kubiatowicz's summary hash history. What is used of that idea, and what is
not, is weighed in docs/design/configuration.md.
"""

from __future__ import annotations

import dataclasses
import hashlib
import json
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

KEPT_CHANGES = 64
"""Changes that the head carries with their content digests."""


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One accepted change."""

    id: str
    """Identity chosen by its writer, unique; it settles a write whose reply was lost."""

    version: int
    """Version that it made."""

    previous: str
    """Digest of the version before."""

    digest: str
    """Digest of this version."""

    author: str
    """Who made it."""

    puts: Mapping[str, str]
    """Keys put, each with the SHA-256 of the item's content."""

    deletes: tuple[str, ...]
    """Keys deleted."""

    @property
    def keys(self) -> frozenset[str]:
        """All keys that the change touches."""
        return frozenset(self.puts) | frozenset(self.deletes)


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The newest version, as kept in the platform under one key."""

    version: int
    """Version in force."""

    digest: str
    """Its digest."""

    manifest: str
    """SHA-256 of the manifest: every key with its content digest."""

    changes: tuple[Change, ...]
    """The last changes, oldest first."""


EMPTY_HEAD = Head(0, "", "", ())
"""The head before any change."""


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """A change is refused because an accepted one touched the same keys."""

    winner: Change
    """The accepted change."""

    keys: tuple[str, ...]
    """The keys that both touch."""


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownBase:
    """A change is refused because its base is too old, or is not in this chain."""

    base: int
    """The base version that it named."""

    version: int
    """The version in force."""


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyChanges:
    """A head may be followed by applying these changes in order."""

    changes: tuple[Change, ...]
    """Changes after the version in force; empty when there are none."""


@dataclasses.dataclass(frozen=True, slots=True)
class LoadManifest:
    """A head is newer than its kept changes reach; the manifest must be read whole."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """A head must not be followed."""

    reason: str
    """`older`, `forked` or `broken`."""

    detail: str
    """One sentence for people."""


def content_digest(content: str) -> str:
    """Digest an item or a manifest.

    Args:
        content: Its canonical JSON.

    Returns:
        SHA-256 in hexadecimal digits.
    """
    return hashlib.sha256(content.encode()).hexdigest()


def chain_digest(
    previous: str, change_id: str, puts: Mapping[str, str], deletes: tuple[str, ...]
) -> str:
    """Digest a version from the one before.

    Args:
        previous: Digest of the version before.
        change_id: Identity of the change.
        puts: Keys put, with content digests.
        deletes: Keys deleted.

    Returns:
        SHA-256 in hexadecimal digits.
    """
    parts = [previous, change_id, dict(sorted(puts.items())), sorted(deletes)]
    return hashlib.sha256(json.dumps(parts).encode()).hexdigest()


def conflict(head: Head, base: int, keys: frozenset[str]) -> Conflict | UnknownBase | None:
    """Say whether a change based on an older version may still be accepted.

    Args:
        head: The newest head.
        base: Version that the change was made against.
        keys: Keys that it touches.

    Returns:
        None when every change since its base is disjoint from it, else why it is refused.
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
    """Make the head that follows when a change is accepted.

    Args:
        head: The head that it follows.
        change_id: Identity of the change.
        author: Who makes it.
        puts: Keys put, with content digests.
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
    """Say how an instance gets from its version to a head that it was shown.

    Only a higher version whose chain holds the instance's own digest is followed.

    Args:
        version: Version in force at the instance.
        digest: Its digest.
        head: The head.

    Returns:
        The changes to apply, or that the manifest must be read, or why the head is kept out.
    """
    if head.version < version:
        return Rejected("older", f"version {head.version} is older than {version} in force")
    if head.version == version:
        if head.digest != digest:
            return Rejected("forked", f"another version {version} is in force")
        return ApplyChanges(())
    broken = _broken_at(head)
    if broken is not None:
        return Rejected("broken", f"the digest of version {broken} does not follow")
    later = tuple(change for change in head.changes if change.version > version)
    if version == 0:
        return LoadManifest()
    if not later or later[0].version != version + 1:
        return LoadManifest()
    if later[0].previous != digest:
        return Rejected("forked", f"version {later[0].version} does not follow the one in force")
    return ApplyChanges(later)


def _broken_at(head: Head) -> int | None:
    """Find the first kept change whose digest does not follow from its content."""
    previous: str | None = None
    for change in head.changes:
        expected = chain_digest(change.previous, change.id, change.puts, change.deletes)
        if change.digest != expected or (previous is not None and change.previous != previous):
            return change.version
        previous = change.digest
    if head.changes and previous != head.digest:
        return head.version
    return None
