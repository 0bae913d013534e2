"""A fake of the platform client: compare-and-swap, watches, outages and lost replies, in memory.

Each instance gets a `PlatformPort`, so that one instance can be cut off while others are not.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING, Any

from twisted.internet import defer

from lineworks.kernel import task
from lineworks.models import member
from lineworks.services import platform_client

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

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

    members_lag: float = 0.0
    """Seconds by which the membership list lags."""

    stale_reads: int = 0
    """How many of the next reads return the value before the last."""


class Platform:
    """The values, shared by all ports."""

    def __init__(self, clock: fakes.VirtualClock, rng: random.Random) -> None:
        """Start empty.

        Args:
            clock: Time and timers.
            rng: Random source of the faults.
        """
        self.clock = clock
        self.rng = rng
        self.faults = Faults()
        self.values: dict[str, tuple[str, int]] = {}
        self.previous: dict[str, tuple[str, int]] = {}
        self.revision = 0
        self.calls: collections.Counter[str] = collections.Counter()
        self.bytes = 0
        self._watchers: dict[str, list[defer.Deferred[None]]] = {}
        self._members: dict[str, tuple[member.Member, float]] = {}
        self._published: list[tuple[float, list[member.Member]]] = []

    def write(self, key: str, data: str) -> None:
        """Set a value and wake its watchers.

        Args:
            key: The key.
            data: The value.
        """
        if key in self.values:
            self.previous[key] = self.values[key]
        self.revision += 1
        self.values[key] = (data, self.revision)
        for waiting in self._watchers.pop(key, []):
            if not waiting.called:
                waiting.callback(None)

    def read(self, key: str) -> platform_client.Value:
        """Read a value, perhaps a stale one.

        Args:
            key: The key.

        Returns:
            The value.
        """
        source = self.values
        if self.faults.stale_reads > 0 and key in self.previous:
            self.faults.stale_reads -= 1
            source = self.previous
        data, revision = source.get(key, (None, 0))
        self.bytes += len(data or "")
        return platform_client.Value(data, revision)

    def wait(self, key: str, seconds: float) -> defer.Deferred[None]:
        """Wait for a change of a key.

        Args:
            key: The key.
            seconds: How long to wait at most.

        Returns:
            A deferred that fires at the change or after the time.
        """
        waiting: defer.Deferred[None] = defer.Deferred()
        self._watchers.setdefault(key, []).append(waiting)

        def give_up() -> None:
            if not waiting.called:
                waiting.callback(None)

        self.clock.callLater(seconds, give_up)
        return waiting

    def drop_watches(self) -> None:
        """Lose every watch, as in an outage."""
        watchers, self._watchers = self._watchers, {}
        for waiting in (item for items in watchers.values() for item in items):
            if not waiting.called:
                waiting.errback(platform_client.PlatformError("watch lost"))

    def announce(self, member: member.Member, lease: float) -> None:
        """List a member for a while.

        Args:
            member: The member.
            lease: Seconds.
        """
        self._members[member.name] = (member, self.clock.seconds() + lease)

    def list_members(self) -> list[member.Member]:
        """List the members, perhaps as they were some time ago.

        Returns:
            The members.
        """
        now = self.clock.seconds()
        current = [member for member, until in self._members.values() if until > now]
        self._published.append((now, current))
        seen = [listed for at, listed in self._published if at <= now - self.faults.members_lag]
        return seen[-1] if seen else []


class PlatformPort:
    """What one instance sees of the platform; it stands in for `PlatformClient`."""

    def __init__(self, platform: Platform) -> None:
        """Connect.

        Args:
            platform: The platform.
        """
        self._platform = platform
        self.is_cut = False
        self.calls: collections.Counter[str] = collections.Counter()

    async def get(self, key: str) -> platform_client.Value:
        """Read a key; see `PlatformClient.get`."""
        await self._travel("get")
        return self._platform.read(key)

    async def watch(self, key: str, after: int) -> platform_client.Value:
        """Watch a key; see `PlatformClient.watch`."""
        await self._travel("watch")
        platform = self._platform
        if platform.values.get(key, ("", 0))[1] <= after:
            await platform.wait(key, platform_client.WATCH_SECONDS)
        if self._is_out:
            raise platform_client.PlatformError("watch: lost")
        return platform.read(key)

    async def compare_and_swap(self, key: str, data: str, expect: int) -> bool:
        """Write a key conditionally; see `PlatformClient.compare_and_swap`."""
        await self._travel("cas")
        platform = self._platform

        def act() -> bool:
            if platform.values.get(key, ("", 0))[1] != expect:
                return False
            platform.write(key, data)
            return True

        return self._maybe_lose(act)

    async def put(self, key: str, data: str) -> None:
        """Write a key; see `PlatformClient.put`."""
        await self._travel("put")
        self._platform.bytes += len(data)
        self._maybe_lose(lambda: self._platform.write(key, data))

    async def members(self) -> list[member.Member]:
        """List the members; see `PlatformClient.members`."""
        await self._travel("members")
        return self._platform.list_members()

    async def announce(self, member: member.Member, lease_seconds: float) -> None:
        """Announce a member; see `PlatformClient.announce`."""
        await self._travel("announce")
        self._platform.announce(member, lease_seconds)

    @property
    def _is_out(self) -> bool:
        return self.is_cut or self._platform.faults.is_down

    async def _travel(self, label: str) -> None:
        self.calls[label] += 1
        self._platform.calls[label] += 1
        await task.sleep(self._platform.clock, self._platform.faults.delay)
        if self._is_out:
            raise platform_client.PlatformError(f"{label}: no connection")

    def _maybe_lose(self, act: Callable[[], Any]) -> Any:
        """Carry out a write, and perhaps lose the request or the reply."""
        faults = self._platform.faults
        drawn = self._platform.rng.random()
        if drawn < faults.lost_request_share:
            raise platform_client.PlatformUnsureError("the request was lost")
        result = act()
        if drawn < faults.lost_request_share + faults.lost_reply_share:
            raise platform_client.PlatformUnsureError("the reply was lost")
        return result
