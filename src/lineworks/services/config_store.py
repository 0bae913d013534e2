"""Reads and writes the configuration in the platform.

Layout: `config/head` holds the newest head; `config/item/DIGEST` and `config/manifest/DIGEST`
hold content under its SHA-256, so they never change once written.
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
"""Key of the head."""

MAX_VALUE_BYTES = 1_000_000
"""Bytes that a value of the platform may have."""

_MAX_ATTEMPTS = 20
_MIN_RETRY_SECONDS = 0.01
_MAX_RETRY_SECONDS = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """A change is in the chain."""

    change: changes.Change
    """The change."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """A change is not in the chain and will never be."""

    reason: str
    """`conflict`, `base`, `invalid`, `busy` or `platform`."""

    detail: str
    """One sentence for people."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unsure:
    """It is not known whether a change is in the chain."""

    change_id: str
    """Its identity, by which it can be settled later."""

    detail: str
    """One sentence for people."""


Outcome = Accepted | Refused | Unsure
"""How an attempt to change the configuration ended."""


def head_to_json(head: changes.Head) -> str:
    """Write a head.

    Args:
        head: The head.

    Returns:
        JSON.
    """
    return json.dumps(dataclasses.asdict(head), separators=(",", ":"))


def head_from_json(text: str) -> changes.Head:
    """Read a head.

    Args:
        text: JSON.

    Returns:
        The head.

    Raises:
        configuration.ConfigurationError: The text is not a head.
    """
    try:
        document = json.loads(text)
        kept = tuple(
            changes.Change(**{**change, "deletes": tuple(change["deletes"])})
            for change in document["changes"]
        )
        return changes.Head(document["version"], document["digest"], document["manifest"], kept)
    except (ValueError, TypeError, KeyError) as error:
        raise configuration.ConfigurationError(f"damaged head: {error}") from error


class ConfigStore:
    """The configuration as kept in the platform."""

    def __init__(
        self, clock: Any, platform: platform_client.PlatformClient, rng: random.Random
    ) -> None:
        """Make a store; nothing is read yet.

        Args:
            clock: Twisted's reactor.
            platform: The platform.
            rng: Source of jitter.
        """
        self._clock = clock
        self._platform = platform
        self._rng = rng
        self._written: set[str] = set()

    async def read_head(self) -> tuple[changes.Head, positions.Position]:
        """Read the newest head.

        Returns:
            The head and its position.

        Raises:
            platform_client.PlatformError: The platform cannot be reached.
            configuration.ConfigurationError: The head is damaged.
        """
        return _parse_head(await self._platform.get(HEAD_KEY))

    async def watch_head(
        self, after: positions.Position
    ) -> tuple[changes.Head, positions.Position]:
        """Wait for a head with a later position, or for the watch to end.

        Args:
            after: The position known.

        Returns:
            The head and its position.

        Raises:
            platform_client.PlatformError: The platform cannot be reached.
            configuration.ConfigurationError: The head is damaged.
        """
        return _parse_head(await self._platform.watch(HEAD_KEY, after))

    async def read_items(self, wanted: Mapping[str, str]) -> dict[str, str]:
        """Read items by their content digests and check them.

        Args:
            wanted: Content digests by key.

        Returns:
            Contents by key.

        Raises:
            platform_client.PlatformError: The platform cannot be reached or lacks an item.
            configuration.ConfigurationError: An item does not have its digest.
        """
        return {key: await self._read_content("item", digest) for key, digest in wanted.items()}

    async def read_manifest(self, digest: str) -> dict[str, str]:
        """Read a manifest.

        Args:
            digest: Its digest; empty for the empty configuration.

        Returns:
            Content digests by key.

        Raises:
            platform_client.PlatformError: The platform cannot be reached or lacks it.
            configuration.ConfigurationError: It does not have its digest.
        """
        if not digest:
            return {}
        found: dict[str, str] = json.loads(await self._read_content("manifest", digest))
        return found

    async def apply(
        self, items: Mapping[str, str | None], base: int, change_id: str, author: str
    ) -> Outcome:
        """Make a change.

        Args:
            items: Contents by key; None deletes the key.
            base: Version that the change was made against.
            change_id: Identity of the change.
            author: Who makes it.

        Returns:
            `Accepted` only when the change is known to be in the chain.
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
        """Find out what became of a change.

        Args:
            change_id: Its identity.

        Returns:
            `Accepted` when it is in the kept chain, else `Refused`; `Unsure` when the platform
            cannot be read.
        """
        try:
            head, _ = await self.read_head()
        except (platform_client.PlatformError, configuration.ConfigurationError) as error:
            return Unsure(change_id, str(error))
        found = _find_change(head, change_id)
        if found is not None:
            return Accepted(found)
        kept = len(head.changes)
        return Refused("unknown", f"it is not among the last {kept} changes")

    async def _try_apply(
        self, items: Mapping[str, str | None], base: int, change_id: str, author: str
    ) -> Outcome | None:
        """Try once; None means that another change came first or that nothing is known yet."""
        head, position = await self.read_head()
        found = _find_change(head, change_id)
        if found is not None:
            return Accepted(found)
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
        """Build the whole configuration as it would be, so that a bad one is never accepted."""
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
            # Content under its own digest may be written any number of times.
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
