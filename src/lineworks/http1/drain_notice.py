"""Tells when a transport has passed everything that was written to it to the operating system."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable


class DrainNotice:
    """A pull producer: Twisted asks it for more data when there is none left to send."""

    def __init__(self, transport: Any, on_drained: Callable[[], None]) -> None:
        """Register with a transport that holds unsent data and has no producer.

        Args:
            transport: The Twisted transport.
            on_drained: Called once, unless the connection is lost first.
        """
        self._transport = transport
        self._on_drained = on_drained
        transport.registerProducer(self, False)

    def resumeProducing(self) -> None:  # noqa: N802
        """Report that all data is sent; Twisted also calls this at the registration."""
        if self._transport.dataBuffer:
            return
        # A transport that is to close waits until it has no producer.
        self._transport.unregisterProducer()
        self._on_drained()

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: the connection is lost, which its protocol is told."""


def unsent_bytes(transport: Any) -> int:
    """Return how much a transport has not passed to the operating system yet.

    Args:
        transport: The Twisted transport.
    """
    # The second part is appended to the first while that is short.
    return int(len(transport.dataBuffer) - transport.offset + transport._tempDataLen)  # noqa: SLF001


def position(transport: Any) -> tuple[int, int]:
    """Return a value that changes whenever a transport with unsent data sends some of it.

    Args:
        transport: The Twisted transport.
    """
    return len(transport.dataBuffer), transport.offset
