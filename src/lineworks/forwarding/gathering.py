"""The gatherer: queries targets of its data hall for shards of a search on behalf of a front.

Results are merged and sent when all have arrived, or at the flush time, when the front checks for
slow shards. Results that arrive later are sent shortly afterwards without merging. So are all
results of a query whose flush time has already passed when it arrives, as with hedges. In both
cases the front has queried the shards elsewhere too, and it has to discard a merged result as a
whole if it already has one of its shards. Failures are sent at once, since only the front decides
about retries.
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
"""Seconds for which a late result is held so that others can be sent with it."""

SLOT_POLL_SECONDS = 0.005
"""Seconds between checks for a free slot at full targets: a sixth of a typical service time."""

MAX_FAILURE_LINES_PER_SECOND = 10.0
"""Maximum number of log lines per second for failed attempts."""

_FAILURE_BY_CERTAINTY = {
    verdict.Certainty.NOT_RUN: node_frames.Failure.NOT_RUN,
    verdict.Certainty.MAY_HAVE_RUN: node_frames.Failure.MAY_HAVE_RUN,
    verdict.Certainty.RAN: node_frames.Failure.RAN,
}


@dataclasses.dataclass(slots=True, eq=False)
class _Job:
    """A query in progress."""

    origin: str
    """Incarnation of the front that sent it."""
    query: node_frames.GatherQuery
    """The query as received."""
    reply: Callable[[node_frames.GatherParts], None]
    """Sends a message to the front."""
    call: target_calls.TargetCall
    """The request as it is sent to every target."""
    running: dict[int, Callable[[], bool]] = dataclasses.field(default_factory=dict)
    """Cancels the call in progress, by position of the shard."""
    waiting: list[int] = dataclasses.field(default_factory=list)
    """Positions of the shards that wait for a free slot."""
    poll_timer: Any = None
    """Timer of the next check for free slots; unused if the job waits in the queue."""
    ready: list[parts.Part] = dataclasses.field(default_factory=list)
    """Results that have not been sent yet."""
    failed: dict[int, node_frames.Failure] = dataclasses.field(default_factory=dict)
    """Failures that have not been sent yet, by position of the shard."""
    broken: dict[int, str] = dataclasses.field(default_factory=dict)
    """Targets that disconnected without an answer, to be sent with the failures."""
    is_merging: bool = True
    """Whether the results of the first message are merged."""
    flush_timer: Any = None
    """Timer of the next message with results."""
    timeout: Any = None
    """Timer of the query's deadline."""
    is_flushed: bool = False
    """Whether the flush time has passed."""
    waiting_request: fair_shares.WaitingRequest | None = None
    """Determines the queue position if workspaces share the slots; None if all queries poll."""
    leave_queue: Callable[[], None] = lambda: None
    """Leaves the queue for free slots."""
    has_lost_target: bool = False
    """Whether a target disconnected without an answer."""
    has_answer: bool = False
    """Whether a target ran the request and answered, even with an error."""
    first: tuple[bytes, ...] | None = None
    """Records of the merged result that was sent first; None before that."""

    @property
    def is_paused(self) -> bool:
        """Whether no more targets are queried, since the query may be crashing them.

        This is so while targets have disconnected without an answer and none has answered.
        """
        return self.has_lost_target and not self.has_answer

    @property
    def is_open(self) -> bool:
        """Whether a call is in progress or a shard waits for a free slot."""
        return bool(self.running or self.waiting)


