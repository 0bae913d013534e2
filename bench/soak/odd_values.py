"""Values that another writer may leave in the store: JSON with one odd field, or no JSON."""

from __future__ import annotations

import base64
import json
from typing import TYPE_CHECKING, Any

from lineworks.platform.standins import documents

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from lineworks.platform.standins import store_model

FIELDS = tuple(json.loads(documents.target_entry("service", "address", "hall", 1, "ready")))
"""Fields of a target's entry, any of which may be odd."""

DIGITS = 4400
"""Digits of a number that the interpreter refuses to convert: more than 4,300."""

LARGE_BYTES = 1_000_000
"""Length of a long text."""

PORT = "port"
"""Shape of an address whose port has thousands of digits."""

_MARK = "ODD"

_TEXTS: dict[str, Callable[[], str]] = {
    "digits": lambda: "9" * DIGITS,
    "digits-text": lambda: f'"{"9" * DIGITS}"',
    "too-large": lambda: "1" + "0" * 30,
    "infinite": lambda: "1e999",
    "not-a-number": lambda: "NaN",
    "negative": lambda: "-1",
    "nested-400": lambda: "[" * 400 + "]" * 400,
    "nested-3000": lambda: '{"a":' * 3000 + "1" + "}" * 3000,
    "nested-100000": lambda: "[" * 100_000 + "]" * 100_000,
    "unclosed": lambda: "[" * 100_000,
    "list": lambda: '["x"]',
    "table": lambda: '{"x": 1}',
    "null": lambda: "null",
    "flag": lambda: "true",
    "surrogate": lambda: r'"\ud800"',
    "scope": lambda: '"fe80::1%nope"',
    PORT: lambda: f'"127.0.0.1:{"9" * DIGITS}"',
}
"""For each shape of a field its value as JSON text."""

_DOCUMENTS: dict[str, bytes] = {
    "no-json": b"\x00{not JSON",
    "no-utf8": b'{"Service": "\xff\xfe"}',
    "empty": b"",
    "no-table": b'["Service"]',
    "only-digits": b"9" * DIGITS,
    "only-nested": b"[" * 100_000 + b"]" * 100_000,
}
"""For each shape of a whole value the value."""

_MISSING = "missing"
LARGE = "large"
"""Shape of a field with a text of 1 MB."""

SHAPES = (*_TEXTS, *_DOCUMENTS, _MISSING, LARGE)
"""All shapes; for most, the field is chosen as well."""


def encode(shape: str, document: Mapping[str, Any], field: str) -> bytes:
    """Make an odd value from a good one."""
    if shape in _DOCUMENTS:
        return _DOCUMENTS[shape]
    if shape == _MISSING:
        return json.dumps({name: document[name] for name in document if name != field}).encode()
    text = f'"{"x" * LARGE_BYTES}"' if shape == LARGE else _TEXTS[shape]()
    return json.dumps({**document, field: _MARK}).replace(f'"{_MARK}"', text).encode()


class OddRows:
    """Odd values in the store, and what stood under their keys before."""

    def __init__(self, model: store_model.StoreModel, remove: Callable[[str], None]) -> None:
        """Begin without any."""
        self._model = model
        self._remove = remove
        self._before: dict[str, tuple[str, str | None]] = {}

    def write(self, key: str, shape: str, document: Mapping[str, Any], field: str) -> None:
        """Write an odd value."""
        found = self._model.get(key)
        value = base64.b64encode(encode(shape, document, field)).decode()
        earlier = self._before.get(key, ("", found.value if found is not None else None))[1]
        self._before[key] = (value, earlier)
        self._model.write(key, value)

    def take_back(self, key: str) -> None:
        """Write what stood there before, unless somebody else has written since."""
        value, before = self._before.pop(key, ("", None))
        found = self._model.get(key)
        if found is None or found.value != value:
            return
        if before is None:
            self._remove(key)
        else:
            self._model.write(key, before)
