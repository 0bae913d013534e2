"""The end of a stop on real sockets: answers that are still being written."""

from __future__ import annotations

import socket
import time

from twisted.internet import selectreactor

from lineworks.forwarding import planned_stop
from lineworks.http1 import server_connection
from lineworks.kernel import listening

BODY = b"x" * (8 << 20)
"""A body that no socket's buffers hold."""

READ_BYTES = 64 << 10
"""Bytes that the slow caller reads at a time."""

READ_PAUSE = 0.003
"""Seconds between its reads: it needs some 0.4 s for the body."""


class Reactor(selectreactor.SelectReactor):
    """Notes its stop, and is turned by hand."""

    is_over = False

    def stop(self):
        self.is_over = True

    def turn(self):
        self.runUntilCurrent()
        self.doIteration(0.001)


class Idle:
    """Requests, or queries, of which none is under way."""

    is_idle = True

    def end_all(self):
        return 0


def whole_answer(grace, is_early):
    """Ask a server that stops, read its answer slowly, and tell how much came in which time."""
    reactor = Reactor()
    waiting = []
    undelivered = []
    server = server_connection.Server(
        reactor,
        server_connection.Limits,
        lambda request, answer: waiting.append(answer),
        lambda: True,
        on_undelivered=undelivered.append,
    )
    opened = listening.open_port("127.0.0.1", 0)
    caller = socket.create_connection(opened.getsockname(), timeout=5)
    port = listening.adopt(reactor, opened, server)
    caller.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    caller.setblocking(False)
    while not waiting:
        reactor.turn()
    stop = planned_stop.PlannedStop(
        reactor, "n1", grace, server, Idle(), Idle(), lambda: listening.close(port)
    )
    stop.begin(reactor.seconds())
    if not is_early:
        while reactor.seconds() < stop.answer_by:
            reactor.turn()
    waiting[0](server_connection.Answer(200, [], BODY))
    seen = 0
    while not reactor.is_over:
        reactor.turn()
        time.sleep(READ_PAUSE)
        try:
            seen += len(caller.recv(READ_BYTES))
        except BlockingIOError:
            continue
    # What the process has handed to the system still comes, unless it was reset.
    reactor.disconnectAll()
    caller.setblocking(True)
    while data := caller.recv(READ_BYTES):
        seen += len(data)
    caller.close()
    return seen, undelivered


def test_a_stop_waits_for_an_answer_that_is_still_being_written():
    seen, undelivered = whole_answer(grace=4.0, is_early=True)
    assert seen > len(BODY)
    assert undelivered == []


def test_an_answer_that_its_caller_reads_too_slowly_is_told_of():
    # The process has to end; then the log names the caller that got a part.
    seen, undelivered = whole_answer(grace=1.0, is_early=False)
    assert seen < len(BODY)
    assert len(undelivered) == 1
