"""Small stand-ins of the users' platform for the scripts of the second review.

They speak what PROTOCOL.md says, on loopback addresses and the real clock, and need nothing but
Python's standard library: a store, replicas, and clients. The instances are the project's own
program, started with the command of the deploy file.
"""

from __future__ import annotations

import asyncio
import base64
import dataclasses
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import sys
import time
import tomllib
import urllib.parse
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2

PROMISES = (408, 421, 429, 503)
"""Statuses that promise that a request has not run and never will."""

_FIRST_PORT = 20_000
_LAST_PORT = 30_000
_HISTORY_ITEMS = 20_000
_PAGE_ITEMS = 500


class CannotRunError(Exception):
    """The case cannot run on this machine; that says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to `record.txt`, a line each."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._begin = time.monotonic()

    def note(self, text: str) -> None:
        """Write a line with the seconds since the start."""
        self._file.write(f"{time.monotonic() - self._begin:9.4f}  {text}\n")

    def close(self) -> None:
        """Write out what is buffered."""
        self._file.close()


_given: set[int] = set()


def free_ports(count: int) -> list[int]:
    """Find free ports below the range of outgoing connections, each of them once."""
    found: list[int] = []
    candidates = list(range(_FIRST_PORT, _LAST_PORT))
    random.SystemRandom().shuffle(candidates)
    for port in candidates:
        if port in _given or not _is_free(port):
            continue
        _given.add(port)
        found.append(port)
        if len(found) == count:
            return found
    raise CannotRunError("no free ports")


@dataclasses.dataclass
class Message:
    """A request or an answer."""

    first: list[str]
    fields: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.first[1])

    @property
    def path(self) -> str:
        """Target of a request."""
        return self.first[1]


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a request or an answer; None if the connection ended before it was complete."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        fields = {}
        for line in lines[1:]:
            if line:
                name, _, value = line.partition(":")
                fields[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(fields.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    return Message(lines[0].split(" ", 2), fields, body)


def encode_answer(status: int, fields: Mapping[str, str], body: bytes = b"") -> bytes:
    """Encode an answer with a length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class View:
    """How one instance sees the store: other instances at the near ends of its links to them."""

    def __init__(self, ports: Mapping[int, int]) -> None:
        """Make a view.

        Args:
            ports: Port of the link to each other instance, by the port that this one listens on.
        """
        self._ports = ports
        self.gate = asyncio.Event()
        """Set while the instance reaches the store."""
        self.gate.set()

    def translate(self, document: dict[str, Any]) -> dict[str, Any]:
        """Translate the addresses of other instances in an answer, as a network does."""
        translated = dict(document)
        for name in ("items", "events"):
            if name in translated:
                translated[name] = [self._translate_item(item) for item in translated[name]]
        return translated

    def _translate_item(self, item: dict[str, Any]) -> dict[str, Any]:
        if "Value" not in item or item["PrivateKey"].startswith(("op/", "servers/")):
            return item
        try:
            value = json.loads(base64.b64decode(item["Value"]))
            value["port"] = self._ports[value["port"]]
        except (ValueError, KeyError, TypeError):
            return item
        return {**item, "Value": base64.b64encode(json.dumps(value).encode()).decode()}


