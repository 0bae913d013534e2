"""A target that answers callers' requests, with the faults that real ones have.

It keeps a book of everything that it ran, so a test can hold the promises against it.
"""

from __future__ import annotations

import dataclasses
import hashlib
from typing import TYPE_CHECKING, Any

import httptools
from twisted.internet import protocol

from lineworks.platform.standins import documents

if TYPE_CHECKING:
    from collections.abc import Callable

RECORD_BYTES = 16

CRASH_SECONDS = 0.045
"""Seconds after which a target ends under a request that crashes it."""

RECORDS = 8
"""Records of one answer."""


def records_of(attempt: str, target: str) -> list[bytes]:
    """Make the records that a target has for a try, so that an answer can be held against them.

    Args:
        attempt: Identity of the try.
        target: Identity of the target.

    Returns:
        The records, in no order.
    """
    seeds = (f"{attempt}|{target}|{number}".encode() for number in range(RECORDS))
    return [hashlib.md5(seed).digest()[:RECORD_BYTES] for seed in seeds]


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A request that a target worked on."""

    target: str
    attempt: str
    method: str
    path: str
    body: bytes
    at: float
    fields: dict[str, str] = dataclasses.field(default_factory=dict, compare=False)
    """Header fields that came with it, names in lower case."""


@dataclasses.dataclass
class TargetFaults:
    """How a target misbehaves."""

    sheds: bool = False
    """Whether it refuses everything."""

    loses_answers: bool = False
    """Whether it resets the connection after the work."""

    never_answers: bool = False
    """Whether it works and never answers."""

    trailing_bytes: bytes = b""
    """Bytes that it sends after each answer."""

    status: int = 200
    """Status of its answers."""


class HttpTarget(protocol.Factory):
    """One target."""

    noisy = False

    def __init__(
        self,
        host: Any,
        name: str,
        service: str,
        hall: str,
        work: Callable[[], float],
        runs: list[Run],
    ) -> None:
        """Make a target; `listen` starts it.

        Args:
            host: The host that it runs on, as a reactor.
            name: Identity of its process.
            service: The service that it serves.
            hall: Data hall that it stands in.
            work: Draws the seconds that a request takes.
            book: Takes what was run.
        """
        self.host = host
        self.name = name
        self.service = service
        self.hall = hall
        self.work = work
        self.runs = runs
        self.port = 8000
        self.slots = 2
        self.born: int | None = None
        """Unix millisecond of its start, as its entry tells it."""
        self.faults = TargetFaults()
        self.on_arrival: Callable[[float], None] = lambda at: None
        """Called with the time of each request that arrives, refused or not."""
        self.is_fatal: Callable[[Run], bool] = lambda run: False
        """Says whether a request ends the target that runs it."""
        self.on_crash: Callable[[Run], None] = lambda run: None
        """Called with such a request when it is time to end."""
        self.on_refused: Callable[[str], None] = lambda attempt: None
        """Called with the identity of each try that it refuses."""
        self.connections: set[_TargetProtocol] = set()
        """Open connections."""
        self._listening: Any = None
        self.cancelled = 0
        """Requests whose connection was closed while they ran."""

    @property
    def is_listening(self) -> bool:
        """Whether it accepts connections."""
        return self._listening is not None

    def listen(self) -> None:
        """Accept connections."""
        self._listening = self.host.listenTCP(self.port, self)

    def close(self) -> None:
        """Accept no connection any more, and reset those that are open."""
        self._listening.stopListening()
        self._listening = None
        for connection in list(self.connections):
            connection.transport.abortConnection()

    def entry(self, state: str = "ready") -> str:
        """Write its entry for the platform's store."""
        address = f"{self.host.address}:{self.port}"
        return documents.target_entry(
            self.service, address, self.hall, self.slots, state, self.born
        )

    def records(self, attempt: str) -> bytes:
        """Make the records of an answer; no two targets give the same ones."""
        return b"".join(records_of(attempt, self.name))

    def stamp(self, attempt: str) -> str:
        """Sign an answer."""
        return f"{self.service}.{attempt}.{self.name}"

    def buildProtocol(self, addr: Any) -> _TargetProtocol:  # noqa: N802
        """Make the end of a new connection."""
        return _TargetProtocol(self)


class _TargetProtocol(protocol.Protocol):
    transport: Any

    def __init__(self, target: HttpTarget) -> None:
        self._target = target
        self._parser: Any = httptools.HttpRequestParser(self)
        self._url = b""
        self._headers: dict[str, str] = {}
        self._body = b""
        self._is_working = False

    def connectionMade(self) -> None:  # noqa: N802
        """Note that the connection is open."""
        self._target.connections.add(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Feed the parser."""
        self._parser.feed_data(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Drop the request."""
        self._target.connections.discard(self)
        if self._is_working:
            self._target.cancelled += 1
            self._is_working = False

    def on_url(self, url: bytes) -> None:
        """Take in the path."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take in a header."""
        self._headers[name.decode().lower()] = value.decode()

    def on_body(self, data: bytes) -> None:
        """Take in the body."""
        self._body += data

    def on_message_complete(self) -> None:
        """Work on the request."""
        target = self._target
        headers, path, body = self._headers, self._url.decode(), self._body
        method = self._parser.get_method().decode()
        self._headers, self._url, self._body = {}, b"", b""
        attempt = headers.get("x-attempt-id", "")
        target.on_arrival(target.host.seconds())
        if headers.get("x-expect-instance", target.name) != target.name:
            target.on_refused(attempt)
            self._answer(421, attempt, b"", "X-Not-Executed: 1\r\n")
            return
        if target.faults.sheds:
            target.on_refused(attempt)
            self._answer(503, attempt, b"", "X-Not-Executed: 1\r\n")
            return
        now = target.host.seconds()
        run = Run(target.name, attempt, method, path, body, now, headers)
        target.runs.append(run)
        self._is_working = True
        if target.is_fatal(run):
            target.host.callLater(CRASH_SECONDS, target.on_crash, run)
            return
        target.host.callLater(target.work(), self._finish, attempt)

    def _finish(self, attempt: str) -> None:
        target = self._target
        if not self._is_working or target.faults.never_answers:
            return
        self._is_working = False
        if target.faults.loses_answers:
            self.transport.abortConnection()
            return
        stamp = f"X-Response-Stamp: {target.stamp(attempt)}\r\nX-Server-Load: 1,0,2\r\n"
        self._answer(target.faults.status, attempt, target.records(attempt), stamp)

    def _answer(self, status: int, attempt: str, body: bytes, more: str) -> None:
        head = f"HTTP/1.1 {status} X\r\nX-Attempt-Id: {attempt}\r\n{more}"
        framing = f"Content-Length: {len(body)}\r\n\r\n"
        self.transport.write((head + framing).encode() + body + self._target.faults.trailing_bytes)
