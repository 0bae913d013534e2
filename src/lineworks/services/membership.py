"""Which instances are live: the platform's list, corrected by own evidence.

The list lags. A peer with a link in use is live whatever the list says; a peer that is listed but
cannot be reached counts as live only for `GRACE` seconds; a peer that said it is leaving gets no
new work at once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import structlog

from lineworks.decisions import members, ownership
from lineworks.kernel import task
from lineworks.models import member
from lineworks.services import platform_client
from lineworks.wire import frames

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from lineworks.services import peer_links

ANNOUNCE_SECONDS = 15.0
"""Seconds between announcements to the platform."""

LEASE_SECONDS = 50.0
"""Seconds for which the platform lists this instance after an announcement."""

LIST_SECONDS = 3.0
"""Seconds between reads of the list by two instances of each hall."""

SLOW_LIST_SECONDS = 30.0
"""Seconds between reads of the list by all others; a new instance dials them itself."""

READERS_PER_HALL = 2
"""Instances of a hall that read the list often."""

_READER_SUBJECT = "membership-list"

_log = structlog.get_logger(component="membership")


class Membership:
    """The live instances as this one sees them."""

    def __init__(
        self,
        reactor: Any,
        rng: random.Random,
        me: member.Member,
        platform: platform_client.PlatformClient,
        links: peer_links.PeerLinks,
        seeds: list[member.Member],
    ) -> None:
        """Start alone.

        Args:
            reactor: Twisted's reactor.
            rng: Source of jitter.
            me: This instance's own entry.
            platform: The platform.
            links: Links to peers.
            seeds: Peers known from the settings.
        """
        self._reactor = reactor
        self._rng = rng
        self._me = me
        self._platform = platform
        self._links = links
        self._seeds = seeds
        self._state = members.MemberState(me.name, me.hall)
        self._listed: dict[str, member.Member] = {}
        self._task = task.Task("membership", self._run)
        self._published: dict[str, str] = {}
        self.is_leaving = False
        self.listeners: list[Callable[[dict[str, str]], None]] = []
        links.on_up.append(self._on_up)
        links.on_down.append(self._on_down)

    @property
    def live(self) -> dict[str, str]:
        """Live instances that take work, each with its hall."""
        return self._state.live(self._reactor.seconds())

    def hall_members(self) -> list[str]:
        """List the live instances of the own hall, this one among them.

        Returns:
            Names.
        """
        return [name for name, hall in self.live.items() if hall == self._me.hall]

    def start(self) -> None:
        """Begin to announce this instance and to read the list."""
        self._links.set_peers({seed.name: seed for seed in self._seeds})
        self._task.start()

    def stop(self) -> None:
        """Stop announcing."""
        self._task.stop()

    async def announce_leaving(self) -> None:
        """Tell all peers, and then the platform, that this instance takes no new work."""
        self.is_leaving = True
        self._links.broadcast(self._links.make_heartbeat())
        self._notify_listeners()
        try:
            await self._announce()
        except (platform_client.PlatformError, platform_client.PlatformUnsureError) as error:
            _log.warning("announce_failed", error=str(error))

    def on_heartbeat(self, peer: str, is_leaving: bool) -> None:
        """Take in what a peer says of itself.

        Args:
            peer: The peer.
            is_leaving: Whether it takes no new work.
        """
        if is_leaving:
            self._state.on_leaving(peer)
        self._notify_listeners()

    async def _run(self) -> None:
        """Announce and read the list, each when it is due; a failed call is due again soon."""
        announce_at = list_at = 0.0
        while True:
            now = self._reactor.seconds()
            try:
                if now >= announce_at:
                    await self._announce()
                    announce_at = now + ANNOUNCE_SECONDS
                if now >= list_at:
                    self._process_list(await self._platform.members())
                    list_at = now + (LIST_SECONDS if self._is_reader else SLOW_LIST_SECONDS)
            except (platform_client.PlatformError, platform_client.PlatformUnsureError) as error:
                _log.warning("membership_failed", error=str(error))
            self._notify_listeners()
            pause = LIST_SECONDS * (0.75 + self._rng.random() / 2)
            await task.sleep(self._reactor, pause)

    @property
    def _is_reader(self) -> bool:
        readers = ownership.owners(_READER_SUBJECT, self.hall_members(), READERS_PER_HALL)
        return self._me.name in readers

    async def _announce(self) -> None:
        me = self._me
        entry = member.Member(me.name, me.hall, me.host, me.port, me.incarnation, self.is_leaving)
        await self._platform.announce(entry, LEASE_SECONDS)

    def _process_list(self, listed: list[member.Member]) -> None:
        now = self._reactor.seconds()
        self._listed = {member.name: member for member in listed if member.name != self._me.name}
        self._state.on_list(
            [
                members.ListedInstance(
                    member.name, member.hall, member.incarnation, member.is_leaving
                )
                for member in self._listed.values()
            ],
            now,
        )
        wanted = {seed.name: seed for seed in self._seeds}
        wanted.update(self._listed)
        wanted.pop(self._me.name, None)
        self._links.set_peers(wanted)

    def _on_up(self, hello: frames.Hello) -> None:
        self._state.on_up(hello.name, hello.hall, hello.incarnation)
        self._notify_listeners()

    def _on_down(self, name: str) -> None:
        self._state.on_down(name, self._reactor.seconds())
        self._notify_listeners()

    def _notify_listeners(self) -> None:
        live = self.live
        if live == self._published:
            return
        self._published = dict(live)
        for listener in self.listeners:
            listener(live)
