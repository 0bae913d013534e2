"""Tests of the in-memory network that stands in for hosts and TCP."""

from __future__ import annotations

from bench import fakes
from lineworks.standins import memory_network


def make_host():
    clock = fakes.VirtualClock()
    network = memory_network.MemoryNetwork(clock, lambda sender, receiver: 0.001)
    return clock, network.host("10.1.0.1")


def test_a_timer_due_during_a_freeze_can_still_be_cancelled_on_wake():
    clock, host = make_host()
    calls = []
    second = host.callLater(0.2, calls.append, "second")
    host.callLater(0.1, lambda: second.active() and second.cancel())
    third = host.callLater(0.3, calls.append, "third")
    host.freeze()
    clock.run_until(1.0)
    assert third.active()
    host.wake()
    assert calls == ["third"]
    assert not third.active()


def test_timers_of_a_killed_process_never_fire():
    clock, host = make_host()
    calls = []
    host.callLater(0.1, calls.append, "late")
    host.kill()
    clock.run_until(1.0)
    assert calls == []
