"""Starts a small deployment on loopback for the cases of this folder, and records what passes.

The instances are the project's own program, started with the command of the deploy file. The store
is the project's stand-in (`store.py` starts it). Replicas and clients are in this module.
"""

from __future__ import annotations

import asyncio
import base64
import dataclasses
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parent.parent

EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2

GRACE_SECONDS = 6.0
"""Time that the platform gives a process to stop, in seconds (`GraceS`)."""

HOST = "127.0.0.1"

FIRST_PORT, LAST_PORT = 12000, 32000
"""Ports of servers are chosen from this range."""

_taken_ports: set[int] = set()

_LIMITS = {"HeaderBytes": 16384, "BodyBytes": 262144, "HeaderMs": 3000, "IdleMs": 15000}


class CaseError(Exception):
    """The case could not be run, so nothing can be said about the rule."""


class Record:
    """Writes what was sent, answered and run to a file, a line each."""

    def __init__(self, path: pathlib.Path) -> None:
        """Begin an empty record."""
        self._file = path.open("w", encoding="utf-8", buffering=1)
        self._start = time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since the record began."""
        return time.monotonic() - self._start

    def note(self, who: str, what: str) -> float:
        """Write a line, and return its time in seconds."""
        at = self.now
        self._file.write(f"{at:9.4f} {who:<18} {what}\n")
        return at


def free_ports(count: int) -> list[int]:
    """Return neighbouring ports that are free now.

    They lie below the range from which the system takes the ports of outgoing connections, which
    could otherwise take one before its server listens.
    """
    for _ in range(1000):
        first = random.randrange(FIRST_PORT, LAST_PORT - count)
        ports = list(range(first, first + count))
        if _taken_ports.isdisjoint(ports) and all(map(_is_free, ports)):
            _taken_ports.update(ports)
            return ports
    raise CaseError("too few free ports")


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


def encode(document: Any) -> str:
    """Encode a value as the store holds it."""
    return base64.b64encode(json.dumps(document).encode()).decode()


@dataclasses.dataclass
class Message:
    """A request or an answer, as it was read."""

    first: str
    """Its first line."""

    fields: dict[str, str]
    """Header fields, names in lower case."""

    body: bytes

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.first.split()[1])

    @property
    def attempt(self) -> str:
        """Identity of the client's attempt."""
        return self.fields.get("x-attempt-id", "")


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a request or an answer with a `Content-Length`, or with no body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip().split("\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(fields.get("content-length", "0")))
    return Message(first, fields, body)


def answer_bytes(status: int, attempt: str, body: bytes = b"", *more: str) -> bytes:
    """Encode an answer of a replica."""
    lines = [f"HTTP/1.1 {status} X", f"X-Attempt-Id: {attempt}", *more]
    head = "\r\n".join([*lines, f"Content-Length: {len(body)}"])
    return head.encode() + b"\r\n\r\n" + body


Handle = Callable[["Replica", Message, asyncio.StreamWriter], Awaitable[None]]


class Replica:
    """A replica: serves one request at a time on each connection."""

    def __init__(
        self, record: Record, name: str, service: str, zone: str, port: int, handle: Handle
    ) -> None:
        """Prepare a replica; `start` makes it listen.

        Args:
            record: Takes what arrives.
            name: Its id.
            service: Its service.
            zone: Its zone.
            port: Its TCP port.
            handle: Answers a request that names this replica.
        """
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.port = port
        self.born = int(time.time() * 1000)
        self._handle = handle
        self._server: asyncio.Server | None = None

    def entry(self, capacity: int = 4) -> str:
        """Encode its entry in the store."""
        return encode(
            {
                "Service": self.service,
                "Address": f"{HOST}:{self.port}",
                "Zone": self.zone,
                "ConfigVersion": "v1",
                "Capacity": capacity,
                "State": "ready",
                "WarmupLeftMs": 0,
                "CallSeq": 1,
                "born": self.born,
            }
        )

    async def start(self) -> None:
        """Accept connections."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                request = await read_message(reader)
                if request.fields.get("x-expect-instance", self.name) != self.name:
                    writer.write(answer_bytes(421, request.attempt, b"", "X-Not-Executed: 1"))
                    continue
                await self._handle(self, request, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def stamp(self, attempt: str) -> str:
        """Return the header line with the signature of an answer."""
        return f"X-Response-Stamp: {self.service}.{attempt}.{self.name}"


async def run_and_answer(
    replica: Replica, request: Message, writer: asyncio.StreamWriter, seconds: float
) -> None:
    """Run a request and answer it with a success."""
    replica.record.note(replica.name, f"RUN {request.attempt}")
    await asyncio.sleep(seconds)
    replica.record.note(replica.name, f"answers 200 to {request.attempt}")
    writer.write(answer_bytes(200, request.attempt, b"done", replica.stamp(request.attempt)))


class Relay:
    """A TCP proxy that can hold bytes back in one direction, or break all connections."""

    def __init__(self, to_port: int) -> None:
        """Prepare a relay to a port of this machine; `start` makes it listen."""
        self._to_port = to_port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.is_cut = False
        """Whether it takes connections and lets nothing pass."""
        self.port = 0

    async def start(self) -> None:
        """Accept connections on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def reset(self) -> None:
        """Reset all connections."""
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            far_reader, far_writer = await asyncio.open_connection(HOST, self._to_port)
        except OSError:
            self._writers.discard(writer)
            writer.transport.abort()
            return
        self._writers.add(far_writer)
        await asyncio.gather(self._pass(reader, far_writer), self._pass(far_reader, writer))
        for one in (writer, far_writer):
            self._writers.discard(one)

    async def _pass(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(65536):
                while self.is_cut:
                    await asyncio.sleep(0.01)
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        writer.close()


class Deployment:
    """The processes of one run; `close` ends those that it started."""

    def __init__(self, record: Record) -> None:
        """Prepare a deployment in a temporary folder; nothing is started yet."""
        self.record = record
        self._temporary = tempfile.TemporaryDirectory(prefix="lineworks-review-")
        self.folder = pathlib.Path(self._temporary.name)
        self._store: subprocess.Popen[bytes] | None = None
        self.store_port = 0
        self.nodes: dict[str, Node] = {}

    async def start_store(self) -> None:
        """Start the store and wait until it answers."""
        self.store_port = free_ports(1)[0]
        paths = [ROOT, ROOT / "src", ROOT / "target" / "deps"]
        environment = {**_environment(), "PYTHONPATH": os.pathsep.join(map(str, paths))}
        with (self.folder / "store.log").open("ab") as log:
            self._store = subprocess.Popen(
                [sys.executable, str(ROOT / "review" / "store.py"), str(self.store_port)],
                stdin=subprocess.PIPE,
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env=environment,
            )
        await wait_until(lambda: _is_open(self.store_port), 20.0, "the store does not listen")

    def write(self, key: str, value: str) -> None:
        """Write a key, as the operator and the replicas do."""
        self._order(do="write", key=key, value=value)

    def remove(self, key: str) -> None:
        """Remove a key."""
        self._order(do="remove", key=key)

    def set_store_down(self, is_down: bool) -> None:
        """Make the store refuse all calls with 503, or serve again."""
        self.record.note("store", "down: refuses all calls with 503" if is_down else "up")
        self._order(do="fault", name="is_down", value=is_down)

    def lapse(self) -> None:
        """Make all leases run out."""
        self.record.note("store", "all leases have run out")
        self._order(do="lapse")

    def configure(
        self,
        version: int,
        routes: Sequence[Mapping[str, Any]],
        services: Sequence[str],
        tenants: Sequence[Mapping[str, Any]] = (),
        **service_fields: Any,
    ) -> None:
        """Write a configuration, as the operator does."""
        document = {
            "ConfigVersion": version,
            "Routing": list(routes),
            "Services": [{"Name": name, "MaxConns": 100, **service_fields} for name in services],
            "Limits": _LIMITS,
            **({"Tenants": list(tenants)} if tenants else {}),
        }
        self.write("op/config", encode(document))

    def announce(self, replica: Replica, capacity: int = 4) -> None:
        """Write the entry of a replica."""
        self.write(f"servers/{replica.name}", replica.entry(capacity))

    def _order(self, **order: Any) -> None:
        assert self._store is not None
        assert self._store.stdin is not None
        self._store.stdin.write(json.dumps(order).encode() + b"\n")
        self._store.stdin.flush()

    def add_node(
        self, name: str, zone: str, zones: Mapping[str, str], store_port: int = 0, **bounds: Any
    ) -> Node:
        """Prepare an instance; its `start` starts it."""
        node = Node(self, name, zone, zones, store_port or self.store_port, bounds)
        self.nodes[name] = node
        return node

    async def wait_ready(self, seconds: float = 30.0) -> None:
        """Wait until all instances call themselves ready."""
        for node in self.nodes.values():
            await node.wait_ready(seconds)

    def close(self) -> None:
        """End all processes, by their ids."""
        for node in self.nodes.values():
            node.end()
        if self._store is not None:
            self._store.kill()
            self._store.wait()
        self._temporary.cleanup()


class Node:
    """One instance, through all its lives."""

    def __init__(
        self,
        deployment: Deployment,
        name: str,
        zone: str,
        zones: Mapping[str, str],
        store_port: int,
        bounds: Mapping[str, Any],
    ) -> None:
        """Write the settings of an instance."""
        self._record = deployment.record
        self.name = name
        self.zone = zone
        self.port, self.ready_port, self.peer_port, _ = free_ports(4)
        self._settings = deployment.folder / f"{name}.json"
        self.log = deployment.folder / f"{name}.log"
        self._process: subprocess.Popen[bytes] | None = None
        document = {
            "NodeName": name,
            "Role": "node",
            "MachineClass": "edge",
            "Serves": ["edge"],
            "Ip": HOST,
            "Zone": zone,
            "Region": zones[zone],
            "Zones": dict(zones),
            "ListenAddrs": {
                "Front": f"{HOST}:{self.port}",
                "Ready": f"{HOST}:{self.ready_port}",
            },
            "PortRange": [self.peer_port, self.peer_port + 1],
            "FirstStart": True,
            "Limits": {"CpuShare": 0.537, "CpuCores": 2, "MemoryMb": 300, "LinkMbps": 1000.0},
            "HeartbeatMs": 1200,
            "TimingBounds": {
                "ContactMs": 4000,
                "DrainMs": 3000,
                "GraceS": GRACE_SECONDS,
                "ConfigApplyMs": 3000,
                "DowngradeMs": 250,
                "RetryRatio": 0.2,
                "RetryWindowS": 10,
                "RetrySlack": 54,
                **bounds,
            },
            "platform": {
                "Address": f"{HOST}:{store_port}",
                "form": "kv",
                "WritesPerS": 400,
                "ReadsPerS": 2000,
                "HistoryS": 20,
                "ValueBytes": 1048576,
                "TtlMinMs": 1000,
            },
        }
        self._settings.write_text(json.dumps(document, indent=1), encoding="utf-8")

    def start(self) -> None:
        """Start a life of it, with the command of the deploy file."""
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            command = tomllib.load(file)["roles"]["node"]["run"].split()
        environment = {
            **_environment(),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "LINEWORKS_SETTINGS": str(self._settings),
        }
        with self.log.open("ab") as log:
            self._process = subprocess.Popen(
                command, stdout=log, stderr=log, cwd=ROOT, env=environment
            )
        self._record.note(self.name, "started")

    def signal(self, number: signal.Signals) -> None:
        """Send it a signal."""
        if self._process is not None and self._is_running:
            self._process.send_signal(number)
            self._record.note(self.name, number.name)

    def kill(self) -> None:
        """Kill it and wait for its end."""
        self.signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    async def stop_and_start(self, pause: float) -> None:
        """Stop it as the platform does, and start it again a moment after its end."""
        self.signal(signal.SIGTERM)
        until = time.monotonic() + GRACE_SECONDS
        while self._is_running and time.monotonic() < until:
            await asyncio.sleep(0.02)
        if self._is_running:
            self.kill()
        self._record.note(self.name, "has ended")
        await asyncio.sleep(pause)
        self.start()

    @property
    def _is_running(self) -> bool:
        return self._process is not None and self._process.poll() is None

    def end(self) -> None:
        """Kill it without a note, if it runs."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    async def wait_ready(self, seconds: float = 30.0) -> None:
        """Wait until it calls itself ready."""
        await wait_until(self._is_ready, seconds, f"{self.name} is not ready")

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(HOST, self.ready_port)
        except OSError:
            return False
        try:
            writer.write(b"GET /lineworks/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            return (await asyncio.wait_for(read_message(reader), 1.0)).status == 200
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return False
        finally:
            writer.close()


async def ask(
    record: Record,
    port: int,
    attempt: str,
    method: str,
    host: str,
    path: str,
    budget: float,
    body: bytes = b"",
    **fields: str,
) -> Message | None:
    """Send a request on a new connection; None if no whole answer arrived."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {host}",
        f"X-Attempt-Id: {attempt}",
        f"X-Time-Budget: {int(budget * 1000)}",
        *(f"{name}: {value}" for name, value in fields.items()),
        f"Content-Length: {len(body)}",
    ]
    record.note("client", f"sends {method} {path} as {attempt}")
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(HOST, port), 1.0)
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        answer = await asyncio.wait_for(read_message(reader), budget)
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
        record.note("client", f"no answer to {attempt}: {type(error).__name__}")
        return None
    finally:
        if writer is not None:
            writer.close()
    record.note("client", f"gets {answer.status} for {attempt}")
    return answer


