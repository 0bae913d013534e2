"""Routes: the longest prefix, and shares of split routes."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from lineworks.decisions import routes


def route(name, prefix, host="x.example", **more):
    usual = {"is_repeatable": True, "timeout": 1.0, "slo": 0.1, "max_attempts": 2, "priority": 1}
    return routes.Route(name, host, prefix, **{**usual, **more})


def table(*listed):
    return routes.RouteTable(1, listed, (), routes.CallerLimits())


def test_the_longest_prefix_wins_whatever_the_order():
    short, long = route("short", "/a/"), route("long", "/a/b/")
    for listed in ((short, long), (long, short)):
        found = table(*listed)
        assert found.match("x.example", "/a/b/c").name == "long"
        assert found.match("x.example", "/a/bc").name == "short"


def test_hosts_are_apart_and_their_case_does_not_matter():
    found = table(route("one", "/", "one.example"), route("two", "/", "two.example"))
    assert found.match("ONE.example", "/x").name == "one"
    assert found.match("two.example", "/x").name == "two"
    assert found.match("three.example", "/x") is None


def test_a_path_without_a_route_has_none():
    assert table(route("a", "/a/")).match("x.example", "/a") is None


@given(st.lists(st.integers(1, 20), min_size=2, max_size=5), st.integers(1, 400))
def test_every_part_has_its_share_to_within_one_request(weights, requests):
    parts = tuple(routes.WeightedService(f"s{n}", weight) for n, weight in enumerate(weights))
    split = route("split", "/", split=parts)
    turns = routes.WeightedRoundRobin()
    counts = dict.fromkeys((part.service for part in parts), 0)
    for _ in range(requests):
        counts[turns.choose(split)] += 1
    for part in parts:
        share = requests * part.weight / sum(weights)
        assert abs(counts[part.service] - share) <= len(parts)


def test_turns_begin_anew_when_a_route_has_other_parts():
    turns = routes.WeightedRoundRobin()
    old = route("r", "/", split=(routes.WeightedService("a", 1), routes.WeightedService("b", 1)))
    new = route("r", "/", split=(routes.WeightedService("b", 1), routes.WeightedService("c", 1)))
    turns.choose(old)
    turns.forget_absent([new])
    assert {turns.choose(new), turns.choose(new)} == {"b", "c"}
