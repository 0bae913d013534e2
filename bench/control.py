"""Many instances' configuration keepers and memberships on a virtual clock.

The real `ConfigKeeper`, `ConfigStore` and `Membership` run over in-memory links, which keep the
heartbeats of `PeerLinks` and count frames and bytes.
"""

from __future__ import annotations

import collections
import random
from typing import TYPE_CHECKING, Any

from bench import fakes
from bench import platform as platforms
from lineworks.models import member
from lineworks.services import config_keeper, config_store, membership, peer_links
from lineworks.wire import codec, frames

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping


class _Link:
    """One end of an in-memory link, as `PeerLink` is seen by its services."""

    def __init__(self, owner: MemoryLinks, hello: frames.Hello) -> None:
        self._owner = owner
        self.hello = hello

    def send(self, frame: frames.Frame) -> None:
        """Send a frame back."""
        self._owner.send(self.hello.name, frame)

    def close(self, reason: str) -> None:
        """Close the link."""
        self._owner.counts[reason] += 1


class MemoryLinks:
    """Stands in for `PeerLinks`."""

    def __init__(self, control: Control, name: str, hall: str) -> None:
        """Make links without peers.

        Args:
            control: The instances.
            name: Name of this one.
            hall: Its data hall.
        """
        self._control = control
        self._handlers: dict[type, Callable[[Any, Any], None]] = {}
        self._ups: dict[str, _Link] = {}
        self.me = frames.Hello(name, hall, f"{name}-1", b"")
        self.counts: collections.Counter[str] = collections.Counter()
        self.sent_bytes = 0
        self.make_heartbeat: Callable[[], frames.Heartbeat] = lambda: frames.Heartbeat(False, 0, "")
        self.on_up: list[Callable[[frames.Hello], None]] = []
        self.on_down: list[Callable[[str], None]] = []

    @property
    def up(self) -> Mapping[str, _Link]:
        """Links by the name of the peer."""
        return self._ups

    def handle(self, kind: type, handler: Callable[[Any, Any], None]) -> None:
        """Say who takes a kind of frame."""
        self._handlers[kind] = handler

    def set_peers(self, members: Mapping[str, member.Member]) -> None:
        """Open the links to members that can be reached."""
        for name in sorted(members):
            self._control.connect(self.me.name, name)

    def send(self, name: str, frame: frames.Frame) -> bool:
        """Send a frame; it travels as bytes."""
        if name not in self._ups:
            return False
        data = codec.encode(frame, self._control.clock.seconds())
        self.sent_bytes += len(data)
        self.counts[type(frame).__name__] += 1
        self._control.carry(self, name, data)
        return True

    def broadcast(self, frame: frames.Frame) -> None:
        """Send a frame to every peer."""
        for name in list(self._ups):
            self.send(name, frame)

    def open(self, peer: MemoryLinks) -> None:
        """Note that a link is up."""
        self._ups[peer.me.name] = _Link(self, peer.me)
        for listener in self.on_up:
            listener(peer.me)
        self.send(peer.me.name, self.make_heartbeat())

    def shut(self, name: str) -> None:
        """Note that a link is down."""
        if self._ups.pop(name, None) is not None:
            for listener in self.on_down:
                listener(name)

    def deliver(self, sender: str, data: bytes) -> None:
        """Take in a frame."""
        link = self._ups.get(sender)
        if link is None:
            return
        frame = codec.decode(data, self._control.clock.seconds())
        handler = self._handlers.get(type(frame))
        if handler is not None:
            handler(link, frame)


