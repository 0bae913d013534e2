"""Shares records of requests that may crash targets among all instances.

An instance that finds that a target has ended reports it to all peers immediately, so that the
caller's next try is recognized at any instance. Soon afterwards it writes the record to the
platform's store, for instances that start or are cut off from their peers. An instance that reads
new records from the store forwards them to its hall. When a link comes up, all records are sent
over it; between halls only one instance of each hall does so. Nothing is sent while no target ends:
an instance does not report a broken connection until the target is known to have ended, except one
that broke during a trial. `lineworks.decisions.suspects` decides how suspects are handled.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Any

from lineworks.decisions import suspects
from lineworks.forwarding import hall_peers, suspect_documents, target_probe
from lineworks.kernel import rate_limited_log, task
from lineworks.platform import store, store_items
from lineworks.wire import node_frames

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping, Sequence

    from lineworks.forwarding import target_book
    from lineworks.services import peer_links
    from lineworks.wire import frames

REPORT_BATCH_SECONDS = 0.02
"""Seconds for which further reports are batched into one message. Reports that change a judgement
are sent immediately, and a caller's next try arrives later than this."""

WRITE_BATCH_SECONDS = 0.3
"""Seconds for which changes are batched before they are written to the store: most suspects are
cleared before that by their caller's next try."""

RETRY_SECONDS = 1.0
"""Seconds between attempts to write while the store fails."""

MAX_WRITE_BATCH = 32
"""Maximum number of records per transaction, which is the store's limit."""

LEASE_SECONDS = 600.0
"""Seconds after which the store drops a record: the longest lease that it grants."""

REFRESH_SECONDS = 300.0
"""Seconds after which a record that still causes refusals is written again."""

EXPIRY_CHECK_SECONDS = 1.0
"""Seconds between checks for expired records."""

MAX_PROBES = 4
"""Maximum number of targets per report that are probed for whether they have ended: one more than
are needed for a refusal."""

PROBE_TIMEOUT_SECONDS = 1.0
"""Timeout in seconds for connecting to a probed target. A host that is down does not even refuse
connections."""

DUTY = "suspects"
"""Name of the duty that one instance performs for its hall: sending all records over new links to
other halls, and writing them to the store again after it was restored."""

MAX_LOG_LINES_PER_SECOND = 20.0
"""Maximum number of log lines per second, separately for suspects and for refused requests."""

MAX_REPORT_RECORDS = 32
"""Maximum number of records per message: a message of the longest ones stays below the limit of a
frame, beyond which the peer closes the link."""

MAX_LOGGED_ENDS = 4
"""Maximum number of ends per log line."""


