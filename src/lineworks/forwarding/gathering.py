"""The gatherer's side: asks the targets of its own data hall for several shards of one search.

What comes in is merged before it travels, when all is in or when the front wants to know what is
late. Later parts travel soon after and are not merged, nor are any parts of a query that wants what
there is from the start, as hedges do: the front has asked for these shards elsewhere, and could use
nothing of a merged part that holds a shard which it has by now.
Failures travel at once, since only the front decides about further attempts.
"""

from __future__ import annotations

import dataclasses
import functools
from typing import TYPE_CHECKING, Any

from lineworks.decisions import fair_shares, mechanisms, parts, verdict
from lineworks.forwarding import answers, target_calls, wait_queue
from lineworks.kernel import rate_limited_log
from lineworks.platform import headers
from lineworks.wire import node_frames

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from lineworks.forwarding import target_book

COALESCE_SECONDS = 0.003
"""Seconds that a late part waits for others before it travels."""

ROOM_PAUSE = 0.005
"""Seconds between looks for room at targets that are full: a sixth of a usual service time."""

FAILURES_PER_SECOND = 10.0
"""Log lines a second for attempts that failed."""

_FAILURES = {
    verdict.Certainty.NOT_RUN: node_frames.Failure.NOT_RUN,
    verdict.Certainty.MAY_HAVE_RUN: node_frames.Failure.MAY_HAVE_RUN,
    verdict.Certainty.RAN: node_frames.Failure.RAN,
}


@dataclasses.dataclass(slots=True, eq=False)
class _Job:
    """A query under way."""

    origin: str
    query: node_frames.GatherQuery
    reply: Callable[[node_frames.GatherParts], None]
    call: target_calls.TargetCall
    running: dict[int, Callable[[], bool]] = dataclasses.field(default_factory=dict)
    waiting: list[int] = dataclasses.field(default_factory=list)
    look: Any = None
    ready: list[parts.Part] = dataclasses.field(default_factory=list)
    failed: dict[int, node_frames.Failure] = dataclasses.field(default_factory=dict)
    broken: dict[int, str] = dataclasses.field(default_factory=dict)
    is_merging: bool = True
    flush: Any = None
    timeout: Any = None
    is_flushed: bool = False
    claim: fair_shares.Claim | None = None
    """Its place where room is shared between workspaces; None where everybody looks for itself."""
    leave_line: Callable[[], None] = lambda: None
    has_broken: bool = False
    has_answer: bool = False
    first: tuple[bytes, ...] | None = None

    @property
    def holds(self) -> bool:
        """Whether targets broke off and none has answered: the query may be what ends them."""
        return self.has_broken and not self.has_answer

    @property
    def is_open(self) -> bool:
        """Whether a shard is still at work, or waits for room."""
        return bool(self.running or self.waiting)


