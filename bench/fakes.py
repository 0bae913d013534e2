"""The fakes: a virtual clock, delayed links between instances, and connections to targets.

Together with `lineworks.standins.target_model` these are all that stands in for a network.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
from typing import TYPE_CHECKING, Any

from lineworks.decisions import ownership, verdict
from lineworks.engine import ports

if TYPE_CHECKING:
    from collections.abc import Callable

    from lineworks.decisions import catalog
    from lineworks.standins import target_model


@dataclasses.dataclass(slots=True, eq=False)
class _Call:
    """A scheduled call."""

    call: Callable[..., Any] | None
    args: tuple[Any, ...]

    def cancel(self) -> None:
        self.call = None

    def active(self) -> bool:
        return self.call is not None


class VirtualClock:
    """A clock that jumps from one scheduled call to the next."""

    def __init__(self) -> None:
        self._now = 0.0
        self._order = itertools.count()
        self._heap: list[tuple[float, int, _Call]] = []

    def seconds(self) -> float:
        """Tell the present time in seconds."""
        return self._now

    def callLater(  # noqa: N802
        self, delay: float, call: Callable[..., Any], *args: Any
    ) -> ports.Timer:
        """Schedule a call; calls for the same time keep their order."""
        scheduled = _Call(call, args)
        heapq.heappush(self._heap, (self._now + delay, next(self._order), scheduled))
        return scheduled

    def run_until(self, end: float) -> None:
        """Make all calls that are due by a time.

        Args:
            end: The time, in seconds.
        """
        heap = self._heap
        while heap and heap[0][0] <= end:
            at, _, scheduled = heapq.heappop(heap)
            call = scheduled.call
            if call is None:
                continue
            self._now = at
            scheduled.call = None
            call(*scheduled.args)
        self._now = max(self._now, end)


class Links:
    """Delayed links between instances, which can be cut by hall."""

    def __init__(self, clock: VirtualClock, delay: Callable[[str, str], float]) -> None:
        """Make links that are all whole.

        Args:
            clock: Time and timers.
            delay: One-way seconds between two halls.
        """
        self._clock = clock
        self._delay = delay
        self.cut_halls: set[str] = set()
        self.dead: set[str] = set()

    def send(
        self,
        sender: tuple[str, str],
        receiver: tuple[str, str],
        call: Callable[..., None],
        *args: Any,
    ) -> None:
        """Deliver a call after the delay, unless the link is cut by then.

        Args:
            sender: Name and hall of the sending instance.
            receiver: Name and hall of the receiving instance.
            call: What to call there.
            args: Its arguments.
        """
        if self.is_cut(sender, receiver):
            return
        delay = self._delay(sender[1], receiver[1])
        self._clock.callLater(delay, self._deliver, sender, receiver, call, args)

    def is_cut(self, sender: tuple[str, str], receiver: tuple[str, str]) -> bool:
        """Say whether nothing passes between two instances.

        Args:
            sender: Name and hall.
            receiver: Name and hall.

        Returns:
            Whether their halls are cut off from each other, or one of them is dead.
        """
        if self.dead and (sender[0] in self.dead or receiver[0] in self.dead):
            return True
        if sender[1] == receiver[1] or not self.cut_halls:
            return False
        return sender[1] in self.cut_halls or receiver[1] in self.cut_halls

    def _deliver(
        self,
        sender: tuple[str, str],
        receiver: tuple[str, str],
        call: Callable[..., None],
        args: tuple[Any, ...],
    ) -> None:
        if not self.is_cut(sender, receiver):
            call(*args)


class TargetGate:
    """The connections that one target has accepted, from all instances."""

    def __init__(self, model: target_model.TargetModel, cap: int) -> None:
        """Start without connections.

        Args:
            model: The target.
            cap: Connections accepted at once.
        """
        self.model = model
        self.cap = cap
        self.open = 0
        self.refused = 0
        self.lost: list[Callable[[], None]] = []

    def accept(self) -> bool:
        """Accept a connection if there is room.

        Returns:
            Whether it was accepted.
        """
        if self.open >= self.cap:
            self.refused += 1
            return False
        self.open += 1
        return True

    def go_down(self) -> None:
        """Lose the target with all its connections."""
        self.model.go_down()
        self.open = 0
        lost, self.lost = self.lost, []
        for tell in lost:
            tell()


@dataclasses.dataclass(slots=True, eq=False)
class _Exchange:
    """An attempt on its connection."""

    target: catalog.Target
    attempt: ports.Attempt
    on_outcome: Callable[[ports.Outcome], None] | None
    is_over: bool = False


class TargetPort:
    """One instance's connections to targets."""

    def __init__(
        self,
        clock: VirtualClock,
        gates: dict[str, TargetGate],
        delay: float,
        connect_seconds: float,
    ) -> None:
        """Start without connections.

        Args:
            clock: Time and timers.
            gates: All targets by name.
            delay: One-way seconds to a target.
            connect_seconds: Seconds that a new connection takes.
        """
        self._clock = clock
        self._gates = gates
        self._delay = delay
        self._connect_seconds = connect_seconds
        self._open: dict[str, int] = {}
        self._idle: dict[str, int] = {}

    def send(
        self,
        target: catalog.Target,
        attempt: ports.Attempt,
        on_outcome: Callable[[ports.Outcome], None],
    ) -> Callable[[], None]:
        """Start an attempt; see `lineworks.engine.ports.TargetPort`."""
        exchange = _Exchange(target, attempt, on_outcome)
        delay = self._delay
        if self._idle.get(target.name, 0):
            self._idle[target.name] -= 1
        elif self._open.get(target.name, 0) < ownership.connection_share(target.connections):
            self._open[target.name] = self._open.get(target.name, 0) + 1
            delay += self._connect_seconds
        else:
            self._clock.callLater(0, self._refuse, exchange, verdict.Reason.CAPPED)
            return lambda: self._forget(exchange)
        is_new = delay > self._delay
        self._clock.callLater(delay, self._arrive, exchange, is_new)
        return lambda: self._cancel(exchange)

    def _arrive(self, exchange: _Exchange, is_new: bool) -> None:
        gate = self._gates[exchange.target.name]
        if gate.model.is_down:
            self._drop(exchange)
            self._refuse(exchange, verdict.Reason.UNREACHABLE)
            return
        if is_new and not gate.accept():
            self._drop(exchange)
            self._refuse(exchange, verdict.Reason.CAPPED)
            return
        lose = lambda: self._lose(exchange)  # noqa: E731
        gate.lost.append(lose)
        gate.model.submit(
            exchange.attempt, lambda outcome: self._depart(exchange, gate, lose, outcome)
        )

    def _depart(
        self,
        exchange: _Exchange,
        gate: TargetGate,
        lose: Callable[[], None],
        outcome: ports.Outcome,
    ) -> None:
        gate.lost.remove(lose)
        self._clock.callLater(self._delay, self._return, exchange, outcome)

    def _return(self, exchange: _Exchange, outcome: ports.Outcome) -> None:
        exchange.is_over = True
        name = exchange.target.name
        self._idle[name] = self._idle.get(name, 0) + 1
        self._tell(exchange, outcome)

    def _lose(self, exchange: _Exchange) -> None:
        found = verdict.may_have_run(verdict.Reason.LINK_LOST, "the target went down")
        self._drop(exchange)
        self._clock.callLater(self._delay, self._tell, exchange, ports.Outcome(found))

    def _refuse(self, exchange: _Exchange, reason: verdict.Reason) -> None:
        exchange.is_over = True
        self._tell(exchange, ports.Outcome(verdict.not_run(reason)))

    def _drop(self, exchange: _Exchange) -> None:
        """Close a connection; those idle to a target that went down are gone as well."""
        exchange.is_over = True
        name = exchange.target.name
        self._open[name] = max(0, self._open[name] - 1 - self._idle.pop(name, 0))

    def _tell(self, exchange: _Exchange, outcome: ports.Outcome) -> None:
        on_outcome = exchange.on_outcome
        exchange.on_outcome = None
        if on_outcome is not None:
            on_outcome(outcome)

    def _forget(self, exchange: _Exchange) -> None:
        exchange.on_outcome = None

    def _cancel(self, exchange: _Exchange) -> None:
        self._forget(exchange)
        if not exchange.is_over:
            model = self._gates[exchange.target.name].model
            self._clock.callLater(self._delay, model.cancel, exchange.attempt.id)
