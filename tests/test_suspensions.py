"""An instance that stood still for a while goes on by what it finds, not by what it knew."""

from __future__ import annotations

import pytest
from twisted.internet import protocol

from lineworks.platform.standins import documents
from lineworks.standins import deployment
from tests import test_forwarding

SECONDS = (1.0, 5.0, 60.0)


def stand_still(world, name, seconds):
    host = world.host_of(name)
    host.freeze()
    world.run(seconds)
    host.wake()


@pytest.mark.parametrize("seconds", SECONDS)
def test_an_instance_that_wakes_serves_at_once_and_holds_no_target_for_silent(seconds):
    world = test_forwarding.build()
    for _ in range(10):
        world.ask("akl-1", "/search/q")
        world.run(0.1)
    world.ask("akl-1", "/search/q")
    world.run(0.005)
    hedges = world.nodes["akl-1"]._counters.hedges
    stand_still(world, "akl-1", seconds)
    world.run(0.5)
    late = [world.ask("akl-1", "/search/q", attempt=f"w{number}") for number in range(5)]
    world.run(1.0)
    for number, reply in enumerate(late):
        assert test_forwarding.check_search(world, reply, f"w{number}") == 0
    # At most one hedge for each shard of the search that was under way.
    assert world.nodes["akl-1"]._counters.hedges - hedges <= len(test_forwarding.SHARDS)


@pytest.mark.parametrize("seconds", SECONDS)
def test_an_instance_that_wakes_uses_no_target_that_left_meanwhile(seconds):
    world = test_forwarding.build()
    gone = test_forwarding.targets_of(world, "shelf")[0]
    host = world.host_of("akl-1")
    host.freeze()
    world.announce(gone, "draining")
    world.run(max(seconds, 3.5))
    world.withdraw(gone)
    world.run(0.1)
    host.wake()
    # In touch again only some seconds after it woke; then nothing reaches the target.
    world.run(4.0)
    for number in range(6):
        world.ask("akl-1", "/read/q", attempt=f"r{number}")
        world.run(0.1)
    world.run(1.0)
    assert all(
        run.target != gone.name for number in range(6) for run in world.runs_of(f"r{number}")
    )


@pytest.mark.parametrize("seconds", SECONDS)
def test_credit_of_an_instance_that_stood_still_is_gone(seconds):
    world = test_forwarding.build()
    world.run(20.0)
    extra = world.nodes["akl-1"]._extra
    before = extra.least_left(world.clock.seconds())
    stand_still(world, "akl-1", seconds)
    assert extra.least_left(world.clock.seconds()) <= before + 1.0


class Kept(protocol.Protocol):
    """A caller's kept connection."""

    seen = b""

    def dataReceived(self, data):  # noqa: N802
        self.seen += data


def ask_frozen(world, path, budget, seconds):
    """Send a request to an instance that stands still for a while, over an open connection."""
    kept = Kept()
    caller = world.network.host("10.250.0.1")
    factory = protocol.Factory.forProtocol(lambda: kept)
    caller.connectTCP(world.address_of("akl-1"), deployment.CALLER_PORT, factory)
    world.run(0.1)
    host = world.host_of("akl-1")
    host.freeze()
    kept.transport.write(documents.caller_request("GET", path, "late", budget, b""))
    world.run(seconds)
    host.wake()
    world.run(0.05)
    return kept


@pytest.mark.parametrize("path", ["/search/q", "/read/q", "/bill/q"])
def test_what_comes_too_late_out_of_its_socket_is_refused_at_once_as_not_run(path):
    world = test_forwarding.build()
    assert ask_frozen(world, path, 0.5, 0.6).seen.startswith(b"HTTP/1.1 503")
    world.run(1.0)
    assert world.runs_of("late") == []


def test_what_still_has_time_when_it_is_read_is_served_within_it():
    world = test_forwarding.build(lambda: 5.0)
    kept = ask_frozen(world, "/read/q", 1.0, 0.6)
    assert kept.seen == b""
    assert world.runs_of("late")
    world.run(0.35)
    assert kept.seen.startswith(b"HTTP/1.1 504")
