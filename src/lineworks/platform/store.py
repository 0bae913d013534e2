"""Client of the platform's store: items with revisions, watches, transactions and leases.

Every call is counted, because every call has a price. A write without an answer is reported as
unsure, never as failed: it may take effect seconds later.
"""

from __future__ import annotations

import base64
import collections
import dataclasses
import json
import urllib.parse
from typing import TYPE_CHECKING, Any

import structlog

from lineworks.http1 import client_connection
from lineworks.platform import _fields, _store_connections

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable, Sequence

    from lineworks.models import node_settings

CALL_SECONDS = 1.5
"""Seconds to wait for an answer; the store usually takes 4 ms, and 0.4 s when it is slow."""

_KEY = "PrivateKey"  # Any key of the store; nothing about it is private.
_ERA = b"store-era"  # Rises by one each time that the store comes back from an older copy.
_JSON = b"Content-Type: application/json\r\n"
_MAX_PAGES = 100
_log = structlog.get_logger(component="store")


class StoreError(Exception):
    """The store did not do what it was asked; nothing was written."""


class StoreUnsureError(StoreError):
    """No answer came, so a write may have taken effect or may still do so."""


class HistoryGoneError(StoreError):
    """The changes after the given revision are not known any more."""


class StoreBusyError(StoreError):
    """More calls were made than are allowed; nothing was done."""


class LeaseGoneError(StoreError):
    """There is no such lease."""


class ConflictError(StoreError):
    """A key had another revision than expected."""


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """A key with its value."""

    key: str
    """The key."""

    value: bytes
    """The value."""

    revision: int
    """Revision of its last change."""

    lease: int = 0
    """Lease that it ends with; 0 for none."""


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A key that was written or removed."""

    key: str
    """The key."""

    revision: int
    """Revision of the change."""

    value: bytes | None
    """The new value, or None when the key was removed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """All items below a prefix."""

    items: list[Item]
    """The items."""

    revision: int
    """Revision that nothing in the listing is older than."""


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """What has changed below a prefix."""

    changes: list[Change]
    """The changes in order."""

    revision: int
    """Revision up to which they go."""


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """A key to write in a transaction."""

    key: str
    """The key."""

    value: bytes
    """The value."""

    lease: int = 0
    """Lease that it ends with; 0 for none."""


