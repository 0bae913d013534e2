"""Typed access to the fields of decoded documents. Every error names the field."""

from __future__ import annotations

import json
from typing import Any

from lineworks.models import addresses

MAX_NUMBER = 2**63 - 1
"""Greatest number accepted in a document: the largest signed 64-bit integer, so that programs in
other languages can read it."""

MAX_VALUE_CHARACTERS = 80
"""Maximum length of an invalid value quoted in an error, in characters."""

_MAX_PORT_DIGITS = len(str(addresses.MAX_PORT))


class DocumentError(ValueError):
    """A document lacks a field, or a field has a value of the wrong type or range."""


class Fields:
    """A mapping within a document, together with its path."""

    def __init__(self, table: Any, path: str = "", is_secret: bool = False) -> None:
        """Wrap a decoded mapping.

        Args:
            table: The decoded value.
            path: Path of the mapping in the document, for error messages.
            is_secret: Whether errors omit the values of this mapping and of those nested in it.

        Raises:
            DocumentError: The value is not a mapping.
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
        """Names of all fields, including those whose value is null."""
        return list(self._table)

    def redacted(self) -> Fields:
        """Return the same mapping with values omitted from errors."""
        return Fields(self._table, self._path, is_secret=True)

    def flag(self, name: str, default: bool) -> bool:
        """Read a boolean."""
        value = self._get(name, default)
        if not isinstance(value, bool):
            raise self._invalid_value(name, "true or false")
        return value

    def text(self, name: str, default: str | None = None) -> str:
        """Read a string that is not empty and can be encoded as UTF-8."""
        value = self._get(name, default)
        if not isinstance(value, str) or not value or not is_utf8_encodable(value):
            raise self._invalid_value(name, "a text")
        return value

    def text_or_empty(self, name: str) -> str:
        """Read a string; returns an empty one if the field is missing."""
        value = self._table.get(name, "")
        if not isinstance(value, str):
            raise self._invalid_value(name, "a text")
        return value

    def number(self, name: str, default: float | None = None, minimum: float = 0.0) -> float:
        """Read a number of at least `minimum`."""
        value = self._get(name, default)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise self._invalid_value(name, f"a number of at least {minimum:g}")
        # Also rejects NaN, for which every comparison is false, and infinity.
        if not minimum <= value <= MAX_NUMBER:
            raise self._invalid_value(name, f"a number of at least {minimum:g}")
        return float(value)

    def integer(self, name: str, default: int | None = None, minimum: int = 0) -> int:
        """Read an integer of at least `minimum`."""
        value = self._get(name, default)
        if isinstance(value, bool) or not isinstance(value, int):
            raise self._invalid_value(name, f"a whole number of at least {minimum}")
        if not minimum <= value <= MAX_NUMBER:
            raise self._invalid_value(name, f"a whole number from {minimum} to {MAX_NUMBER}")
        return value

    def table(self, name: str) -> Fields:
        """Read a nested mapping."""
        return Fields(self._get(name, None), self._field_path(name), self._is_secret)

    def tables(self, name: str) -> list[Fields]:
        """Read a list of mappings; returns an empty list if the field is missing."""
        listed = self.items(name)
        return [
            Fields(item, self.item_path(name, index), self._is_secret)
            for index, item in enumerate(listed)
        ]

    def items(self, name: str) -> list[Any]:
        """Read a list; returns an empty list if the field is missing."""
        value = self._table.get(name)
        if value is None:
            return []
        if not isinstance(value, list):
            raise self._invalid_value(name, "a list")
        return value

    def texts(self, name: str) -> tuple[str, ...]:
        """Read a list of non-empty strings; returns an empty tuple if the field is missing."""
        listed = self.items(name)
        if not all(isinstance(item, str) and item for item in listed):
            raise self._invalid_value(name, "a list of texts")
        return tuple(listed)

    def address(self, name: str) -> tuple[str, int]:
        """Read an address of the form IP:PORT as host and port."""
        return parse_address(self.text(name), self._field_path(name))

    def item_path(self, name: str, index: int) -> str:
        """Return the path of a list item, for error messages."""
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
    """Parse an address.

    Args:
        text: An address of the form IP:PORT.
        path: Path of the field, for error messages.

    Returns:
        Host and port.

    Raises:
        DocumentError: The text does not have this form, or the port is not from 1 to 65535.
    """
    host, _, port_text = text.rpartition(":")
    port = _parse_port(port_text)
    if not host or port is None:
        raise DocumentError(f"{path}: expected IP:PORT, found {_format_value(text)}")
    return host, port


def _parse_port(text: str) -> int | None:
    """Parse a port; None if it is not one."""
    # The length is checked first: the interpreter refuses to convert more than 4300 digits.
    if len(text) > _MAX_PORT_DIGITS or not text.isascii() or not text.isdecimal():
        return None
    port = int(text)
    return port if addresses.is_port(port) else None


def is_utf8_encodable(text: str) -> bool:
    """Return whether a string can be encoded as UTF-8.

    Args:
        text: The string.

    Returns:
        False if it contains a surrogate code point. JSON escapes can produce unpaired ones.
    """
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def parse_json(data: bytes) -> Any:
    """Parse a JSON document from an untrusted writer.

    Args:
        data: The encoded document.

    Returns:
        The decoded value.

    Raises:
        DocumentError: The data is not JSON, or is nested too deeply for the parser.
    """
    try:
        return json.loads(data)
    except (ValueError, RecursionError) as error:
        raise DocumentError(f"(document): {error}") from error


def _format_value(value: Any) -> str:
    """Format a value for an error: truncated, and in ASCII so that every log can write it.

    Lists and tables are named by their type only: formatting deep nesting raises RecursionError,
    and formatting a long number in them ValueError.
    """
    if isinstance(value, str):
        return ascii(value[:MAX_VALUE_CHARACTERS])[:MAX_VALUE_CHARACTERS]
    if isinstance(value, list):
        return "a list"
    if isinstance(value, dict):
        return "a table"
    if isinstance(value, int) and abs(value) > MAX_NUMBER:
        return "a longer number"
    return ascii(value)[:MAX_VALUE_CHARACTERS]
