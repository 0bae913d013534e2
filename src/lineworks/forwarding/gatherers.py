"""The front's view of the gatherers in other data halls: whom to ask, and what they owe."""

from __future__ import annotations

import dataclasses
import itertools
import math
from typing import TYPE_CHECKING, Any

from lineworks.decisions import gather_rate
from lineworks.wire import node_frames

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from lineworks.services import peer_links

SILENCE_SECONDS = 0.3
"""Seconds with work in hand and no frame at all after which a gatherer is passed over. Its first
frame of a query is due far earlier, and so is the next heartbeat."""


@dataclasses.dataclass(slots=True)
class _Peer:
    """What one gatherer owes."""

    open: int = 0
    waiting_since: float = 0.0
    silent_at: float = -math.inf
    """When it was last known to be silent; it is passed over until it is heard of again."""

    rate: float = gather_rate.UNKNOWN
    """Shards a second that it says it can ask."""


@dataclasses.dataclass(slots=True, eq=False)
class _PendingQuery:
    """A query sent to a gatherer."""

    peer: str
    on_parts: Callable[[node_frames.GatherParts], None]
    on_lost: Callable[[], None]


class GathererClient:
    """Sends queries to gatherers and matches what comes back."""

    def __init__(
        self,
        reactor: Any,
        links: peer_links.PeerLinks,
        rng: random.Random,
        own_rate: float = gather_rate.UNKNOWN,
    ) -> None:
        """Start with nothing under way.

        Args:
            reactor: Twisted's reactor.
            links: Links to the other instances.
            rng: Spreads queries over the gatherers of a hall.
            own_rate: Shards a second that this instance can ask itself.
        """
        self._own_rate = own_rate
        self._reactor = reactor
        self._links = links
        self._rng = rng
        self._numbers = itertools.count(1)
        self._pending: dict[int, _PendingQuery] = {}
        self._peers: dict[str, _Peer] = {}
        self._leaving: set[str] = set()
        links.handle(node_frames.GatherParts, self._on_parts)
        links.on_down.append(self._on_down)

    @property
    def own_rate(self) -> float:
        """Shards a second that this instance can ask itself."""
        return self._own_rate

    def ranked(self, hall: str) -> list[str]:
        """List the gatherers of a hall that are heard of, in the pending in which to ask them.

        Args:
            hall: The hall.

        Returns:
            Their names.
        """
        helpers = [
            gather_rate.Helper(name, self.rate(name), self._peer(name).open)
            for name in self.available_peers(hall)
        ]
        return gather_rate.rank(helpers, self._rng.random)

    def rate(self, name: str) -> float:
        """Tell how fast a gatherer is, as far as it says.

        Args:
            name: The gatherer.

        Returns:
            Shards a second; unknown where this instance does not tell its own rate.
        """
        return self._peer(name).rate if self._own_rate > gather_rate.UNKNOWN else self._own_rate

    def is_faster(self, name: str) -> bool:
        """Say whether a gatherer is so much faster that work of this instance is handed to it.

        Args:
            name: The gatherer.

        Returns:
            Whether it is; False where either rate is unknown.
        """
        return gather_rate.is_faster(self.rate(name), self._own_rate)

    def has_faster(self, hall: str) -> bool:
        """Say whether a gatherer of a hall is much faster than this instance.

        Args:
            hall: The hall.

        Returns:
            Whether any of those that are heard of is.
        """
        return any(self.is_faster(name) for name in self.available_peers(hall))

    def set_rate(self, peer: str, rate: float) -> None:
        """Note how fast a gatherer says it is.

        Args:
            peer: The gatherer.
            rate: Shards a second.
        """
        self._peer(peer).rate = rate

    def available_peers(self, hall: str) -> list[str]:
        """List the other instances of a hall that are heard of and take new work.

        Args:
            hall: The hall.

        Returns:
            Their names.
        """
        now = self._reactor.seconds()
        return [
            name
            for name, link in self._links.up.items()
            if link.hello is not None
            and link.hello.hall == hall
            and name not in self._leaving
            and not self._is_silent(name, link, now)
        ]

    def set_leaving(self, peer: str, is_leaving: bool) -> None:
        """Note whether a gatherer takes no new work.

        Args:
            peer: The gatherer.
            is_leaving: Whether it is about to stop.
        """
        if is_leaving:
            self._leaving.add(peer)
        else:
            self._leaving.discard(peer)

    def is_leaving(self, name: str) -> bool:
        """Say whether an instance told that it takes no new work.

        Args:
            name: The instance.

        Returns:
            Whether it did.
        """
        return name in self._leaving

    def mark_silent(self, name: str) -> None:
        """Pass an instance over until it is heard of.

        Args:
            name: The instance.
        """
        self._peer(name).silent_at = self._reactor.seconds()

    def mark_all_silent(self) -> None:
        """Pass all gatherers over until they are heard of: open connections went silent."""
        for name in self._links.up:
            self.mark_silent(name)

    def next_number(self) -> int:
        """Number a query."""
        return next(self._numbers)

    def send(
        self,
        peer: str,
        query: node_frames.GatherQuery,
        on_parts: Callable[[node_frames.GatherParts], None],
        on_lost: Callable[[], None],
    ) -> bool:
        """Send a query.

        Args:
            peer: The gatherer.
            query: The query.
            on_parts: Takes what comes back, in one or more pieces.
            on_lost: Called when the link is gone; nothing more comes.

        Returns:
            False when there is no link, and so nothing was sent.
        """
        if not self._links.send(peer, query):
            return False
        state = self._peer(peer)
        if not state.open:
            state.waiting_since = self._reactor.seconds()
        state.open += 1
        self._pending[query.number] = _PendingQuery(peer, on_parts, on_lost)
        return True

    def close(self, number: int, shards: tuple[int, ...] | None) -> None:
        """Stop waiting for a query.

        Args:
            number: Number of the query.
            shards: Shards that the gatherer still works on, which it gives up; None or empty
                when there are none.
        """
        pending = self._pending.pop(number, None)
        if pending is None:
            return
        peer = self._peer(pending.peer)
        link = self._links.up.get(pending.peer)
        now = self._reactor.seconds()
        if link is not None and self._is_silent(pending.peer, link, now):
            peer.silent_at = now
        peer.open -= 1
        if shards:
            self._links.send(pending.peer, node_frames.GatherCancel(number, ()))

    def cancel(self, number: int, shards: tuple[int, ...]) -> None:
        """Give up some shards of a query.

        Args:
            number: Number of the query.
            shards: Their positions in the query.
        """
        pending = self._pending.get(number)
        if pending is not None and shards:
            self._links.send(pending.peer, node_frames.GatherCancel(number, shards))

    def _peer(self, name: str) -> _Peer:
        peer = self._peers.get(name)
        if peer is None:
            peer = self._peers[name] = _Peer()
        return peer

    def _is_silent(self, name: str, link: Any, now: float) -> bool:
        peer = self._peer(name)
        if link.heard_at < peer.silent_at:
            return True
        if not peer.open:
            return False
        return now - max(link.heard_at, peer.waiting_since) > SILENCE_SECONDS

    def _on_parts(self, link: Any, frame: node_frames.GatherParts) -> None:
        pending = self._pending.get(frame.number)
        if pending is not None and link.hello is not None and pending.peer == link.hello.name:
            pending.on_parts(frame)

    def _on_down(self, name: str) -> None:
        self._leaving.discard(name)
        lost = [number for number, pending in self._pending.items() if pending.peer == name]
        for number in lost:
            pending = self._pending.pop(number, None)
            if pending is None:
                # The end of an earlier query ended its search, which closed this one as well.
                continue
            self._peer(name).open -= 1
            pending.on_lost()
