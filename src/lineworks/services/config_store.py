"""Reads and writes the configuration in the platform.

Layout: `config/head` holds the newest head. `config/item/DIGEST` and `config/manifest/DIGEST` are
addressed by the SHA-256 of their content, so they never change once written.
"""

from __future__ import annotations

import dataclasses
import json
from typing import TYPE_CHECKING, Any

from lineworks.decisions import changes, positions
from lineworks.kernel import task
from lineworks.models import configuration
from lineworks.services import platform_client

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping

HEAD_KEY = "config/head"
"""Key of the newest head."""

MAX_VALUE_BYTES = 1_000_000
"""Maximum size of a value in the platform, in bytes."""

_MAX_ATTEMPTS = 20
_MIN_RETRY_SECONDS = 0.01
_MAX_RETRY_SECONDS = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """A change is part of the chain."""

    change: changes.Change
    """The accepted change."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """A change is not part of the chain and never will be."""

    reason: str
    """`conflict`, `base`, `invalid`, `busy`, `platform` or `unknown`."""

    detail: str
    """Explanation in one sentence, not meant to be parsed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unsure:
    """It is unknown whether a change is part of the chain."""

    change_id: str
    """Unique identifier of the change; `ConfigStore.settle` looks up its outcome later."""

    detail: str
    """Explanation in one sentence, not meant to be parsed."""


Outcome = Accepted | Refused | Unsure
"""Result of an attempt to change the configuration."""


def head_to_json(head: changes.Head) -> str:
    """Encode a head.

    Args:
        head: The head.

    Returns:
        The head as JSON.
    """
    return json.dumps(dataclasses.asdict(head), separators=(",", ":"))


def head_from_json(text: str) -> changes.Head:
    """Decode a head.

    Args:
        text: The head as JSON.

    Returns:
        The head.

    Raises:
        configuration.ConfigurationError: The text is not a valid head.
    """
    return configuration.parse_head(text)


