"""Keeps the configuration and the targets up to date, with few calls to the platform's store.

In each data hall one instance asks the store in short intervals and tells its peers what changed;
the others ask only when they hear nothing. So the calls grow with the halls, not with the
instances, and no instance depends on another: one whose knowledge gets old asks for itself.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import structlog

from lineworks.decisions import evacuations, positions, routes, target_view
from lineworks.forwarding import hall_peers, target_documents
from lineworks.kernel import rate_limited_log, task
from lineworks.platform import configuration, store, store_items, target_entries
from lineworks.platform import evacuations as evacuation_keys
from lineworks.wire import node_frames

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable, Mapping, Sequence

    from lineworks.services import peer_links
    from lineworks.wire import frames

NEVER_AGE = 1e9
"""Age, in seconds, that stands for never: logs and metrics have no infinity."""

TICK = 0.05
"""Seconds between looks at whether the store should be asked."""

POLL_SECONDS = 1.2
"""Age of the knowledge, in seconds, at which a hall's reader asks the store. With the answer and
the way to the peers it stays well below the three seconds in which a change must be in force."""

FALLBACK_SECONDS = 1.9
"""Age at which any instance asks for itself, because its hall's reader is silent."""

FALLBACK_SPREAD = 0.2
"""Seconds over which instances spread their own first calls."""

RETRY_SECONDS = 0.4
"""Seconds between calls while the store fails; doubled with each failure."""

MOST_RETRY_SECONDS = 1.0
"""Seconds between calls while the store fails at most: its return must be noticed soon."""

BLIND_PAUSE = 0.2
"""Seconds between calls while nothing can be served: they fail, or the store holds no configuration
yet. Callers are refused meanwhile, and such a call costs little."""

BEHIND_SECONDS = 1.5
"""Seconds that a peer may be known to have a newer configuration before it is asked for it: the
store or the hall's reader usually bring it by then, without bytes between regions."""

PULL_PAUSE = 0.5
"""Seconds between pulls from peers at least: all peers tell of a new configuration at about the
same time, and an answer from another region takes less."""

UNSURE_SECONDS = 3.0
"""Seconds after the start, and after the store's return from an older copy, in which a peer with a
newer configuration is asked for it at once: what the store shows may be older than what was in
force."""

REFUSED_PER_SECOND = 5.0
"""Log lines a second for entries that name no target to use: anybody may write any number."""

_ANY = ""
_log = structlog.get_logger(component="directory")


