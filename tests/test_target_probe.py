"""Probes of whether a target's process still listens, directly and through a proxy."""

from __future__ import annotations

import pytest
from twisted.internet import protocol

from bench import fakes
from lineworks.forwarding import target_probe
from lineworks.standins import memory_network


class Closing(protocol.Protocol):
    """A proxy whose target is down: it accepts a connection and closes it."""

    def connectionMade(self):  # noqa: N802
        self.transport.loseConnection()


@pytest.mark.parametrize(
    ("serves", "is_listening"), [(protocol.Protocol, True), (Closing, False), (None, False)]
)
def test_only_a_connection_that_stays_open_shows_that_a_target_is_alive(serves, is_listening):
    clock = fakes.VirtualClock()
    network = memory_network.MemoryNetwork(clock, lambda sender, receiver: 0.008)
    here, there = network.host("10.0.0.1"), network.host("10.0.0.2")
    if serves is not None:
        there.listenTCP(80, protocol.Factory.forProtocol(serves))
    found = []
    target_probe.probe(here, "10.0.0.2", 80, 1.0, found.append)
    clock.run_until(2.0)
    assert found == [is_listening]
    assert not here.open_transports


def test_a_host_without_power_counts_as_not_listening():
    clock = fakes.VirtualClock()
    network = memory_network.MemoryNetwork(clock, lambda sender, receiver: 0.008)
    network.host("10.0.0.2").power_off()
    found = []
    target_probe.probe(network.host("10.0.0.1"), "10.0.0.2", 80, 1.0, found.append)
    clock.run_until(2.0)
    assert found == [False]
