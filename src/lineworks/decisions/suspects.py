"""Detects requests that crash the targets that run them, and keeps them from further targets.

A target that ends takes down every request that it was running, so an end alone would also
implicate innocent requests: a search that started beside a fatal one loses as many targets. The
request therefore becomes a *suspect* first and runs on one target at a time. An answer from any
target clears it. When a target ends again during such a trial, and several ends are proven by then,
the request is *refused* for a time that grows with each such trial.

Records from several instances are merged in any order: ends are only added, and a record with a
higher epoch replaces one with a lower epoch.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

MIN_PROVEN_ENDS = 3
"""Number of proven ends from which a request may be refused: fewer can be coincidence, and as many
are tolerated before the platform's limit on such requests applies."""

REFUSE_SECONDS = (600.0, 3600.0, 86400.0)
"""Seconds for which a request is refused after its first, second and any later trial that ended a
target. The first is the platform's longest lease; the last gives an operator a day to act. At most
three trials, including the first, take place before that."""

SUSPECT_SECONDS = 600.0
"""Seconds for which a suspect is kept after its last end, or after a refusal has run out."""

UNPROVEN_SECONDS = 10.0
"""Seconds for which unproven ends count. Proof comes sooner if there is any: a connection to a dead
process is refused within a round trip, and its entry is removed or replaced after some seconds."""

CLEARED_SECONDS = 60.0
"""Seconds for which an answer clears a request: reports that are in transit, or delayed by a
network partition or an outage, must not make it a suspect again. Later it may run on other targets
or on other data."""

MAX_ANSWERED = 2048
"""Maximum number of fingerprints of answered requests, about 0.4 MB. Those answered
least recently are evicted first, so requests that many callers send stay."""

MIN_RESTART_SECONDS = 0.5
"""Minimum time between two distinct ends of a target with the same identity, in seconds: no process
restarts faster, and all requests that one end broke off notice it within a round trip."""

DOWN_SECONDS = 3.0
"""Seconds after a proven end during which further ends of a target are ignored: a connection that
breaks then belongs to a proxy without a target behind it. This is shorter than the time after which
the platform's limit applies, so that a target that restarts sooner costs no attempt beyond it."""

MAX_RECORDS = 256
"""Maximum number of records, about 100 KB. Fatal requests come from few callers."""

MAX_ENDS = 8
"""Maximum number of ends per record; those of trials and proven ones are kept first."""


class Judgement(enum.Enum):
    """How to handle a request."""

    CLEAR = "clear"
    """It is not suspected: run it normally."""

    TRIAL = "trial"
    """It is a suspect: send it to one target, and to others only after that one has answered."""

    REFUSE = "refuse"
    """It crashes the targets that run it: send it to none."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetEnd:
    """The end of a target's process, or of the connection to it, while it ran a request."""

    target: str
    """Identity of the target's process. A restarted process with the same identity may not be
    distinguishable yet."""

    attempt: str
    """Identity of the attempt during which it ended."""

    at: float
    """When it was noticed, in seconds."""

    is_trial: bool
    """Whether the request ran there on trial, and nowhere else at the time."""

    is_proven: bool = False
    """Whether the process is known to have ended, and not only the connection."""


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """What is known about one request."""

    content: str
    """Fingerprint of the request's content."""

    epoch: int
    """Number of times that it was cleared or its refusal was lifted; newer records have a higher
    epoch."""

    ends: tuple[TargetEnd, ...] = ()
    """Ends of targets while they ran it."""

    cleared_at: float | None = None
    """When a target answered it, in seconds; None if none has."""

    @property
    def trials(self) -> int:
        """Number of proven ends in trials."""
        return _count_distinct(end for end in self.ends if end.is_trial and end.is_proven)

    @property
    def proven(self) -> int:
        """Number of proven ends."""
        return _count_distinct(end for end in self.ends if end.is_proven)

    @property
    def last_at(self) -> float:
        """When the last target ended, in seconds; minus infinity without ends."""
        return max((end.at for end in self.ends), default=float("-inf"))

    @property
    def refused_until(self) -> float:
        """Time until which it is refused, in seconds; minus infinity if it is not refused."""
        if self.proven < MIN_PROVEN_ENDS or not self.trials:
            return float("-inf")
        times = min(self.trials, len(REFUSE_SECONDS))
        return self.last_at + REFUSE_SECONDS[times - 1]

    def judge(self, now: float) -> Judgement:
        """Decide how to handle the request when it arrives again.

        Args:
            now: Current time in seconds.

        Returns:
            How to handle it.
        """
        if self.cleared_at is not None or not self.ends:
            return Judgement.CLEAR
        return Judgement.REFUSE if now < self.refused_until else Judgement.TRIAL

    def is_expired(self, now: float) -> bool:
        """Return whether the record has expired.

        Args:
            now: Current time in seconds.

        Returns:
            True if it can be deleted.
        """
        if self.cleared_at is not None:
            return now >= self.cleared_at + CLEARED_SECONDS
        return now >= max(self.refused_until, self.last_at) + SUSPECT_SECONDS

    @property
    def retention_rank(self) -> tuple[bool, int, float]:
        """Sort key for eviction, lowest first: proven in a trial, number of ends, latest end."""
        return bool(self.trials), len(self.ends), self.last_at


