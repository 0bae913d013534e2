"""Client through which configuration, claims and membership use the platform's store.

Values are text, stored by key. A write whose reply is lost is reported as unsure, never as failed.
`lineworks.platform.store` makes the calls.
"""

from __future__ import annotations

import dataclasses
import json
from typing import TYPE_CHECKING

import structlog

from lineworks.decisions import positions
from lineworks.models import member
from lineworks.platform import store, store_items

if TYPE_CHECKING:
    import collections

    from lineworks.platform import store_era

WATCH_SECONDS = 20.0
"""Maximum duration of one watch, in seconds."""

MEMBERS = "members/"
"""Prefix of the keys of instances; it is followed by the instance's name."""

_log = structlog.get_logger(component="platform_client")


class PlatformError(Exception):
    """A call to the platform failed; it is certain that nothing was written."""


class PlatformUnsureError(Exception):
    """A write was sent but no reply arrived, so it may have taken effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class Value:
    """A value with its position in the store's history."""

    data: str | None
    """The value; None if the key is absent."""

    position: positions.Position
    """Position of its last change; `positions.ABSENT` if the key is absent."""


_ABSENT = Value(None, positions.ABSENT)


class PlatformClient:
    """Reads and writes values and the membership list in the store."""

    def __init__(self, client: store.Store) -> None:
        """Initialise without sending anything.

        Args:
            client: Client of the store.
        """
        self._store = client
        self._lease: store_items.Lease | None = None
        self._announced_entry: member.Member | None = None

    @property
    def calls(self) -> collections.Counter[str]:
        """Number of calls made to the store, by kind."""
        return self._store.calls

    @property
    def era(self) -> store_era.StoreEra:
        """The newest known era of the store."""
        return self._store.era

    def start(self) -> None:
        """Do nothing; the first call opens a connection."""

    def stop(self) -> None:
        """Close the idle connections to the store."""
        self._store.stop()

    async def get(self, key: str) -> Value:
        """Read a key.

        Args:
            key: The key.

        Returns:
            The value and its position.

        Raises:
            PlatformError: The platform cannot be reached or returned an error, or the value is no
                text.
        """
        try:
            item = await self._store.get(key)
        except store.StoreError as error:
            raise PlatformError(str(error)) from error
        return _ABSENT if item is None else Value(_text(key, item.value), item.position)

    async def watch(self, key: str, after: positions.Position) -> Value:
        """Wait until a key changes after a position, for at most `WATCH_SECONDS`.

        Args:
            key: The key.
            after: The last known position.

        Returns:
            The current value and its position.

        Raises:
            PlatformError: The platform cannot be reached or returned an error, or the value is no
                text.
        """
        try:
            entries = await self._store.watch(key, after, WATCH_SECONDS)
        except store.HistoryGoneError:
            return await self.get(key)
        except store.StoreError as error:
            raise PlatformError(str(error)) from error
        relevant = [change for change in entries.changes if change.key == key]
        if not relevant:
            return await self.get(key)
        last = relevant[-1]
        return _ABSENT if last.value is None else Value(_text(key, last.value), last.position)

    async def compare_and_swap(self, key: str, data: str, expect: positions.Position) -> bool:
        """Write a key if its position is still the expected one.

        Args:
            key: The key.
            data: The new value.
            expect: Expected position; `positions.ABSENT` if the key must be absent.

        Returns:
            Whether the value was written.

        Raises:
            PlatformError: Nothing was written.
            PlatformUnsureError: It is unknown whether the value was written.
        """
        try:
            await self._write(store_items.Write(key, data.encode()), [(key, expect)])
        except store.ConflictError:
            return False
        return True

    async def put(self, key: str, data: str) -> None:
        """Write a key unconditionally.

        Args:
            key: The key.
            data: The new value.

        Raises:
            PlatformError: Nothing was written.
            PlatformUnsureError: It is unknown whether the value was written.
        """
        await self._write(store_items.Write(key, data.encode()), [])

    async def members(self) -> list[member.Member]:
        """Read the membership list.

        Returns:
            All valid entries; malformed ones are logged and skipped.

        Raises:
            PlatformError: The platform cannot be reached or returned an error.
        """
        try:
            listing = await self._store.list_items(MEMBERS)
        except store.StoreError as error:
            raise PlatformError(str(error)) from error
        entries = []
        for item in listing.items:
            try:
                entries.append(member.decode(item.value))
            except member.MemberError as error:
                _log.warning("member_refused", key=ascii(item.key)[1:-1], error=str(error))
        return entries

    async def announce(self, entry: member.Member, lease_seconds: float) -> None:
        """Add this instance to the membership list, or renew the lease of its entry.

        Args:
            entry: The entry of this instance.
            lease_seconds: Seconds after which the entry is removed unless announced again.

        Raises:
            PlatformError: The entry was not announced.
            PlatformUnsureError: It is unknown whether the entry was announced.
        """
        if self._lease is not None and self._announced_entry == entry:
            try:
                await self._store.renew_lease(self._lease)
                return
            except store.LeaseGoneError:
                self._lease = None
            except store.StoreError as error:
                raise PlatformUnsureError(str(error)) from error
        if self._lease is None:
            try:
                self._lease = await self._store.grant_lease(lease_seconds)
            except store.StoreError as error:
                raise PlatformError(str(error)) from error
        data = json.dumps(dataclasses.asdict(entry)).encode()
        try:
            await self._write(store_items.Write(MEMBERS + entry.name, data, self._lease), [])
        except store.LeaseGoneError as error:
            self._lease = None
            raise PlatformError(str(error)) from error
        self._announced_entry = entry

    async def _write(
        self, write: store_items.Write, expected: list[tuple[str, positions.Position]]
    ) -> None:
        try:
            await self._store.transact([write], expected)
        except (store.ConflictError, store.LeaseGoneError):
            raise
        except store.StoreUnsureError as error:
            raise PlatformUnsureError(str(error)) from error
        except store.StoreError as error:
            raise PlatformError(str(error)) from error


def _text(key: str, value: bytes) -> str:
    try:
        return value.decode()
    except UnicodeDecodeError as error:
        raise PlatformError(f"{key}: the value is not UTF-8: {error.reason}") from error