class Directory:
    """What one instance knows of the configuration and the targets."""

    def __init__(
        self,
        reactor: Any,
        rng: random.Random,
        name: str,
        hall: str,
        client: store.Store,
        links: peer_links.PeerLinks,
    ) -> None:
        """Start without knowledge.

        Args:
            reactor: Twisted's reactor.
            rng: Spreads calls.
            name: Name of this instance.
            hall: Its data hall.
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
        self._unsure_since = reactor.seconds()
        self._doubt_until = 0.0
        self._fresh_at = float("-inf")
        self._next_call = 0.0
        self._failures = 0
        self._outage_since: float | None = None
        self._hold_until = 0.0
        self._ahead: str | None = None
        self._ahead_since = 0.0
        self._newest_heard = 0
        self._pulled_at = float("-inf")
        self._spread = rng.random() * FALLBACK_SPREAD
        self._task = task.Task("directory", self._run)
        self._refused_log = rate_limited_log.RateLimitedLog(
            reactor, "directory", REFUSED_PER_SECOND
        )
        self.refused_entries = 0
        """Entries read that name no target to use."""
        self.on_table: Callable[[routes.RouteTable], None] = lambda table: None
        self.on_targets: Callable[[], None] = lambda: None
        self.on_instances: Callable[[Sequence[store_items.Change]], None] = lambda rows: None
        links.handle(node_frames.TargetUpdate, self._on_target_update)
        links.handle(node_frames.TableUpdate, self._on_table_update)
        links.handle(node_frames.TablePull, self._on_pull)
        links.on_up.append(self._on_up)

    @property
    def is_complete(self) -> bool:
        """Whether there are a configuration and targets to work with."""
        return self._table is not None and self._has_targets

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 for none."""
        return self._table.version if self._table is not None else 0

    @property
    def is_outdated(self) -> bool:
        """Whether a peer is known to have a newer configuration."""
        return self._newest_heard > self.version

    @property
    def age(self) -> float:
        """Seconds since the store is known to have held nothing newer; `NEVER_AGE` at first."""
        return min(NEVER_AGE, self._reactor.seconds() - self._fresh_at)

    @property
    def entries(self) -> Iterable[target_view.TargetEntry]:
        """Entries of all targets."""
        return self._view.entries.values()

    @property
    def evacuated(self) -> frozenset[str]:
        """Data halls whose targets get no new work."""
        return self._evacuations.halls

    def start(self) -> None:
        """Begin to ask the store."""
        self._unsure_since = self._reactor.seconds()
        self._task.start()

    def stop(self) -> None:
        """Stop asking."""
        self._task.stop()

    def on_store_return(self) -> None:
        """Note that the store came back from an older copy: others have yet to write again."""
        now = self._reactor.seconds()
        self._unsure_since = now
        self._hold_until = max(self._hold_until, now + target_view.REMOVAL_GRACE_SECONDS)
        self._doubt_until = now + target_view.DOUBT_SECONDS

    def on_peer_version(self, peer: str, version: int) -> None:
        """Note the version in force at a peer; if this instance stays behind, it asks for it.

        Args:
            peer: The peer.
            version: Version in force there.
        """
        if version <= self.version:
            return
        self._newest_heard = max(self._newest_heard, version)
        if self._ahead is None:
            self._ahead_since = self._reactor.seconds()
        self._ahead = peer
        # Now, and not after a call to the store that may be under way for a while.
        self._pull_if_behind()

    def _pull_if_behind(self) -> None:
        """Ask a peer for what it has, when the store and the own hall did not bring it in time."""
        if self._ahead is None:
            return
        now = self._reactor.seconds()
        is_unsure = self.version > 0 and now - self._unsure_since < UNSURE_SECONDS
        # Neither the store nor the hall's reader brings it to one whose own calls fail.
        is_cut_off = self._failures > 0 and self.age >= FALLBACK_SECONDS
        if is_unsure or is_cut_off or now - self._ahead_since >= BEHIND_SECONDS:
            self._pull()

    def pull_at_once(self) -> None:
        """Ask a peer that is ahead for what it has, because a caller is refused for lack of it."""
        self._pull()

    def _pull(self) -> None:
        """Ask a peer that is ahead, unless one was asked just now."""
        now = self._reactor.seconds()
        if self._ahead is None or now < self._pulled_at + PULL_PAUSE:
            return
        self._pulled_at = now
        self._links.send(self._ahead, node_frames.TablePull(self.version))
        self._ahead = None

    async def _run(self) -> None:
        while True:
            if self._is_due():
                await self._ask()
            self._pull_if_behind()
            self._carry_out_due()
            await task.sleep(self._reactor, TICK)

    def _carry_out_due(self) -> None:
        """Let go of what is missing, and believe what is there again, when its time has come."""
        now = self._reactor.seconds()
        is_changed = self._view.expire(now)
        is_changed |= self._view.accept_doubted(now)
        is_changed |= self._evacuations.expire(now, self._fresh_at, self._view.position)
        if is_changed:
            self.on_targets()

    def _is_due(self) -> bool:
        if self._reactor.seconds() < self._next_call:
            return False
        if not self.is_complete and not self._is_unconfigured:
            return True
        # Age first: who reads is found by looking at every link.
        age = self.age
        if age < (POLL_SECONDS if self.is_complete else BLIND_PAUSE):
            return False
        return age >= FALLBACK_SECONDS + self._spread or self._is_reader()

    def _is_reader(self) -> bool:
        """Say whether this instance reads the store for its hall."""
        return hall_peers.represents_hall(self._links, self._hall, self._name, "reader")

    async def _ask(self) -> None:
        """Ask the store what is new, or for everything at first."""
        asked_at = self._reactor.seconds()
        try:
            if self._view.position != positions.ABSENT:
                await self._read_changes(asked_at)
            else:
                await self._read_all(asked_at)
        except store.StoreError as error:
            self._on_failure(str(error), isinstance(error, store.StoreBusyError))
            return
        except Exception as error:
            # A fault in one answer must not end the task that all knowledge comes through.
            _log.error("ask_failed", error=repr(error))
            self._on_failure(repr(error), is_busy=False)
            return
        self._on_success()

    async def _read_all(self, asked_at: float) -> None:
        """Read everything there is."""
        listing = await self._store.list_items(_ANY)
        rows = [store_items.Change(item.key, item.position, item.value) for item in listing.items]
        is_changed = self._replace(_asked(rows), self._decode(rows), listing.position)
        self._has_targets = True
        self._fresh_at = max(self._fresh_at, asked_at)
        self._take_others(rows)
        if is_changed:
            self.on_targets()
        self._send_all(hall_peers.names(self._links, self._hall))

    def _replace(
        self,
        asked: Iterable[evacuations.EvacuationChange],
        entries: Iterable[target_view.TargetChange],
        position: positions.Position,
        held: Mapping[str, float] | None = None,
    ) -> bool:
        """Take in everything as it was at one position; say whether anything changed."""
        hold = self._hold()
        # Before the targets are known, so that a hall that is to be left alone gets nothing.
        is_changed = self._evacuations.replace(asked, position, hold)
        is_changed |= self._view.replace(entries, position, hold, self._doubt_until, held)
        return is_changed

    async def _read_changes(self, asked_at: float) -> None:
        """Read what changed since the last time."""
        before = self._view.position
        try:
            found = await self._store.watch(_ANY, before, 0.0)
        except store.HistoryGoneError:
            await self._read_all(asked_at)
            _log.info(
                "history_gone",
                revision=before.revision,
                era=before.era,
                listed_revision=self._view.position.revision,
                listed_era=self._view.position.era,
                in_force=self.version,
            )
            return
        # An entry that came back while its removal was held up is news to the peers as well.
        known = self._view.confirmed_entries()
        entries = self._decode(found.changes)
        asked = _asked(found.changes)
        is_changed = self._evacuations.apply(asked)
        is_changed |= self._view.apply(entries, self._hold())
        self._view.position = max(self._view.position, found.position)
        self._fresh_at = max(self._fresh_at, asked_at)
        self._take_others(found.changes)
        if is_changed:
            self.on_targets()
        effective_changes = target_view.effective_changes(known, entries)
        self._send_update(
            hall_peers.names(self._links, self._hall), before, effective_changes, asked
        )

    def _decode(self, rows: Iterable[store_items.Change]) -> list[target_view.TargetChange]:
        changes = []
        for row in rows:
            name = row.key.removeprefix(target_entries.PREFIX)
            if name == row.key:
                continue
            entry = None
            if row.value is not None:
                entry = self._decode_entry(row.key, row.value)
            # An entry that can't be used takes the place of the one that was there before.
            changes.append(target_view.TargetChange(name, row.position, entry))
        return changes

    def _decode_entry(self, key: str, value: bytes) -> target_view.TargetEntry | None:
        try:
            return target_entries.decode(key, value)
        except target_entries.EntryError as error:
            self.refused_entries += 1
            self._refused_log.info("entry_refused", error=str(error))
            return None

    def _take_others(self, rows: Sequence[store_items.Change]) -> None:
        """Take in what is no target's entry: the configuration and the instances' keys."""
        for row in rows:
            if row.key == configuration.KEY and row.value is not None:
                self._take_table(row.value, row.position.era)
        self.on_instances(rows)

    def _take_table(self, document: bytes, era: int) -> None:
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
        self._ahead = None
        self._document = document
        self.on_table(table)
        update = node_frames.TableUpdate(table.version, document, era)
        for name in hall_peers.names(self._links, self._hall):
            self._links.send(name, update)

    def _send_all(self, names: Iterable[str]) -> None:
        """Give peers everything that is known, and how far it is settled."""
        known = self._view.all_changes()
        unsettled = self._view.unsettled(self._reactor.seconds())
        asked = self._evacuations.all_changes()
        self._send_update(names, positions.ABSENT, known, asked, unsettled)

    def _send_update(
        self,
        names: Iterable[str],
        after: positions.Position,
        effective_changes: list[target_view.TargetChange],
        asked: tuple[evacuations.EvacuationChange, ...] = (),
        unsettled: Sequence[target_view.Unsettled] = (),
    ) -> None:
        document = target_documents.encode(effective_changes)
        rest = target_documents.encode_unsettled(unsettled)
        age = max(0.0, self.age)
        update = node_frames.TargetUpdate(after, self._view.position, age, document, asked, rest)
        for name in names:
            self._links.send(name, update)

    def _on_target_update(self, link: Any, frame: node_frames.TargetUpdate) -> None:
        """Take in what a peer read from the store."""
        self._store.era.learn(frame.position.era)
        is_outdated = frame.position.era < self._view.position.era
        if is_outdated or frame.after > self._view.position:
            return
        try:
            changes = target_documents.decode(frame.document)
            unsettled = target_documents.decode_unsettled(frame.unsettled)
        except target_documents.TargetDocumentError as error:
            link.close(f"malformed frame: {error}")
            return
        self._note_return()
        if frame.after == positions.ABSENT:
            held = self._held_until(unsettled)
            is_changed = self._replace(frame.evacuations, changes, frame.position, held)
        else:
            is_changed = self._evacuations.apply(frame.evacuations)
            is_changed |= self._view.apply(changes, self._hold())
        is_changed |= self._view.apply_unsettled(unsettled, self._reactor.seconds())
        self._view.position = max(self._view.position, frame.position)
        self._has_targets = True
        self._fresh_at = max(self._fresh_at, self._reactor.seconds() - frame.age)
        if is_changed:
            self.on_targets()
        self._contradict(link.hello.name, changes)

    def _held_until(self, unsettled: Iterable[target_view.Unsettled]) -> dict[str, float]:
        """Tell until when a peer keeps entries that are missing."""
        now = self._reactor.seconds()
        return {
            one.change.id: now + one.seconds
            for one in unsettled
            if one.reason is target_view.UnsettledReason.HELD
        }

    def _contradict(self, peer: str, listed: Iterable[target_view.TargetChange]) -> None:
        """Tell a peer what had gone or was leaving of what it lists: it may have just started."""
        known_better = self._view.corrections(listed, self._reactor.seconds())
        if known_better:
            self._send_update([peer], self._view.position, [], unsettled=known_better)

    def _on_table_update(self, link: Any, frame: node_frames.TableUpdate) -> None:
        if (frame.version, frame.era) > (self.version, self._table_era):
            self._take_table(frame.document, frame.era)

    def _on_pull(self, link: Any, frame: node_frames.TablePull) -> None:
        """Give a peer what it lacks."""
        if self._table is not None and self.version > frame.version:
            link.send(node_frames.TableUpdate(self.version, self._document, self._table_era))
        if frame.version == 0 and self._has_targets:
            self._send_all([link.hello.name])

    def _on_up(self, hello: frames.Hello) -> None:
        """Ask a peer for everything while nothing is known and the store does not answer."""
        if not self.is_complete and self._failures:
            self._links.send(hello.name, node_frames.TablePull(0))

    def _ask_peers(self) -> None:
        for name in list(self._links.up)[:1]:
            self._links.send(name, node_frames.TablePull(0))

    def _hold(self) -> float:
        """Tell until when missing entries prove nothing; 0 outside an outage."""
        now = self._reactor.seconds()
        if self._outage_since is not None:
            return float(now + target_view.REMOVAL_GRACE_SECONDS)
        return self._hold_until if now < self._hold_until else 0.0

    def _on_failure(self, error: str, is_busy: bool) -> None:
        now = self._reactor.seconds()
        if not self.is_complete:
            self._ask_peers()
        if self._outage_since is None:
            self._outage_since = now
            _log.warning("store_lost", error=error, age=round(self.age, 3))
        pause = min(MOST_RETRY_SECONDS, RETRY_SECONDS * 2**self._failures)
        if not self.is_complete and not is_busy:
            pause = BLIND_PAUSE
        self._failures += 1
        self._next_call = now + pause * (0.75 + self._rng.random() / 2)

    def _on_success(self) -> None:
        self._failures = 0
        # The store holds no configuration: more calls would bring nothing, and whoever reads for
        # the hall will tell of one.
        self._is_unconfigured = self._table is None
        self._note_return()

    def _note_return(self) -> None:
        """Note that the store answers, here or at a peer."""
        if self._outage_since is None:
            return
        now = self._reactor.seconds()
        _log.info("store_regained", seconds=round(now - self._outage_since, 3))
        self._outage_since = None
        self._hold_until = now + target_view.REMOVAL_GRACE_SECONDS


def _asked(rows: Iterable[store_items.Change]) -> tuple[evacuations.EvacuationChange, ...]:
    """Pick out what the operators ask of whole halls."""
    found = []
    for row in rows:
        hall = evacuation_keys.hall_of(row.key)
        if hall is not None:
            is_evacuated = row.value is not None
            found.append(evacuations.EvacuationChange(hall, row.position, is_evacuated))
    return tuple(found)