async def wait_until(
    is_met: Callable[[], bool] | Callable[[], Awaitable[bool]], seconds: float, failure: str
) -> None:
    """Wait for a condition.

    Raises:
        CaseError: It was not met in time.
    """
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        found = is_met()
        if await found if isinstance(found, Awaitable) else found:
            return
        await asyncio.sleep(0.05)
    raise CaseError(failure)


def run_case(
    folder: pathlib.Path,
    play: Callable[[Deployment, bool], Awaitable[str]],
    record_name: str = "record.txt",
) -> int:
    """Play a case, and return the exit code of its script.

    Args:
        folder: The folder of the case, which takes the record.
        play: Plays the case with or without the disruption, and returns how the rule was broken;
            an empty text if it held.
        record_name: Name of the record's file.
    """
    record = Record(folder / record_name)
    is_disturbed = os.environ.get("TROUBLE", "1") != "0"
    record.note("case", f"with{'' if is_disturbed else 'out'} the disruption")
    deployment = Deployment(record)
    try:
        broken = asyncio.run(asyncio.wait_for(_play(deployment, play, is_disturbed), 115.0))
    except (CaseError, OSError, TimeoutError) as error:
        record.note("case", f"could not run: {error!r}")
        sys.stdout.write(f"could not run: {error!r}\n")
        return EXIT_NOT_RUN
    finally:
        if os.environ.get("KEEP_LOGS"):
            _copy_logs(deployment, pathlib.Path(os.environ["KEEP_LOGS"]))
        deployment.close()
    record.note("case", f"BROKEN: {broken}" if broken else "the rule held")
    sys.stdout.write(f"BROKEN: {broken}\n" if broken else "the rule held\n")
    return EXIT_BROKEN if broken else EXIT_HELD


async def _play(
    deployment: Deployment, play: Callable[[Deployment, bool], Awaitable[str]], is_disturbed: bool
) -> str:
    await deployment.start_store()
    return await play(deployment, is_disturbed)


def _copy_logs(deployment: Deployment, to: pathlib.Path) -> None:
    to.mkdir(parents=True, exist_ok=True)
    for log in deployment.folder.glob("*.log"):
        (to / log.name).write_bytes(log.read_bytes())


def _environment() -> dict[str, str]:
    return {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}


def _is_open(port: int) -> bool:
    with socket.socket() as probe:
        return probe.connect_ex((HOST, port)) == 0
