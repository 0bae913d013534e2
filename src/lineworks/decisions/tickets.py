"""Tickets: the right to run one request once, bound to one incarnation of one instance.

Only the incarnation that issued a ticket may run it, so no agreement with others is needed. The
book lives in memory; when its instance goes, unused tickets can never run.
"""

from __future__ import annotations

import dataclasses
import enum
import heapq
from typing import TYPE_CHECKING, Generic, TypeVar

from lineworks.decisions import verdict

if TYPE_CHECKING:
    import random

T = TypeVar("T")

_PREFIX = "t1"
_RANDOM_BITS = 64

LINGER = 120.0
"""Seconds after its expiry for which a used ticket's outcome is remembered."""


class TicketError(ValueError):
    """A text is not a ticket."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """The parts of a ticket."""

    instance: str
    """Name of the instance that issued it."""

    incarnation: str
    """Identity of that instance's process."""

    number: int
    """Counter of that process."""

    nonce: str
    """Random digits, so that a ticket cannot be guessed."""

    def __str__(self) -> str:
        return "~".join((_PREFIX, self.instance, self.incarnation, str(self.number), self.nonce))


def parse(text: str) -> Ticket:
    """Read a ticket.

    Args:
        text: As given to the caller.

    Returns:
        Its parts.

    Raises:
        TicketError: The text is not a ticket.
    """
    parts = text.split("~")
    if len(parts) != 5 or parts[0] != _PREFIX or not parts[3].isdecimal():
        raise TicketError("not a ticket")
    return Ticket(parts[1], parts[2], int(parts[3]), parts[4])


class State(enum.Enum):
    """What a ticket was used for."""

    UNUSED = "unused"
    """Nothing yet."""

    RUNNING = "running"
    """Its request is under way."""

    DONE = "done"
    """Its request has an outcome."""


@dataclasses.dataclass(slots=True)
class _Entry(Generic[T]):
    expires: float
    state: State = State.UNUSED
    fingerprint: str = ""
    outcome: T | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """The ticket was unused: run the request now."""


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """The same request is under way: its outcome will be this one's too."""


@dataclasses.dataclass(frozen=True, slots=True)
class Known(Generic[T]):
    """The same request ran before."""

    outcome: T
    """Its outcome."""


class TicketBook(Generic[T]):
    """The tickets that one incarnation has issued."""

    def __init__(self, instance: str, incarnation: str, rng: random.Random) -> None:
        """Start empty.

        Args:
            instance: Name of this instance.
            incarnation: Identity of this process.
            rng: Source of nonces; not predictable in production.
        """
        self._instance = instance
        self._incarnation = incarnation
        self._rng = rng
        self._number = 0
        self._entries: dict[str, _Entry[T]] = {}
        self._expiries: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return len(self._entries)

    def mint(self, now: float, lifetime: float) -> Ticket:
        """Issue a ticket.

        Args:
            now: The present, in seconds.
            lifetime: Seconds for which it may be used.

        Returns:
            The ticket.
        """
        self._forget(now)
        self._number += 1
        nonce = f"{self._rng.getrandbits(_RANDOM_BITS):016x}"
        ticket = Ticket(self._instance, self._incarnation, self._number, nonce)
        self._entries[str(ticket)] = _Entry(now + lifetime)
        heapq.heappush(self._expiries, (now + lifetime + LINGER, str(ticket)))
        return ticket

    def redeem(
        self, text: str, fingerprint: str, now: float
    ) -> Run | Wait | Known[T] | verdict.Verdict:
        """Use a ticket.

        Args:
            text: The ticket.
            fingerprint: Digest of the request; a ticket serves one request only.
            now: The present, in seconds.

        Returns:
            What to do; a verdict when the request must not run.
        """
        entry = self._entries.get(text)
        if entry is None:
            return verdict.not_run(verdict.Reason.TICKET_UNKNOWN, "not issued here, or forgotten")
        if entry.state is State.UNUSED:
            if now >= entry.expires:
                return verdict.not_run(verdict.Reason.TICKET_EXPIRED, "the ticket's time is over")
            entry.state = State.RUNNING
            entry.fingerprint = fingerprint
            return Run()
        if entry.fingerprint != fingerprint:
            detail = "the ticket was used for another request"
            return verdict.not_run(verdict.Reason.TICKET_USED, detail)
        if entry.state is State.RUNNING:
            return Wait()
        assert entry.outcome is not None
        return Known(entry.outcome)

    def settle(self, text: str, outcome: T) -> None:
        """Note the outcome of a ticket's request.

        Args:
            text: The ticket.
            outcome: The outcome.
        """
        entry = self._entries.get(text)
        if entry is not None:
            entry.state = State.DONE
            entry.outcome = outcome

    def void_unused(self) -> int:
        """Make every unused ticket worthless, because this instance stops.

        Returns:
            How many there were.
        """
        unused = [text for text, entry in self._entries.items() if entry.state is State.UNUSED]
        for text in unused:
            del self._entries[text]
        return len(unused)

    def _forget(self, now: float) -> None:
        while self._expiries and self._expiries[0][0] <= now:
            _, text = heapq.heappop(self._expiries)
            entry = self._entries.get(text)
            if entry is not None and entry.state is not State.RUNNING:
                del self._entries[text]
