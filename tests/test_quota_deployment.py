"""Quotas in a whole in-memory deployment, as callers, targets and operators see them."""

from __future__ import annotations

import json

import pytest
import structlog

from lineworks.decisions import access, quota, workspaces
from lineworks.programs import _node_commands
from tests import test_forwarding, test_home_regions

LIMITED = workspaces.Workspace("clinic", quota=workspaces.Quota(2.0, 2.0))


@pytest.fixture
def world(monkeypatch):
    monkeypatch.setattr(
        access, "judge", lambda known, route, *more: access.AccessDecision(route, LIMITED)
    )
    made = test_home_regions.build(routes=[test_forwarding.READ])
    for node in made.nodes.values():
        node._quotas.set_workspaces([LIMITED])
    return made


def send_requests(world, seconds, between=0.02):
    names = sorted(world.nodes)
    replies = []
    for number in range(round(seconds / between)):
        replies.append(world.ask(names[number % len(names)], test_forwarding.READ["PathPrefix"]))
        world.run(between)
    world.run(1.0)
    return replies


def max_requests_in_window(world):
    times = sorted(run.at for run in world.runs)
    return max(sum(at <= other < at + 5.0 for other in times) for at in times)


def test_requests_over_the_quota_get_429_and_reach_no_target(world):
    replies = send_requests(world, 15.0)
    served = [reply for reply in replies if reply.status == 200]
    refused = [reply for reply in replies if reply.status == 429]
    assert len(served) + len(refused) == len(replies)
    assert len(world.runs) == len(served)
    assert max_requests_in_window(world) <= world.quota_bound.max_requests(LIMITED.quota)
    assert len(served) >= 0.95 * 2.0 * 15.0
    assert all(float(reply.headers["retry-after"]) > 0 for reply in refused)
    assert max(reply.seconds for reply in refused) < 0.1


def test_the_bound_holds_while_halls_are_partitioned_and_all_instances_restart(world):
    send_requests(world, 4.0)
    for name in world.nodes:
        for other in world.nodes:
            if name[:3] != other[:3]:
                world.network.cut(world.address_of(name), world.address_of(other))
    send_requests(world, 4.0)
    world.network.heal()
    for name in list(world.nodes):
        world.host_of(name).kill()
        world.add_node(name, name[:3])
        world.nodes[name]._quotas.set_workspaces([LIMITED])
        world.nodes[name]._quotas.set_workspaces = lambda *told: None
    assert 200 in {reply.status for reply in send_requests(world, 6.0)}
    assert max_requests_in_window(world) <= world.quota_bound.max_requests(LIMITED.quota)


def test_requests_without_a_quota_cause_no_messages(monkeypatch):
    made = test_home_regions.build(routes=[test_forwarding.READ])
    replies = send_requests(made, 2.0)
    assert {reply.status for reply in replies} == {200}
    assert not any(
        node._quotas.counts or node._quotas.holder.counts for node in made.nodes.values()
    )


def test_a_request_that_finds_no_target_returns_its_token(world):
    for target in test_forwarding.targets_of(world, "shelf"):
        world.withdraw(target)
    world.run(3.0)
    replies = send_requests(world, 3.0)
    assert {reply.status for reply in replies} == {503}


def test_operators_see_limits_holders_and_refusals(world):
    send_requests(world, 5.0)
    found = {}
    for name in world.nodes:
        reply = world.send(name, b"GET /quotas HTTP/1.1\r\nHost: x\r\n\r\n", 7381)
        world.run(0.2)
        found[name] = json.loads(reply.body)
    some = next(iter(found.values()))
    assert some["limits"][0]["workspace"] == "clinic"
    assert some["limits"][0]["holders"]
    assert any(view["held"] for view in found.values())
    refusals = [row for view in found.values() for row in view["refusals"]]
    assert {(row["workspace"], row["reason"]) for row in refusals} == {("clinic", "over_quota")}
    texts = [_node_commands.format_reply(["quotas"], view) for view in found.values()]
    assert all("clinic: 2.0 a second and 2.0 besides" in text for text in texts)
    assert any("of the hall's rate" in text for text in texts)
    assert any("refused: clinic" in text for text in texts)
    reply = world.send("akl-1", b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n", 7381)
    world.run(0.2)
    assert b"lineworks_quotas" in reply.body
    assert b"clinic" in reply.body


def test_the_view_is_empty_without_quotas():
    made = test_home_regions.build(routes=[test_forwarding.READ])
    reply = made.send("akl-1", b"GET /quotas HTTP/1.1\r\nHost: x\r\n\r\n", 7381)
    made.run(0.2)
    view = json.loads(reply.body)
    assert view["limits"] == view["held"] == view["refusals"] == []
    assert _node_commands.format_reply(["quotas"], view) == "no workspace has a quota"


def test_refusals_are_counted_separately_for_a_bounded_number_of_workspaces(world, monkeypatch):
    from lineworks.forwarding import quota_keeper

    monkeypatch.setattr(quota_keeper, "MAX_NAMED_WORKSPACES", 3)
    keeper = next(iter(world.nodes.values()))._quotas
    limit = workspaces.Quota(0.0, 0.0)
    many = [workspaces.Workspace(f"w{number}", quota=limit) for number in range(9)]
    for node in world.nodes.values():
        node._quotas._holder._bound = quota.QuotaBound(5.0, 0.0, 0.0)
        node._quotas.set_workspaces(many)
    for one in many:
        keeper.admit(one, lambda admission: None)
    world.run(0.5)
    assert sum(keeper.refusals.values()) == 9
    assert len(keeper.refusals) <= 4


def test_a_caller_that_disconnects_during_the_quota_check_is_logged_and_nothing_is_sent(world):
    node = world.nodes["akl-1"]
    withdrawn = []
    node._front._shared.quotas.admit = lambda *args: lambda: withdrawn.append(True)
    with structlog.testing.capture_logs() as lines:
        world.ask("akl-1", "/read/x", attempt="r1")
        world.run(0.1)
        world.network.host("10.250.0.1").kill()
        world.run(0.4)
    assert withdrawn == [True]
    assert [line["id"] for line in lines if line["event"] == "caller_gone"] == ["r1"]
    assert world.runs_of("r1") == []
    assert node._front.is_idle
