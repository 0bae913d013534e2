"""Adaptive concurrency limits.

Both limits use additive increase and multiplicative decrease: they grow while work succeeds and
shrink by a factor when it does not.
"""

from __future__ import annotations

_MIN_LIMIT = 1.0
_DECREASE_FACTOR = 0.7
_QUEUE_ALLOWANCE = 1
_RAMP_START = 1.0


class TargetLimit:
    """Concurrent attempts that one gatherer may send to one target."""

    def __init__(self, slots: int, connection_share: int) -> None:
        """Initialize the limit to the target's number of slots.

        Args:
            slots: Number of requests that the target processes concurrently.
            connection_share: Number of connections that this gatherer may open to the target.
        """
        self._ceiling = float(max(1, min(connection_share, slots + _QUEUE_ALLOWANCE)))
        self._limit = float(max(1, min(connection_share, slots)))
        self.value = int(self._limit)
        """The current limit, at least 1."""

    def on_success(self) -> None:
        """Increase the limit by one attempt per `value` successes."""
        if self._limit < self._ceiling:
            self._set(min(self._ceiling, self._limit + 1.0 / self._limit))

    def on_refused(self) -> None:
        """Decrease the limit after the target shed a request or refused a connection."""
        self._set(max(_MIN_LIMIT, self._limit * _DECREASE_FACTOR))

    def restart_ramp(self) -> None:
        """Restart from one attempt, because the target restarted or reloads its index."""
        self._set(_RAMP_START)

    def _set(self, limit: float) -> None:
        self._limit = limit
        self.value = int(limit)


class QueryLimit:
    """Concurrent queries that one front admits to one group.

    The limit reacts to the time that sub-queries wait for a slot, as measured by the gatherers.
    This signal does not depend on the processing time of the service itself.
    """

    def __init__(
        self, wait_target: float, start: float = 8.0, floor: float = 2.0, ceiling: float = 1024.0
    ) -> None:
        """Initialize the limit to a value that any small deployment can handle.

        Args:
            wait_target: Acceptable wait for a slot, in seconds.
            start: Initial limit.
            floor: Minimum limit.
            ceiling: Maximum limit.
        """
        self._wait_target = wait_target
        self._value = start
        self._floor = floor
        self._ceiling = ceiling
        self._wait = 0.0
        self._next_decrease_at = 0.0

    @property
    def value(self) -> int:
        """The current limit."""
        return int(self._value)

    @property
    def wait(self) -> float:
        """Moving average of the wait for a slot, in seconds."""
        return self._wait

    def on_answer(self, now: float, wait: float, latency: float, in_flight: int) -> None:
        """Update the limit after a query has finished.

        Args:
            now: Current time in seconds.
            wait: Seconds of waiting for a slot that determined the query's latency.
            latency: Duration of the query in seconds. The limit is not decreased again for at least
                this long, because the effect of a change cannot be observed sooner.
            in_flight: Number of running queries when this one finished.
        """
        self._wait += 0.1 * (wait - self._wait)
        if self._wait > self._wait_target:
            if now >= self._next_decrease_at:
                self._value = max(self._floor, min(self._value, in_flight + 1.0) * 0.85)
                self._next_decrease_at = now + max(latency, self._wait_target)
        elif in_flight + 1 >= self.value:
            self._value = min(self._ceiling, self._value + 1.0 / self._value)
