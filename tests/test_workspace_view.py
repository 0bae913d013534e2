"""The operators' view of workspaces: versions, numbers of keys, priorities and home regions."""

from __future__ import annotations

import json

from bench import fakes
from lineworks.platform.standins import documents
from lineworks.programs import _node_commands
from lineworks.standins import deployment
from tests import test_forwarding

KEYS = ("key-one-of-north", "key-two-of-north", "key-of-south")
NORTH = documents.workspace("north", *KEYS[:2], rate=5.0, priority=0, homes=["akl", "nowhere"])
SOUTH = documents.workspace("south", KEYS[2])
OPEN = {**test_forwarding.READ, "Name": "open", "PathPrefix": "/open/", "Public": True}


def view_of(world, name="akl-1"):
    reply = world.send(name, b"GET /workspaces HTTP/1.1\r\nHost: x\r\n\r\n", 7381)
    world.run(0.2)
    assert reply.status == 200
    assert not any(key.encode() in reply.body for key in KEYS)
    return json.loads(reply.body)


def build(*workspaces):
    world = deployment.Deployment(fakes.VirtualClock())
    world.add_target("shelf", "akl")
    world.workspaces = list(workspaces)
    world.configure([test_forwarding.READ, OPEN])
    world.add_node("akl-1", "akl")
    world.run(3.0)
    return world


def test_the_view_lists_each_workspace_without_its_keys():
    found = view_of(build(NORTH, SOUTH))
    assert found["version"] == 1
    assert not found["is_outdated"]
    assert [row["keys"] for row in found["workspaces"]] == [2, 1]
    text = _node_commands.format_reply(["workspaces"], found)
    assert "routes that need no key: open" in text
    assert "north: keys 2, priority 0, only in akl, nowhere" in text
    assert "the deployment has no region nowhere" in text
    assert "south: keys 1, priority that of the route, in any region" in text


def test_a_revoked_key_is_no_longer_counted_in_the_next_version():
    world = build(NORTH, SOUTH)
    world.workspaces = [documents.workspace("north", KEYS[1]), SOUTH]
    world.configure([test_forwarding.READ])
    world.run(3.0)
    found = view_of(world)
    assert (found["version"], found["workspaces"][0]["keys"]) == (2, 1)


def test_the_view_states_that_requests_need_no_key():
    text = _node_commands.format_reply(["workspaces"], view_of(build()))
    assert "no workspaces: requests need no key" in text


def test_the_view_is_served_before_there_is_a_configuration():
    world = deployment.Deployment(fakes.VirtualClock())
    world.add_node("akl-1", "akl")
    world.run(1.0)
    assert view_of(world)["version"] == 0
