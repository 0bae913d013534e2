"""Entry of the membership list."""

from __future__ import annotations

import dataclasses
import json
from typing import Any

from lineworks.models import addresses

MAX_TEXT_CHARACTERS = 200
"""Maximum length of a name, a hall or an incarnation, in characters."""


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """An instance in the membership list."""

    name: str
    """Name of the instance."""

    hall: str
    """Data hall of the instance."""

    host: str
    """IP address of its peer endpoint."""

    port: int
    """TCP port of its peer endpoint."""

    incarnation: str
    """Identity of the instance's process; differs after each start."""

    is_leaving: bool
    """Whether the instance is leaving and takes no new work."""


class MemberError(ValueError):
    """An entry is invalid; the message names the field."""


def decode(data: bytes, **known: Any) -> Member:
    """Decode an entry that another writer may have left in the store.

    Args:
        data: The entry as JSON.
        **known: Fields that the entry does not hold, by name.

    Returns:
        The entry.

    Raises:
        MemberError: The data is not JSON, or a field is missing or invalid. Such an entry cannot be
            connected to.
    """
    try:
        document = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise MemberError(f"(document): {error}"[:MAX_TEXT_CHARACTERS]) from error
    if not isinstance(document, dict):
        raise MemberError("(document): expected a table")
    fields = {**document, **known}
    return Member(
        name=_text(fields, "name", is_required=True),
        hall=_text(fields, "hall", is_required=True),
        host=_host(fields),
        port=_port(fields),
        incarnation=_text(fields, "incarnation"),
        is_leaving=_flag(fields, "is_leaving"),
    )


def _text(fields: dict[str, Any], name: str, is_required: bool = False) -> str:
    value = fields.get(name)
    if not isinstance(value, str) or not is_required <= len(value) <= MAX_TEXT_CHARACTERS:
        raise MemberError(f"{name}: expected a text of at most {MAX_TEXT_CHARACTERS} characters")
    # Also refuses unpaired surrogates, which cannot be encoded.
    if not value.isprintable():
        raise MemberError(f"{name}: expected printable characters")
    return value


def _host(fields: dict[str, Any]) -> str:
    host = _text(fields, "host", is_required=True)
    if not addresses.is_ip(host):
        raise MemberError("host: expected an IP address without a scope")
    return host


def _port(fields: dict[str, Any]) -> int:
    port = fields.get("port")
    if not addresses.is_port(port):
        raise MemberError(f"port: expected a whole number from 1 to {addresses.MAX_PORT}")
    return int(port)  # type: ignore[arg-type]


def _flag(fields: dict[str, Any], name: str) -> bool:
    value = fields.get(name)
    if not isinstance(value, bool):
        raise MemberError(f"{name}: expected true or false")
    return value
