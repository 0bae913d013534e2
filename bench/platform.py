"""A fake of the store's client over the store's model: outages and lost answers, in memory.

Each instance gets a `PlatformPort`, so that one instance can be cut off while others are not.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING, Any

from twisted.internet import defer

from lineworks.decisions import positions
from lineworks.kernel import task
from lineworks.platform import store, store_era, store_items
from lineworks.platform.standins import store_model
from lineworks.services import platform_client

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Sequence

    from bench import fakes


@dataclasses.dataclass
class Faults:
    """What is wrong with the platform."""

    is_down: bool = False
    """Whether no call gets through."""

    lost_reply_share: float = 0.0
    """Share of writes that take effect though their reply is lost."""

    lost_request_share: float = 0.0
    """Share of writes that are lost on the way, which their sender cannot tell from the other."""

    delay: float = 0.002
    """Seconds that a call takes, there and back."""

    stale_reads: int = 0
    """How many of the next reads return the value before the last."""


class Platform:
    """The store, shared by all ports."""

    def __init__(self, clock: fakes.VirtualClock, rng: random.Random) -> None:
        """Start empty.

        Args:
            clock: Time and timers.
            rng: Random source of the faults.
        """
        self.clock = clock
        self.rng = rng
        self.faults = Faults()
        self.model = store_model.StoreModel(clock)
        self.previous: dict[str, tuple[str, int]] = {}
        self.calls: collections.Counter[str] = collections.Counter()
        self.bytes = 0
        self._watches: list[defer.Deferred[None]] = []

    @property
    def values(self) -> dict[str, tuple[str, int]]:
        """All values with their revisions, by key."""
        items, _ = self.model.page("", "")
        return {item.key: (item.value, item.revision) for item in items}

    def write(self, key: str, data: str) -> None:
        """Set a value and wake its watchers.

        Args:
            key: The key.
            data: The value.
        """
        self.remember(key)
        self.model.write(key, data)

    def remember(self, key: str) -> None:
        """Keep a value that is about to be written over, for stale reads.

        Args:
            key: The key.
        """
        old = self.model.get(key)
        if old is not None:
            self.previous[key] = (old.value, old.revision)

    def wait(self, prefix: str, seconds: float) -> defer.Deferred[None]:
        """Wait for a change below a prefix.

        Args:
            prefix: The prefix.
            seconds: How long to wait at most.

        Returns:
            A deferred that fires at the change or after the time.
        """
        waiting: defer.Deferred[None] = defer.Deferred()
        self._watches.append(waiting)

        def finish() -> None:
            stop()
            if waiting in self._watches:
                self._watches.remove(waiting)
            if not waiting.called:
                waiting.callback(None)

        stop = self.model.wait(prefix, finish)
        self.clock.callLater(seconds, finish)
        return waiting

    def drop_watches(self) -> None:
        """Lose every watch, as in an outage."""
        watches, self._watches = self._watches, []
        for waiting in watches:
            if not waiting.called:
                waiting.errback(store.StoreError("watch: lost"))


class FakeStore:
    """What one instance sees of the store; it stands in for `lineworks.platform.store.Store`."""

    def __init__(self, platform: Platform) -> None:
        """Connect.

        Args:
            platform: The store's contents and faults.
        """
        self._platform = platform
        self.is_cut = False
        self.era = store_era.StoreEra()
        self.calls: collections.Counter[str] = collections.Counter()

    def stop(self) -> None:
        """Do nothing."""

    async def get(self, key: str) -> store_items.Item | None:
        """Read a key; see `Store.get`."""
        await self._travel("get")
        platform = self._platform
        if platform.faults.stale_reads > 0 and key in platform.previous:
            platform.faults.stale_reads -= 1
            value, revision = platform.previous[key]
            return store_items.Item(key, value.encode(), self._position(revision))
        item = platform.model.get(key)
        if item is None:
            return None
        platform.bytes += len(item.value)
        return self._item(item)

    async def list_items(self, prefix: str) -> store_items.Listing:
        """List items; see `Store.list_items`."""
        await self._travel("list")
        found, _ = self._platform.model.page(prefix, "")
        items = [self._item(item) for item in found]
        return store_items.Listing(items, self._position(self._platform.model.revision))

    async def watch(
        self, prefix: str, after: positions.Position, wait: float
    ) -> store_items.Changes:
        """Read changes; see `Store.watch`."""
        await self._travel("watch")
        platform = self._platform
        if after.era != platform.model.era:
            raise store.HistoryGoneError("the store came back from an older copy")
        if not self._changes(prefix, after):
            await platform.wait(prefix, wait)
        if self._is_out:
            raise store.StoreError("watch: lost")
        if after.era != platform.model.era:
            raise store.HistoryGoneError("the store came back from an older copy")
        changes = self._changes(prefix, after)
        platform.bytes += sum(len(change.value or b"") for change in changes)
        return store_items.Changes(changes, self._position(platform.model.revision))

    async def transact(
        self,
        writes: Iterable[store_items.Write],
        expected: Sequence[tuple[str, positions.Position]] = (),
        removed: Sequence[str] = (),
    ) -> positions.Position:
        """Write keys; see `Store.transact`."""
        await self._travel("write")
        platform = self._platform
        faults = platform.faults
        if any(at.era < platform.model.era for _, at in expected if at != positions.ABSENT):
            raise store.ConflictError("the store came back from an older copy")
        rows = [
            (write.key, write.value.decode(), write.lease.number if write.lease else 0)
            for write in writes
        ]
        platform.bytes += sum(len(row[1]) for row in rows)
        drawn = platform.rng.random()
        if drawn < faults.lost_request_share:
            raise store.StoreUnsureError("the request was lost")
        for key, _, _ in rows:
            platform.remember(key)
        try:
            wanted = [(key, position.revision) for key, position in expected]
            revision: int | None = platform.model.transact(wanted, rows, removed)
        except store_model.MismatchError:
            revision = None
        except store_model.LeaseNotFoundError as error:
            raise store.LeaseGoneError("no such lease") from error
        if drawn < faults.lost_request_share + faults.lost_reply_share:
            raise store.StoreUnsureError("the reply was lost")
        if revision is None:
            raise store.ConflictError("another revision")
        return self._position(revision)

    async def grant_lease(self, seconds: float) -> store_items.Lease:
        """Open a lease; see `Store.grant_lease`."""
        await self._travel("lease")
        return store_items.Lease(self._platform.model.grant(seconds), self._platform.model.era)

    async def renew_lease(self, lease: store_items.Lease) -> None:
        """Renew a lease; see `Store.renew_lease`."""
        await self._travel("renew")
        try:
            self._platform.model.renew(lease.number)
        except store_model.LeaseNotFoundError as error:
            raise store.LeaseGoneError("no such lease") from error

    def _changes(self, prefix: str, after: positions.Position) -> list[store_items.Change]:
        try:
            found = self._platform.model.changes(prefix, after.revision)
        except store_model.CompactedError as error:
            raise store.HistoryGoneError("the history is gone") from error
        return [
            store_items.Change(
                c.key,
                self._position(c.revision),
                None if c.item is None else c.item.value.encode(),
            )
            for c in found
        ]

    def _position(self, revision: int) -> positions.Position:
        return positions.Position(self._platform.model.era, revision)

    def _item(self, item: store_model.StoredItem) -> store_items.Item:
        position = self._position(item.revision)
        return store_items.Item(item.key, item.value.encode(), position)

    @property
    def _is_out(self) -> bool:
        return self.is_cut or self._platform.faults.is_down

    async def _travel(self, label: str) -> None:
        self.calls[label] += 1
        self._platform.calls[label] += 1
        await task.sleep(self._platform.clock, self._platform.faults.delay)
        if self._is_out:
            raise store.StoreError(f"{label}: no connection")
        self.era.learn(self._platform.model.era)


class PlatformPort(platform_client.PlatformClient):
    """The product's client over the fake store."""

    def __init__(self, platform: Platform) -> None:
        """Connect.

        Args:
            platform: The store's contents and faults.
        """
        self.fake = FakeStore(platform)
        client: Any = self.fake
        super().__init__(client)

    @property
    def is_cut(self) -> bool:
        """Whether this instance is cut off from the store."""
        return self.fake.is_cut

    @is_cut.setter
    def is_cut(self, is_cut: bool) -> None:
        self.fake.is_cut = is_cut
