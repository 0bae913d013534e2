"""The processes of a run: the store, the targets of each hall, and the instances.

Only processes that were started here are signalled, each by its own id.
"""

from __future__ import annotations

import dataclasses
import json
import os
import pathlib
import re
import signal
import subprocess
import sys
from typing import TYPE_CHECKING, Any

from bench.soak import port_claims
from lineworks.platform.standins import documents

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lineworks.decisions import access, extra_attempts, quota

ROOT = pathlib.Path(__file__).parent.parent.parent
NODE_PROGRAM = ROOT / "src" / "lineworks_node.py"

HALLS = ("akl", "wlg", "chc")
"""Data halls, each a region of its own."""

SLOTS = 4
"""Requests that a target says it works on at a time."""

GRACE_SECONDS = 4.0
"""Seconds that an instance has to stop."""

MEMORY_MB = 300
"""Memory that an instance may have in use: `MemoryMb` of its machine."""

PEAK_MEMORY = re.compile(r"^VmHWM:\s+(\d+) kB$", re.MULTILINE)
"""Line of `/proc/PID/status` with the most memory that a process had in use (proc(5))."""

USER_TICKS, SYSTEM_TICKS = 11, 12
"""Places of a process's times after the name in `/proc/PID/stat` (proc(5), utime and stime)."""


@dataclasses.dataclass(slots=True)
class Place:
    """Where targets of one service stand; each start there makes a target with a new identity."""

    service: str
    """The service."""

    hall: str
    """Data hall."""

    port: int
    """TCP port, which the next target there takes over."""

    link_port: int
    """TCP port of the link to it, which its entry names."""

    starts: int = 0
    """Targets started here so far."""

    @property
    def name(self) -> str:
        """Name of the place."""
        return f"{self.service}-{self.hall}"

    @property
    def target(self) -> str:
        """Identity of the target that stands here now."""
        return f"i-{self.service}-{self.hall}-{self.starts}"

    def entry(self, state: str) -> str:
        """Encode the entry of that target as JSON."""
        address = f"127.0.0.1:{self.link_port}"
        return documents.target_entry(self.service, address, self.hall, SLOTS, state)


