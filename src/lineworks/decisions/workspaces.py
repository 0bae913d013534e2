"""Whose request it is: workspaces, and the API keys that stand for them.

A workspace is one of the operators' customers. Its keys are kept as digests with a secret of the
process, so that looking one up takes the same time however much of it is right, and no crash
message or memory dump of the table shows a key.
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
    """What a workspace may send through all instances together."""

    rate: float
    """Requests a second."""

    burst: float
    """Requests besides, at once."""


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A customer of the operators."""

    name: str
    """Unique name, which targets are told."""

    priority: int | None = None
    """Rank of its requests, 0 the most urgent; None where that of their routes holds."""

    quota: Quota | None = None
    """Its limit; None for no limit."""

    homes: frozenset[str] = frozenset()
    """Home regions: the only ones in which its requests are served; empty for any."""


class Workspaces:
    """The workspaces of one configuration."""

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
    def is_used(self) -> bool:
        """Whether requests need a key at all."""
        return bool(self._by_name)

    @property
    def all(self) -> list[Workspace]:
        """All workspaces."""
        return list(self._by_name.values())

    @property
    def key_counts(self) -> Mapping[str, int]:
        """Number of keys of each workspace that has any."""
        return collections.Counter(one.name for one in self._by_digest.values())

    def find(self, key: bytes) -> Workspace | None:
        """Find whose key it is.

        Args:
            key: The key that a request carries.

        Returns:
            Its workspace; None for an unknown key.
        """
        return self._by_digest.get(self._digest(key))

    def _digest(self, key: bytes) -> bytes:
        return hashlib.blake2b(key, digest_size=_DIGEST_BYTES, key=self._secret).digest()
