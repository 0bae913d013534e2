"""Client of the platform's key-value service and membership list.

The protocol is described in docs/reference/platform.md. Every call is counted. A write whose
reply is lost is reported as unsure, never as failed.
"""

from __future__ import annotations

import collections
import dataclasses
import json
from typing import TYPE_CHECKING, Any

import treq
from twisted.internet import defer
from twisted.internet import error as net_error
from twisted.web import client as web_client

from lineworks.models import member

if TYPE_CHECKING:
    from collections.abc import Mapping

WATCH_SECONDS = 20.0
"""Seconds that one watch waits at the platform at most."""

_ABSENT = 0
_REVISION = "Revision"


class PlatformError(Exception):
    """The platform did not do what it was asked; it is certain that nothing was written."""


class PlatformUnsureError(Exception):
    """A write was sent and no reply came, so it may have taken effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class Value:
    """A value with its revision."""

    data: str | None
    """The value, or None where the key is absent."""

    revision: int
    """Revision of the key; 0 where it is absent."""


class PlatformClient:
    """Talks to the platform over HTTP."""

    def __init__(self, reactor: Any, url: str, timeout: float) -> None:
        """Make a client; nothing is sent yet.

        Args:
            reactor: Twisted's reactor.
            url: Base URL of the platform.
            timeout: Seconds to wait for a reply.
        """
        self._reactor = reactor
        self._url = url
        self._timeout = timeout
        self._pool = web_client.HTTPConnectionPool(reactor, persistent=True)
        self._pool.retryAutomatically = False
        agent: Any = web_client.Agent(reactor, pool=self._pool)
        self._http = treq.client.HTTPClient(agent)
        self.calls: collections.Counter[str] = collections.Counter()

    def start(self) -> None:
        """Do nothing; the first call connects."""

    def stop(self) -> defer.Deferred[Any]:
        """Close the idle connections."""
        return self._pool.closeCachedConnections()

    async def get(self, key: str) -> Value:
        """Read a key.

        Args:
            key: The key.

        Returns:
            Its value.

        Raises:
            PlatformError: The platform cannot be reached or failed.
        """
        return await self._read(f"/v1/kv/{key}", "get", self._timeout)

    async def watch(self, key: str, after: int) -> Value:
        """Wait until a key has a revision above a given one, or for `WATCH_SECONDS`.

        Args:
            key: The key.
            after: The revision known.

        Returns:
            The value then.

        Raises:
            PlatformError: The platform cannot be reached or failed.
        """
        path = f"/v1/kv/{key}?after={after}&wait={WATCH_SECONDS}"
        return await self._read(path, "watch", self._timeout + WATCH_SECONDS)

    async def compare_and_swap(self, key: str, data: str, expect: int) -> bool:
        """Write a key if its revision is still the one expected.

        Args:
            key: The key.
            data: The new value.
            expect: Revision expected; 0 for an absent key.

        Returns:
            Whether it was written.

        Raises:
            PlatformError: Nothing was written.
            PlatformUnsureError: It is not known whether it was written.
        """
        path = f"/v1/kv/{key}?expect={expect}"
        status, _, _ = await self._write("PUT", path, data.encode(), "cas")
        return status == 200

    async def put(self, key: str, data: str) -> None:
        """Write a key whatever it holds.

        Args:
            key: The key.
            data: The new value.

        Raises:
            PlatformError: Nothing was written.
            PlatformUnsureError: It is not known whether it was written.
        """
        await self._write("PUT", f"/v1/kv/{key}", data.encode(), "put")

    async def members(self) -> list[member.Member]:
        """Read the membership list.

        Returns:
            All entries.

        Raises:
            PlatformError: The platform cannot be reached or failed.
        """
        status, body, _ = await self._call("GET", "/v1/members", b"", "members", self._timeout)
        if status != 200:
            raise PlatformError(f"members: status {status}")
        return [member.Member(**entry) for entry in json.loads(body)["members"]]

    async def announce(self, member: member.Member, lease_seconds: float) -> None:
        """Put this instance on the membership list for a while.

        Args:
            member: The entry.
            lease_seconds: Seconds after which the entry goes unless announced again.

        Raises:
            PlatformError: It was not announced.
            PlatformUnsureError: It is not known whether it was.
        """
        document = {**dataclasses.asdict(member), "lease_seconds": lease_seconds}
        data = json.dumps(document).encode()
        await self._write("PUT", f"/v1/members/{member.name}", data, "announce")

    async def _read(self, path: str, label: str, timeout: float) -> Value:
        status, body, headers = await self._call("GET", path, b"", label, timeout)
        if status == 404:
            return Value(None, int(headers.get(_REVISION, _ABSENT)))
        if status != 200:
            raise PlatformError(f"{label}: status {status}")
        return Value(body.decode(), int(headers[_REVISION]))

    async def _write(
        self, method: str, path: str, data: bytes, label: str
    ) -> tuple[int, bytes, Mapping[str, str]]:
        found = await self._call(method, path, data, label, self._timeout)
        if found[0] not in (200, 409):
            raise PlatformError(f"{label}: status {found[0]}")
        return found

    async def _call(
        self, method: str, path: str, data: bytes, label: str, timeout: float
    ) -> tuple[int, bytes, Mapping[str, str]]:
        self.calls[label] += 1
        is_write = method != "GET"
        try:
            response = await self._http.request(
                method, self._url + path, data=data or None, timeout=timeout
            )
            body = await response.content()
        except (net_error.ConnectError, net_error.ConnectingCancelledError) as error:
            raise PlatformError(f"{label}: {error}") from error
        except Exception as error:
            kind = type(error).__name__
            if is_write:
                raise PlatformUnsureError(f"{label}: {kind}") from error
            raise PlatformError(f"{label}: {kind}") from error
        headers = {
            name.decode().title(): values[-1].decode()
            for name, values in response.headers.getAllRawHeaders()
        }
        return response.code, body, headers