class Child:
    """A process with orders on its standard input, and its output in a file."""

    def __init__(self, arguments: Sequence[str], log: pathlib.Path, **environment: str) -> None:
        """Start it.

        Args:
            arguments: What follows the interpreter.
            log: File that its output is added to.
            **environment: Variables besides those of this process.
        """
        with log.open("ab") as output:
            self._process = subprocess.Popen(
                [sys.executable, *arguments],
                stdin=subprocess.PIPE,
                stdout=output,
                stderr=output,
                cwd=ROOT,
                env={**os.environ, **environment},
            )

    @property
    def is_running(self) -> bool:
        """Whether it has not ended."""
        return self._process.poll() is None

    @property
    def pid(self) -> int:
        """Its process id."""
        return self._process.pid

    @property
    def exit_code(self) -> int | None:
        """Its exit code; negative after a signal."""
        return self._process.poll()

    @property
    def peak_memory_mb(self) -> float:
        """Most memory that it had in use, in MB; 0 once it has ended."""
        try:
            status = pathlib.Path(f"/proc/{self._process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = PEAK_MEMORY.search(status)
        return int(found[1]) / 1024 if found else 0.0

    @property
    def processor_seconds(self) -> float:
        """Processor time that it has used, in seconds; 0 once it has ended."""
        try:
            stat = pathlib.Path(f"/proc/{self._process.pid}/stat").read_text()
        except OSError:
            return 0.0
        # The second field is a name in brackets and may hold blanks.
        fields = stat.rpartition(")")[2].split()
        ticks = int(fields[USER_TICKS]) + int(fields[SYSTEM_TICKS])
        return ticks / os.sysconf("SC_CLK_TCK")

    def order(self, **order: Any) -> None:
        """Give an order; one that comes after its end is lost with it."""
        if not self.is_running:
            return
        assert self._process.stdin is not None
        try:
            self._process.stdin.write(json.dumps(order).encode() + b"\n")
            self._process.stdin.flush()
        except BrokenPipeError:
            if self.is_running:
                raise

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if it still runs."""
        if self.is_running:
            self._process.send_signal(number)

    def end(self) -> None:
        """Kill it and wait for its end."""
        self.signal(signal.SIGKILL)
        self._process.wait()
        if self._process.stdin is not None:
            self._process.stdin.close()


class Store:
    """The store's process."""

    def __init__(self, port: int, folder: pathlib.Path) -> None:
        """Start it.

        Args:
            port: TCP port.
            folder: The run's folder.
        """
        self.child = Child(["-m", "bench.soak.store_process", str(port)], folder / "store.log")

    def write(self, key: str, value: str) -> None:
        """Write a key, as the operator and the targets do."""
        self.child.order(do="write", key=key, value=value)

    def remove(self, key: str) -> None:
        """Remove a key."""
        self.child.order(do="remove", key=key)

    def write_odd(self, key: str, shape: str, document: dict[str, Any], field: str) -> None:
        """Write an odd value as another writer does: `odd_values.encode` makes it there."""
        self.child.order(do="write_odd", key=key, shape=shape, document=document, field=field)

    def take_odd_back(self, key: str) -> None:
        """Put back what stood there before an odd value."""
        self.child.order(do="take_odd_back", key=key)

    def set_fault(self, name: str, value: Any) -> None:
        """Set one of the store's faults."""
        self.child.order(do="fault", name=name, value=value)

    def forget(self) -> None:
        """Make it forget its history."""
        self.child.order(do="forget")

    def begin_drill(self, age: float, away: float, rewritten: float) -> None:
        """Make it go away and come back from an older copy of itself.

        Args:
            age: Seconds by which the copy is older than its going away.
            away: Seconds that it is away.
            rewritten: Seconds after its return until operators and targets have written again.
        """
        self.child.order(do="drill", age=age, away=away, rewritten=rewritten)

    def announce(self, place: Place, state: str) -> None:
        """Write the entry of the target at a place."""
        self.write(documents.target_key(place.target), documents.encode_value(place.entry(state)))


class Links:
    """The links before the store and the targets, in one process."""

    def __init__(self, rows: Sequence[dict[str, Any]], folder: pathlib.Path) -> None:
        """Start it.

        Args:
            rows: Name, port and server's port of each link.
            folder: The run's folder.
        """
        arguments = ["-m", "bench.soak.link_process", json.dumps(rows)]
        self.child = Child(arguments, folder / "links.log")

    def set_faults(self, names: Sequence[str], **faults: Any) -> None:
        """Set what is wrong with some links: fields of `link.Faults`."""
        for name in names:
            self.child.order(link=name, do="fault", faults=faults)

    def reset(self, names: Sequence[str]) -> None:
        """Reset all connections over some links."""
        for name in names:
            self.child.order(link=name, do="reset")

    def silence(self, names: Sequence[str]) -> None:
        """Silence the open connections over some links for good."""
        for name in names:
            self.child.order(link=name, do="silence")


class Hall:
    """The targets of one hall, in one process at a time."""

    def __init__(
        self, name: str, places: Sequence[Place], folder: pathlib.Path, store: Store
    ) -> None:
        """Prepare them; `start` starts them.

        Args:
            name: The hall.
            places: Its places.
            folder: The run's folder.
            store: Takes their entries.
        """
        self._name = name
        self._places = places
        self._folder = folder
        self._store = store
        self._child: Child | None = None

    @property
    def is_running(self) -> bool:
        """Whether its targets run."""
        return self._child is not None and self._child.is_running

    def start(self) -> None:
        """Start targets with new identities, and announce them, unless they run."""
        if self.is_running:
            return
        rows = []
        for place in self._places:
            place.starts += 1
            rows.append({"name": place.target, "service": place.service, "port": place.port})
        book = self._folder / f"arrivals-{self._name}-{self._places[0].starts}.jsonl"
        module = "bench.soak.target_process"
        arguments = ["-m", module, self._name, str(book), json.dumps(rows)]
        self._child = Child(arguments, self._folder / f"targets-{self._name}.log")
        for place in self._places:
            self._store.announce(place, "ready")

    def kill(self) -> None:
        """Kill all of them; their entries go, as their leases end."""
        if self._child is not None:
            self._child.end()
        for place in self._places:
            self._store.remove(documents.target_key(place.target))

    def announce(self, place: Place, state: str) -> None:
        """Write the entry of a target, unless it was killed."""
        if self.is_running:
            self._store.announce(place, state)

    def set_fault(self, place: Place, seconds: float, **faults: Any) -> None:
        """Set how the target at a place misbehaves.

        Args:
            place: The place.
            seconds: Time that a request takes; 0 for the usual one.
            **faults: Fields of `http_target.TargetFaults`.
        """
        if self._child is not None:
            self._child.order(target=place.target, seconds=seconds, faults=faults)

    def set_answers(self, place: Place, way: str) -> None:
        """Let the target at a place answer badly in one of `bad_answers.WAYS`, or well if empty."""
        if self._child is not None:
            self._child.order(target=place.target, way=way)


class Node:
    """One instance, through all its lives."""

    def __init__(
        self,
        name: str,
        hall: str,
        ports: Sequence[int],
        store_port: int,
        allowance: extra_attempts.Allowance,
        folder: pathlib.Path,
        quota_bound: quota.QuotaBound | None = None,
        revocation: access.RevocationPolicy | None = None,
    ) -> None:
        """Write its settings; `start` starts it.

        Args:
            name: Its name.
            hall: Its data hall.
            ports: TCP ports: for callers, for readiness, and the first and last of a range.
            store_port: Port of its link to the store.
            allowance: Attempts beyond the first that a service may get.
            folder: The run's folder.
            quota_bound: What may be let through beyond a limit; None where there are no limits.
            revocation: What holds for keys that were taken away; None where there are no keys.
        """
        self.name = name
        self.port = ports[0]
        self._settings = folder / f"{name}.json"
        self._log = folder / f"{name}.log"
        self._child: Child | None = None
        bounds = {
            "RetryRatio": allowance.share,
            "RetryWindowS": allowance.window,
            "RetrySlack": allowance.slack,
            "GraceS": GRACE_SECONDS,
        }
        if quota_bound is not None:
            bounds["QuotaWindowS"] = quota_bound.window
            bounds["QuotaExcess"] = quota_bound.excess
            bounds["QuotaSlack"] = quota_bound.slack
        if revocation is not None:
            bounds["StrictRevoke"] = revocation.is_strict
            bounds["RevokeMs"] = revocation.seconds * 1000
        document = {
            "NodeName": name,
            "Ip": "127.0.0.1",
            "Zone": hall,
            "Region": hall,
            "Zones": {one: one for one in HALLS},
            "ListenAddrs": {
                "Front": f"127.0.0.1:{ports[0]}",
                "Ready": f"127.0.0.1:{ports[1]}",
            },
            "PortRange": [ports[2], ports[3]],
            "TimingBounds": bounds,
            "platform": {"Address": f"127.0.0.1:{store_port}"},
        }
        self._settings.write_text(json.dumps(document, indent=1) + "\n")

    @property
    def has_started(self) -> bool:
        """Whether it was started at all."""
        return self._child is not None

    @property
    def child(self) -> Child:
        """Its present process."""
        assert self._child is not None
        return self._child

    @property
    def is_listening(self) -> bool:
        """Whether callers can connect, or could until its port began to close."""
        return port_claims.is_open(self.port)

    def start(self) -> None:
        """Start a life of it."""
        # An instance that is ended by SIGABRT writes what its threads are doing.
        environment = {"LINEWORKS_SETTINGS": str(self._settings), "PYTHONFAULTHANDLER": "1"}
        self._child = Child([str(NODE_PROGRAM)], self._log, **environment)
