"""Limits of workspaces in whole deployments while instances start, are lost, or send at once."""

from __future__ import annotations

import collections

import pytest

from bench import fakes
from lineworks.decisions import quota
from lineworks.platform.standins import documents
from lineworks.standins import deployment
from tests import test_forwarding

KEY = "key-of-north"
HALLS = ("akl", "wlg", "chc")
NODES = 5
"""Instances in each hall."""

WINDOW = 5.0
"""Length of the bound's window in seconds."""

PACE = 0.01
"""Seconds between requests of a workspace far over its limit."""


def build(rate=2.0, burst=2.0):
    world = deployment.Deployment(fakes.VirtualClock())
    for hall in HALLS:
        for _ in range(8):
            world.add_target("shelf", hall)
    world.workspaces = [documents.workspace("north", KEY, rate=rate, burst=burst)]
    world.quota_bound = quota.QuotaBound(WINDOW, 0.1, 20.0)
    world.configure([test_forwarding.READ])
    for hall in HALLS:
        for number in range(1, NODES + 1):
            world.add_node(f"{hall}-{number}", hall)
    world.run(12.0)
    return world


def send(world, names, count, pace):
    """Send requests to instances in turn; tell what became of them, by status."""
    replies = []
    for number in range(count):
        replies.append(world.ask(names[number % len(names)], "/read/q", key=KEY))
        world.run(pace)
    world.run(1.0)
    return collections.Counter(reply.status for reply in replies)


def first_of(world, hall):
    """Rank the instances of a hall that may hold the workspace's tokens."""
    return world.nodes[f"{hall}-1"]._ranks._first("north")


def start_again(world, names, cut_off):
    """Kill instances and start them, some of them cut off from the store."""
    for name in names:
        world.host_of(name).kill()
    world.run(WINDOW + 1.0)
    for name in cut_off:
        world.network.cut(world.address_of(name), deployment.STORE_ADDRESS)
    for name in names:
        world.add_node(name, name.partition("-")[0])


def test_a_holder_that_knows_no_configuration_yet_grants_nothing():
    # It has no limits, and is asked under its old name by all of its hall.
    world = build()
    holder = first_of(world, "akl")[0]
    start_again(world, [holder], [holder])
    before = len(world.runs)
    others = [f"akl-{number}" for number in range(1, NODES + 1) if f"akl-{number}" != holder]
    send(world, others, int((WINDOW - 1.0) / PACE), PACE)
    assert len(world.runs) - before <= world.quota_bound.most(quota_of(world))


def quota_of(world):
    return world.nodes["wlg-1"]._quotas.holder.limits["north"]


@pytest.mark.parametrize("cut_off", [0, 1, 2])
def test_a_start_of_all_keeps_the_limit_where_the_store_turns_some_away(cut_off):
    world = build()
    allowed = world.quota_bound.most(quota_of(world))
    names = list(world.nodes)
    turned_away = [name for name in names if int(name[-1]) <= cut_off]
    start_again(world, names, turned_away)
    before = len(world.runs)
    send(world, names, int((WINDOW - 1.0) / PACE), PACE)
    assert len(world.runs) - before <= allowed


def test_a_workspace_is_served_in_a_hall_that_lost_the_first_of_its_holders():
    world = build(rate=10.0, burst=10.0)
    lost = first_of(world, "akl")
    for name in lost:
        world.host_of(name).kill()
    world.run(5.0)
    left = [f"akl-{number}" for number in range(1, NODES + 1) if f"akl-{number}" not in lost]
    assert send(world, left, 10, 0.5) == {200: 10}


def test_a_burst_within_the_limit_is_served():
    world = build(rate=2.0, burst=20.0)
    assert send(world, list(world.nodes), 20, 0.0) == {200: 20}
