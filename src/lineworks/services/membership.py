"""Tracks live instances from the platform's list, corrected by the state of this instance's links.

The list is delayed. A peer with an established link is live whatever the list says. A listed peer
that cannot be reached counts as live only for `members.GRACE` seconds. A peer that announces that
it is leaving is given no new work from then on.
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
"""Seconds between announcements of this instance to the platform."""

LEASE_SECONDS = 50.0
"""Seconds for which an announcement keeps this instance on the platform's list."""

LIST_SECONDS = 3.0
"""Seconds between reads of the list by the readers of a hall."""

SLOW_LIST_SECONDS = 30.0
"""Seconds between reads of the list by all other instances. They need not learn of a new instance
early, because it connects to them itself."""

READERS_PER_HALL = 2
"""Number of instances in each hall that read the list every `LIST_SECONDS`."""

_READER_SUBJECT = "membership-list"

_log = structlog.get_logger(component="membership")


class Membership:
    """Tracks which instances are live, and announces this one."""

    def __init__(
        self,
        reactor: Any,
        rng: random.Random,
        own_member: member.Member,
        platform: platform_client.PlatformClient,
        links: peer_links.PeerLinks,
        seeds: list[member.Member],
    ) -> None:
        """Initialise without peers.

        Args:
            reactor: Twisted's reactor.
            rng: Source of jitter.
            own_member: The entry of this instance.
            platform: Client of the platform.
            links: Links to peers.
            seeds: Peers named in the settings.
        """
        self._reactor = reactor
        self._rng = rng
        self._own_member = own_member
        self._platform = platform
        self._links = links
        self._seeds = seeds
        self._state = members.MemberState(own_member.name, own_member.hall)
        self._listed: dict[str, member.Member] = {}
        self._task = task.Task("membership", self._run)
        self._published: dict[str, str] = {}
        self.is_leaving = False
        """Whether this instance has announced that it accepts no new work."""
        self.listeners: list[Callable[[dict[str, str]], None]] = []
        """Called with the live instances and their halls when these change."""
        links.on_up.append(self._on_up)
        links.on_down.append(self._on_down)

    @property
    def live(self) -> dict[str, str]:
        """Live instances that accept work, as data halls by instance name."""
        return self._state.live(self._reactor.seconds())

    def hall_members(self) -> list[str]:
        """Return the live instances of this instance's data hall, including itself.

        Returns:
            Names of the instances.
        """
        return [name for name, hall in self.live.items() if hall == self._own_member.hall]

    def start(self) -> None:
        """Start announcing this instance and reading the list."""
        self._links.set_peers({seed.name: seed for seed in self._seeds})
        self._task.start()

    def stop(self) -> None:
        """Stop announcing this instance and reading the list."""
        self._task.stop()

    async def announce_leaving(self) -> None:
        """Announce that this instance accepts no new work: to all peers, then to the platform."""
        self.is_leaving = True
        self._links.broadcast(self._links.make_heartbeat())
        self._notify_listeners()
        try:
            await self._announce()
        except (platform_client.PlatformError, platform_client.PlatformUnsureError) as error:
            _log.warning("announce_failed", error=str(error))

    def on_heartbeat(self, peer: str, is_leaving: bool) -> None:
        """Process the state that a peer reports in its heartbeat.

        Args:
            peer: Name of the peer.
            is_leaving: Whether the peer is leaving and accepts no new work.
        """
        if is_leaving:
            self._state.on_leaving(peer)
        self._notify_listeners()

    async def _run(self) -> None:
        """Announce this instance and read the list, each at its interval.

        A failed call is repeated in the next iteration, after about `LIST_SECONDS`.
        """
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
        return self._own_member.name in readers

    async def _announce(self) -> None:
        own_member = self._own_member
        entry = member.Member(
            own_member.name,
            own_member.hall,
            own_member.host,
            own_member.port,
            own_member.incarnation,
            self.is_leaving,
        )
        await self._platform.announce(entry, LEASE_SECONDS)

    def _process_list(self, listed: list[member.Member]) -> None:
        now = self._reactor.seconds()
        self._listed = {
            member.name: member for member in listed if member.name != self._own_member.name
        }
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
        wanted.pop(self._own_member.name, None)
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
