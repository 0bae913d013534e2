"""A stand-in for the platform: key-value service and membership list in memory.

It speaks the protocol of docs/reference/platform.md. Faults can be set: it can be down, slow, or
take a write and lose the reply; its membership list can lag.
"""

from __future__ import annotations

import collections
import dataclasses
import json
from typing import TYPE_CHECKING, Any

import klein
from twisted.internet import defer

from lineworks.kernel import task
from lineworks.services import http_server

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_VALUE = 1_000_000
"""Bytes that a value may have."""


@dataclasses.dataclass
class Faults:
    """What is wrong with the stand-in."""

    is_down: bool = False
    """Whether every call breaks off without a reply and without effect."""

    lose_replies: int = 0
    """How many of the next writes take effect without a reply."""

    delay: float = 0.0
    """Seconds that each reply is late."""

    members_lag: float = 0.0
    """Seconds by which the membership list lags."""


class PlatformServer:
    """The platform, small."""

    def __init__(self, reactor: Any) -> None:
        """Start empty.

        Args:
            reactor: Twisted's reactor.
        """
        self._reactor = reactor
        self._values: dict[str, tuple[str, int]] = {}
        self._revision = 0
        self._watchers: dict[str, list[defer.Deferred[None]]] = {}
        self._members: dict[str, tuple[dict[str, Any], float]] = {}
        self._published: list[tuple[float, list[dict[str, Any]]]] = []
        self._port: Any = None
        self.faults = Faults()
        self.calls: collections.Counter[str] = collections.Counter()

    @property
    def url(self) -> str:
        """Base URL."""
        host = self._port.getHost()
        return f"http://{host.host}:{host.port}"

    def listen(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Serve.

        Args:
            host: IP address.
            port: TCP port; 0 lets the system choose.
        """
        self._port = http_server.listen(self._reactor, self._routes(), host, port)

    def close(self) -> Any:
        """Stop serving."""
        return http_server.close(self._port)

    def _routes(self) -> klein.Klein:
        app = klein.Klein()
        routes = (
            ("GET", "/v1/kv/<path:key>", "get", self._get),
            ("PUT", "/v1/kv/<path:key>", "put", self._put),
            ("GET", "/v1/members", "members", self._list),
            ("PUT", "/v1/members/<name>", "announce", self._announce),
        )
        for method, path, label, handler in routes:
            http_server.add_route(app, method, path, self._guard(label, handler))
        return app

    def _guard(self, label: str, handler: Callable[..., Any]) -> Callable[..., Any]:
        """Wrap a handler: count the call and apply the faults."""

        def handle(request: Any, **parts: str) -> defer.Deferred[bytes]:
            return defer.ensureDeferred(guarded(request, parts))

        async def guarded(request: Any, parts: dict[str, str]) -> bytes:
            self.calls[label] += 1
            if self.faults.is_down:
                request.transport.abortConnection()
                return b""
            if self.faults.delay:
                await task.sleep(self._reactor, self.faults.delay)
            body: bytes = await handler(request, **parts)
            if request.method == b"PUT" and self.faults.lose_replies > 0:
                self.faults.lose_replies -= 1
                request.transport.abortConnection()
            return body

        return handle

    async def _get(self, request: Any, key: str) -> bytes:
        after = int(request.args.get(b"after", [b"-1"])[0])
        wait = float(request.args.get(b"wait", [b"0"])[0])
        if wait and self._values.get(key, ("", 0))[1] <= after:
            await self._wait_for(key, wait)
        if self.faults.is_down:
            request.transport.abortConnection()
            return b""
        data, revision = self._values.get(key, (None, 0))
        request.setHeader("Revision", str(revision))
        if data is None:
            request.setResponseCode(404)
            return b""
        return data.encode()

    async def _wait_for(self, key: str, seconds: float) -> None:
        changed: defer.Deferred[None] = defer.Deferred()
        self._watchers.setdefault(key, []).append(changed)
        timer = self._reactor.callLater(seconds, self._wake, key, changed)
        await changed
        if timer.active():
            timer.cancel()

    def _wake(self, key: str, changed: defer.Deferred[None]) -> None:
        waiting = self._watchers.get(key, [])
        if changed in waiting:
            waiting.remove(changed)
            changed.callback(None)

    async def _put(self, request: Any, key: str) -> bytes:
        data = request.content.read(MAX_VALUE + 1)
        if len(data) > MAX_VALUE:
            request.setResponseCode(413)
            return b""
        expect = request.args.get(b"expect")
        current = self._values.get(key, ("", 0))[1]
        if expect is not None and int(expect[0]) != current:
            request.setResponseCode(409)
            request.setHeader("Revision", str(current))
            return b""
        self._revision += 1
        self._values[key] = (data.decode(), self._revision)
        request.setHeader("Revision", str(self._revision))
        for changed in self._watchers.pop(key, []):
            changed.callback(None)
        return b""

    async def _list(self, request: Any) -> bytes:
        now = self._reactor.seconds()
        self._members = {name: entry for name, entry in self._members.items() if entry[1] > now}
        self._published.append((now, [entry[0] for entry in self._members.values()]))
        seen = [listed for at, listed in self._published if at <= now - self.faults.members_lag]
        self._published = self._published[-200:]
        listed = seen[-1] if seen else []
        return http_server.write_json(request, {"members": listed})

    async def _announce(self, request: Any, name: str) -> bytes:
        entry = json.loads(request.content.read())
        lease = entry.pop("lease_seconds")
        self._members[name] = (entry, self._reactor.seconds() + lease)
        return b""
