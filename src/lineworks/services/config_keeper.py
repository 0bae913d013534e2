"""Keeps the active configuration of this instance up to date and propagates it to peers.

Two instances of each hall watch the platform's head. The others learn of new versions from their
peers: every heartbeat carries the sender's version and digest. Instances that don't watch also poll
the platform at long intervals. A new version is adopted only if it is higher and its chain contains
the digest of the active version.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import structlog

from lineworks.decisions import catalog, changes, ownership, positions
from lineworks.kernel import task
from lineworks.models import configuration
from lineworks.services import config_store, platform_client
from lineworks.wire import frames

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from lineworks.services import peer_link, peer_links

WATCHERS_PER_HALL = 2
"""Number of instances in each hall that watch the head."""

POLL_SECONDS = 30.0
"""Seconds between polls of the platform by an instance that is not a watcher."""

MIN_RETRY_SECONDS = 0.2
"""Initial delay in seconds before a failed read is retried. It doubles up to `MAX_RETRY_SECONDS`
and has jitter."""

MAX_RETRY_SECONDS = 5.0
"""Maximum delay in seconds between retries."""

_WATCH_SUBJECT = "config-head"
_log = structlog.get_logger(component="config_keeper")


class ConfigKeeper:
    """Holds the active configuration and follows its new versions."""

    def __init__(
        self,
        reactor: Any,
        rng: random.Random,
        name: str,
        store: config_store.ConfigStore,
        links: peer_links.PeerLinks,
        hall_members: Callable[[], list[str]],
    ) -> None:
        """Initialise with the empty configuration.

        Args:
            reactor: Twisted's reactor.
            rng: Source of jitter.
            name: Name of this instance.
            store: The configuration as stored in the platform.
            links: Links to peers.
            hall_members: Returns the live instances of this instance's hall.
        """
        self._reactor = reactor
        self._rng = rng
        self._name = name
        self._store = store
        self._links = links
        self._hall_members = hall_members
        self._items: dict[str, str] = {}
        self._head = changes.EMPTY_HEAD
        self._confirmed_at = reactor.seconds()
        self._task = task.Task("config_keeper", self._follow_platform)
        self.alarms: dict[str, int] = {}
        """Number of alarms raised, by kind."""
        self.listeners: list[Callable[[catalog.Catalog, dict[str, float]], None]] = []
        """Called with the new catalog and the class weights when a version becomes active."""
        links.handle(frames.ConfigPull, self._on_pull)
        links.handle(frames.ConfigChanges, self._on_changes)

    @property
    def version(self) -> int:
        """The active version; 0 before the first change."""
        return self._head.version

    @property
    def digest(self) -> str:
        """Digest of the active version."""
        return self._head.digest

    @property
    def head(self) -> changes.Head:
        """Head of the active version."""
        return self._head

    @property
    def items(self) -> dict[str, str]:
        """All items of the active version as JSON, by key."""
        return dict(self._items)

    @property
    def age(self) -> float:
        """Seconds since the active version was last confirmed to be the newest."""
        age: float = self._reactor.seconds() - self._confirmed_at
        return age

    @property
    def is_watcher(self) -> bool:
        """Whether this instance is one of its hall's watchers."""
        members = self._hall_members()
        return self._name in ownership.owners(_WATCH_SUBJECT, members, WATCHERS_PER_HALL)

    def start(self) -> None:
        """Start following the platform's head."""
        self._task.start()

    def stop(self) -> None:
        """Stop following the platform's head."""
        self._task.stop()

    def on_heartbeat(self, peer: str, version: int, digest: str) -> None:
        """Compare a peer's version with the active one, and request missing changes from the peer.

        Args:
            peer: Name of the peer.
            version: The peer's active version.
            digest: Digest of that version.
        """
        if version > self.version:
            self._links.send(peer, frames.ConfigPull(self.version, self.digest))
        elif version == self.version and digest == self.digest:
            self._confirmed_at = max(self._confirmed_at, self._reactor.seconds() - 1.0)
        elif version == self.version and digest != self.digest:
            self._raise_alarm("forked", f"{peer} has another version {version}")

    async def refresh(self) -> None:
        """Read the platform's head immediately and adopt it if it is newer.

        Raises:
            platform_client.PlatformError: The platform cannot be reached or lacks an item.
            configuration.ConfigurationError: The stored configuration is damaged.
        """
        head, _ = await self._store.read_head()
        await self._adopt_from_platform(head)

    async def _follow_platform(self) -> None:
        position: positions.Position | None = None
        delay = MIN_RETRY_SECONDS
        while True:
            try:
                if self.is_watcher and position is not None:
                    head, seen = await self._store.watch_head(position)
                else:
                    head, seen = await self._store.read_head()
                await self._adopt_from_platform(head)
                # Set only after adoption, so that a head whose items could not be read is retried.
                position = seen
                delay = MIN_RETRY_SECONDS
                if not self.is_watcher:
                    await self._sleep(POLL_SECONDS)
            except (platform_client.PlatformError, configuration.ConfigurationError) as error:
                _log.warning("platform_read_failed", error=str(error))
                await self._sleep(delay)
                delay = min(MAX_RETRY_SECONDS, delay * 2)

    async def _adopt_from_platform(self, head: changes.Head) -> None:
        step = changes.follow(self.version, self.digest, head)
        if isinstance(step, changes.Rejected):
            self._raise_alarm(step.reason, step.detail)
            return
        if isinstance(step, changes.LoadManifest):
            manifest = await self._store.read_manifest(head.manifest)
            self._activate(head, await self._store.read_items(manifest))
        elif step.changes:
            puts, deleted = _combine(step.changes)
            fetched = await self._store.read_items(puts)
            self._activate(head, _apply_changes(self._items, fetched, deleted))
        self._confirmed_at = self._reactor.seconds()

    def _on_pull(self, link: peer_link.PeerLink, frame: frames.ConfigPull) -> None:
        if frame.version >= self.version:
            return
        link.send(frames.ConfigChanges(self._encode_transfer(frame.version, frame.digest)))

    def _encode_transfer(self, version: int, digest: str) -> bytes:
        """Encode the items that a peer at a version lacks, or all items if the changes since that
        version are no longer known."""
        step = changes.follow(version, digest, self._head)
        if isinstance(step, changes.ApplyChanges):
            puts, _ = _combine(step.changes)
            items = {key: self._items[key] for key in puts}
        else:
            items = self._items
        document = {
            "head": json.loads(config_store.head_to_json(self._head)),
            "is_whole": not isinstance(step, changes.ApplyChanges),
            "items": items,
        }
        return json.dumps(document).encode()

    def _on_changes(self, link: peer_link.PeerLink, frame: frames.ConfigChanges) -> None:
        try:
            transfer = configuration.parse_transfer(frame.document)
        except configuration.ConfigurationError as error:
            link.close(f"malformed frame: {error}")
            return
        head, items = configuration.to_head(transfer.head), transfer.items
        step = changes.follow(self.version, self.digest, head)
        if isinstance(step, changes.Rejected):
            if step.reason != "older":
                self._raise_alarm(step.reason, step.detail)
            return
        try:
            if transfer.is_whole:
                self._activate(head, items)
            elif isinstance(step, changes.ApplyChanges) and step.changes:
                _, deleted = _combine(step.changes)
                self._activate(head, _apply_changes(self._items, items, deleted))
        except configuration.ConfigurationError as error:
            self._raise_alarm("damaged", str(error))

    def _activate(self, head: changes.Head, items: dict[str, str]) -> None:
        """Check a configuration against its manifest and make it the active one.

        The version is compared again, because a newer one may have been activated while this one
        was being read.

        Raises:
            configuration.ConfigurationError: The items do not match the manifest or are invalid.
        """
        if head.version <= self.version:
            return
        manifest = {key: changes.content_digest(text) for key, text in items.items()}
        if changes.content_digest(configuration.canonical(manifest)) != head.manifest:
            raise configuration.ConfigurationError("the items do not make up the manifest")
        new_catalog = configuration.build(items, head.version, head.digest)
        self._items = items
        self._head = head
        self._confirmed_at = self._reactor.seconds()
        _log.info("configuration_in_force", version=head.version, digest=head.digest[:12])
        weights = configuration.class_weights(items)
        for listener in self.listeners:
            listener(new_catalog, weights)
        self._links.broadcast(self._links.make_heartbeat())

    def _raise_alarm(self, kind: str, detail: str) -> None:
        self.alarms[kind] = self.alarms.get(kind, 0) + 1
        _log.error("configuration_alarm", kind=kind, detail=detail)

    async def _sleep(self, seconds: float) -> None:
        await task.sleep(self._reactor, seconds * (0.5 + self._rng.random() / 2))


def _combine(steps: tuple[changes.Change, ...]) -> tuple[dict[str, str], set[str]]:
    """Combine successive changes into content digests of the keys written, and the keys deleted."""
    puts: dict[str, str] = {}
    deleted: set[str] = set()
    for change in steps:
        for key in change.deletes:
            puts.pop(key, None)
            deleted.add(key)
        for key, digest in change.puts.items():
            puts[key] = digest
            deleted.discard(key)
    return puts, deleted


def _apply_changes(
    items: dict[str, str], fetched: dict[str, str], deleted: set[str]
) -> dict[str, str]:
    kept = {key: text for key, text in items.items() if key not in deleted}
    return {**kept, **fetched}
