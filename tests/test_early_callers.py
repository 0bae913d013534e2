"""Callers who connect before the event loop runs, on real sockets."""

from __future__ import annotations

import socket
import time

import pytest
from twisted.internet import protocol, selectreactor

from lineworks.kernel import early_acceptor, listening
from lineworks.platform import headers
from lineworks.platform.standins import documents

TIMEOUT = 5.0


class Echo(protocol.Protocol):
    def dataReceived(self, data):  # noqa: N802
        self.transport.write(b"served " + data)
        self.transport.loseConnection()


def request(budget, body=b""):
    return documents.caller_request("GET", "/a", "r1", budget, body)


@pytest.fixture
def early():
    found = early_acceptor.EarlyAcceptor(
        listening.open_port("127.0.0.1", 0), headers.budget_of_head
    )
    found.address = found._listening_socket.getsockname()
    found.start()
    return found


def connect(early):
    return socket.create_connection(early.address, timeout=TIMEOUT)


def adopt(early):
    reactor = selectreactor.SelectReactor()
    early.adopt(reactor, protocol.Factory.forProtocol(Echo))
    for _ in range(20):
        reactor.runUntilCurrent()
        reactor.doIteration(0.01)


def test_a_caller_whose_time_runs_out_is_refused_within_it(early):
    with connect(early) as caller:
        sent_at = time.monotonic()
        caller.sendall(request(0.3))
        assert caller.recv(4096).startswith(b"HTTP/1.1 503")
        assert 0.2 < time.monotonic() - sent_at < 0.3
        assert caller.recv(4096) == b""
    adopt(early)
    assert early.errors == []


def test_a_caller_with_time_is_served_by_the_reactor_with_all_that_it_sent(early):
    with connect(early) as first, connect(early) as silent, connect(early) as half:
        first.sendall(request(10.0))
        half.sendall(request(10.0)[:20])
        time.sleep(0.1)
        adopt(early)
        assert first.recv(4096) == b"served " + request(10.0)
        assert half.recv(4096) == b"served " + request(10.0)[:20]
        silent.settimeout(0.05)
        with pytest.raises(TimeoutError):
            silent.recv(10)


def test_a_caller_that_left_does_no_harm(early):
    connect(early).close()
    with connect(early) as reset:
        reset.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        reset.sendall(b"GET")
    time.sleep(0.05)
    adopt(early)
    assert early.errors == []


def test_a_caller_that_tells_no_time_waits_for_the_reactor(early):
    with connect(early) as caller:
        caller.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        time.sleep(0.1)
        adopt(early)
        assert caller.recv(4096).startswith(b"served")


@pytest.mark.parametrize(
    ("head", "seconds"),
    [
        (b"GET / HTTP/1.1\r\nX-Time-Budget: 250\r\n\r\n", 0.25),
        (b"GET / HTTP/1.1\r\nx-time-budget:250\r\nHost: x\r\n\r\nX", 0.25),
        (b"GET /X-Time-Budget: 250 HTTP/1.1\r\nHost: x\r\n\r\n", None),
        (b"GET / HTTP/1.1\r\nHost: x\r\n\r\nX-Time-Budget: 250\r\n\r\n", None),
        (b"GET / HTTP/1.1\r\nX-Time-Budget: soon\r\n\r\n", None),
        (b"", None),
    ],
)
def test_the_time_that_a_caller_has_is_read_from_its_head_only(head, seconds):
    assert headers.budget_of_head(head) == seconds
