"""Requests under which targets ended, and what is done when such a request comes again.

A target that ends takes with it all that it was working on, so ends alone accuse the wrong ones: a
search that began beside a fatal one loses as many targets. What is asked therefore becomes a
*suspect* first: it runs on one target at a time. An answer from any target clears it. When a target
ends again while the suspect ran there by itself, and several ends are proven by now, it is
*refused* for a time that grows each time.

Records are merged from several instances in any order: ends are only added, and a higher epoch
replaces a lower one.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

MIN_PROVEN_ENDS = 3
"""Proven ends from which on a request may be refused: fewer can be chance, and as many are borne
before the platform's bound on such requests counts."""

REFUSE_SECONDS = (600.0, 3600.0, 86400.0)
"""Seconds for which a request is refused after its first, second and any later trial that ended a
target. The first is the platform's longest lease, the last leaves a day to an operator; together
with the first trial there are at most three before that."""

SUSPECT_SECONDS = 600.0
"""Seconds for which a suspect is remembered after its last proven end."""

UNPROVEN_SECONDS = 10.0
"""Seconds for which ends count that nobody could prove: a connection is refused within a round
trip, and the entry of a target that ended is gone or another after some seconds."""

CLEARED_SECONDS = 60.0
"""Seconds for which an answer clears what was asked: reports that are still on their way, or held
up by a cut or an outage, must not accuse it. Later its targets or their data may be others."""

MAX_ANSWERED = 2048
"""Fingerprints remembered at most of what was answered, some 0.4 MB. What many callers ask stays
among them."""

MIN_RESTART_SECONDS = 0.5
"""Seconds between two ends of a target under the same identity: no process is back sooner, and what
ended with it is noticed within a round trip."""

DOWN_SECONDS = 3.0
"""Seconds after a proven end in which a target can't end again: what breaks off there is a proxy
with nobody behind it. Shorter than the time after which the platform's bound counts, so that a
target that is back sooner costs no try beyond it."""

MAX_RECORDS = 256
"""Requests remembered at most: some 100 KB. Requests that are fatal come from few callers."""

MAX_ENDS = 8
"""Ends of one request remembered at most; proven ones and those of trials go first."""


class Judgement(enum.Enum):
    """What is to be done with a request."""

    CLEAR = "clear"
    """Nothing speaks against it."""

    TRIAL = "trial"
    """It is a suspect: send it to one target, and to others once that one has answered."""

    REFUSE = "refuse"
    """It ends the targets that run it: send it to none."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetEnd:
    """The end of a target while it ran a request."""

    target: str
    """Identity of the target's process. One that is back under it may not be told apart yet."""

    attempt: str
    """Identity of the try under which it ended."""

    at: float
    """When it was noticed, in seconds."""

    is_trial: bool
    """Whether the request ran there as a suspect, and nowhere else at the time."""

    is_proven: bool = False
    """Whether it is certain that the target ended, and not only the connection."""


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """What is known of one request."""

    content: str
    """Fingerprint of what is asked."""

    epoch: int
    """Number of times that it was cleared or lifted: later knowledge has a higher one."""

    ends: tuple[TargetEnd, ...] = ()
    """Ends of targets under it."""

    cleared_at: float | None = None
    """When a target answered it, in seconds; None while none did."""

    @property
    def trials(self) -> int:
        """Proven ends of trials."""
        return _count_distinct(end for end in self.ends if end.is_trial and end.is_proven)

    @property
    def proven(self) -> int:
        """Proven ends."""
        return _count_distinct(end for end in self.ends if end.is_proven)

    @property
    def last_at(self) -> float:
        """When the last target ended, in seconds."""
        return max((end.at for end in self.ends), default=float("-inf"))

    @property
    def refused_until(self) -> float:
        """Until when it is refused, in seconds; minus infinity where it isn't."""
        if self.proven < MIN_PROVEN_ENDS or not self.trials:
            return float("-inf")
        times = min(self.trials, len(REFUSE_SECONDS))
        return self.last_at + REFUSE_SECONDS[times - 1]

    def judge(self, now: float) -> Judgement:
        """Say what is to be done when it comes again.

        Args:
            now: The present, in seconds.

        Returns:
            The judgement.
        """
        if self.cleared_at is not None or not self.ends:
            return Judgement.CLEAR
        return Judgement.REFUSE if now < self.refused_until else Judgement.TRIAL

    def is_over(self, now: float) -> bool:
        """Say whether it can be forgotten.

        Args:
            now: The present, in seconds.

        Returns:
            Whether its time has passed.
        """
        if self.cleared_at is not None:
            return now >= self.cleared_at + CLEARED_SECONDS
        return now >= max(self.refused_until, self.last_at) + SUSPECT_SECONDS

    @property
    def retention_rank(self) -> tuple[bool, int, float]:
        """What a full memory keeps it by: refused ones first, then by ends, then the latest."""
        return bool(self.trials), len(self.ends), self.last_at


