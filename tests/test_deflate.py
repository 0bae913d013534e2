"""Compression of link frames: lossless, in order, limited in size, small for repeated frames."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lineworks.wire import codec, deflate


@given(st.lists(st.binary(max_size=3000), max_size=12))
def test_frames_round_trip_in_order(items):
    sender, receiver = deflate.Deflater(), deflate.Inflater(codec.MAX_FRAME_BYTES)
    assert [receiver.inflate(sender.deflate(item)) for item in items] == items


def test_repeated_frame_compresses_well():
    sender = deflate.Deflater()
    frame = bytes(range(256)) * 2
    first = len(sender.deflate(frame))
    assert len(sender.deflate(frame)) < first / 5


@pytest.mark.parametrize("data", [b"", b"junk", b"\xff" * 40])
def test_damaged_data_is_malformed(data):
    receiver = deflate.Inflater(1000)
    with pytest.raises(codec.MalformedFrameError):
        codec.decode(receiver.inflate(data), 0.0)


def test_frame_that_inflates_beyond_the_limit_is_rejected():
    packed = deflate.Deflater().deflate(b"a" * 100_000)
    with pytest.raises(codec.MalformedFrameError, match="frame exceeds 1000 bytes"):
        deflate.Inflater(1000).inflate(packed)
