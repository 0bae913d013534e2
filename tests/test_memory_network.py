"""The stand-in for machines and their network."""

from __future__ import annotations

from bench import fakes
from lineworks.standins import memory_network


def make_host():
    clock = fakes.VirtualClock()
    network = memory_network.MemoryNetwork(clock, lambda sender, receiver: 0.001)
    return clock, network.host("10.1.0.1")


def test_a_timer_that_falls_due_in_a_freeze_can_be_cancelled_when_the_host_wakes():
    clock, host = make_host()
    made = []
    second = host.callLater(0.2, made.append, "second")
    host.callLater(0.1, lambda: second.active() and second.cancel())
    third = host.callLater(0.3, made.append, "third")
    host.freeze()
    clock.run_until(1.0)
    assert third.active()
    host.wake()
    assert made == ["third"]
    assert not third.active()


def test_a_timer_of_a_process_that_is_gone_never_fires():
    clock, host = make_host()
    made = []
    host.callLater(0.1, made.append, "late")
    host.kill()
    clock.run_until(1.0)
    assert made == []
