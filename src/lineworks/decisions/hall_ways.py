"""How long the ways between data halls take, and what it costs to leave the own one."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

SAME_HALL_SECONDS = 0.0005
"""Way there and back within a data hall, in seconds: under a millisecond on the users' sheets."""

SAME_REGION_SECONDS = 0.002
"""Way there and back between data halls of one region, in seconds."""

OTHER_REGION_SECONDS = 0.02
"""Way there and back between regions, in seconds: 16 and 24 ms on the users' sheets."""

REMOTE_PENALTY_SECONDS = 0.02
"""Seconds that a target in another hall must be faster by before it is preferred: its answer
costs bytes between halls."""


CONNECT_BASE_SECONDS = 0.06
"""Seconds that a connection may always take to open: a target takes 6 ms for one, and may have
others to take first."""

CONNECT_ROUND_TRIPS = 3.0
"""Ways there and back besides. A target that is dark never answers, and what waits for it has not
run and could be elsewhere, while half a second is more than an urgent search has in all."""


def connect_seconds(round_trip: float) -> float:
    """Tell how long to wait for a connection.

    Args:
        round_trip: Way there and back, in seconds.

    Returns:
        Seconds.
    """
    return CONNECT_BASE_SECONDS + CONNECT_ROUND_TRIPS * round_trip


class HallRoundTrips:
    """The ways from one hall."""

    def __init__(self, hall: str, regions: Mapping[str, str]) -> None:
        """Take the layout of a deployment.

        Args:
            hall: The hall that the ways begin in.
            regions: For each hall, its region.
        """
        self._hall = hall
        self._regions = regions
        # Looked up some hundred times for a large search.
        self._costs: dict[str, float] = {}

    @property
    def longest(self) -> float:
        """Way to the farthest hall and back, in seconds."""
        return max((self.round_trip(hall) for hall in self._regions), default=SAME_HALL_SECONDS)

    def is_in_home_region(self, hall: str, homes: Collection[str]) -> bool:
        """Say whether requests with home regions may be served in a hall.

        Args:
            hall: The hall.
            homes: The regions; empty for any.

        Returns:
            Whether its region is one of them. A hall of no known region is nobody's home.
        """
        return not homes or self._regions.get(hall) in homes

    def cost(self, hall: str) -> float:
        """Tell what the way to a hall costs.

        Args:
            hall: The hall.

        Returns:
            Seconds there and back, with the reluctance to leave the own hall.
        """
        known = self._costs.get(hall)
        if known is None:
            reluctance = REMOTE_PENALTY_SECONDS if hall != self._hall else 0.0
            known = self._costs[hall] = self.round_trip(hall) + reluctance
        return known

    def round_trip(self, hall: str) -> float:
        """Tell how long the way to a hall and back takes.

        Args:
            hall: The hall.

        Returns:
            Seconds.
        """
        if hall == self._hall:
            return SAME_HALL_SECONDS
        if self._regions.get(hall) == self._regions.get(self._hall):
            return SAME_REGION_SECONDS
        return OTHER_REGION_SECONDS
