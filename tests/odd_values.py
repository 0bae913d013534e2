"""Generators of odd values as another writer may leave them: JSON, bytes and damaged frames.

`json_texts` draws whole documents, `near(document)` valid documents with odd values at any place,
and `damaged(frames)` valid frames that were cut or changed. `LONG_NUMBER` and `DEEP` are the values
that the interpreter itself refuses.
"""

from __future__ import annotations

import copy
import json

from hypothesis import strategies as st

DIGITS = 5_000
"""More than the interpreter converts: it refuses numbers of more than 4,300 digits."""

LONG_NUMBER = "1" * DIGITS
BIG_TEXT = "a" * 1_000_000
HALF_CHARACTER = "\ud800"


def deep(levels, opening="[", closing="]"):
    """Return JSON of this many nested lists or objects."""
    return opening * levels + closing * levels


DEEP = deep(100_000)

ODD_JSON = (
    "",
    "null",
    "true",
    "0",
    "-0",
    "-0.0",
    "1e999",
    "-1e999",
    "NaN",
    "Infinity",
    "1.5",
    "-1",
    str(2**16),
    str(2**31),
    str(2**32),
    str(2**63),
    str(2**64),
    "1" + "0" * 400,
    LONG_NUMBER,
    f'"{LONG_NUMBER}"',
    f"[{LONG_NUMBER}]",
    '""',
    '"a"',
    '"\\ud800"',
    '"a\\u0000b"',
    '"a\\r\\nb"',
    '"\\u0663"',
    '"fe80::1%x"',
    '"10.1.2.3:70000"',
    f'"10.1.2.3:{LONG_NUMBER}"',
    json.dumps(BIG_TEXT),
    "[]",
    "{}",
    "[[]]",
    '{"a":{}}',
    deep(400),
    deep(400, '{"a":', "}").replace(":}", ":0}"),
    deep(5_000),
    DEEP,
)
"""JSON of one value each, and some that is none."""

_ODD_BYTES = (b"\x00", b"\xff\xfe", b"\xef\xbb\xbf{}", b"{", b'{"a":', b"\xed\xa0\x80")

_PLACEHOLDER = "odd value goes here"

texts = st.text(max_size=30) | st.sampled_from(
    ["", HALF_CHARACTER, "\0", "a\0b", "a\r\nb", LONG_NUMBER, "\u0663", "name", "10.0.0.1"]
)
"""Any text, also what can't be encoded."""

numbers = (
    st.integers()
    | st.sampled_from([0, -1, 2**16, 2**31, 2**32, 2**63, 2**64, 10**400, True])
    | st.floats()
)
"""Any number, also infinite ones and those that are none."""

values = st.recursive(
    st.none() | st.booleans() | numbers | texts,
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(texts, inner, max_size=4),
    max_leaves=8,
)
"""Any decoded JSON value."""

json_texts = st.sampled_from([text.encode() for text in ODD_JSON]) | values.map(
    lambda value: json.dumps(value).encode()
)
"""Any document, most of them JSON."""

raw = st.binary(max_size=200) | st.sampled_from(_ODD_BYTES)
"""Any bytes."""


def places(document, path=()):
    """Return the paths of all values within a document, that of the whole one first."""
    found = [path]
    if isinstance(document, dict):
        for key, value in document.items():
            found += places(value, (*path, key))
    elif isinstance(document, list):
        for index, value in enumerate(document):
            found += places(value, (*path, index))
    return found


def with_odd(document, path, text):
    """Return a document as JSON in which the value at a path is replaced by a JSON text."""
    if not path:
        return text.encode()
    changed = copy.deepcopy(document)
    _holder(changed, path)[path[-1]] = _PLACEHOLDER
    return json.dumps(changed).replace(json.dumps(_PLACEHOLDER), text).encode()


def without(document, path):
    """Return a document as JSON that lacks the value at a path."""
    if not path:
        return b""
    changed = copy.deepcopy(document)
    del _holder(changed, path)[path[-1]]
    return json.dumps(changed).encode()


def _holder(document, path):
    for part in path[:-1]:
        document = document[part]
    return document


@st.composite
def near(draw, document):
    """Draw a valid document with an odd value, or none, at one place."""
    path = draw(st.sampled_from(places(document)))
    if draw(st.integers(0, 9)) == 0:
        return without(document, path)
    if draw(st.booleans()):
        return with_odd(document, path, draw(st.sampled_from(ODD_JSON)))
    return with_odd(document, path, json.dumps(draw(values)))


def documents(valid):
    """Draw any bytes, any JSON, or a valid document with something odd in it."""
    return raw | json_texts | near(valid)


@st.composite
def damaged(draw, valid):
    """Draw one of some valid frames, cut short or with some bytes changed."""
    data = bytearray(draw(st.sampled_from(valid)))
    for _ in range(draw(st.integers(0, 4))):
        at = draw(st.integers(0, len(data) - 1))
        data[at] = draw(st.integers(0, 255) | st.sampled_from([0, 1, 127, 128, 255]))
    if draw(st.integers(0, 4)) == 0:
        data = data[: draw(st.integers(0, len(data)))]
    return bytes(data)
