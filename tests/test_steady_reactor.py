"""Timers follow the steady clock, whatever the time of day does."""

from __future__ import annotations

import socket
import time

import pytest
from twisted.internet import epollreactor

from lineworks.kernel import steady_reactor


def test_the_default_reactor_counts_by_the_time_of_day():
    # This is why the product has a reactor of its own.
    reactor = epollreactor.EPollReactor()
    assert reactor.seconds() == pytest.approx(time.time(), abs=5)
    assert time.time() - time.monotonic() > 1000


@pytest.mark.parametrize("jump", [-30.0, 30.0])
def test_a_jump_of_the_time_of_day_moves_no_timer(jump, monkeypatch):
    steady, of_day = [5000.0], [1_000_000.0]
    monkeypatch.setattr(time, "clock_gettime", lambda kind: steady[0])
    monkeypatch.setattr(time, "time", lambda: of_day[0])
    reactor = steady_reactor.SteadyReactor()
    called = []
    reactor.callLater(1.0, called.append, "due")
    of_day[0] += jump
    steady[0] += 0.75
    assert reactor.timeout() == pytest.approx(0.25)
    reactor.runUntilCurrent()
    assert called == []
    steady[0] += 0.25
    reactor.runUntilCurrent()
    assert called == ["due"]


def test_time_that_the_machine_was_suspended_counts():
    # A suspended machine's monotonic clock stands, while the others go on: credit, beliefs and
    # deadlines that end by everyone's time would live on here by as long as it slept.
    reactor = steady_reactor.SteadyReactor()
    assert reactor.seconds() == pytest.approx(time.clock_gettime(time.CLOCK_BOOTTIME), abs=1)


def test_a_timer_that_came_due_while_suspended_is_made_at_once_after_it(monkeypatch):
    monotonic, boot = [5000.0], [7000.0]
    monkeypatch.setattr(time, "monotonic", lambda: monotonic[0])
    monkeypatch.setattr(time, "clock_gettime", lambda kind: boot[0])
    reactor = steady_reactor.SteadyReactor()
    called = []
    reactor.callLater(3.0, called.append, "due")
    boot[0] += 5.0
    reactor.runUntilCurrent()
    assert called == ["due"]


class Reader:
    """Reads one end of a pair of sockets."""

    def __init__(self, end, order):
        self._end = end
        self._order = order

    def fileno(self):
        return self._end.fileno()

    def doRead(self):  # noqa: N802
        self._order.append(self._end.recv(10).decode())

    def connectionLost(self, reason):  # noqa: N802
        self._order.append("lost")

    def logPrefix(self):  # noqa: N802
        return "reader"


@pytest.mark.parametrize("seconds", [1.0, 5.0, 60.0])
def test_what_arrived_while_the_process_stood_still_is_read_before_timers_are_made(
    seconds, monkeypatch
):
    # Timers were made first: after five seconds all hedges and deadlines of the requests under way
    # came due at once, though the answers had arrived long before.
    now = [5000.0]
    monkeypatch.setattr(time, "clock_gettime", lambda kind: now[0])
    reactor = steady_reactor.SteadyReactor()
    here, there = socket.socketpair()
    order = []
    reactor.addReader(Reader(here, order))
    reactor.callLater(0.5, order.append, "timer")
    reactor.runUntilCurrent()
    there.send(b"answer")
    now[0] += seconds
    reactor.runUntilCurrent()
    assert order == ["answer", "timer"]
    here.close()
    there.close()