class Link:
    """A way from one instance to another, which can be cut; held bytes go on after the cut."""

    def __init__(self, port: int, far_port: int) -> None:
        self.port = port
        self._far_port = far_port
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.gate = asyncio.Event()
        """Set while bytes pass."""
        self.gate.set()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._join, HOST, self.port)

    async def _join(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self.gate.wait()
        try:
            far_reader, far_writer = await asyncio.open_connection(HOST, self._far_port)
        except OSError:
            writer.transport.abort()
            return
        for source, sink in ((reader, far_writer), (far_reader, writer)):
            task = asyncio.create_task(self._pump(source, sink))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _pump(self, source: asyncio.StreamReader, sink: asyncio.StreamWriter) -> None:
        try:
            while data := await source.read(65536):
                await self.gate.wait()
                sink.write(data)
                await sink.drain()
        except (ConnectionError, OSError):
            pass
        await self.gate.wait()
        sink.close()


class Store:
    """The platform's store: items with revisions, watches, transactions and leases."""

    def __init__(self, port: int) -> None:
        self.port = port
        self._revision = 10
        self._items: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._leases: dict[int, float] = {}
        self._last_lease = 1000
        self._servers: list[asyncio.Server] = []
        self.is_busy = False
        """Whether it answers every call with 503."""

    async def start(self) -> None:
        """Listen."""
        self._servers.append(await asyncio.start_server(self._serve, HOST, self.port))

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write a key."""
        self._revision += 1
        old = self._items.get(key)
        item = {
            "PrivateKey": key,
            "Value": base64.b64encode(value).decode(),
            "Revision": self._revision,
            "Created": old["Created"] if old else self._revision,
            "LeaseId": lease,
        }
        self._items[key] = item
        self._remember(item)

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._remember({"PrivateKey": key, "Revision": self._revision, "Compacted": True})

    def end_leases(self) -> None:
        """Let all leases run out, as they may while the store is down."""
        self._leases = dict.fromkeys(self._leases, 0.0)
        self._expire()

    def _remember(self, event: dict[str, Any]) -> None:
        self._history.append(event)
        del self._history[:-_HISTORY_ITEMS]

    def _expire(self) -> None:
        now = time.monotonic()
        for lease in [one for one, until in self._leases.items() if until <= now]:
            del self._leases[lease]
            for key in [key for key, item in self._items.items() if item["LeaseId"] == lease]:
                self.remove(key)

    async def start_view(self, port: int, view: View) -> None:
        """Listen on another port, for one instance behind a network of its own."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._serve(reader, writer, view)

        self._servers.append(await asyncio.start_server(serve, HOST, port))

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        view: View | None = None,
    ) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                if view is not None:
                    await view.gate.wait()
                self._expire()
                status, document = await self._answer(request)
                if view is not None:
                    document = view.translate(document)
                    await view.gate.wait()
                fields = {"Content-Type": "application/json"}
                writer.write(encode_answer(status, fields, json.dumps(document).encode()))
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: Message) -> tuple[int, dict[str, Any]]:
        if self.is_busy:
            return 503, {}
        path, _, query = request.path.partition("?")
        found = {key: values[0] for key, values in urllib.parse.parse_qs(query).items()}
        name = path.removeprefix("/lineworks/")
        if name == "kv-key":
            item = self._items.get(found["PrivateKey"])
            return (404, {}) if item is None else (200, {**item, "AtRev": self._revision})
        if name == "kv-range":
            prefix, after = found.get("PathPrefix", ""), found.get("after", "")
            keys = sorted(key for key in self._items if key.startswith(prefix) and key > after)
            items = [self._items[key] for key in keys[:_PAGE_ITEMS]]
            has_more = len(keys) > _PAGE_ITEMS
            return 200, {"items": items, "HasMore": has_more, "AtRev": self._revision}
        if name == "kv-watch":
            return await self._watch(found)
        if name == "kv-lease":
            ttl = json.loads(request.body)["TtlMs"]
            self._last_lease += 1
            lease = self._last_lease
            self._leases[lease] = time.monotonic() + ttl / 1000
            return 200, {"LeaseId": lease, "TtlMs": ttl}
        if name.startswith("kv-keep/"):
            lease = int(name.removeprefix("kv-keep/"))
            if lease not in self._leases:
                return 404, {}
            self._leases[lease] = time.monotonic() + 120
            return 200, {"LeaseId": lease, "TtlMs": 120_000}
        if name == "kv-txn":
            return self._transact(json.loads(request.body))
        return 200, {}

    async def _watch(self, found: Mapping[str, str]) -> tuple[int, dict[str, Any]]:
        after, prefix = int(found["after"]), found.get("PathPrefix", "")
        until = time.monotonic() + int(found.get("WaitMs", "0")) / 1000
        while True:
            events = [
                event
                for event in self._history
                if event["Revision"] > after and event["PrivateKey"].startswith(prefix)
            ]
            if events or time.monotonic() >= until:
                return 200, {"events": events, "AtRev": self._revision}
            await asyncio.sleep(0.02)

    def _transact(self, document: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for row in document.get("ExpectedRev") or ():
            item = self._items.get(row["PrivateKey"])
            if (item["Revision"] if item else 0) != row["Revision"]:
                return 412, {"items": [item] if item else []}
        writes = document.get("Write") or ()
        if any(row["LeaseId"] and row["LeaseId"] not in self._leases for row in writes):
            return 404, {}
        for row in writes:
            self.put(row["PrivateKey"], base64.b64decode(row["Value"]), row["LeaseId"])
        for key in document.get("Remove") or ():
            self.remove(key)
        return 200, {"Revision": self._revision}


def write_configuration(
    store: Store,
    version: int,
    routes: Sequence[Mapping[str, Any]],
    services: Sequence[str],
    connections: int,
    tenants: Sequence[Mapping[str, Any]] = (),
) -> None:
    """Write a configuration as the operator does."""
    document = {
        "ConfigVersion": version,
        "Routing": list(routes),
        "Services": [
            {"Name": name, "HealthPath": "/health", "MaxConns": connections} for name in services
        ],
        "Limits": {"HeaderBytes": 16384, "BodyBytes": 262144, "HeaderMs": 3000, "IdleMs": 15000},
        **({"Tenants": list(tenants)} if tenants else {}),
    }
    store.put("op/config", json.dumps(document).encode())


class Replica:
    """A replica: it works on `slots` requests at a time and queues a few more.

    Subclasses change how it misbehaves; this one is sound.
    """

    def __init__(
        self, record: Record, name: str, service: str, zone: str, port: int, slots: int, queue: int
    ) -> None:
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.port = port
        self.slots = slots
        self.queue = queue
        self.running = 0
        self.waiting = 0
        self.runs: list[str] = []
        """Ids of the requests that it began to work on, in order."""
        self._room = asyncio.Condition()
        self._server: asyncio.Server | None = None

    async def start(self, store: Store) -> None:
        """Listen, and write the entry."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port)
        store.put(f"servers/{self.name}", self.entry("ready"))

    def entry(self, state: str) -> bytes:
        """Encode the entry in the store."""
        document = {
            "Service": self.service,
            "Address": f"{HOST}:{self.port}",
            "Zone": self.zone,
            "ConfigVersion": "v1",
            "Capacity": self.slots,
            "State": state,
            "WarmupLeftMs": 0,
            "CallSeq": 1,
        }
        return json.dumps(document).encode()

    def work_seconds(self, request: Message) -> float:
        """Tell how long a request takes."""
        return 0.05

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                writer.write(await self.answer(request))
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def answer(self, request: Message) -> bytes:
        """Run or reject a request, and return the answer."""
        attempt = request.fields.get("x-attempt-id", "")
        if request.path.startswith("/health"):
            return encode_answer(200, {"X-Instance-Id": self.name})
        if request.fields.get("x-expect-instance", self.name) != self.name:
            return encode_answer(421, {"X-Attempt-Id": attempt, "X-Not-Executed": "1"})
        if self.running >= self.slots and self.waiting >= self.queue:
            self.record.note(f"{self.name} rejects {attempt}: full")
            return self._rejection(attempt)
        budget = int(request.fields.get("x-time-budget", "60000")) / 1000
        if not await self._wait_for_room(budget):
            self.record.note(f"{self.name} rejects {attempt}: its time was over in the queue")
            return self._rejection(attempt)
        try:
            self.runs.append(attempt)
            self.record.note(f"{self.name} runs {attempt}")
            await asyncio.sleep(self.work_seconds(request))
        finally:
            await self._leave()
        fields = {"X-Attempt-Id": attempt, "X-Response-Stamp": f"{self.name}.{attempt}"}
        return encode_answer(200, {**fields, "X-Server-Load": self.load}, f"{attempt}".encode())

    @property
    def load(self) -> str:
        """Requests running, requests waiting and slots."""
        return f"{self.running},{self.waiting},{self.slots}"

    def _rejection(self, attempt: str) -> bytes:
        fields = {"X-Attempt-Id": attempt, "X-Not-Executed": "1", "X-Server-Load": self.load}
        return encode_answer(503, fields)

    async def _wait_for_room(self, seconds: float) -> bool:
        """Take a slot; return whether there was one in time."""
        if self.running < self.slots:
            self.running += 1
            return True
        self.waiting += 1
        try:
            async with self._room:
                room = self._room.wait_for(lambda: self.running < self.slots)
                await asyncio.wait_for(room, seconds)
                self.running += 1
        except TimeoutError:
            return False
        finally:
            self.waiting -= 1
        return True

    async def _leave(self) -> None:
        async with self._room:
            self.running -= 1
            self._room.notify()


@dataclasses.dataclass
class Answered:
    """How a client's attempt ended."""

    attempt: str
    status: int
    """Status of the answer; 0 if none came."""

    message: Message | None


class Client:
    """A client's connection to an instance."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, port: int) -> Client:
        """Open a connection."""
        return cls(*await asyncio.open_connection(HOST, port))

    async def ask(
        self,
        method: str,
        path: str,
        attempt: str,
        budget_ms: int,
        body: bytes = b"",
        fields: Mapping[str, str] | None = None,
    ) -> Answered:
        """Send a request, and wait for the answer until the time budget is over."""
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: review.example\r\nX-Attempt-Id: {attempt}\r\n"
            f"X-Time-Budget: {budget_ms}\r\n"
        )
        for name, value in (fields or {}).items():
            head += f"{name}: {value}\r\n"
        if body or method == "POST":
            head += f"Content-Length: {len(body)}\r\n"
        try:
            self._writer.write(head.encode() + b"\r\n" + body)
            message = await asyncio.wait_for(read_message(self._reader), budget_ms / 1000)
        except (TimeoutError, ConnectionError, OSError):
            message = None
        return Answered(attempt, message.status if message else 0, message)

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


async def ask(
    port: int, method: str, path: str, attempt: str, budget_ms: int, body: bytes = b""
) -> Answered:
    """Send a request on a new connection, as a client does, and wait for the answer."""
    try:
        client = await Client.open(port)
    except OSError:
        return Answered(attempt, 0, None)
    try:
        return await client.ask(method, path, attempt, budget_ms, body)
    finally:
        client.close()


class Instance:
    """A process of the project's own program, started as the deploy file says."""

    def __init__(
        self,
        name: str,
        zone: str,
        zones: Sequence[str],
        store: Store,
        folder: pathlib.Path,
        bounds: Mapping[str, Any],
        store_port: int = 0,
    ) -> None:
        self.name = name
        self.zone = zone
        self._folder = folder
        ports = free_ports(2)
        first = _free_pair()
        self.peer_port = first
        """Port on which other instances connect to it."""
        self.port = ports[0]
        self.ready_port = ports[1]
        document = {
            "NodeName": name,
            "Role": "node",
            "MachineClass": "edge",
            "Serves": ["edge"],
            "Ip": HOST,
            "Zone": zone,
            "Region": zone,
            "Zones": {one: one for one in zones},
            "ListenAddrs": {
                "Front": f"{HOST}:{ports[0]}",
                "Ready": f"{HOST}:{ports[1]}",
            },
            "PortRange": [first, first + 1],
            "FirstStart": True,
            "Limits": {"CpuShare": 0.537, "CpuCores": 2, "MemoryMb": 300, "MaxFds": 4100},
            "TimingBounds": dict(bounds),
            "platform": {"Address": f"{HOST}:{store_port or store.port}", "form": "kv"},
        }
        self._settings = folder / f"{name}.json"
        self._settings.write_text(json.dumps(document))
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        arguments = shlex.split(deploy["roles"]["node"]["run"])
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = {
            **kept,
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "LINEWORKS_SETTINGS": str(self._settings),
        }
        log = (self._folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            *arguments, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()

    async def wait_until_ready(self, seconds: float) -> None:
        """Ask as the platform does until it says that it is ready."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            found = await ask(self.ready_port, "GET", "/lineworks/readiness", "r", 500)
            if found.status == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{self.name} is not ready")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


def _free_pair() -> int:
    """Find two free ports in a row."""
    for _ in range(200):
        first = free_ports(1)[0]
        if first + 1 not in _given and _is_free(first + 1):
            _given.add(first + 1)
            return first
    raise CannotRunError("no free ports")


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


BOUNDS = {
    "SeedLagS": 3,
    "AddrReuseS": 2,
    "ContactMs": 4000,
    "AckMs": 5000,
    "SyncS": 4,
    "DrainMs": 3000,
    "GraceS": 6,
    "LossSlackMs": 200,
    "ConfigApplyMs": 3000,
    "DowngradeMs": 250,
    "MaxSkewMs": 12000,
    "RetryRatio": 0.2,
    "RetryWindowS": 10,
    "RetrySlack": 54,
    "RecoveryS": 12,
}
"""Bounds of the deployment `stavewright-nz`."""


def main(
    folder: pathlib.Path, play: Callable[[Record, pathlib.Path, bool], Awaitable[int]]
) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

    Args:
        folder: Folder of the case, which takes `record.txt`.
        play: Runs the case with a record, a temporary folder and whether there is trouble; returns
            the exit code.
    """
    import tempfile

    if not (ROOT / "target" / "deps").is_dir():
        sys.stdout.write("target/deps is missing: run the build of the deploy file first\n")
        sys.exit(EXIT_NOT_RUN)
    record = Record(folder / "record.txt")

    async def run(temporary: str) -> int:
        task = asyncio.current_task()
        assert task is not None
        # A script that is stopped early must end its instances, too.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await play(record, pathlib.Path(temporary), os.environ.get("TROUBLE", "1") != "0")

    with tempfile.TemporaryDirectory() as temporary:
        try:
            code = asyncio.run(run(temporary))
        except (Exception, asyncio.CancelledError) as error:
            # Whatever goes wrong in the script itself says nothing about the rule.
            sys.stdout.write(f"the case cannot run: {error!r}\n")
            code = EXIT_NOT_RUN
        finally:
            record.close()
    sys.exit(code)
