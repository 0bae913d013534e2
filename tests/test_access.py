"""Authorization of requests: which workspace they run for, and when a refusal is conclusive."""

from __future__ import annotations

import dataclasses

import pytest

from lineworks.decisions import access, routes, verdict, workspaces

FRESH = access.ConfigurationFreshness(0.5)
OLD = access.ConfigurationFreshness(60.0)
OUTDATED = access.ConfigurationFreshness(0.5, is_outdated=True)
LENIENT = access.RevocationPolicy()
STRICT = access.RevocationPolicy(is_strict=True, seconds=5.0)
KNOWN = b"key-of-north"
UNKNOWN = b"key-of-nobody"


def route(name="read", is_public=False, priority=3, homes=routes.ANY_REGION):
    return routes.Route(
        name=name,
        host="x.example",
        prefix=f"/{name}/",
        is_repeatable=True,
        timeout=2.0,
        slo=0.2,
        max_attempts=2,
        priority=priority,
        split=(routes.WeightedService("shelf", 1.0),),
        homes=homes,
        is_public=is_public,
    )


def table(*listed, priority=None, homes=routes.ANY_REGION):
    north = workspaces.Workspace("north", priority, homes=homes)
    found = workspaces.Workspaces([(north, [KNOWN.decode()])])
    return routes.RouteTable(1, listed, [], routes.CallerLimits(), found)


def judge(key, is_public=False, freshness=FRESH, revocation=LENIENT):
    asked = route(is_public=is_public)
    return access.judge(table(asked), asked, key, freshness, revocation)


@pytest.mark.parametrize("revocation", [LENIENT, STRICT])
@pytest.mark.parametrize("freshness", [FRESH, OLD, OUTDATED])
@pytest.mark.parametrize("key", [None, UNKNOWN])
def test_every_request_is_served_if_no_workspaces_are_configured(key, freshness, revocation):
    asked = route()
    found = routes.RouteTable(1, [asked], [], routes.CallerLimits())
    served = access.judge(found, asked, key, freshness, revocation)
    assert served == access.AccessDecision(asked)
    assert served.route is asked


@pytest.mark.parametrize(
    ("key", "is_public", "freshness", "revocation", "name", "reason"),
    [
        (KNOWN, False, FRESH, LENIENT, "north", None),
        (KNOWN, False, OLD, LENIENT, "north", None),
        (KNOWN, False, OUTDATED, LENIENT, "north", None),
        (KNOWN, False, FRESH, STRICT, "north", None),
        (KNOWN, False, access.ConfigurationFreshness(5.0), STRICT, "north", None),
        (
            KNOWN,
            False,
            access.ConfigurationFreshness(5.01),
            STRICT,
            "north",
            verdict.Reason.KEY_UNSURE,
        ),
        (KNOWN, True, FRESH, LENIENT, "north", None),
        (KNOWN, True, OLD, STRICT, "north", None),
        (None, True, OLD, STRICT, None, None),
        (UNKNOWN, True, FRESH, LENIENT, None, None),
        (UNKNOWN, True, OLD, STRICT, None, None),
        (UNKNOWN, False, FRESH, LENIENT, None, verdict.Reason.UNKNOWN_KEY),
        (UNKNOWN, False, FRESH, STRICT, None, verdict.Reason.UNKNOWN_KEY),
        (UNKNOWN, False, OLD, LENIENT, None, verdict.Reason.KEY_UNSURE),
        (UNKNOWN, False, OUTDATED, LENIENT, None, verdict.Reason.KEY_UNSURE),
        (None, False, FRESH, LENIENT, None, verdict.Reason.UNKNOWN_KEY),
        (None, False, OLD, LENIENT, None, verdict.Reason.KEY_UNSURE),
        (b"", False, FRESH, LENIENT, None, verdict.Reason.UNKNOWN_KEY),
    ],
)
def test_decision_by_key_route_freshness_and_revocation_policy(
    key, is_public, freshness, revocation, name, reason
):
    found = judge(key, is_public, freshness, revocation)
    assert (found.workspace.name if found.workspace else None) == name
    assert (found.refusal.reason if found.refusal else None) == reason
    assert found.refusal is None or found.refusal.is_not_run


def test_an_unknown_key_is_conclusive_only_while_the_configuration_is_recent():
    recent = access.ConfigurationFreshness(access.MAX_CONCLUSIVE_AGE_SECONDS)
    assert judge(UNKNOWN, freshness=recent).refusal.reason is verdict.Reason.UNKNOWN_KEY
    older = access.ConfigurationFreshness(access.MAX_CONCLUSIVE_AGE_SECONDS + 0.01)
    assert judge(UNKNOWN, freshness=older).refusal.reason is verdict.Reason.KEY_UNSURE


@pytest.mark.parametrize(("own", "expected"), [(None, 3), (0, 0), (7, 7)])
def test_a_workspace_priority_overrides_the_route_priority(own, expected):
    asked = route(priority=3)
    found = access.judge(table(asked, priority=own), asked, KNOWN, FRESH, LENIENT)
    assert found.route.priority == expected


@pytest.mark.parametrize(
    ("of_route", "of_workspace", "expected"),
    [
        ((), (), routes.ANY_REGION),
        (("akl",), (), {"akl"}),
        ((), ("akl",), {"akl"}),
        (("akl", "wlg"), ("wlg", "chc"), {"wlg"}),
        (("akl",), ("chc",), routes.NO_REGION),
    ],
)
def test_home_regions_of_route_and_workspace_are_intersected(of_route, of_workspace, expected):
    asked = route(homes=frozenset(of_route))
    known = table(asked, homes=frozenset(of_workspace))
    found = access.judge(known, asked, KNOWN, FRESH, LENIENT)
    assert found.route.homes == expected


def test_the_route_of_a_workspace_is_cached_and_keeps_its_name():
    listed = [route("read"), route("write")]
    known = table(*listed, priority=1)
    first = access.judge(known, listed[0], KNOWN, FRESH, LENIENT).route
    again = access.judge(known, listed[0], KNOWN, FRESH, LENIENT).route
    other = access.judge(known, listed[1], KNOWN, FRESH, LENIENT).route
    assert first is again
    assert (first.name, other.name) == ("read", "write")


def test_routes_with_the_same_name_are_cached_separately_for_a_workspace():
    first, second = route("one"), dataclasses.replace(route("two"), name="one")
    found = table(first, second)
    for asked in (first, second):
        answer = access.judge(found, asked, KNOWN, FRESH, LENIENT)
        assert answer.route.prefix == asked.prefix
