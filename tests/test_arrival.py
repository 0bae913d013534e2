"""When a request counts as arrived, on real sockets."""

from __future__ import annotations

import socket
import time

from twisted.internet import selectreactor

from lineworks.http1 import server_connection
from lineworks.kernel import listening

HELD_UP = 0.6
"""Seconds for which a process does not read: it is starved, frozen, or busy."""

SLACK = 0.1
"""Seconds that the measurement may be off."""


def test_time_that_a_request_waited_in_its_socket_counts():
    # Found by the soak, seed 62 of 30 s with 12 instances a hall on a busy machine: a search with
    # 1.0 s was answered 1.55 s after it was sent. Its front's line told of 799 ms: it had read the
    # request 0.69 s after it was sent, and counted the deadline from then.
    reactor = selectreactor.SelectReactor()
    found = []
    server = server_connection.Server(
        reactor, server_connection.Limits, lambda request, answer: found.append(request)
    )
    opened = listening.open_port("127.0.0.1", 0)
    with socket.create_connection(opened.getsockname(), timeout=5) as caller:
        listening.adopt(reactor, opened, server)
        caller.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        sent_at = reactor.seconds()
        time.sleep(HELD_UP)
        while not found:
            reactor.runUntilCurrent()
            reactor.doIteration(0.01)
    assert abs(found[0].arrived - sent_at) < SLACK
