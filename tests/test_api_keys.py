"""API keys in whole deployments: who is served, what targets see, and when a key ends."""

from __future__ import annotations

import json

import pytest
import structlog

from lineworks.decisions import access, positions
from lineworks.http1 import server_connection
from lineworks.platform import store_items
from lineworks.platform.standins import documents
from lineworks.standins import deployment
from lineworks.wire import node_frames
from tests import test_forwarding, test_home_regions

OPEN = {**test_forwarding.READ, "Name": "open", "PathPrefix": "/open/", "Public": True}
HOME = test_home_regions.HOME
ROUTES = [test_forwarding.SEARCH, test_forwarding.READ, test_forwarding.BILL, OPEN, HOME]
PATHS = ("/read/q", "/bill/q", "/search/q", "/open/q")
IN_FORCE = 3.0
"""Seconds within which a key is to be in force, or to have ended, at all that can hear of it."""
AT_ONCE = 0.01
"""Seconds within which a refusal is there."""

NORTH, SOUTH, OTHER = "sk-north-01", "sk-south-02", "sk-nobody-03"


def listed(north=(NORTH,), south=(SOUTH,), **more):
    return [documents.workspace("north", *north, **more), documents.workspace("south", *south)]


def build(workspaces=None, revocation=None, routes=ROUTES):
    world = test_forwarding.build()
    if revocation is not None:
        world.revocation = revocation
        for name in list(world.nodes):
            world.host_of(name).kill()
            world.add_node(name, name.partition("-")[0])
    world.workspaces = listed() if workspaces is None else workspaces
    world.configure(routes)
    world.run(4.0)
    return world


def ask(world, name, path="/read/q", key="", attempt=""):
    reply = world.ask(name, path, "POST" if "bill" in path else "GET", attempt=attempt, key=key)
    world.run(1.0)
    return reply


def statuses(world, key, names=None, path="/read/q"):
    replies = [world.ask(name, path, key=key) for name in names or world.nodes]
    world.run(1.0)
    return {reply.status for reply in replies}


def cut(world, name, *others):
    """Cut an instance off from others, in both directions."""
    address = world.address_of(name)
    for other in others:
        world.network.cut(address, other)
        world.network.cut(other, address)


def cut_from_store(world, *names):
    for name in names:
        cut(world, name, deployment.STORE_ADDRESS)


def cut_from_all(world, name):
    peers = [world.address_of(other) for other in world.nodes if other != name]
    cut(world, name, deployment.STORE_ADDRESS, *peers)


def raw(path, *lines, attempt="raw"):
    head = [f"GET {path} HTTP/1.1", "Host: x.example", f"X-Attempt-Id: {attempt}"]
    return "\r\n".join([*head, *lines, "", ""]).encode()


@pytest.mark.parametrize("path", PATHS)
def test_targets_learn_the_workspace_and_never_the_key(path):
    world = build()
    for name in world.nodes:
        attempt = f"q-{name}"
        assert ask(world, name, path, NORTH, attempt).status == 200
        runs = world.runs_of(attempt)
        assert runs
        for run in runs:
            assert run.fields["x-tenant-name"] == "north"
            assert NORTH not in str(run.fields)
            assert "authorization" not in run.fields


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("key", [OTHER, ""])
def test_without_a_known_key_only_public_routes_are_served(path, key):
    world = build()
    for name in world.nodes:
        attempt = f"q-{name}"
        reply = ask(world, name, path, key, attempt)
        if path == "/open/q":
            assert reply.status == 200
            (run,) = world.runs_of(attempt)
            assert not {"authorization", "x-tenant-name"} & set(run.fields)
        else:
            assert reply.status == 401
            assert reply.seconds < AT_ONCE
            assert "retry-after" not in reply.headers
            assert world.runs_of(attempt) == []


@pytest.mark.parametrize(
    ("path", "key", "name"),
    [("/read/q", SOUTH, "south"), ("/open/q", SOUTH, "south"), ("/open/q", OTHER, None)],
)
@pytest.mark.parametrize("field", ["X-Tenant-Name", "x-tenant-name"])
def test_what_callers_say_of_the_workspace_is_dropped(path, key, name, field):
    world = build()
    data = raw(path, f"Authorization: Bearer {key}", f"{field}: north", f"{field}: north")
    reply = world.send("akl-1", data)
    world.run(1.0)
    assert reply.status == 200
    (run,) = world.runs_of("raw")
    assert run.fields.get("x-tenant-name") == name


