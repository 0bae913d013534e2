"""Timelines of recent queries, for `?explain=1` and `lineworks-ctl trace`."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from lineworks.engine import ports

MAX_QUERIES = 2000
"""Queries whose timelines are kept."""

MAX_EVENTS_PER_QUERY = 4000
"""Events kept for one query."""


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One step of a query."""

    at: float
    """When, in seconds on this process's clock."""

    shard: str
    """The shard concerned, or empty for the whole query."""

    event: str
    """What happened."""

    detail: str
    """More about it."""


class Traces:
    """Keeps the timelines of the last queries."""

    def __init__(self, clock: ports.Clock) -> None:
        """Start empty.

        Args:
            clock: Tells the time of events.
        """
        self._clock = clock
        self._events: collections.OrderedDict[str, list[Event]] = collections.OrderedDict()

    def start(self) -> None:
        """Do nothing."""

    def stop(self) -> None:
        """Do nothing."""

    def record(self, query: str, shard: str, event: str, detail: str) -> None:
        """Add a step.

        Args:
            query: Identity of the query.
            shard: The shard concerned, or empty.
            event: What happened.
            detail: More about it.
        """
        events = self._events.get(query)
        if events is None:
            events = self._events[query] = []
            if len(self._events) > MAX_QUERIES:
                self._events.popitem(last=False)
        if len(events) < MAX_EVENTS_PER_QUERY:
            events.append(Event(self._clock.seconds(), shard, event, detail))

    def timeline(self, query: str) -> list[dict[str, Any]] | None:
        """Write a query's timeline.

        Args:
            query: Identity of the query.

        Returns:
            Events as JSON documents with `at_ms` since the first; None for an unknown query.
        """
        events = self._events.get(query)
        if events is None:
            return None
        start = events[0].at
        return [
            {
                "at_ms": round((event.at - start) * 1000, 3),
                "shard": event.shard or None,
                "event": event.event,
                "detail": event.detail,
            }
            for event in events
        ]
