"""Combines what the instances of a data hall report about slow and replaced targets.

Each of 195 instances sends a given target only one request in many seconds. When 15 of 100 targets
turn slow at once, an instance alone notices only through late requests; sharing observations, the
hall notices within half a second, and first attempts go to other targets.

A report only makes a target count as slower when one is chosen; it never excludes a target, so a
hall that reports all its targets as slow still uses all of them. A target is believed to be slow
only when two instances report it, over a longer time than a target's pause lasts. This keeps one
instance with a bad link, or a target that paused, from misleading the others. Reports by an
instance that reports most targets as slow are ignored, as it is probably slow itself. An instance's
own later observations take precedence over the reports of others.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

_Value = TypeVar("_Value")

MIN_SLOW_SECONDS = 0.3
"""Seconds that the reports on a slow target must span: longer than a pause of a target, so that a
paused target is not taken for a slow one."""

CONFIRM_WINDOW_SECONDS = 2.0
"""Window within which the reports must arrive, in seconds: two pauses of a healthy target are
further apart."""

MIN_ORIGINS = 2
"""Number of instances that must report a target as slow, including this one."""

BELIEF_SECONDS = 6.0
"""Seconds after which a belief that a target is slow expires unless it is confirmed again: three
half-lives of the statistics about a target."""

MAX_FACTOR = 10.0
"""Cap on the multiple of the usual time that a report can claim."""

SLOW_FACTOR = 3.0
"""Multiple of the usual time from which an answer is reported as slow: one in a hundred answers of
a healthy target takes longer."""

FAST_FACTOR = 1.5
"""Multiple of the usual time up to which an answer shows that a target is healthy."""

MAX_SLOW_SHARE = 0.5
"""Share of all targets that an instance may report as slow before its reports are ignored."""

MIN_SLOW_LIMIT = 8
"""Number of targets that an instance may always report as slow."""


class Kind(enum.IntEnum):
    """Kinds of observations of a target."""

    SLOW = 0
    """It took a multiple of its usual time, or was unreachable."""

    WELL = 1
    """It was reported as slow and has now answered in its usual time."""

    GONE = 2
    """Another process now listens on its address."""


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """What an instance observed of one target."""

    target: str
    """Identity of the target's process."""

    kind: Kind
    """Kind of the observation."""

    factor: float = 0.0
    """For a slow target, the multiple of its usual time that it took."""


@dataclasses.dataclass(frozen=True, slots=True)
class Slowness:
    """Belief that a target is slow."""

    factor: float
    """Multiple of the usual time that it takes."""

    at: float
    """When this was last confirmed, in seconds."""


@dataclasses.dataclass(slots=True)
class _Report:
    """Recent reports of one instance on one target."""

    factor: float
    first: float
    last: float


class TargetEvidence:
    """Holds the reports by target and origin, and the beliefs derived from them.

    Beliefs are computed when a report arrives, as a search looks up hundreds of targets.
    """

    def __init__(self) -> None:
        self._reports: dict[str, dict[str, _Report]] = {}
        self._beliefs: dict[str, Slowness] = {}
        # By origin: the targets that it reported as slow, with the time of the last report.
        self._slow_by_origin: dict[str, dict[str, float]] = {}
        self.targets = 0
        """Number of known targets; an instance may report a share of them as slow."""

    @property
    def has_beliefs(self) -> bool:
        """Whether there is a belief about any target."""
        return bool(self._beliefs)

    def note(self, observation: Observation, origin: str, at: float) -> bool:
        """Apply an observation of a target by an instance.

        Args:
            observation: The observation.
            origin: Name of the instance that made it.
            at: When it was made, in seconds.

        Returns:
            Whether the belief about the target was set, renewed or removed.
        """
        target = observation.target
        if observation.kind is Kind.SLOW:
            if not self._is_credible(target, origin, at):
                return False
            return self._note_slow(target, origin, min(MAX_FACTOR, observation.factor), at)
        self._reports.pop(target, None)
        was_slow = target in self._beliefs
        self.set_belief(observation, at)
        return was_slow or observation.kind is Kind.GONE

    def set_belief(self, observation: Observation, at: float) -> None:
        """Set the belief about a target directly, without counting reports.

        Args:
            observation: State of the target.
            at: When this was received, in seconds.
        """
        if observation.kind is Kind.WELL:
            self._beliefs.pop(observation.target, None)
            return
        is_slow = observation.kind is Kind.SLOW
        factor = min(MAX_FACTOR, observation.factor) if is_slow else MAX_FACTOR
        self._beliefs[observation.target] = Slowness(factor, at)

    def has_slow_reports(self, target: str) -> bool:
        """Return whether a target is believed or reported to be slow.

        Args:
            target: Identity of its process.

        Returns:
            Whether there is a belief or a report.
        """
        return target in self._reports or target in self._beliefs

    def slowness(self, target: str, now: float) -> Slowness | None:
        """Return how slow a target is believed to be.

        Args:
            target: Identity of its process.
            now: Current time in seconds.

        Returns:
            The belief, or None without one or when it has expired.
        """
        belief = self._beliefs.get(target)
        if belief is None or now - belief.at > BELIEF_SECONDS:
            return None
        return belief

    def forget_absent(self, present: set[str]) -> None:
        """Discard all data on targets that are gone.

        Args:
            present: Identities of the remaining targets.
        """
        self.targets = len(present)
        self._reports = _only_present(self._reports, present)
        self._beliefs = _only_present(self._beliefs, present)
        self._slow_by_origin = {
            origin: _only_present(one, present) for origin, one in self._slow_by_origin.items()
        }

    def _note_slow(self, target: str, origin: str, factor: float, at: float) -> bool:
        reports = self._reports.setdefault(target, {})
        known = reports.get(origin)
        if known is None or at - known.last > CONFIRM_WINDOW_SECONDS:
            reports[origin] = _Report(factor, at, at)
        else:
            known.factor, known.last = factor, max(known.last, at)
        if self.slowness(target, at) is None and not self._is_confirmed(reports, at):
            return False
        factors = sorted((report.factor for report in reports.values()), reverse=True)
        place = min(MIN_ORIGINS, len(factors)) - 1
        self._beliefs[target] = Slowness(factors[place], at)
        return True

    def _is_confirmed(self, reports: dict[str, _Report], now: float) -> bool:
        """Return whether enough instances report a slow target, over more than a pause."""
        late = [origin for origin in reports if now - reports[origin].last > CONFIRM_WINDOW_SECONDS]
        for origin in late:
            del reports[origin]
        first = min(report.first for report in reports.values())
        return len(reports) >= MIN_ORIGINS and now - first >= MIN_SLOW_SECONDS

    def _is_credible(self, target: str, origin: str, at: float) -> bool:
        """Record that an instance reports a target as slow; return whether its reports count."""
        slow_targets = self._slow_by_origin.setdefault(origin, {})
        slow_targets[target] = at
        limit = max(MIN_SLOW_LIMIT, MAX_SLOW_SHARE * self.targets)
        if len(slow_targets) <= limit:
            return True
        recent = {one: last for one, last in slow_targets.items() if at - last <= BELIEF_SECONDS}
        self._slow_by_origin[origin] = recent
        if len(recent) <= limit:
            return True
        for reports in self._reports.values():
            reports.pop(origin, None)
        return False


def _only_present(known: Mapping[str, _Value], present: Collection[str]) -> dict[str, _Value]:
    return {target: value for target, value in known.items() if target in present}
