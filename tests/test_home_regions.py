"""Requests of routes with home regions reach only targets and gatherers in those regions."""

from __future__ import annotations

import json

import pytest

from lineworks.platform import configuration
from tests import test_forwarding

HOME = {**test_forwarding.READ, "Name": "home", "PathPrefix": "/home/", "AllowedRegions": ["akl"]}
HOME_BILL = {**HOME, "Name": "homebill", "PathPrefix": "/homebill/", "RouteType": "non_idempotent"}
HOME_SEARCH = {
    **test_forwarding.SEARCH,
    "Name": "homesearch",
    "PathPrefix": "/homesearch/",
    "AllowedRegions": ["akl", "wlg"],
}
ROUTES = [HOME, HOME_BILL, HOME_SEARCH, test_forwarding.SEARCH]


def build(work=lambda: 0.03, routes=ROUTES):
    world = test_forwarding.build(work)
    world.configure(routes)
    world.run(2.5)
    return world


def halls_of(world, attempt):
    return {world.targets[run.target].hall for run in world.runs_of(attempt)}


def record_gatherer_queries(world):
    """Record, for every gatherer query, the gatherer's data hall and the attempt."""
    asked = []
    for name, node in world.nodes.items():
        own = node._gatherer.on_query

        def on_query(origin, query, reply, own=own, name=name):
            asked.append((name.partition("-")[0], query.attempt.decode()))
            own(origin, query, reply)

        node._gatherer.on_query = on_query
    return asked


@pytest.mark.parametrize(("path", "method"), [("/home/q", "GET"), ("/homebill/q", "POST")])
def test_a_request_reaches_a_target_in_its_home_region_whichever_instance_gets_it(path, method):
    world = build()
    for name in world.nodes:
        reply = world.ask(name, path, method, attempt=f"q-{name}")
        world.run(1.0)
        assert reply.status == 200
        assert halls_of(world, f"q-{name}") == {"akl"}


def test_a_search_and_its_gatherers_stay_in_the_home_regions():
    world = build()
    asked = record_gatherer_queries(world)
    for name in world.nodes:
        reply = world.ask(name, "/homesearch/q", attempt=f"q-{name}")
        world.run(1.0)
        assert test_forwarding.check_search(world, reply, f"q-{name}") == 0
        assert halls_of(world, f"q-{name}") <= {"akl", "wlg"}
    assert {hall for hall, _ in asked} == {"akl", "wlg"}


def test_hedges_stay_in_the_home_regions():
    world = build()
    for target in world.targets.values():
        if target.hall in ("akl", "wlg"):
            target.work = lambda: 5.0
    for path in ("/home/q", "/homesearch/q"):
        reply = world.ask("chc-1", path, attempt=path)
        world.run(3.0)
        assert reply.status != 200
        assert halls_of(world, path) <= {"akl", "wlg"}


def test_retries_stay_in_the_home_region():
    world = build()
    for target in test_forwarding.targets_of(world, "shelf"):
        if target.hall == "akl":
            target.host.kill()
    reply = world.ask("wlg-1", "/home/q", attempt="q")
    world.run(3.0)
    assert reply.status == 503
    assert not world.runs_of("q")


@pytest.mark.parametrize(
    ("path", "method"), [("/home/q", "GET"), ("/homebill/q", "POST"), ("/homesearch/q", "GET")]
)
def test_without_a_target_in_the_home_regions_a_request_is_refused_at_once_as_not_run(path, method):
    world = build()
    for target in world.targets.values():
        if target.hall in ("akl", "wlg"):
            world.withdraw(target)
    world.run(3.0)
    reply = world.ask("chc-1", path, method, attempt="q")
    world.run(1.0)
    assert reply.status == 503
    assert reply.seconds < 0.01
    assert float(reply.headers["retry-after"]) > 0
    assert not world.runs_of("q")


def test_changed_home_regions_apply_to_later_requests():
    world = build()
    moved = {**HOME, "AllowedRegions": ["chc"]}
    world.configure([moved, HOME_BILL, HOME_SEARCH])
    world.run(3.0)
    for name in world.nodes:
        reply = world.ask(name, "/home/q", attempt=f"q-{name}")
        world.run(0.5)
        assert reply.status == 200
        assert halls_of(world, f"q-{name}") == {"chc"}


def test_an_unknown_home_region_matches_no_target():
    world = build(routes=[{**HOME, "AllowedRegions": ["nowhere"]}])
    reply = world.ask("akl-1", "/home/q", attempt="q")
    world.run(1.0)
    assert reply.status == 503
    assert not world.runs_of("q")


def test_a_trial_of_a_suspect_stays_in_the_home_region():
    world = build()
    shelf = test_forwarding.targets_of(world, "shelf")
    for target in shelf:
        target.is_fatal = lambda run, target=target: target.hall == "akl"
    for number in range(8):
        world.ask("chc-1", "/home/q", attempt=f"q{number}")
        world.run(1.0)
    reached = [run for run in world.runs if run.attempt.startswith("q")]
    assert reached
    assert {world.targets[run.target].hall for run in reached} == {"akl"}


@pytest.mark.parametrize("homes", ["akl", [1], [""], {"akl": 1}])
def test_a_configuration_with_home_regions_of_a_wrong_type_is_refused(homes):
    document = b'{"ConfigVersion": 1, "Services": [], "Routing": [%s]}'
    route = json.dumps({**HOME, "Hostname": "x", "TimeoutMs": 10, "AllowedRegions": homes})
    with pytest.raises(configuration.ConfigurationError, match="AllowedRegions"):
        configuration.decode(document % route.encode())
