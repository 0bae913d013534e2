"""Stops that begin before the event loop runs, on real sockets."""

from __future__ import annotations

import socket
import threading
import time

import pytest

from lineworks.decisions import stop_times
from lineworks.kernel import early_acceptor, listening
from lineworks.platform import headers
from lineworks.platform.standins import documents

TIMEOUT = 5.0

GRACE = 1.2
"""Grace period of the stops, in seconds: the balancer has deregistered the instance after half."""

MIN_IDLE = 0.1
"""Seconds in which the first request of a new connection may come."""


class Stopping:
    """A process that is asked to stop during its imports."""

    def __init__(self):
        self.acceptor = early_acceptor.EarlyAcceptor(
            listening.open_port("127.0.0.1", 0), headers.find_budget
        )
        self.address = self.acceptor._listening_socket.getsockname()
        self.result = None
        self.acceptor.start()
        self._thread = threading.Thread(target=self._stop)

    def begin(self, signal_age=0.0):
        self.began_at = time.clock_gettime(time.CLOCK_BOOTTIME)
        self._signalled_at = self.began_at - signal_age
        self._thread.start()

    def join(self):
        """Wait for the end of the stop, and return it with its seconds."""
        self._thread.join(TIMEOUT)
        return self.result, time.clock_gettime(time.CLOCK_BOOTTIME) - self.began_at

    def connect(self, data=b""):
        caller = socket.create_connection(self.address, timeout=TIMEOUT)
        caller.sendall(data)
        return caller

    def _stop(self):
        times = stop_times.plan(self._signalled_at, GRACE)
        self.result = self.acceptor.stop(times, MIN_IDLE)


@pytest.fixture
def stopping():
    process = Stopping()
    yield process
    process.join()


def request(body=b"", budget=30.0):
    return documents.caller_request("POST" if body else "GET", "/a", "r1", budget, body)


def is_refusal(data):
    return data.startswith(b"HTTP/1.1 503") and b"\r\nRetry-After: 0\r\n" in data


def test_requests_from_before_and_after_the_signal_are_refused_at_once(stopping):
    early = stopping.connect(request())
    stopping.begin()
    late = stopping.connect(request())
    for caller in (early, late):
        with caller:
            assert is_refusal(caller.recv(4096))
            assert caller.recv(4096) == b""
    assert time.clock_gettime(time.CLOCK_BOOTTIME) - stopping.began_at < GRACE / 4
    stop, seconds = stopping.join()
    assert (stop.refused, stop.errors, stop.connections_at_end) == (2, [], 0)
    # It takes callers until the balancer has deregistered the instance, and no longer.
    assert GRACE / 2 < seconds < GRACE * 0.6


def test_a_refusal_reaches_a_caller_that_still_sends_its_body(stopping):
    # Closing a connection with unread data resets it, and its caller may lose the answer.
    body = b"x" * (4 << 20)
    stopping.begin()
    with stopping.connect() as caller:
        caller.sendall(request(body))
        assert is_refusal(caller.recv(4096))
        assert caller.recv(4096) == b""


def test_a_partly_read_request_is_refused_when_the_time_is_up(stopping):
    with stopping.connect(request()[:20]) as caller:
        stopping.begin()
        assert is_refusal(caller.recv(4096))
    _, seconds = stopping.join()
    assert GRACE - stop_times.ANSWER_MARGIN <= seconds < GRACE


def test_connections_without_a_request_are_closed_once_the_balancer_has_let_go(stopping):
    with stopping.connect() as caller:
        stopping.begin()
        assert caller.recv(4096) == b""
    stop, seconds = stopping.join()
    assert stop.refused == 0
    assert GRACE / 2 < seconds < GRACE * 0.7


def test_a_connection_that_comes_as_the_port_closes_is_answered_or_never_established(stopping):
    stopping.begin()
    refused = 0
    while True:
        try:
            caller = socket.create_connection(stopping.address, timeout=0.3)
        except (ConnectionRefusedError, TimeoutError):
            break
        with caller:
            caller.sendall(request())
            assert is_refusal(caller.recv(4096))
            refused += 1
    stop, _ = stopping.join()
    assert stop.refused == refused > 0


def test_a_caller_that_does_not_read_does_not_hold_up_the_exit(stopping):
    with stopping.connect(request()):
        stopping.begin()
        stop, seconds = stopping.join()
    assert stop.connections_at_end == 1
    assert seconds < GRACE


def test_a_caller_that_has_closed_its_connection_is_no_error(stopping):
    # Callers that closed their connections as soon as they had read the refusal were logged as
    # failed (`early_caller_failed`, soak seed 10 of 20 s).
    for _ in range(10):
        stopping.connect(request()).close()
    time.sleep(0.1)
    stopping.begin()
    stop, _ = stopping.join()
    assert stop.errors == []


def test_a_process_that_stood_still_until_its_time_was_over_refuses_what_waits(stopping):
    with stopping.connect(request()) as first, stopping.connect(request()) as second:
        stopping.begin(signal_age=2 * GRACE)
        assert is_refusal(first.recv(4096))
        assert is_refusal(second.recv(4096))
        stop, seconds = stopping.join()
    assert stop.refused == 2
    assert seconds < GRACE / 4


def test_what_waits_in_the_backlog_is_refused_after_the_time_is_over(stopping):
    # The thread has ended, and nobody has accepted the connection when the stop begins.
    stopping.acceptor._end_thread()
    stopping.acceptor._end_thread = list
    with stopping.connect(request()) as caller:
        stopping.begin(signal_age=2 * GRACE)
        assert is_refusal(caller.recv(4096))
