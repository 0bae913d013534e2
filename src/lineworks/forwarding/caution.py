"""How carefully one try of a request goes on, by what it has done to targets so far.

While targets have broken off and none has answered, the request itself may be what ends them. Its
repeats and hedges then wait: they would end the other copies of its shards as well. A search ended
16 targets of 12 shards by its first try in this way, and 168 by the tries of 24 seconds.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lineworks.decisions import verdict
    from lineworks.forwarding import suspect_exchange

REPORT_AT_LOSSES = 3
"""Targets that broke off under a try without an answer at which the other instances are told before
the try is over: its caller may ask one of them a few milliseconds after its end."""

MAX_READ_LOSSES = 2
"""Targets that a request to one service may lose before it ends: a second one shows whether the
first loss was chance, a third would only cost one more target."""


class CrashGuard:
    """What one try has shown of its request."""

    def __init__(
        self,
        exchange: suspect_exchange.SuspectExchange,
        content: str,
        attempt: str,
        is_trial: bool,
    ) -> None:
        """Start without evidence.

        Args:
            exchange: Takes what is found.
            content: Fingerprint of the request.
            attempt: Identity of the try.
            is_trial: Whether the request is a suspect.
        """
        self._exchange = exchange
        self._content = content
        self._attempt = attempt
        self._started_as_trial = is_trial
        self._broken: dict[str, None] = {}
        self._is_answered = False
        self._is_told = False
        self._is_over = False

    @property
    def broken(self) -> tuple[str, ...]:
        """Targets that broke off, each once."""
        return tuple(self._broken)

    @property
    def is_answered(self) -> bool:
        """Whether a target ran the request and answered."""
        return self._is_answered

    @property
    def is_trial(self) -> bool:
        """Whether it may run on one target at a time only."""
        return self._started_as_trial and not self._is_answered

    @property
    def blocks_retries(self) -> bool:
        """Whether repeats and hedges wait: targets broke off and none has answered."""
        return bool(self._broken) and not self._is_answered

    @property
    def has_reached_loss_limit(self) -> bool:
        """Whether a request to one service has lost as many targets as it may."""
        most = 1 if self._started_as_trial else MAX_READ_LOSSES
        return self.blocks_retries and len(self._broken) >= most

    def note_end(self, target: str, lost_before_answer: bool, found: verdict.Verdict) -> None:
        """Take in the end of an attempt.

        Args:
            target: Identity of the target.
            broke_off: Whether its connection ended before any byte of an answer.
            found: What is known of the attempt.
        """
        if lost_before_answer:
            self.note_broken(target)
        elif found.is_answered:
            self.note_answer()

    def note_answer(self) -> None:
        """Note that a target ran the request and answered, whatever it answered."""
        if not self._is_answered:
            self._is_answered = True
            self._exchange.note_answer(self._content)

    def note_broken(self, target: str) -> None:
        """Note that a target broke off.

        Args:
            target: Its identity.
        """
        if target in self._broken:
            return
        self._broken[target] = None
        if (
            self._is_told
            or self._is_over
            or self._started_as_trial
            or len(self._broken) >= REPORT_AT_LOSSES
        ):
            self._report()

    def finish(self) -> None:
        """Note that the try is over."""
        self._is_over = True
        self._report()

    def _report(self) -> None:
        if self.blocks_retries:
            self._is_told = True
            self._exchange.note_broken(
                self._content, self.broken, self._attempt, self._started_as_trial
            )
