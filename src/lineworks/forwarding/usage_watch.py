"""Warns in the log before the process reaches its memory limit.

The platform kills a process beyond its limit, which leaves no line: the warning before it tells
such an end from others.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import structlog

from lineworks.kernel import process_usage

if TYPE_CHECKING:
    from collections.abc import Callable

PERIOD_SECONDS = 1.0
"""Interval in seconds between looks at the memory in use."""

HIGH_SHARE = 0.75
"""Share of the limit from which memory counts as high. Half of the limit may be taken by messages
that are not finished."""

NORMAL_SHARE = 0.65
"""Share of the limit below which memory counts as normal again."""

_log = structlog.get_logger(component="usage")


class UsageWatch:
    """Compares the memory in use with its limit."""

    def __init__(
        self,
        reactor: Any,
        memory_limit: int,
        read: Callable[[], process_usage.MemoryUsage | None] = process_usage.read_memory,
    ) -> None:
        """Initialise without looking yet.

        Args:
            reactor: Twisted's reactor.
            memory_limit: Memory that the process may use, in bytes; 0 if not known.
            read: Returns the memory in use, or None if it is not known.
        """
        self._reactor = reactor
        self._memory_limit = memory_limit
        self._read = read
        self._timer: Any = None
        self._is_high = False

    @property
    def gauges(self) -> dict[str, float]:
        """Memory in bytes and open descriptors; what the system does not tell is absent."""
        found: dict[str, float] = {}
        if self._memory_limit:
            found["memory_limit_bytes"] = float(self._memory_limit)
        usage = self._read()
        if usage is not None:
            found["memory_bytes"] = float(usage.used)
            found["memory_peak_bytes"] = float(usage.peak)
        descriptors = process_usage.count_descriptors()
        if descriptors is not None:
            found["descriptors"] = float(descriptors)
        return found

    def start(self) -> None:
        """Start looking, if the limit is known."""
        if self._memory_limit:
            self._schedule()

    def stop(self) -> None:
        """Stop looking."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _schedule(self) -> None:
        self._timer = self._reactor.callLater(PERIOD_SECONDS, self._look)

    def _look(self) -> None:
        usage = self._read()
        if usage is None:
            _log.warning("memory_unknown", limit=self._memory_limit)
            return
        self._compare(usage)
        self._schedule()

    def _compare(self, usage: process_usage.MemoryUsage) -> None:
        share = usage.used / self._memory_limit
        if not self._is_high and share >= HIGH_SHARE:
            self._is_high = True
            self._warn("memory_high", usage)
        elif self._is_high and share < NORMAL_SHARE:
            self._is_high = False
            self._warn("memory_normal", usage)

    def _warn(self, event: str, usage: process_usage.MemoryUsage) -> None:
        _log.warning(event, used=usage.used, peak=usage.peak, limit=self._memory_limit)
