"""Fingerprints tell apart what is asked, and not who asks for the how-manieth time."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from lineworks.decisions import fingerprints
from lineworks.platform import headers

PARTS = strategies.tuples(*[strategies.binary(max_size=4)] * 5)


@hypothesis.given(PARTS, PARTS)
def test_only_the_same_parts_have_the_same_fingerprint(one, other):
    same = fingerprints.fingerprint(*one) == fingerprints.fingerprint(*other)
    assert same == (one == other)


def test_parts_that_read_the_same_one_after_the_other_are_told_apart():
    assert fingerprints.fingerprint(b"GET", b"ab", b"c", b"", b"") != fingerprints.fingerprint(
        b"GET", b"a", b"bc", b"", b""
    )


def test_a_caller_is_named_by_its_credentials():
    fields = [(b"x-attempt-id", b"1"), (b"authorization", b"Bearer a"), (b"accept", b"*")]
    assert headers.read_caller(fields) == b"Bearer a"
    assert headers.read_caller(fields[:1]) == b""
