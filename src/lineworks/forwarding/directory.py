"""Keeps the configuration and the targets up to date, with few calls to the platform's store.

In each data hall one instance, the reader, polls the store at short intervals and sends the changes
to its peers; the others poll only when they receive nothing. So the number of calls grows with the
halls, not with the instances, and no instance depends on another: one whose data becomes stale
polls the store itself.
"""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Any

import structlog

from lineworks.decisions import evacuations, positions, routes, target_view
from lineworks.forwarding import (
    hall_peers,
    read_listeners,
    refused_rows,
    store_reads,
    target_documents,
)
from lineworks.kernel import task
from lineworks.platform import configuration, store, store_items, target_entries
from lineworks.platform import evacuations as evacuation_keys
from lineworks.wire import node_frames

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable, Mapping, Sequence

    from lineworks.services import peer_links
    from lineworks.wire import frames

NEVER_READ_AGE = 1e9
"""Age, in seconds, reported before anything was read: logs and metrics can't express infinity."""

TICK_SECONDS = 0.05
"""Seconds between checks whether a call to the store or another timeout is due."""

POLL_SECONDS = 1.2
"""Age of the data, in seconds, at which a hall's reader polls the store. Including the response
time and the delay to the peers, it is well below the three seconds within which a change must be in
force."""

FALLBACK_SECONDS = 1.9
"""Age of the data, in seconds, at which any instance polls the store itself, because it has heard
nothing from its hall's reader."""

FALLBACK_SPREAD = 0.2
"""Seconds over which instances spread the start of such fallback calls."""

RETRY_SECONDS = 0.4
"""Initial pause between calls while the store fails, in seconds; doubled with each failure."""

MAX_RETRY_SECONDS = 1.0
"""Maximum pause between calls while the store fails, in seconds: its recovery must be detected
quickly."""

INCOMPLETE_RETRY_SECONDS = 0.2
"""Pause between calls, in seconds, while no request can be served because the calls fail or the
store holds no configuration yet. Callers are refused in the meantime, and such a call is cheap."""

PULL_DELAY_SECONDS = 1.5
"""Seconds between learning that a peer has a newer configuration and requesting it from that peer.
The store or the hall's reader usually delivers it by then, without traffic between regions."""

MIN_PULL_INTERVAL = 0.5
"""Minimum seconds between pulls from peers: all peers announce a new configuration at about the
same time, and a response from another region takes less than this."""

UNCERTAIN_SECONDS = 3.0
"""Seconds after the start, and after the store was restored from an older copy, during which a
newer configuration is pulled from a peer immediately: the store's version may be older than the one
that was in force."""

_ALL_KEYS = ""
_log = structlog.get_logger(component="directory")


