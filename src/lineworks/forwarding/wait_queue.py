"""Queue of requests that wait for capacity, at a front or at a gatherer, served by fair shares.

If the configuration has no workspaces, each request retries on its own when its own pause has
passed. Otherwise one timer retries all waiting requests in the order computed by
`lineworks.decisions.fair_shares`, and a request that arrives while others wait for the same
services joins the queue behind those that go before it.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any

from lineworks.decisions import fair_shares

if TYPE_CHECKING:
    from collections.abc import Callable, Collection


@dataclasses.dataclass(slots=True, eq=False)
class _Waiter:
    """A request in the queue."""

    waiting_request: fair_shares.WaitingRequest
    """Determines its position in the queue."""

    services: frozenset[str]
    """Services at which it needs capacity."""

    retry: Callable[[], None]
    """Tries to start the request; it waits again if there is still no capacity."""


class WaitQueue:
    """Requests waiting for capacity at one front, or at one gatherer."""

    def __init__(
        self, reactor: Any, retry_seconds: float, draw: Callable[[], float] = lambda: 0.5
    ) -> None:
        """Create an empty queue, without fair sharing.

        Args:
            reactor: Twisted's reactor.
            retry_seconds: Seconds between retries.
            draw: Returns a random number from 0 to 1, used to spread the retries of refused
                callers.
        """
        self._reactor = reactor
        self._retry_seconds = retry_seconds
        self._draw = draw
        self._waiters: list[_Waiter] = []
        self._timer: Any = None
        self.is_fair = False
        """Whether the configuration has workspaces, between which capacity is shared."""
        self.shares = fair_shares.FairShares()
        """Recent requests, served requests and extra attempts of each workspace."""

    @property
    def length(self) -> int:
        """Number of waiting requests."""
        return len(self._waiters)

    def note_served(self, workspace: str) -> None:
        """Count a request for which there was capacity.

        Args:
            workspace: Its workspace; empty for none.
        """
        if self.is_fair:
            self.shares.note_served(workspace, self._reactor.seconds())

    def note_refused(self, workspace: str) -> None:
        """Count a request that was refused for lack of capacity.

        Args:
            workspace: Its workspace; empty for none.
        """
        if self.is_fair:
            self.shares.note_refused(workspace, self._reactor.seconds())

    def is_too_late(self, waiting_request: fair_shares.WaitingRequest, now: float) -> bool:
        """Return whether a request can no longer finish in time by waiting.

        Args:
            waiting_request: The request.
            now: Current time, in seconds.

        Returns:
            Whether fair sharing is on, and the request would usually be late even if it were sent
            now.
        """
        return self.is_fair and not waiting_request.can_finish_in_time(now)

    def has_waiter_ahead(
        self, waiting_request: fair_shares.WaitingRequest, services: Collection[str]
    ) -> bool:
        """Return whether a new request would overtake a waiting request that goes before it.

        Args:
            waiting_request: The new request.
            services: Services at which it needs capacity.

        Returns:
            Whether a request that waits for any of the same services goes before it.
        """
        if not self._waiters:
            return False
        now = self._reactor.seconds()
        return any(
            not waiter.services.isdisjoint(services)
            and self.shares.precedes(waiter.waiting_request, waiting_request, now)
            for waiter in self._waiters
        )

    def wait(
        self,
        waiting_request: fair_shares.WaitingRequest,
        services: Collection[str],
        retry: Callable[[], None],
    ) -> Callable[[], None]:
        """Join the queue until the next retry.

        Args:
            waiting_request: Determines the position in the queue.
            services: Services at which capacity is needed.
            retry: Called once, at the next retry, in queue order. A request for which there is
                still no capacity has to wait again.

        Returns:
            A function that leaves the queue.
        """
        waiter = _Waiter(waiting_request, frozenset(services), retry)
        self._waiters.append(waiter)
        if self._timer is None:
            self._timer = self._reactor.callLater(self._retry_seconds, self._retry_all)

        def leave() -> None:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

        return leave

    def retry_after(self, pause: float) -> float | None:
        """Compute when a caller that was refused for lack of capacity may retry.

        Args:
            pause: Mean pause, in seconds.

        Returns:
            Seconds, spread at random so that callers refused together don't retry together; None
            without fair sharing, where the usual pause applies.
        """
        return fair_shares.jitter_pause(pause, self._draw()) if self.is_fair else None

    def _retry_all(self) -> None:
        """Retry all waiting requests, in the order of fair shares."""
        self._timer = None
        waiting, self._waiters = self._waiters, []
        now = self._reactor.seconds()
        waiting_requests = [waiter.waiting_request for waiter in waiting]
        ordered = [waiting[number] for number in self.shares.order(waiting_requests, now)]
        # A request that leaves the queue while others are retried must not be retried.
        self._waiters = ordered
        for waiter in list(ordered):
            if waiter in self._waiters:
                self._waiters.remove(waiter)
                waiter.retry()
