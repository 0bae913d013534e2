"""The operators' view and logs of home regions, evacuations and cold targets."""

from __future__ import annotations

import json

import pytest
import structlog

from lineworks.programs import _node_commands
from lineworks.standins import deployment
from tests import test_cold_targets, test_forwarding, test_home_regions


def view_of(world, name="akl-1"):
    reply = world.send(name, b"GET /placement HTTP/1.1\r\nHost: x\r\n\r\n", 7381)
    world.run(0.2)
    assert reply.status == 200
    return json.loads(reply.body)


def test_the_view_lists_homes_without_targets_and_evacuated_halls():
    world = test_home_regions.build()
    world.evacuate("akl")
    world.run(3.0)
    found = view_of(world, "chc-1")
    assert found["evacuated"] == ["akl"]
    by_route = {row["route"]: row for row in found["homes"]}
    assert by_route["home"]["regions"] == ["akl"]
    assert by_route["home"]["without_target"] == ["shelf"]
    assert by_route["homesearch"]["services"] == len(test_forwarding.SHARDS)
    text = _node_commands.format_reply(["placement"], found)
    assert "evacuated halls: akl" in text
    assert "route home: only in akl" in text
    assert "1 of 1 services have no target there: shelf" in text


def test_the_view_lists_cold_targets_and_their_share_of_requests():
    world = test_cold_targets.build()
    shelf = test_forwarding.targets_of(world, "shelf")[0]
    test_cold_targets.announce_cold(world, shelf, True)
    world.run(2.5)
    (row,) = view_of(world)["cold"]
    assert (row["target"], row["service"], row["hall"]) == (shelf.name, "shelf", shelf.hall)
    assert 0 < row["share_a_second"] <= 11
    text = _node_commands.format_reply(["placement"], view_of(world))
    assert f"cold: shelf/{shelf.name} in {shelf.hall}" in text


def test_the_view_is_served_before_there_is_a_configuration():
    world = deployment.Deployment(test_forwarding.fakes.VirtualClock())
    world.add_node("akl-1", "akl")
    world.run(1.0)
    assert view_of(world)["version"] == 0


@pytest.fixture
def lines():
    found = []

    def keep(logger, method, event):
        found.append(dict(event))
        raise structlog.DropEvent

    structlog.configure(processors=[keep])
    return found


def test_unknown_regions_and_halls_are_logged(lines):
    world = test_home_regions.build(
        routes=[{**test_home_regions.HOME, "AllowedRegions": ["akl", "nowhere"]}]
    )
    world.evacuate("elsewhere")
    world.run(3.0)
    unknown = [line for line in lines if line["event"] == "unknown_home_regions"]
    assert {(line["route"], *line["regions"]) for line in unknown} == {("home", "nowhere")}
    asked = [line for line in lines if line["event"] == "hall_evacuated"]
    assert {(line["hall"], line["is_known"]) for line in asked} == {("elsewhere", False)}
    assert len(asked) == len(world.nodes)


def test_a_refused_request_logs_its_home_regions_and_why_their_targets_are_excluded(lines):
    world = test_home_regions.build()
    world.evacuate("akl")
    world.run(3.0)
    world.ask("chc-1", "/home/q", attempt="lost-one")
    world.run(0.5)
    (line,) = [one for one in lines if one["event"] == "request" and one["id"] == "lost-one"]
    assert line["reason"] == "no_home_target"
    assert "home regions akl" in line["detail"]
    assert "evacuated with akl" in line["detail"]
