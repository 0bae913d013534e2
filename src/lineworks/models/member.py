"""An instance as the membership list knows it."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """An entry of the membership list."""

    name: str
    """Name of the instance."""

    hall: str
    """Its data hall."""

    host: str
    """IP address of its peer endpoint."""

    port: int
    """TCP port of its peer endpoint."""

    incarnation: str
    """Identity of its process."""

    is_leaving: bool
    """Whether it takes no new work."""
