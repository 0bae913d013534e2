"""A limit on what one process holds of messages that it is still receiving, or still sending.

The limit on a single message doesn't protect the process when many servers or callers send long
ones at once, or when callers don't read their responses.
"""

from __future__ import annotations

from typing import Protocol

CALLERS = ""
"""Stands for a service where the sender or the reader of a message is a caller."""

HELD_FRACTION = 2 / 3
"""Fraction of the maximum that the bodies of requests in progress may take, all copies of them
counted; the rest is for their responses, of which one copy is counted."""

DEFAULT_MAX_BYTES = 32 * 1024 * 1024
"""Maximum number of bytes in unfinished bodies if the memory of the process is not known."""

MEMORY_FRACTION = 1 / 6
"""Fraction of the memory of a process that unfinished bodies may take. A body exists up to three
times: in pieces, joined, and in the buffer of the connection to its caller. Together they may take
half of the memory; the process itself needs the other half."""


class Receiver(Protocol):
    """A connection that receives or sends a message."""

    def on_too_much_unfinished(self) -> None:
        """End the message, because the unfinished ones together are too long."""


class UnfinishedBodies:
    """Sizes of the unfinished bodies of a process."""

    def __init__(self, max_bytes: int = DEFAULT_MAX_BYTES) -> None:
        """Start without bodies.

        Args:
            max_bytes: Maximum number of bytes in all of them.
        """
        self._max_bytes = max_bytes
        # Sizes by service; a service without unfinished bodies has no entry.
        self._sizes: dict[str, dict[Receiver, int]] = {}
        self._total_bytes = 0
        self._held_bytes = 0
        self._given_up = 0

    @property
    def total_bytes(self) -> int:
        """Number of bytes in all of them, bodies of requests in progress included."""
        return self._total_bytes

    @property
    def given_up(self) -> int:
        """Number of bodies given up because of the limit, since the start."""
        return self._given_up

    def record(self, receiver: Receiver, service: str, size: int) -> None:
        """Record the size of an unfinished body.

        Above the limit, the longest body of the service that takes most is given up, so that a
        service doesn't take what the answers of others need.

        Args:
            receiver: Its connection.
            service: The service that sends it.
            size: Number of bytes received of it so far.
        """
        sizes = self._sizes.setdefault(service, {})
        self._total_bytes += size - sizes.get(receiver, 0)
        sizes[receiver] = size
        while self._sizes and self._total_bytes > self._max_bytes:
            self._give_up_longest()

    def hold(self, size: int) -> bool:
        """Count the body of a request that is about to run; it is never given up.

        Args:
            size: Its size in bytes.

        Returns:
            Whether there is room for it; if not, it isn't counted and the request must not run.
        """
        if self._held_bytes + size > self._max_bytes * HELD_FRACTION:
            return False
        self._held_bytes += size
        self._total_bytes += size
        return True

    def let_go(self, size: int) -> None:
        """Forget the body of a request that was answered.

        Args:
            size: Its size in bytes.
        """
        self._held_bytes -= size
        self._total_bytes -= size

    def release(self, receiver: Receiver, service: str) -> None:
        """Forget the body of a connection, if it has one.

        Args:
            receiver: The connection.
            service: The service that sends it.
        """
        sizes = self._sizes.get(service)
        if sizes is None:
            return
        self._total_bytes -= sizes.pop(receiver, 0)
        if not sizes:
            del self._sizes[service]

    def _give_up_longest(self) -> None:
        service = max(self._sizes, key=lambda name: sum(self._sizes[name].values()))
        sizes = self._sizes[service]
        longest = max(sizes, key=sizes.__getitem__)
        self.release(longest, service)
        self._given_up += 1
        longest.on_too_much_unfinished()


def limit_for(memory_bytes: int) -> int:
    """Return the maximum number of bytes in unfinished bodies.

    Args:
        memory_bytes: Memory that the process may use, in bytes; 0 if not known.

    Returns:
        The maximum in bytes.
    """
    return int(memory_bytes * MEMORY_FRACTION) if memory_bytes else DEFAULT_MAX_BYTES
