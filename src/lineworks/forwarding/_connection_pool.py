"""The pool of connections from one instance to one target."""

from __future__ import annotations

from typing import Generic, TypeVar

from lineworks.http1 import client_connection

SPARE_IDLE_SHARE = 0.5
"""Fraction of a target's idle timeout within which the second connection is used in turn with the
most recently used one."""

_Connection = TypeVar("_Connection", bound=client_connection.ClientConnection)


class ConnectionPool(Generic[_Connection]):
    """Holds the idle connections to one target and limits how many may be open."""

    def __init__(self, share: int) -> None:
        """Start without connections.

        Args:
            share: Maximum number of connections that this instance may have open.
        """
        self._share = share
        self.idle: list[_Connection] = []
        """Open connections without a request, the most recently used one last."""
        self.open = 0
        """Number of connections that are open or being opened."""

    @property
    def has_capacity(self) -> bool:
        """Whether another connection may be opened."""
        return self.open < self._share

    def take(self, now: float, share: float, identity: bytes) -> _Connection | None:
        """Remove and return an idle connection that can carry a request.

        The two most recently used ones take turns, so that a request that the target refused over
        one finds the other open. Those behind them are left to expire.

        Args:
            now: The current time, in seconds.
            share: Fraction (0 to 1) of the target's idle timeout within which it may be reused.
            identity: Identity by which the answer names the request.

        Returns:
            The connection, or None if a new one is needed.
        """
        usable = (
            connection
            for connection in reversed(self.idle)
            if connection.is_reusable(now, share) and connection.may_send(identity)
        )
        found = next(usable, None)
        spare = next(usable, None)
        if spare is not None and spare.is_reusable(now, min(share, SPARE_IDLE_SHARE)):
            found = spare
        if found is not None:
            self.idle.remove(found)
        return found

    def displace(self) -> bool:
        """Close the least recently used idle connection, to make room for a new one.

        Returns:
            False if no open connection is idle; one that is closed already has left its place.
        """
        oldest = next((one for one in self.idle if not one.is_closed), None)
        if oldest is None:
            return False
        self.idle.remove(oldest)
        oldest.abort()
        return True

    def close_expired(self, now: float) -> None:
        """Close connections that have been idle for too long.

        Args:
            now: The current time, in seconds.
        """
        for connection in self.idle:
            if not connection.is_reusable(now):
                connection.abort()
        self.idle = [connection for connection in self.idle if not connection.is_closed]

    def close_idle(self) -> None:
        """Close all idle connections."""
        for connection in self.idle:
            connection.abort()
        self.idle = []
