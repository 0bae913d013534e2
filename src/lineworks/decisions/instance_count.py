"""How many instances share an allowance, as one of them knows it."""

from __future__ import annotations

import collections

COUNT_SECONDS = 300.0
"""Seconds for which an instance goes on to count others that it has lost sight of. They may live
behind a cut and spend their part, and regions lose each other for minutes."""


class InstanceCount:
    """How many instances share the fixed number, counting those that went out of sight lately."""

    def __init__(self) -> None:
        self._seen = 0
        # Greater counts of the last `COUNT_SECONDS` with the time they held until: falling counts,
        # rising times.
        self._before: collections.deque[tuple[int, float]] = collections.deque()

    def note(self, count: int, now: float) -> None:
        """Take in how many instances are seen.

        Args:
            count: The number, this instance included; 0 while nothing is known.
            now: The present, in seconds.
        """
        self._remember(self._seen, now)
        self._seen = count

    def note_told(self, count: int, now: float) -> None:
        """Take in how many instances a peer sees.

        Args:
            count: The number.
            now: The present, in seconds.
        """
        self._remember(count, now)

    def value(self, now: float) -> int:
        """Tell how many instances may spend.

        Args:
            now: The present, in seconds.

        Returns:
            The number; 0 while nothing is known.
        """
        while self._before and now - self._before[0][1] > COUNT_SECONDS:
            self._before.popleft()
        return max(self._seen, self._before[0][0]) if self._before else self._seen

    def _remember(self, count: int, now: float) -> None:
        while self._before and self._before[-1][0] <= count:
            self._before.pop()
        self._before.append((count, now))
