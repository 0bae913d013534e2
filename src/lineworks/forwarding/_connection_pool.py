"""The connections of one instance to one target."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lineworks.http1 import client_connection


class ConnectionPool:
    """The connections to one target."""

    def __init__(self, share: int) -> None:
        """Start without connections.

        Args:
            share: Connections that this instance may hold.
        """
        self._share = share
        self.idle: list[client_connection.ClientConnection] = []
        """Open ones without a request, the one used last at the end."""
        self.open = 0
        """All that are open or being opened."""

    @property
    def has_room(self) -> bool:
        """Whether another connection may be opened."""
        return self.open < self._share

    def take(self, now: float, share: float) -> client_connection.ClientConnection | None:
        """Take the connection that was used last, if the target still waits on it.

        Args:
            now: The present, in seconds.
            share: Part of the target's idle time (0 to 1) within which it may be used.

        Returns:
            The connection, or None when a new one is needed.
        """
        idle = self.idle
        while idle and idle[-1].is_closed:
            idle.pop()
        if idle and idle[-1].is_reusable(now, share):
            return idle.pop()
        return None

    def close_expired(self, now: float) -> None:
        """Close connections that were idle too long.

        Args:
            now: The present, in seconds.
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
