"""Estimates how many instances share an allowance, from the view of one of them."""

from __future__ import annotations

import collections

RETENTION_SECONDS = 300.0
"""Seconds for which an instance still counts others that it no longer sees. They may be running and
spending their part behind a network partition, and regions are cut off from each other for
minutes."""


class InstanceCount:
    """Number of instances that share a fixed amount, including those that were seen recently."""

    def __init__(self) -> None:
        self._seen = 0
        # Larger counts of the last `RETENTION_SECONDS`, each with the time until which it held.
        # Counts are decreasing and times increasing.
        self._recent_maxima: collections.deque[tuple[int, float]] = collections.deque()

    def note(self, count: int, now: float) -> None:
        """Record how many instances this instance sees.

        Args:
            count: Number of instances, including this one; 0 while it is unknown.
            now: Current time in seconds.
        """
        self._remember(self._seen, now)
        self._seen = count

    def note_reported(self, count: int, now: float) -> None:
        """Record how many instances a peer sees.

        Args:
            count: Number of instances.
            now: Current time in seconds.
        """
        self._remember(count, now)

    def value(self, now: float) -> int:
        """Return how many instances may be spending.

        Args:
            now: Current time in seconds.

        Returns:
            The number of instances; 0 while it is unknown.
        """
        while self._recent_maxima and now - self._recent_maxima[0][1] > RETENTION_SECONDS:
            self._recent_maxima.popleft()
        return max(self._seen, self._recent_maxima[0][0]) if self._recent_maxima else self._seen

    def _remember(self, count: int, now: float) -> None:
        while self._recent_maxima and self._recent_maxima[-1][0] <= count:
            self._recent_maxima.pop()
        self._recent_maxima.append((count, now))
