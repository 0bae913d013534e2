"""Which instance of a data hall holds a workspace's tokens, and how much of the rate it earns."""

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
    """Rank instances for a workspace by rendezvous hashing.

    Args:
        workspace: Name of the workspace.
        names: Names of the instances.

    Returns:
        The names, the best first.
    """
    listed = list(names)
    return ownership.owners(f"quota {workspace}", listed, len(listed))


class QuotaRanks:
    """Ranks the instances of halls for workspaces, by what this instance knows."""

    def __init__(
        self,
        reactor: Any,
        name: str,
        hall: str,
        links: peer_links.PeerLinks,
        peers: gatherers.Gatherers,
        members: Callable[[], Collection[member.Member]],
    ) -> None:
        """Start with nobody lost.

        Args:
            reactor: Twisted's reactor.
            name: Name of this instance.
            hall: Its data hall.
            links: Links to the other instances.
            peers: Tells which of them can be asked.
            members: Tells which instances are listed.
        """
        self._reactor = reactor
        self._name = name
        self._hall = hall
        self._links = links
        self._peers = peers
        self._members = members
        self._started_at = reactor.seconds()
        self._lost_at: dict[str, float] = {}
        # Instances of the hall that were known at the last look, when that was, and since when all
        # of them are heard.
        self._last_known: set[str] = set()
        self._updated_at = -math.inf
        self._all_heard_since = math.inf
        self.order: Callable[[str, Iterable[str]], Sequence[str]] = rank_by_hash
        """Ranks names of instances for a workspace, the best first."""
        self.is_leaving: Callable[[], bool] = lambda: False
        """Says whether this instance is about to stop."""
        links.on_down.append(self._on_down)

    def holders(self, workspace: str) -> list[str]:
        """List the instances of this hall that hold a workspace's tokens and can be asked.

        Args:
            workspace: Name of the workspace.

        Returns:
            Their names, the best first; this instance may be among them.
        """
        able = set(self._peers.able(self._hall))
        if not able or not self.is_leaving():
            able.add(self._name)
        return [name for name in self._candidates(workspace) if name in able]

    def remote_holder(self, workspace: str, hall: str) -> str | None:
        """Choose whom to ask in another hall.

        Args:
            workspace: Name of the workspace.
            hall: The hall.

        Returns:
            Its name; None when nobody there is heard of who may hold tokens.
        """
        able = set(self._peers.able(hall))
        return next((name for name in self._candidates(workspace, hall) if name in able), None)

    def any_remote_holder(self, workspace: str) -> str | None:
        """Choose whom to ask in any other hall, when nobody in this one answers.

        Args:
            workspace: Name of the workspace.

        Returns:
            Its name, for every workspace from an order of halls of its own; None when nobody is
            heard of who may hold tokens.
        """
        halls = {link.hello.hall for link in self._links.up.values() if link.hello is not None}
        halls.discard(self._hall)
        found = (self.remote_holder(workspace, hall) for hall in self.order(workspace, halls))
        return next((name for name in found if name is not None), None)

    def may_hold(self, workspace: str) -> bool:
        """Say whether this instance is one of those that may hold a workspace's tokens.

        Args:
            workspace: Name of the workspace.

        Returns:
            Whether it is, by all instances that are known of the hall.
        """
        return self._name in self._candidates(workspace)

    def ranks_first(self, workspace: str) -> bool:
        """Say whether this instance has the best rank of all that are known of the hall.

        Args:
            workspace: Name of the workspace.

        Returns:
            Whether it has.
        """
        return self._name in self._candidates(workspace)[:1]

    def update_liveness(self) -> None:
        """Note whether all instances that are known of the hall are heard.

        Called each `quota.CHECK_SECONDS`. A later call means that this process stood still, and
        others may have acted for it meanwhile.
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
        """Say whether this instance alone has acted for its hall for some time.

        Args:
            workspace: Name of the workspace.
            seconds: The time.

        Returns:
            Whether it ranks first, and has heard all instances of the hall for that long, while
            none came or went.
        """
        now = self._reactor.seconds()
        if self.is_leaving() or now - self._updated_at > quota.LIVENESS_TIMEOUT_SECONDS:
            return False
        return now - self._all_heard_since >= seconds and self.ranks_first(workspace)

    def share(self, workspace: str) -> float:
        """Say how much of the hall's rate this instance earns for a workspace.

        Args:
            workspace: Name of the workspace.

        Returns:
            From 0 to 1; nothing while the other instances are not known.
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
        """Name those that may hold tokens, the best first; nobody while no instance is known."""
        if not self._members() and not self._links.up:
            return ()
        return self.order(workspace, self._known(hall))[: quota.MAX_LIVES]

    def _known(self, hall: str = "") -> set[str]:
        """Name the instances of a hall that are listed or linked.

        Args:
            hall: The hall; that of this instance, which is then among them, when not given.
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
        """Tell for how many seconds nothing was heard of an instance."""
        now: float = self._reactor.seconds()
        link = self._links.up.get(name)
        if link is not None:
            return now - link.heard_at
        return now - self._lost_at.get(name, self._started_at)

    def _on_down(self, name: str) -> None:
        now = self._reactor.seconds()
        oldest = now - quota.TAKEOVER_SECONDS
        self._lost_at = {other: at for other, at in self._lost_at.items() if at > oldest}
        self._lost_at[name] = now
