"""One run: starts the processes, carries out the plan, and gathers what everyone saw."""

from __future__ import annotations

import dataclasses
import json
import random
from typing import TYPE_CHECKING, Any

from bench.soak import (
    callers,
    checkers,
    history,
    instances,
    plan,
    processes,
    schedule,
    store_process,
    workspaces,
)
from lineworks.decisions import access, extra_attempts
from lineworks.kernel import task
from lineworks.platform.standins import documents

if TYPE_CHECKING:
    import pathlib

SHARDS = (
    tuple(f"s{number:02d}" for number in range(8)),
    tuple(f"r{number:02d}" for number in range(5)),
)
"""Two sets of shards of the searches; each shard has a target in every hall."""

SERVICES = (*SHARDS[0], *SHARDS[1])

SHELF = "shelf"
"""Service of the reads and of what may run once."""

NODES_A_HALL = 2
"""Instances in each hall, unless a run is asked for more."""

RATE = 40.0
"""Requests a second: few enough for one core beside the processes."""

START_SECONDS = 4.0
"""Seconds from the start of the processes to the first request at least."""

START_SECONDS_AN_INSTANCE = 0.6
"""Seconds of it for each instance: its imports take half a second of one core."""

POLL_SECONDS = 0.05
"""Seconds between looks whether all tries have ended."""

ALLOWANCE = extra_attempts.Allowance(0.2, 30.0, 5.0)
"""Extra attempts: a short window, so that a run of half a minute has several."""

STORE_LINK = "store:"
"""Beginning of the names of links to the store."""

FIRST_LIMIT = 2
"""Targets that a try may run on at first."""

HANG_SECONDS = 30.0
"""Seconds that a request takes at a target that hangs: longer than any caller waits."""

SLOW_SECONDS = 0.25
"""Seconds that a request takes at a slow target: ten times the usual."""

STORE_DELAY = 0.5
"""Seconds that a slow store's answers are late."""

RETURN_SLACK = 0.1
"""Seconds after the store's return at which targets leave and the set of shards changes."""

REWRITTEN_SECONDS = 0.6
"""Seconds after the store's return from an older copy until operators and targets write again."""

LINK_DELAY = 0.1
"""Seconds that bytes are late on a slow link, each way."""

LOST_ANSWERS = 3
"""Writes that the store does and does not answer."""

TARGET_FAULTS: dict[plan.Kind, tuple[float, dict[str, Any]]] = {
    plan.Kind.TARGETS_FAIL: (0.001, {"status": 500}),
    plan.Kind.TARGETS_SLOW: (SLOW_SECONDS, {}),
    plan.Kind.TARGETS_HANG: (HANG_SECONDS, {}),
    plan.Kind.TARGETS_REFUSE: (0.0, {"sheds": True}),
    plan.Kind.TARGETS_BREAK: (0.0, {"loses_answers": True}),
}
"""For each fault of targets the seconds that a request takes (0: as usual), and what else."""

HOMES = processes.HALLS[:2]
"""Home regions of what may run once; in the soak each hall is a region."""

STORE_FAULTS: dict[plan.Kind, tuple[str, Any, Any]] = {
    plan.Kind.STORE_DOWN: ("is_down", True, False),
    plan.Kind.STORE_BUSY: ("is_busy", True, False),
    plan.Kind.STORE_SILENT: ("is_silent", True, False),
    plan.Kind.STORE_SLOW: ("delay", STORE_DELAY, 0.0),
}
"""For each fault of the store its field, with the value during it and after it."""


LINK_FAULTS: dict[plan.Kind, dict[str, Any]] = {
    plan.Kind.LINKS_SLOW: {"delay": LINK_DELAY},
    plan.Kind.LINKS_HOLD_REQUESTS: {"holds_requests": True},
    plan.Kind.LINKS_HOLD_ANSWERS: {"holds_answers": True},
    plan.Kind.LINKS_CUT: {"holds_requests": True, "holds_answers": True},
}
"""For each fault of links its fields."""


