"""Observations of slow targets, made by this instance or reported by others."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lineworks.decisions import target_evidence

if TYPE_CHECKING:
    from collections.abc import Callable

MEMORY_HALF_LIFE = 2.0
"""Seconds after which an observation of a target counts half, so that the target is tried again."""


class TargetObservations:
    """Collects observations of one instance's targets and shares its own with other instances."""

    def __init__(self, is_shared: bool) -> None:
        """Start without observations.

        Args:
            is_shared: Whether observations are shared with other instances and theirs are used.
        """
        self._is_shared = is_shared
        self.evidence = target_evidence.TargetEvidence()
        """Observations by this instance and others."""
        self.on_observation: Callable[[target_evidence.Observation], None] = lambda observation: (
            None
        )
        """Called with each observation that this instance shares."""

    @property
    def has_reports(self) -> bool:
        """Whether any target is reported as slow or gone."""
        return self._is_shared and self.evidence.has_beliefs

    def reported_seconds(
        self, target: str, last_outcome_at: float, now: float, usual: float
    ) -> float:
        """Estimate the latency of a target from the reports about it.

        Args:
            target: Identity of its process.
            last_outcome_at: When a call of this instance to it last had an outcome, in seconds.
            now: The current time, in seconds.
            usual: Usual service time, in seconds.

        Returns:
            Seconds; 0 if nothing was reported since that outcome.
        """
        reported = self.evidence.slowness(target, now) if self._is_shared else None
        if reported is None or reported.at <= last_outcome_at:
            return 0.0
        return usual * (1 + (reported.factor - 1) * 0.5 ** ((now - reported.at) / MEMORY_HALF_LIFE))

    def note_answer(self, target: str, now: float, seconds: float, usual: float) -> None:
        """Share that an answer was slow, or that a target reported as slow is fast again.

        Args:
            target: Identity of its process.
            now: The current time, in seconds.
            seconds: How long the answer took.
            usual: Usual service time, in seconds.
        """
        is_fast = seconds <= target_evidence.FAST_FACTOR * usual
        if is_fast and self.evidence.has_slow_reports(target):
            self._share(target_evidence.Observation(target, target_evidence.Kind.WELL), now)
        else:
            self.note_given_up(target, now, seconds, usual)

    def note_given_up(self, target: str, now: float, seconds: float, usual: float) -> None:
        """Share that a target was slow, if it took long enough.

        Args:
            target: Identity of its process.
            now: The current time, in seconds.
            seconds: Time since the request was sent.
            usual: Usual service time, in seconds; 0 while it is unknown.
        """
        if usual and seconds >= target_evidence.SLOW_FACTOR * usual:
            factor = seconds / usual
            self._share(target_evidence.Observation(target, target_evidence.Kind.SLOW, factor), now)

    def note_unreachable(self, target: str, now: float) -> None:
        """Share that no connection to a target could be opened.

        Args:
            target: Identity of its process.
            now: The current time, in seconds.
        """
        factor = target_evidence.MAX_FACTOR
        self._share(target_evidence.Observation(target, target_evidence.Kind.SLOW, factor), now)

    def note_gone(self, target: str, now: float) -> None:
        """Share that another process listens on a target's address.

        Args:
            target: Identity of the process that was expected.
            now: The current time, in seconds.
        """
        self._share(target_evidence.Observation(target, target_evidence.Kind.GONE), now)

    def _share(self, observation: target_evidence.Observation, now: float) -> None:
        if not self._is_shared:
            return
        if observation.kind is not target_evidence.Kind.SLOW:
            # The instance acts on its own observations at once.
            self.evidence.set_belief(observation, now)
        self.on_observation(observation)
