"""Whatever stands in the store, its decoders raise no error but their own, and each row counts."""

from __future__ import annotations

import base64
import json

import hypothesis
import pytest
from hypothesis import strategies

from lineworks.decisions import positions
from lineworks.http1 import server_connection
from lineworks.platform import configuration, store, target_entries
from lineworks.platform.standins import documents
from tests import odd_values, test_foreign_entries, test_forwarding, test_store

ENTRY = test_foreign_entries.GOOD
WORKSPACE = {"Name": "w", "ApiKeys": ["k"], "RatePerS": 1.5, "Burst": 2, "AllowedRegions": ["akl"]}
PARTS = [{"Service": "shelf", "Weight": 1}, {"Service": "s01", "Weight": 2.5}]
CONFIGURATION = {
    "ConfigVersion": 5,
    "Routing": [
        {**test_forwarding.SEARCH, "Hostname": "x.example", "TimeoutMs": 500},
        {"Name": "r", "Hostname": "x.example", "PathPrefix": "/", "TimeoutMs": 5, "Public": True,
         "WeightedSplit": PARTS},
    ],
    "Services": [{"Name": "shelf", "MaxConns": 25, "WarmupS": 1.0, "WarmupPerS": 2.0}],
    "Limits": {"HeaderBytes": 4096, "BodyBytes": 1, "HeaderMs": 3000, "IdleMs": 15000},
    "Tenants": [WORKSPACE],
}  # fmt: skip
ROW = {"PrivateKey": "servers/i-1", "Value": "e30=", "Revision": 7, "Created": 6, "LeaseId": 0}
LISTING = {"items": [ROW, {**ROW, "PrivateKey": "b"}], "HasMore": False, "AtRev": 9}
REMOVED = {"PrivateKey": "c", "Revision": 8, "Compacted": True}
EVENTS = {"events": [ROW, REMOVED], "AtRev": 9}


@hypothesis.given(odd_values.documents(ENTRY))
def test_any_entry_is_decoded_or_refused(data):
    try:
        entry = target_entries.decode("servers/i-1", data)
    except target_entries.EntryError as error:
        assert len(str(error)) < 500
        return
    assert 0 < entry.port < 65536


DECODERS = {
    "entry": (ENTRY, lambda data: target_entries.decode("servers/i-1", data)),
    "configuration": (CONFIGURATION, configuration.decode),
}


@pytest.mark.parametrize("name", list(DECODERS))
def test_every_odd_value_at_every_place_is_decoded_or_refused(name):
    valid, decode = DECODERS[name]
    for path in odd_values.places(valid):
        for text in odd_values.ODD_JSON:
            try:
                decode(odd_values.with_odd(valid, path, text))
            except (target_entries.EntryError, configuration.ConfigurationError):
                continue


@hypothesis.given(strategies.text())
def test_any_key_of_an_entry_is_decoded_or_refused(key):
    try:
        target_entries.decode(f"servers/{key}", json.dumps(ENTRY).encode())
    except target_entries.EntryError as error:
        assert len(str(error)) < 500


@hypothesis.given(odd_values.documents(CONFIGURATION))
def test_any_configuration_is_decoded_or_refused(data):
    try:
        configuration.decode(data)
    except configuration.ConfigurationError as error:
        assert len(str(error)) < 5000


def answer_of(document):
    """Return a world whose store answers every call with given bytes."""
    world = test_store.World()
    world.server.factory.on_request = lambda request, answer: answer(
        server_connection.Answer(200, [(b"Store-Era", b"1")], document)
    )
    return world


CALLS = {
    "get": (ROW, lambda client: client.get("a")),
    "list": (LISTING, lambda client: client.list_items("")),
    "watch": (EVENTS, lambda client: client.watch("", positions.Position(1, 3), 0.0)),
    "write": ({"Revision": 5}, lambda client: client.transact([])),
    "lease": ({"LeaseId": 5, "TtlMs": 100}, lambda client: client.grant_lease(1.0)),
}


@pytest.mark.parametrize("name", list(CALLS))
@hypothesis.settings(max_examples=60)
@hypothesis.given(data=strategies.data())
def test_any_answer_of_the_store_is_decoded_or_a_store_error(name, data):
    valid, call = CALLS[name]
    world = answer_of(data.draw(odd_values.documents(valid)))
    try:
        world.run(call(world.client))
    except store.StoreError as error:
        assert len(str(error)) < 5000


@hypothesis.settings(max_examples=60)
@hypothesis.given(odd_values.near(ROW))
def test_any_row_beside_a_good_one_leaves_the_good_one_readable(row):
    good = json.dumps({**ROW, "PrivateKey": "z"}).encode()
    world = answer_of(b'{"AtRev": 9, "HasMore": false, "items": [' + row + b"," + good + b"]}")
    try:
        listing = world.run(world.client.list_items(""))
    except store.StoreError as error:
        # A row that is no JSON at all makes the whole answer unreadable, so no store sends it.
        assert "no JSON" in str(error)
        return
    assert [item.key for item in listing.items][-1] == "z"
    assert len(listing.items) + len(listing.skipped) == 2


@hypothesis.settings(max_examples=15)
@hypothesis.given(odd_values.documents(ENTRY), strategies.booleans())
def test_any_entry_keeps_no_instance_from_following_the_store(data, is_own_key):
    world = test_forwarding.build()
    target = test_forwarding.targets_of(world, "s00")[0]
    key = documents.target_key(target.name) if is_own_key else "servers/i-odd"
    world.store.write(key, base64.b64encode(data).decode())
    world.run(0.5)
    extra = {**test_forwarding.READ, "Name": "extra", "PathPrefix": "/extra/"}
    world.configure([test_forwarding.SEARCH, test_forwarding.READ, extra])
    leaving = test_forwarding.targets_of(world, "shelf")[0]
    world.announce(leaving, "draining")
    world.add_node("akl-9", "akl")
    world.run(3.0)
    replies = [world.ask(name, path) for name in world.nodes for path in ("/extra/q", "/search/q")]
    world.run(1.0)
    assert {reply.status for reply in replies} == {200}
    assert all(run.target != leaving.name for run in world.runs)