@pytest.mark.parametrize(
    "lines",
    [
        ("Authorization: Basic " + NORTH,),
        ("Authorization: " + NORTH,),
        ("Authorization: Bearer " + NORTH, "Authorization: Bearer " + SOUTH),
    ],
)
def test_a_key_in_another_form_or_beside_another_one_is_none(lines):
    world = build()
    reply = world.send("akl-1", raw("/read/q", *lines))
    world.run(1.0)
    assert reply.status == 401
    assert world.runs_of("raw") == []


def test_without_workspaces_callers_credentials_go_to_targets_as_before():
    world = test_forwarding.build()
    lines = ("Authorization: Bearer abc", "X-Tenant-Name: mine")
    reply = world.send("akl-1", raw("/read/q", *lines))
    world.run(1.0)
    assert reply.status == 200
    (run,) = world.runs_of("raw")
    assert run.fields["authorization"] == "Bearer abc"
    assert run.fields["x-tenant-name"] == "mine"


def test_no_key_stands_in_logs_or_metrics():
    with structlog.testing.capture_logs() as lines:
        world = build(listed(south=(SOUTH, "sk-old")))
        for name in world.nodes:
            for key in (NORTH, SOUTH, OTHER):
                for path in PATHS:
                    ask(world, name, path, key)
        world.workspaces = listed(south=(SOUTH, SOUTH))
        world.configure(ROUTES)
        world.run(3.0)
    shown = json.dumps(lines, default=repr)
    assert "configuration_refused" in shown
    assert all(key not in shown for key in (NORTH, SOUTH, OTHER, "sk-old"))
    named = {line["workspace"] for line in lines if line["event"] == "request"}
    assert named == {"north", "south", None}
    for node in world.nodes.values():
        exported = node._metrics.export()
        assert all(key.encode() not in exported for key in (NORTH, SOUTH, OTHER, "sk-old"))


def test_no_key_stands_in_what_is_shown_of_requests_and_documents():
    document = NORTH.encode()
    fields = [(b"authorization", b"Bearer " + document)]
    for shown in (
        server_connection.Request(b"GET", b"/", fields, b"", 0.0),
        node_frames.TableUpdate(1, document, 0),
        store_items.Item("op/config", document, positions.ABSENT),
        store_items.Change("op/config", positions.ABSENT, document),
    ):
        assert NORTH not in repr(shown)


def test_an_added_key_is_in_force_everywhere():
    world = build()
    assert statuses(world, OTHER) == {401}
    world.workspaces = listed(north=(NORTH, OTHER))
    world.configure(ROUTES)
    world.run(IN_FORCE)
    assert statuses(world, OTHER) == {200}
    assert statuses(world, NORTH) == {200}


def test_a_key_taken_away_ends_everywhere_and_its_workspace_goes_on_with_another():
    world = build(listed(north=(NORTH, OTHER)))
    world.workspaces = listed(north=(OTHER,))
    world.configure(ROUTES)
    world.run(IN_FORCE)
    assert statuses(world, NORTH) == {401}
    assert statuses(world, OTHER) == {200}


def test_a_key_taken_away_ends_on_an_open_connection():
    world = build()
    connection = _Connection(world, "akl-1")
    connection.send("/read/q", NORTH)
    world.run(1.0)
    world.workspaces = listed(north=())
    world.configure(ROUTES)
    world.run(IN_FORCE)
    connection.send("/read/q", NORTH)
    world.run(1.0)
    assert connection.statuses == [200, 401]


@pytest.mark.parametrize(
    "picked", [("akl-1",), ("akl-2",), ("akl-1", "akl-2"), ("akl-1", "wlg-1", "chc-1")]
)
@pytest.mark.parametrize("phase", [0.0, 0.4, 0.8])
def test_a_key_taken_away_ends_where_the_store_turns_instances_away(picked, phase):
    world = build()
    cut_from_store(world, *picked)
    world.run(5.0 + phase)
    world.workspaces = listed(north=())
    world.configure(ROUTES)
    world.run(IN_FORCE)
    replies = [world.ask(name, "/read/q", key=NORTH, attempt=f"q-{name}") for name in world.nodes]
    world.run(1.0)
    assert {reply.status for reply in replies} <= {401, 503}
    assert not any(world.runs_of(f"q-{name}") for name in world.nodes)