class Store:
    """Talks to the store over HTTP."""

    def __init__(
        self,
        reactor: Any,
        address: node_settings.Address,
        timeout: float = CALL_SECONDS,
        repeats: bool = True,
    ) -> None:
        """Make a client; nothing is sent yet.

        Args:
            reactor: Twisted's reactor.
            address: Where the store listens.
            timeout: Seconds to wait for an answer.
            repeats: Whether reads are sent again while no answer comes.
        """
        self._repeats = repeats
        self._timeout = timeout
        self._address = address
        self._connections = _store_connections.StoreConnections(reactor, address)
        self._era: int | None = None
        self.calls: collections.Counter[str] = collections.Counter()
        """Calls made so far, by kind."""
        self.on_era: list[Callable[[], None]] = []
        """Called when the store is known to have come back from an older copy."""

    @property
    def era(self) -> int:
        """Which of its copies the store works with, counted up from one to the next; 0 at first."""
        return self._era or 0

    def start(self) -> None:
        """Do nothing; the first call connects."""

    def stop(self) -> None:
        """Close the idle connections."""
        self._connections.close()

    async def get(self, key: str) -> Item | None:
        """Read a key.

        Args:
            key: The key.

        Returns:
            The item, or None where there is none.

        Raises:
            StoreError: The store cannot be reached or refused.
        """
        path = f"/lineworks/kv-key?{_query({_KEY: key})}"
        status, found = await self._read("get", path)
        if status == 404:
            return None
        _expect_ok("get", status)
        return _decoded(lambda: _item(_fields.Fields(found)))

    async def list_items(self, prefix: str) -> Listing:
        """Read all items below a prefix, page by page.

        Args:
            prefix: The prefix.

        Returns:
            The items. Pages are no snapshot, so the listing's revision is that of the first.

        Raises:
            StoreError: The store cannot be reached or refused.
        """
        items: list[Item] = []
        revision = 0
        after = ""
        for _ in range(_MAX_PAGES):
            wanted = {"PathPrefix": prefix, **({"after": after} if after else {})}
            status, found = await self._read("list", f"/lineworks/kv-range?{_query(wanted)}")
            _expect_ok("list", status)
            page = _decoded(lambda found=found: _fields.Fields(found))
            rows = _decoded(lambda page=page: [_item(row) for row in page.tables("items")])
            revision = revision or _decoded(lambda page=page: page.integer("AtRev"))
            items += rows
            if not rows or found.get("HasMore") is not True:
                return Listing(items, revision)
            after = rows[-1].key
        raise StoreError("list: too many pages")

    async def watch(self, prefix: str, after: int, wait: float) -> Changes:
        """Read what has changed below a prefix; wait for a change if there is none.

        Args:
            prefix: The prefix.
            after: Revision that is known.
            wait: Seconds to wait at most.

        Returns:
            The changes.

        Raises:
            HistoryGoneError: The changes since that revision are not known any more.
            StoreError: The store cannot be reached or refused.
        """
        wanted = {"PathPrefix": prefix, "after": after, "WaitMs": int(wait * 1000)}
        path = f"/lineworks/kv-watch?{_query(wanted)}"
        if wait:
            status, found = await self._call("watch", "GET", path, more=wait)
        else:
            status, found = await self._read("watch", path)
        if status == 410:
            raise HistoryGoneError("watch: the history is gone")
        _expect_ok("watch", status)
        return _decoded(lambda: _changes(_fields.Fields(found)))

    async def transact(
        self,
        writes: Iterable[Write],
        expected: Sequence[tuple[str, int]] = (),
        removed: Sequence[str] = (),
    ) -> int:
        """Write and remove keys, all or none.

        Args:
            writes: Keys to write.
            expected: Keys with the revision that each must have; 0 for an absent one.
            removed: Keys to remove.

        Returns:
            Revision of the change.

        Raises:
            ConflictError: A key had another revision.
            LeaseGoneError: There is no such lease.
            StoreUnsureError: No answer came.
            StoreError: Nothing was written.
        """
        document = {
            "ExpectedRev": [{_KEY: key, "Revision": revision} for key, revision in expected],
            "Write": [
                {
                    _KEY: write.key,
                    "Value": base64.b64encode(write.value).decode(),
                    "LeaseId": write.lease,
                }
                for write in writes
            ],
            "Remove": list(removed),
        }
        status, found = await self._call("write", "POST", "/lineworks/kv-txn", document)
        if status == 412:
            raise ConflictError("write: another revision")
        if status == 404:
            raise LeaseGoneError("write: no such lease")
        _expect_ok("write", status)
        return _decoded(lambda: _fields.Fields(found).integer("Revision"))

    async def grant_lease(self, seconds: float) -> int:
        """Open a lease.

        Args:
            seconds: How long it lasts unless it is renewed.

        Returns:
            Its identity.

        Raises:
            StoreError: There is none, or it is not known.
        """
        document = {"TtlMs": int(seconds * 1000)}
        status, found = await self._call("lease", "POST", "/lineworks/kv-lease", document)
        _expect_ok("lease", status)
        return _decoded(lambda: _fields.Fields(found).integer("LeaseId"))

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease.

        Args:
            lease: Its identity.

        Raises:
            LeaseGoneError: It is over.
            StoreError: It is not known whether it was renewed.
        """
        status, _ = await self._call("renew", "POST", f"/lineworks/kv-keep/{lease}", {})
        if status == 404:
            raise LeaseGoneError("renew: the lease is over")
        _expect_ok("renew", status)

    async def end_lease(self, lease: int) -> None:
        """End a lease; its keys disappear.

        Args:
            lease: Its identity.

        Raises:
            StoreError: It is not known whether it ended.
        """
        await self._call("end", "DELETE", f"/lineworks/kv-lease-end/{lease}")

    async def _call(
        self,
        kind: str,
        method: str,
        path: str,
        document: Any = None,
        more: float = 0.0,
    ) -> tuple[int, Any]:
        self.calls[kind] += 1
        data = _request(method, path, self._address, document)
        return await self._answer(kind, self._connections.exchange(data, self._timeout + more))

    async def _read(self, kind: str, path: str) -> tuple[int, Any]:
        """Make a call that changes nothing, and so may be sent again while no answer comes."""

        if not self._repeats:
            return await self._call(kind, "GET", path)

        def on_sent() -> None:
            self.calls[kind] += 1

        data = _request("GET", path, self._address, None)
        return await self._answer(kind, self._connections.read(data, self._timeout, on_sent))

    async def _answer(self, kind: str, call: Awaitable[Any]) -> tuple[int, Any]:
        """Wait for a call and read the status and the document of its answer."""
        try:
            end = await call
        except _store_connections.ConnectError as error:
            raise StoreError(f"{kind}: {error}") from error
        if isinstance(end, client_connection.Broken):
            raise StoreUnsureError(f"{kind}: {end.detail}")
        self._note_era(_era_of(end))
        if end.status == 429:
            raise StoreBusyError(f"{kind}: refused with 429")
        if end.status == 503:
            raise StoreError(f"{kind}: refused with 503")
        try:
            return end.status, json.loads(end.body) if end.body else {}
        except ValueError as error:
            raise StoreUnsureError(f"{kind}: the answer is no JSON") from error

    def _note_era(self, era: int) -> None:
        before = self._era
        if before is not None and era <= before:
            return
        self._era = era
        if before is None:
            return
        _log.warning("store_from_older_copy", era=era, before=before)
        for listener in self.on_era:
            listener()


def _era_of(answer: client_connection.Response) -> int:
    """Read which copy answers; a store that does not tell has one only."""
    text = answer.headers.get(_ERA, b"0")
    try:
        return int(text)
    except ValueError as error:
        raise StoreUnsureError(f"the store's era is no number: {text[:80]!r}") from error


def _request(method: str, path: str, address: node_settings.Address, document: Any) -> bytes:
    body = b"" if document is None else json.dumps(document).encode()
    head = f"{method} {path} HTTP/1.1\r\nHost: {address.host}:{address.port}\r\n".encode()
    if document is not None:
        head += _JSON + b"Content-Length: %d\r\n" % len(body)
    return head + b"\r\n" + body


def _query(wanted: dict[str, Any]) -> str:
    return urllib.parse.urlencode(wanted, safe="/")


def _expect_ok(kind: str, status: int) -> None:
    if status != 200:
        raise StoreError(f"{kind}: status {status}")


def _decoded(decode: Any) -> Any:
    try:
        return decode()
    except _fields.DocumentError as error:
        raise StoreError(f"the store's answer: {error}") from error


def _item(row: _fields.Fields) -> Item:
    lease = row.integer("LeaseId", 0)
    return Item(row.text(_KEY), _value(row), row.integer("Revision"), lease)


def _changes(found: _fields.Fields) -> Changes:
    rows = []
    for row in found.tables("events"):
        # "Compacted" marks a removed key; it says nothing about the history.
        is_gone = "Compacted" in row
        value = None if is_gone else _value(row)
        rows.append(Change(row.text(_KEY), row.integer("Revision"), value))
    return Changes(rows, found.integer("AtRev"))


def _value(row: _fields.Fields) -> bytes:
    try:
        return base64.b64decode(row.any_text("Value"), validate=True)
    except ValueError as error:
        raise _fields.DocumentError(f"Value: {error}") from error
