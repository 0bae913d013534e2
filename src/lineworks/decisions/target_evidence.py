"""What the instances of a data hall tell each other of slow and vanished targets.

Load pattern: 15 of 100 targets turn slow at once, and one of 195 instances sends each of them a
request in many seconds. Alone it finds out by being late; together the hall knows within half a
second, and first attempts go elsewhere.

A report is evidence, never a verdict. It makes a target count as slower when one is chosen, and no
target is passed over for it, so a hall that calls all its targets slow still uses all of them. It
counts only when two instances say so, further apart than a pause of a target lasts, which keeps one
instance with a bad link and a target that paused from drawing the others along. An instance that
calls most targets slow is slow itself, and is not heeded. What an instance sees later by itself
goes before all that it was told.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

_Value = TypeVar("_Value")

MIN_SLOW_SECONDS = 0.3
"""Seconds that must lie between the reports on a target that is called slow: more than the pauses
that targets make, which are over by then."""

CONFIRM_WINDOW_SECONDS = 2.0
"""Seconds within which they must come: two pauses of a sound target lie further apart."""

MIN_ORIGINS = 2
"""Instances that must say so, this one included."""

BELIEF_SECONDS = 6.0
"""Seconds after which a target is not believed to be slow any more unless it is called so again:
three half-lives of what is known of a target."""

MAX_FACTOR = 10.0
"""Multiple of the usual time that a report can claim."""

SLOW_FACTOR = 3.0
"""Multiple of the usual time from which on an answer is worth telling: one in a hundred answers of
a sound target takes longer."""

FAST_FACTOR = 1.5
"""Multiple of the usual time up to which an answer shows that a target is well."""

MAX_SLOW_SHARE = 0.5
"""Part of all targets that an instance may call slow before it is not heeded."""

MIN_SLOW_LIMIT = 8
"""Targets that it may call slow in any case."""


class Kind(enum.IntEnum):
    """What an instance saw of a target."""

    SLOW = 0
    """It took a multiple of its usual time, or could not be reached."""

    WELL = 1
    """It was called slow and answered in its usual time."""

    GONE = 2
    """Another process has its address."""


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """What an instance saw of one target."""

    target: str
    """Identity of the target's process."""

    kind: Kind
    """What was seen."""

    factor: float = 0.0
    """Multiple of the usual time that a slow one took."""


@dataclasses.dataclass(frozen=True, slots=True)
class Slowness:
    """What is believed of a slow target."""

    factor: float
    """Multiple of the usual time that it takes."""

    at: float
    """When this was last confirmed, in seconds."""


@dataclasses.dataclass(slots=True)
class _Report:
    """What one instance said of one target lately."""

    factor: float
    first: float
    last: float


class TargetEvidence:
    """Reports by target and origin, and what is believed for them.

    What is believed is worked out when a report comes: a search looks at hundreds of targets.
    """

    def __init__(self) -> None:
        self._reports: dict[str, dict[str, _Report]] = {}
        self._beliefs: dict[str, Slowness] = {}
        # By origin the targets that it called slow, with the time of the last report.
        self._slow_by_origin: dict[str, dict[str, float]] = {}
        self.targets = 0
        """Targets known, of which an instance may call a part slow."""

    @property
    def has_beliefs(self) -> bool:
        """Whether anything is believed of any target."""
        return bool(self._beliefs)

    def note(self, observation: Observation, origin: str, at: float) -> bool:
        """Take in what an instance saw of a target.

        Args:
            sighting: What it saw.
            origin: Name of the instance.
            at: When it was seen, in seconds.

        Returns:
            Whether something is believed anew of the target, or not any more.
        """
        target = observation.target
        if observation.kind is Kind.SLOW:
            if not self._is_credible(target, origin, at):
                return False
            return self._note_slow(target, origin, min(MAX_FACTOR, observation.factor), at)
        self._reports.pop(target, None)
        was_slow = target in self._beliefs
        self.believe(observation, at)
        return was_slow or observation.kind is Kind.GONE

    def believe(self, observation: Observation, at: float) -> None:
        """Take over what is believed of a target, by several reports.

        Args:
            sighting: How it does.
            at: When this was told, in seconds.
        """
        if observation.kind is Kind.WELL:
            self._beliefs.pop(observation.target, None)
            return
        is_slow = observation.kind is Kind.SLOW
        factor = min(MAX_FACTOR, observation.factor) if is_slow else MAX_FACTOR
        self._beliefs[observation.target] = Slowness(factor, at)

    def has_slow_reports(self, target: str) -> bool:
        """Say whether a target is believed to be slow, or is called so by an instance.

        Args:
            target: Identity of its process.

        Returns:
            Whether there is a belief or a report.
        """
        return target in self._reports or target in self._beliefs

    def slowness(self, target: str, now: float) -> Slowness | None:
        """Tell how slow a target is believed to be.

        Args:
            target: Identity of its process.
            now: The present, in seconds.

        Returns:
            The belief, or None when there is not enough evidence.
        """
        belief = self._beliefs.get(target)
        if belief is None or now - belief.at > BELIEF_SECONDS:
            return None
        return belief

    def forget_absent(self, present: set[str]) -> None:
        """Forget targets that are not there any more.

        Args:
            present: Identities of those that are.
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
        """Say whether enough instances call a target slow, for longer than a pause."""
        late = [origin for origin in reports if now - reports[origin].last > CONFIRM_WINDOW_SECONDS]
        for origin in late:
            del reports[origin]
        first = min(report.first for report in reports.values())
        return len(reports) >= MIN_ORIGINS and now - first >= MIN_SLOW_SECONDS

    def _is_credible(self, target: str, origin: str, at: float) -> bool:
        """Note whom an instance calls slow, and say whether these are not too many."""
        called = self._slow_by_origin.setdefault(origin, {})
        called[target] = at
        most = max(MIN_SLOW_LIMIT, MAX_SLOW_SHARE * self.targets)
        if len(called) <= most:
            return True
        recent = {one: last for one, last in called.items() if at - last <= BELIEF_SECONDS}
        self._slow_by_origin[origin] = recent
        if len(recent) <= most:
            return True
        for reports in self._reports.values():
            reports.pop(origin, None)
        return False


def _only_present(known: Mapping[str, _Value], present: Collection[str]) -> dict[str, _Value]:
    return {target: value for target, value in known.items() if target in present}