def test_a_key_taken_away_stays_so_at_an_instance_that_starts_without_the_store():
    world = build()
    world.workspaces = listed(north=())
    world.configure(ROUTES)
    world.run(IN_FORCE)
    world.host_of("akl-1").kill()
    cut_from_store(world, "akl-1")
    world.add_node("akl-1", "akl")
    replies = []
    for number in range(40):
        replies.append(world.ask("akl-1", "/read/q", key=NORTH, attempt=f"q{number}"))
        world.run(0.1)
    world.run(1.0)
    assert {reply.status for reply in replies if reply.status} <= {401, 503}
    assert not any(world.runs_of(f"q{number}") for number in range(40))
    assert statuses(world, SOUTH, ["akl-1"]) == {200}


def test_a_request_held_at_the_start_is_judged_by_the_configuration_that_comes():
    world = build()
    world.host_of("akl-1").kill()
    world.workspaces = listed(north=())
    world.configure(ROUTES)
    world.add_node("akl-1", "akl")
    replies = [world.ask("akl-1", "/read/q", key=key) for key in (NORTH, SOUTH)]
    world.run(2.0)
    assert [reply.status for reply in replies] == [401, 200]


def test_an_instance_that_is_cut_off_serves_known_keys_and_is_unsure_of_others():
    world = build()
    cut_from_all(world, "akl-1")
    world.run(1.0)
    assert ask(world, "akl-1", key=OTHER).status == 401
    world.run(5.0)
    reply = ask(world, "akl-1", key=OTHER, attempt="unsure")
    assert reply.status == 503
    assert float(reply.headers["retry-after"]) > 0
    assert reply.seconds < AT_ONCE
    assert world.runs_of("unsure") == []
    assert ask(world, "akl-1", key=NORTH).status == 200
    assert ask(world, "akl-1", "/open/q").status == 200


def test_with_strict_revocation_an_instance_that_is_cut_off_serves_no_key_for_long():
    world = build(revocation=access.RevocationPolicy(is_strict=True, seconds=5.0))
    cut_from_all(world, "akl-1")
    world.run(2.0)
    assert ask(world, "akl-1", key=NORTH).status == 200
    world.run(4.0)
    reply = ask(world, "akl-1", key=NORTH, attempt="late")
    assert reply.status == 503
    assert float(reply.headers["retry-after"]) > 0
    assert world.runs_of("late") == []
    assert ask(world, "akl-1", "/open/q").status == 200
    assert statuses(world, NORTH, [name for name in world.nodes if name != "akl-1"]) == {200}
    world.network.heal()
    world.run(4.0)
    assert ask(world, "akl-1", key=NORTH).status == 200


@pytest.mark.parametrize(("is_strict", "expected"), [(False, {200, 401}), (True, {503, 401})])
def test_an_instance_that_stood_still_hears_soon_of_a_key_taken_away(is_strict, expected):
    world = build(revocation=access.RevocationPolicy(is_strict=is_strict, seconds=5.0))
    host = world.host_of("akl-1")
    host.freeze()
    world.run(2.0)
    world.workspaces = listed(north=())
    world.configure(ROUTES)
    world.run(8.0)
    host.wake()
    first = world.ask("akl-1", "/read/q", key=NORTH)
    world.run(IN_FORCE)
    assert first.status in expected
    assert statuses(world, NORTH) == {401}


def test_home_regions_that_do_not_exist_are_told_by_workspace():
    with structlog.testing.capture_logs() as lines:
        build(listed(homes=("akl", "nowhere")))
    told = [line for line in lines if line["event"] == "unknown_home_regions"]
    assert {(line["workspace"], *line["regions"]) for line in told} == {("north", "nowhere")}


