"""Compression of link frames: whole, in order, bounded, and smaller where frames repeat."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lineworks.wire import codec, deflate


@given(st.lists(st.binary(max_size=3000), max_size=12))
def test_frames_come_out_as_they_went_in(items):
    sender, receiver = deflate.Deflater(), deflate.Inflater(codec.MAX_FRAME)
    assert [receiver.inflate(sender.deflate(item)) for item in items] == items


def test_a_repeated_frame_costs_little():
    sender = deflate.Deflater()
    frame = bytes(range(256)) * 2
    first = len(sender.deflate(frame))
    assert len(sender.deflate(frame)) < first / 5


@pytest.mark.parametrize("data", [b"", b"junk", b"\xff" * 40])
def test_damaged_bytes_are_no_frame(data):
    receiver = deflate.Inflater(1000)
    with pytest.raises(codec.MalformedFrameError):
        codec.decode(receiver.inflate(data), 0.0)


def test_a_frame_that_grows_too_long_is_refused():
    packed = deflate.Deflater().deflate(b"a" * 100_000)
    with pytest.raises(codec.MalformedFrameError, match="too long"):
        deflate.Inflater(1000).inflate(packed)
