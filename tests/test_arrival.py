"""The arrival time of a request on a real socket."""

from __future__ import annotations

import socket
import time

from twisted.internet import selectreactor

from lineworks.http1 import server_connection
from lineworks.kernel import listening

READ_DELAY = 0.6
"""Seconds for which the server doesn't read, like a starved, frozen or busy process."""

TOLERANCE = 0.1
"""Tolerance of the measured arrival time in seconds."""


def test_arrival_time_includes_the_wait_in_the_socket_buffer():
    # A busy front read a request 0.69 s after it was sent and counted the deadline of 1.0 s from
    # then, so that the caller got the answer after 1.55 s while the front logged 799 ms.
    reactor = selectreactor.SelectReactor()
    received = []
    server = server_connection.Server(
        reactor, server_connection.Limits, lambda request, answer: received.append(request)
    )
    listener = listening.open_port("127.0.0.1", 0)
    with socket.create_connection(listener.getsockname(), timeout=5) as caller:
        listening.adopt(reactor, listener, server)
        caller.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        sent_at = reactor.seconds()
        time.sleep(READ_DELAY)
        while not received:
            reactor.runUntilCurrent()
            reactor.doIteration(0.01)
    assert abs(received[0].arrived - sent_at) < TOLERANCE
