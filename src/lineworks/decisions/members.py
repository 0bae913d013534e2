"""Which instances count as live, given a delayed list and the state of the instance's own links."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

GRACE = 3.0
"""Seconds for which a newly listed instance counts as live without an established link."""


@dataclasses.dataclass(frozen=True, slots=True)
class ListedInstance:
    """An entry of the platform's list of instances."""

    name: str
    """Name of the instance."""

    hall: str
    """Its data hall."""

    incarnation: str
    """Identity of its process."""

    is_leaving: bool
    """Whether it is leaving and accepts no new work."""


@dataclasses.dataclass(slots=True)
class _Peer:
    hall: str
    incarnation: str
    is_up: bool = False
    is_listed: bool = False
    is_leaving: bool = False
    unconfirmed_since: float = 0.0


class MemberState:
    """What one instance knows about the other instances."""

    def __init__(self, name: str, hall: str) -> None:
        """Start without peers.

        Args:
            name: Name of this instance, which always considers itself live.
            hall: Its data hall.
        """
        self._name = name
        self._hall = hall
        self._peers: dict[str, _Peer] = {}

    def live(self, now: float) -> dict[str, str]:
        """Return the instances that may be given work.

        Args:
            now: Current time in seconds.

        Returns:
            Data halls by instance name, sorted by name, including this instance.
        """
        found = {self._name: self._hall}
        for name, peer in self._peers.items():
            is_in_grace = peer.is_listed and now - peer.unconfirmed_since < GRACE
            if not peer.is_leaving and (peer.is_up or is_in_grace):
                found[name] = peer.hall
        return dict(sorted(found.items()))

    def on_list(self, listed: Iterable[ListedInstance], now: float) -> None:
        """Process the platform's list of instances.

        Args:
            listed: Its entries, without this instance.
            now: Current time in seconds.
        """
        entries = {entry.name: entry for entry in listed}
        for name, peer in list(self._peers.items()):
            peer.is_listed = name in entries
            if not peer.is_listed and not peer.is_up:
                del self._peers[name]
        for entry in entries.values():
            peer = self._peer(entry.name, entry.hall, entry.incarnation, now)
            peer.is_listed = True
            if peer.incarnation == entry.incarnation:
                peer.is_leaving = peer.is_leaving or entry.is_leaving

    def on_up(self, name: str, hall: str, incarnation: str) -> None:
        """Record that a link to a peer is established.

        Args:
            name: Name of the peer.
            hall: Its data hall.
            incarnation: Identity of its process. A new incarnation is not leaving.
        """
        peer = self._peer(name, hall, incarnation, 0.0)
        if peer.incarnation != incarnation:
            peer.incarnation = incarnation
            peer.is_leaving = False
        peer.hall = hall
        peer.is_up = True

    def on_down(self, name: str, now: float) -> None:
        """Record that the link to a peer is lost.

        Args:
            name: Name of the peer.
            now: Current time in seconds.
        """
        peer = self._peers.get(name)
        if peer is not None:
            peer.is_up = False
            # A lost link is stronger evidence than the delayed list, so no grace period applies.
            peer.unconfirmed_since = now - GRACE

    def on_leaving(self, name: str) -> None:
        """Record that a peer announced that it is leaving; this applies to its incarnation.

        Args:
            name: Name of the peer.
        """
        peer = self._peers.get(name)
        if peer is not None:
            peer.is_leaving = True

    def _peer(self, name: str, hall: str, incarnation: str, now: float) -> _Peer:
        peer = self._peers.get(name)
        if peer is None:
            peer = self._peers[name] = _Peer(hall, incarnation, unconfirmed_since=now)
        return peer