class Suspects:
    """The suspect records of one instance."""

    def __init__(self) -> None:
        self._records: dict[str, Record] = {}
        # Fingerprints of recently answered requests with the time, the latest last.
        self._answered: collections.OrderedDict[str, float] = collections.OrderedDict()
        self.forgotten = 0
        """Number of records evicted because the limit was reached."""

    @property
    def records(self) -> Mapping[str, Record]:
        """The records by fingerprint."""
        return self._records

    def judge(self, content: str, now: float) -> Judgement:
        """Decide how to handle a request.

        Args:
            content: Its fingerprint.
            now: Current time in seconds.

        Returns:
            How to handle it.
        """
        found = self._records.get(content)
        return found.judge(now) if found is not None else Judgement.CLEAR

    def is_down(self, target: str, attempt: str, now: float) -> bool:
        """Return whether a target has just ended during any request, and so cannot end again yet.

        Args:
            target: Identity of the target.
            attempt: Identity of the attempt that broke off; an end noted for it does not count.
            now: Current time in seconds.

        Returns:
            Whether such an end is proven.
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
        """Record that targets broke off a request that no target had answered.

        Args:
            content: Fingerprint of the request.
            targets: Identities of the targets.
            attempt: Identity of the attempt.
            is_trial: Whether it ran on trial.
            now: Current time in seconds.

        Returns:
            The record if it changed, else None.
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
        """Record proof that a target's process has ended.

        Args:
            content: Fingerprint of the request that it broke off.
            target: Identity of the target.
            attempt: Identity of the attempt that it broke off.
            now: Current time in seconds.

        Returns:
            The record if it changed, else None.
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
        """Record that a target answered a request, which shows that it does not crash targets.

        Args:
            content: Its fingerprint.
            now: Current time in seconds.

        Returns:
            The record if it was a suspect, else None.
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
        """Return whether a target answered it recently, even before any target ended during it."""
        at = self._answered.get(content)
        return at is not None and now < at + CLEARED_SECONDS

    def clear_if_answered(self, content: str, now: float) -> Record | None:
        """Clear a request that another instance suspects if a target has answered it here recently.

        Args:
            content: Fingerprint of the request.
            now: Current time in seconds.

        Returns:
            The record if it was cleared now, else None.
        """
        return self._clear(content, now) if self._is_answered(content, now) else None

    def lift(self, content: str, now: float) -> Record | None:
        """Lift the refusal of a request, so that it gets another trial.

        Args:
            content: Its fingerprint.
            now: Current time in seconds.

        Returns:
            The record, or None if it is not refused.
        """
        known = self._records.get(content)
        if known is None or known.judge(now) is not Judgement.REFUSE:
            return None
        ends = tuple(dataclasses.replace(end, is_trial=False) for end in known.ends)
        return self.merge(Record(content, known.epoch + 1, ends), now)

    def merge(self, found: Record, now: float) -> Record | None:
        """Merge a record from this or another instance.

        Args:
            found: The record; its times may lie in the past.
            now: Current time in seconds.

        Returns:
            The merged record if it changed, else None.
        """
        known = self._records.get(found.content)
        if known is not None and known.is_expired(now):
            known = None
        if known is None or found.epoch > known.epoch:
            merged = dataclasses.replace(found, ends=_merge_ends((), found.ends))
        elif found.epoch < known.epoch or known.cleared_at is not None:
            return None
        else:
            cleared_at = found.cleared_at
            ends = () if cleared_at is not None else _merge_ends(known.ends, found.ends)
            merged = dataclasses.replace(known, ends=ends, cleared_at=cleared_at)
        if merged == known or merged.is_expired(now):
            return None
        self._records[found.content] = merged
        self._evict()
        return merged

    def expire(self, now: float) -> list[Record]:
        """Delete expired records, and ends that remained unproven for too long.

        Args:
            now: Current time in seconds.

        Returns:
            The deleted records.
        """
        gone = []
        for content, record in list(self._records.items()):
            ends = tuple(
                end for end in record.ends if end.is_proven or now < end.at + UNPROVEN_SECONDS
            )
            is_empty = not ends and record.cleared_at is None
            if is_empty or record.is_expired(now):
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
    """Count distinct ends; one end of a target that several attempts saw counts once."""
    count = 0
    last: dict[str, float] = {}
    for end in sorted(ends, key=lambda end: end.at):
        if end.at - last.get(end.target, float("-inf")) > MIN_RESTART_SECONDS:
            count += 1
        last[end.target] = end.at
    return count


def _merge_ends(known: Iterable[TargetEnd], found: Iterable[TargetEnd]) -> tuple[TargetEnd, ...]:
    """Merge ends by target and attempt: keep the known one, proven if either is proven."""
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