class Gatherer:
    """Queries of other instances that this one works on."""

    def __init__(
        self,
        reactor: Any,
        hall: str,
        book: target_book.TargetBook,
        calls: target_calls.TargetCalls,
        without: Collection[mechanisms.Mechanism] = (),
    ) -> None:
        """Start without queries.

        Args:
            reactor: Twisted's reactor.
            hall: Data hall whose targets are asked.
            book: The targets.
            calls: Sends requests.
            without: Mechanisms that are switched off.
        """
        self._merges = mechanisms.Mechanism.MERGE not in without
        self._leaves_out = mechanisms.Mechanism.HEDGE_FLOOR not in without
        self._reactor = reactor
        self._hall = hall
        self._book = book
        self._calls = calls
        self._jobs: dict[tuple[str, int], _Job] = {}
        self._line = wait_queue.WaitQueue(reactor, ROOM_PAUSE)
        self._log = rate_limited_log.RateLimitedLog(reactor, "gatherer", FAILURES_PER_SECOND)

    @property
    def is_idle(self) -> bool:
        """Whether no query is under way."""
        return not self._jobs

    def end_all(self) -> int:
        """Hand every query back with what is in, because the process ends.

        Without it fronts lost what had been gathered, with the link.

        Returns:
            How many there were.
        """
        keys = list(self._jobs)
        for key in keys:
            self._hand_back(key)
        return len(keys)

    def on_query(
        self,
        origin: str,
        query: node_frames.GatherQuery,
        reply: Callable[[node_frames.GatherParts], None],
    ) -> None:
        """Ask the targets of a query's shards.

        Args:
            origin: Incarnation of the front that asks.
            query: The query.
            reply: Takes parts, each shard at most once.
        """
        now = self._reactor.seconds()
        call = target_calls.TargetCall(
            query.head, query.body, query.attempt, query.deadline, is_repeatable=True
        )
        is_merging = self._merges and query.flush_at > now
        self._line.is_fair = query.is_fair
        claim = self._claim(query, now) if query.is_fair else None
        job = _Job(origin, query, reply, call, is_merging=is_merging, claim=claim)
        key = (origin, query.number)
        self._jobs[key] = job
        for shard in range(len(query.services)):
            self._place(key, job, shard, now)
        delay = max(0.0, query.deadline - now)
        job.timeout = self._reactor.callLater(delay, self._hand_back, key)
        if job.failed:
            self._send(job)
        if job.is_open:
            wait = max(0.0, query.flush_at - now)
            job.flush = self._reactor.callLater(wait, self._on_flush, key)
            self._look_again(key, job)
        else:
            self._close(key)

    def _claim(self, query: node_frames.GatherQuery, now: float) -> fair_shares.Claim:
        """Tell what decides about a query's place among those that wait for room."""
        usual = max(map(self._book.service_time, query.services))
        return fair_shares.Claim(
            query.workspace,
            query.priority,
            now,
            fair_shares.latest_start(query.due, usual),
            query.has_quota,
        )

    def _is_behind(self, job: _Job, service: str) -> bool:
        """Say whether others that wait for a service go before a job."""
        return job.claim is not None and self._line.has_waiter_ahead(job.claim, (service,))

    def _place(
        self, key: tuple[str, int], job: _Job, shard: int, now: float, is_its_turn: bool = False
    ) -> None:
        """Ask a target of a shard; wait for room until the front looks at what is late.

        Args:
            key: Key of the job.
            job: The job.
            shard: Position of the shard.
            now: The present, in seconds.
            is_its_turn: Whether those that go before it have looked for room already.
        """
        service = job.query.services[shard]
        state = None
        may_wait = now + ROOM_PAUSE < job.query.flush_at
        is_next = is_its_turn or not may_wait or not self._is_behind(job, service)
        if is_next and not job.holds:
            state = self._book.choose_in(self._hall, service, now, not job.is_merging)
        if state is not None:
            self._line.note_served(job.query.workspace)
            on_end = functools.partial(self._on_end, key, shard, state.id)
            job.running[shard] = self._calls.send(state, job.call, on_end)
        elif may_wait and self._book.is_full_in(self._hall, service, now):
            job.waiting.append(shard)
        else:
            self._line.note_refused(job.query.workspace)
            job.failed[shard] = node_frames.Failure.NOT_SENT
            detail = self._book.describe(service, now)
            found = verdict.not_run(verdict.Reason.NO_REPLICA, detail)
            self._note_failure(job.query, service, found)

    def _look_again(self, key: tuple[str, int], job: _Job) -> None:
        job.look = None
        if not job.waiting:
            return
        look = functools.partial(self._on_look, key)
        if job.claim is not None:
            services = [job.query.services[shard] for shard in job.waiting]
            job.leave_line = self._line.wait(job.claim, services, look)
        else:
            job.look = self._reactor.callLater(ROOM_PAUSE, look)

    def _on_look(self, key: tuple[str, int]) -> None:
        """Look for room for the shards that wait for it."""
        job = self._jobs[key]
        now = self._reactor.seconds()
        waiting, job.waiting = job.waiting, []
        for shard in waiting:
            self._place(key, job, shard, now, is_its_turn=True)
        self._look_again(key, job)
        if not job.is_open:
            self._finish(key)
        elif job.failed:
            self._send(job)

    def on_cancel(self, origin: str, cancel: node_frames.GatherCancel) -> None:
        """Give up shards that the front has no more use for.

        Args:
            origin: Incarnation of the front.
            cancel: Which ones.
        """
        key = (origin, cancel.number)
        job = self._jobs.get(key)
        if job is None:
            return
        wanted = cancel.shards or tuple(range(len(job.query.services)))
        for shard in wanted:
            stop = job.running.pop(shard, None)
            if stop is not None:
                stop()
        job.waiting = [shard for shard in job.waiting if shard not in wanted]
        job.ready = [part for part in job.ready if part.shards.isdisjoint(wanted)]
        if not job.is_open:
            self._finish(key)

    def on_origin_lost(self, origin: str) -> None:
        """Give up all queries of a front whose link is gone.

        Args:
            origin: Its incarnation.
        """
        for key in [key for key in self._jobs if key[0] == origin]:
            self._give_up(key)

    def _on_end(
        self, key: tuple[str, int], shard: int, target: str, end: target_calls.CallEnd
    ) -> None:
        job = self._jobs.get(key)
        if job is None or job.running.pop(shard, None) is None:
            return
        if end.verdict.is_ok and end.response is not None:
            top = parts.top_records(parts.split_records(end.response.body), job.query.top)
            stamp = headers.read_stamp(end.response.headers)
            job.ready.append(parts.Part(frozenset((shard,)), (stamp,), top))
            job.has_answer = True
        else:
            is_sent = answers.was_sent(end.verdict)
            failure = _FAILURES[end.verdict.certainty] if is_sent else node_frames.Failure.NOT_SENT
            job.failed[shard] = failure
            if end.broke_off:
                job.broken[shard] = target
                job.has_broken = True
            job.has_answer |= end.verdict.is_answered
            self._note_failure(job.query, job.query.services[shard], end.verdict)
        if not job.is_open:
            self._finish(key)
        elif job.failed:
            self._send(job)
        elif job.is_flushed and job.flush is None:
            job.flush = self._reactor.callLater(COALESCE_SECONDS, self._on_flush, key)

    def _note_failure(
        self, query: node_frames.GatherQuery, service: str, found: verdict.Verdict
    ) -> None:
        self._log.info(
            "gather_failed",
            id=query.attempt.decode("latin-1"),
            service=service,
            certainty=found.certainty.value,
            reason=found.reason.value,
            detail=found.detail,
        )

    def _on_flush(self, key: tuple[str, int]) -> None:
        job = self._jobs[key]
        job.flush = None
        job.is_flushed = True
        self._send(job)

    def _finish(self, key: tuple[str, int]) -> None:
        """Send what is in; nothing more will come."""
        self._send(self._jobs[key])
        self._close(key)

    def _send(self, job: _Job) -> None:
        """Send what has not travelled yet; before the flush only failures."""
        is_due = job.is_flushed or not job.is_open
        ready = job.ready if is_due else []
        if not ready and not job.failed:
            return
        floor = _floor(job) if self._leaves_out else b""
        is_merged = job.is_merging and job.first is None
        groups = [parts.merge(ready, job.query.top)] if is_merged else ready
        found = [[record for record in part.records if record >= floor] for part in groups]
        if ready:
            job.ready = []
            if is_merged:
                job.first = tuple(found[0])
        failed, job.failed = job.failed, {}
        broken, job.broken = job.broken, {}
        job.reply(
            node_frames.GatherParts(
                job.query.number,
                tuple(shard for part in ready for shard in part.shards),
                tuple(stamp for part in ready for stamp in part.stamps),
                b"".join(record for records in found for record in records),
                tuple(failed),
                tuple(failed.values()),
                () if is_merged else tuple(len(records) for records in found),
                tuple(broken.get(shard, "") for shard in failed) if broken else (),
            )
        )

    def _hand_back(self, key: tuple[str, int]) -> None:
        """Stop all work on a query, and send what is in and what became of the rest.

        A front that hears nothing of a query by its deadline can't say that it did not run.
        """
        job = self._jobs[key]
        for shard, stop in job.running.items():
            failure = node_frames.Failure.NOT_SENT if stop() else node_frames.Failure.MAY_HAVE_RUN
            job.failed[shard] = failure
        job.running.clear()
        job.failed.update(dict.fromkeys(job.waiting, node_frames.Failure.NOT_SENT))
        job.waiting.clear()
        self._finish(key)

    def _give_up(self, key: tuple[str, int]) -> None:
        job = self._jobs.get(key)
        if job is None:
            return
        for stop in job.running.values():
            stop()
        job.running.clear()
        self._close(key)

    def _close(self, key: tuple[str, int]) -> None:
        job = self._jobs.pop(key)
        job.leave_line()
        for timer in (job.flush, job.look, job.timeout):
            if timer is not None and timer.active():
                timer.cancel()


def _floor(job: _Job) -> bytes:
    """Tell the least record that can still be in the answer, by what the front has already.

    Only the floor of the query and the first part count: a front uses that one or none of the
    query, while it may have no use for a later part.
    """
    if job.first is None or len(job.first) < job.query.top:
        return job.query.floor
    return max(job.query.floor, job.first[-1])
