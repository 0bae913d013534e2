"""A model of a target for stand-ins and benchmarks: slots, a queue, service times and faults.

It runs on any clock and counts which requests it started and how often. Each reply names the
request, shard and snapshot that it answers, so that its receiver can detect answers that mix
snapshots, belong to another request or contain a reply twice.
"""

from __future__ import annotations

import collections
import dataclasses
import math
from typing import TYPE_CHECKING

from lineworks.decisions import catalog, replicas, verdict
from lineworks.engine import ports

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

COLD_SLOWDOWN = 4.0
"""Factor by which a target is slower just after a start; it falls linearly to 1."""


@dataclasses.dataclass(slots=True)
class ServiceTimes:
    """Log-normal distribution of service times, with a share of much longer stragglers."""

    median: float = 0.02
    """Median in seconds, before stragglers are slowed."""

    sigma: float = 0.5
    """Standard deviation of the logarithm of the service time."""

    straggler_share: float = 0.01
    """Fraction (0 to 1) of requests that are stragglers."""

    straggler_factor: float = 10.0
    """Factor by which stragglers take longer."""

    def sample(self, rng: random.Random) -> float:
        """Draw a service time.

        Args:
            rng: Random number generator.

        Returns:
            The service time in seconds.
        """
        seconds = self.median * math.exp(self.sigma * rng.gauss(0.0, 1.0))
        if rng.random() < self.straggler_share:
            seconds *= self.straggler_factor
        return seconds

    @property
    def mean(self) -> float:
        """Mean service time in seconds, stragglers included."""
        plain = self.median * math.exp(self.sigma**2 / 2)
        return plain * (1 + self.straggler_share * (self.straggler_factor - 1))


@dataclasses.dataclass(slots=True, eq=False)
class _Job:
    attempt: ports.Attempt
    on_outcome: Callable[[ports.Outcome], None]
    timer: ports.Timer | None = None


@dataclasses.dataclass(slots=True)
class TargetCounters:
    """Counters of one target."""

    started: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    """Starts, by `request/shard`; the first part of the request body names the request."""

    refused: int = 0
    """Number of requests refused as not run."""

    cancelled: int = 0
    """Number of requests cancelled while they ran or were queued."""

    started_after_leaving: int = 0
    """Number of requests started more than `LEAVING_GRACE_SECONDS` after beginning to leave."""

    total_started: int = 0
    """Number of all starts."""


LEAVING_GRACE_SECONDS = 3.0
"""Grace period in seconds, after which a leaving target must start no request."""


