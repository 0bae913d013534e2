"""TCP ports on loopback for the processes of a run."""

from __future__ import annotations

import errno
import random
import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

BLOCK = 200
"""Number of ports that are claimed together; the first one of a block serves as its lock."""

RANGE = range(15000, 32000)
"""Ports that may be used: below those that Linux gives to outgoing connections, which would take a
port while its process restarts."""

PROBE_SECONDS = 0.05
"""Timeout in seconds for opening a connection on this machine."""


class PortClaim:
    """Ports that no other run uses until they are released.

    Runs that looked for free ports at the same moment found the same ones: each had the other's
    callers, and its processes found their ports in use.
    """

    def __init__(self, locks: Sequence[socket.socket], numbers: Sequence[int]) -> None:
        """Initialise a claim.

        Args:
            locks: Sockets bound to the first ports of the blocks that the ports are in.
            numbers: The ports in ascending order.
        """
        self._locks = locks
        self.ports = tuple(numbers)
        """The ports in ascending order."""

    def release(self) -> None:
        """Release the ports."""
        for lock in self._locks:
            lock.close()


def claim(count: int) -> PortClaim:
    """Claim ports on which nobody listens.

    Args:
        count: Number of ports; those of one block are consecutive.

    Returns:
        The claim.

    Raises:
        OSError: There are too few free blocks.
    """
    blocks = list(range(RANGE.start, RANGE.stop - BLOCK + 1, BLOCK))
    random.SystemRandom().shuffle(blocks)
    locks: list[socket.socket] = []
    found: list[int] = []
    for first in blocks:
        wanted = range(first + 1, first + 1 + min(BLOCK - 1, count - len(found)))
        lock = _lock_block(first, wanted)
        if lock is not None:
            locks.append(lock)
            found += wanted
        if len(found) == count:
            return PortClaim(locks, sorted(found))
    for lock in locks:
        lock.close()
    raise OSError(f"too few blocks of {BLOCK} free ports from {RANGE.start} to {RANGE.stop}")


def is_open(port: int) -> bool:
    """Return whether a process listens on a port of this machine.

    A port that is being closed answers no new connection for some milliseconds. Without a timeout,
    the connection attempt would take a second, and would block the run.

    Args:
        port: TCP port.

    Returns:
        False only if the system refuses the connection.
    """
    with socket.socket() as probe:
        probe.settimeout(PROBE_SECONDS)
        return probe.connect_ex(("127.0.0.1", port)) != errno.ECONNREFUSED


def _lock_block(first: int, wanted: Sequence[int]) -> socket.socket | None:
    """Lock a block of ports by binding its first one, if all wanted ports are free."""
    lock = socket.socket()
    try:
        lock.bind(("127.0.0.1", first))
    except OSError:
        # Another run holds the lock.
        lock.close()
        return None
    if all(_is_free(port) for port in wanted):
        return lock
    lock.close()
    return None


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