class ConfigStore:
    """Client of the configuration stored in the platform."""

    def __init__(
        self, clock: Any, platform: platform_client.PlatformClient, rng: random.Random
    ) -> None:
        """Initialise without reading anything.

        Args:
            clock: Twisted's reactor.
            platform: Client of the platform.
            rng: Source of jitter.
        """
        self._clock = clock
        self._platform = platform
        self._rng = rng
        self._written: set[str] = set()

    async def read_head(self) -> tuple[changes.Head, positions.Position]:
        """Read the newest head.

        Returns:
            The head, which is `changes.EMPTY_HEAD` before the first change, and its position.

        Raises:
            platform_client.PlatformError: The platform cannot be reached.
            configuration.ConfigurationError: The head is damaged.
        """
        return _parse_head(await self._platform.get(HEAD_KEY))

    async def watch_head(
        self, after: positions.Position
    ) -> tuple[changes.Head, positions.Position]:
        """Wait until the head has a later position or the watch times out.

        Args:
            after: The last known position.

        Returns:
            The head, which is `changes.EMPTY_HEAD` before the first change, and its position.

        Raises:
            platform_client.PlatformError: The platform cannot be reached.
            configuration.ConfigurationError: The head is damaged.
        """
        return _parse_head(await self._platform.watch(HEAD_KEY, after))

    async def read_items(self, wanted: Mapping[str, str]) -> dict[str, str]:
        """Read items by their content digests and verify the content.

        Args:
            wanted: Content digests by key.

        Returns:
            Contents by key.

        Raises:
            platform_client.PlatformError: The platform cannot be reached or lacks an item.
            configuration.ConfigurationError: The content of an item does not match its digest.
        """
        return {key: await self._read_content("item", digest) for key, digest in wanted.items()}

    async def read_manifest(self, digest: str) -> dict[str, str]:
        """Read a manifest.

        Args:
            digest: Digest of the manifest; empty for the empty configuration.

        Returns:
            Content digests by key.

        Raises:
            platform_client.PlatformError: The platform cannot be reached or lacks the manifest.
            configuration.ConfigurationError: The manifest does not match its digest.
        """
        if not digest:
            return {}
        return configuration.parse_manifest(await self._read_content("manifest", digest))

    async def apply(
        self, items: Mapping[str, str | None], base: int, change_id: str, author: str
    ) -> Outcome:
        """Apply a change to the configuration.

        Args:
            items: New contents by key; None deletes the key.
            base: Version that the change is based on.
            change_id: Unique identifier of the change.
            author: Author of the change.

        Returns:
            `Accepted` if the change is known to be part of the chain, `Refused` if it is known not
            to be, `Unsure` otherwise.
        """
        is_uncertain = False
        for attempt in range(_MAX_ATTEMPTS):
            try:
                outcome = await self._try_apply(items, base, change_id, author)
            except platform_client.PlatformUnsureError:
                is_uncertain = True
                outcome = None
            except platform_client.PlatformError as error:
                if not is_uncertain:
                    return Refused("platform", str(error))
                outcome = None
            except configuration.ConfigurationError as error:
                if is_uncertain:
                    return Unsure(change_id, str(error))
                return Refused("invalid", str(error))
            if outcome is not None:
                return outcome
            await task.sleep(self._clock, self._retry_delay(attempt))
        if is_uncertain:
            return Unsure(change_id, "the platform gave no clear reply")
        return Refused("busy", f"other changes came first {_MAX_ATTEMPTS} times")

    async def settle(self, change_id: str) -> Outcome:
        """Look up the outcome of a change.

        Args:
            change_id: Unique identifier of the change.

        Returns:
            `Accepted` if the change is among the recent changes that the head includes, otherwise
            `Refused`; `Unsure` if the head cannot be read.
        """
        try:
            head, _ = await self.read_head()
        except (platform_client.PlatformError, configuration.ConfigurationError) as error:
            return Unsure(change_id, str(error))
        change = _find_change(head, change_id)
        if change is not None:
            return Accepted(change)
        kept = len(head.changes)
        return Refused("unknown", f"it is not among the last {kept} changes")

    async def _try_apply(
        self, items: Mapping[str, str | None], base: int, change_id: str, author: str
    ) -> Outcome | None:
        """Attempt the change once; return None if another change was written first."""
        head, position = await self.read_head()
        change = _find_change(head, change_id)
        if change is not None:
            return Accepted(change)
        rejection = changes.conflict(head, base, frozenset(items))
        if isinstance(rejection, changes.Conflict):
            return Refused("conflict", _conflict_detail(rejection))
        if isinstance(rejection, changes.UnknownBase):
            detail = f"base version {rejection.base} is not in reach of version {rejection.version}"
            return Refused("base", detail)
        puts = {
            key: changes.content_digest(content)
            for key, content in items.items()
            if content is not None
        }
        deletes = tuple(sorted(key for key, content in items.items() if content is None))
        manifest = {**await self.read_manifest(head.manifest), **puts}
        missing = [key for key in deletes if manifest.pop(key, None) is None]
        if missing:
            return Refused("invalid", f"{missing[0]}: there is no such item to delete")
        await self._validate(manifest, items)
        for key, digest in puts.items():
            await self._write_content("item", digest, str(items[key]))
        text = configuration.canonical(manifest)
        await self._write_content("manifest", changes.content_digest(text), text)
        new_head = changes.extend(
            head, change_id, author, puts, deletes, changes.content_digest(text)
        )
        if await self._platform.compare_and_swap(HEAD_KEY, head_to_json(new_head), position):
            return Accepted(new_head.changes[-1])
        return None

    async def _validate(self, manifest: Mapping[str, str], items: Mapping[str, str | None]) -> None:
        """Build the complete resulting configuration, so that an invalid one is never accepted.

        Raises:
            platform_client.PlatformError: The platform cannot be reached or lacks an item.
            configuration.ConfigurationError: The configuration would be invalid.
        """
        known = {key: content for key, content in items.items() if content is not None}
        others = {key: digest for key, digest in manifest.items() if key not in known}
        configuration.build({**await self.read_items(others), **known}, 1, "")

    async def _read_content(self, kind: str, digest: str) -> str:
        value = await self._platform.get(f"config/{kind}/{digest}")
        if value.data is None:
            raise platform_client.PlatformError(f"{kind} {digest[:12]} is missing")
        if changes.content_digest(value.data) != digest:
            raise configuration.ConfigurationError(f"{kind} {digest[:12]} is damaged")
        return value.data

    async def _write_content(self, kind: str, digest: str, content: str) -> None:
        key = f"config/{kind}/{digest}"
        if key in self._written:
            return
        if len(content.encode()) > MAX_VALUE_BYTES:
            raise configuration.ConfigurationError(
                f"the {kind} is larger than {MAX_VALUE_BYTES} bytes"
            )
        try:
            await self._platform.put(key, content)
        except platform_client.PlatformUnsureError as error:
            # A content-addressed write is idempotent, so it may be repeated like one that failed.
            raise platform_client.PlatformError(str(error)) from error
        self._written.add(key)

    def _retry_delay(self, attempt: int) -> float:
        limit = min(_MAX_RETRY_SECONDS, _MIN_RETRY_SECONDS * 2**attempt)
        return float(limit * (0.5 + self._rng.random() / 2))


def _parse_head(
    value: platform_client.Value,
) -> tuple[changes.Head, positions.Position]:
    if value.data is None:
        return changes.EMPTY_HEAD, value.position
    return head_from_json(value.data), value.position


def _find_change(head: changes.Head, change_id: str) -> changes.Change | None:
    return next((change for change in head.changes if change.id == change_id), None)


def _conflict_detail(rejection: changes.Conflict) -> str:
    winner = rejection.winner
    return (
        f"change {winner.id} by {winner.author} (version {winner.version}) "
        f"also touches {', '.join(rejection.keys)}"
    )
