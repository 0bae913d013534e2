"""Estimates round-trip times between data halls and the cost of using a remote hall."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

SAME_HALL_SECONDS = 0.0005
"""Round-trip time within a data hall, in seconds; specified as under a millisecond."""

SAME_REGION_SECONDS = 0.002
"""Round-trip time between data halls of one region, in seconds."""

OTHER_REGION_SECONDS = 0.02
"""Round-trip time between regions, in seconds; specified as 16 and 24 ms."""

REMOTE_PENALTY_SECONDS = 0.02
"""Seconds by which a target in another hall must be faster before it is preferred: its answer
uses bandwidth between halls."""


CONNECT_BASE_SECONDS = 0.06
"""Connect timeout without network latency, in seconds: a target takes 6 ms to accept a connection
and may have others queued before it."""

CONNECT_ROUND_TRIPS = 3.0
"""Round trips added to the connect timeout. It is kept short because a target that lost power or
network never answers, a request that waits for the connection has not run and can be sent
elsewhere, and half a second exceeds the whole time budget of an urgent search."""


def connect_seconds(round_trip: float) -> float:
    """Return the connect timeout.

    Args:
        round_trip: Round-trip time, in seconds.

    Returns:
        Timeout in seconds.
    """
    return CONNECT_BASE_SECONDS + CONNECT_ROUND_TRIPS * round_trip


class HallRoundTrips:
    """Round-trip times from one data hall to the others."""

    def __init__(self, hall: str, regions: Mapping[str, str]) -> None:
        """Initialize from the layout of a deployment.

        Args:
            hall: Hall from which the round trips start.
            regions: Region of each hall.
        """
        self._hall = hall
        self._regions = regions
        # Cached: a large search looks costs up several hundred times.
        self._costs: dict[str, float] = {}

    @property
    def longest(self) -> float:
        """Round-trip time to the farthest hall, in seconds."""
        return max((self.round_trip(hall) for hall in self._regions), default=SAME_HALL_SECONDS)

    def is_in_home_region(self, hall: str, homes: Collection[str]) -> bool:
        """Return whether a hall may serve requests that are bound to home regions.

        Args:
            hall: Name of the hall.
            homes: Home regions; empty for no restriction.

        Returns:
            Whether the hall's region is a home region; False for a hall of unknown region
            unless there is no restriction.
        """
        return not homes or self._regions.get(hall) in homes

    def cost(self, hall: str) -> float:
        """Return the cost of using a hall.

        Args:
            hall: Name of the hall.

        Returns:
            Round-trip time in seconds, plus a penalty for a remote hall.
        """
        known = self._costs.get(hall)
        if known is None:
            penalty = REMOTE_PENALTY_SECONDS if hall != self._hall else 0.0
            known = self._costs[hall] = self.round_trip(hall) + penalty
        return known

    def round_trip(self, hall: str) -> float:
        """Return the round-trip time to a hall.

        Args:
            hall: Name of the hall.

        Returns:
            Round-trip time in seconds.
        """
        if hall == self._hall:
            return SAME_HALL_SECONDS
        if self._regions.get(hall) == self._regions.get(self._hall):
            return SAME_REGION_SECONDS
        return OTHER_REGION_SECONDS
