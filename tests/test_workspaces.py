"""Decoding workspaces: a configuration is accepted or refused as a whole, and no key is shown."""

from __future__ import annotations

import json
import traceback

import hypothesis
import pytest
from hypothesis import strategies

from lineworks.decisions import workspaces
from lineworks.platform import configuration, headers
from lineworks.platform.standins import documents
from tests import test_foreign_entries, test_forwarding

SECRET = "sk-Zq7-do-not-show"
NORTH = {
    "Name": "north",
    "ApiKeys": [SECRET, "second"],
    "Priority": 2,
    "RatePerS": 40,
    "Burst": 12.5,
    "AllowedRegions": ["akl"],
}
ROUTE = {
    "Name": "read",
    "Hostname": "x.example",
    "PathPrefix": "/read/",
    "Service": "shelf",
    "TimeoutMs": 2000,
}


def decode(tenants, route=ROUTE):
    document = {"ConfigVersion": 1, "Routing": [route], "Tenants": tenants}
    return configuration.decode(json.dumps(document).encode())


def test_a_workspace_is_decoded():
    found = decode([NORTH]).workspaces
    expected = workspaces.Workspace(
        "north", 2, workspaces.Quota(40.0, 12.5), homes=frozenset(["akl"])
    )
    assert found.requires_keys
    assert found.all == [expected]
    assert found.find(SECRET.encode()) == found.find(b"second") == expected
    assert found.find(b"third") is None
    assert found.find(b"") is None


@pytest.mark.parametrize("rate", [{}, {"RatePerS": 0}, {"RatePerS": 0, "Burst": 5}, {"Burst": 5}])
def test_a_missing_or_zero_rate_means_no_limit(rate):
    (found,) = decode([{"Name": "north", "ApiKeys": ["k"], **rate}]).workspaces.all
    assert found == workspaces.Workspace("north")


def test_a_workspace_may_have_no_keys():
    found = decode([{"Name": "north", "ApiKeys": []}, {"Name": "south"}]).workspaces
    assert found.requires_keys
    assert len(found.all) == 2


@pytest.mark.parametrize("tenants", [None, []])
def test_without_workspaces_no_request_needs_a_key(tenants):
    assert not decode(tenants).workspaces.requires_keys


@pytest.mark.parametrize(
    ("value", "expected"), [({}, False), ({"Public": True}, True), ({"Public": False}, False)]
)
def test_public_routes_are_decoded(value, expected):
    (found,) = decode([], {**ROUTE, **value}).routes
    assert found.is_public is expected


def test_a_route_is_public_only_if_the_value_is_true():
    with pytest.raises(configuration.ConfigurationError, match=r"Routing\.0\.Public"):
        decode([], {**ROUTE, "Public": "yes"})


SOUTH = {"Name": "south", "ApiKeys": ["southern"]}


@pytest.mark.parametrize(
    ("changes", "path"),
    [
        ({"Name": "south"}, r"Tenants\.1\.Name: stands twice"),
        ({"Name": ""}, r"Tenants\.1\.Name"),
        ({"Name": "a\r\nX-Y: z"}, r"Tenants\.1\.Name"),
        ({"Name": " a"}, r"Tenants\.1\.Name"),
        ({"Name": "\ud800"}, r"Tenants\.1\.Name"),
        ({"Name": [SECRET]}, r"Tenants\.1\.Name"),
        ({"ApiKeys": ["other", "southern"]}, r"Tenants\.1\.ApiKeys\.1: stands twice"),
        ({"ApiKeys": [SECRET, "x", SECRET]}, r"Tenants\.1\.ApiKeys\.2: stands twice"),
        ({"ApiKeys": [SECRET, ""]}, r"Tenants\.1\.ApiKeys\.1: empty"),
        ({"ApiKeys": [SECRET, 5]}, r"Tenants\.1\.ApiKeys\.1"),
        ({"ApiKeys": [f"{SECRET}\n"]}, r"Tenants\.1\.ApiKeys\.0"),
        ({"ApiKeys": [f"{SECRET}\ud800"]}, r"Tenants\.1\.ApiKeys\.0"),
        ({"ApiKeys": [f" {SECRET}"]}, r"Tenants\.1\.ApiKeys\.0"),
        ({"ApiKeys": SECRET}, r"Tenants\.1\.ApiKeys"),
        ({"ApiKeys": {"0": SECRET}}, r"Tenants\.1\.ApiKeys"),
        ({"ApiKeys": [[SECRET]]}, r"Tenants\.1\.ApiKeys\.0"),
        ({"RatePerS": -1}, r"Tenants\.1\.RatePerS"),
        ({"RatePerS": SECRET}, r"Tenants\.1\.RatePerS"),
        ({"RatePerS": True}, r"Tenants\.1\.RatePerS"),
        ({"Burst": -0.5}, r"Tenants\.1\.Burst"),
        ({"Burst": [SECRET]}, r"Tenants\.1\.Burst"),
        ({"Priority": -1}, r"Tenants\.1\.Priority"),
        ({"Priority": 1.5}, r"Tenants\.1\.Priority"),
        ({"AllowedRegions": SECRET}, r"Tenants\.1\.AllowedRegions"),
        ({"AllowedRegions": [""]}, r"Tenants\.1\.AllowedRegions"),
    ],
)
def test_an_invalid_workspace_is_refused_with_its_path_and_without_its_keys(changes, path):
    with pytest.raises(configuration.ConfigurationError, match=path) as refused:
        decode([SOUTH, {**NORTH, **changes}])
    shown = "".join(traceback.format_exception(refused.value))
    assert SECRET not in str(refused.value)
    assert SECRET not in shown


