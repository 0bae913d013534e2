"""HTTP server with the protocol of the platform's store.

It can inject the faults of the real store: it can be down, silent or slow, lose answers, or refuse
calls because of their rate.
"""

from __future__ import annotations

import collections
import dataclasses
import json
import urllib.parse
from typing import TYPE_CHECKING, Any

from lineworks.http1 import server_connection
from lineworks.platform.standins import store_model

if TYPE_CHECKING:
    from collections.abc import Callable

    Answer = Callable[[server_connection.Answer], None]

MAX_WAIT_SECONDS = 30.0
"""Maximum time for which a watch waits, in seconds."""


@dataclasses.dataclass
class Faults:
    """Faults that the store injects."""

    is_down: bool = False
    """Whether every call is refused with status 503."""

    is_busy: bool = False
    """Whether every call is refused with status 429, as for an exceeded rate limit."""

    is_silent: bool = False
    """Whether calls are neither executed nor answered."""

    delay: float = 0.0
    """Delay of each answer, in seconds."""

    lose_answers: int = 0
    """Number of upcoming writes that are executed but not answered."""


class StoreServer:
    """HTTP server of one store."""

    def __init__(self, clock: Any, model: store_model.StoreModel) -> None:
        """Create a server; `factory` accepts its connections.

        Args:
            clock: Clock with timers.
            model: The store to serve.
        """
        self._clock = clock
        self._model = model
        self._port: Any = None
        self.faults = Faults()
        self.calls: collections.Counter[str] = collections.Counter()
        """Number of calls received so far, by the first path segment after `/lineworks/`."""
        self.era_header: Callable[[], bytes] = lambda: b"%d" % model.era
        """Returns the value of the `Store-Era` header of answers."""
        self.factory = server_connection.Server(
            clock,
            lambda: server_connection.Limits(body_bytes=4 * 1024 * 1024, idle_seconds=120),
            self._on_request,
        )

    @property
    def url(self) -> str:
        """Base URL; available once the server listens."""
        host = self._port.getHost()
        return f"http://{host.host}:{host.port}"

    def listen(self, reactor: Any, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listen on a TCP socket.

        Args:
            reactor: Twisted's reactor.
            host: IP address.
            port: TCP port; 0 lets the operating system choose one.
        """
        self._port = reactor.listenTCP(port, self.factory, interface=host, backlog=512)

    def close(self) -> Any:
        """Stop accepting connections."""
        return self._port.stopListening()

    def _on_request(self, request: server_connection.Request, answer: Answer) -> None:
        path, _, query = request.target.decode().partition("?")
        name = path.removeprefix("/lineworks/").split("/")[0]
        self.calls[name] += 1
        if self.faults.is_silent:
            return
        answer_with_era = self._with_era(answer)
        if self.faults.is_down or self.faults.is_busy:
            answer_with_era(server_connection.Answer(503 if self.faults.is_down else 429))
            return
        parameters = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        delayed = self._with_era(self._delayed(answer))
        if name == "kv-watch":
            self._watch(parameters, delayed)
            return
        found = self._handle(name, path, parameters, request.body)
        if name == "kv-txn" and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return
        delayed(found)

    def _with_era(self, answer: Answer) -> Answer:
        """Wrap `answer` so that it adds the store's era at the time it is called."""

        def answer_with_era(found: server_connection.Answer) -> None:
            era = (b"Store-Era", self.era_header())
            answer(dataclasses.replace(found, fields=[*found.fields, era]))

        return answer_with_era

    def _delayed(self, answer: Answer) -> Answer:
        if not self.faults.delay:
            return answer

        def delayed(found: server_connection.Answer) -> None:
            self._clock.callLater(self.faults.delay, answer, found)

        return delayed

    def _handle(
        self, name: str, path: str, parameters: dict[str, str], body: bytes
    ) -> server_connection.Answer:
        try:
            if name == "kv-key":
                return self._key(parameters)
            if name == "kv-range":
                return self._range(parameters)
            if name == "kv-txn":
                return self._transact(json.loads(body))
            if name == "kv-lease":
                seconds = json.loads(body)["TtlMs"] / 1000
                lease = self._model.grant(seconds)
                return _json({"LeaseId": lease, "TtlMs": int(seconds * 1000)})
            lease = int(path.rsplit("/", 1)[1])
            if name == "kv-keep":
                return _json({"TtlMs": int(self._model.renew(lease) * 1000)})
            if name == "kv-lease-end":
                self._model.end(lease)
                return _json({})
        except store_model.LeaseNotFoundError:
            return server_connection.Answer(404)
        except (ValueError, KeyError, IndexError):
            return server_connection.Answer(400)
        return server_connection.Answer(404)

    def _key(self, parameters: dict[str, str]) -> server_connection.Answer:
        item = self._model.get(parameters["PrivateKey"])
        if item is None:
            return _json({"AtRev": self._model.revision}, 404)
        return _json({**_row(item), "AtRev": self._model.revision})

    def _range(self, parameters: dict[str, str]) -> server_connection.Answer:
        items, has_more = self._model.page(parameters["PathPrefix"], parameters.get("after", ""))
        rows = [_row(item) for item in items]
        return _json({"items": rows, "HasMore": has_more, "AtRev": self._model.revision})

    def _transact(self, document: dict[str, Any]) -> server_connection.Answer:
        expected = [(row["PrivateKey"], row["Revision"]) for row in document["ExpectedRev"]]
        writes = [
            (row["PrivateKey"], row["Value"], row.get("LeaseId", 0)) for row in document["Write"]
        ]
        try:
            revision = self._model.transact(expected, writes, document["Remove"])
        except store_model.MismatchError:
            found = [self._model.get(key) for key, _ in expected]
            return _json({"items": [_row(item) for item in found if item is not None]}, 412)
        return _json({"Revision": revision})

    def _watch(self, parameters: dict[str, str], answer: Answer) -> None:
        prefix, after = parameters["PathPrefix"], int(parameters["after"])
        wait = min(MAX_WAIT_SECONDS, int(parameters.get("WaitMs", "0")) / 1000)
        if self._answer_changes(prefix, after, answer, even_if_empty=not wait):
            return
        is_over = False

        def finish(even_if_empty: bool) -> None:
            nonlocal is_over
            if not is_over and self._answer_changes(prefix, after, answer, even_if_empty):
                is_over = True
                stop()

        stop = self._model.wait(prefix, lambda: finish(True))
        self._clock.callLater(wait, finish, True)

    def _answer_changes(self, prefix: str, after: int, answer: Answer, even_if_empty: bool) -> bool:
        try:
            found = self._model.changes(prefix, after)
        except store_model.CompactedError:
            answer(server_connection.Answer(410))
            return True
        if not found and not even_if_empty:
            return False
        rows = [_change(change) for change in found]
        answer(_json({"events": rows, "AtRev": self._model.revision}))
        return True


def _row(item: store_model.StoredItem) -> dict[str, Any]:
    return {
        "PrivateKey": item.key,
        "Value": item.value,
        "Revision": item.revision,
        "Created": item.created,
        "LeaseId": item.lease,
    }


def _change(change: store_model.StoredChange) -> dict[str, Any]:
    if change.item is None:
        return {"PrivateKey": change.key, "Revision": change.revision, "Compacted": True}
    return _row(change.item)


def _json(document: Any, status: int = 200) -> server_connection.Answer:
    content_type = (b"Content-Type", b"application/json")
    return server_connection.Answer(status, [content_type], json.dumps(document).encode())
