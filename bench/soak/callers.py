"""Callers of a run; they keep their connections until the instance closes them."""

from __future__ import annotations

import dataclasses
import errno
import itertools
from typing import TYPE_CHECKING, Any

from twisted.internet import error as net_error
from twisted.internet import protocol

from bench.soak import history
from lineworks.http1 import client_connection
from lineworks.platform.standins import documents

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Mapping

BUDGET = 1.0
"""Time budget of a request in seconds."""

PATIENCE = 4.0
"""Seconds after its budget at which a caller closes the connection: late answers are seen, too."""

CONNECT_SECONDS = 1.0
"""Timeout in seconds for opening a connection."""

ASK_AGAIN_SECONDS = 0.5
"""Interval in seconds between requests that crash their targets."""

ROUTES = (("search", 0.6), ("read", 0.25), ("bill", 0.15))
"""Routes and their shares of the requests."""


@dataclasses.dataclass(slots=True, eq=False)
class _Attempt:
    """An attempt in progress."""

    attempt: str
    route: str
    front: str
    sent_at: float
    budget: float
    is_fatal: bool = False
    is_first: bool = False
    key: str = ""
    claimed: str = ""
    timer: Any = None
    connection: client_connection.ClientConnection | None = None


class Callers:
    """Sends requests at a steady rate and records how each ended."""

    def __init__(
        self,
        reactor: Any,
        rng: random.Random,
        fronts: Mapping[str, tuple[str, int]],
        rate: float,
        note: Callable[[history.Call], None],
        draw_budget: Callable[[], float] = lambda: BUDGET,
        prefix: str = "t",
        draw_key: Callable[[], tuple[str, str]] = lambda: ("", ""),
    ) -> None:
        """Initialise without sending anything.

        Args:
            reactor: Twisted's reactor, or a host in memory.
            rng: Chooses routes and instances.
            fronts: Host and callers' port by instance.
            rate: Requests per second.
            note: Called with each attempt when it has ended.
            draw_budget: Returns the time budget of an attempt in seconds.
            prefix: Prefix of the IDs of attempts, which keeps those of several callers apart.
            draw_key: Returns the API key of an attempt and the workspace that it names; empty for
                none.
        """
        self._reactor = reactor
        self._rng = rng
        self._fronts = fronts
        self._pause = 1 / rate
        self._write = note
        self._draw_budget = draw_budget
        self._prefix = prefix
        self._draw_key = draw_key
        self._numbers = itertools.count(1)
        self._idle: dict[str, list[client_connection.ClientConnection]] = {}
        self._due = 0.0
        self._ends_at = 0.0
        self.latest = 0.0
        """Most seconds by which a request was sent late: its own process could not run."""
        self.under_way = 0
        """Number of attempts in progress."""

    def start(self, seconds: float) -> None:
        """Start sending.

        Args:
            seconds: Duration in seconds.
        """
        self._due = self._reactor.seconds()
        self._ends_at = self._due + seconds
        self._send_due()

    def _send_due(self) -> None:
        now = self._reactor.seconds()
        self.latest = max(self.latest, now - self._due)
        while self._due <= now < self._ends_at:
            self._send()
            self._due += self._pause
        if now < self._ends_at:
            self._reactor.callLater(max(0.0, self._due - now), self._send_due)

    def ask_again(self, route: str, until: float, rng: random.Random, key: str = "") -> None:
        """Send requests that crash their targets to any instance, at an interval.

        Args:
            route: Their route.
            until: When to stop, in seconds.
            rng: Chooses instances.
            key: API key of all these attempts: with another one they would be other requests.
        """
        if self._reactor.seconds() < until:
            self._start_attempt(route, rng.choice(sorted(self._fronts)), (key, ""), is_fatal=True)
            self._reactor.callLater(ASK_AGAIN_SECONDS, self.ask_again, route, until, rng, key)

    def _send(self) -> None:
        route = self._rng.choices([name for name, _ in ROUTES], [share for _, share in ROUTES])[0]
        self._start_attempt(route, self._rng.choice(sorted(self._fronts)), self._draw_key())

    def _start_attempt(
        self, route: str, front: str, sender: tuple[str, str], is_fatal: bool = False
    ) -> None:
        attempt = f"{self._prefix}{next(self._numbers):06d}"
        budget = self._draw_budget()
        now = self._reactor.seconds()
        key, claimed = sender
        pending = _Attempt(attempt, route, front, now, budget, is_fatal, key=key, claimed=claimed)
        self.under_way += 1
        pending.timer = self._reactor.callLater(budget + PATIENCE, self._give_up, pending)
        while self._idle.get(front):
            connection = self._idle[front].pop()
            if not connection.is_closed:
                self.on_open(pending, connection)
                return
        pending.is_first = True
        host, port = self._fronts[front]
        factory = _Factory(self, pending)
        self._reactor.connectTCP(host, port, factory, timeout=CONNECT_SECONDS)

    def on_open(self, pending: _Attempt, connection: client_connection.ClientConnection) -> None:
        """Send an attempt on a connection."""
        pending.connection = connection
        name = history.FATAL if pending.is_fatal else "q"
        path = f"/{pending.route}/{name}"
        data = documents.caller_request(
            "GET", path, pending.attempt, pending.budget, b"", pending.key, pending.claimed
        )
        connection.send(data, False, lambda end: self._on_end(pending, end))

    def on_no_connection(self, pending: _Attempt, detail: str) -> None:
        """Record that no connection to an instance could be opened."""
        self._note(pending, detail=detail)

    def _give_up(self, pending: _Attempt) -> None:
        if pending.connection is not None:
            pending.connection.abort()
        self._note(pending, detail="gave up")

    def _on_end(
        self,
        pending: _Attempt,
        end: client_connection.Response | client_connection.ConnectionFailure,
    ) -> None:
        if isinstance(end, client_connection.ConnectionFailure):
            self._note(pending, detail=end.detail)
            return
        if pending.connection is not None and not pending.connection.is_closed:
            self._idle.setdefault(pending.front, []).append(pending.connection)
        found = {key.decode().lower(): value.decode() for key, value in end.fields}
        stamps = [part.strip() for part in found.get("x-part-stamps", "").split(",")]
        self._note(
            pending,
            status=end.status,
            stamps=tuple(stamp for stamp in stamps if stamp),
            missing=int(found.get("x-parts-missing", "0")),
            body=end.body.hex(),
        )

    def _note(self, pending: _Attempt, status: int = 0, **more: Any) -> None:
        if pending.timer is None:
            return
        if pending.timer.active():
            pending.timer.cancel()
        pending.timer = None
        self.under_way -= 1
        now = self._reactor.seconds()
        call = history.Call(
            pending.attempt,
            pending.route,
            pending.front,
            pending.sent_at,
            pending.budget,
            now,
            status,
            is_fatal=pending.is_fatal,
            is_first=pending.is_first,
            key=pending.key,
            **more,
        )
        self._write(call)


