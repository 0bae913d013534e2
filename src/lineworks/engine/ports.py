"""What the query machinery needs from its host: a clock, links and target connections."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from lineworks.decisions import catalog, replicas, verdict
    from lineworks.engine import messages


class Timer(Protocol):
    """A call that was scheduled and can be cancelled, as Twisted's `IDelayedCall`."""

    def cancel(self) -> None:
        """Prevent the call."""

    def active(self) -> bool:
        """Say whether the call is still to come."""


class Clock(Protocol):
    """The part of Twisted's `IReactorTime` that the machinery uses."""

    def seconds(self) -> float:
        """Tell the present time in seconds."""

    def callLater(self, delay: float, call: Callable[..., Any], *args: Any) -> Timer:  # noqa: N802
        """Schedule a call `delay` seconds from now."""


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One request to one target."""

    id: str
    """Unique identity, by which the target can be told to cancel it."""

    shard: str
    """The shard asked for."""

    snapshot: catalog.Snapshot | None
    """The snapshot wanted, or None when any will do."""

    body: bytes
    """The request's body."""

    deadline: float
    """Time by which a reply is of use, in seconds on the host's clock."""


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """How an attempt ended."""

    verdict: verdict.Verdict
    """What is known of it."""

    snapshot: catalog.Snapshot | None = None
    """Snapshot that the reply came from."""

    body: bytes = b""
    """The reply."""

    report: replicas.StatusReport | None = None
    """What the target said of itself along with it."""


class TargetPort(Protocol):
    """Sends attempts to targets."""

    def send(
        self, target: catalog.Target, attempt: Attempt, on_outcome: Callable[[Outcome], None]
    ) -> Callable[[], None]:
        """Start an attempt.

        Args:
            target: Where to.
            attempt: What to send.
            on_outcome: Called exactly once, unless the attempt is cancelled first.

        Returns:
            A function that cancels the attempt; afterwards `on_outcome` is not called.
        """


class GathererPort(Protocol):
    """Carries messages from a front to gatherers."""

    def send(self, instance: str, request: messages.Request) -> bool:
        """Send a message to an instance, which may be this one.

        Args:
            instance: Name of the receiver.
            request: The message.

        Returns:
            False when there is no link, and so the message certainly did not go out.
        """
