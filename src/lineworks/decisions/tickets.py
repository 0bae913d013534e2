"""Tickets: each one permits a single request to run once.

A ticket is bound to one incarnation of one instance. Only the incarnation that issued a ticket may
run its request, so no agreement with other instances is needed. Tickets are kept in memory only:
when the instance stops, its unused tickets can never run.
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

MAX_NUMBER_DIGITS = 20
"""Maximum number of digits of a ticket's number: that of 64 bits."""

OUTCOME_RETENTION_SECONDS = 120.0
"""Seconds after a ticket's expiry for which the outcome of its request is kept."""


class TicketError(ValueError):
    """A string is not a valid ticket."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """The parts of a ticket."""

    instance: str
    """Name of the instance that issued the ticket."""

    incarnation: str
    """Identity of that instance's process."""

    number: int
    """Sequence number within that process."""

    nonce: str
    """Random hexadecimal digits, so that a ticket cannot be guessed."""

    def __str__(self) -> str:
        return "~".join((_PREFIX, self.instance, self.incarnation, str(self.number), self.nonce))


def parse(text: str) -> Ticket:
    """Parse a ticket.

    Args:
        text: The ticket as it was given to the caller.

    Returns:
        The parts of the ticket.

    Raises:
        TicketError: The text is not a valid ticket.
    """
    parts = text.split("~")
    if len(parts) != 5 or parts[0] != _PREFIX or not _is_number(parts[3]):
        raise TicketError("not a ticket")
    return Ticket(parts[1], parts[2], int(parts[3]), parts[4])


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdecimal() and len(text) <= MAX_NUMBER_DIGITS


class State(enum.Enum):
    """State of a ticket."""

    UNUSED = "unused"
    """The ticket has not been redeemed."""

    RUNNING = "running"
    """Its request is running."""

    DONE = "done"
    """Its request has ended, and the outcome is known."""


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
    """The same request is already running: wait for its outcome."""


@dataclasses.dataclass(frozen=True, slots=True)
class Replay(Generic[T]):
    """The same request has already run: return its outcome again."""

    outcome: T
    """The outcome."""


class TicketRegistry(Generic[T]):
    """The tickets issued by one incarnation of an instance."""

    def __init__(self, instance: str, incarnation: str, rng: random.Random) -> None:
        """Initialize an empty registry.

        Args:
            instance: Name of this instance.
            incarnation: Identity of this process.
            rng: Source of nonces; must be unpredictable in production.
        """
        self._instance = instance
        self._incarnation = incarnation
        self._rng = rng
        self._last_number = 0
        self._entries: dict[str, _Entry[T]] = {}
        self._expiries: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return len(self._entries)

    def issue(self, now: float, lifetime: float) -> Ticket:
        """Issue a ticket.

        Args:
            now: Current time in seconds.
            lifetime: Seconds for which the ticket may be redeemed.

        Returns:
            The ticket.
        """
        self._drop_expired(now)
        self._last_number += 1
        nonce = f"{self._rng.getrandbits(_RANDOM_BITS):016x}"
        ticket = Ticket(self._instance, self._incarnation, self._last_number, nonce)
        self._entries[str(ticket)] = _Entry(now + lifetime)
        heapq.heappush(self._expiries, (now + lifetime + OUTCOME_RETENTION_SECONDS, str(ticket)))
        return ticket

    def redeem(
        self, text: str, fingerprint: str, now: float
    ) -> Run | Wait | Replay[T] | verdict.Verdict:
        """Redeem a ticket.

        Args:
            text: The ticket.
            fingerprint: Digest of the request; a ticket is valid for one request only.
            now: Current time in seconds.

        Returns:
            What to do with the request; a verdict if it must not run.
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
        return Replay(entry.outcome)

    def record_outcome(self, text: str, outcome: T) -> None:
        """Record the outcome of a ticket's request.

        Args:
            text: The ticket.
            outcome: The outcome.
        """
        entry = self._entries.get(text)
        if entry is not None:
            entry.state = State.DONE
            entry.outcome = outcome

    def void_unused(self) -> int:
        """Invalidate all unused tickets, because this instance is stopping.

        Returns:
            Number of tickets that were invalidated.
        """
        unused = [text for text, entry in self._entries.items() if entry.state is State.UNUSED]
        for text in unused:
            del self._entries[text]
        return len(unused)

    def _drop_expired(self, now: float) -> None:
        while self._expiries and self._expiries[0][0] <= now:
            _, text = heapq.heappop(self._expiries)
            entry = self._entries.get(text)
            if entry is not None and entry.state is not State.RUNNING:
                del self._entries[text]
