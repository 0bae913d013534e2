"""Platform adapter: documents decode to the product's types or to an error that names the field."""

from __future__ import annotations

import json
import pathlib
import tomllib

import pytest
import yaml

from lineworks.decisions import access, quota
from lineworks.http1 import client_connection
from lineworks.platform import configuration, headers, settings, target_entries

SETTINGS = """
NodeName: "edge-1"
Ip: "10.1.0.9"
Zone: "hall-a"
Region: "akl"
Zones: {hall-a: "akl", hall-b: "wlg"}
ListenAddrs: {Front: "10.1.0.9:8104", Ready: "10.1.0.9:8108"}
PortRange: [7380, 7395]
TimingBounds: {RetryRatio: 0.2, RetryWindowS: 10, RetrySlack: 54, GraceS: 6}
platform: {Address: "10.200.1.7:8102", form: "kv"}
SomethingNew: 7
"""

ROUTE = {
    "Name": "r",
    "Hostname": "X.example",
    "PathPrefix": "/a/",
    "RouteType": "non_idempotent",
    "TimeoutMs": 1000,
    "SloMs": 111,
    "MaxAttempts": 2,
    "Service": "s",
}


def decode(**changes):
    document = {
        "ConfigVersion": 7,
        "Routing": [{**ROUTE, **changes}],
        "Services": [{"Name": "s", "MaxConns": 26}],
        "Limits": {"HeaderBytes": 10, "BodyBytes": 20, "HeaderMs": 3000, "IdleMs": 15000},
    }
    return configuration.decode(json.dumps(document).encode())


def test_settings_decode_to_the_products_types():
    found = settings.parse(SETTINGS)
    assert (found.name, found.hall, found.region) == ("edge-1", "hall-a", "akl")
    assert found.callers.port == 8104
    assert found.peers.port == 7380
    assert found.allowance.slack == 54
    assert found.stop_seconds == 6
    assert found.memory_bytes == 0


def test_the_memory_of_the_process_is_read_from_its_limits():
    assert settings.parse(SETTINGS + "Limits: {MemoryMb: 152}").memory_bytes == 152_000_000


@pytest.mark.parametrize(
    ("old", "new", "named"),
    [
        ('NodeName: "edge-1"', "", "NodeName"),
        ("10.200.1.7:8102", "nowhere", "platform.Address"),
        ("RetryRatio: 0.2", "RetryRatio: many", "TimingBounds.RetryRatio"),
        ("RetryRatio: 0.2", "QuotaWindowS: 0", "TimingBounds.QuotaWindowS"),
        ("RetryRatio: 0.2", "QuotaExcess: -1", "TimingBounds.QuotaExcess"),
        ("RetryRatio: 0.2", "QuotaSlack: [1]", "TimingBounds.QuotaSlack"),
        ("RetryRatio: 0.2", 'StrictRevoke: "yes"', "TimingBounds.StrictRevoke"),
        ("RetryRatio: 0.2", "RevokeMs: soon", "TimingBounds.RevokeMs"),
        ("[7380, 7395]", "[7380]", "PortRange"),
        ("[7380, 7395]", "[7380, 7380]", "PortRange"),
        ("ListenAddrs:", "Elsewhere:", "ListenAddrs"),
        ('NodeName: "edge-1"', "NodeName: [", "document"),
    ],
)
def test_errors_of_invalid_settings_name_the_field(old, new, named):
    with pytest.raises(settings.SettingsError, match=named):
        settings.parse(SETTINGS.replace(old, new))


def test_bounds_of_quotas_and_revocation_are_optional():
    found = settings.parse(SETTINGS)
    assert found.quota_bound == quota.QuotaBound()
    assert found.revocation == access.RevocationPolicy()
    told = "QuotaWindowS: 4, QuotaExcess: 0.1, QuotaSlack: 20, StrictRevoke: true, RevokeMs: 2500"
    found = settings.parse(SETTINGS.replace("GraceS: 6", told))
    assert found.quota_bound == quota.QuotaBound(4.0, 0.1, 20.0)
    assert found.revocation == access.RevocationPolicy(is_strict=True, seconds=2.5)


def test_missing_settings_raise_an_error():
    with pytest.raises(settings.SettingsError, match="LINEWORKS_SETTINGS"):
        settings.load({})
    with pytest.raises(settings.SettingsError, match="No such file"):
        settings.load({"LINEWORKS_SETTINGS": "nowhere.yaml"})


