"""Keeps the timelines of recent queries, for `?explain=1` and `lineworks-ctl trace`."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from lineworks.engine import ports

MAX_QUERIES = 2000
"""Maximum number of queries whose timelines are kept; the oldest is dropped first."""

MAX_EVENTS_PER_QUERY = 4000
"""Maximum number of events kept for a query; later ones are dropped."""


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """An event in the course of a query."""

    at: float
    """Time of the event, in seconds on this process's clock."""

    shard: str
    """Name of the shard, or empty if the event concerns the whole query."""

    event: str
    """Name of the event."""

    detail: str
    """Additional text, in the form that operators read."""


class Traces:
    """The timelines of the most recent queries, in memory."""

    def __init__(self, clock: ports.Clock) -> None:
        """Initialise an empty store of timelines.

        Args:
            clock: Clock that timestamps the events.
        """
        self._clock = clock
        self._events: collections.OrderedDict[str, list[Event]] = collections.OrderedDict()

    def start(self) -> None:
        """Do nothing; the kernel requires this method of every service."""

    def stop(self) -> None:
        """Do nothing; the kernel requires this method of every service."""

    def record(self, query: str, shard: str, event: str, detail: str) -> None:
        """Append an event to a query's timeline.

        Args:
            query: ID of the query.
            shard: Name of the shard, or empty if the event concerns the whole query.
            event: Name of the event.
            detail: Additional text.
        """
        events = self._events.get(query)
        if events is None:
            events = self._events[query] = []
            if len(self._events) > MAX_QUERIES:
                self._events.popitem(last=False)
        if len(events) < MAX_EVENTS_PER_QUERY:
            events.append(Event(self._clock.seconds(), shard, event, detail))

    def timeline(self, query: str) -> list[dict[str, Any]] | None:
        """Return a query's timeline.

        Args:
            query: ID of the query.

        Returns:
            The events as JSON-compatible documents, where `at_ms` is the number of milliseconds
            since the first event; None if no timeline of the query is kept.
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
