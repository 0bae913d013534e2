"""Odd values of the configuration, claims and members in the store, and of what peers send."""

from __future__ import annotations

import json

import hypothesis
import pytest

from lineworks.decisions import changes, claims, positions, verdict
from lineworks.models import configuration
from lineworks.platform import store_items
from lineworks.services import config_store, platform_client
from lineworks.wire import frames
from tests import odd_values, test_claims, test_configuration_spread

HEAD = changes.extend(changes.EMPTY_HEAD, "c1", "me", {"service/a": "x"}, ("class/b",), "m")
HEAD_DOCUMENT = json.loads(config_store.head_to_json(HEAD))
TRANSFER = {"head": HEAD_DOCUMENT, "is_whole": True, "items": {"class/a": "{}"}}
BUCKET = [["k", "n", "a", "f", 99.0], ["k2", "n2", "a", "f", 99.0]]


@hypothesis.given(odd_values.documents(HEAD_DOCUMENT))
def test_any_head_is_refused_or_can_be_compared(data):
    try:
        head = configuration.parse_head(data)
    except configuration.ConfigurationError as error:
        assert str(error)
        return
    changes.follow(0, "", head)
    changes.follow(1, HEAD.digest, head)
    assert config_store.head_from_json(config_store.head_to_json(head)) == head


@hypothesis.given(odd_values.documents(TRANSFER))
def test_any_transfer_is_refused_or_can_be_compared(data):
    try:
        transfer = configuration.parse_transfer(data)
    except configuration.ConfigurationError:
        return
    changes.follow(0, "", configuration.to_head(transfer.head))
    for text in transfer.items.values():
        changes.content_digest(text)


@hypothesis.given(odd_values.documents({"service/a": "x"}))
def test_any_manifest_is_refused_or_maps_texts(data):
    try:
        text = data.decode()
        manifest = configuration.parse_manifest(text)
    except (UnicodeDecodeError, configuration.ConfigurationError):
        return
    configuration.canonical(manifest).encode()


@hypothesis.given(odd_values.documents(BUCKET))
def test_any_bucket_is_refused_or_takes_another_claim(data):
    own = claims.Claim("k9", "n9", "b", "g", 50.0)
    try:
        text = data.decode()
        merged = claims.merge(text, [own], 1.0)
    except (UnicodeDecodeError, claims.BucketDamagedError, claims.BucketFullError):
        return
    assert merged.won == (own,)
    assert claims.decode_bucket(merged.data)["k9"] == own


@pytest.mark.parametrize("path", [(0, 1), (0, 3), (0, 4)])
@pytest.mark.parametrize("odd", ["null", "[]", "NaN", "-1", str(2**64)])
def test_the_key_of_an_odd_claim_counts_as_taken_and_the_others_are_kept(path, odd):
    own = claims.Claim("k", "n9", "b", "g", 50.0)
    merged = claims.merge(odd_values.with_odd(BUCKET, path, odd).decode(), [own], 1.0)
    assert merged.won == ()
    assert merged.lost["n9"].fingerprint == ""
    assert claims.decode_bucket(merged.data)["k2"] == claims.Claim(*BUCKET[1])


@pytest.mark.parametrize("text", ["{}", "", odd_values.LONG_NUMBER, odd_values.DEEP])
def test_a_claim_in_a_damaged_bucket_is_refused_instead_of_waiting_for_ever(text):
    world = test_claims._World()
    own = test_claims.claim()
    world.platform.write(claims.bucket_key(own.key), text)
    answers = []
    world.writers[0].claim(own, 5.0).addCallback(answers.append)
    world.clock.run_until(6.0)
    assert [type(answer) for answer in answers] == [verdict.Verdict]


class _Store:
    """A store of one value."""

    def __init__(self, value):
        self._item = store_items.Item("k", value, positions.Position(0, 1), 0)
        self.calls = {}

    async def get(self, key):
        return self._item


def test_a_value_that_is_no_text_is_an_error_of_the_platform():
    client = platform_client.PlatformClient(_Store(b"\xff"))
    with pytest.raises(platform_client.PlatformError, match="k: the value is not UTF-8"):
        client.get("k").send(None)


@pytest.mark.parametrize(
    "odd", [odd_values.DEEP, odd_values.LONG_NUMBER, "[]", '{"version":null}', "1e999"]
)
def test_an_odd_head_does_not_end_the_following_of_the_platform(odd):
    world = test_configuration_spread.World()
    world.control.start()
    world.wait(8.0)
    world.apply("first", ["a"])
    good = world.control.platform.values[config_store.HEAD_KEY][0]
    world.control.platform.write(config_store.HEAD_KEY, odd)
    world.wait(8.0)
    world.control.platform.write(config_store.HEAD_KEY, good)
    assert isinstance(world.apply("second", ["b"]), config_store.Accepted)
    world.wait(8.0)
    assert {version for version, _ in world.control.in_force()} == {2}
    for name, instance in world.control.instances.items():
        assert not instance.keeper._task._running.called, name


def test_an_odd_transfer_of_a_peer_closes_its_link_and_raises_nothing():
    world = test_configuration_spread.World()
    keeper = world.control.instances["h1-1"].keeper
    for path, odd in [((), odd_values.DEEP), (("head", "version"), "null"), (("items",), "[]")]:
        link = _Link()
        data = odd_values.with_odd(TRANSFER, path, odd)
        keeper._on_changes(link, frames.ConfigChanges(data))
        assert len(link.reasons) == 1
        assert link.reasons[0].startswith("malformed frame:")


class _Link:
    def __init__(self):
        self.reasons = []

    def close(self, reason):
        self.reasons.append(reason)
