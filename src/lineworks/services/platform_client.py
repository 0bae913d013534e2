"""What the product's own configuration, claims and membership keep in the platform's store.

A value is text under a key. A write whose answer is lost is reported as unsure, never as failed.
The calls themselves are those of `lineworks.platform.store`.
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
"""Seconds that one watch waits at the platform at most."""

MEMBERS = "members/"
"""Prefix of the keys of instances; what follows is the instance's name."""

_log = structlog.get_logger(component="platform_client")


class PlatformError(Exception):
    """The platform did not do what it was asked; it is certain that nothing was written."""


class PlatformUnsureError(Exception):
    """A write was sent and no reply came, so it may have taken effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class Value:
    """A value with its position in the store's history."""

    data: str | None
    """The value, or None where the key is absent."""

    position: positions.Position
    """Position of its last change; `positions.ABSENT` where the key is absent."""


_ABSENT = Value(None, positions.ABSENT)


class PlatformClient:
    """Values and the list of members, kept in the store."""

    def __init__(self, client: store.Store) -> None:
        """Make a client; nothing is sent yet.

        Args:
            client: The store.
        """
        self._store = client
        self._lease: store_items.Lease | None = None
        self._announced_entry: member.Member | None = None

    @property
    def calls(self) -> collections.Counter[str]:
        """Calls to the store so far, by kind."""
        return self._store.calls

    @property
    def era(self) -> store_era.StoreEra:
        """Which era the store is in."""
        return self._store.era

    def start(self) -> None:
        """Do nothing; the first call connects."""

    def stop(self) -> None:
        """Close the idle connections."""
        self._store.stop()

    async def get(self, key: str) -> Value:
        """Read a key.

        Args:
            key: The key.

        Returns:
            Its value.

        Raises:
            PlatformError: The platform cannot be reached or failed.
        """
        try:
            item = await self._store.get(key)
        except store.StoreError as error:
            raise PlatformError(str(error)) from error
        return _ABSENT if item is None else Value(item.value.decode(), item.position)

    async def watch(self, key: str, after: positions.Position) -> Value:
        """Wait until a key has a position after a given one, or for `WATCH_SECONDS`.

        Args:
            key: The key.
            after: The position known.

        Returns:
            The value then.

        Raises:
            PlatformError: The platform cannot be reached or failed.
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
        return _ABSENT if last.value is None else Value(last.value.decode(), last.position)

    async def compare_and_swap(self, key: str, data: str, expect: positions.Position) -> bool:
        """Write a key if its position is still the one expected.

        Args:
            key: The key.
            data: The new value.
            expect: Position expected; `positions.ABSENT` for an absent key.

        Returns:
            Whether it was written.

        Raises:
            PlatformError: Nothing was written.
            PlatformUnsureError: It is not known whether it was written.
        """
        try:
            await self._write(store_items.Write(key, data.encode()), [(key, expect)])
        except store.ConflictError:
            return False
        return True

    async def put(self, key: str, data: str) -> None:
        """Write a key whatever it holds.

        Args:
            key: The key.
            data: The new value.

        Raises:
            PlatformError: Nothing was written.
            PlatformUnsureError: It is not known whether it was written.
        """
        await self._write(store_items.Write(key, data.encode()), [])

    async def members(self) -> list[member.Member]:
        """Read the membership list.

        Returns:
            All entries that can be read.

        Raises:
            PlatformError: The platform cannot be reached or failed.
        """
        try:
            listing = await self._store.list_items(MEMBERS)
        except store.StoreError as error:
            raise PlatformError(str(error)) from error
        entries = []
        for item in listing.items:
            try:
                entries.append(member.Member(**json.loads(item.value)))
            except (ValueError, TypeError) as error:
                _log.warning("member_refused", key=item.key, error=str(error))
        return entries

    async def announce(self, entry: member.Member, lease_seconds: float) -> None:
        """Put this instance on the membership list for a while.

        Args:
            entry: The entry.
            lease_seconds: Seconds after which the entry goes unless announced again.

        Raises:
            PlatformError: It was not announced.
            PlatformUnsureError: It is not known whether it was.
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
