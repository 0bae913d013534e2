"""Fingerprints identify the content of a request and are the same for each attempt."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from lineworks.decisions import fingerprints
from lineworks.platform import headers

PARTS = strategies.tuples(*[strategies.binary(max_size=4)] * 5)


@hypothesis.given(PARTS, PARTS)
def test_fingerprints_are_equal_only_for_equal_parts(one, other):
    same = fingerprints.fingerprint(*one) == fingerprints.fingerprint(*other)
    assert same == (one == other)


def test_parts_with_the_same_concatenation_have_different_fingerprints():
    assert fingerprints.fingerprint(b"GET", b"ab", b"c", b"", b"") != fingerprints.fingerprint(
        b"GET", b"a", b"bc", b"", b""
    )


def test_a_caller_is_identified_by_its_credentials():
    fields = [(b"x-attempt-id", b"1"), (b"authorization", b"Bearer a"), (b"accept", b"*")]
    assert headers.read_caller(fields) == b"Bearer a"
    assert headers.read_caller(fields[:1]) == b""