class Gatherer:
    """Runs queries for the fronts of other instances."""

    def __init__(
        self,
        reactor: Any,
        hall: str,
        book: target_book.TargetBook,
        calls: target_calls.TargetCalls,
        without: Collection[mechanisms.Mechanism] = (),
    ) -> None:
        """Create a gatherer without queries.

        Args:
            reactor: Twisted's reactor.
            hall: Data hall whose targets are queried.
            book: The known targets.
            calls: Sends requests to targets.
            without: Mechanisms that are switched off.
        """
        self._merges = mechanisms.Mechanism.MERGE not in without
        self._filters_by_floor = mechanisms.Mechanism.HEDGE_FLOOR not in without
        self._reactor = reactor
        self._hall = hall
        self._book = book
        self._calls = calls
        self._jobs: dict[tuple[str, int], _Job] = {}
        self._queue = wait_queue.WaitQueue(reactor, SLOT_POLL_SECONDS)
        self._log = rate_limited_log.RateLimitedLog(
            reactor, "gatherer", MAX_FAILURE_LINES_PER_SECOND
        )

    @property
    def is_idle(self) -> bool:
        """Whether no query is in progress."""
        return not self._jobs

    def end_all(self) -> int:
        """End all queries with the results received so far, because the process is shutting down.

        Otherwise fronts would lose the collected results together with the link.

        Returns:
            Number of queries that were ended.
        """
        keys = list(self._jobs)
        for key in keys:
            self._finish_early(key)
        return len(keys)

    def on_query(
        self,
        origin: str,
        query: node_frames.GatherQuery,
        reply: Callable[[node_frames.GatherParts], None],
    ) -> None:
        """Start a query by calling a target of each shard.

        Args:
            origin: Incarnation of the front that sent the query.
            query: The query.
            reply: Sends results and failures to the front, for each shard at most once.
        """
        now = self._reactor.seconds()
        call = target_calls.TargetCall(
            query.head, query.body, query.attempt, query.deadline, is_repeatable=True
        )
        is_merging = self._merges and query.flush_at > now
        self._queue.is_fair = query.is_fair
        waiting_request = self._waiting_request(query, now) if query.is_fair else None
        job = _Job(
            origin, query, reply, call, is_merging=is_merging, waiting_request=waiting_request
        )
        key = (origin, query.number)
        self._jobs[key] = job
        for shard in range(len(query.services)):
            self._start_shard(key, job, shard, now)
        delay = max(0.0, query.deadline - now)
        job.timeout = self._reactor.callLater(delay, self._finish_early, key)
        if job.failed:
            self._send(job)
        if job.is_open:
            wait = max(0.0, query.flush_at - now)
            job.flush_timer = self._reactor.callLater(wait, self._on_flush, key)
            self._wait_for_slots(key, job)
        else:
            self._close(key)

    def _waiting_request(
        self, query: node_frames.GatherQuery, now: float
    ) -> fair_shares.WaitingRequest:
        """Create the entry that determines a query's position in the queue for free slots."""
        usual = max(map(self._book.service_time, query.services))
        return fair_shares.WaitingRequest(
            query.workspace,
            query.priority,
            now,
            fair_shares.latest_start(query.due, usual),
            query.has_quota,
        )

    def _must_yield(self, job: _Job, service: str) -> bool:
        """Return whether a queued job goes before this one at a service."""
        return job.waiting_request is not None and self._queue.has_waiter_ahead(
            job.waiting_request, (service,)
        )

    def _start_shard(
        self, key: tuple[str, int], job: _Job, shard: int, now: float, is_its_turn: bool = False
    ) -> None:
        """Call a target of a shard, or wait for a free slot until the flush time.

        Args:
            key: Key of the job.
            job: The job.
            shard: Position of the shard.
            now: Current time in seconds.
            is_its_turn: Whether the jobs ahead in the queue have already been tried.
        """
        service = job.query.services[shard]
        state = None
        may_wait = now + SLOT_POLL_SECONDS < job.query.flush_at
        may_start = is_its_turn or not may_wait or not self._must_yield(job, service)
        if may_start and not job.is_paused:
            state = self._book.choose_in_hall(self._hall, service, now, not job.is_merging)
        if state is not None:
            self._queue.note_served(job.query.workspace)
            on_end = functools.partial(self._on_end, key, shard, state.id)
            job.running[shard] = self._calls.send(state, job.call, on_end)
        elif may_wait and self._book.is_full_in_hall(self._hall, service, now):
            job.waiting.append(shard)
        else:
            self._queue.note_refused(job.query.workspace)
            job.failed[shard] = node_frames.Failure.NOT_SENT
            detail = self._book.describe(service, now)
            found = verdict.not_run(verdict.Reason.NO_REPLICA, detail)
            self._log_failure(job.query, service, found)

    def _wait_for_slots(self, key: tuple[str, int], job: _Job) -> None:
        job.poll_timer = None
        if not job.waiting:
            return
        poll = functools.partial(self._on_poll, key)
        if job.waiting_request is not None:
            services = [job.query.services[shard] for shard in job.waiting]
            job.leave_queue = self._queue.wait(job.waiting_request, services, poll)
        else:
            job.poll_timer = self._reactor.callLater(SLOT_POLL_SECONDS, poll)

    def _on_poll(self, key: tuple[str, int]) -> None:
        """Retry the shards that wait for a free slot."""
        job = self._jobs[key]
        now = self._reactor.seconds()
        waiting, job.waiting = job.waiting, []
        for shard in waiting:
            self._start_shard(key, job, shard, now, is_its_turn=True)
        self._wait_for_slots(key, job)
        if not job.is_open:
            self._finish(key)
        elif job.failed:
            self._send(job)

    def on_cancel(self, origin: str, cancel: node_frames.GatherCancel) -> None:
        """Cancel shards that the front no longer needs.

        Args:
            origin: Incarnation of the front.
            cancel: The query and the positions of its shards; all of them if it names none.
        """
        key = (origin, cancel.number)
        job = self._jobs.get(key)
        if job is None:
            return
        cancelled = cancel.shards or tuple(range(len(job.query.services)))
        for shard in cancelled:
            stop = job.running.pop(shard, None)
            if stop is not None:
                stop()
        job.waiting = [shard for shard in job.waiting if shard not in cancelled]
        job.ready = [part for part in job.ready if part.shards.isdisjoint(cancelled)]
        if not job.is_open:
            self._finish(key)

    def on_origin_lost(self, origin: str) -> None:
        """Abort all queries of a front whose link is closed.

        Args:
            origin: Incarnation of the front.
        """
        for key in [key for key in self._jobs if key[0] == origin]:
            self._abort(key)

    def _on_end(
        self, key: tuple[str, int], shard: int, target: str, end: target_calls.CallEnd
    ) -> None:
        job = self._jobs.get(key)
        if job is None or job.running.pop(shard, None) is None:
            return
        if end.verdict.is_ok and end.response is not None:
            top = parts.top_of_body(end.response.body, job.query.top)
            stamp = headers.read_stamp(end.response.headers)
            job.ready.append(parts.Part(frozenset((shard,)), (stamp,), top))
            job.has_answer = True
        else:
            is_sent = answers.reached_target(end.verdict)
            failure = (
                _FAILURE_BY_CERTAINTY[end.verdict.certainty]
                if is_sent
                else node_frames.Failure.NOT_SENT
            )
            job.failed[shard] = failure
            if end.lost_before_answer:
                job.broken[shard] = target
                job.has_lost_target = True
            job.has_answer |= end.verdict.is_answered
            self._log_failure(job.query, job.query.services[shard], end.verdict)
        if not job.is_open:
            self._finish(key)
        elif job.failed:
            self._send(job)
        elif job.is_flushed and job.flush_timer is None:
            job.flush_timer = self._reactor.callLater(COALESCE_SECONDS, self._on_flush, key)

    def _log_failure(
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
        job.flush_timer = None
        job.is_flushed = True
        self._send(job)

    def _finish(self, key: tuple[str, int]) -> None:
        """Send what is left and close the query."""
        self._send(self._jobs[key])
        self._close(key)

    def _send(self, job: _Job) -> None:
        """Send pending results and failures; only failures before the flush time."""
        is_due = job.is_flushed or not job.is_open
        ready = job.ready if is_due else []
        if not ready and not job.failed:
            return
        floor = _floor(job) if self._filters_by_floor else b""
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

    def _finish_early(self, key: tuple[str, int]) -> None:
        """Cancel the calls of a query and send its results so far, with the state of the rest.

        A front that receives no report by its deadline cannot tell its caller that the request did
        not run.
        """
        job = self._jobs[key]
        for shard, stop in job.running.items():
            failure = node_frames.Failure.NOT_SENT if stop() else node_frames.Failure.MAY_HAVE_RUN
            job.failed[shard] = failure
        job.running.clear()
        job.failed.update(dict.fromkeys(job.waiting, node_frames.Failure.NOT_SENT))
        job.waiting.clear()
        self._finish(key)

    def _abort(self, key: tuple[str, int]) -> None:
        job = self._jobs.get(key)
        if job is None:
            return
        for stop in job.running.values():
            stop()
        job.running.clear()
        self._close(key)

    def _close(self, key: tuple[str, int]) -> None:
        job = self._jobs.pop(key)
        job.leave_queue()
        for timer in (job.flush_timer, job.poll_timer, job.timeout):
            if timer is not None and timer.active():
                timer.cancel()


def _floor(job: _Job) -> bytes:
    """Return the lowest record that can still be in the answer, given what the front has.

    Only the floor of the query and the first, merged result count. A front that rejects the merged
    result drops the whole query, but it may reject a later result alone, so the records of a later
    result must not raise the floor.
    """
    if not job.first or len(job.first) < job.query.top:
        return job.query.floor
    return max(job.query.floor, job.first[-1])
