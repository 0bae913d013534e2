"""Planned stops on real sockets, while answers are still being written."""

from __future__ import annotations

import contextlib
import errno
import select
import socket
import time

from twisted.internet import selectreactor

from lineworks.forwarding import planned_stop
from lineworks.http1 import server_connection
from lineworks.kernel import listening

BODY = b"x" * (8 << 20)
"""A body larger than any socket buffer."""

READ_BYTES = 64 << 10
"""Maximum bytes per read of the slow caller."""

READ_INTERVAL = 0.003
"""Seconds between its reads: it takes about 0.4 s to read the body."""


class Reactor(selectreactor.SelectReactor):
    """A reactor that records its stop, and is iterated by the test."""

    is_over = False

    def stop(self):
        self.is_over = True

    def iterate(self):
        self.runUntilCurrent()
        self.doIteration(0.001)


class Idle:
    """Stand-in for a front or gatherer without work in progress."""

    is_idle = True

    def end_all(self):
        return 0


def make_stop(reactor, grace, server, port):
    """Create a stop that closes a port of a process without work in progress."""
    return planned_stop.PlannedStop(
        reactor,
        "n1",
        grace,
        server,
        Idle(),
        Idle(),
        lambda: listening.close(port),
        lambda: listening.refuse_new(port),
    )


def stop_with_slow_reader(grace, is_early):
    """Stop a server while a slow caller reads its answer.

    Args:
        grace: Grace period of the stop, in seconds.
        is_early: Whether the answer is written at the start of the stop, not at its end.

    Returns:
        The bytes that the caller received, and the requests reported as undelivered.
    """
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
        reactor.iterate()
    stop = make_stop(reactor, grace, server, port)
    stop.begin(reactor.seconds())
    if not is_early:
        while reactor.seconds() < stop.answer_by:
            reactor.iterate()
    waiting[0](server_connection.Answer(200, [], BODY))
    received = 0
    while not reactor.is_over:
        reactor.iterate()
        time.sleep(READ_INTERVAL)
        try:
            received += len(caller.recv(READ_BYTES))
        except BlockingIOError:
            continue
    # Data already handed to the operating system is still delivered unless the connection is reset.
    reactor.disconnectAll()
    caller.setblocking(True)
    while chunk := caller.recv(READ_BYTES):
        received += len(chunk)
    caller.close()
    return received, undelivered


def test_a_stop_waits_for_an_answer_that_is_still_being_written():
    received, undelivered = stop_with_slow_reader(grace=4.0, is_early=True)
    assert received > len(BODY)
    assert undelivered == []


def test_an_answer_that_its_caller_reads_too_slowly_is_reported():
    # The process has to exit; the request whose answer was cut short must be reported.
    received, undelivered = stop_with_slow_reader(grace=1.0, is_early=False)
    assert received < len(BODY)
    assert len(undelivered) == 1


def test_a_stop_answers_connections_made_just_before_its_port_closes():
    # The system completes connections between the last accept and the close, which reset them: a
    # stop left a new connection unanswered (soak seed 13 of 12 s, once).
    reactor = Reactor()
    server = server_connection.Server(
        reactor,
        server_connection.Limits,
        lambda request, answer: answer(server_connection.Answer(200)),
        lambda: True,
    )
    opened = listening.open_port("127.0.0.1", 0)
    address = opened.getsockname()
    port = listening.adopt(reactor, opened, server)
    callers = []
    accept = port.doRead

    def accept_and_be_preempted():
        accept()
        caller = socket.socket()
        caller.setblocking(False)
        caller.connect_ex(address)
        callers.append(caller)
        with contextlib.suppress(OSError):
            caller.send(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")

    port.doRead = accept_and_be_preempted
    stop = make_stop(reactor, 0.5, server, port)
    stop.begin(reactor.seconds())
    while not reactor.is_over:
        reactor.iterate()
    reactor.disconnectAll()
    answered = [read_if_connected(caller) for caller in callers]
    assert len(answered) > 1
    # None stands for a caller without a connection, which knows that it sent nothing.
    assert all(data is None or data.startswith(b"HTTP/1.1 200") for data in answered)


def read_if_connected(caller):
    """Return what a caller received, or None if it never was connected."""
    with caller:
        _, writable, _ = select.select([], [caller], [], 0)
        error = caller.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) if writable else 0
        if not writable or error == errno.ECONNREFUSED:
            return None
        assert error == 0, errno.errorcode[error]
        caller.settimeout(5)
        return caller.recv(READ_BYTES)
