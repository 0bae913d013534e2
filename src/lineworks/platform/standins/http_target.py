"""HTTP target that answers callers' requests and can inject the faults of real targets.

It records every request that it runs, so that tests can check the guarantees to callers.
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
"""Seconds from the start of a request that crashes its target until the crash."""

RECORDS = 8
"""Number of records in an answer."""


def records_of(attempt: str, target: str) -> list[bytes]:
    """Compute the records that a target returns for an attempt, to check an answer against.

    Args:
        attempt: Identity of the attempt.
        target: Identity of the target.

    Returns:
        The records, in no particular order.
    """
    seeds = (f"{attempt}|{target}|{number}".encode() for number in range(RECORDS))
    return [hashlib.md5(seed).digest()[:RECORD_BYTES] for seed in seeds]


def send_as_is(transport: Any, answer: bytes) -> bool:
    """Leave an answer to the target, which sends it as it is."""
    return False


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A request that a target ran."""

    target: str
    attempt: str
    method: str
    path: str
    body: bytes
    at: float
    fields: dict[str, str] = dataclasses.field(default_factory=dict, compare=False)
    """Header fields of the request, names in lower case."""


@dataclasses.dataclass
class TargetFaults:
    """Faults that a target injects."""

    sheds: bool = False
    """Whether it refuses every request."""

    refuses_first: bool = False
    """Whether it refuses each attempt when that arrives for the first time."""

    refusal_status: int = 503
    """HTTP status with which it refuses."""

    repeats_refusals_after: float | None = None
    """Seconds after which it sends each refusal a second time; None if it doesn't."""

    loses_answers: bool = False
    """Whether it runs requests and then resets the connection instead of answering."""

    never_answers: bool = False
    """Whether it runs requests and never answers."""

    trailing_bytes: bytes = b""
    """Extra bytes that it sends after each answer."""

    status: int = 200
    """HTTP status of its answers."""


class HttpTarget(protocol.Factory):
    """A target: the factory of its server connections."""

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
        """Create a target; `listen` starts it.

        Args:
            host: Host on which it runs, with the interface of a reactor.
            name: Identity of its process.
            service: Service that it serves.
            hall: Its data hall.
            work: Returns the duration of a request, in seconds.
            runs: List to which each run is appended.
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
        """Unix time of its start in milliseconds, as in its entry; None to omit it."""
        self.faults = TargetFaults()
        self.on_arrival: Callable[[float], None] = lambda at: None
        """Called with the arrival time of each request, refused or not."""
        self.is_fatal: Callable[[Run], bool] = lambda run: False
        """Returns whether a request crashes the target that runs it."""
        self.on_crash: Callable[[Run], None] = lambda run: None
        """Called with a fatal request when it crashes the target."""
        self.on_refused: Callable[[str], None] = lambda attempt: None
        """Called with the identity of each attempt that the target refuses."""
        self.replace_answer: Callable[[Any, bytes], bool] = send_as_is
        """Called with the transport and each answer; returns whether it has answered instead."""
        self.connections: set[_TargetProtocol] = set()
        """Open connections."""
        self._listening: Any = None
        self._refused: set[str] = set()
        self.cancelled = 0
        """Number of requests whose connection was closed while they ran."""

    @property
    def is_listening(self) -> bool:
        """Whether the target accepts connections."""
        return self._listening is not None

    def listen(self) -> None:
        """Accept connections."""
        self._listening = self.host.listenTCP(self.port, self)

    def close(self) -> None:
        """Stop accepting connections and reset the open ones."""
        self._listening.stopListening()
        self._listening = None
        for connection in list(self.connections):
            connection.transport.abortConnection()

    def must_refuse(self, attempt: str) -> bool:
        """Return whether an attempt that arrives is refused.

        Args:
            attempt: Identity of the attempt.

        Returns:
            Whether the target's faults say so.
        """
        if self.faults.refuses_first and attempt not in self._refused:
            self._refused.add(attempt)
            return True
        return self.faults.sheds

    def entry(self, state: str = "ready") -> str:
        """Encode the target's entry for the platform's store."""
        address = f"{self.host.address}:{self.port}"
        return documents.target_entry(
            self.service, address, self.hall, self.slots, state, self.born
        )

    def records(self, attempt: str) -> bytes:
        """Return the records of an answer; they differ between targets."""
        return b"".join(records_of(attempt, self.name))

    def stamp(self, attempt: str) -> str:
        """Return the signature of an answer."""
        return f"{self.service}.{attempt}.{self.name}"

    def buildProtocol(self, addr: Any) -> _TargetProtocol:  # noqa: N802
        """Create the protocol of a new connection."""
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
        """Record the connection as open."""
        self._target.connections.add(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Feed the HTTP parser."""
        self._parser.feed_data(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Cancel the running request, if any."""
        self._target.connections.discard(self)
        if self._is_working:
            self._target.cancelled += 1
            self._is_working = False

    def on_url(self, url: bytes) -> None:
        """Collect part of the URL."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1").strip()

    def on_body(self, data: bytes) -> None:
        """Collect part of the body."""
        self._body += data

    def on_message_complete(self) -> None:
        """Run or refuse the request."""
        target = self._target
        headers, path, body = self._headers, self._url.decode("latin-1"), self._body
        method = self._parser.get_method().decode()
        self._headers, self._url, self._body = {}, b"", b""
        attempt = headers.get("x-attempt-id", "")
        target.on_arrival(target.host.seconds())
        if headers.get("x-expect-instance", target.name) != target.name:
            target.on_refused(attempt)
            self._answer(421, attempt, b"", "X-Not-Executed: 1\r\n")
            return
        if target.must_refuse(attempt):
            target.on_refused(attempt)
            self._refuse(attempt)
            return
        now = target.host.seconds()
        run = Run(target.name, attempt, method, path, body, now, headers)
        target.runs.append(run)
        self._is_working = True
        if target.is_fatal(run):
            target.host.callLater(CRASH_SECONDS, target.on_crash, run)
            return
        target.host.callLater(target.work(), self._finish, attempt)

    def _refuse(self, attempt: str) -> None:
        self._send_refusal(attempt)
        delay = self._target.faults.repeats_refusals_after
        if delay is not None:
            self._target.host.callLater(delay, self._send_refusal, attempt)

    def _send_refusal(self, attempt: str) -> None:
        if self in self._target.connections:
            status = self._target.faults.refusal_status
            self._answer(status, attempt, b"", "X-Not-Executed: 1\r\n")

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
        answer = (head + framing).encode("latin-1") + body + self._target.faults.trailing_bytes
        if not self._target.replace_answer(self.transport, answer):
            self.transport.write(answer)
