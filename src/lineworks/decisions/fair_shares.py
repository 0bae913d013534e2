"""Orders waiting requests when capacity is short, and limits who spends the last extra attempts.

Capacity is first shared between workspaces in proportion to their demand. A workspace that has
recently been served clearly less often than average goes first, whatever its priority, so that no
workspace starves. Among the others the order is by priority, then by how much each workspace was
served. No capacity is reserved, so none is left idle.

Each front and each gatherer decides by itself from what it has observed. This works because
requests with a key arrive evenly at all instances. An instance that restarts treats all workspaces
equally until it has observed some requests.
"""

from __future__ import annotations

import dataclasses
import math

HALF_LIFE_SECONDS = 10.0
"""Seconds after which a past request counts half. Callers retry within seconds, and what a
workspace used a minute ago is no reason to refuse it now."""

MIN_SERVED_RATIO = 0.85
"""Minimum fraction of requests served for a workspace with a quota, relative to the average. Its
quota limits its demand, so everything within the quota has the same claim as the requests of
others. Below 0.8 its callers would notice a shortage that others do not; the rest allows for
requests that this instance has not observed yet."""

MIN_SERVED_RATIO_WITHOUT_QUOTA = 0.5
"""The same for a workspace without a quota, whose demand is unlimited. With a ratio near 1 it could
push out the others by sending ever more requests; half the average does not shut it out."""

AGING_SECONDS = 0.2
"""Seconds of waiting that raise a request by one priority level, so that a long request gets its
turn despite a stream of urgent requests from its own workspace. A request waits for at most a fifth
of its latency target, so only requests with targets above a second are raised at all. Between
workspaces, the one that was served least goes first."""

MIN_SPENT_ATTEMPTS = 4.0
"""Recent extra attempts at one service below which a workspace is never overspending, because so
few show no pattern."""

OVERSPENDING_FACTOR = 1.5
"""Multiple of an equal part of the extra attempts above which a workspace is overspending. It is
above 1 because shards fail for whichever workspace is sending at the time, and below 2 because one
of two workspaces could never exceed that."""

MIN_DURATION_FACTOR = 0.5
"""Shortest expected duration of a request, as a fraction of its service's usual duration. The usual
duration includes pauses and queueing at targets, which a request may avoid."""

_FORGET_BELOW = 0.05
"""Decayed number of requests below which a workspace is forgotten: one request falls below it after
43 seconds, so the workspace has left or sends less than one request in that time."""


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingRequest:
    """The properties of a waiting request that determine its place in the order."""

    workspace: str
    """Name of the workspace; empty if the request has none."""

    priority: int
    """Priority; 0 is the most urgent."""

    arrived: float
    """Arrival time in seconds."""

    in_time_until: float
    """Latest time in seconds at which it can be sent and usually still be answered in time."""

    has_quota: bool = False
    """Whether its workspace has a quota."""

    def can_finish_in_time(self, now: float) -> bool:
        """Return whether the request is usually answered in time if it is sent now."""
        return now <= self.in_time_until


class _DecayingCounts:
    """Counts by workspace that decay exponentially, and their sum."""

    __slots__ = ("_counts", "_updated_at")

    def __init__(self) -> None:
        self._counts: dict[str, float] = {}
        self._updated_at = 0.0

    @property
    def count(self) -> int:
        """Number of workspaces with a count."""
        return len(self._counts)

    @property
    def total(self) -> float:
        """Sum of all counts, as of the last call of `advance`."""
        return sum(self._counts.values())

    def advance(self, now: float) -> None:
        """Decay all counts up to a time, and drop negligible ones."""
        if now <= self._updated_at:
            return
        factor = 0.5 ** ((now - self._updated_at) / HALF_LIFE_SECONDS)
        self._updated_at = now
        decayed = {name: count * factor for name, count in self._counts.items()}
        self._counts = {name: count for name, count in decayed.items() if count > _FORGET_BELOW}

    def add(self, workspace: str, now: float) -> None:
        """Increment the count of a workspace."""
        self.advance(now)
        self._counts[workspace] = self._counts.get(workspace, 0.0) + 1.0

    def of(self, workspace: str) -> float:
        """Return the count of a workspace, as of the last call of `advance`."""
        return self._counts.get(workspace, 0.0)


