"""Background work of instances while no requests arrive."""

from __future__ import annotations

import collections

from bench import fakes
from lineworks.forwarding import hall_peers
from lineworks.standins import deployment

INSTANCES = 4
"""Number of instances in each hall."""


def _linked():
    world = deployment.Deployment(fakes.VirtualClock())
    world.add_target("billing", "akl")
    world.configure([{"Name": "billing", "PathPrefix": "/billing/", "Service": "billing"}])
    for hall in deployment.HALLS:
        for number in range(INSTANCES):
            world.add_node(f"{hall}-{number}", hall)
    world.run(6.0)
    return world


def test_the_reader_of_a_hall_is_determined_only_when_the_data_becomes_stale(monkeypatch):
    """Iterating over all links on every tick would be much of the cost of a large idle fleet."""
    world = _linked()
    lookups = collections.Counter()
    represents_hall = hall_peers.represents_hall

    def count(links, hall, own, duty):
        lookups[own] += 1
        return represents_hall(links, hall, own, duty)

    monkeypatch.setattr(hall_peers, "represents_hall", count)
    world.run(10.0)
    assert 0 < sum(lookups.values()) <= 3 * len(world.nodes) * 10


def test_a_fleet_that_waits_for_its_first_configuration_rarely_reads_the_store():
    """Otherwise each instance would call the store on every tick, and calls have a cost."""
    world = deployment.Deployment(fakes.VirtualClock())
    world.add_target("billing", "akl")
    for hall in deployment.HALLS:
        for number in range(INSTANCES):
            world.add_node(f"{hall}-{number}", hall)
    world.run(1.5)
    begun = _reads(world)
    world.run(3.0)
    # The reader of each hall reads five times per second, the other instances hardly ever.
    assert _reads(world) - begun <= 3 * 5 * len(deployment.HALLS) + len(world.nodes)
    # Four calls per instance to read and to register, and one or two until its links are up.
    assert begun <= 6 * len(world.nodes) + 1.5 * 5 * len(deployment.HALLS)
    world.configure([{"Name": "billing", "PathPrefix": "/billing/", "Service": "billing"}])
    world.run(0.3)
    assert all(node.directory.version == 1 for node in world.nodes.values())


def _reads(world):
    return sum(count for kind, count in world.server.calls.items() if kind != "kv-keep")
