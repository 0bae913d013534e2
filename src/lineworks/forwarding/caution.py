"""Holds back retries and hedges of a request that may be crashing its targets.

While targets have closed connections without an answer and none has answered, the request itself
may be what crashes them. Retries and hedges then wait, because they would crash the other replicas
of its shards as well. Without this, a single search crashed 16 targets of 12 shards with its first
try, and 168 with all tries within 24 seconds.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lineworks.decisions import verdict
    from lineworks.forwarding import suspect_exchange

REPORT_AT_LOSSES = 3
"""Number of targets lost without any answer at which other instances are informed before the try is
over: its caller may send the next try to one of them a few milliseconds later."""

MAX_SINGLE_REQUEST_LOSSES = 2
"""Number of lost targets after which a request to one service ends. The second target shows whether
the first loss was a coincidence; a third would only cost one more target."""


class CrashGuard:
    """Tracks lost connections and answers during one try of a request."""

    def __init__(
        self,
        exchange: suspect_exchange.SuspectExchange,
        content: str,
        attempt: str,
        is_trial: bool,
    ) -> None:
        """Start without evidence.

        Args:
            exchange: Receives the evidence.
            content: Fingerprint of the request.
            attempt: Identity of the try.
            is_trial: Whether the request is suspected of crashing targets.
        """
        self._exchange = exchange
        self._content = content
        self._attempt = attempt
        self._started_as_trial = is_trial
        self._broken: dict[str, None] = {}
        self._is_answered = False
        self._is_reported = False
        self._is_over = False

    @property
    def broken(self) -> tuple[str, ...]:
        """Targets that closed the connection without an answer, without duplicates."""
        return tuple(self._broken)

    @property
    def is_answered(self) -> bool:
        """Whether a target ran the request and answered."""
        return self._is_answered

    @property
    def is_trial(self) -> bool:
        """Whether the request may run on only one target at a time."""
        return self._started_as_trial and not self._is_answered

    @property
    def blocks_retries(self) -> bool:
        """Whether retries and hedges must wait: targets were lost and none has answered."""
        return bool(self._broken) and not self._is_answered

    @property
    def has_reached_loss_limit(self) -> bool:
        """Whether a request to one service has lost as many targets as allowed."""
        max_losses = 1 if self._started_as_trial else MAX_SINGLE_REQUEST_LOSSES
        return self.blocks_retries and len(self._broken) >= max_losses

    def note_end(self, target: str, lost_before_answer: bool, found: verdict.Verdict) -> None:
        """Record the end of an attempt.

        Args:
            target: Identity of the target.
            lost_before_answer: Whether its connection closed before any byte of an answer.
            found: Verdict on the attempt.
        """
        if lost_before_answer:
            self.note_loss(target)
        elif found.is_answered:
            self.note_answer()

    def note_answer(self) -> None:
        """Record that a target ran the request and answered, whatever the answer was."""
        if not self._is_answered:
            self._is_answered = True
            self._exchange.note_answer(self._content)

    def note_loss(self, target: str) -> None:
        """Record that a target closed the connection without an answer.

        Args:
            target: Its identity.
        """
        if target in self._broken:
            return
        self._broken[target] = None
        if (
            self._is_reported
            or self._is_over
            or self._started_as_trial
            or len(self._broken) >= REPORT_AT_LOSSES
        ):
            self._report()

    def finish(self) -> None:
        """End the try, and report its lost targets if none has answered."""
        self._is_over = True
        self._report()

    def _report(self) -> None:
        if self.blocks_retries:
            self._is_reported = True
            self._exchange.note_broken_connections(
                self._content, self.broken, self._attempt, self._started_as_trial
            )