def test_a_route_to_one_service():
    found = decode()
    route = found.match("x.EXAMPLE", "/a/b")
    assert not route.is_repeatable
    assert (route.timeout, route.slo, route.max_attempts) == (1.0, 0.111, 2)
    assert [part.service for part in route.split] == ["s"]
    assert found.services["s"].connections == 26
    assert found.limits.header_seconds == 3.0


def test_a_route_split_by_weight():
    parts = [{"Service": "a", "Weight": 3}, {"Service": "b", "Weight": 1}]
    route = decode(Service=None, WeightedSplit=parts).match("x.example", "/a/")
    assert [(part.service, part.weight) for part in route.split] == [("a", 3), ("b", 1)]


def test_a_search_route():
    route = decode(Service=None, Fanout=["a", "b"], TopK=5, OldestVersion=0.75).match(
        "x.example", "/a/"
    )
    assert route.is_search
    assert (route.shards, route.top, route.min_coverage) == (("a", "b"), 5, 0.75)


@pytest.mark.parametrize(
    ("changes", "named"),
    [
        ({"Name": ""}, "Routing.0.Name"),
        ({"TimeoutMs": "soon"}, "Routing.0.TimeoutMs"),
        ({"RouteType": "both"}, "RouteType"),
        ({"Service": None}, "Routing.0.Service"),
        ({"Fanout": [1]}, "Routing.0.Fanout"),
    ],
)
def test_errors_of_an_invalid_route_name_the_field(changes, named):
    with pytest.raises(configuration.ConfigurationError, match=named):
        decode(**changes)


@pytest.mark.parametrize("data", [b"", b"[]", b"\xff", b'{"Routing": []}'])
def test_a_document_that_is_not_a_configuration_is_rejected(data):
    with pytest.raises(configuration.ConfigurationError):
        configuration.decode(data)


def test_decoding_a_target_entry():
    text = {
        "Service": "s",
        "Address": "10.1.2.3:80",
        "Zone": "hall-a",
        "ConfigVersion": "v1",
        "Capacity": 2,
        "State": "draining",
        "WarmupLeftMs": 10,
        "CallSeq": 4,
    }
    found = target_entries.decode("servers/i-1", json.dumps(text).encode())
    assert (found.id, found.host, found.port) == ("i-1", "10.1.2.3", 80)
    assert found.is_leaving
    assert found.is_cold
    with pytest.raises(target_entries.EntryError, match=r"servers/i-1: Address"):
        target_entries.decode("servers/i-1", json.dumps({**text, "Address": "x"}).encode())


def test_parsing_time_budgets():
    assert headers.read_budget(b"500") == 0.5
    assert headers.read_budget(None) is None
    assert headers.read_budget(b"-1") is None
    assert headers.read_budget(b"99999999") == 600
    assert headers.read_budget(b"9" * 5000) == 600
    assert headers.read_budget(b"0" * 5000 + b"500") == 0.5


def test_headers_that_differ_between_targets():
    lines = headers.write_target_fields("i-1", 0.25)
    assert lines == b"X-Time-Budget: 250\r\nX-Expect-Instance: i-1\r\n"
    assert b": 1\r\n" in headers.write_target_fields("i-1", -3)


def test_parsing_load_reports():
    assert headers.read_load({b"x-server-load": b"3,0,8"}) == headers.LoadReport(3, 0)
    for bad in (b"", b"3", b"a,b,c", b"-1,0,2"):
        assert headers.read_load({b"x-server-load": bad}) is None


def test_answers_that_state_that_the_request_has_not_run():
    assert headers.is_not_run(503, {b"x-not-executed": b"1"})
    assert headers.is_not_run(421, {})
    assert not headers.is_not_run(503, {})
    response = client_connection.Response(200, [(b"a", b"1"), (b"a", b"2")], b"")
    assert response.headers[b"a"] == b"2"


def test_settings_decode_equally_from_json_and_yaml():
    document = json.dumps(yaml.safe_load(SETTINGS))
    assert settings.parse(document) == settings.parse(SETTINGS)


def test_the_settings_template_writes_all_fields_as_json():
    root = pathlib.Path(__file__).parents[1]
    role = tomllib.loads((root / "deploy" / "system.toml").read_text())["roles"]["node"]
    assert (root / role["template"]).read_text().strip() == "{{.|json}}"


def test_settings_that_are_neither_json_nor_yaml_are_rejected():
    with pytest.raises(settings.SettingsError, match=r"\(document\)"):
        settings.parse("{: [")
