"""Opens the ports of a start, and waits for those that cannot be had yet.

A port may be taken for a moment by the process before, or as the local port of somebody's outgoing
connection; an address may be added to the machine only later. A start that ended at the first
refusal would meet the same in its next life. This module must not import Twisted, which is slow to
import.
"""

from __future__ import annotations

import dataclasses
import errno
import time
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable, Sequence

CALLERS = "callers"
"""Role of the port on which callers connect."""

READINESS = "readiness"
"""Role of the port at which the load balancer checks the readiness."""

LINKS = "links"
"""Role of the port on which other instances connect."""

METRICS = "metrics"
"""Role of the port that serves metrics."""

PORT_WAIT_SECONDS = 60.0
"""Seconds after which a start gives up, so that operators see a start that will not succeed."""

RETRY_SECONDS = 0.05
"""Seconds between two tries to open a port; also the longest delay of a stop."""

REPORT_SECONDS = 5.0
"""Seconds between two log lines of a port that is waited for."""

PASSING_ERRORS = frozenset({errno.EADDRINUSE, errno.EADDRNOTAVAIL})
"""Errors after which a port is tried again; all others end the start."""


@dataclasses.dataclass(frozen=True, slots=True)
class Port:
    """A port that a start needs."""

    role: str
    """What it is for, such as `LINKS`."""

    host: str
    """IPv4 address."""

    number: int
    """TCP port."""

    @property
    def address(self) -> str:
        """Address and port, for log lines."""
        return f"{self.host}:{self.number}"


class PortError(Exception):
    """A port cannot be opened."""

    def __init__(self, port: Port, error: OSError, waited: float = 0.0) -> None:
        """Initialise the error.

        Args:
            port: The port.
            error: The last error.
            waited: Seconds for which the port was waited for.
        """
        super().__init__(f"{port.role} {port.address}: {error.strerror}")
        self.port = port
        self.error = error
        self.waited = waited

    @property
    def fields(self) -> dict[str, str | float]:
        """Fields of a log line that tells of the error."""
        return {
            "role": self.port.role,
            "address": self.port.address,
            "error": self.error.strerror or str(self.error),
            "waited": round(self.waited, 3),
        }


class StopRequestedError(Exception):
    """The process was asked to stop while it waited for a port."""


class WriteLine(Protocol):
    """Writes a log line."""

    def __call__(self, level: str, event: str, **fields: object) -> None:
        """Write a line with a level, an event and fields."""


@dataclasses.dataclass(slots=True)
class _Refusals:
    """What is known of a port that was refused."""

    since: float
    """When it was first refused, in seconds."""

    reported_at: float
    """When a line was last written, in seconds."""


class PortWait:
    """Opens the ports of one start; the bound on the wait holds for all of them together."""

    def __init__(
        self,
        write_line: WriteLine,
        is_stop_requested: Callable[[], bool],
        max_seconds: float,
        *,
        now: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        """Initialise without opening a port.

        Args:
            write_line: Writes the lines of a wait.
            is_stop_requested: Returns whether the process was asked to stop.
            max_seconds: Seconds after which a refused port is given up.
            now: Returns the current time in seconds.
            sleep: Blocks for some seconds.
        """
        self._write_line = write_line
        self._is_stop_requested = is_stop_requested
        self._now = now
        self._sleep = sleep
        self._gives_up_at = now() + max_seconds
        self._refusals: dict[Port, _Refusals] = {}
        self._own: set[str] = set()

    def open_all(
        self, ports: Sequence[Port], open_port: Callable[[str, int], socket.socket]
    ) -> dict[str, socket.socket]:
        """Open ports, and block while one of them cannot be had.

        While one is waited for the others are opened, so that nobody else takes them meanwhile.

        Args:
            ports: The ports.
            open_port: Opens a port by address and number, or raises `OSError`.

        Returns:
            The socket of each port by its role.

        Raises:
            PortError: A port cannot be had, or not in time.
            StopRequestedError: The process was asked to stop while it waited.
        """
        opened: dict[str, socket.socket] = {}
        while True:
            for port in ports:
                if port.role not in opened:
                    self._try_to_open(port, open_port, opened)
            if len(opened) == len(ports):
                return opened
            if self._is_stop_requested():
                raise StopRequestedError
            self._sleep(RETRY_SECONDS)

    def _try_to_open(
        self,
        port: Port,
        open_port: Callable[[str, int], socket.socket],
        opened: dict[str, socket.socket],
    ) -> None:
        try:
            opened[port.role] = open_port(port.host, port.number)
        except OSError as error:
            self._note_refusal(port, error)
        else:
            self._note_success(port)

    def _note_refusal(self, port: Port, error: OSError) -> None:
        """Write a line if one is due, and raise an error if the port is given up.

        A port that this start has opened for another role is given up at once.
        """
        if port.address in self._own:
            raise PortError(port, error) from error
        now = self._now()
        is_first = port not in self._refusals
        refusals = self._refusals.setdefault(port, _Refusals(now, now))
        failure = PortError(port, error, now - refusals.since)
        if error.errno not in PASSING_ERRORS or now >= self._gives_up_at:
            raise failure from error
        if is_first or now - refusals.reported_at >= REPORT_SECONDS:
            refusals.reported_at = now
            self._write_line("warning", "port_in_use", is_waiting=True, **failure.fields)

    def _note_success(self, port: Port) -> None:
        self._own.add(port.address)
        refusals = self._refusals.pop(port, None)
        if refusals is None:
            return
        waited = round(self._now() - refusals.since, 3)
        self._write_line("info", "port_opened", role=port.role, address=port.address, waited=waited)
