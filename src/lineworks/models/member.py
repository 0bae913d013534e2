"""Entry of the membership list."""

from __future__ import annotations

import dataclasses


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