class ControlInstance:
    """The control services of one instance."""

    def __init__(self, control: Control, name: str, hall: str) -> None:
        """Make the services; `start` begins their work.

        Args:
            control: The instances.
            name: Name of this one.
            hall: Its data hall.
        """
        clock = control.clock
        rng = random.Random(f"{control.seed}/{name}")
        self.name = name
        self.hall = hall
        self.clock = clock
        self.port = platforms.PlatformPort(control.platform)
        self.links = MemoryLinks(control, name, hall)
        me = member.Member(name, hall, "127.0.0.1", 1, f"{name}-1", False)
        port: Any = self.port
        links: Any = self.links
        self.members = membership.Membership(clock, rng, me, port, links, [])
        self.store = config_store.ConfigStore(clock, port, rng)
        self.keeper = config_keeper.ConfigKeeper(
            clock, rng, name, self.store, links, self.members.hall_members
        )
        self.versions: list[tuple[float, int, str]] = []
        self.keeper.listeners.append(self._note_version)
        links.handle(frames.Heartbeat, self._on_heartbeat)
        links.make_heartbeat = self._make_heartbeat

    def start(self) -> None:
        """Begin all work."""
        self.members.start()
        self.keeper.start()
        self.clock.callLater(peer_links.HEARTBEAT_SECONDS, self._beat)

    def _note_version(self, config: Any, weights: Any) -> None:
        self.versions.append((self.clock.seconds(), config.version, config.digest))

    def _make_heartbeat(self) -> frames.Heartbeat:
        return frames.Heartbeat(self.members.is_leaving, self.keeper.version, self.keeper.digest)

    def _on_heartbeat(self, link: Any, frame: frames.Heartbeat) -> None:
        self.members.on_heartbeat(link.hello.name, frame.is_leaving)
        self.keeper.on_heartbeat(link.hello.name, frame.config_version, frame.config_digest)

    def _beat(self) -> None:
        self.links.broadcast(self._make_heartbeat())
        self.clock.callLater(peer_links.HEARTBEAT_SECONDS, self._beat)


class Control:
    """All instances."""

    def __init__(self, halls: Mapping[str, int], seed: int, max_links: int | None = None) -> None:
        """Make instances; they know nothing of each other yet.

        Args:
            halls: Number of instances by hall.
            seed: Seed of everything random.
            max_links: Links that an instance opens at most; all when not given.
        """
        self.seed = seed
        self.clock = fakes.VirtualClock()
        self.platform = platforms.Platform(self.clock, random.Random(f"{seed}/platform"))
        self.cut: set[str] = set()
        self._max_links = max_links
        self.instances: dict[str, ControlInstance] = {}
        for hall, count in halls.items():
            for number in range(count):
                self.add(f"{hall}-{number}", hall)

    def add(self, name: str, hall: str) -> ControlInstance:
        """Add an instance.

        Args:
            name: Its name.
            hall: Its data hall.

        Returns:
            The instance, not started.
        """
        instance = self.instances[name] = ControlInstance(self, name, hall)
        return instance

    def start(self) -> None:
        """Start all instances."""
        for instance in self.instances.values():
            instance.start()

    def cut_from_platform(self, hall: str, is_cut: bool = True) -> None:
        """Cut a hall off from the platform, or join it again.

        Args:
            hall: The hall.
            is_cut: Whether it is cut off.
        """
        for instance in self.instances.values():
            if instance.hall == hall:
                instance.port.is_cut = is_cut

    def cut_from_peers(self, hall: str) -> None:
        """Cut a hall off from the other halls; links notice after their silence.

        Args:
            hall: The hall.
        """
        self.cut.add(hall)
        self.clock.callLater(peer_links.SILENCE_SECONDS, self._shut_cut)

    def heal_peers(self, hall: str) -> None:
        """Join a hall to the other halls again.

        Args:
            hall: The hall.
        """
        self.cut.discard(hall)

    def connect(self, first: str, second: str) -> None:
        """Open a link between two instances, if there is none and none is in the way.

        Args:
            first: An instance.
            second: Another instance.
        """
        one, two = self.instances.get(first), self.instances.get(second)
        if one is None or two is None or one is two or second in one.links.up:
            return
        if self._is_cut(one.hall, two.hall):
            return
        limit = self._max_links
        if limit is not None and max(len(one.links.up), len(two.links.up)) >= limit:
            return
        one.links.open(two.links)
        two.links.open(one.links)

    def carry(self, sender: MemoryLinks, receiver: str, data: bytes) -> None:
        """Deliver a frame after the links' delay.

        Args:
            sender: Where it comes from.
            receiver: Name of the receiving instance.
            data: The frame.
        """
        other = self.instances[receiver]
        if self._is_cut(sender.me.hall, other.hall):
            return
        delay = 0.0005 if sender.me.hall == other.hall else 0.008
        self.clock.callLater(delay, other.links.deliver, sender.me.name, data)

    def in_force(self) -> set[tuple[int, str]]:
        """Tell which versions are in force.

        Returns:
            Version and digest of every instance.
        """
        return {(i.keeper.version, i.keeper.digest) for i in self.instances.values()}

    def _is_cut(self, first: str, second: str) -> bool:
        return first != second and (first in self.cut or second in self.cut)

    def _shut_cut(self) -> None:
        for one in self.instances.values():
            for name in list(one.links.up):
                if self._is_cut(one.hall, self.instances[name].hall):
                    one.links.shut(name)
