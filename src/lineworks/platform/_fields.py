"""Typed access to decoded documents; every error names the field."""

from __future__ import annotations

import json
from typing import Any

MAX_NUMBER = 2**63 - 1
"""Greatest number that a document may hold, as other languages can read it."""

MAX_VALUE_CHARACTERS = 80
"""Characters of a wrong value that an error names."""


class DocumentError(ValueError):
    """A document lacks a field or a field has a value of another kind."""


class Fields:
    """One table of a document, with the path that leads to it."""

    def __init__(self, table: Any, path: str = "", is_secret: bool = False) -> None:
        """Wrap a table.

        Args:
            table: The decoded value.
            path: Where it stands in the document, for errors.
            is_secret: Whether errors show no value of the table and of what it holds.

        Raises:
            DocumentError: It is no table.
        """
        if not isinstance(table, dict):
            raise DocumentError(f"{path or '(document)'}: expected a table")
        self._table = table
        self._path = path
        self._is_secret = is_secret

    def __contains__(self, name: str) -> bool:
        return self._table.get(name) is not None

    @property
    def names(self) -> list[str]:
        """Names of all fields."""
        return list(self._table)

    def redacted(self) -> Fields:
        """Give the same table, of which errors show no value."""
        return Fields(self._table, self._path, is_secret=True)

    def flag(self, name: str, default: bool) -> bool:
        """Read true or false."""
        value = self._get(name, default)
        if not isinstance(value, bool):
            raise self._invalid_value(name, "true or false")
        return value

    def text(self, name: str, default: str | None = None) -> str:
        """Read a text that is not empty."""
        value = self._get(name, default)
        if not isinstance(value, str) or not value or not is_utf8_encodable(value):
            raise self._invalid_value(name, "a text")
        return value

    def text_or_empty(self, name: str) -> str:
        """Read a text; a missing one is empty."""
        value = self._table.get(name, "")
        if not isinstance(value, str):
            raise self._invalid_value(name, "a text")
        return value

    def number(self, name: str, default: float | None = None, minimum: float = 0.0) -> float:
        """Read a number of at least `minimum`."""
        value = self._get(name, default)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise self._invalid_value(name, f"a number of at least {minimum:g}")
        # Not a number and infinity compare as false.
        if not minimum <= value <= MAX_NUMBER:
            raise self._invalid_value(name, f"a number of at least {minimum:g}")
        return float(value)

    def integer(self, name: str, default: int | None = None, minimum: int = 0) -> int:
        """Read a whole number of at least `minimum`."""
        value = self._get(name, default)
        if isinstance(value, bool) or not isinstance(value, int):
            raise self._invalid_value(name, f"a whole number of at least {minimum}")
        if not minimum <= value <= MAX_NUMBER:
            raise self._invalid_value(name, f"a whole number from {minimum} to {MAX_NUMBER}")
        return value

    def table(self, name: str) -> Fields:
        """Read a table."""
        return Fields(self._get(name, None), self._field_path(name), self._is_secret)

    def tables(self, name: str) -> list[Fields]:
        """Read a list of tables; a missing one is empty."""
        listed = self.items(name)
        return [
            Fields(item, self.item_path(name, index), self._is_secret)
            for index, item in enumerate(listed)
        ]

    def items(self, name: str) -> list[Any]:
        """Read a list; a missing one is empty."""
        value = self._table.get(name)
        if value is None:
            return []
        if not isinstance(value, list):
            raise self._invalid_value(name, "a list")
        return value

    def texts(self, name: str) -> tuple[str, ...]:
        """Read a list of texts; a missing one is empty."""
        listed = self.items(name)
        if not all(isinstance(item, str) and item for item in listed):
            raise self._invalid_value(name, "a list of texts")
        return tuple(listed)

    def address(self, name: str) -> tuple[str, int]:
        """Read an address of the form IP:PORT."""
        return parse_address(self.text(name), self._field_path(name))

    def item_path(self, name: str, index: int) -> str:
        """Tell where an item of a list stands, for errors."""
        return f"{self._field_path(name)}.{index}"

    def _get(self, name: str, default: Any) -> Any:
        value = self._table.get(name)
        if value is None:
            value = default
        if value is None:
            raise DocumentError(f"{self._field_path(name)}: missing")
        return value

    def _field_path(self, name: str) -> str:
        return f"{self._path}.{name}" if self._path else name

    def _invalid_value(self, name: str, expected: str) -> DocumentError:
        value = self._table.get(name)
        found = type(value).__name__ if self._is_secret else _format_value(value)
        return DocumentError(f"{self._field_path(name)}: expected {expected}, found {found}")


def parse_address(text: str, path: str) -> tuple[str, int]:
    """Read an address.

    Args:
        text: The form IP:PORT.
        path: Where it stands, for errors.

    Returns:
        Host and port.

    Raises:
        DocumentError: It has another form.
    """
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise DocumentError(f"{path}: expected IP:PORT, found {text[:80]!r}")
    return host, int(port)


def is_utf8_encodable(text: str) -> bool:
    """Say whether a text can be written as UTF-8.

    Args:
        text: The text.

    Returns:
        False for one with half of a pair of surrogates, which JSON lets through.
    """
    return not any("\ud800" <= character <= "\udfff" for character in text)


def parse_json(data: bytes) -> Any:
    """Read a document that anybody may have written.

    Args:
        data: The bytes.

    Returns:
        The decoded value.

    Raises:
        DocumentError: It is no JSON, or nested too deeply to be read.
    """
    try:
        return json.loads(data)
    except (ValueError, RecursionError) as error:
        raise DocumentError(f"(document): {error}") from error


def _format_value(value: Any) -> str:
    """Show a value of any type in an error, shortly and without what no log can write."""
    if isinstance(value, int) and abs(value) > MAX_NUMBER:
        return "a longer number"
    return ascii(value)[:MAX_VALUE_CHARACTERS]
