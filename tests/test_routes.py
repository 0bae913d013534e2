"""Routes: longest prefix match and the distribution of split routes."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from lineworks.decisions import routes


def route(name, prefix, host="x.example", **more):
    defaults = {"is_repeatable": True, "timeout": 1.0, "slo": 0.1, "max_attempts": 2, "priority": 1}
    return routes.Route(name, host, prefix, **{**defaults, **more})


def table(*listed):
    return routes.RouteTable(1, listed, (), routes.CallerLimits())


def test_the_longest_prefix_matches_regardless_of_order():
    short, long = route("short", "/a/"), route("long", "/a/b/")
    for listed in ((short, long), (long, short)):
        found = table(*listed)
        assert found.match("x.example", "/a/b/c").name == "long"
        assert found.match("x.example", "/a/bc").name == "short"


def test_hosts_are_separate_and_case_insensitive():
    found = table(route("one", "/", "one.example"), route("two", "/", "two.example"))
    assert found.match("ONE.example", "/x").name == "one"
    assert found.match("two.example", "/x").name == "two"
    assert found.match("three.example", "/x") is None


def test_a_path_without_a_matching_prefix_has_no_route():
    assert table(route("a", "/a/")).match("x.example", "/a") is None


@given(st.lists(st.integers(1, 20), min_size=2, max_size=5), st.integers(1, 400))
def test_every_service_gets_its_share_to_within_one_request_per_service(weights, requests):
    parts = tuple(routes.WeightedService(f"s{n}", weight) for n, weight in enumerate(weights))
    split = route("split", "/", split=parts)
    rotation = routes.WeightedRoundRobin()
    counts = dict.fromkeys((part.service for part in parts), 0)
    for _ in range(requests):
        counts[rotation.choose(split)] += 1
    for part in parts:
        share = requests * part.weight / sum(weights)
        assert abs(counts[part.service] - share) <= len(parts)


def test_the_rotation_restarts_when_the_services_of_a_route_change():
    rotation = routes.WeightedRoundRobin()
    old = route("r", "/", split=(routes.WeightedService("a", 1), routes.WeightedService("b", 1)))
    new = route("r", "/", split=(routes.WeightedService("b", 1), routes.WeightedService("c", 1)))
    rotation.choose(old)
    rotation.forget_absent([new])
    assert {rotation.choose(new), rotation.choose(new)} == {"b", "c"}
