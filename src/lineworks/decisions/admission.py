"""Admission control: which queries start now, which are queued and which are refused.

Each front has one `Admission` per group. Queued queries are served by weighted fair queuing over
their classes: each class has a virtual finish time, which each served query advances by the inverse
of the class's weight, and the class with the smallest virtual finish time is served next.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING, Generic, TypeVar

from lineworks.decisions import estimators, limits, verdict

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar("T")

MAX_WAITING = 4096
"""Maximum queue length per front and group; further queries are refused immediately."""

STANDING_QUEUE_SECONDS = 1.0
"""Seconds without becoming empty after which a queue counts as standing rather than as a burst."""


@dataclasses.dataclass(slots=True)
class _QueuedQuery(Generic[T]):
    item: T
    deadline: float


@dataclasses.dataclass(slots=True)
class _ClassQueue(Generic[T]):
    finish: float
    waiting: collections.deque[_QueuedQuery[T]]


class Admission(Generic[T]):
    """Limits and queues the queries for one group."""

    def __init__(
        self,
        limit: limits.QueryLimit,
        max_wait: float,
        on_expired: Callable[[T, verdict.Verdict], None],
    ) -> None:
        """Initialize an empty queue.

        Args:
            limit: The concurrency limit.
            max_wait: Seconds that a query may be queued while there is a standing queue; during a
                burst it may be queued until its deadline.
            on_expired: Called with each query that is refused after it was queued.
        """
        self._limit = limit
        self._max_wait = max_wait
        self._last_empty_at = 0.0
        self._on_expired = on_expired
        self._queues: dict[str, _ClassQueue[T]] = {}
        self._weights: dict[str, float] = {}
        self._virtual_time = 0.0
        self._waiting = 0
        self._in_flight = 0
        self._latency = estimators.MovingAverage(0.1)

    @property
    def in_flight(self) -> int:
        """Number of running queries."""
        return self._in_flight

    @property
    def waiting(self) -> int:
        """Number of queued queries."""
        return self._waiting

    @property
    def limit(self) -> int:
        """Current concurrency limit."""
        return self._limit.value

    def offer(
        self, item: T, caller_class: str, weight: float, now: float, deadline: float
    ) -> verdict.Verdict | None:
        """Start, queue or refuse a query.

        Args:
            item: The query.
            caller_class: The query's class.
            weight: The class's weight.
            now: Current time in seconds.
            deadline: Time in seconds at which the caller stops waiting, on the same clock as `now`.

        Returns:
            OK if the query starts now, None if it is queued, or a NOT_RUN verdict if refused.
        """
        if self._in_flight < self._limit.value and not self._waiting:
            self._in_flight += 1
            return verdict.OK
        queue = self._queues.get(caller_class)
        length = len(queue.waiting) if queue else 0
        share = weight / self._total_weight(caller_class, weight)
        expected_wait = (length + 1) * self._latency.value / max(1, self._limit.value) / share
        if not self._waiting:
            self._last_empty_at = now
        misses_deadline = now + expected_wait + self._latency.value > deadline
        is_standing = (
            now - self._last_empty_at > STANDING_QUEUE_SECONDS and expected_wait > self._max_wait
        )
        if self._waiting >= MAX_WAITING or misses_deadline or is_standing:
            return verdict.not_run(
                verdict.Reason.OVERLOADED, f"expected wait {expected_wait:.3f} s"
            )
        if queue is None:
            queue = self._queues[caller_class] = _ClassQueue(0.0, collections.deque())
        if not queue.waiting:
            queue.finish = max(queue.finish, self._virtual_time) + 1.0 / weight
        queue.waiting.append(_QueuedQuery(item, deadline))
        self._weights[caller_class] = weight
        self._waiting += 1
        return None

    def finish(self, now: float, latency: float, wait: float) -> None:
        """Record the end of an admitted query.

        Args:
            now: Current time in seconds.
            latency: Seconds since the query started.
            wait: Seconds of waiting for a slot that determined the query's latency.
        """
        self._in_flight -= 1
        self._latency.record(latency)
        self._limit.on_answer(now, wait, latency, self._in_flight)

    def abandon(self) -> None:
        """Record the end of an admitted query without measurements, such as a cancelled one."""
        self._in_flight -= 1

    def remove(self, item: T) -> bool:
        """Remove a queued query whose caller has disconnected.

        Args:
            item: The query.

        Returns:
            True if the query was queued.
        """
        for queue in self._queues.values():
            for entry in queue.waiting:
                if entry.item is item:
                    queue.waiting.remove(entry)
                    self._waiting -= 1
                    return True
        return False

    def take(self, now: float) -> T | None:
        """Start the next queued query if the limit allows one.

        Queries that can no longer be answered before their deadline are refused.

        Args:
            now: Current time in seconds.

        Returns:
            The query to start, or None if there is none.
        """
        while self._waiting and self._in_flight < self._limit.value:
            entry = self._pop()
            if now + self._latency.value > entry.deadline:
                self._on_expired(
                    entry.item,
                    verdict.not_run(verdict.Reason.OVERLOADED, "waited too long"),
                )
                continue
            self._in_flight += 1
            return entry.item
        return None

    def _total_weight(self, caller_class: str, weight: float) -> float:
        others = sum(
            self._weights.get(name, 1.0)
            for name, queue in self._queues.items()
            if queue.waiting and name != caller_class
        )
        return others + weight

    def _pop(self) -> _QueuedQuery[T]:
        name = min(
            (name for name, queue in self._queues.items() if queue.waiting),
            key=lambda name: self._queues[name].finish,
        )
        queue = self._queues[name]
        self._virtual_time = queue.finish
        queue.finish += 1.0 / self._weights[name]
        self._waiting -= 1
        return queue.waiting.popleft()
