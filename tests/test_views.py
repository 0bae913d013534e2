"""The cluster view: owners of each data hall's targets, held snapshots, delays and weights."""

from __future__ import annotations

import pytest

from lineworks.decisions import catalog
from lineworks.engine import views
from tests import builders

HELD_SNAPSHOTS = frozenset({catalog.Snapshot(1, "base")})
SNAPSHOT = catalog.Snapshot(1, "base")
DELAYS = {"h1": 0.0005, "h2": 0.008, "h3": 0.020}


@pytest.fixture
def service():
    return builders.service("s", halls=("h1", "h2"))


@pytest.fixture
def view(service):
    view = views.ClusterView("a1", "h1", lambda hall: DELAYS[hall])
    view.set_config(catalog.Catalog(1, "d", {"s": service}, ()), {"kiosk": 4.0})
    view.set_members({"a2": "h1", "b1": "h2", "b2": "h2"})
    for name in ("a1", "a2", "b1", "b2"):
        view.set_holdings(name, {"s": HELD_SNAPSHOTS})
    return view


def test_owners_are_instances_in_the_hall_of_the_targets(view, service):
    paths = {path.hall: set(path.owners) for path in view.paths(service, SNAPSHOT)}
    assert paths == {"h1": {"a1", "a2"}, "h2": {"b1", "b2"}}
    assert {target.hall for target in view.owned_targets()} == {"h1"}


def test_hall_without_instances_is_served_by_the_nearest_hall(view, service):
    view.set_members({"a2": "h1", "c1": "h3"})
    assert set(view.hall_owners(service, "h2")) == {"a1", "a2"}
    assert {target.hall for target in view.owned_targets()} == {"h1", "h2"}


def test_paths_exclude_owners_that_lack_the_snapshot(view, service):
    view.set_holdings("b1", {"s": frozenset()})
    view.drop_holdings("b2")
    assert [path.hall for path in view.paths(service, SNAPSHOT)] == ["h1"]
    assert view.paths(service, catalog.Snapshot(2, "base")) == []


def test_held_snapshots_are_the_union_over_live_members(view):
    view.set_holdings("b1", {"s": HELD_SNAPSHOTS | {catalog.Snapshot(2, "base")}})
    assert view.held_snapshots("s") == HELD_SNAPSHOTS | {catalog.Snapshot(2, "base")}
    view.set_members({"a2": "h1", "b2": "h2"})
    assert view.held_snapshots("s") == HELD_SNAPSHOTS


def test_delay_to_an_instance_and_weight_of_a_class(view):
    assert view.delay_to("a1") == 0.0
    assert view.delay_to("b1") == DELAYS["h2"]
    assert view.class_weight("kiosk") == 4.0
    assert view.class_weight("other") == 1.0
