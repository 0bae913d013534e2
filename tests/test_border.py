"""Validation of external input: settings, configuration, requests, responses and signatures."""

from __future__ import annotations

import json

import pytest

from lineworks.decisions import verdict
from lineworks.models import caller_http, configuration, settings, target_http
from lineworks.services import auth

VALID_SETTINGS = {
    "name": "a1",
    "hall": "h",
    "platform": {"url": "http://127.0.0.1:1"},
    "secret": "s",
}


def load(tmp_path, document):
    path = tmp_path / "settings.json"
    path.write_text(document if isinstance(document, str) else json.dumps(document))
    return settings.load(str(path))


def test_valid_settings_load(tmp_path):
    assert load(tmp_path, VALID_SETTINGS).roles == ("front", "gather")


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"nme": "x"}, "nme"),
        ({"caller": {"port": "80"}}, "caller.port"),
        ({"caller": {"port": 70000}}, "caller.port"),
        ({"roles": ["fly"]}, "roles.0"),
        ({"platform": {"url": "ftp://x"}}, "platform.url"),
        ({"secret": None}, "exactly one"),
    ],
)
def test_invalid_settings_name_the_key(tmp_path, change, key):
    with pytest.raises(settings.SettingsError, match=key) as raised:
        load(tmp_path, {**VALID_SETTINGS, **change})
    assert "\n" not in str(raised.value)


def test_unreadable_settings_are_rejected(tmp_path):
    with pytest.raises(settings.SettingsError, match="not JSON"):
        load(tmp_path, "{")
    with pytest.raises(settings.SettingsError, match="No such file"):
        settings.load(str(tmp_path / "none"))


def test_secrets_are_hidden_in_the_repr(tmp_path):
    found = load(tmp_path, {**VALID_SETTINGS, "secret": "very-secret"})
    assert "very-secret" not in repr(found)
    assert found.shared_secret() == b"very-secret"


def service(**more):
    target = {"name": "t", "hall": "h", "port": 1}
    return {"layouts": {"base": ["x"]}, "targets": [target], **more}


@pytest.mark.parametrize(
    ("file", "path"),
    [
        ({"services": {"s": service(label={})}}, "services.s.label"),
        ({"services": {"s": {"layouts": {}, "targets": []}}}, "services.s.layouts"),
        ({"services": {"s": {"layouts": {"base": ["x", "x"]}, "targets": []}}}, "twice"),
        ({"selectors": {"q": {"group": {}}}}, "selectors.q.group"),
        ({"selectors": {"q": {"group": {"a": "b"}, "policy": {"min_coverage": 2}}}}, "min_cov"),
    ],
)
def test_invalid_configuration_names_the_path(file, path):
    with pytest.raises(configuration.ConfigurationError, match=path):
        configuration.parse_file(json.dumps(file))


def build(file):
    items = configuration.parse_file(json.dumps(file)).items()
    return configuration.build({k: v for k, v in items.items() if v is not None}, 1, "d")


def test_ambiguous_selectors_are_rejected():
    first = {"match": {"kind": "x"}, "group": {"a": "b"}}
    second = {"match": {"class": "c"}, "group": {"a": "b"}}
    with pytest.raises(configuration.ConfigurationError, match="ambiguous"):
        build({"selectors": {"one": first, "two": second}})
    assert build({"selectors": {"one": first, "two": {**second, "match": {"kind": "y"}}}})


def test_a_target_name_is_unique_across_services():
    with pytest.raises(configuration.ConfigurationError, match="target 't' is also in"):
        build({"services": {"s": service(), "r": service(layouts={"base": ["y"]})}})


@pytest.mark.parametrize(
    ("body", "field"),
    [
        ({"deadline_ms": 0}, "deadline_ms"),
        ({"deadline_ms": "soon"}, "deadline_ms"),
        ({"min_coverage": 1.5}, "min_coverage"),
        ({"extra": 1}, "extra"),
        ({"fields": {"a": 1}}, "fields.a"),
    ],
)
def test_invalid_searches_name_the_field(body, field):
    with pytest.raises(caller_http.RequestError) as raised:
        caller_http.parse(caller_http.SearchBody, json.dumps(body).encode(), 1000)
    assert raised.value.field == field


def test_oversized_and_malformed_bodies_are_rejected():
    with pytest.raises(caller_http.RequestError, match="larger than 10 bytes"):
        caller_http.parse(caller_http.SearchBody, b" " * 11, 10)
    with pytest.raises(caller_http.RequestError):
        caller_http.parse(caller_http.SearchBody, b"{", 10)


def test_every_reason_maps_to_an_http_error_status():
    for reason in verdict.Reason:
        status = caller_http.status_of(verdict.not_run(reason))
        assert 400 <= status < 600
    assert caller_http.status_of(verdict.OK) == 200


def test_an_error_response_means_not_run_only_if_the_target_declares_it():
    declared = target_http.read_outcome(503, {target_http.NOT_RUN: "overloaded"}, b"")
    assert declared.verdict.is_not_run
    undeclared = target_http.read_outcome(503, {}, b"")
    assert undeclared.verdict.certainty is verdict.Certainty.RAN
    malformed = target_http.read_outcome(200, {target_http.SNAPSHOT: "junk"}, b"")
    assert malformed.verdict.certainty is verdict.Certainty.MAY_HAVE_RUN


def test_a_signed_request_cannot_be_replayed():
    verifier = auth.SignatureVerifier(b"s")
    header = auth.sign(b"s", "POST", "/v1/x", b"body", 100.0)
    verifier.verify(header, "POST", "/v1/x", b"body", 101.0)
    with pytest.raises(auth.AuthenticationError, match="seen before"):
        verifier.verify(header, "POST", "/v1/x", b"body", 101.0)


@pytest.mark.parametrize(
    ("method", "path", "body", "now"),
    [
        ("GET", "/v1/x", b"body", 100.0),
        ("POST", "/v1/y", b"body", 100.0),
        ("POST", "/v1/x", b"other", 100.0),
        ("POST", "/v1/x", b"body", 100.0 + auth.MAX_SKEW_SECONDS + 1),
    ],
)
def test_requests_with_invalid_or_outdated_signatures_are_rejected(method, path, body, now):
    header = auth.sign(b"s", "POST", "/v1/x", b"body", 100.0)
    with pytest.raises(auth.AuthenticationError):
        auth.SignatureVerifier(b"s").verify(header, method, path, body, now)
    with pytest.raises(auth.AuthenticationError):
        auth.SignatureVerifier(b"other").verify(header, "POST", "/v1/x", b"body", 100.0)
    with pytest.raises(auth.AuthenticationError):
        auth.SignatureVerifier(b"s").verify(None, "POST", "/v1/x", b"body", 100.0)


@pytest.mark.parametrize("name", ["workspace", "tenant"])
def test_the_workspace_is_accepted_under_its_current_and_its_former_name(name):
    body = json.dumps({name: "choir"}).encode()
    found = caller_http.parse(caller_http.SearchBody, body, 1000)
    assert found.workspace == "choir"
    assert found.selector_fields()["workspace"] == "choir"
    assert found.selector_fields()["tenant"] == "choir"


def test_a_workspace_under_both_names_is_rejected():
    body = json.dumps({"workspace": "choir", "tenant": "band"}).encode()
    with pytest.raises(caller_http.RequestError):
        caller_http.parse(caller_http.SearchBody, body, 1000)
