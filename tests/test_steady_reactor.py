"""Timers of the steady reactor, independent of wall clock jumps and suspensions."""

from __future__ import annotations

import socket
import time

import pytest
from twisted.internet import epollreactor

from lineworks.kernel import steady_reactor


def test_default_reactor_uses_the_wall_clock():
    # The reason for the custom reactor.
    reactor = epollreactor.EPollReactor()
    assert reactor.seconds() == pytest.approx(time.time(), abs=5)
    assert time.time() - time.monotonic() > 1000


@pytest.mark.parametrize("jump", [-30.0, 30.0])
def test_wall_clock_jump_does_not_affect_timers(jump, monkeypatch):
    steady, wall = [5000.0], [1_000_000.0]
    monkeypatch.setattr(time, "clock_gettime", lambda kind: steady[0])
    monkeypatch.setattr(time, "time", lambda: wall[0])
    reactor = steady_reactor.SteadyReactor()
    called = []
    reactor.callLater(1.0, called.append, "due")
    wall[0] += jump
    steady[0] += 0.75
    assert reactor.timeout() == pytest.approx(0.25)
    reactor.runUntilCurrent()
    assert called == []
    steady[0] += 0.25
    reactor.runUntilCurrent()
    assert called == ["due"]


def test_clock_includes_suspended_time():
    # The monotonic clock stops while the machine is suspended. Credit, beliefs about targets and
    # deadlines would then stay valid near for the time of the suspension, though they have expired
    # everywhere else.
    reactor = steady_reactor.SteadyReactor()
    assert reactor.seconds() == pytest.approx(time.clock_gettime(time.CLOCK_BOOTTIME), abs=1)


def test_timer_due_during_a_suspension_runs_immediately_after_it(monkeypatch):
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
    """Reads one end of a socket pair and records what it reads."""

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
def test_data_that_arrived_during_a_stall_is_read_before_timers_run(seconds, monkeypatch):
    # Timers once ran first: after a stall of five seconds, all hedges and deadlines of the pending
    # requests came due at once, although the responses had arrived long before.
    now = [5000.0]
    monkeypatch.setattr(time, "clock_gettime", lambda kind: now[0])
    reactor = steady_reactor.SteadyReactor()
    near, far = socket.socketpair()
    order = []
    reactor.addReader(Reader(near, order))
    reactor.callLater(0.5, order.append, "timer")
    reactor.runUntilCurrent()
    far.send(b"answer")
    now[0] += seconds
    reactor.runUntilCurrent()
    assert order == ["answer", "timer"]
    near.close()
    far.close()