class FairShares:
    """Recent requests and extra attempts of each workspace, as observed by one instance."""

    def __init__(self) -> None:
        """Initialize without observations, so that all workspaces are equal."""
        self._requested = _DecayingCounts()
        self._served = _DecayingCounts()
        self._spent: dict[str, _DecayingCounts] = {}

    def note_served(self, workspace: str, now: float) -> None:
        """Count a request that was served.

        Args:
            workspace: Name of its workspace.
            now: Current time in seconds.
        """
        self._requested.add(workspace, now)
        self._served.add(workspace, now)

    def note_refused(self, workspace: str, now: float) -> None:
        """Count a request that was refused for lack of capacity, although within its quota.

        Args:
            workspace: Name of its workspace.
            now: Current time in seconds.
        """
        self._requested.add(workspace, now)

    def note_spent(self, workspace: str, service: str, now: float) -> None:
        """Count an extra attempt.

        Args:
            workspace: Name of the workspace whose request it was for.
            service: The service that received it.
            now: Current time in seconds.
        """
        spent = self._spent.get(service)
        if spent is None:
            self._drop_unused_services(now)
            spent = self._spent[service] = _DecayingCounts()
        spent.add(workspace, now)

    def order(self, requests: list[WaitingRequest], now: float) -> list[int]:
        """Return the order in which waiting requests are tried.

        Args:
            requests: The waiting requests, in any order.
            now: Current time in seconds.

        Returns:
            Their indices; the request to try first comes first.
        """
        self._advance(now)
        return sorted(range(len(requests)), key=lambda index: self._rank(requests[index], now))

    def precedes(self, first: WaitingRequest, second: WaitingRequest, now: float) -> bool:
        """Return whether one waiting request is tried before another.

        Args:
            first: The one request.
            second: The other request.
            now: Current time in seconds.

        Returns:
            True if `first` is tried before `second`.
        """
        self._advance(now)
        return self._rank(first, now) < self._rank(second, now)

    def is_overspending(self, workspace: str, service: str, now: float) -> bool:
        """Return whether a workspace spent much more than an equal part of a service's attempts.

        Args:
            workspace: Name of the workspace.
            service: The service.
            now: Current time in seconds.

        Returns:
            True if it should leave the last extra attempts to the other active workspaces.
        """
        spent = self._spent.get(service)
        if spent is None:
            return False
        spent.advance(now)
        self._requested.advance(now)
        own = spent.of(workspace)
        equal_part = spent.total / max(1, self._requested.count)
        return own >= MIN_SPENT_ATTEMPTS and own > OVERSPENDING_FACTOR * equal_part

    def _advance(self, now: float) -> None:
        self._requested.advance(now)
        self._served.advance(now)

    def _drop_unused_services(self, now: float) -> None:
        """Drop the services that received no extra attempts recently."""
        for service, spent in list(self._spent.items()):
            spent.advance(now)
            if not spent.count:
                del self._spent[service]

    def _rank(self, request: WaitingRequest, now: float) -> tuple[bool, bool, int, float, float]:
        """Return the sort key of a request; the smallest goes first."""
        aged_priority = request.priority - (now - request.arrived) / AGING_SECONDS
        return (
            not request.can_finish_in_time(now),
            not self._is_underserved(request),
            math.ceil(aged_priority),
            self._served.of(request.workspace),
            request.arrived,
        )

    def _is_underserved(self, request: WaitingRequest) -> bool:
        """Return whether a request's workspace was served clearly less often than average."""
        requested = self._requested.of(request.workspace)
        total = self._requested.total
        if not requested or not total:
            return False
        average = self._served.total / total
        min_ratio = MIN_SERVED_RATIO if request.has_quota else MIN_SERVED_RATIO_WITHOUT_QUOTA
        return self._served.of(request.workspace) / requested < min_ratio * average


def latest_start(due: float, usual: float) -> float:
    """Return the latest time at which a request can be sent and still be answered in time.

    Args:
        due: Time in seconds at which its response is due.
        usual: Usual duration of its service's requests in seconds; 0 if unknown.

    Returns:
        Time in seconds.
    """
    return due - MIN_DURATION_FACTOR * usual


def jitter_pause(pause: float, draw: float) -> float:
    """Add jitter to a retry pause, so that callers refused together do not retry together.

    Args:
        pause: Seconds after which a caller should retry.
        draw: A random number from 0 to 1.

    Returns:
        Seconds, between half the pause and one and a half times the pause; its mean is unchanged.
    """
    return pause * (0.5 + draw)
