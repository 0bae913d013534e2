"""Decoder for the entries that targets keep in the platform's store as JSON."""

from __future__ import annotations

import ipaddress

from lineworks.decisions import target_view
from lineworks.platform import _fields

PREFIX = "servers/"
"""Prefix of the keys; the rest of the key is the identity of the target's process."""

_READY = "ready"
_LEAVING = "draining"
_STATES = (_READY, _LEAVING)
_STARTED_AT = "born"
_MAX_START_TIME_MS = 4_102_444_800_000
"""1 January 2100 in Unix milliseconds. A later start time would make all good entries of the same
target look like late ones of an earlier process."""

_BROADCAST = ipaddress.IPv4Address("255.255.255.255")

MAX_TEXT_CHARACTERS = 200
"""Maximum length of a text, in characters. Entries are passed on to other instances, several in one
frame, whose length is limited."""

MAX_KEY_CHARACTERS = 120
"""Maximum length of a key quoted in an error, in characters."""


class EntryError(Exception):
    """An entry is invalid; the message names the field."""


def decode(key: str, data: bytes) -> target_view.TargetEntry:
    """Decode an entry.

    Args:
        key: Key of the entry.
        data: The stored value.

    Returns:
        The entry.

    Raises:
        EntryError: The value is not JSON, or a field is missing or invalid. Anyone may write such
            a key, so an entry with any invalid field is rejected as a whole.
    """
    identity = key.removeprefix(PREFIX)
    try:
        return _decode(identity, _fields.Fields(_fields.parse_json(data)))
    except _fields.DocumentError as error:
        raise EntryError(f"{ascii(key)[1:-1][:MAX_KEY_CHARACTERS]}: {error}") from error


def _decode(identity: str, document: _fields.Fields) -> target_view.TargetEntry:
    if not _is_token(identity):
        raise _fields.DocumentError("the key names no identity that a header can carry")
    state = _text(document, "State")
    if state not in _STATES:
        raise _fields.DocumentError(f"State: expected one of {_STATES}")
    # Unused fields, but an entry without them was not written by a target.
    _text(document, "ConfigVersion")
    document.integer("CallSeq")
    host, port = document.address("Address")
    if not _is_machine_address(host):
        raise _fields.DocumentError("Address: expected the IPv4 address of a machine")
    return target_view.TargetEntry(
        id=identity,
        service=_text(document, "Service"),
        hall=_text(document, "Zone"),
        host=host,
        port=port,
        # Number of requests processed at a time; the target also has a short queue.
        slots=document.integer("Capacity", minimum=1),
        is_leaving=state == _LEAVING,
        # The field holds the time left in the slow phase after a start.
        is_cold=document.number("WarmupLeftMs") > 0,
        # Older targets don't report when they started.
        born=_start_time(document),
    )


def _text(document: _fields.Fields, name: str) -> str:
    text = document.text(name)
    if len(text) > MAX_TEXT_CHARACTERS:
        raise _fields.DocumentError(f"{name}: longer than {MAX_TEXT_CHARACTERS} characters")
    return text


def _start_time(document: _fields.Fields) -> int:
    """Return the start time in Unix milliseconds; 0 if there is none."""
    if _STARTED_AT not in document.names:
        return 0
    born = document.integer(_STARTED_AT)
    if born > _MAX_START_TIME_MS:
        raise _fields.DocumentError(f"{_STARTED_AT}: expected a time before the year 2100")
    return born


def _is_token(text: str) -> bool:
    return bool(text) and text.isascii() and text.isprintable() and " " not in text


def _is_machine_address(text: str) -> bool:
    """Return whether a string is the IPv4 address of a single machine."""
    try:
        address = ipaddress.IPv4Address(text)
    except ValueError:
        return False
    is_group = address.is_multicast or address == _BROADCAST
    return not is_group and not address.is_unspecified