class Run:
    """One run of the soak."""

    def __init__(
        self,
        reactor: Any,
        seed: int,
        seconds: float,
        folder: pathlib.Path,
        nodes_a_hall: int = NODES_A_HALL,
        rate: float = RATE,
    ) -> None:
        """Prepare a run.

        Args:
            reactor: Twisted's reactor.
            seed: Decides what goes wrong, and what callers ask.
            seconds: How long callers send.
            folder: Takes settings, logs and books; it exists.
            nodes_a_hall: Instances in each hall.
            rate: Requests a second.
        """
        self._reactor = reactor
        self._seconds = seconds
        self._folder = folder
        nodes = len(processes.HALLS) * nodes_a_hall
        places = len(processes.HALLS) * (len(SERVICES) + 1)
        self._claim = processes.claim_ports(1 + 5 * nodes + 2 * places)
        self._ports = iter(self._claim.ports)
        store_port = next(self._ports)
        self._store = processes.Store(store_port, folder)
        self._workspaces = workspaces.Workspaces(seed) if workspaces.are_played(seed) else None
        self._link_rows: list[dict[str, Any]] = []
        self._nodes = self._make_nodes(store_port, nodes_a_hall)
        self._schedule = schedule.Schedule(reactor)
        self._instances = instances.Instances(reactor, self._schedule, self._nodes)
        self._places = {
            place.name: place for hall in processes.HALLS for place in self._make_places(hall)
        }
        self._halls = {
            hall: processes.Hall(
                hall,
                [place for place in self._places.values() if place.hall == hall],
                folder,
                self._store,
            )
            for hall in processes.HALLS
        }
        self._start_seconds = max(START_SECONDS, START_SECONDS_AN_INSTANCE * nodes)
        self._links = processes.Links(self._link_rows, folder)
        links = tuple(row["name"] for row in self._link_rows)
        subjects = plan.Subjects(tuple(self._places), tuple(self._nodes), processes.HALLS, links)
        self._steps = [
            step
            for step in plan.deal(seed, seconds, subjects)
            if self._workspaces is not None or step.kind not in plan.WORKSPACES
        ]
        self._callers = self._make_callers(seed, rate)
        self._configured: list[history.Configured] = []
        self._evacuated: list[history.Evacuated] = []
        self._left: list[history.Left] = []
        self._store_faults: list[tuple[float, float]] = []
        self._older: list[tuple[float, float]] = []

    def _make_callers(self, seed: int, rate: float) -> list[callers.Callers]:
        """Make those who send at the run's rate, and the one far beyond its limit if there is."""
        fronts = {name: ("127.0.0.1", node.port) for name, node in self._nodes.items()}
        write = history.call_writer(self._folder)
        usual = random.Random(seed)
        if self._workspaces is None:
            return [callers.Callers(self._reactor, usual, fronts, rate, write)]
        draw = self._workspaces.sender(seed, workspaces.SENDERS)
        draw_hot = self._workspaces.sender(seed, {workspaces.HOT: 1.0})
        hot = random.Random(f"{seed}-hot")
        hot_rate = workspaces.HOT_RATE
        return [
            callers.Callers(self._reactor, usual, fronts, rate, write, draw_key=draw),
            callers.Callers(
                self._reactor, hot, fronts, hot_rate, write, prefix="h", draw_key=draw_hot
            ),
        ]

    def _make_nodes(self, store_port: int, nodes_a_hall: int) -> dict[str, processes.Node]:
        nodes = {}
        known = self._workspaces
        bounds = (workspaces.BOUND, known.revocation) if known is not None else ()
        for hall in processes.HALLS:
            for number in range(1, nodes_a_hall + 1):
                name = f"{hall}-{number}"
                ports = [next(self._ports) for _ in range(4)]
                link_port = self._make_link(f"{STORE_LINK}{name}", store_port)
                node = processes.Node(
                    name, hall, ports, link_port, ALLOWANCE, self._folder, *bounds
                )
                nodes[name] = node
        return nodes

    def _make_places(self, hall: str) -> list[processes.Place]:
        places = []
        for service in (*SERVICES, SHELF):
            port = next(self._ports)
            link_port = self._make_link(f"{service}-{hall}", port)
            places.append(processes.Place(service, hall, port, link_port))
        return places

    def _make_link(self, name: str, server_port: int) -> int:
        """Plan a link, and tell the port that it will listen on."""
        port = next(self._ports)
        self._link_rows.append({"name": name, "port": port, "server": server_port})
        return port

    @property
    def steps(self) -> list[plan.Step]:
        """What goes wrong."""
        return self._steps

    @property
    def exits(self) -> list[str]:
        """What instances did that nobody asked for, a clause each."""
        return self._instances.exits

    async def play(self) -> history.History:
        """Play the run to its end; all its processes are gone then.

        Returns:
            What was seen.
        """
        try:
            self._configure(FIRST_LIMIT, SHARDS[0])
            for hall in self._halls.values():
                hall.start()
            for node in self._nodes.values():
                node.start()
            await task.sleep(self._reactor, self._start_seconds)
            begin = self._reactor.seconds()
            self._write_timeline(begin)
            for one in self._callers:
                one.start(self._seconds)
            for step in self._steps:
                self._reactor.callLater(step.at, self._do, step)
            await task.sleep(self._reactor, self._seconds)
            await self._wait_until_quiet()
        finally:
            self._end()
        return self._history()

    async def _wait_until_quiet(self) -> None:
        until = self._reactor.seconds() + callers.BUDGET + callers.PATIENCE
        while self._reactor.seconds() < until:
            if not any(one.under_way for one in self._callers):
                break
            await task.sleep(self._reactor, POLL_SECONDS)

    def _end(self) -> None:
        """End every process of this run."""
        self._schedule.is_over = True
        self._instances.end()
        for hall in self._halls.values():
            hall.kill()
        self._links.child.end()
        self._store.child.end()
        self._claim.release()

    def _write_timeline(self, begin: float) -> None:
        rows = [
            {**dataclasses.asdict(step), "kind": step.kind.value, "clock": begin + step.at}
            for step in self._steps
        ]
        text = "".join(json.dumps(row) + "\n" for row in rows)
        (self._folder / "timeline.jsonl").write_text(text)

    def _configure(self, most: int, shards: tuple[str, ...]) -> None:
        shape = {"MaxAttempts": most}
        search = {"Fanout": list(shards), "TopK": checkers.TOP, "OldestVersion": 0.5}
        once = {
            "RouteType": "non_idempotent",
            "MaxAttempts": 1,
            "AllowedRegions": list(HOMES),
        }
        routes = [
            {"Name": "search", "PathPrefix": "/search/", **search, **shape},
            {"Name": "read", "PathPrefix": "/read/", "Service": SHELF, "SloMs": 600, **shape},
            {"Name": "bill", "PathPrefix": "/bill/", "Service": SHELF, "SloMs": 600, **once},
        ]
        version = len(self._configured) + 1
        known = self._workspaces
        document = documents.configuration(
            version,
            routes,
            (*SERVICES, SHELF),
            workspaces=known.documents if known is not None else (),
        )
        self._store.write(documents.CONFIGURATION_KEY, document)
        listed = known.listed if known is not None else ()
        self._configured.append(history.Configured(self._reactor.seconds(), most, shards, listed))

    def _do(self, step: plan.Step) -> None:
        """Carry out a step."""
        if self._schedule.is_over:
            return
        if _strikes_store(step):
            now = self._reactor.seconds()
            is_drill = step.kind is plan.Kind.STORE_OLDER
            more = store_process.LOST_SECONDS + REWRITTEN_SECONDS if is_drill else 0.0
            self._store_faults.append((now, now + step.seconds + more))
            if is_drill:
                self._older.append(self._store_faults[-1])
        if step.kind in TARGET_FAULTS:
            seconds, faults = TARGET_FAULTS[step.kind]
            self._set_faults(step.subjects, seconds, faults)
            self._schedule.later(step.seconds, self._set_faults, step.subjects, 0.0, {})
        elif step.kind in STORE_FAULTS:
            field, during, after = STORE_FAULTS[step.kind]
            self._store.set_fault(field, during)
            self._schedule.later(step.seconds, self._store.set_fault, field, after)
        elif step.kind in LINK_FAULTS:
            self._links.set_faults(step.subjects, **LINK_FAULTS[step.kind])
            self._schedule.later(step.seconds, self._links.set_faults, step.subjects)
        elif step.kind is plan.Kind.LINKS_RESET:
            self._links.reset(step.subjects)
        elif step.kind is plan.Kind.LINKS_SILENT:
            self._links.silence(step.subjects)
        elif step.kind is plan.Kind.STORE_LOSES:
            self._store.set_fault("lose_answers", LOST_ANSWERS)
        elif step.kind is plan.Kind.STORE_FORGETS:
            self._store.forget()
        elif step.kind is plan.Kind.STORE_OLDER:
            self._begin_drill(step)
        elif step.kind is plan.Kind.CONFIGURED:
            self._configure(step.value, self._configured[-1].shards)
        elif step.kind in plan.WORKSPACES:
            assert self._workspaces is not None
            self._workspaces.do(step)
            self._configure(self._configured[-1].max_attempts, self._configured[-1].shards)
        elif step.kind is plan.Kind.RESHARDED:
            self._reshard()
        elif step.kind is plan.Kind.TARGETS_DRAIN:
            self._announce(step.subjects, "draining")
            self._schedule.later(step.seconds, self._announce, step.subjects, "ready")
        elif step.kind is plan.Kind.FATAL_ASKED:
            until = self._reactor.seconds() + step.seconds
            key = self._workspaces.listed[0].keys[0] if self._workspaces is not None else ""
            rng = random.Random(step.at)
            self._callers[0].ask_again(step.subjects[0], until, rng, key)
        elif step.kind is plan.Kind.HALL_EVACUATED:
            self._evacuate(step)
        elif step.kind is plan.Kind.HALL_RESTARTS:
            self._halls[step.subjects[0]].kill()
            self._schedule.later(step.seconds, self._halls[step.subjects[0]].start)
        else:
            self._instances.do(step)

    def _begin_drill(self, step: plan.Step) -> None:
        """Let the store come back from an older copy; what changes then is numbered as before."""
        away, rewritten = step.seconds, REWRITTEN_SECONDS
        self._announce(step.subjects, "ready")
        self._store.begin_drill(step.value / 1000, away, rewritten)
        after = store_process.LOST_SECONDS + away + RETURN_SLACK
        self._schedule.later(after, self._announce, step.subjects, "draining")
        self._schedule.later(after, self._reshard)

    def _evacuate(self, step: plan.Step) -> None:
        """Ask for an evacuation, and take it back later."""
        (hall,) = step.subjects
        key = documents.evacuation_key(hall)
        now = self._reactor.seconds()
        self._store.write(key, documents.encoded("{}"))
        self._evacuated.append(history.Evacuated(hall, now, now + step.seconds))
        self._schedule.later(step.seconds, self._store.remove, key)

    def _reshard(self) -> None:
        """Put the other set of shards in force; the targets of both stay."""
        last = self._configured[-1]
        other = SHARDS[1] if last.shards == SHARDS[0] else SHARDS[0]
        self._configure(last.max_attempts, other)

    def _set_faults(self, names: tuple[str, ...], seconds: float, faults: dict[str, Any]) -> None:
        for name in names:
            place = self._places[name]
            self._halls[place.hall].set_fault(place, seconds, **faults)

    def _announce(self, names: tuple[str, ...], state: str) -> None:
        for name in names:
            place = self._places[name]
            self._halls[place.hall].announce(place, state)
            self._note_announced(place.target, state)

    def _note_announced(self, target: str, state: str) -> None:
        """Note when a target leaves; one that says it is ready may be used by who starts then."""
        now = self._reactor.seconds()
        if state == "draining":
            self._left.append(history.Left(target, now))
            return
        self._left = [
            dataclasses.replace(left, end=min(left.end, now)) if left.target == target else left
            for left in self._left
        ]

    def _history(self) -> history.History:
        known = self._workspaces
        return history.History(
            history.read_calls(self._folder),
            history.read_arrivals(self._folder),
            tuple(self._configured),
            {"read": SHELF, "bill": SHELF},
            ALLOWANCE,
            tuple(self._instances.disturbed),
            {"bill": frozenset(HOMES)},
            tuple(self._evacuated),
            tuple(self._store_faults),
            left=tuple(self._left),
            quota_bound=workspaces.BOUND,
            revocation=known.revocation if known is not None else access.Revocation(),
            older_copies=tuple(self._older),
            logged_keys=history.find_logged_keys(self._folder, self._configured),
        )


def _strikes_store(step: plan.Step) -> bool:
    """Say whether the store, or a link to it, has a fault during a step."""
    if step.kind.value.startswith("links_"):
        return any(name.startswith(STORE_LINK) for name in step.subjects)
    return step.kind.value.startswith("store_")
