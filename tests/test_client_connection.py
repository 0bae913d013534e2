"""The client's end of HTTP/1.1 against servers that are faulty in every way."""

from __future__ import annotations

import pytest
from twisted.internet import error, task
from twisted.internet.testing import StringTransport
from twisted.python import failure

from lineworks.http1 import client_connection

ID = (b"x-attempt-id", b"a1")
OK = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\n"


class Transport(StringTransport):
    aborted = False

    def setTcpNoDelay(self, enabled):  # noqa: N802
        pass

    def abortConnection(self):  # noqa: N802
        self.aborted = True


class Caller:
    def __init__(self, has_body=False):
        self.clock = task.Clock()
        self.ends = []
        self.closed = []
        self.connection = client_connection.ClientConnection(self.clock.seconds, self.closed.append)
        self.transport = Transport()
        self.connection.makeConnection(self.transport)
        self.connection.send(b"request", has_body, self.ends.append, ID)

    def receive(self, *pieces):
        for piece in pieces:
            self.connection.dataReceived(piece)
        return self

    def end(self, kind=error.ConnectionDone):
        self.connection.connectionLost(failure.Failure(kind()))
        return self

    @property
    def is_kept(self):
        return self.connection.is_reusable(self.clock.seconds()) and not self.transport.aborted


def test_a_whole_answer_is_handed_over_and_the_connection_kept():
    caller = Caller().receive(OK + b"Content-Length: 3\r\n\r\nab", b"c")
    assert caller.ends[0].body == b"abc"
    assert caller.is_kept


def test_chunks_are_joined():
    caller = Caller().receive(
        OK + b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
    )
    assert caller.ends[0].body == b"abc"


def test_an_answer_cut_short_is_none():
    caller = Caller().receive(OK + b"Content-Length: 9\r\n\r\nab").end()
    assert isinstance(caller.ends[0], client_connection.ConnectionFailure)


def test_an_answer_without_length_is_whole_only_on_a_clean_end():
    clean = Caller().receive(OK + b"\r\nabc").end()
    assert clean.ends[0].body == b"abc"
    reset = Caller().receive(OK + b"\r\nabc").end(error.ConnectionLost)
    assert isinstance(reset.ends[0], client_connection.ConnectionFailure)


def test_bytes_that_are_no_answer_end_the_connection():
    caller = Caller().receive(b"\x00\x01rubbish\r\n\r\n")
    assert isinstance(caller.ends[0], client_connection.ConnectionFailure)
    assert caller.transport.aborted


def test_a_second_answer_in_the_same_packet_changes_nothing_of_the_first():
    second = b"HTTP/1.1 200 OK\r\nX-Stamp: wrong\r\nContent-Length: 5\r\n\r\nwrong"
    caller = Caller().receive(OK + b"X-Stamp: s\r\nContent-Length: 2\r\n\r\nok" + second)
    assert caller.ends[0].body == b"ok"
    assert caller.ends[0].headers[b"x-stamp"] == b"s"
    assert not caller.is_kept


def test_a_late_answer_while_idle_closes_the_connection():
    caller = Caller().receive(OK + b"Content-Length: 2\r\n\r\nok")
    caller.receive(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    assert len(caller.ends) == 1
    assert caller.transport.aborted


@pytest.mark.parametrize("identity", [b"X-Attempt-Id: other\r\n", b""])
def test_an_answer_to_another_request_is_skipped(identity):
    foreign = b"HTTP/1.1 200 OK\r\n" + identity + b"Content-Length: 5\r\n\r\nother"
    caller = Caller().receive(foreign)
    assert caller.ends == []
    caller.receive(OK + b"Content-Length: 4\r\n\r\nmine")
    assert caller.ends[0].body == b"mine"
    assert not caller.is_kept


def test_a_refusal_of_the_request_need_not_name_it():
    caller = Caller().receive(b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")
    assert caller.ends[0].status == 421


def test_a_failure_before_the_body_was_read_ends_the_connection():
    caller = Caller(has_body=True)
    caller.receive(b"HTTP/1.1 503 X\r\nX-Attempt-Id: a1\r\nContent-Length: 0\r\n\r\n")
    assert caller.ends[0].status == 503
    assert not caller.is_kept


def test_informational_answers_are_passed_over():
    caller = Caller().receive(b"HTTP/1.1 100 Continue\r\n\r\n" + OK + b"Content-Length: 1\r\n\r\nx")
    assert caller.ends[0].body == b"x"


def test_connection_close_is_obeyed():
    caller = Caller().receive(OK + b"Connection: close\r\nContent-Length: 1\r\n\r\nx")
    assert caller.ends[0].body == b"x"
    assert not caller.is_kept


def test_a_connection_is_reused_only_while_the_server_surely_waits():
    caller = Caller().receive(OK + b"Keep-Alive: timeout=5\r\nContent-Length: 1\r\n\r\nx")
    caller.clock.advance(1.9)
    assert caller.connection.is_reusable(caller.clock.seconds(), 0.5)
    caller.clock.advance(0.2)
    assert not caller.connection.is_reusable(caller.clock.seconds(), 0.5)
    assert caller.is_kept
    caller.clock.advance(2.0)
    assert not caller.is_kept


def test_an_aborted_request_reports_nothing():
    caller = Caller()
    caller.connection.abort()
    caller.end(error.ConnectionLost)
    assert caller.ends == []
    assert caller.closed