class Suspects:
    """The records of one instance."""

    def __init__(self) -> None:
        self._records: dict[str, Record] = {}
        # What a target answered lately, with the time, the latest last.
        self._answered: collections.OrderedDict[str, float] = collections.OrderedDict()
        self.forgotten = 0
        """Records dropped because the memory was full."""

    @property
    def records(self) -> Mapping[str, Record]:
        """The records by fingerprint."""
        return self._records

    def judge(self, content: str, now: float) -> Judgement:
        """Say what is to be done with a request.

        Args:
            content: Its fingerprint.
            now: The present, in seconds.

        Returns:
            The judgement.
        """
        found = self._records.get(content)
        return found.judge(now) if found is not None else Judgement.CLEAR

    def is_down(self, target: str, attempt: str, now: float) -> bool:
        """Say whether a target ended a moment ago, under any request, and so can't end again.

        Args:
            target: Identity of the target.
            attempt: Identity of the try that it broke off; its own end of it doesn't count.
            now: The present, in seconds.

        Returns:
            Whether that is proven.
        """
        return any(
            end.target == target
            and end.attempt != attempt
            and end.is_proven
            and now - end.at < DOWN_SECONDS
            for record in self._records.values()
            for end in record.ends
        )

    def note_ends(
        self, content: str, targets: Iterable[str], attempt: str, is_trial: bool, now: float
    ) -> Record | None:
        """Note that targets broke off while no target had answered.

        Args:
            content: Fingerprint of the request.
            targets: Identities of the targets.
            attempt: Identity of the try.
            is_trial: Whether it ran as a suspect.
            now: The present, in seconds.

        Returns:
            The record where something is new, else None.
        """
        if self._is_answered(content, now):
            return None
        known = self._records.get(content)
        epoch = known.epoch if known is not None else 0
        ends = tuple(
            TargetEnd(target, attempt, now, is_trial)
            for target in targets
            if not self.is_down(target, attempt, now)
        )
        if not ends:
            return None
        return self.merge(Record(content, epoch, ends), now)

    def note_proven(self, content: str, target: str, attempt: str, now: float) -> Record | None:
        """Note that a target has really ended.

        Args:
            content: Fingerprint of a request that it broke off.
            target: Identity of the target.
            attempt: Identity of the try under which it broke off.
            now: The present, in seconds.

        Returns:
            The record where that is new, else None.
        """
        known = self._records.get(content)
        if known is None or known.cleared_at is not None:
            return None
        ends = tuple(
            dataclasses.replace(end, is_proven=True)
            for end in known.ends
            if (end.target, end.attempt) == (target, attempt)
        )
        return self.merge(Record(content, known.epoch, ends), now)

    def note_answer(self, content: str, now: float) -> Record | None:
        """Note that a target answered a request: it doesn't end those that run it.

        Args:
            content: Its fingerprint.
            now: The present, in seconds.

        Returns:
            The record where it was a suspect, else None.
        """
        self._answered[content] = now
        self._answered.move_to_end(content)
        if len(self._answered) > MAX_ANSWERED:
            self._answered.popitem(last=False)
        return self._clear(content, now)

    def _clear(self, content: str, now: float) -> Record | None:
        known = self._records.get(content)
        if known is None or known.cleared_at is not None:
            return None
        return self.merge(Record(content, known.epoch + 1, cleared_at=now), now)

    def _is_answered(self, content: str, now: float) -> bool:
        """Say whether a target answered it lately, also before any target ended under it."""
        at = self._answered.get(content)
        return at is not None and now < at + CLEARED_SECONDS

    def clear_if_answered(self, content: str, now: float) -> Record | None:
        """Clear what another instance suspects and a target answered here lately.

        Args:
            content: Fingerprint of the request.
            now: The present, in seconds.

        Returns:
            The record where that is news, else None.
        """
        return self._clear(content, now) if self._is_answered(content, now) else None

    def lift(self, content: str, now: float) -> Record | None:
        """Let a refused request have a trial again, whatever is known of it.

        Args:
            content: Its fingerprint.
            now: The present, in seconds.

        Returns:
            The record, or None where it isn't refused.
        """
        known = self._records.get(content)
        if known is None or known.judge(now) is not Judgement.REFUSE:
            return None
        ends = tuple(dataclasses.replace(end, is_trial=False) for end in known.ends)
        return self.merge(Record(content, known.epoch + 1, ends), now)

    def merge(self, found: Record, now: float) -> Record | None:
        """Take in what this or another instance knows of a request.

        Args:
            found: The record; times may lie in the past.
            now: The present, in seconds.

        Returns:
            The record as it is now where something is new, else None.
        """
        known = self._records.get(found.content)
        if known is not None and known.is_over(now):
            known = None
        if known is None or found.epoch > known.epoch:
            merged = dataclasses.replace(found, ends=_merge_ends((), found.ends))
        elif found.epoch < known.epoch or known.cleared_at is not None:
            return None
        else:
            cleared_at = found.cleared_at
            ends = () if cleared_at is not None else _merge_ends(known.ends, found.ends)
            merged = dataclasses.replace(known, ends=ends, cleared_at=cleared_at)
        if merged == known or merged.is_over(now):
            return None
        self._records[found.content] = merged
        self._evict()
        return merged

    def expire(self, now: float) -> list[Record]:
        """Forget what is over, and ends that could not be proven.

        Args:
            now: The present, in seconds.

        Returns:
            Records that are no longer held.
        """
        gone = []
        for content, record in list(self._records.items()):
            ends = tuple(
                end for end in record.ends if end.is_proven or now < end.at + UNPROVEN_SECONDS
            )
            is_empty = not ends and record.cleared_at is None
            if is_empty or record.is_over(now):
                del self._records[content]
                gone.append(record)
            elif ends != record.ends:
                self._records[content] = dataclasses.replace(record, ends=ends)
        return gone

    def _evict(self) -> None:
        while len(self._records) > MAX_RECORDS:
            least = min(self._records.values(), key=lambda record: record.retention_rank)
            del self._records[least.content]
            self.forgotten += 1


def _count_distinct(ends: Iterable[TargetEnd]) -> int:
    """Count ends; those of one target that several tries saw at one moment count once."""
    count = 0
    last: dict[str, float] = {}
    for end in sorted(ends, key=lambda end: end.at):
        if end.at - last.get(end.target, float("-inf")) > MIN_RESTART_SECONDS:
            count += 1
        last[end.target] = end.at
    return count


def _merge_ends(known: Iterable[TargetEnd], found: Iterable[TargetEnd]) -> tuple[TargetEnd, ...]:
    """Put ends together: each target once a try, the earliest report, proven if any says so."""
    ends = {(end.target, end.attempt): end for end in known}
    for end in found:
        key = (end.target, end.attempt)
        other = ends.get(key)
        if other is None:
            ends[key] = end
        elif end.is_proven and not other.is_proven:
            ends[key] = dataclasses.replace(other, is_proven=True)
    kept = sorted(ends.values(), key=lambda end: (not end.is_trial, not end.is_proven, -end.at))
    return tuple(sorted(kept[:MAX_ENDS], key=lambda end: (end.at, end.target, end.attempt)))
