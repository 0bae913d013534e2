"""Workspaces, and the API keys that identify them.

A workspace is a customer of the operators. Its keys are stored as digests, keyed with a secret of
the process. So the time of a lookup does not depend on how much of a key is right, and no key
appears in a crash message or memory dump of the table.
"""

from __future__ import annotations

import collections
import dataclasses
import hashlib
import secrets
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

_DIGEST_BYTES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Quota:
    """The requests that a workspace may send through all instances together."""

    rate: float
    """Requests per second."""

    burst: float
    """Requests that may be sent at once, in addition to the rate."""


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A customer of the operators."""

    name: str
    """Unique name, which is sent to targets."""

    priority: int | None = None
    """Priority of its requests, 0 being the most urgent; None to use that of the routes."""

    quota: Quota | None = None
    """Request limit; None for no limit."""

    homes: frozenset[str] = frozenset()
    """Home regions: the only ones in which its requests are served; empty for any region."""


class Workspaces:
    """The workspaces of one configuration, indexed by key."""

    def __init__(self, listed: Iterable[tuple[Workspace, Iterable[str]]] = ()) -> None:
        """Index the workspaces by their keys.

        Args:
            listed: Each workspace with its keys.
        """
        self._secret = secrets.token_bytes(_DIGEST_BYTES)
        self._by_digest: dict[bytes, Workspace] = {}
        self._by_name: dict[str, Workspace] = {}
        for workspace, keys in listed:
            self._by_name[workspace.name] = workspace
            for key in keys:
                self._by_digest[self._digest(key.encode())] = workspace

    @property
    def requires_keys(self) -> bool:
        """Whether requests need a key: True if any workspace is configured."""
        return bool(self._by_name)

    @property
    def all(self) -> list[Workspace]:
        """All workspaces."""
        return list(self._by_name.values())

    @property
    def key_counts(self) -> Mapping[str, int]:
        """Number of keys by workspace name, for workspaces that have any."""
        return collections.Counter(one.name for one in self._by_digest.values())

    def find(self, key: bytes) -> Workspace | None:
        """Find the workspace that a key belongs to.

        Args:
            key: The key in a request.

        Returns:
            The workspace; None if the key is unknown.
        """
        return self._by_digest.get(self._digest(key))

    def _digest(self, key: bytes) -> bytes:
        return hashlib.blake2b(key, digest_size=_DIGEST_BYTES, key=self._secret).digest()
