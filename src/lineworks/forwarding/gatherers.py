"""The front's client for gatherers: selects peers, sends queries and dispatches their replies."""

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
"""Seconds without any frame, while queries are open, after which a gatherer counts as silent and is
skipped. Its first message for a query and its next heartbeat are both due far earlier."""


@dataclasses.dataclass(slots=True)
class _Peer:
    """State of one gatherer."""

    open: int = 0
    """Number of queries that it has not finished."""

    waiting_since: float = 0.0
    """When it last went from no open query to one, in seconds."""

    silent_at: float = -math.inf
    """When it was last found silent, in seconds; it is skipped until a frame arrives after that."""

    rate: float = gather_rate.UNKNOWN
    """Shards per second that it reports it can query."""


@dataclasses.dataclass(slots=True, eq=False)
class _PendingQuery:
    """A query sent to a gatherer that has not been closed."""

    peer: str
    """Name of the gatherer."""

    on_parts: Callable[[node_frames.GatherParts], None]
    """Called with each message for the query."""

    on_lost: Callable[[], None]
    """Called when the link is lost."""


class GathererClient:
    """Sends queries to gatherers and matches replies to them."""

    def __init__(
        self,
        reactor: Any,
        links: peer_links.PeerLinks,
        rng: random.Random,
        own_rate: float = gather_rate.UNKNOWN,
    ) -> None:
        """Create a client without open queries.

        Args:
            reactor: Twisted's reactor.
            links: Links to the other instances.
            rng: Spreads queries over the gatherers of a hall.
            own_rate: Shards per second that this instance can query itself.
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
        """Shards per second that this instance can query itself."""
        return self._own_rate

    def ranked(self, hall: str) -> list[str]:
        """List the available gatherers of a hall in order of preference.

        Args:
            hall: The data hall.

        Returns:
            Names of the instances.
        """
        helpers = [
            gather_rate.Candidate(name, self.rate(name), self._peer(name).open)
            for name in self.available_peers(hall)
        ]
        return gather_rate.rank(helpers, self._rng.random)

    def rate(self, name: str) -> float:
        """Return the rate that a gatherer reports.

        Args:
            name: Name of the gatherer.

        Returns:
            Shards per second; `gather_rate.UNKNOWN` if this instance has no rate of its own.
        """
        return self._peer(name).rate if self._own_rate > gather_rate.UNKNOWN else self._own_rate

    def is_faster(self, name: str) -> bool:
        """Return whether a gatherer is so much faster that this instance hands work over to it.

        Args:
            name: Name of the gatherer.

        Returns:
            Whether it is; False if either rate is unknown.
        """
        return gather_rate.is_faster(self.rate(name), self._own_rate)

    def has_faster(self, hall: str) -> bool:
        """Return whether an available gatherer of a hall is much faster than this instance.

        Args:
            hall: The data hall.

        Returns:
            Whether there is one.
        """
        return any(self.is_faster(name) for name in self.available_peers(hall))

    def set_rate(self, peer: str, rate: float) -> None:
        """Record the rate that a gatherer reports.

        Args:
            peer: Name of the gatherer.
            rate: Shards per second.
        """
        self._peer(peer).rate = rate

    def available_peers(self, hall: str) -> list[str]:
        """List the other instances of a hall that are responsive and accept new work.

        Args:
            hall: The data hall.

        Returns:
            Names of the instances.
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
        """Record whether a gatherer is shutting down and so accepts no new work.

        Args:
            peer: Name of the gatherer.
            is_leaving: Whether it is shutting down.
        """
        if is_leaving:
            self._leaving.add(peer)
        else:
            self._leaving.discard(peer)

    def is_leaving(self, name: str) -> bool:
        """Return whether an instance announced that it is shutting down.

        Args:
            name: Name of the instance.

        Returns:
            Whether it did.
        """
        return name in self._leaving

    def mark_silent(self, name: str) -> None:
        """Mark an instance as silent, so that it is skipped until its next frame arrives.

        Args:
            name: Name of the instance.
        """
        self._peer(name).silent_at = self._reactor.seconds()

    def mark_all_silent(self) -> None:
        """Mark all peers as silent, because open connections to targets went silent.

        Each peer is skipped until its next frame arrives.
        """
        for name in self._links.up:
            self.mark_silent(name)

    def next_number(self) -> int:
        """Return the number for a new query."""
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
            peer: Name of the gatherer.
            query: The query.
            on_parts: Called with each message for the query, of which there may be several.
            on_lost: Called if the link is lost, after which no message follows.

        Returns:
            False if there is no link, so that nothing was sent.
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
            shards: Positions of the shards that the gatherer still works on; None or empty if there
                are none. If there are any, the gatherer is sent a cancellation of the query.
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
        """Request that the gatherer cancel some shards of a query.

        Args:
            number: Number of the query.
            shards: Positions of the shards in the query.
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
        if link.last_received_at < peer.silent_at:
            return True
        if not peer.open:
            return False
        return now - max(link.last_received_at, peer.waiting_since) > SILENCE_SECONDS

    def _on_parts(self, link: Any, frame: node_frames.GatherParts) -> None:
        problem = _find_problem(frame)
        if problem is not None:
            link.close(f"malformed frame: {problem}")
            return
        pending = self._pending.get(frame.number)
        if pending is not None and link.hello is not None and pending.peer == link.hello.name:
            pending.on_parts(frame)

    def _on_down(self, name: str) -> None:
        self._leaving.discard(name)
        lost = [number for number, pending in self._pending.items() if pending.peer == name]
        for number in lost:
            pending = self._pending.pop(number, None)
            if pending is None:
                # The callback of an earlier query ended its search, which closed this query too.
                continue
            self._peer(name).open -= 1
            pending.on_lost()


def _find_problem(frame: node_frames.GatherParts) -> str | None:
    """Return why partial results cannot be merged, or None if they can."""
    if len(set(frame.shards)) != len(frame.shards):
        return "a shard is in twice"
    if not all(_is_header_value(stamp) for stamp in frame.stamps):
        return "a stamp that no header can carry"
    return None


def _is_header_value(text: str) -> bool:
    # What a target's own header can hold must pass: its peers did not choose it.
    return all(character <= "\xff" and character not in "\r\n\0" for character in text)
