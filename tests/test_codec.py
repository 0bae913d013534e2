"""The peer link's codec: round trips, and arbitrary or damaged input."""

from __future__ import annotations

import dataclasses

import hypothesis
import pytest
from hypothesis import strategies as st

from lineworks.decisions import catalog, evacuations, positions, quota, target_evidence, verdict
from lineworks.engine import messages
from lineworks.wire import codec, frames, node_frames

_text = st.text(st.characters(exclude_categories=("Cs",), exclude_characters="\0"), max_size=20)
_number = st.integers(0, 2**63 - 1)
_snapshot = st.builds(catalog.Snapshot, st.integers(0, 2**40), st.sampled_from(["base", "split"]))
_verdict = st.builds(
    verdict.Verdict,
    st.sampled_from(list(verdict.Certainty)),
    st.sampled_from(list(verdict.Reason)),
    _text,
)
_micros = st.integers(0, 10**9).map(lambda value: value / 1_000_000)
_reply = st.builds(
    messages.ShardReply,
    _number,
    st.integers(0, 2**31),
    _verdict,
    st.none() | _snapshot,
    st.binary(max_size=60),
    _micros,
    _text,
    st.integers(0, 60000),
)


@st.composite
def _sub_queries(draw):
    count = draw(st.integers(1, 6))
    return messages.SubQueries(
        frame=draw(_number),
        query=draw(_text),
        hall=draw(_text),
        snapshot=draw(_snapshot),
        services=tuple(draw(st.lists(_text, min_size=count, max_size=count))),
        shards=tuple(draw(st.lists(_text, min_size=count, max_size=count))),
        body=draw(st.binary(max_size=100)),
        deadline=draw(_micros),
        is_repeatable=draw(st.booleans()),
        needs_snapshot=draw(st.booleans()),
        group=draw(_text),
        hedge_budget=draw(st.sampled_from([0.0, 0.02, 0.05])),
        network_delay=draw(_micros),
    )


@st.composite
def _gather_parts(draw):
    count = draw(st.integers(0, 5))
    failed = draw(st.lists(st.integers(0, 2**16 - 1), max_size=3))
    columns = st.lists(st.integers(0, 2**16 - 1), min_size=count, max_size=count)
    return node_frames.GatherParts(
        number=draw(_number),
        shards=tuple(draw(columns)),
        stamps=tuple(draw(st.lists(_text, min_size=count, max_size=count))),
        records=draw(st.binary(max_size=100)),
        failed=tuple(failed),
        failures=tuple(draw(st.sampled_from(node_frames.Failure)) for _ in failed),
        counts=tuple(draw(columns)) if draw(st.booleans()) else (),
    )


_gather_query = st.builds(
    node_frames.GatherQuery,
    number=_number,
    services=st.lists(_text, min_size=1, max_size=5).map(tuple),
    head=st.binary(max_size=100),
    body=st.binary(max_size=100),
    attempt=st.binary(max_size=20),
    top=st.integers(0, 1000),
    floor=st.binary(max_size=16),
    deadline=_micros,
    flush_at=_micros,
    is_fair=st.booleans(),
    workspace=_text,
    has_quota=st.booleans(),
    priority=st.integers(-3, 1000),
    due=_micros,
)

_position = st.builds(positions.Position, _number, _number)
_evacuation = st.builds(evacuations.EvacuationChange, _text, _position, st.booleans())
_names = st.lists(_text, max_size=5).map(tuple)
_observation = st.builds(
    target_evidence.Observation,
    _text,
    st.sampled_from(target_evidence.Kind),
    st.integers(0, 600).map(float),
)

_frame = st.one_of(
    _gather_query,
    _gather_parts(),
    st.builds(
        node_frames.GatherCancel,
        _number,
        st.lists(st.integers(0, 2**16 - 1), max_size=5).map(tuple),
    ),
    st.builds(
        node_frames.TargetUpdate,
        _position,
        _position,
        _micros,
        st.binary(max_size=50),
        st.lists(_evacuation, max_size=3).map(tuple),
        st.binary(max_size=50),
    ),
    st.builds(node_frames.TableUpdate, _number, st.binary(max_size=50), _number),
    st.builds(node_frames.TablePull, _number),
    st.builds(frames.Challenge, st.binary(max_size=32)),
    st.builds(frames.Hello, _text, _text, _text, st.binary(max_size=32)),
    st.builds(frames.Heartbeat, st.booleans(), _number, _text, st.integers(0, 2**32 - 1), _number),
    st.builds(node_frames.ExtraAsk, _number, _names, _names),
    st.builds(node_frames.ExtraGrant, _number, _names),
    st.builds(node_frames.CreditPull, _number),
    st.builds(node_frames.CreditShare, _number, st.integers(0, 4000).map(float)),
    st.builds(node_frames.QuotaAsk, _number, _text),
    st.builds(
        node_frames.QuotaGrant,
        _number,
        st.sampled_from(quota.Decision),
        st.integers(0, 60).map(float),
    ),
    st.builds(node_frames.QuotaReturn, _number),
    st.builds(node_frames.QuotaPull, _number, _text, st.integers(0, 4000).map(float)),
    st.builds(node_frames.QuotaShare, _number, st.integers(0, 4000).map(float)),
    st.builds(node_frames.TargetReports, st.lists(_observation, max_size=5).map(tuple)),
    _sub_queries(),
    st.builds(messages.Cancel, _number, st.lists(st.integers(0, 2**31), max_size=5).map(tuple)),
    st.builds(frames.Replies, st.lists(_reply, max_size=5).map(tuple)),
    st.builds(frames.Holdings, st.dictionaries(_text, st.frozensets(_snapshot, max_size=3))),
    st.builds(frames.ConfigPull, _number, _text),
    st.builds(frames.ConfigChanges, st.binary(max_size=100)),
    st.builds(frames.Relay, _number, _text, st.binary(max_size=100), _micros),
    st.builds(frames.RelayReply, _number, st.binary(max_size=100)),
)


