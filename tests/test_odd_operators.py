"""Odd requests on the operators' port: refused, never an error, and nothing odd is stored."""

from __future__ import annotations

import json
import types

import hypothesis
import pytest
from hypothesis import strategies as st
from twisted.internet import defer, task

from lineworks.decisions import changes
from lineworks.forwarding import suspect_view
from lineworks.models import caller_http
from lineworks.programs import ctl
from lineworks.services import auth, config_store, operator_api
from tests import odd_values

CHANGE = {
    "id": "c1",
    "author": "me",
    "base": 0,
    "file": {"classes": {"c": {"weight": 2.0}}, "services": {"a": None}},
}


@hypothesis.given(odd_values.texts)
def test_any_signature_is_verified_or_refused(text):
    verifier = auth.SignatureVerifier(b"s")
    for header in (text, f"12:{text}:{text}", f"{odd_values.LONG_NUMBER}:a:b", f"{text}:a:b"):
        with pytest.raises(auth.AuthenticationError):
            verifier.verify(header, "GET", "/x", b"", 1.0)


@pytest.mark.parametrize("number", [odd_values.LONG_NUMBER, "9" * 400])
def test_a_signed_time_of_thousands_of_digits_is_refused(number):
    mac = auth._mac(b"s", number, "n", "GET", "/x", b"")
    with pytest.raises(auth.AuthenticationError):
        auth.SignatureVerifier(b"s").verify(f"{number}:n:{mac}", "GET", "/x", b"", 1.0)


class _Store:
    def __init__(self):
        self.heads = []

    async def apply(self, items, base, change_id, author):
        head = changes.extend(changes.EMPTY_HEAD, change_id, author, {"service/a": "x"}, (), "m")
        self.heads.append(config_store.head_to_json(head))
        return config_store.Refused("conflict", "")


def change(body):
    store = _Store()
    api = types.SimpleNamespace(_keeper=types.SimpleNamespace(version=0), _store=store)
    replies = []
    defer.ensureDeferred(operator_api.OperatorApi._change(api, body)).addBoth(replies.append)
    return replies[0], store.heads


@hypothesis.given(odd_values.documents(CHANGE))
def test_any_change_is_refused_or_leads_to_a_head_that_can_be_read(data):
    reply, heads = change(data)
    assert isinstance(reply, caller_http.Reply), reply
    assert reply.status in (400, 409)
    json.dumps(reply.document, ensure_ascii=False).encode()
    for head in heads:
        config_store.head_from_json(head)


@pytest.mark.parametrize("field", ["id", "author"])
@pytest.mark.parametrize("odd", ['"\\ud800"', odd_values.DEEP, odd_values.LONG_NUMBER])
def test_a_change_with_an_odd_text_is_refused(field, odd):
    reply, heads = change(odd_values.with_odd(CHANGE, (field,), odd))
    assert isinstance(reply, caller_http.Reply), reply
    assert (reply.status, heads) == (400, [])


@pytest.mark.parametrize("uri", [b"/v1/status", b"/v1/\xff", b"/v1/\xed\xa0\x80"])
@pytest.mark.parametrize("header", [None, "1:n:\xe9", "\u0663:n:m"])
def test_a_request_with_odd_bytes_is_refused_as_unsigned(uri, header):
    request = types.SimpleNamespace(
        uri=uri,
        method=b"GET",
        content=types.SimpleNamespace(read=lambda size: b""),
        getHeader=lambda name: header,
        setHeader=lambda name, value: None,
        statuses=[],
    )
    request.setResponseCode = request.statuses.append
    api = types.SimpleNamespace(_verifier=auth.SignatureVerifier(b"s"))
    handle = operator_api.OperatorApi._require_signature(api, lambda body: None)
    failures = []
    handle(request).addErrback(failures.append)
    assert (request.statuses, failures) == ([401], [])


@hypothesis.given(st.binary(max_size=80), st.sampled_from([b"GET", b"POST"]))
def test_any_query_about_suspects_is_answered(query, method):
    exchange = types.SimpleNamespace(records=[], lift=lambda content: False)
    for path in (suspect_view.PATH, suspect_view.LIFT_PATH):
        request = types.SimpleNamespace(target=path + b"?content=" + query, method=method)
        assert suspect_view.answer(request, exchange, 0.0).status in (200, 404, 405)


class _Http:
    def __init__(self, content):
        self.content = content

    async def request(self, *arguments, **options):
        async def content():
            return self.content

        return types.SimpleNamespace(code=200, content=content)


ODD_REPLIES = [odd_values.DEEP, odd_values.LONG_NUMBER, "<html>", "[1]", ""]


@pytest.mark.parametrize("text", ODD_REPLIES)
def test_an_odd_reply_is_an_error_of_the_command_line_tool(text):
    client = ctl.Client(task.Clock(), "http://127.0.0.1:1", b"s")
    client._http = _Http(text.encode())
    results = []
    defer.ensureDeferred(client.call("GET", "/v1/status")).addBoth(results.append)
    assert results[0].check(ctl.ReplyError)
