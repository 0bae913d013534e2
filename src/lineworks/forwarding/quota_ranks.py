"""Decides which instance of a data hall holds a workspace's tokens, and its share of the rate."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from lineworks.decisions import ownership, quota

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Sequence

    from lineworks.forwarding import gatherers
    from lineworks.models import member
    from lineworks.services import peer_links


def rank_by_hash(workspace: str, names: Iterable[str]) -> Sequence[str]:
    """Rank instances or halls for a workspace by rendezvous hashing.

    Args:
        workspace: Name of the workspace.
        names: Names of the instances or halls.

    Returns:
        The names, the highest-ranked first.
    """
    listed = list(names)
    return ownership.owners(f"quota {workspace}", listed, len(listed))


class QuotaRanks:
    """Ranks the instances of each hall for each workspace, as far as this instance knows them."""

    def __init__(
        self,
        reactor: Any,
        name: str,
        hall: str,
        links: peer_links.PeerLinks,
        peers: gatherers.GathererClient,
        members: Callable[[], Collection[member.Member]],
    ) -> None:
        """Initialize the ranks without lost instances.

        Args:
            reactor: Twisted's reactor.
            name: Name of this instance.
            hall: Data hall of this instance.
            links: Links to the other instances.
            peers: Knows which instances are available.
            members: Returns the membership list.
        """
        self._reactor = reactor
        self._name = name
        self._hall = hall
        self._links = links
        self._peers = peers
        self._members = members
        self._started_at = reactor.seconds()
        self._lost_at: dict[str, float] = {}
        # Instances of the hall that were known at the last update, the time of that update, and the
        # time since which messages have arrived from all of them.
        self._last_known: set[str] = set()
        self._updated_at = -math.inf
        self._all_heard_since = math.inf
        self.order: Callable[[str, Iterable[str]], Sequence[str]] = rank_by_hash
        """Ranks names of instances or halls for a workspace, the best first."""
        self.is_leaving: Callable[[], bool] = lambda: False
        """Returns True if this instance is shutting down."""
        links.on_down.append(self._on_down)

    def holders(self, workspace: str) -> list[str]:
        """Return the available instances of this hall that may hold a workspace's tokens.

        Args:
            workspace: Name of the workspace.

        Returns:
            Their names, the highest-ranked first; this instance may be among them.
        """
        available_peers = set(self._peers.available_peers(self._hall))
        if not available_peers or not self.is_leaving():
            available_peers.add(self._name)
        return [name for name in self._candidates(workspace) if name in available_peers]

    def remote_holder(self, workspace: str, hall: str) -> str | None:
        """Return the instance to ask in another hall.

        Args:
            workspace: Name of the workspace.
            hall: Name of the hall.

        Returns:
            Its name; None if no instance there that may hold tokens is available.
        """
        available_peers = set(self._peers.available_peers(hall))
        return next(
            (name for name in self._candidates(workspace, hall) if name in available_peers), None
        )

    def any_remote_holder(self, workspace: str) -> str | None:
        """Return the instance to ask in any other hall, if no holder in this hall answers.

        Args:
            workspace: Name of the workspace.

        Returns:
            Its name; None if no instance that may hold tokens is available. The halls are ranked
            separately for each workspace.
        """
        halls = {link.hello.hall for link in self._links.up.values() if link.hello is not None}
        halls.discard(self._hall)
        found = (self.remote_holder(workspace, hall) for hall in self.order(workspace, halls))
        return next((name for name in found if name is not None), None)

    def may_hold(self, workspace: str) -> bool:
        """Return whether this instance may hold a workspace's tokens.

        Args:
            workspace: Name of the workspace.

        Returns:
            True if it is among the first `quota.MAX_BUCKETS` of all known instances of the hall.
        """
        return self._name in self._candidates(workspace)

    def ranks_first(self, workspace: str) -> bool:
        """Return whether this instance ranks first for a workspace.

        Args:
            workspace: Name of the workspace.

        Returns:
            True if it ranks first among all known instances of the hall.
        """
        return self._name in self._candidates(workspace)[:1]

    def update_liveness(self) -> None:
        """Check whether messages arrive from all known instances of the hall.

        Called every `quota.CHECK_SECONDS`. A late call means that this process was suspended, and
        other instances may have taken over from it in the meantime.
        """
        now = self._reactor.seconds()
        known = self._known()
        others = known - {self._name}
        hears_all = all(self._silence(name) <= quota.LIVENESS_TIMEOUT_SECONDS for name in others)
        was_suspended = now - self._updated_at > quota.LIVENESS_TIMEOUT_SECONDS
        if not hears_all:
            self._all_heard_since = math.inf
        elif known != self._last_known or was_suspended or math.isinf(self._all_heard_since):
            self._all_heard_since = now
        self._last_known = known
        self._updated_at = now

    def is_sole_holder(self, workspace: str, seconds: float) -> bool:
        """Return whether this instance has been the only possible holder of its hall for some time.

        Args:
            workspace: Name of the workspace.
            seconds: Length of that time in seconds.

        Returns:
            True if it ranks first and, for that long, has received messages from all instances of
            the hall while none joined or left.
        """
        now = self._reactor.seconds()
        if self.is_leaving() or now - self._updated_at > quota.LIVENESS_TIMEOUT_SECONDS:
            return False
        return now - self._all_heard_since >= seconds and self.ranks_first(workspace)

    def share(self, workspace: str) -> float:
        """Return the fraction of the hall's rate that this instance earns for a workspace.

        Args:
            workspace: Name of the workspace.

        Returns:
            Fraction from 0 to 1; 0 while the membership list is empty or this instance is leaving.
        """
        if self.is_leaving() or not self._members():
            return 0.0
        known = self._known()
        ranked = self.order(workspace, known)
        rank = list(ranked).index(self._name)
        better = [name for name in ranked[:rank] if not self._peers.is_leaving(name)]
        silent = min((self._silence(name) for name in better), default=math.inf)
        linked = [name for name in known if name in self._links.up]
        heard = 1 + sum(self._silence(name) <= quota.LIVENESS_TIMEOUT_SECONDS for name in linked)
        return quota.earned_share(rank, silent, heard, len(known))

    def _candidates(self, workspace: str, hall: str = "") -> Sequence[str]:
        """Return the instances of a hall that may hold tokens, the highest-ranked first.

        Empty while no other instance is known.

        Args:
            workspace: Name of the workspace.
            hall: Name of the hall; empty for the hall of this instance.
        """
        if not self._members() and not self._links.up:
            return ()
        return self.order(workspace, self._known(hall))[: quota.MAX_BUCKETS]

    def _known(self, hall: str = "") -> set[str]:
        """Return the instances of a hall that are on the membership list or linked.

        Args:
            hall: Name of the hall; empty for the hall of this instance, which is then included.
        """
        wanted = hall or self._hall
        names = {one.name for one in self._members() if one.hall == wanted}
        for name, link in self._links.up.items():
            if link.hello is not None and link.hello.hall == wanted:
                names.add(name)
        if wanted == self._hall:
            names.add(self._name)
        return names

    def _silence(self, name: str) -> float:
        """Return the seconds since the last message from an instance."""
        now: float = self._reactor.seconds()
        link = self._links.up.get(name)
        if link is not None:
            return now - link.last_received_at
        return now - self._lost_at.get(name, self._started_at)

    def _on_down(self, name: str) -> None:
        now = self._reactor.seconds()
        oldest = now - quota.TAKEOVER_SECONDS
        self._lost_at = {other: at for other, at in self._lost_at.items() if at > oldest}
        self._lost_at[name] = now