class Directory:
    """One instance's copy of the configuration, the targets and the evacuated data halls."""

    def __init__(
        self,
        reactor: Any,
        rng: random.Random,
        name: str,
        hall: str,
        client: store.Store,
        links: peer_links.PeerLinks,
    ) -> None:
        """Create an empty directory.

        Args:
            reactor: Twisted's reactor.
            rng: Source of the random delays that spread calls.
            name: Name of this instance.
            hall: Data hall of this instance.
            client: The platform's store.
            links: Links to the other instances.
        """
        self._reactor = reactor
        self._rng = rng
        self._name = name
        self._hall = hall
        self._store = client
        self._links = links
        self._view = target_view.TargetView()
        self._evacuations = evacuations.Evacuations()
        self._table: routes.RouteTable | None = None
        self._document = b""
        self._table_era = 0
        self._has_targets = False
        self._is_unconfigured = False
        self._uncertain_since = reactor.seconds()
        self._doubt_until = 0.0
        self._fresh_at = float("-inf")
        self._next_call = 0.0
        self._failures = 0
        self._outage_since: float | None = None
        self._hold_until = 0.0
        self._newer_peer: str | None = None
        self._newer_since = 0.0
        self._newest_known_version = 0
        self._pulled_at = float("-inf")
        self._fallback_delay = rng.random() * FALLBACK_SPREAD
        self._task = task.Task("directory", self._run)
        self.refused_rows = refused_rows.RefusedRows(reactor, "directory")
        """Entries of targets, and rows without a key, that can't be used."""
        self.listeners = read_listeners.ReadListeners(reactor)
        """Services that are told of what was read."""
        self.reads = store_reads.StoreReads(reactor)
        """Outcomes of the reads of the store."""
        self.on_table: Callable[[routes.RouteTable], None] = lambda table: None
        self.on_targets: Callable[[], None] = lambda: None
        links.handle(node_frames.TargetUpdate, self._on_target_update)
        links.handle(node_frames.TableUpdate, self._on_table_update)
        links.handle(node_frames.TablePull, self._on_pull)
        links.on_up.append(self._on_up)

    @property
    def is_complete(self) -> bool:
        """Whether both the configuration and the targets have been received."""
        return self._table is not None and self._has_targets

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 if there is none."""
        return self._table.version if self._table is not None else 0

    @property
    def position(self) -> positions.Position:
        """Position up to which all changes of the store are known."""
        return self._view.position

    @property
    def is_outdated(self) -> bool:
        """Whether a peer is known to have a newer configuration."""
        return self._newest_known_version > self.version

    @property
    def age(self) -> float:
        """Seconds since the data was known to be current; `NEVER_READ_AGE` at first."""
        return min(NEVER_READ_AGE, self._reactor.seconds() - self._fresh_at)

    @property
    def entries(self) -> Iterable[target_view.TargetEntry]:
        """The entries of all targets."""
        return self._view.entries.values()

    @property
    def evacuated(self) -> frozenset[str]:
        """Data halls whose targets get no new requests."""
        return self._evacuations.halls

    def start(self) -> None:
        """Start polling the store."""
        self._uncertain_since = self._reactor.seconds()
        self._task.start()

    def stop(self) -> None:
        """Stop polling."""
        self._task.stop()

    def on_store_restored(self) -> None:
        """Handle that the store was restored from an older copy: lost writes have yet to be redone.

        Until then missing entries prove nothing, and entries that reappeared are doubted.
        """
        now = self._reactor.seconds()
        self._uncertain_since = now
        self._hold_until = max(self._hold_until, now + target_view.REMOVAL_GRACE_SECONDS)
        self._doubt_until = now + target_view.DOUBT_SECONDS

    def on_peer_version(self, peer: str, version: int) -> None:
        """Record the version in force at a peer, and pull it if this instance stays behind.

        Args:
            peer: The peer.
            version: Version in force at the peer.
        """
        if version <= self.version:
            return
        self._newest_known_version = max(self._newest_known_version, version)
        if self._newer_peer is None:
            self._newer_since = self._reactor.seconds()
        self._newer_peer = peer
        # Immediately, because a call to the store may be in progress for a while.
        self._pull_if_behind()

    def _pull_if_behind(self) -> None:
        """Pull from a peer if neither the store nor the hall's reader delivered in time."""
        if self._newer_peer is None:
            return
        now = self._reactor.seconds()
        is_uncertain = self.version > 0 and now - self._uncertain_since < UNCERTAIN_SECONDS
        # An instance whose own calls fail, and whose reader sends nothing, can't expect it from
        # either.
        is_cut_off = self._failures > 0 and self.age >= FALLBACK_SECONDS
        if is_uncertain or is_cut_off or now - self._newer_since >= PULL_DELAY_SECONDS:
            self._pull()

    def pull_at_once(self) -> None:
        """Pull the newer configuration from a peer, because a caller was refused for lack of it."""
        self._pull()

    def _pull(self) -> None:
        """Pull the newer configuration from a peer, unless the last pull was too recent."""
        now = self._reactor.seconds()
        if self._newer_peer is None or now < self._pulled_at + MIN_PULL_INTERVAL:
            return
        self._pulled_at = now
        self._links.send(self._newer_peer, node_frames.TablePull(self.version))
        self._newer_peer = None

    async def _run(self) -> None:
        while True:
            if self._is_due():
                await self._read_store()
            self._pull_if_behind()
            self._apply_timeouts()
            await task.sleep(self._reactor, TICK_SECONDS)

    def _apply_timeouts(self) -> None:
        """Drop missing entries, and accept doubted ones, whose waiting time has passed."""
        now = self._reactor.seconds()
        is_changed = self._view.expire(now)
        is_changed |= self._view.accept_doubted(now)
        is_changed |= self._evacuations.expire(now, self._fresh_at, self._view.position)
        if is_changed:
            self.listeners.report("targets", self.on_targets)
        self.listeners.repeat_reports()

    def _is_due(self) -> bool:
        if self._reactor.seconds() < self._next_call:
            return False
        if not self.is_complete and not self._is_unconfigured:
            return True
        # The age is checked first, because finding the reader iterates over all links.
        age = self.age
        if age < (POLL_SECONDS if self.is_complete else INCOMPLETE_RETRY_SECONDS):
            return False
        return age >= FALLBACK_SECONDS + self._fallback_delay or self._is_reader()

    def _is_reader(self) -> bool:
        """Return whether this instance reads the store for its hall."""
        return hall_peers.represents_hall(self._links, self._hall, self._name, "reader")

    async def _read_store(self) -> None:
        """Read the changes from the store, or everything on the first call."""
        polled_at = self._reactor.seconds()
        try:
            if self._view.position != positions.ABSENT:
                await self._read_changes(polled_at)
            else:
                await self._read_all(polled_at)
        except store.StoreError as error:
            self.reads.count(store_reads.ReadOutcome.FAILED)
            self._on_failure(str(error), isinstance(error, store.StoreBusyError))
            return
        except Exception as error:
            # An error in one response must not end the task that provides all updates.
            self.reads.on_rejected(error, self._view.position)
            self._on_failure(repr(error), is_busy=False)
            return
        self._on_success()

    async def _read_all(self, polled_at: float) -> None:
        """Read all items of the store."""
        listing = await self._store.list_items(_ALL_KEYS)
        rows = [
            store_items.Change(item.key, item.position, item.value, item.problem)
            for item in listing.items
        ]
        self._skip_rows(listing.skipped, listing.position)
        self.refused_rows.keep_only([row.key for row in rows])
        is_changed = self._replace(_evacuation_changes(rows), self._decode(rows), listing.position)
        self._has_targets = True
        self._fresh_at = max(self._fresh_at, polled_at)
        self._apply_other_keys(rows)
        if is_changed:
            self.listeners.report("targets", self.on_targets)
        self._send_all(hall_peers.names(self._links, self._hall))
        self.reads.count(store_reads.ReadOutcome.LISTED)

    def _replace(
        self,
        evacuation_changes: Iterable[evacuations.EvacuationChange],
        entries: Iterable[target_view.TargetChange],
        position: positions.Position,
        held: Mapping[str, float] | None = None,
    ) -> bool:
        """Replace all data by a snapshot at one position; return whether anything changed."""
        hold = self._hold_deadline()
        # Evacuations come before the targets, so that an evacuated hall gets no request.
        is_changed = self._evacuations.replace(evacuation_changes, position, hold)
        is_changed |= self._view.replace(entries, position, hold, self._doubt_until, held)
        return is_changed

    async def _read_changes(self, polled_at: float) -> None:
        """Read the changes since the last call."""
        before = self._view.position
        try:
            found = await self._store.watch(_ALL_KEYS, before, 0.0)
        except store.HistoryGoneError:
            await self._read_all(polled_at)
            _log.info(
                "history_gone",
                revision=before.revision,
                era=before.era,
                listed_revision=self._view.position.revision,
                listed_era=self._view.position.era,
                in_force=self.version,
            )
            return
        # An entry that came back while its removal was pending is a change for the peers as well.
        known = self._view.confirmed_entries()
        self._skip_rows(found.skipped, found.position)
        entries = self._decode(found.changes)
        evacuation_changes = _evacuation_changes(found.changes)
        is_changed = self._evacuations.apply(evacuation_changes)
        is_changed |= self._view.apply(entries, self._hold_deadline())
        self._view.position = max(self._view.position, found.position)
        self._fresh_at = max(self._fresh_at, polled_at)
        self._apply_other_keys(found.changes)
        if is_changed:
            self.listeners.report("targets", self.on_targets)
        effective_changes = target_view.effective_changes(known, entries)
        self._send_update(
            hall_peers.names(self._links, self._hall), before, effective_changes, evacuation_changes
        )
        has_changes = bool(found.changes)
        self.reads.count(
            store_reads.ReadOutcome.CHANGED if has_changes else store_reads.ReadOutcome.UNCHANGED
        )

    def _skip_rows(self, reasons: Iterable[str], position: positions.Position) -> None:
        for reason in reasons:
            self.refused_rows.skip(position, reason)

    def _decode(self, rows: Iterable[store_items.Change]) -> list[target_view.TargetChange]:
        changes = []
        for row in rows:
            name = row.key.removeprefix(target_entries.PREFIX)
            if name == row.key:
                continue
            entry = None
            if row.value is not None:
                entry = self._decode_entry(row, row.value)
            else:
                self.refused_rows.accept(row.key)
            # An invalid entry replaces the previous one: the target counts as removed.
            is_refused = entry is None and row.value is not None
            changes.append(target_view.TargetChange(name, row.position, entry, is_refused))
        return changes

    def _decode_entry(
        self, row: store_items.Change, value: bytes
    ) -> target_view.TargetEntry | None:
        try:
            entry = target_entries.decode(row.key, value)
        except target_entries.EntryError as error:
            reason = row.problem or str(error)
            self.refused_rows.refuse("entry_refused", row.key, row.position, reason)
            return None
        self.refused_rows.accept(row.key)
        return entry

    def _apply_other_keys(self, rows: Sequence[store_items.Change]) -> None:
        """Apply items other than target entries: the configuration and the instances' keys."""
        for row in rows:
            if row.key == configuration.KEY and row.value is not None:
                self._apply_table(row.value, row.position.era)
        self.listeners.hand_on(rows)

    def _apply_table(self, document: bytes, era: int) -> None:
        try:
            table = configuration.decode(document)
        except configuration.ConfigurationError as error:
            _log.error("configuration_refused", error=str(error), in_force=self.version)
            return
        is_rewritten = era > self._table_era and document != self._document
        if table.version < self.version or (table.version == self.version and not is_rewritten):
            return
        _log.info("configuration", version=table.version, before=self.version, era=era)
        self._table = table
        self._table_era = era
        self._newer_peer = None
        self._document = document
        self.listeners.report("configuration", functools.partial(self.on_table, table))
        update = node_frames.TableUpdate(table.version, document, era)
        for name in hall_peers.names(self._links, self._hall):
            self._links.send(name, update)

    def _send_all(self, names: Iterable[str]) -> None:
        """Send peers all targets and evacuations, and which of the entries are unsettled."""
        known = self._view.all_changes()
        unsettled = self._view.unsettled(self._reactor.seconds())
        evacuation_changes = self._evacuations.all_changes()
        self._send_update(names, positions.ABSENT, known, evacuation_changes, unsettled)

    def _send_update(
        self,
        names: Iterable[str],
        after: positions.Position,
        effective_changes: list[target_view.TargetChange],
        evacuation_changes: tuple[evacuations.EvacuationChange, ...] = (),
        unsettled: Sequence[target_view.Unsettled] = (),
    ) -> None:
        document = target_documents.encode(effective_changes)
        unsettled_document = target_documents.encode_unsettled(unsettled)
        age = max(0.0, self.age)
        update = node_frames.TargetUpdate(
            after, self._view.position, age, document, evacuation_changes, unsettled_document
        )
        for name in names:
            self._links.send(name, update)

    def _on_target_update(self, link: Any, frame: node_frames.TargetUpdate) -> None:
        """Apply changes that a peer read from the store."""
        self._store.era.learn(frame.position.era)
        if not self._store.era.is_plausible(frame.position.era):
            return
        is_outdated = frame.position.era < self._view.position.era
        if is_outdated or frame.after > self._view.position:
            return
        try:
            changes = target_documents.decode(frame.document)
            unsettled = target_documents.decode_unsettled(frame.unsettled)
        except target_documents.TargetDocumentError as error:
            link.close(f"malformed frame: {error}")
            return
        self._end_outage()
        if frame.after == positions.ABSENT:
            held = self._held_until(unsettled)
            is_changed = self._replace(frame.evacuations, changes, frame.position, held)
        else:
            is_changed = self._evacuations.apply(frame.evacuations)
            is_changed |= self._view.apply(changes, self._hold_deadline())
        is_changed |= self._view.apply_unsettled(unsettled, self._reactor.seconds())
        self._view.position = max(self._view.position, frame.position)
        self._has_targets = True
        self._fresh_at = max(self._fresh_at, self._reactor.seconds() - frame.age)
        if is_changed:
            self.listeners.report("targets", self.on_targets)
        self._correct_peer(link.hello.name, changes)

    def _held_until(self, unsettled: Iterable[target_view.Unsettled]) -> dict[str, float]:
        """Return, by target, until when a peer keeps entries that are missing."""
        now = self._reactor.seconds()
        return {
            one.change.id: now + one.seconds
            for one in unsettled
            if one.reason is target_view.UnsettledReason.HELD
        }

    def _correct_peer(self, peer: str, listed: Iterable[target_view.TargetChange]) -> None:
        """Correct a peer that lists targets which are gone or leaving: it may have just started."""
        corrections = self._view.corrections(listed, self._reactor.seconds())
        if corrections:
            self._send_update([peer], self._view.position, [], unsettled=corrections)

    def _on_table_update(self, link: Any, frame: node_frames.TableUpdate) -> None:
        if (frame.version, frame.era) > (self.version, self._table_era):
            self._apply_table(frame.document, frame.era)

    def _on_pull(self, link: Any, frame: node_frames.TablePull) -> None:
        """Send a peer a newer configuration; if it has none, the targets as well."""
        if self._table is not None and self.version > frame.version:
            link.send(node_frames.TableUpdate(self.version, self._document, self._table_era))
        if frame.version == 0 and self._has_targets:
            self._send_all([link.hello.name])

    def _on_up(self, hello: frames.Hello) -> None:
        """Pull everything from a new peer while the directory is incomplete and the store fails."""
        if not self.is_complete and self._failures:
            self._links.send(hello.name, node_frames.TablePull(0))

    def _pull_from_any_peer(self) -> None:
        for name in list(self._links.up)[:1]:
            self._links.send(name, node_frames.TablePull(0))

    def _hold_deadline(self) -> float:
        """Return until when missing entries prove nothing; 0 if there was no recent outage."""
        now = self._reactor.seconds()
        if self._outage_since is not None:
            return float(now + target_view.REMOVAL_GRACE_SECONDS)
        return self._hold_until if now < self._hold_until else 0.0

    def _on_failure(self, error: str, is_busy: bool) -> None:
        now = self._reactor.seconds()
        if not self.is_complete:
            self._pull_from_any_peer()
        if self._outage_since is None:
            self._outage_since = now
            _log.warning(
                "store_lost",
                error=error,
                age=round(self.age, 3),
                revision=self._view.position.revision,
                era=self._view.position.era,
            )
        pause = min(MAX_RETRY_SECONDS, RETRY_SECONDS * 2**self._failures)
        if not self.is_complete and not is_busy:
            pause = INCOMPLETE_RETRY_SECONDS
        self._failures += 1
        self._next_call = now + pause * (0.75 + self._rng.random() / 2)

    def _on_success(self) -> None:
        self._failures = 0
        # If the store holds no configuration, more calls would not help, and the hall's reader
        # will send one.
        self._is_unconfigured = self._table is None
        self._end_outage()

    def _end_outage(self) -> None:
        """End the outage, if there is one: the store has answered this instance or a peer."""
        if self._outage_since is None:
            return
        now = self._reactor.seconds()
        _log.info("store_regained", seconds=round(now - self._outage_since, 3))
        self._outage_since = None
        self._hold_until = now + target_view.REMOVAL_GRACE_SECONDS


def _evacuation_changes(
    rows: Iterable[store_items.Change],
) -> tuple[evacuations.EvacuationChange, ...]:
    """Return the changes of the operators' evacuations of data halls."""
    found = []
    for row in rows:
        hall = evacuation_keys.hall_of(row.key)
        if hall is not None:
            is_evacuated = row.value is not None
            found.append(evacuations.EvacuationChange(hall, row.position, is_evacuated))
    return tuple(found)
