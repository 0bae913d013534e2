"""All instances restart while the store does not answer, on a virtual clock."""

from __future__ import annotations

import pytest

from lineworks.forwarding import outcome
from lineworks.standins import deployment
from tests import test_forwarding

RECOVERY_SECONDS = 0.6
"""Seconds after the store's recovery within which every instance serves: time for a call over a new
connection, of which there is one each quarter of a second, its answer, and the first connections to
the targets."""

MAX_CALLS_PER_SECOND = 6.0
"""Calls a second to the store that an instance without any targets or configuration may make."""


def restart_all(world):
    for name in world.nodes:
        world.host_of(name).kill()
    world.run(1.2)
    for name in list(world.nodes):
        world.add_node(name, name.partition("-")[0])


def begin_fault(world, fault):
    if fault == "is_dark":
        world.network.host(deployment.STORE_ADDRESS).power_off()
    else:
        setattr(world.server.faults, fault, True)


def end_fault(world, fault):
    if fault == "is_dark":
        host = world.network.host(deployment.STORE_ADDRESS)
        host.power_on()
        host.listenTCP(deployment.STORE_PORT, world.server.factory)
    else:
        setattr(world.server.faults, fault, False)


def restart_during_fault(world, fault, seconds):
    begin_fault(world, fault)
    restart_all(world)
    world.run(seconds)
    end_fault(world, fault)


@pytest.mark.parametrize("seconds", [0.05, 0.3, 0.7, 1.4, 1.6, 2.1, 2.6, 4.0, 9.3])
@pytest.mark.parametrize("fault", ["is_silent", "is_down", "is_dark"])
def test_instances_started_while_the_store_fails_serve_soon_after_it_recovers(fault, seconds):
    world = test_forwarding.build()
    restart_during_fault(world, fault, seconds)
    world.run(RECOVERY_SECONDS)
    replies = [world.ask(name, path) for name in world.nodes for path in ("/read/x", "/search/q")]
    world.run(0.5)
    assert {reply.status for reply in replies} == {200}


@pytest.mark.parametrize("fault", ["is_silent", "is_down"])
def test_calls_to_a_failing_store_are_rate_limited(fault):
    world = test_forwarding.build()
    setattr(world.server.faults, fault, True)
    restart_all(world)
    before = sum(world.server.calls.values())
    world.run(10.0)
    calls = sum(world.server.calls.values()) - before
    assert calls <= MAX_CALLS_PER_SECOND * 10 * len(world.nodes)


def test_instances_back_off_from_a_store_that_refuses_calls_for_their_rate():
    world = test_forwarding.build()
    world.server.faults.is_busy = True
    restart_all(world)
    world.run(5.0)
    before = world.server.calls["kv-range"]
    world.run(10.0)
    assert world.server.calls["kv-range"] - before <= 1.5 * 10 * len(world.nodes)


def test_instances_wait_for_the_answers_of_a_slow_store():
    world = test_forwarding.build()
    world.server.faults.delay = 1.0
    restart_all(world)
    world.run(1.4)
    replies = [world.ask(name, "/read/x") for name in world.nodes]
    world.run(0.5)
    assert {reply.status for reply in replies} == {200}


@pytest.mark.parametrize("phase", [0.1, 0.4, 0.7, 1.0, 1.3])
def test_a_new_configuration_is_applied_in_time_though_connections_to_the_store_are_silent(phase):
    world = test_forwarding.build()
    world.run(phase)
    world.network.silence(deployment.STORE_ADDRESS)
    routes = [test_forwarding.SEARCH, test_forwarding.READ, test_forwarding.BILL]
    new = {**test_forwarding.READ, "Name": "new", "PathPrefix": "/new/"}
    world.configure([*routes, new])
    world.run(2.7)
    replies = [world.ask(name, "/new/x") for name in world.nodes]
    world.run(0.3)
    assert {reply.status for reply in replies} == {200}


def test_an_instance_without_configuration_sends_its_own_longer_retry_after():
    world = test_forwarding.build()
    world.server.faults.is_silent = True
    restart_all(world)
    reply = world.ask("akl-1", "/read/x")
    world.run(0.3)
    assert reply.status == 503
    assert float(reply.headers["retry-after"]) == outcome.NOT_READY_RETRY_AFTER
