"""Which instances count as live, from a list that lags and from own evidence."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

GRACE = 3.0
"""Seconds for which a listed instance counts as live though no link to it is up."""


@dataclasses.dataclass(frozen=True, slots=True)
class ListedInstance:
    """An entry of the platform's list."""

    name: str
    """Name of the instance."""

    hall: str
    """Its data hall."""

    incarnation: str
    """Identity of its process."""

    is_leaving: bool
    """Whether it takes no new work."""


@dataclasses.dataclass(slots=True)
class _Peer:
    hall: str
    incarnation: str
    is_up: bool = False
    is_listed: bool = False
    is_leaving: bool = False
    unproven_since: float = 0.0


class MemberState:
    """What one instance knows of the others."""

    def __init__(self, name: str, hall: str) -> None:
        """Start alone.

        Args:
            name: Name of this instance, which always counts as live to itself.
            hall: Its data hall.
        """
        self._name = name
        self._hall = hall
        self._peers: dict[str, _Peer] = {}

    def live(self, now: float) -> dict[str, str]:
        """List the instances that may get work.

        Args:
            now: The present, in seconds.

        Returns:
            Names with halls, this instance among them, sorted by name.
        """
        found = {self._name: self._hall}
        for name, peer in self._peers.items():
            is_hoped = peer.is_listed and now - peer.unproven_since < GRACE
            if not peer.is_leaving and (peer.is_up or is_hoped):
                found[name] = peer.hall
        return dict(sorted(found.items()))

    def on_list(self, listed: Iterable[ListedInstance], now: float) -> None:
        """Take in the platform's list.

        Args:
            listed: Its entries, without this instance.
            now: The present, in seconds.
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
        """Note that a link to a peer is proven.

        Args:
            name: The peer.
            hall: Its data hall.
            incarnation: Identity of its process; a new one is not leaving.
        """
        peer = self._peer(name, hall, incarnation, 0.0)
        if peer.incarnation != incarnation:
            peer.incarnation = incarnation
            peer.is_leaving = False
        peer.hall = hall
        peer.is_up = True

    def on_down(self, name: str, now: float) -> None:
        """Note that the link to a peer is gone.

        Args:
            name: The peer.
            now: The present, in seconds.
        """
        peer = self._peers.get(name)
        if peer is not None:
            peer.is_up = False
            # A link that was up and broke is evidence against the list: no grace is given.
            peer.unproven_since = now - GRACE

    def on_leaving(self, name: str) -> None:
        """Note that a peer said it is leaving; this holds for its incarnation.

        Args:
            name: The peer.
        """
        peer = self._peers.get(name)
        if peer is not None:
            peer.is_leaving = True

    def _peer(self, name: str, hall: str, incarnation: str, now: float) -> _Peer:
        peer = self._peers.get(name)
        if peer is None:
            peer = self._peers[name] = _Peer(hall, incarnation, unproven_since=now)
        return peer