def test_a_key_that_peers_know_already_is_refused_as_not_run_and_found_at_once():
    world = build()
    cut(world, "akl-1", deployment.STORE_ADDRESS, world.address_of("akl-2"))
    world.workspaces = listed(north=(NORTH, OTHER))
    world.configure(ROUTES)
    while world.nodes["wlg-1"].directory.version < world.version:
        world.run(0.02)
    world.run(0.02)
    assert world.nodes["akl-1"].directory.version == world.version - 1
    first = world.ask("akl-1", "/read/q", key=OTHER, attempt="first")
    world.run(0.1)
    assert first.status == 503
    assert world.runs_of("first") == []
    assert ask(world, "akl-1", key=OTHER).status == 200


def test_a_peer_that_is_ahead_is_asked_seldom_however_many_callers_wait():
    world = build()
    directory = world.nodes["akl-1"].directory
    pulls = []
    send = directory._links.send
    directory._links.send = lambda name, frame: pulls.append(frame) or send(name, frame)
    for _ in range(50):
        directory.on_peer_version("wlg-1", directory.version + 1)
        world.ask("akl-1", "/read/q", key=OTHER)
        world.run(0.02)
    assert 1 <= sum(isinstance(frame, node_frames.TablePull) for frame in pulls) <= 3


def test_unknown_keys_cause_no_calls_to_the_store():
    def calls(count):
        world = build()
        before = sum(world.server.calls.values())
        for _ in range(100):
            for _ in range(count):
                world.ask("akl-1", "/read/q", key=OTHER)
            world.run(0.05)
        return sum(world.server.calls.values()) - before

    assert calls(10) == calls(0)


@pytest.mark.parametrize("path", ["/read/q", "/search/q"])
def test_home_regions_of_a_workspace_bind(path):
    world = build(listed(homes=("akl", "wlg")))
    for name in world.nodes:
        attempt = f"q-{name}"
        assert ask(world, name, path, NORTH, attempt).status == 200
        assert test_home_regions.halls_of(world, attempt) <= {"akl", "wlg"}


def test_of_home_regions_of_route_and_workspace_both_bind():
    world = build([documents.workspace("north", NORTH, homes=("chc",)), *listed()[1:]])
    reply = ask(world, "akl-1", "/home/q", NORTH, "q")
    assert reply.status == 503
    assert reply.seconds < AT_ONCE
    assert world.runs_of("q") == []
    assert ask(world, "akl-1", "/home/q", SOUTH).status == 200


def test_a_split_route_is_divided_over_all_workspaces_together():
    split = {
        **test_forwarding.READ,
        "WeightedSplit": [{"Service": "shelf", "Weight": 1}, {"Service": "desk", "Weight": 1}],
    }
    world = build(listed(priority=0))
    for hall in deployment.HALLS:
        world.add_target("desk", hall)
    world.configure([split])
    world.run(4.0)
    for number in range(20):
        ask(world, "akl-1", "/read/q", (NORTH, SOUTH)[number % 2], f"q{number}")
    services = [world.targets[run.target].service for run in world.runs if run.path == "/read/q"]
    assert services.count("shelf") == services.count("desk") == 10


def test_a_suspect_request_is_known_by_its_workspace_whatever_its_key():
    world = build(listed(north=(NORTH, OTHER)))
    seen = {}
    for key in (NORTH, OTHER, SOUTH):
        with structlog.testing.capture_logs() as lines:
            ask(world, "akl-1", key=key)
            # Lines on requests that went well are few.
            world.run(3.0)
        seen[key] = next(line["content"] for line in lines if line["event"] == "request")
    assert seen[NORTH] == seen[OTHER]
    assert seen[NORTH] != seen[SOUTH]


class _Connection:
    """A caller's connection that stays open."""

    def __init__(self, world, name):
        self.statuses = []
        self._world = world
        self._sent = []
        caller = world.network.host("10.250.0.1")
        outer = self

        class Caller(deployment.client_connection.ClientConnection):
            def __init__(self):
                super().__init__(world.clock.seconds, lambda connection: None)

            def connectionMade(self):  # noqa: N802
                super().connectionMade()
                outer.end = self

        factory = deployment.protocol.ClientFactory.forProtocol(Caller)
        caller.connectTCP(world.address_of(name), deployment.CALLER_PORT, factory, timeout=5)
        world.run(0.1)

    def send(self, path, key):
        lines = (f"Authorization: Bearer {key}",)
        attempt = f"open{len(self.statuses)}"
        data = raw(path, *lines, attempt=attempt)
        self.end.send(data, False, lambda found: self.statuses.append(found.status))
