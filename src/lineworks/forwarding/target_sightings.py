"""What this instance saw of slow targets, and what it makes of what others saw."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lineworks.decisions import target_evidence

if TYPE_CHECKING:
    from collections.abc import Callable

MEMORY_HALF_LIFE = 2.0
"""Seconds after which what is known of a target counts half, so that it is tried again."""


class TargetSightings:
    """Sightings of one instance's targets."""

    def __init__(self, is_shared: bool) -> None:
        """Start with nothing seen.

        Args:
            is_shared: Whether what was seen is told and heeded.
        """
        self._is_shared = is_shared
        self.evidence = target_evidence.TargetEvidence()
        """What this instance and others saw."""
        self.on_sighting: Callable[[target_evidence.Sighting], None] = lambda sighting: None
        """Takes what this instance saw."""

    @property
    def has_reports(self) -> bool:
        """Whether anything is believed of any target."""
        return self._is_shared and self.evidence.has_beliefs

    def reported_seconds(
        self, target: str, last_outcome_at: float, now: float, usual: float
    ) -> float:
        """Tell how long a target takes by what was said of it.

        Args:
            target: Identity of its process.
            noted_at: When this instance last saw itself how it does, in seconds.
            now: The present, in seconds.
            usual: Usual time of its service, in seconds.

        Returns:
            Seconds; 0 when nothing was said since this instance saw it.
        """
        told = self.evidence.slowness(target, now) if self._is_shared else None
        if told is None or told.at <= last_outcome_at:
            return 0.0
        return usual * (1 + (told.factor - 1) * 0.5 ** ((now - told.at) / MEMORY_HALF_LIFE))

    def note_answer(self, target: str, now: float, seconds: float, usual: float) -> None:
        """Tell of an answer that was slow, or that shows a target called slow to be well.

        Args:
            target: Identity of its process.
            now: The present, in seconds.
            seconds: How long it took.
            usual: Usual time of its service, in seconds.
        """
        is_fast = seconds <= target_evidence.FAST_FACTOR * usual
        if is_fast and self.evidence.is_called_slow(target):
            self._share(target_evidence.Sighting(target, target_evidence.Kind.WELL), now)
        else:
            self.note_given_up(target, now, seconds, usual)

    def note_given_up(self, target: str, now: float, seconds: float, usual: float) -> None:
        """Tell of a target that has taken long.

        Args:
            target: Identity of its process.
            now: The present, in seconds.
            seconds: How long it was waited for.
            usual: Usual time of its service, in seconds; 0 while it is not known.
        """
        if usual and seconds >= target_evidence.SLOW_FACTOR * usual:
            factor = seconds / usual
            self._share(target_evidence.Sighting(target, target_evidence.Kind.SLOW, factor), now)

    def note_unreachable(self, target: str, now: float) -> None:
        """Tell of a target that no connection could be opened to.

        Args:
            target: Identity of its process.
            now: The present, in seconds.
        """
        factor = target_evidence.MOST_FACTOR
        self._share(target_evidence.Sighting(target, target_evidence.Kind.SLOW, factor), now)

    def note_gone(self, target: str, now: float) -> None:
        """Tell that another process has a target's address.

        Args:
            target: Identity of the process that was expected.
            now: The present, in seconds.
        """
        self._share(target_evidence.Sighting(target, target_evidence.Kind.GONE), now)

    def _share(self, sighting: target_evidence.Sighting, now: float) -> None:
        if not self._is_shared:
            return
        if sighting.kind is not target_evidence.Kind.SLOW:
            # What this instance saw itself holds here at once.
            self.evidence.believe(sighting, now)
        self.on_sighting(sighting)
