"""Checks of addresses that come from outside, before they are dialled."""

from __future__ import annotations

import ipaddress
from typing import Any

MAX_PORT = 65535
"""Greatest TCP port."""


def is_port(value: Any) -> bool:
    """Return whether a decoded value is a TCP port that can be dialled."""
    return type(value) is int and 0 < value <= MAX_PORT


def is_ip(text: str) -> bool:
    """Return whether a string is an IP address without a scope, which dialling may not know."""
    try:
        address = ipaddress.ip_address(text)
    except ValueError:
        return False
    return getattr(address, "scope_id", None) is None
