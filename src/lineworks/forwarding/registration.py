"""Tells the other instances where this one is, through the platform's store.

Every instance keeps one key under a lease and dials all that are listed. The first list comes with
what the directory reads from the store anyway; one more is read after the own key is written, so
that of two instances which start together at least one finds the other.
The key only helps to find each other: whether an instance is alive is shown by its links, so a key
that is late, gone or wrong decides nothing.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import structlog

from lineworks.kernel import task
from lineworks.models import member
from lineworks.platform import store, store_items

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from lineworks.models import node_settings
    from lineworks.services import peer_links

PREFIX = "lineworks/nodes/"
"""Prefix of the keys; what follows is the instance's name."""

LEASE_SECONDS = 120.0
"""Seconds after which the key of a dead instance goes; others dial it in vain until then."""

RENEW_SECONDS = 45.0
"""Seconds between renewals: one may fail before the lease ends. Each call has a price."""

RETRY_SECONDS = 1.0
"""Seconds between tries while the store fails."""

AGAIN_PER_SECOND = 100.0
"""Instances that write their keys again each second after the store's return from an older copy:
two writes each, half of what the store takes."""

AGAIN_SECONDS = 0.5
"""Seconds over which few instances spread that."""

NEW_SECONDS = 30.0
"""Seconds after the start in which the list is read again with that: the one that was read may have
lacked instances that started at the same time, and their keys may have been lost."""

SECOND_LOOK_SECONDS = 0.8
"""Seconds after the registration at which the list is read: instances that start together have
registered by then."""

_log = structlog.get_logger(component="registration")


class Registration:
    """The key of this instance."""

    def __init__(
        self,
        reactor: Any,
        settings: node_settings.NodeSettings,
        client: store.Store,
        links: peer_links.PeerLinks,
        jitter: Callable[[], float],
    ) -> None:
        """Make a registration; nothing is written yet.

        Args:
            reactor: Twisted's reactor.
            settings: Settings of this instance.
            client: The platform's store.
            links: Dials the instances that are listed.
            jitter: Draws a number between 0 and 1 that spreads calls.
        """
        self._reactor = reactor
        self._settings = settings
        self._store = client
        self._links = links
        self._jitter = jitter
        self._again: Any = None
        self._started_at = reactor.seconds()
        self.on_listed: Callable[[], None] = lambda: None
        """Called when the instances that are listed have changed."""
        self._members: dict[str, member.Member] = {}
        self._task = task.Task("registration", self._run)

    @property
    def known(self) -> int:
        """Instances listed, this one included once its key is; 0 while no list was read."""
        return len(self._members)

    @property
    def names(self) -> Collection[str]:
        """Names of the instances that are listed."""
        return self._members.keys()

    @property
    def members(self) -> Collection[member.Member]:
        """The instances that are listed."""
        return self._members.values()

    def start(self) -> None:
        """Begin to register."""
        self._started_at = self._reactor.seconds()
        self._task.start()

    def stop(self) -> None:
        """Stop renewing; the key goes with its lease."""
        self._task.stop()
        if self._again is not None and self._again.active():
            self._again.cancel()

    def on_store_return(self) -> None:
        """Write the key again soon: the store came back from a copy that may lack it.

        The lease is gone for certain, and instances that start lean on the key.
        """
        if self._again is not None and self._again.active():
            return
        spread = max(AGAIN_SECONDS, self.known / AGAIN_PER_SECOND)
        self._again = self._reactor.callLater(spread * self._jitter(), self._register_again)

    def _register_again(self) -> None:
        self._task.stop()
        self._task.start()

    async def _run(self) -> None:
        while True:
            try:
                lease = await self._register()
                if self._reactor.seconds() - self._started_at < NEW_SECONDS:
                    await self._look()
                await self._keep(lease)
            except store.StoreError as error:
                _log.warning("registration_failed", error=str(error))
                await task.sleep(self._reactor, RETRY_SECONDS * (1 + self._jitter()))

    async def _register(self) -> store_items.Lease:
        mine = self._settings
        document = {"hall": mine.hall, "host": mine.peers.host, "port": mine.peers.port}
        lease = await self._store.grant_lease(LEASE_SECONDS)
        value = json.dumps(document).encode()
        await self._store.transact([store_items.Write(PREFIX + mine.name, value, lease)])
        return lease

    async def _look(self) -> None:
        """Read the list once those that started at the same time have written their keys."""
        await task.sleep(self._reactor, SECOND_LOOK_SECONDS)
        listing = await self._store.list_items(PREFIX)
        self.on_changes(
            [store_items.Change(item.key, item.position, item.value) for item in listing.items]
        )

    def on_changes(self, changes: Iterable[store_items.Change]) -> None:
        """Take in keys of instances that were written or removed.

        Args:
            changes: The changes; those of other keys are passed over.
        """
        is_changed = False
        for change in changes:
            name = change.key.removeprefix(PREFIX)
            if name == change.key:
                continue
            listed = _member(name, change.value) if change.value is not None else None
            if listed is not None:
                self._members[name] = listed
                is_changed = True
            elif name not in self._links.up:
                # An instance with a link stays wanted even if its key is gone.
                is_changed |= self._members.pop(name, None) is not None
        if is_changed:
            self._links.set_peers(self._members)
            self.on_listed()

    async def _keep(self, lease: store_items.Lease) -> None:
        while True:
            await task.sleep(self._reactor, RENEW_SECONDS * (0.9 + self._jitter() / 5))
            await self._store.renew_lease(lease)


def _member(name: str, value: bytes) -> member.Member | None:
    try:
        found = json.loads(value)
        host, port, hall = str(found["host"]), int(found["port"]), str(found["hall"])
    except (ValueError, KeyError, TypeError, OverflowError, RecursionError) as error:
        _log.warning("node_key_refused", name=ascii(name), error=repr(error))
        return None
    return member.Member(name, hall, host, port, "", False)