class TargetModel:
    """A target that runs and queues requests on a clock, without a network."""

    def __init__(
        self,
        name: str,
        clock: ports.Clock,
        rng: random.Random,
        slots: int,
        times: ServiceTimes,
        holds: frozenset[catalog.Snapshot],
        queue_limit: int = 16,
    ) -> None:
        """Create a target that accepts requests.

        Args:
            name: Name of the target.
            clock: Clock and timers.
            rng: Random number generator for service times.
            slots: Number of requests that run at once.
            times: Distribution of service times.
            holds: Snapshots that the target holds.
            queue_limit: Number of requests that may be queued; more are refused.
        """
        self.name = name
        self._clock = clock
        self._rng = rng
        self._slots = slots
        self._times = times
        self._queue_limit = queue_limit
        self._running: dict[str, _Job] = {}
        self._queue: collections.deque[_Job] = collections.deque()
        self._stalled_until = 0.0
        self._cold_until = 0.0
        self._cold_seconds = 1.0
        self._leaving_since = math.inf
        self._restarts = 0
        self.incarnation = f"{name}#0"
        self.is_down = False
        self.holds = holds
        self.books = TargetCounters()
        self.report_override: Callable[[replicas.StatusReport], replicas.StatusReport] | None = None

    @property
    def busy(self) -> int:
        """Number of slots in use."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Number of queued requests."""
        return len(self._queue)

    def report(self) -> replicas.StatusReport:
        """Return the status report, changed by `report_override` if that is set.

        Returns:
            The report.
        """
        now = self._clock.seconds()
        report = replicas.StatusReport(
            self.incarnation,
            self.holds,
            len(self._running),
            len(self._queue),
            now < self._cold_until,
            now >= self._leaving_since,
        )
        return self.report_override(report) if self.report_override else report

    def submit(self, attempt: ports.Attempt, on_outcome: Callable[[ports.Outcome], None]) -> None:
        """Start, queue or refuse a request.

        Args:
            attempt: The request.
            on_outcome: Called once with the outcome, unless the target goes down first.
        """
        refusal = self._refusal(attempt)
        if refusal is not None:
            self.books.refused += 1
            on_outcome(ports.Outcome(refusal, report=self.report()))
            return
        job = _Job(attempt, on_outcome)
        if len(self._running) < self._slots:
            self._start(job)
        else:
            self._queue.append(job)

    def cancel(self, attempt_id: str) -> None:
        """Cancel a running or queued request.

        Args:
            attempt_id: Identity of the attempt; an unknown one is ignored.
        """
        running = self._running.pop(attempt_id, None)
        if running is not None:
            self.books.cancelled += 1
            if running.timer is not None and running.timer.active():
                running.timer.cancel()
            outcome_verdict = verdict.may_have_run(
                verdict.Reason.CANCELLED, "cancelled while running"
            )
            running.on_outcome(ports.Outcome(outcome_verdict, report=self.report()))
            self._start_queued()
            return
        for job in self._queue:
            if job.attempt.id == attempt_id:
                self._queue.remove(job)
                self.books.cancelled += 1
                outcome_verdict = verdict.not_run(
                    verdict.Reason.CANCELLED, "cancelled while waiting"
                )
                job.on_outcome(ports.Outcome(outcome_verdict, report=self.report()))
                return

    def stall(self, seconds: float) -> None:
        """Finish no request for a while; accepted requests are kept.

        Args:
            seconds: Length of the stall.
        """
        self._stalled_until = self._clock.seconds() + seconds

    def leave(self) -> None:
        """Begin to leave: report it and refuse new requests; queued requests may still start."""
        self._leaving_since = self._clock.seconds()

    def go_down(self) -> list[ports.Attempt]:
        """Go down immediately and lose all running and queued requests.

        Returns:
            The attempts that were lost.
        """
        self.is_down = True
        lost = [job.attempt for job in (*self._running.values(), *self._queue)]
        for job in self._running.values():
            if job.timer is not None and job.timer.active():
                job.timer.cancel()
        self._running.clear()
        self._queue.clear()
        return lost

    def come_up(self, cold_seconds: float = 0.0) -> None:
        """Restart as a new incarnation.

        Args:
            cold_seconds: Seconds for which the target is cold, and so slower.
        """
        self.is_down = False
        self._restarts += 1
        self.incarnation = f"{self.name}#{self._restarts}"
        self._leaving_since = math.inf
        self._stalled_until = 0.0
        self.warm_up(cold_seconds)

    def warm_up(self, cold_seconds: float) -> None:
        """Become cold, and so slower, for a while, as after loading a new index.

        Args:
            cold_seconds: Seconds for which the target is cold.
        """
        self._cold_seconds = max(cold_seconds, 1e-9)
        self._cold_until = self._clock.seconds() + cold_seconds

    def _refusal(self, attempt: ports.Attempt) -> verdict.Verdict | None:
        now = self._clock.seconds()
        if now >= self._leaving_since:
            return verdict.not_run(verdict.Reason.LEAVING, "leaving")
        if attempt.snapshot is not None and attempt.snapshot not in self.holds:
            return verdict.not_run(verdict.Reason.SNAPSHOT_GONE, "not held")
        if attempt.deadline <= now:
            return verdict.not_run(verdict.Reason.DEADLINE, "too late")
        if len(self._running) >= self._slots and len(self._queue) >= self._queue_limit:
            return verdict.not_run(verdict.Reason.OVERLOADED, "queue full")
        return None

    def _start(self, job: _Job) -> None:
        now = self._clock.seconds()
        self.books.total_started += 1
        request_name = job.attempt.body.partition(b"|")[0].decode(errors="replace")
        self.books.started[f"{request_name}/{job.attempt.shard}"] += 1
        if now > self._leaving_since + LEAVING_GRACE_SECONDS:
            self.books.started_after_leaving += 1
        self._running[job.attempt.id] = job
        seconds = self._times.sample(self._rng) * self._slowdown(now)
        job.timer = self._clock.callLater(seconds, self._finish, job)

    def _slowdown(self, now: float) -> float:
        if now >= self._cold_until:
            return 1.0
        return 1.0 + (COLD_SLOWDOWN - 1.0) * (self._cold_until - now) / self._cold_seconds

    def _finish(self, job: _Job) -> None:
        stalled_for = self._stalled_until - self._clock.seconds()
        if stalled_for > 0:
            job.timer = self._clock.callLater(stalled_for, self._finish, job)
            return
        del self._running[job.attempt.id]
        attempt = job.attempt
        snapshot = attempt.snapshot or max(self.holds, default=None)
        if snapshot is not None and snapshot not in self.holds:
            outcome_verdict = verdict.ran(verdict.Reason.SNAPSHOT_GONE, "dropped while it ran")
            job.on_outcome(ports.Outcome(outcome_verdict, report=self.report()))
        else:
            body = format_reply(attempt.body, attempt.shard, snapshot)
            job.on_outcome(ports.Outcome(verdict.OK, snapshot, body, self.report()))
        self._start_queued()

    def _start_queued(self) -> None:
        now = self._clock.seconds()
        while self._queue and len(self._running) < self._slots:
            job = self._queue.popleft()
            if job.attempt.deadline <= now:
                outcome_verdict = verdict.not_run(verdict.Reason.DEADLINE, "expired in the queue")
                self.books.refused += 1
                job.on_outcome(ports.Outcome(outcome_verdict, report=self.report()))
                continue
            self._start(job)


def format_reply(body: bytes, shard: str, snapshot: catalog.Snapshot | None) -> bytes:
    """Return a reply that names what it answers.

    Args:
        body: Body of the request; the part before the first `|` names the request.
        shard: The shard that was queried.
        snapshot: The snapshot that the reply is based on.

    Returns:
        The reply, as `request|shard|snapshot`.
    """
    request_name = body.partition(b"|")[0].decode(errors="replace")
    return f"{request_name}|{shard}|{snapshot}".encode()
