"""Interfaces that the query engine needs from its host: clock, peer links, target connections."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from lineworks.decisions import catalog, replicas, verdict
    from lineworks.engine import messages


class Timer(Protocol):
    """A scheduled call that can be cancelled, like Twisted's `IDelayedCall`."""

    def cancel(self) -> None:
        """Cancel the call."""

    def active(self) -> bool:
        """Return whether the call is still pending."""


class Clock(Protocol):
    """The part of Twisted's `IReactorTime` that the engine uses."""

    def seconds(self) -> float:
        """Return the current time in seconds."""

    def callLater(self, delay: float, call: Callable[..., Any], *args: Any) -> Timer:  # noqa: N802
        """Schedule a call in `delay` seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """A request to a target for one sub-query."""

    id: str
    """Unique ID, used to cancel the attempt at the target."""

    shard: str
    """Name of the shard."""

    snapshot: catalog.Snapshot | None
    """The required snapshot, or None when any is accepted."""

    body: bytes
    """The request's body."""

    deadline: float
    """Time by which the target must reply, in seconds on the host's clock."""


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The outcome of an attempt."""

    verdict: verdict.Verdict
    """Verdict of the attempt."""

    snapshot: catalog.Snapshot | None = None
    """Snapshot that the target replied from, if it replied."""

    body: bytes = b""
    """Body of the reply."""

    report: replicas.StatusReport | None = None
    """Report on the target's own state that came with the reply, if any."""


class TargetPort(Protocol):
    """Sends attempts to targets."""

    def send(
        self, target: catalog.Target, attempt: Attempt, on_outcome: Callable[[Outcome], None]
    ) -> Callable[[], None]:
        """Start an attempt.

        Args:
            target: The target.
            attempt: The attempt.
            on_outcome: Called exactly once, unless the attempt is cancelled first.

        Returns:
            A function that cancels the attempt; afterwards `on_outcome` is not called.
        """


class GathererPort(Protocol):
    """Sends messages from a front to gatherers."""

    def send(self, instance: str, request: messages.Request) -> bool:
        """Send a message to the gatherer of an instance, which may be this one.

        Args:
            instance: Name of the receiving instance.
            request: The message.

        Returns:
            Whether the message was sent; False if there is no link to the instance.
        """