class SuspectExchange:
    """Keeps the suspects that one instance knows, and exchanges them with its peers."""

    def __init__(
        self,
        reactor: Any,
        name: str,
        hall: str,
        links: peer_links.PeerLinks,
        client: store.Store,
        book: target_book.TargetBook,
    ) -> None:
        """Initialize the exchange without suspects.

        Args:
            reactor: Twisted's reactor.
            name: Name of this instance.
            hall: Data hall of this instance.
            links: Links to the other instances.
            client: Client of the platform's store.
            book: Knows the addresses of targets.
        """
        self._reactor = reactor
        self._name = name
        self._hall = hall
        self._links = links
        self._store = client
        self._book = book
        self._suspects = suspects.Suspects()
        self._announced: dict[str, suspects.Judgement] = {}
        # Suspects that were not reported to peers, because no end is proven or part of a trial.
        self._local_only: set[str] = set()
        self._unannounced: dict[str, str] = {}
        self._unwritten: dict[str, suspects.Record] = {}
        self._written_at: dict[str, float] = {}
        self._is_writing = False
        self._writer = task.Task("suspects", self._write)
        self._expiry_timer: Any = None
        self._is_stopped = False
        self._log = rate_limited_log.RateLimitedLog(reactor, "suspects", MAX_LOG_LINES_PER_SECOND)
        self._refused_log = rate_limited_log.RateLimitedLog(
            reactor, "suspects", MAX_LOG_LINES_PER_SECOND
        )
        self.counts: collections.Counter[str] = collections.Counter()
        """Counts of refusals, trials, reports, cleared suspects and refused documents."""
        links.handle(node_frames.SuspectReports, self._on_reports)
        links.on_up.append(self._on_up)

    @property
    def records(self) -> tuple[suspects.Record, ...]:
        """All records that this instance has."""
        return tuple(self._suspects.records.values())

    @property
    def gauges(self) -> dict[str, float]:
        """Values for metrics."""
        now = self._reactor.seconds()
        judged = collections.Counter(record.judge(now) for record in self.records)
        return {
            "suspects": float(judged[suspects.Judgement.TRIAL]),
            "refused": float(judged[suspects.Judgement.REFUSE]),
            "forgotten": float(self._suspects.forgotten),
            **{kind: float(count) for kind, count in self.counts.items()},
        }

    def start(self) -> None:
        """Do nothing: timers start with the first suspect."""

    def stop(self) -> None:
        """Stop writing to the store and checking for expired records."""
        self._is_stopped = True
        self._writer.stop()
        if self._expiry_timer is not None and self._expiry_timer.active():
            self._expiry_timer.cancel()

    def judge(self, content: str) -> suspects.Judgement:
        """Return how to handle a request.

        Args:
            content: Fingerprint of the request.

        Returns:
            The judgement.
        """
        if not self._suspects.records:
            return suspects.Judgement.CLEAR
        found = self._suspects.judge(content, self._reactor.seconds())
        if found is suspects.Judgement.TRIAL:
            self.counts["trials"] += 1
        return found

    def on_store_restored(self) -> None:
        """Write all shared records again: the store was restored from a copy that may lack them."""
        if hall_peers.represents_hall(self._links, self._hall, self._name, DUTY):
            for record in self._shared():
                self._write_soon(record)

    def note_refused(self, content: str, attempt: str) -> float:
        """Record that a request is refused.

        Args:
            content: Fingerprint of the request.
            attempt: Identity of the caller's try.

        Returns:
            Seconds for which it will remain refused.
        """
        now = self._reactor.seconds()
        record = self._suspects.records[content]
        self.counts["refusals"] += 1
        left = max(0.0, record.refused_until - now)
        self._refused_log.info(
            "suspect_refused", id=attempt, content=content, seconds=round(left, 1)
        )
        if now - self._written_at.get(content, now) >= REFRESH_SECONDS:
            self._write_soon(record)
        return left

    def note_broken_connections(
        self, content: str, targets: Sequence[str], attempt: str, is_trial: bool
    ) -> None:
        """Record that connections to targets broke during a try that no target answered.

        Args:
            content: Fingerprint of the request.
            targets: Identities of the targets.
            attempt: Identity of the try.
            is_trial: Whether the try was a trial.
        """
        now = self._reactor.seconds()
        record = self._suspects.note_ends(content, targets, attempt, is_trial, now)
        if record is None:
            return
        self._announce_if_proven(record)
        for target in targets[-MAX_PROBES:]:
            self._probe(content, target, attempt)

    def note_answer(self, content: str) -> None:
        """Record that a target answered a request, which clears it.

        Args:
            content: Fingerprint of the request.
        """
        record = self._suspects.note_answer(content, self._reactor.seconds())
        if record is not None:
            self.counts["cleared"] += 1
            if content in self._local_only:
                self._local_only.discard(content)
                self._note_change(record, "an answer")
            else:
                self._announce(record, "an answer")

    def note_gone(self, targets: Iterable[str]) -> None:
        """Record that the entries of targets are gone: targets whose connections broke have ended.

        Args:
            targets: Identities of the targets.
        """
        if not self._suspects.records:
            return
        gone = frozenset(targets)
        for record in self.records:
            for end in record.ends:
                if end.target in gone and not end.is_proven:
                    self._on_proven(record.content, end.target, end.attempt)

    def lift(self, content: str) -> bool:
        """Lift a refusal for an operator, so that the request may have a trial immediately.

        Args:
            content: Fingerprint of the request.

        Returns:
            True if it was refused.
        """
        record = self._suspects.lift(content, self._reactor.seconds())
        if record is None:
            return False
        self._announce(record, "an operator")
        return True

    def _announce_if_proven(self, record: suspects.Record) -> None:
        """Report a suspect once an end is proven or one happened during a trial.

        Targets that only lose responses break the connections of hundreds of requests at a time.
        Reporting and then clearing each of these made up most of the traffic that 195 instances
        sent between regions.
        """
        content = record.content
        is_known = content in self._announced or record.proven
        if is_known or any(end.is_trial for end in record.ends):
            self._local_only.discard(content)
            self._announce(record, "an own request")
        else:
            self._local_only.add(content)
            self._note_change(record, "an own request")

    def on_changes(self, changes: Iterable[store_items.Change]) -> None:
        """Merge records from the platform's store.

        Args:
            changes: Keys that were written or removed. Removed keys are ignored, because their
                lease may simply have expired.
        """
        news: list[suspects.Record] = []
        try:
            for change in changes:
                self._merge_change(change, news)
        finally:
            # Also after an error: a record that is merged is not news the next time.
            if news:
                # Each hall has its own reader of the store: other halls receive the same changes.
                self._tell_hall(news)

    def _tell_hall(self, records: Sequence[suspects.Record]) -> None:
        """Send records to the hall; one that can't be sent keeps no other from being sent."""
        try:
            self._send_to(hall_peers.names(self._links, self._hall), records)
        except Exception as error:
            if len(records) > 1:
                for record in records:
                    self._tell_hall([record])
            else:
                self.counts["records_not_sent"] += 1
                self._log.info("suspect_not_sent", content=records[0].content, error=repr(error))

    def _merge_change(self, change: store_items.Change, news: list[suspects.Record]) -> None:
        """Merge the record of one key, and add it to the news if anything in it is new."""
        content = change.key.removeprefix(suspect_documents.PREFIX)
        if content == change.key or change.value is None:
            return
        now = self._reactor.seconds()
        try:
            found = suspect_documents.decode(content, change.value, now)
        except suspect_documents.SuspectDocumentError as error:
            self.counts["documents_refused"] += 1
            self._log.info("suspect_document_refused", error=str(error))
            return
        record = self._suspects.merge(found, now)
        if record is not None:
            record = self._suspects.clear_if_answered(content, now) or record
            self._note_shared(record, "the store")
            news.append(record)

    def _on_up(self, hello: frames.Hello) -> None:
        """Send all shared records to a peer, which may have started or been cut off."""
        shared = self._shared()
        if not shared:
            return
        is_near = hello.hall == self._hall
        if is_near or hall_peers.represents_hall(self._links, self._hall, self._name, DUTY):
            self._send_to([hello.name], shared)

    def _shared(self) -> list[suspects.Record]:
        """Return the records that may be shared with other instances."""
        return [record for record in self.records if record.content not in self._local_only]

    def _on_reports(self, link: Any, frame: node_frames.SuspectReports) -> None:
        now = self._reactor.seconds()
        for found in frame.records:
            record = self._suspects.merge(found, now)
            if record is None:
                continue
            self.counts["reports_taken_in"] += 1
            self._note_shared(record, link.hello.name)
            if (
                record.cleared_at is not None
                and self._announced.pop(record.content, None) is not None
            ):
                # This instance reported the suspect, and another one cleared it.
                self._broadcast((record,))
            cleared = self._suspects.clear_if_answered(found.content, now)
            if cleared is not None:
                # Inform only the reporter, which informs the others. Otherwise every instance that
                # knows of the answer would inform all others.
                self._note_change(cleared, "an answer")
                link.send(node_frames.SuspectReports((cleared,)))

    def _announce(self, record: suspects.Record, origin: str) -> None:
        """Report a change to the peers and write it to the store.

        Changes of the judgement are sent immediately and others are batched: sending each end and
        each proof separately took 16 messages to each instance for one search.
        """
        content = record.content
        judgement = record.judge(self._reactor.seconds())
        if self._announced.get(content) is not judgement:
            self._announced[content] = judgement
            self._unannounced.pop(content, None)
            self._note_change(record, origin)
            self._broadcast((record,))
        else:
            if not self._unannounced:
                self._reactor.callLater(REPORT_BATCH_SECONDS, self._announce_batch)
            self._unannounced[content] = origin
        self._write_soon(record)

    def _announce_batch(self) -> None:
        unannounced, self._unannounced = self._unannounced, {}
        held = self._suspects.records
        news = [held[content] for content in unannounced if content in held]
        for record in news:
            self._note_change(record, unannounced[record.content])
        if news:
            self._broadcast(news)

    def _note_shared(self, record: suspects.Record, origin: str) -> None:
        """Record a change that other instances know of."""
        self._local_only.discard(record.content)
        self._note_change(record, origin)

    def _send_to(self, names: Sequence[str], records: Sequence[suspects.Record]) -> None:
        for frame in _report_frames(records):
            for name in names:
                self._links.send(name, frame)

    def _broadcast(self, records: Sequence[suspects.Record]) -> None:
        self.counts["reports_told"] += len(records)
        for frame in _report_frames(records):
            self._links.broadcast(frame)

    def _note_change(self, record: suspects.Record, origin: str) -> None:
        now = self._reactor.seconds()
        self._written_at.setdefault(record.content, now)
        if self._expiry_timer is None and not self._is_stopped:
            self._expiry_timer = self._reactor.callLater(EXPIRY_CHECK_SECONDS, self._expire)
        is_cleared = record.cleared_at is not None
        self._log.info(
            "suspect_cleared" if is_cleared else "suspect",
            content=record.content,
            told_by=origin,
            judgement=record.judge(now).value,
            ends=[_describe(end, now) for end in record.ends[-MAX_LOGGED_ENDS:]],
            count=len(record.ends),
            proven=record.proven,
            trials=record.trials,
            refused_for=round(max(0.0, record.refused_until - now), 1),
        )

    def _expire(self) -> None:
        self._expiry_timer = None
        now = self._reactor.seconds()
        for record in self._suspects.expire(now):
            self._log.info("suspect_forgotten", content=record.content)
        held = self._suspects.records
        self._written_at = {key: at for key, at in self._written_at.items() if key in held}
        self._announced = {key: found for key, found in self._announced.items() if key in held}
        self._local_only.intersection_update(held)
        if held:
            self._expiry_timer = self._reactor.callLater(EXPIRY_CHECK_SECONDS, self._expire)

    def _probe(self, content: str, target: str, attempt: str) -> None:
        """Check whether a target has ended, or only the connection to it."""
        state = self._book.find(target)
        if state is None:
            self._on_proven(content, target, attempt)
            return

        def on_result(is_listening: bool) -> None:
            if not is_listening:
                self._on_proven(content, target, attempt)

        found = state.replica.target
        target_probe.probe(self._reactor, found.host, found.port, PROBE_TIMEOUT_SECONDS, on_result)

    def _on_proven(self, content: str, target: str, attempt: str) -> None:
        now = self._reactor.seconds()
        record = self._suspects.note_proven(content, target, attempt, now)
        if record is not None:
            self._local_only.discard(content)
            self._announce(record, "a target that ended")

    def _write_soon(self, record: suspects.Record) -> None:
        self._unwritten[record.content] = record
        self._schedule_write(WRITE_BATCH_SECONDS)

    def _schedule_write(self, pause: float) -> None:
        if not self._is_writing and not self._is_stopped:
            self._is_writing = True
            self._reactor.callLater(pause, self._writer.start)

    async def _write(self) -> None:
        """Write changed records to the store; failed writes are retried later."""
        held = self._suspects.records
        wanted = [content for content in self._unwritten if content in held][:MAX_WRITE_BATCH]
        batch = {content: held[content] for content in wanted}
        pause = WRITE_BATCH_SECONDS
        try:
            await self._put(batch)
        except store.StoreError as error:
            self._log.info("suspects_unwritten", count=len(batch), error=str(error))
            pause = RETRY_SECONDS
        else:
            self._note_written(batch)
        finally:
            self._is_writing = False
        if self._unwritten:
            self._schedule_write(pause)

    async def _put(self, batch: Mapping[str, suspects.Record]) -> None:
        if not batch:
            return
        lease = await self._store.grant_lease(LEASE_SECONDS)
        await self._store.transact(
            store_items.Write(
                suspect_documents.PREFIX + content, suspect_documents.encode(record), lease
            )
            for content, record in batch.items()
        )

    def _note_written(self, batch: Mapping[str, suspects.Record]) -> None:
        """Drop written records from the queue unless they changed meanwhile, and expired ones."""
        self._written_at.update(dict.fromkeys(batch, self._reactor.seconds()))
        held = self._suspects.records
        self._unwritten = {
            content: record
            for content, record in self._unwritten.items()
            if content in held and held[content] != batch.get(content)
        }


def _report_frames(records: Sequence[suspects.Record]) -> Iterator[node_frames.SuspectReports]:
    """Divide records among as few messages as their size allows."""
    for start in range(0, len(records), MAX_REPORT_RECORDS):
        yield node_frames.SuspectReports(tuple(records[start : start + MAX_REPORT_RECORDS]))


def _describe(end: suspects.TargetEnd, now: float) -> str:
    """Describe a target's end for the log."""
    kind = " in a trial" if end.is_trial else ""
    proof = "ended" if end.is_proven else "broke off"
    return f"{end.target} {proof}{kind} {now - end.at:.1f} s ago"
