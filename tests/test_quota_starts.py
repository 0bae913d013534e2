"""Quotas in whole deployments while instances start, fail, or are partitioned."""

from __future__ import annotations

import collections

import pytest

from bench import fakes
from lineworks.decisions import quota, workspaces
from lineworks.platform.standins import documents
from lineworks.standins import deployment
from tests import test_forwarding, test_home_regions

KEY = "key-of-north"
HALLS = ("akl", "wlg", "chc")
NODES = 5
"""Instances in each hall."""

WINDOW = 5.0
"""Length of the quota bound's window in seconds."""

ROUND_SECONDS = 0.1
"""Seconds between rounds of requests for tokens at all instances."""

REQUEST_INTERVAL_SECONDS = 0.01
"""Seconds between requests of a workspace that is far over its limit."""


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
    """Send requests to instances in turn, and return the number of responses by status."""
    replies = []
    for number in range(count):
        replies.append(world.ask(names[number % len(names)], "/read/q", key=KEY))
        world.run(pace)
    world.run(1.0)
    return collections.Counter(reply.status for reply in replies)


def candidates_of(world, hall):
    """Return the instances of a hall that may hold the workspace's tokens, highest-ranked first."""
    return world.nodes[f"{hall}-1"]._ranks._candidates("north")


def restart(world, names, cut_off):
    """Kill instances and restart them, some of them cut off from the store."""
    for name in names:
        world.host_of(name).kill()
    world.run(WINDOW + 1.0)
    for name in cut_off:
        world.network.cut(world.address_of(name), deployment.STORE_ADDRESS)
    for name in names:
        world.add_node(name, name.partition("-")[0])


def test_a_restarted_holder_without_a_configuration_grants_nothing():
    # It knows no limits yet, but its name is unchanged, so its whole hall asks it for tokens.
    world = build()
    holder = candidates_of(world, "akl")[0]
    restart(world, [holder], [holder])
    before = len(world.runs)
    others = [f"akl-{number}" for number in range(1, NODES + 1) if f"akl-{number}" != holder]
    send(world, others, int((WINDOW - 1.0) / REQUEST_INTERVAL_SECONDS), REQUEST_INTERVAL_SECONDS)
    assert len(world.runs) - before <= world.quota_bound.max_requests(quota_of(world))


def quota_of(world):
    return world.nodes["wlg-1"]._quotas.holder.limits["north"]


@pytest.mark.parametrize("cut_off", [0, 1, 2])
def test_a_restart_of_all_keeps_the_limit_while_some_cannot_reach_the_store(cut_off):
    world = build()
    allowed = world.quota_bound.max_requests(quota_of(world))
    names = list(world.nodes)
    without_store = [name for name in names if int(name[-1]) <= cut_off]
    restart(world, names, without_store)
    before = len(world.runs)
    send(world, names, int((WINDOW - 1.0) / REQUEST_INTERVAL_SECONDS), REQUEST_INTERVAL_SECONDS)
    assert len(world.runs) - before <= allowed


def test_a_workspace_is_served_in_a_hall_that_lost_all_its_holders():
    world = build(rate=10.0, burst=10.0)
    lost = candidates_of(world, "akl")
    for name in lost:
        world.host_of(name).kill()
    world.run(5.0)
    left = [f"akl-{number}" for number in range(1, NODES + 1) if f"akl-{number}" not in lost]
    assert send(world, left, 10, 0.5) == {200: 10}


def test_a_burst_within_the_limit_is_served():
    world = build(rate=2.0, burst=20.0)
    assert send(world, list(world.nodes), 20, 0.0) == {200: 20}


@pytest.mark.parametrize("burst", [50.0, 200.0])
@pytest.mark.parametrize("calm", [10.0, 60.0])
def test_a_partitioned_hall_accumulates_no_more_tokens_than_a_whole_one(burst, calm):
    # Each side of the partition has a holder. If both accumulate the whole burst, both spend it:
    # that admitted 512 requests where 295 were allowed.
    limit = workspaces.Quota(10.0, burst)
    north = workspaces.Workspace("north", quota=limit)
    world = test_home_regions.build(routes=[test_forwarding.READ])
    for node in world.nodes.values():
        node._quotas.set_workspaces([north])
    world.run(8.0)
    for hall in HALLS:
        one, other = (name for name in world.nodes if name.startswith(hall))
        world.network.cut(world.address_of(one), world.address_of(other))
    ask_all(world, north, 1, int(calm / 2.0), 2.0)
    admitted = ask_all(
        world, north, int(burst / 10), int((WINDOW - 0.5) / ROUND_SECONDS), ROUND_SECONDS
    )
    assert 0 < admitted <= quota.QuotaBound(WINDOW, 0.1, 20.0).max_requests(limit)


def ask_all(world, workspace, times, rounds, pause):
    """Request tokens at all instances, and return how many were granted."""
    granted = 0

    def on_end(admission):
        nonlocal granted
        granted += admission.refusal is None

    for _ in range(rounds):
        for node in world.nodes.values():
            for _ in range(times):
                node._quotas.admit(workspace, on_end)
        world.run(pause)
    return granted