def connect_failure(error: Exception) -> str:
    """Describe why a connection could not be opened.

    Args:
        error: The exception that Twisted reports.

    Returns:
        Name of its class. `ConnectError` stands for every error that has no class of its own, so
        the name of the system's error number follows it, for example `ConnectError ECONNRESET`.
    """
    name = type(error).__name__
    number = getattr(error, "osError", None)
    if type(error) is not net_error.ConnectError or number is None:
        return name
    return f"{name} {errno.errorcode.get(number, number)}"


class _Factory(protocol.ClientFactory):
    """Opens a connection for one attempt; later ones reuse it."""

    noisy = False

    def __init__(self, callers: Callers, pending: _Attempt) -> None:
        self._callers = callers
        self._pending = pending

    def buildProtocol(self, addr: Any) -> _Connection:  # noqa: N802
        """Create the caller's end of the connection."""
        return _Connection(self._callers, self._pending)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802
        """Report that the connection could not be opened."""
        self._callers.on_no_connection(self._pending, connect_failure(reason.value))


class _Connection(client_connection.ClientConnection):
    """A caller's connection, which sends its first attempt when it is open."""

    def __init__(self, callers: Callers, pending: _Attempt) -> None:
        super().__init__(callers._reactor.seconds, lambda connection: None)
        self._callers = callers
        self._pending = pending

    def connectionMade(self) -> None:  # noqa: N802
        """Send the first attempt."""
        super().connectionMade()
        self._callers.on_open(self._pending, self)
