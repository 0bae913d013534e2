"""The server's end of HTTP/1.1: framing, limits, order and cancelling."""

from __future__ import annotations

import struct

import pytest
from twisted.internet import error, task
from twisted.internet.testing import StringTransport
from twisted.python import failure

from lineworks.http1 import server_connection

LIMITS = server_connection.Limits(
    header_bytes=300, body_bytes=100, header_seconds=3, idle_seconds=15
)


class Socket:
    """Tells a round trip as Linux does, or that the system has none to tell."""

    def __init__(self, microseconds=None):
        self.microseconds = microseconds

    def getsockopt(self, level, option, size):
        if self.microseconds is None:
            raise OSError("not supported")
        return struct.pack("=68xI", self.microseconds).ljust(size, b"\0")


class Transport(StringTransport):
    def __init__(self, round_trip=None):
        super().__init__()
        self.socket = Socket(round_trip)

    def setTcpNoDelay(self, enabled):  # noqa: N802
        pass

    def getHandle(self):  # noqa: N802
        return self.socket


class Caller:
    def __init__(self, is_closing=False, round_trip=None):
        self.clock = task.Clock()
        self.requests = []
        self.answers = []
        self.cancelled = []
        self.refused = []
        self.undelivered = []
        self.server = server_connection.Server(
            self.clock,
            lambda: LIMITS,
            self.take,
            lambda: is_closing,
            self.refused.append,
            lambda request: self.undelivered.append(request),
        )
        self.connection = self.server.buildProtocol(None)
        self.transport = Transport(round_trip)
        self.connection.makeConnection(self.transport)

    def take(self, request, answer):
        self.requests.append(request)
        self.answers.append(answer)
        return lambda: self.cancelled.append(request)

    def send(self, data):
        self.connection.dataReceived(data)
        return self

    @property
    def seen(self):
        return self.transport.value()

    @property
    def statuses(self):
        return [int(part.split(b" ")[0]) for part in self.seen.split(b"HTTP/1.1 ")[1:]]


def test_a_request_is_taken_byte_for_byte():
    caller = Caller().send(b"POST /a?b=c HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nab")
    assert caller.requests == []
    caller.send(b"c")
    request = caller.requests[0]
    assert (request.method, request.target, request.body) == (b"POST", b"/a?b=c", b"abc")
    caller.answers[0](server_connection.Answer(200, [(b"X-A", b"1")], b"xy"))
    assert caller.seen == b"HTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Length: 2\r\n\r\nxy"


def test_chunked_bodies_are_joined():
    caller = Caller().send(
        b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"
    )
    assert caller.requests[0].body == b"ab"


def test_requests_sent_ahead_are_answered_in_order():
    caller = Caller().send(b"GET /1 HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\n\r\n")
    assert [request.target for request in caller.requests] == [b"/1"]
    caller.answers[0](server_connection.Answer(200, [], b"one"))
    caller.clock.advance(0)
    assert [request.target for request in caller.requests] == [b"/1", b"/2"]


@pytest.mark.parametrize(
    "head",
    [
        b"Content-Length: 3\r\nContent-Length: 4\r\n",
        b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        b"Content-Length: x\r\n",
        b"Transfer-Encoding: chunked, gzip\r\n",
        b"Bad Name: 1\r\n",
    ],
)
def test_ambiguous_framing_is_refused_and_nothing_is_handed_on(head):
    caller = Caller().send(b"POST / HTTP/1.1\r\nHost: x\r\n" + head + b"\r\nabcd")
    assert caller.requests == []
    assert caller.statuses == [400]
    caller.clock.advance(1.0)
    assert caller.transport.disconnecting


def test_a_head_that_is_too_long_is_refused():
    caller = Caller().send(b"GET / HTTP/1.1\r\nHost: x\r\nX: " + b"a" * 400 + b"\r\n\r\n")
    assert caller.requests == []
    assert caller.statuses == [431]


def test_a_body_that_is_too_long_is_refused():
    caller = Caller().send(
        b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 200\r\n\r\n" + b"a" * 200
    )
    assert caller.requests == []
    assert caller.statuses == [413]


def test_a_slow_head_is_refused_and_a_slow_start_is_not():
    caller = Caller()
    caller.clock.advance(10)
    caller.send(b"GET / HT")
    caller.clock.advance(2.9)
    assert caller.statuses == []
    caller.clock.advance(0.2)
    assert caller.statuses == [408]


def test_an_idle_connection_is_closed_after_its_time():
    caller = Caller().send(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    caller.answers[0](server_connection.Answer(200))
    caller.clock.advance(14.9)
    assert not caller.transport.disconnecting
    caller.clock.advance(0.2)
    assert caller.transport.disconnecting


def test_a_caller_that_leaves_cancels_its_request():
    caller = Caller().send(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    caller.connection.connectionLost(failure.Failure(error.ConnectionLost()))
    assert caller.cancelled == caller.requests
    caller.answers[0](server_connection.Answer(200))
    assert caller.seen == b""


def test_a_closing_server_says_so_and_closes():
    caller = Caller(is_closing=True).send(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    caller.answers[0](server_connection.Answer(200))
    assert b"Connection: close" in caller.seen
    assert caller.transport.disconnecting


@pytest.mark.parametrize(("end", "count"), [(error.ConnectionDone, 0), (error.ConnectionLost, 1)])
def test_an_answer_that_did_not_leave_is_told_of(end, count):
    caller = Caller(is_closing=True).send(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    caller.answers[0](server_connection.Answer(200))
    caller.connection.connectionLost(failure.Failure(end()))
    assert len(caller.undelivered) == count


def test_connection_close_of_the_caller_is_obeyed():
    caller = Caller().send(b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
    caller.answers[0](server_connection.Answer(200))
    assert caller.transport.disconnecting


def test_only_connections_at_rest_are_closed():
    caller = Caller().send(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    caller.connection.close_if_idle()
    assert not caller.transport.disconnecting
    caller.answers[0](server_connection.Answer(200))
    caller.connection.close_if_idle()
    assert caller.transport.disconnecting


def test_a_connection_is_not_at_rest_just_after_its_opening_or_its_last_answer():
    caller = Caller()
    caller.clock.advance(1.0)
    caller.connection.close_if_idle(1.2)
    assert not caller.transport.disconnecting
    caller.send(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    caller.answers[0](server_connection.Answer(200))
    caller.clock.advance(1.0)
    caller.connection.close_if_idle(1.2)
    assert not caller.transport.disconnecting
    caller.clock.advance(0.3)
    caller.connection.close_if_idle(1.2)
    assert caller.transport.disconnecting


def test_an_answer_counts_once():
    caller = Caller().send(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    caller.answers[0](server_connection.Answer(200, [], b"a"))
    caller.answers[0](server_connection.Answer(200, [], b"b"))
    assert caller.seen.endswith(b"\r\n\r\na")


def test_the_way_of_a_caller_counts_twice_for_a_new_connection():
    caller = Caller(round_trip=6000)
    request = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
    caller.send(request)
    caller.answers[0](server_connection.Answer(200))
    caller.send(request)
    assert [found.network_delay for found in caller.requests] == [0.012, 0.006]


def test_the_way_of_a_caller_is_unknown_where_the_system_does_not_tell():
    caller = Caller().send(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
    assert caller.requests[0].network_delay is None