@pytest.mark.parametrize("tenants", [{"north": NORTH}, SECRET, [SECRET], [[NORTH]], 5])
def test_malformed_workspaces_are_refused_without_being_shown(tenants):
    with pytest.raises(configuration.ConfigurationError, match="Tenants") as refused:
        decode(tenants)
    assert SECRET not in str(refused.value)


def test_an_invalid_workspace_leaves_the_previous_configuration_in_force():
    world = test_forwarding.build()
    world.workspaces = [documents.workspace("north", "a", "a")]
    world.configure([test_forwarding.READ])
    world.run(3.0)
    assert {node.directory.version for node in world.nodes.values()} == {world.version - 1}
    assert test_foreign_entries.statuses(world) == {200}


def test_no_key_appears_in_the_attributes_of_decoded_tables():
    table = decode([NORTH])
    shown = f"{vars(table)} {vars(table.workspaces)} {table.workspaces.all}"
    assert SECRET not in shown


def test_old_and_new_keys_are_both_found_during_rotation():
    rotated = decode([{**NORTH, "ApiKeys": ["new", SECRET]}]).workspaces
    assert rotated.find(b"new") is rotated.find(SECRET.encode())


FIELDS = [*NORTH, "Other"]
PLAIN = test_foreign_entries.VALUES
TENANTS = strategies.lists(
    strategies.dictionaries(
        strategies.sampled_from(FIELDS), PLAIN | strategies.lists(strategies.text(max_size=4))
    ),
    max_size=3,
)


@hypothesis.given(PLAIN | TENANTS)
def test_arbitrary_workspaces_are_decoded_or_refused(tenants):
    try:
        found = decode(tenants).workspaces
    except configuration.ConfigurationError:
        return
    names = [workspace.name for workspace in found.all]
    assert len(set(names)) == len(names)
    for workspace in found.all:
        assert workspace.name.isprintable()
        assert workspace.quota is None or workspace.quota.rate > 0
        assert workspace.quota is None or workspace.quota.burst >= 0
        assert workspace.priority is None or workspace.priority >= 0
    for tenant in tenants or []:
        for key in tenant.get("ApiKeys") or []:
            assert found.find(key.encode()).name == tenant["Name"]


@hypothesis.given(strategies.binary(max_size=30))
def test_arbitrary_credentials_yield_a_key_or_none(value):
    key = headers.read_key(value)
    assert key is None or (key and key == key.strip() and key in value)
    assert decode([NORTH]).workspaces.find(key or b"") is None


@hypothesis.given(
    strategies.text(min_size=1, max_size=12).filter(
        lambda text: text.isprintable() and text == text.strip()
    ),
    strategies.sampled_from([b"Bearer ", b"bearer ", b"  BEARER   "]),
)
def test_every_valid_key_is_found_in_a_header(key, scheme):
    found = decode([{"Name": "north", "ApiKeys": [key]}]).workspaces
    assert found.find(headers.read_key(scheme + key.encode() + b" ")).name == "north"


@pytest.mark.parametrize(
    "value", [None, b"", b"Bearer", b"Bearer ", b"Basic abc", b"abc", b"Bearerabc", b"\xff"]
)
def test_malformed_credentials_yield_no_key(value):
    assert headers.read_key(value) is None
