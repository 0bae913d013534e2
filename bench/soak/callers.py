"""Callers of a run: they keep their connections until the process at the other end is gone."""

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
"""Seconds that a caller waits."""

PATIENCE = 4.0
"""Seconds after its budget at which a caller closes the connection: a late answer is still seen."""

CONNECT_SECONDS = 1.0
"""Seconds that a connection may take to open."""

ASK_AGAIN_SECONDS = 0.5
"""Seconds after which a caller asks again for what ends its targets."""

ROUTES = (("search", 0.6), ("read", 0.25), ("bill", 0.15))
"""Routes with their shares of the requests."""


@dataclasses.dataclass(slots=True, eq=False)
class _Try:
    """A try under way."""

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
    """Sends requests at a steady rate and notes how each ended."""

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
        """Make callers; nothing is sent yet.

        Args:
            reactor: Twisted's reactor, or a host in memory.
            rng: Draws routes and instances.
            fronts: For each instance its host and port for callers.
            rate: Requests a second.
            note: Takes each try with its end.
            draw_budget: Draws the seconds that a caller waits.
            prefix: Beginning of the identities of tries, so that those of several callers differ.
            draw_key: Draws the key of a try and the workspace that it names, empty for none.
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
        self.under_way = 0
        """Tries without an end."""

    def start(self, seconds: float) -> None:
        """Begin to send.

        Args:
            seconds: For how long.
        """
        self._due = self._reactor.seconds()
        self._ends_at = self._due + seconds
        self._send_due()

    def _send_due(self) -> None:
        now = self._reactor.seconds()
        while self._due <= now < self._ends_at:
            self._send()
            self._due += self._pause
        if now < self._ends_at:
            self._reactor.callLater(max(0.0, self._due - now), self._send_due)

    def ask_again(self, route: str, until: float, rng: random.Random, key: str = "") -> None:
        """Ask for what ends its targets, again and again, at any instance.

        Args:
            route: Its route.
            until: When to stop, in seconds.
            rng: Draws instances.
            key: Key that all these tries carry: with another one they would be others.
        """
        if self._reactor.seconds() < until:
            self._start_try(route, rng.choice(sorted(self._fronts)), (key, ""), is_fatal=True)
            self._reactor.callLater(ASK_AGAIN_SECONDS, self.ask_again, route, until, rng, key)

    def _send(self) -> None:
        route = self._rng.choices([name for name, _ in ROUTES], [share for _, share in ROUTES])[0]
        self._start_try(route, self._rng.choice(sorted(self._fronts)), self._draw_key())

    def _start_try(
        self, route: str, front: str, sender: tuple[str, str], is_fatal: bool = False
    ) -> None:
        attempt = f"{self._prefix}{next(self._numbers):06d}"
        budget = self._draw_budget()
        now = self._reactor.seconds()
        key, claimed = sender
        one = _Try(attempt, route, front, now, budget, is_fatal, key=key, claimed=claimed)
        self.under_way += 1
        one.timer = self._reactor.callLater(budget + PATIENCE, self._give_up, one)
        while self._idle.get(front):
            connection = self._idle[front].pop()
            if not connection.is_closed:
                self.on_open(one, connection)
                return
        one.is_first = True
        host, port = self._fronts[front]
        factory = _Factory(self, one)
        self._reactor.connectTCP(host, port, factory, timeout=CONNECT_SECONDS)

    def on_open(self, one: _Try, connection: client_connection.ClientConnection) -> None:
        """Send a try on a connection."""
        one.connection = connection
        name = history.FATAL if one.is_fatal else "q"
        path = f"/{one.route}/{name}"
        data = documents.caller_request(
            "GET", path, one.attempt, one.budget, b"", one.key, one.claimed
        )
        connection.send(data, False, lambda end: self._on_end(one, end))

    def on_no_connection(self, one: _Try, detail: str) -> None:
        """Note that an instance took no connection."""
        self._note(one, detail=detail)

    def _give_up(self, one: _Try) -> None:
        if one.connection is not None:
            one.connection.abort()
        self._note(one, detail="gave up")

    def _on_end(
        self, one: _Try, end: client_connection.Response | client_connection.ConnectionFailure
    ) -> None:
        if isinstance(end, client_connection.ConnectionFailure):
            self._note(one, detail=end.detail)
            return
        if one.connection is not None and not one.connection.is_closed:
            self._idle.setdefault(one.front, []).append(one.connection)
        found = {key.decode().lower(): value.decode() for key, value in end.fields}
        stamps = [part.strip() for part in found.get("x-part-stamps", "").split(",")]
        self._note(
            one,
            status=end.status,
            stamps=tuple(stamp for stamp in stamps if stamp),
            missing=int(found.get("x-parts-missing", "0")),
            body=end.body.hex(),
        )

    def _note(self, one: _Try, status: int = 0, **more: Any) -> None:
        if one.timer is None:
            return
        if one.timer.active():
            one.timer.cancel()
        one.timer = None
        self.under_way -= 1
        now = self._reactor.seconds()
        call = history.Call(
            one.attempt,
            one.route,
            one.front,
            one.sent_at,
            one.budget,
            now,
            status,
            is_fatal=one.is_fatal,
            is_first=one.is_first,
            key=one.key,
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
    """Opens a connection for one try; others use it after that."""

    noisy = False

    def __init__(self, callers: Callers, one: _Try) -> None:
        self._callers = callers
        self._one = one

    def buildProtocol(self, addr: Any) -> _Connection:  # noqa: N802
        """Make the caller's end."""
        return _Connection(self._callers, self._one)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802
        """Report that there is no connection."""
        self._callers.on_no_connection(self._one, connect_failure(reason.value))


class _Connection(client_connection.ClientConnection):
    """A caller's connection, which sends its first try when it is open."""

    def __init__(self, callers: Callers, one: _Try) -> None:
        super().__init__(callers._reactor.seconds, lambda connection: None)
        self._callers = callers
        self._one = one

    def connectionMade(self) -> None:  # noqa: N802
        """Send the first try."""
        super().connectionMade()
        self._callers.on_open(self._one, self)
