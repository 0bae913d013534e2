"""How many requests may be under way at once, learned from what happens.

Both limits rise additively while work goes well and shrink by a factor when it does not.
"""

from __future__ import annotations

_MIN_LIMIT = 1.0
_TARGET_SHRINK = 0.7
_QUEUE_ALLOWANCE = 1
_RAMP_START = 1.0


class TargetLimit:
    """Concurrent attempts that one gatherer allows itself at one target."""

    def __init__(self, slots: int, connection_share: int) -> None:
        """Start at the target's slots.

        Args:
            slots: Requests that the target works on at once.
            connection_share: Connections that this gatherer may hold to it.
        """
        self._ceiling = float(max(1, min(connection_share, slots + _QUEUE_ALLOWANCE)))
        self._exact = float(max(1, min(connection_share, slots)))
        self.value = int(self._exact)
        """The limit now, at least 1."""

    def on_success(self) -> None:
        """Grow by one attempt for each `value` successes."""
        if self._exact < self._ceiling:
            self._set(min(self._ceiling, self._exact + 1.0 / self._exact))

    def on_refused(self) -> None:
        """Shrink after the target shed a request or refused a connection."""
        self._set(max(_MIN_LIMIT, self._exact * _TARGET_SHRINK))

    def restart_cold(self) -> None:
        """Begin the ramp again, because the target restarted or re-loads its index."""
        self._set(_RAMP_START)

    def _set(self, exact: float) -> None:
        self._exact = exact
        self.value = int(exact)


class QueryLimit:
    """Concurrent queries that one front admits to one group.

    The signal is the time that sub-queries wait for a slot, as the gatherers measure it. It
    does not depend on how long the service itself takes.
    """

    def __init__(
        self, wait_target: float, start: float = 8.0, floor: float = 2.0, ceiling: float = 1024.0
    ) -> None:
        """Start at a limit that any small deployment bears.

        Args:
            wait_target: Seconds of waiting for a slot that are acceptable.
            start: First value.
            floor: Smallest value.
            ceiling: Largest value.
        """
        self._wait_target = wait_target
        self._value = start
        self._floor = floor
        self._ceiling = ceiling
        self._wait = 0.0
        self._next_shrink = 0.0

    @property
    def value(self) -> int:
        """The limit now."""
        return int(self._value)

    @property
    def wait(self) -> float:
        """Moving average, in seconds, of the wait signal."""
        return self._wait

    def on_answer(self, now: float, wait: float, latency: float, in_flight: int) -> None:
        """Learn from one finished query.

        Args:
            now: The present, in seconds.
            wait: The wait for a slot that decided the query, in seconds.
            latency: How long the query took, in seconds; shrinking pauses for this long, since
                an earlier change cannot be seen sooner.
            in_flight: Queries under way when this one finished.
        """
        self._wait += 0.1 * (wait - self._wait)
        if self._wait > self._wait_target:
            if now >= self._next_shrink:
                self._value = max(self._floor, min(self._value, in_flight + 1.0) * 0.85)
                self._next_shrink = now + max(latency, self._wait_target)
        elif in_flight + 1 >= self.value:
            self._value = min(self._ceiling, self._value + 1.0 / self._value)
