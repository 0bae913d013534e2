"""Answers callers whose time runs out while the process is still importing.

Callers connect to the open port and wait for the event loop to read them. On a starved machine the
imports take longer than they wait. A thread accepts them meanwhile and refuses, as not run, those
whose time is nearly over; the others are handed to the event loop with what they sent. The module
imports nothing of Twisted.
"""

from __future__ import annotations

import dataclasses
import os
import selectors
import socket
import threading
import time
from typing import TYPE_CHECKING, Any

from lineworks.kernel import listening

if TYPE_CHECKING:
    from collections.abc import Callable

REFUSED_SHARE = 0.8
"""Share of its time after which a caller is refused: most imports are done long before, and what is
left is enough for the answer's way."""

LOOK_SECONDS = 0.02
"""Seconds between looks at whose time is nearly over, while anybody waits."""

MOST_CALLERS = 512
"""Connections that are accepted; others wait for the event loop."""

MOST_BYTES = 65536
"""Bytes that are read of a caller; the rest stays in its socket."""

_HEAD_END = b"\r\n\r\n"

_REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\n"
    b"Retry-After: 1.00\r\n"
    b"Connection: close\r\n"
    b"Content-Length: 0\r\n\r\n"
)


@dataclasses.dataclass(slots=True, eq=False)
class _Caller:
    """A connection that was accepted early."""

    socket: socket.socket
    data: bytes = b""
    refused_at: float = float("inf")
    is_refused: bool = False


class EarlyAcceptor:
    """A listening port and who connected to it before the event loop runs."""

    def __init__(self, opened: socket.socket, read_budget: Callable[[bytes], float | None]) -> None:
        """Watch nothing yet.

        Args:
            opened: The listening socket.
            read_budget: Reads from a request's head the seconds that its caller waits; None where
                it does not tell.
        """
        self._opened = opened
        self._read_budget = read_budget
        self._callers: dict[int, _Caller] = {}
        self._selector = selectors.DefaultSelector()
        self._woken, self._wake = os.pipe()
        self._thread = threading.Thread(target=self._run, name="early callers", daemon=True)
        self._errors: list[str] = []

    @property
    def errors(self) -> list[str]:
        """What went wrong while there was no log."""
        return self._errors

    def start(self) -> None:
        """Begin to accept callers."""
        self._selector.register(self._opened, selectors.EVENT_READ)
        self._selector.register(self._woken, selectors.EVENT_READ)
        self._thread.start()

    def adopt(self, reactor: Any, factory: Any) -> Any:
        """Hand the port and all that wait to a reactor.

        Args:
            reactor: Twisted's reactor.
            factory: Makes the protocol of each connection.

        Returns:
            Twisted's port.
        """
        os.write(self._wake, b"x")
        self._thread.join()
        self._selector.close()
        os.close(self._wake)
        os.close(self._woken)
        port = listening.adopt(reactor, self._opened, factory)
        for caller in self._callers.values():
            if not caller.is_refused:
                _hand_over(reactor, factory, caller)
            caller.socket.close()
        return port

    def _run(self) -> None:
        while True:
            is_waiting = any(not caller.is_refused for caller in self._callers.values())
            ready = self._selector.select(LOOK_SECONDS if is_waiting else None)
            for key, _ in ready:
                if key.fileobj == self._woken:
                    return
                if key.fileobj is self._opened:
                    self._accept()
                else:
                    self._read(self._callers[key.fd])
            self._refuse_due()

    def _accept(self) -> None:
        try:
            accepted, _ = self._opened.accept()
        except BlockingIOError:
            # Its caller left before.
            return
        except OSError as error:
            self._errors.append(repr(error))
            self._selector.unregister(self._opened)
            return
        accepted.setblocking(False)
        self._callers[accepted.fileno()] = _Caller(accepted)
        self._selector.register(accepted, selectors.EVENT_READ)
        if len(self._callers) >= MOST_CALLERS:
            self._selector.unregister(self._opened)

    def _read(self, caller: _Caller) -> None:
        try:
            data = caller.socket.recv(MOST_BYTES - len(caller.data))
        except BlockingIOError:
            return
        except OSError:
            # Reset by its caller: the reactor finds that out by itself.
            data = b""
        caller.data += data
        if not data or len(caller.data) >= MOST_BYTES:
            self._selector.unregister(caller.socket)
        if caller.refused_at == float("inf") and _HEAD_END in caller.data:
            budget = self._read_budget(caller.data)
            if budget is not None:
                caller.refused_at = _now() + REFUSED_SHARE * budget

    def _refuse_due(self) -> None:
        now = _now()
        for caller in self._callers.values():
            if not caller.is_refused and caller.refused_at <= now:
                self._refuse(caller)

    def _refuse(self, caller: _Caller) -> None:
        caller.is_refused = True
        try:
            caller.socket.send(_REFUSAL)
            caller.socket.shutdown(socket.SHUT_WR)
        except OSError as error:
            self._errors.append(repr(error))


def _now() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def _hand_over(reactor: Any, factory: Any, caller: _Caller) -> None:
    """Give a connection to a reactor, with what was read of it."""
    try:
        caller.socket.getpeername()
    except OSError:
        # Its caller is gone.
        return
    transport = reactor.adoptStreamConnection(caller.socket.fileno(), socket.AF_INET, factory)
    if caller.data:
        transport.protocol.dataReceived(caller.data)