@hypothesis.given(_frame)
@hypothesis.settings(max_examples=300)
def test_frames_round_trip(frame):
    decoded = codec.decode(codec.encode(frame, 0.0), 0.0)
    assert _rounded(decoded) == _rounded(frame)


def _rounded(frame):
    """Round times, since the link carries them as whole microseconds."""
    if isinstance(frame, messages.SubQueries):
        times = (round(frame.deadline, 5), round(frame.network_delay, 5))
        return (frame.frame, frame.query, frame.services, frame.shards, frame.body, times)
    if isinstance(frame, frames.Replies):
        return [(row.frame, row.verdict, row.body, round(row.waited, 5)) for row in frame.replies]
    if isinstance(frame, node_frames.GatherQuery):
        return dataclasses.replace(
            frame,
            deadline=round(frame.deadline, 5),
            flush_at=round(frame.flush_at, 5),
            due=round(frame.due, 5),
        )
    if isinstance(frame, node_frames.TargetUpdate):
        return dataclasses.replace(frame, age=round(frame.age, 5))
    if isinstance(frame, frames.Relay):
        return (frame.number, frame.ticket, frame.document, round(frame.deadline, 5))
    return frame


@hypothesis.given(st.binary(max_size=400))
@hypothesis.settings(max_examples=300)
def test_arbitrary_bytes_decode_or_are_malformed(data):
    try:
        codec.decode(data, 0.0)
    except codec.MalformedFrameError as error:
        assert str(error)


@hypothesis.given(_frame, st.data())
@hypothesis.settings(max_examples=300)
def test_damaged_frames_raise_only_malformed_frame_errors(frame, data):
    damaged = bytearray(codec.encode(frame, 0.0))
    for _ in range(data.draw(st.integers(1, 4))):
        damaged[data.draw(st.integers(0, len(damaged) - 1))] = data.draw(st.integers(0, 255))
    cut = data.draw(st.integers(0, len(damaged)))
    try:
        codec.decode(bytes(damaged[:cut]), 0.0)
    except codec.MalformedFrameError as error:
        assert str(error)


def test_columns_of_different_lengths_are_malformed():
    even = messages.SubQueries(
        1, "q", "h", catalog.Snapshot(1, "base"), ("a", "b"), ("a", "b"), b"", 1.0
    )
    uneven = messages.SubQueries(
        1, "q", "h", catalog.Snapshot(1, "base"), ("a", "b"), ("a",), b"", 1.0
    )
    assert codec.decode(codec.encode(even, 0.0), 0.0)
    with pytest.raises(codec.MalformedFrameError, match="different lengths"):
        codec.decode(codec.encode(uneven, 0.0), 0.0)


def test_gathered_parts_with_columns_of_different_lengths_are_malformed():
    even = node_frames.GatherParts(1, (0, 1), ("a", "b"), b"", (), (), (0, 0))
    for uneven in ({"counts": (1,)}, {"stamps": ("a",)}, {"failed": (2,)}):
        data = codec.encode(dataclasses.replace(even, **uneven), 0.0)
        with pytest.raises(codec.MalformedFrameError, match="different lengths"):
            codec.decode(data, 0.0)


def test_deadlines_are_sent_as_remaining_time():
    asked = messages.SubQueries(
        1, "q", "h", catalog.Snapshot(1, "base"), ("a",), ("a",), b"", deadline=100.5
    )
    decoded = codec.decode(codec.encode(asked, 100.0), 7.0)
    assert isinstance(decoded, messages.SubQueries)
    assert decoded.deadline == pytest.approx(7.5, abs=1e-5)


@pytest.mark.parametrize("kind", [node_frames.CreditShare, node_frames.QuotaShare])
def test_transferred_credit_and_tokens_are_rounded_down(kind):
    frame = kind(1, 0.1234567899)
    decoded = codec.decode(codec.encode(frame, 0.0), 0.0)
    assert decoded.amount <= frame.amount
    assert decoded.amount > frame.amount - 2e-6


def test_unknown_quota_decision_is_malformed():
    data = bytearray(codec.encode(node_frames.QuotaGrant(1, quota.Decision.UNSURE), 0.0))
    data[data.rindex(int(quota.Decision.UNSURE))] = 77
    with pytest.raises(codec.MalformedFrameError):
        codec.decode(bytes(data), 0.0)
