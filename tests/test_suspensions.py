"""An instance whose process was suspended for a while resumes without acting on outdated state."""

from __future__ import annotations

import pytest
from twisted.internet import protocol

from lineworks.platform.standins import documents
from lineworks.standins import deployment
from tests import test_forwarding

SUSPENDED_SECONDS = (1.0, 5.0, 60.0)


def suspend(world, name, seconds):
    host = world.host_of(name)
    host.freeze()
    world.run(seconds)
    host.wake()


@pytest.mark.parametrize("seconds", SUSPENDED_SECONDS)
def test_a_resumed_instance_serves_at_once_and_does_not_take_its_targets_for_silent(seconds):
    world = test_forwarding.build()
    for _ in range(10):
        world.ask("akl-1", "/search/q")
        world.run(0.1)
    world.ask("akl-1", "/search/q")
    world.run(0.005)
    hedges = world.nodes["akl-1"]._counters.hedges
    suspend(world, "akl-1", seconds)
    world.run(0.5)
    late = [world.ask("akl-1", "/search/q", attempt=f"w{number}") for number in range(5)]
    world.run(1.0)
    for number, reply in enumerate(late):
        assert test_forwarding.check_search(world, reply, f"w{number}") == 0
    # At most one hedge for each shard of the search that was under way.
    assert world.nodes["akl-1"]._counters.hedges - hedges <= len(test_forwarding.SHARDS)


@pytest.mark.parametrize("seconds", SUSPENDED_SECONDS)
def test_a_resumed_instance_uses_no_target_that_left_meanwhile(seconds):
    world = test_forwarding.build()
    gone = test_forwarding.targets_of(world, "shelf")[0]
    host = world.host_of("akl-1")
    host.freeze()
    world.announce(gone, "draining")
    world.run(max(seconds, 3.5))
    world.withdraw(gone)
    world.run(0.1)
    host.wake()
    # The instance has reconnected some seconds after it resumed; from then on it must not use the
    # target.
    world.run(4.0)
    for number in range(6):
        world.ask("akl-1", "/read/q", attempt=f"r{number}")
        world.run(0.1)
    world.run(1.0)
    assert all(
        run.target != gone.name for number in range(6) for run in world.runs_of(f"r{number}")
    )


@pytest.mark.parametrize("seconds", SUSPENDED_SECONDS)
def test_a_resumed_instance_has_not_accumulated_retry_budget(seconds):
    world = test_forwarding.build()
    world.run(20.0)
    extra = world.nodes["akl-1"]._extra
    before = extra.least_left(world.clock.seconds())
    suspend(world, "akl-1", seconds)
    assert extra.least_left(world.clock.seconds()) <= before + 1.0


class CallerConnection(protocol.Protocol):
    """A caller's open connection, which collects what it receives."""

    seen = b""

    def dataReceived(self, data):  # noqa: N802
        self.seen += data


def send_while_suspended(world, path, budget, seconds):
    """Send a request over an open connection to an instance that is suspended for a while."""
    connection = CallerConnection()
    caller = world.network.host("10.250.0.1")
    factory = protocol.Factory.forProtocol(lambda: connection)
    caller.connectTCP(world.address_of("akl-1"), deployment.CALLER_PORT, factory)
    world.run(0.1)
    host = world.host_of("akl-1")
    host.freeze()
    connection.transport.write(documents.caller_request("GET", path, "late", budget, b""))
    world.run(seconds)
    host.wake()
    world.run(0.05)
    return connection


@pytest.mark.parametrize("path", ["/search/q", "/read/q", "/bill/q"])
def test_a_request_read_after_its_deadline_is_refused_at_once_as_not_run(path):
    world = test_forwarding.build()
    assert send_while_suspended(world, path, 0.5, 0.6).seen.startswith(b"HTTP/1.1 503")
    world.run(1.0)
    assert world.runs_of("late") == []


def test_a_request_read_late_but_before_its_deadline_is_answered_by_then():
    world = test_forwarding.build(lambda: 5.0)
    connection = send_while_suspended(world, "/read/q", 1.0, 0.6)
    assert connection.seen == b""
    assert world.runs_of("late")
    world.run(0.35)
    assert connection.seen.startswith(b"HTTP/1.1 504")
