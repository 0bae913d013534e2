"""Timers follow the steady clock, whatever the time of day does."""

from __future__ import annotations

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
