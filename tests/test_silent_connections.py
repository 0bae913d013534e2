"""All open connections stop delivering data at once, without a reset, while new ones work."""

from __future__ import annotations

import pytest

from lineworks.standins import deployment
from tests import test_forwarding


def silence_everything(world):
    """Silence all open connections of the instances: to the store, to targets and to each other."""
    for name in world.nodes:
        world.network.silence(world.address_of(name))


def warmed_up():
    world = test_forwarding.build()
    for number in range(20):
        for name in world.nodes:
            world.ask(name, "/search/q", attempt=f"w{number}-{name}")
            world.ask(name, "/read/x")
        world.run(0.05)
    world.run(1.0)
    return world


@pytest.mark.parametrize("path", ["/read/x", "/search/q"])
def test_requests_are_served_soon_after_all_connections_go_silent(path):
    world = warmed_up()
    silence_everything(world)
    replies = []
    for _ in range(20):
        replies += [world.ask(name, path, budget=1.0) for name in world.nodes]
        world.run(0.1)
    world.run(1.0)
    # The requests of the first tenth of a second reveal that the connections are silent.
    later = replies[len(world.nodes) :]
    assert {reply.status for reply in later} == {200}


def test_the_silence_of_one_shards_targets_closes_no_connections():
    world = warmed_up()
    front = world.nodes["akl-1"]
    noticed = []
    front._calls.on_silence = lambda: noticed.append(True)
    silent = test_forwarding.targets_of(world, test_forwarding.SHARDS[0])
    for target in silent:
        target.work = lambda: 5.0
    for number in range(10):
        world.ask("akl-1", "/search/q", attempt=f"q{number}")
        world.run(0.1)
    assert noticed == []


def test_silent_links_between_instances_are_replaced():
    world = warmed_up()
    silence_everything(world)
    world.run(8.0)
    for node in world.nodes.values():
        assert len(node._links.up) == 2 * len(deployment.HALLS) - 1
    reply = world.ask("akl-1", "/search/q", attempt="q1")
    world.run(1.0)
    assert test_forwarding.check_search(world, reply, "q1") == 0
