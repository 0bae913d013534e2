"""Client of the platform's store: items with revisions, watches, transactions and leases.

Calls are counted because each one has a cost. A write without an answer is reported as unsure,
never as failed: it may take effect seconds later.

The store may be restored from an older copy and then issue the same revisions and lease numbers
again. So revisions are only compared together with their era, and leases of an earlier era are
treated as ended.
"""

from __future__ import annotations

import base64
import collections
import dataclasses
import json
import urllib.parse
from typing import TYPE_CHECKING, Any, TypeVar

from lineworks.decisions import positions
from lineworks.http1 import client_connection
from lineworks.platform import (
    _fields,
    _store_connections,
    _store_memory,
    store_era,
    store_items,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable, Sequence

    from lineworks.http1 import unfinished_bodies
    from lineworks.models import node_settings

_Row = TypeVar("_Row")

CALL_SECONDS = 1.5
"""Timeout for an answer, in seconds. The store usually takes 4 ms, and 0.4 s when it is slow."""

_KEY = "PrivateKey"  # The platform's name for any key of the store; the key is not private.
_ERA = b"store-era"  # Increases by one each time the store is restored from an older copy.
_JSON = b"Content-Type: application/json\r\n"
_MAX_PAGES = 100
_MAX_ERA_DIGITS = 9  # An era rises by one; a far greater one would outdate all that follow.


class StoreError(Exception):
    """The store did not carry out a call; nothing was written."""


class StoreUnsureError(StoreError):
    """No valid answer arrived, so a write may have taken effect or may still do so."""


class TooLongError(StoreUnsureError):
    """The answer takes more memory than the process has to spare."""


class HistoryGoneError(StoreError):
    """The changes after the given position cannot be had; everything must be listed anew."""


class StoreBusyError(StoreError):
    """The store refused a call because of its rate limit; nothing was done."""


class LeaseGoneError(StoreError):
    """The lease does not exist or has ended."""


class ConflictError(StoreError):
    """A key did not have the expected revision."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    """A complete answer of the store."""

    status: int
    document: Any
    era: int
    size: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Page:
    """One page of a listing."""

    items: list[store_items.Item]
    position: positions.Position
    has_more: bool
    skipped: list[str]
    last_key: str
    size: int


class Store:
    """HTTP client of the store."""

    def __init__(
        self,
        reactor: Any,
        address: node_settings.Address,
        timeout: float = CALL_SECONDS,
        resends_reads: bool = True,
        unfinished: unfinished_bodies.UnfinishedBodies | None = None,
        memory_bytes: int = 0,
    ) -> None:
        """Create a client without connecting.

        Args:
            reactor: Twisted's reactor.
            address: Address of the store.
            timeout: Seconds to wait for an answer.
            resends_reads: Whether reads are sent again while no answer arrives.
            unfinished: Limits the answers that are being received, together with others of the
                process; None for no such limit.
            memory_bytes: Memory that the process may use, in bytes; 0 if not known.
        """
        self._resends_reads = resends_reads
        self._timeout = timeout
        self._address = address
        self._connections = _store_connections.StoreConnections(reactor, address, unfinished)
        self._max_answer_bytes = _store_memory.limit_for(memory_bytes)
        self.era = store_era.StoreEra()
        """Latest known era of the store."""
        self.calls: collections.Counter[str] = collections.Counter()
        """Number of requests sent so far, by kind of call."""

    def start(self) -> None:
        """Do nothing: the first call opens a connection."""

    def stop(self) -> None:
        """Close the idle connections."""
        self._connections.close()

    async def get(self, key: str) -> store_items.Item | None:
        """Read a key.

        Args:
            key: The key.

        Returns:
            The item, or None if the key does not exist.

        Raises:
            StoreError: The store cannot be reached or refused.
        """
        path = f"/lineworks/kv-key?{_query_string({_KEY: key})}"
        answer = await self._read("get", path)
        if answer.status == 404:
            return None
        _expect_ok("get", answer)
        return _decode_document(lambda: _only_item(answer))

    async def list_items(self, prefix: str) -> store_items.Listing:
        """List all items with a key prefix, page by page.

        Args:
            prefix: The prefix.

        Returns:
            The items. The pages do not form a snapshot, so the listing has the position of the
            first page.

        Raises:
            StoreError: The store cannot be reached or refused.
        """
        items: list[store_items.Item] = []
        skipped: list[str] = []
        first: positions.Position | None = None
        after = ""
        size = 0
        for _ in range(_MAX_PAGES):
            page = await self._next_page(prefix, after, self._max_answer_bytes - size)
            size += page.size
            if first is not None and page.position.era != first.era:
                # The store was restored between two pages, so start over.
                items, skipped, first, after, size = [], [], None, "", 0
                continue
            first = first or page.position
            items += page.items
            skipped += page.skipped
            if not page.has_more:
                return store_items.Listing(items, first, skipped)
            if page.last_key <= after:
                raise StoreError("list: a page without a key to go on from")
            after = page.last_key
        raise StoreError("list: too many pages")

    async def _next_page(self, prefix: str, after: str, max_bytes: int) -> _Page:
        """Read a page that fits beside those before it."""
        try:
            return await self._page(prefix, after, max_bytes)
        except TooLongError as error:
            if not after:
                raise
            raise TooLongError(f"list: the pages are too long: {error}") from error

    async def _page(self, prefix: str, after: str, max_bytes: int) -> _Page:
        parameters = {"PathPrefix": prefix, **({"after": after} if after else {})}
        path = f"/lineworks/kv-range?{_query_string(parameters)}"
        answer = await self._read("list", path, max_bytes)
        _expect_ok("list", answer)
        return _decode_document(lambda: _decode_page(answer))

    async def watch(
        self, prefix: str, after: positions.Position, wait: float
    ) -> store_items.Changes:
        """Read the changes below a prefix, and wait for one if there is none yet.

        Args:
            prefix: The prefix.
            after: Position of the last known change.
            wait: Maximum time to wait, in seconds; 0 returns at once.

        Returns:
            The changes.

        Raises:
            HistoryGoneError: The store no longer holds the changes since that position, or they
                take too much memory.
            StoreError: The store cannot be reached or refused.
        """
        self.era.learn(after.era)
        if after.era < self.era.value:
            raise HistoryGoneError("watch: the store came back from an older copy")
        parameters = {"PathPrefix": prefix, "after": after.revision, "WaitMs": int(wait * 1000)}
        path = f"/lineworks/kv-watch?{_query_string(parameters)}"
        try:
            if wait:
                answer = await self._call("watch", "GET", path, extra_seconds=wait)
            else:
                answer = await self._read("watch", path)
        except TooLongError as error:
            # The next answer from that position would be no shorter; the pages of a listing are.
            raise HistoryGoneError(str(error)) from error
        # Checked even if the store answers with 200: once the revision of a restored store has
        # passed the given one, it answers but omits changes with lower revisions.
        if answer.era != after.era:
            raise HistoryGoneError("watch: the store came back from an older copy")
        if answer.status == 410:
            raise HistoryGoneError("watch: the history is gone")
        _expect_ok("watch", answer)
        return _decode_document(lambda: _changes(_fields.Fields(answer.document), answer.era))

    async def transact(
        self,
        writes: Iterable[store_items.Write],
        expected: Sequence[tuple[str, positions.Position]] = (),
        removed: Sequence[str] = (),
    ) -> positions.Position:
        """Write and remove keys atomically.

        Args:
            writes: Keys to write.
            expected: Keys with the position that each must have; `positions.ABSENT` for a key that
                must not exist.
            removed: Keys to remove.

        Returns:
            Position of the change.

        Raises:
            ConflictError: A key did not have the expected position.
            LeaseGoneError: A lease does not exist or has ended.
            StoreUnsureError: No answer arrived, or the store was restored from an older copy in
                the meantime.
            StoreError: Nothing was written.
        """
        writes = list(writes)
        leases = [write.lease for write in writes if write.lease is not None]
        for lease in leases:
            self._expect_current(lease)
        known = [position for _, position in expected if position != positions.ABSENT]
        if any(position.era < self.era.value for position in known):
            raise ConflictError("write: the store came back from an older copy")
        document = {
            "ExpectedRev": [{_KEY: key, "Revision": at.revision} for key, at in expected],
            "Write": [
                {
                    _KEY: write.key,
                    "Value": base64.b64encode(write.value).decode(),
                    "LeaseId": write.lease.number if write.lease is not None else 0,
                }
                for write in writes
            ],
            "Remove": list(removed),
        }
        answer = await self._call("write", "POST", "/lineworks/kv-txn", document)
        if answer.status == 412:
            raise ConflictError("write: another revision")
        if answer.status == 404:
            raise LeaseGoneError("write: no such lease")
        if answer.status >= 500:
            # Only 503 says that nothing was done; `_answer` has handled it.
            raise StoreUnsureError(f"write: status {answer.status}")
        _expect_ok("write", answer)
        eras = [position.era for position in known] + [lease.era for lease in leases]
        if any(era != answer.era for era in eras):
            # The store compared numbers of its new era, which may denote other changes or leases.
            raise StoreUnsureError("write: the store came back from an older copy")
        try:
            revision = _fields.Fields(answer.document).integer("Revision")
        except _fields.DocumentError as error:
            # The store has written, but the position is not known.
            raise StoreUnsureError(f"write: the store's answer: {error}") from error
        return positions.Position(answer.era, revision)

    async def grant_lease(self, seconds: float) -> store_items.Lease:
        """Create a lease.

        Args:
            seconds: Seconds until it ends unless it is renewed.

        Returns:
            The lease.

        Raises:
            StoreError: No lease was created, or its number is not known.
        """
        document = {"TtlMs": int(seconds * 1000)}
        answer = await self._call("lease", "POST", "/lineworks/kv-lease", document)
        _expect_ok("lease", answer)
        number = _decode_document(lambda: _fields.Fields(answer.document).integer("LeaseId"))
        return store_items.Lease(number, answer.era)

    async def renew_lease(self, lease: store_items.Lease) -> None:
        """Renew a lease.

        Args:
            lease: The lease.

        Raises:
            LeaseGoneError: The lease has ended.
            StoreError: The lease was not renewed, or it is not known whether it was.
        """
        self._expect_current(lease)
        path = f"/lineworks/kv-keep/{lease.number}"
        answer = await self._call("renew", "POST", path, {})
        if answer.status == 404:
            raise LeaseGoneError("renew: the lease is over")
        _expect_ok("renew", answer)
        self._expect_current(lease)

    async def end_lease(self, lease: store_items.Lease) -> None:
        """End a lease; the store removes its keys.

        Args:
            lease: The lease.

        Raises:
            StoreError: The call failed, so the lease may not have ended.
        """
        if lease.era < self.era.value:
            # It ended with its era, and its number may belong to another lease now.
            return
        await self._call("end", "DELETE", f"/lineworks/kv-lease-end/{lease.number}")

    def _expect_current(self, lease: store_items.Lease) -> None:
        """Reject a lease of an earlier era, since its number may belong to another lease now."""
        if lease.era < self.era.value:
            raise LeaseGoneError("the store came back from an older copy without the lease")

    async def _call(
        self,
        kind: str,
        method: str,
        path: str,
        document: Any = None,
        extra_seconds: float = 0.0,
        max_bytes: int | None = None,
    ) -> _Answer:
        self.calls[kind] += 1
        data = _request(method, path, self._address, document)
        call = self._connections.exchange(data, self._timeout + extra_seconds)
        return await self._answer(kind, call, max_bytes)

    async def _read(self, kind: str, path: str, max_bytes: int | None = None) -> _Answer:
        """Make a read-only call, which may be resent while no answer arrives."""

        if not self._resends_reads:
            return await self._call(kind, "GET", path, max_bytes=max_bytes)

        def on_sent() -> None:
            self.calls[kind] += 1

        data = _request("GET", path, self._address, None)
        call = self._connections.read(data, self._timeout, on_sent)
        return await self._answer(kind, call, max_bytes)

    async def _answer(
        self, kind: str, call: Awaitable[Any], max_bytes: int | None = None
    ) -> _Answer:
        """Wait for a call and decode its answer, unless that takes too much memory."""
        try:
            outcome = await call
        except _store_connections.ConnectError as error:
            raise StoreError(f"{kind}: {error}") from error
        if isinstance(outcome, client_connection.ConnectionFailure):
            raise StoreUnsureError(f"{kind}: {outcome.detail}")
        era = _era_of(outcome)
        self.era.learn(era)
        if not self.era.is_plausible(era):
            raise StoreUnsureError(f"{kind}: the answer has an implausible era")
        if era < self.era.value:
            raise StoreUnsureError(f"{kind}: an answer from before the store's return")
        if outcome.status == 429:
            raise StoreBusyError(f"{kind}: refused with 429")
        if outcome.status == 503:
            raise StoreError(f"{kind}: refused with 503")
        size = _store_memory.estimate(outcome.body)
        if size > (self._max_answer_bytes if max_bytes is None else max_bytes):
            # The error's traceback refers to this frame, and would keep the body.
            del outcome
            raise TooLongError(f"{kind}: the answer is too long: some {size} bytes")
        try:
            document = _fields.parse_json(outcome.body) if outcome.body else {}
        except _fields.DocumentError as error:
            raise StoreUnsureError(f"{kind}: the answer is no JSON") from error
        return _Answer(outcome.status, document, era, len(outcome.body))


def _era_of(answer: client_connection.Response) -> int:
    """Read the era of an answer; a store that sends none has only one era, counted as 0."""
    text = answer.headers.get(_ERA, b"0")
    if not text.isdigit() or len(text) > _MAX_ERA_DIGITS:
        raise StoreUnsureError(f"the store's era is no number: {text[:80]!r}")
    return int(text)


def _request(method: str, path: str, address: node_settings.Address, document: Any) -> bytes:
    body = b"" if document is None else json.dumps(document).encode()
    head = f"{method} {path} HTTP/1.1\r\nHost: {address.host}:{address.port}\r\n".encode()
    if document is not None:
        head += _JSON + b"Content-Length: %d\r\n" % len(body)
    return head + b"\r\n" + body


def _query_string(parameters: dict[str, Any]) -> str:
    # A listing also goes on behind a key that can't be encoded, if the store can read it so.
    return urllib.parse.urlencode(parameters, safe="/", errors="surrogatepass")


def _expect_ok(kind: str, answer: _Answer) -> None:
    if answer.status != 200:
        raise StoreError(f"{kind}: status {answer.status}")


def _decode_document(decode: Any) -> Any:
    try:
        return decode()
    except _fields.DocumentError as error:
        raise StoreError(f"the store's answer: {error}") from error


def _only_item(answer: _Answer) -> store_items.Item:
    item = _item(_fields.Fields(answer.document), answer.era)
    if item.problem:
        raise _fields.DocumentError(item.problem)
    return item


def _item(row: _fields.Fields, era: int) -> store_items.Item:
    position = positions.Position(era, row.integer("Revision"))
    value, problem = _value(row)
    return store_items.Item(row.text(_KEY), value, position, problem)


def _change(row: _fields.Fields, era: int) -> store_items.Change:
    position = positions.Position(era, row.integer("Revision"))
    # "Compacted" marks a removed key; it is unrelated to compaction of the history.
    if "Compacted" in row:
        return store_items.Change(row.text(_KEY), position, None)
    value, problem = _value(row)
    return store_items.Change(row.text(_KEY), position, value, problem)


def _decode_page(answer: _Answer) -> _Page:
    page = _fields.Fields(answer.document)
    items, skipped = _decode_rows(page, "items", lambda row: _item(row, answer.era))
    position = positions.Position(answer.era, page.integer("AtRev"))
    rows = page.items("items")
    has_more = bool(rows) and answer.document.get("HasMore") is True
    size = _store_memory.estimate_kept(answer.size, len(rows))
    return _Page(items, position, has_more, skipped, _last_key(rows), size)


def _last_key(rows: list[Any]) -> str:
    """Return the last key of a page, usable or not; empty if no row has one."""
    keys = (row.get(_KEY) for row in reversed(rows) if isinstance(row, dict))
    return next((key for key in keys if isinstance(key, str)), "")


def _changes(found: _fields.Fields, era: int) -> store_items.Changes:
    changes, skipped = _decode_rows(found, "events", lambda row: _change(row, era))
    position = positions.Position(era, found.integer("AtRev"))
    return store_items.Changes(changes, position, skipped)


def _decode_rows(
    document: _fields.Fields, name: str, decode: Callable[[_fields.Fields], _Row]
) -> tuple[list[_Row], list[str]]:
    """Decode the rows of a list one by one, so that an unusable one affects no other.

    Args:
        document: The store's answer.
        name: Field that holds the list.
        decode: Decodes a row; raises DocumentError if it has no usable key or revision.

    Returns:
        The decoded rows, and the reason for each row that is left out.
    """
    rows, skipped = [], []
    for index, value in enumerate(document.items(name)):
        try:
            rows.append(decode(_fields.Fields(value, document.item_path(name, index))))
        except _fields.DocumentError as error:
            skipped.append(str(error))
    return rows, skipped


def _value(row: _fields.Fields) -> tuple[bytes, str]:
    """Return a row's value, and why it can't be read if it can't."""
    try:
        return base64.b64decode(row.text_or_empty("Value"), validate=True), ""
    except ValueError as error:
        return b"", f"Value: {error}"
