"""Which queries start now, which wait, and which are refused.

One `Admission` stands before each group at each front. Waiting queries are served by weighted
fair queuing over their classes: each class has a virtual finish time that moves by the inverse
of its weight, and the class with the smallest one goes next.
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
"""Queries that may wait before one group; more are refused at once."""

STANDING = 1.0
"""Seconds after which a queue that was never empty counts as standing, not as a burst."""


@dataclasses.dataclass(slots=True)
class _Waiting(Generic[T]):
    item: T
    deadline: float


@dataclasses.dataclass(slots=True)
class _ClassQueue(Generic[T]):
    finish: float
    waiting: collections.deque[_Waiting[T]]


class Admission(Generic[T]):
    """The queue before one group."""

    def __init__(
        self,
        limit: limits.QueryLimit,
        patience: float,
        on_expired: Callable[[T, verdict.Verdict], None],
    ) -> None:
        """Start empty.

        Args:
            limit: The limit of concurrent queries.
            patience: Seconds that a query may wait while the queue is standing; in a burst it
                may wait up to its deadline.
            on_expired: Called with each item that is refused after it waited.
        """
        self._limit = limit
        self._patience = patience
        self._empty_at = 0.0
        self._on_expired = on_expired
        self._queues: dict[str, _ClassQueue[T]] = {}
        self._weights: dict[str, float] = {}
        self._virtual = 0.0
        self._waiting = 0
        self._in_flight = 0
        self._latency = estimators.MovingAverage(0.1)

    @property
    def in_flight(self) -> int:
        """Queries under way."""
        return self._in_flight

    @property
    def waiting(self) -> int:
        """Queries in the queue."""
        return self._waiting

    @property
    def limit(self) -> int:
        """Concurrent queries allowed now."""
        return self._limit.value

    def offer(
        self, item: T, caller_class: str, weight: float, now: float, deadline: float
    ) -> verdict.Verdict | None:
        """Take in a query.

        Args:
            item: The query.
            caller_class: Its class.
            weight: The class's weight.
            now: The present, in seconds.
            deadline: When the caller stops waiting, on the same clock.

        Returns:
            OK when it starts now, None when it waits, and a NOT_RUN verdict when it is refused.
        """
        if self._in_flight < self._limit.value and not self._waiting:
            self._in_flight += 1
            return verdict.OK
        queue = self._queues.get(caller_class)
        length = len(queue.waiting) if queue else 0
        share = weight / self._total_weight(caller_class, weight)
        wait = (length + 1) * self._latency.value / max(1, self._limit.value) / share
        if not self._waiting:
            self._empty_at = now
        is_late = now + wait + self._latency.value > deadline
        is_standing = now - self._empty_at > STANDING and wait > self._patience
        if self._waiting >= MAX_WAITING or is_late or is_standing:
            return verdict.not_run(verdict.Reason.OVERLOADED, f"expected wait {wait:.3f} s")
        if queue is None:
            queue = self._queues[caller_class] = _ClassQueue(0.0, collections.deque())
        if not queue.waiting:
            queue.finish = max(queue.finish, self._virtual) + 1.0 / weight
        queue.waiting.append(_Waiting(item, deadline))
        self._weights[caller_class] = weight
        self._waiting += 1
        return None

    def finish(self, now: float, latency: float, wait: float) -> None:
        """Note that an admitted query ended.

        Args:
            now: The present, in seconds.
            latency: How long it took since its start, in seconds.
            wait: The wait for a slot that decided it, in seconds.
        """
        self._in_flight -= 1
        self._latency.record(latency)
        self._limit.on_answer(now, wait, latency, self._in_flight)

    def abandon(self) -> None:
        """Note that an admitted query ended without teaching anything, for example cancelled."""
        self._in_flight -= 1

    def remove(self, item: T) -> bool:
        """Take a waiting query out, because its caller has gone.

        Args:
            item: The query.

        Returns:
            Whether it was waiting.
        """
        for queue in self._queues.values():
            for entry in queue.waiting:
                if entry.item is item:
                    queue.waiting.remove(entry)
                    self._waiting -= 1
                    return True
        return False

    def take(self, now: float) -> T | None:
        """Start the next waiting query, if the limit allows one.

        Queries that can no longer be answered in time are refused on the way.

        Args:
            now: The present, in seconds.

        Returns:
            The query to start, or None.
        """
        while self._waiting and self._in_flight < self._limit.value:
            entry = self._pop()
            if now + self._latency.value > entry.deadline:
                self._on_expired(
                    entry.item, verdict.not_run(verdict.Reason.OVERLOADED, "waited too long")
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

    def _pop(self) -> _Waiting[T]:
        name = min(
            (name for name, queue in self._queues.items() if queue.waiting),
            key=lambda name: self._queues[name].finish,
        )
        queue = self._queues[name]
        self._virtual = queue.finish
        queue.finish += 1.0 / self._weights[name]
        self._waiting -= 1
        return queue.waiting.popleft()
