"""Registers this instance in the platform's store, so that the other instances can connect to it.

Every instance keeps one key under a lease and connects to all listed instances. The first list is
part of what the directory reads from the store anyway. The list is read again after the instance
has written its own key, so that of two instances which start together at least one finds the other.
The keys serve for discovery only: the links show whether an instance is alive, so a key that is
late, missing or wrong has no further effect.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import structlog
from twisted.internet import defer

from lineworks.forwarding import refused_rows
from lineworks.kernel import failure_log, task
from lineworks.models import member
from lineworks.platform import store, store_items

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from lineworks.models import node_settings
    from lineworks.services import peer_links

PREFIX = "lineworks/nodes/"
"""Prefix of the keys; what follows is the instance's name."""

LEASE_SECONDS = 120.0
"""Time to live of a key, in seconds; until it expires, others try to connect to a dead instance."""

RENEW_SECONDS = 45.0
"""Mean seconds between renewals: one may fail before the lease expires. Calls to the store are
costly, so there are no more than that."""

RETRY_SECONDS = 1.0
"""Minimum seconds between attempts while the store fails; up to twice that at random."""

REWRITES_PER_SECOND = 100.0
"""Instances that rewrite their keys per second after the store was restored from an older copy:
with two writes each, this is half of what the store can handle."""

MIN_REWRITE_SPREAD_SECONDS = 0.5
"""Minimum seconds over which the instances spread these rewrites, when there are few of them."""

RECENT_START_SECONDS = 30.0
"""Seconds after the start in which a rewrite also reads the list again: the list read before may
have lacked instances that started at the same time, and their keys may have been lost."""

RELIST_DELAY_SECONDS = 0.8
"""Seconds after the registration at which the list is read: by then, instances that started at the
same time have registered."""

_log = structlog.get_logger(component="registration")


class Registration:
    """Keeps the key of this instance, and the list of the other instances."""

    def __init__(
        self,
        reactor: Any,
        settings: node_settings.NodeSettings,
        client: store.Store,
        links: peer_links.PeerLinks,
        jitter: Callable[[], float],
    ) -> None:
        """Create a registration; nothing is written yet.

        Args:
            reactor: Twisted's reactor.
            settings: Settings of this instance.
            client: The platform's store.
            links: Connects to the listed instances.
            jitter: Returns a random number between 0 and 1, used to spread calls.
        """
        self._reactor = reactor
        self._settings = settings
        self._store = client
        self._links = links
        self._jitter = jitter
        self._pending_rewrite: Any = None
        self._started_at = reactor.seconds()
        self.on_listed: Callable[[], None] = lambda: None
        """Called when the listed instances have changed."""
        self._members: dict[str, member.Member] = {}
        self._refused = refused_rows.RefusedRows(reactor, "registration")
        self._failures = failure_log.FailureLog(reactor, "registration", "registration_failed")
        self._task = task.Task("registration", self._run)

    @property
    def listed_count(self) -> int:
        """Number of listed instances, including this one once its key is; 0 without any list."""
        return len(self._members)

    @property
    def refused_count(self) -> int:
        """Number of keys that were refused because their values are invalid."""
        return self._refused.total

    @property
    def names(self) -> Collection[str]:
        """Names of the listed instances."""
        return self._members.keys()

    @property
    def members(self) -> Collection[member.Member]:
        """The listed instances."""
        return self._members.values()

    def start(self) -> None:
        """Start registering."""
        self._started_at = self._reactor.seconds()
        self._task.start()

    def stop(self) -> None:
        """Stop renewing the lease; the key expires with it."""
        self._task.stop()
        if self._pending_rewrite is not None and self._pending_rewrite.active():
            self._pending_rewrite.cancel()

    def on_store_restored(self) -> None:
        """Schedule a rewrite of the key: the store was restored from a copy that may lack it.

        The lease is lost in any case, and instances that start depend on the key.
        """
        if self._pending_rewrite is not None and self._pending_rewrite.active():
            return
        spread = max(MIN_REWRITE_SPREAD_SECONDS, self.listed_count / REWRITES_PER_SECOND)
        self._pending_rewrite = self._reactor.callLater(spread * self._jitter(), self._restart)

    def _restart(self) -> None:
        self._task.stop()
        self._task.start()

    async def _run(self) -> None:
        while True:
            try:
                lease = await self._register()
                if self._reactor.seconds() - self._started_at < RECENT_START_SECONDS:
                    await self._relist()
                await self._renew_periodically(lease)
            except store.StoreError as error:
                _log.warning("registration_failed", error=str(error))
                await task.sleep(self._reactor, RETRY_SECONDS * (1 + self._jitter()))
            except defer.CancelledError:
                raise
            except Exception as error:
                # Without the task, the lease would end and starting instances not find this one.
                self._failures.on_failure(error)
                await task.sleep(self._reactor, RETRY_SECONDS * (1 + self._jitter()))

    async def _register(self) -> store_items.Lease:
        settings = self._settings
        document = {"hall": settings.hall, "host": settings.peers.host, "port": settings.peers.port}
        lease = await self._store.grant_lease(LEASE_SECONDS)
        value = json.dumps(document).encode()
        await self._store.transact([store_items.Write(PREFIX + settings.name, value, lease)])
        return lease

    async def _relist(self) -> None:
        """Read the list once instances that started at the same time have written their keys."""
        await task.sleep(self._reactor, RELIST_DELAY_SECONDS)
        listing = await self._store.list_items(PREFIX)
        self.on_changes(
            [store_items.Change(item.key, item.position, item.value) for item in listing.items]
        )

    def on_changes(self, changes: Iterable[store_items.Change]) -> None:
        """Apply changes of the keys of instances.

        Args:
            changes: The changes; those of other keys are ignored.
        """
        is_changed = False
        for change in changes:
            name = change.key.removeprefix(PREFIX)
            if name == change.key:
                continue
            listed = self._decode(name, change)
            if listed is not None:
                self._members[name] = listed
                is_changed = True
            elif name not in self._links.up:
                # Links to connected instances are kept even if their keys are gone.
                is_changed |= self._members.pop(name, None) is not None
        if is_changed:
            self._links.set_peers(self._members)
            self.on_listed()

    def _decode(self, name: str, change: store_items.Change) -> member.Member | None:
        """Return the instance that a key lists, or None if it was removed or is invalid."""
        listed = None
        if change.value is not None:
            try:
                listed = member.decode(change.value, name=name, incarnation="", is_leaving=False)
            except member.MemberError as error:
                reason = change.problem or str(error)
                self._refused.refuse("node_key_refused", change.key, change.position, reason)
                return None
        self._refused.accept(change.key)
        return listed

    async def _renew_periodically(self, lease: store_items.Lease) -> None:
        while True:
            await task.sleep(self._reactor, RENEW_SECONDS * (0.9 + self._jitter() / 5))
            await self._store.renew_lease(lease)
