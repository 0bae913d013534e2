"""All instances start anew beside a store that does not answer, on a virtual clock."""

from __future__ import annotations

import pytest

from lineworks.forwarding import outcome
from lineworks.standins import deployment
from tests import test_forwarding

SERVED_AGAIN = 0.6
"""Seconds after the store's return within which every instance serves: a call on a new connection
each quarter of a second, its answer, and the first connections to the targets."""

MOST_CALLS = 6.0
"""Calls a second that an instance without knowledge may make."""


def restart_all(world):
    for name in world.nodes:
        world.host_of(name).kill()
    world.run(1.2)
    for name in list(world.nodes):
        world.add_node(name, name.partition("-")[0])


def begin(world, fault):
    if fault == "is_dark":
        world.network.host(deployment.STORE_ADDRESS).power_off()
    else:
        setattr(world.server.faults, fault, True)


def end(world, fault):
    if fault == "is_dark":
        host = world.network.host(deployment.STORE_ADDRESS)
        host.power_on()
        host.listenTCP(deployment.STORE_PORT, world.server.factory)
    else:
        setattr(world.server.faults, fault, False)


def start_beside(world, fault, seconds):
    begin(world, fault)
    restart_all(world)
    world.run(seconds)
    end(world, fault)


@pytest.mark.parametrize("seconds", [0.05, 0.3, 0.7, 1.4, 1.6, 2.1, 2.6, 4.0, 9.3])
@pytest.mark.parametrize("fault", ["is_silent", "is_down", "is_dark"])
def test_instances_that_start_beside_a_failing_store_serve_soon_after_its_return(fault, seconds):
    world = test_forwarding.build()
    start_beside(world, fault, seconds)
    world.run(SERVED_AGAIN)
    replies = [world.ask(name, path) for name in world.nodes for path in ("/read/x", "/search/q")]
    world.run(0.5)
    assert {reply.status for reply in replies} == {200}


@pytest.mark.parametrize("fault", ["is_silent", "is_down"])
def test_calls_to_a_failing_store_are_bounded(fault):
    world = test_forwarding.build()
    setattr(world.server.faults, fault, True)
    restart_all(world)
    before = sum(world.server.calls.values())
    world.run(10.0)
    calls = sum(world.server.calls.values()) - before
    assert calls <= MOST_CALLS * 10 * len(world.nodes)


def test_calls_to_a_store_that_refuses_for_their_rate_become_rare():
    world = test_forwarding.build()
    world.server.faults.is_busy = True
    restart_all(world)
    world.run(5.0)
    before = world.server.calls["kv-range"]
    world.run(10.0)
    assert world.server.calls["kv-range"] - before <= 1.5 * 10 * len(world.nodes)


def test_a_slow_store_is_not_given_up():
    world = test_forwarding.build()
    world.server.faults.delay = 1.0
    restart_all(world)
    world.run(1.4)
    replies = [world.ask(name, "/read/x") for name in world.nodes]
    world.run(0.5)
    assert {reply.status for reply in replies} == {200}


@pytest.mark.parametrize("phase", [0.1, 0.4, 0.7, 1.0, 1.3])
def test_a_configuration_is_in_force_in_time_though_open_connections_went_silent(phase):
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


def test_a_blind_instance_tells_callers_to_come_back_later_than_a_busy_one():
    world = test_forwarding.build()
    world.server.faults.is_silent = True
    restart_all(world)
    reply = world.ask("akl-1", "/read/x")
    world.run(0.3)
    assert reply.status == 503
    assert float(reply.headers["retry-after"]) == outcome.NOT_READY_RETRY_AFTER
