"""A factory of client connections that leaves no reference cycle behind."""

from __future__ import annotations

from typing import Any

from twisted.internet import protocol


class ReleasingFactory(protocol.ClientFactory):
    """Base of the factories of client connections.

    Twisted's connector and its transport refer to each other for good. Until the garbage collector
    finds them, a lost connection keeps the data that was not sent.
    """

    noisy = False

    def clientConnectionLost(self, connector: Any, reason: Any) -> None:  # noqa: N802
        """Let go of the lost connection."""
        connector.transport = None
