"""`lineworks-demo`: runs the whole system in one process; takes half a minute at most.

A stand-in platform, the targets of two applications in two data halls and three instances
communicate over TCP on the loopback interface. Searches and non-idempotent part downloads run while
one target stalls, one leaves, a new snapshot replaces the old one and the configuration changes.
The system's guarantees are then checked against records kept by the callers and the targets.
"""

from __future__ import annotations

import json
import random
import sys
import time
from typing import Any

import absl.app
import absl.flags
import rich.console
import rich.progress
import rich.table
import treq
from hdrh import histogram
from twisted.internet import defer
from twisted.web import client as web_client
from twisted.web import http_headers

from lineworks.decisions import catalog
from lineworks.kernel import task
from lineworks.models import settings
from lineworks.programs import _common
from lineworks.services import auth, instance
from lineworks.standins import shapes, site, target_model

_SEARCHES = absl.flags.DEFINE_integer("searches", 300, "Searches to send.", lower_bound=20)
_RUNS = absl.flags.DEFINE_integer("runs", 40, "Unrepeatable downloads to send.", lower_bound=4)
_SEED = absl.flags.DEFINE_integer("seed", 1, "Seed of arrivals and service times.")
_LOG_LEVEL = absl.flags.DEFINE_enum(
    "log_level", "error", ["debug", "info", "warning", "error"], "Least level that is logged."
)

HALLS = ("auckland", "wellington")
SECRET = "demo-secret"
REQUESTS_PER_SECOND = 25.0
DEADLINE_MS = 1500
START_TIMEOUT = 10.0
SCORE_FINDER = shapes.Shape("score-finder", 20, 2, 2, 25, HALLS)
PART_SHELF = shapes.Shape("part-shelf", 1, 4, 4, 100, HALLS)
NEXT_SNAPSHOT = catalog.Snapshot(2, catalog.BASE_LAYOUT)


def _instance_settings(name: str, hall: str, url: str) -> settings.Settings:
    document = {
        "name": name,
        "hall": hall,
        "platform": {"url": url},
        "secret": SECRET,
        "hall_delay_ms": {other: 1.0 for other in HALLS if other != hall},
        "log_level": "error",
    }
    return settings.Settings.model_validate_json(json.dumps(document))


class _CallerResults:
    """Results as seen by the callers."""

    def __init__(self) -> None:
        self.latency = histogram.HdrHistogram(1, 60_000_000, 3)
        self.sent = 0
        self.answered = 0
        self.whole = 0
        self.partial = 0
        self.refused = 0
        self.mixed_snapshots = 0
        self.foreign_replies = 0
        self.late = 0
        self.versions: set[int] = set()
        self.snapshots: set[str] = set()
        self.verdicts: dict[str, int] = {}
        self.ran: list[str] = []
        self.retries = 0
        self.differing_retries = 0
        self.not_run: list[str] = []
        self.sample: dict[str, Any] | None = None

    def record_search(self, request_name: str, seconds: float, document: dict[str, Any]) -> None:
        self.answered += 1
        found = document["verdict"]
        label = f"{found['certainty']} {found['reason']}"
        self.verdicts[label] = self.verdicts.get(label, 0) + 1
        if seconds * 1000 > DEADLINE_MS + 50:
            self.late += 1
        if "coverage" not in document or found["reason"] != "ok":
            self.refused += 1
            return
        self.latency.record_value(int(seconds * 1e6))
        self.versions.add(document["configuration"]["version"])
        self.snapshots.add(document["snapshot"])
        lacking = document["coverage"]["lacking"]
        self.whole += not lacking
        self.partial += bool(lacking)
        stamps = [reply.split("|") for reply in document["replies"].values()]
        self.foreign_replies += any(stamp[0] != request_name for stamp in stamps)
        self.mixed_snapshots += len({stamp[2] for stamp in stamps} | {document["snapshot"]}) > 1
        self.sample = document

    def record_retry(self, first: dict[str, Any], second: dict[str, Any]) -> None:
        self.retries += 1
        is_unknown = second["verdict"]["certainty"] == "MAY_HAVE_RUN"
        is_same = first.get("replies") == second.get("replies")
        self.differing_retries += not (is_same or is_unknown)

    def record_run(self, request_name: str, document: dict[str, Any]) -> None:
        self.answered += 1
        found = document["verdict"]
        label = f"run: {found['certainty']} {found['reason']}"
        self.verdicts[label] = self.verdicts.get(label, 0) + 1
        if found["certainty"] == "RAN":
            self.ran.append(request_name)
        elif found["certainty"] == "NOT_RUN":
            self.not_run.append(request_name)


class _Demo:
    """A run of the demo."""

    def __init__(self, reactor: Any, console: rich.console.Console) -> None:
        self._reactor = reactor
        self._console = console
        self._rng = random.Random(_SEED.value)
        times = target_model.ServiceTimes(median=0.008, sigma=0.4)
        self._site = site.Site(reactor, (SCORE_FINDER, PART_SHELF), times, _SEED.value)
        pool: Any = web_client.HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = 64
        agent: Any = web_client.Agent(reactor, pool=pool)
        self._pool = pool
        self._http = treq.client.HTTPClient(agent)
        self._instances: list[instance.Instance] = []
        self._results = _CallerResults()

    async def run(self) -> int:
        self._site.listen("127.0.0.1")
        for name, hall in (("a1", HALLS[0]), ("w1", HALLS[1]), ("w2", HALLS[1])):
            tier_instance = instance.Instance(
                self._reactor, _instance_settings(name, hall, self._site.platform.url)
            )
            await tier_instance.start()
            self._instances.append(tier_instance)
        first = await self._apply_change(
            {"services": self._site.services(), **_selectors_and_classes(0.5)}, base=0
        )
        self._console.print(f"configuration {first['outcome']}, version {first['version']}")
        await self._until_ready()
        await self._send_requests()
        second_version = max(self._results.versions, default=0)
        self._print_report()
        failed = self._check_guarantees(second_version)
        for tier_instance in self._instances:
            await tier_instance.stop()
        await self._pool.closeCachedConnections()
        await self._site.close()
        return _common.EXIT_FAILED if failed else _common.EXIT_OK

    async def _apply_change(self, file: dict[str, Any], base: int) -> dict[str, Any]:
        change = {"id": f"demo-{base}", "author": "demo", "base": base, "file": file}
        body = json.dumps(change).encode()
        port = self._instances[0].operator_port
        header = auth.sign(SECRET.encode(), "POST", "/v1/changes", body, time.time())
        response = await self._http.post(
            f"http://127.0.0.1:{port}/v1/changes",
            data=body,
            headers=http_headers.Headers({auth.HEADER: [header]}),
        )
        document: dict[str, Any] = json.loads(await response.content())
        return document

    async def _until_ready(self) -> None:
        """Wait until every instance can serve every shard.

        Raises:
            RuntimeError: The instances were not ready in time.
        """
        limit = self._reactor.seconds() + START_TIMEOUT
        while self._reactor.seconds() < limit:
            if all(self._is_ready(tier_instance) for tier_instance in self._instances):
                return
            await task.sleep(self._reactor, 0.05)
        raise RuntimeError("the instances did not become ready in time")

    def _is_ready(self, tier_instance: instance.Instance) -> bool:
        view = tier_instance.query_engine.view
        services = view.config.services.values()
        return bool(services) and all(view.held_snapshots(service.name) for service in services)

    async def _send_requests(self) -> None:
        """Send all requests with Poisson arrivals, without waiting for answers (open loop)."""
        total = _SEARCHES.value + _RUNS.value
        kinds = ["search"] * _SEARCHES.value + ["run"] * _RUNS.value
        self._rng.shuffle(kinds)
        waiting: list[defer.Deferred[None]] = []
        steps = {
            total // 5: self._stall_target,
            2 * total // 5: self._make_target_leave,
            total // 2: self._replace_snapshot,
            7 * total // 10: self._reconfigure,
        }
        with self._progress() as progress:
            bar = progress.add_task("requests", total=total)
            for number, kind in enumerate(kinds):
                step = steps.get(number)
                if step is not None:
                    waiting.append(defer.ensureDeferred(step()))
                call = self._search if kind == "search" else self._download_part
                waiting.append(defer.ensureDeferred(call(number)))
                progress.advance(bar)
                await task.sleep(self._reactor, self._rng.expovariate(REQUESTS_PER_SECOND))
            await defer.gatherResults(waiting)

    def _progress(self) -> rich.progress.Progress:
        return rich.progress.Progress(
            console=self._console, transient=True, disable=not self._console.is_terminal
        )

    async def _stall_target(self) -> None:
        self._site.targets["score-finder-003-a"].model.stall(1.5)

    async def _make_target_leave(self) -> None:
        self._site.targets["score-finder-007-b"].model.leave()

    async def _replace_snapshot(self) -> None:
        """Load the new snapshot on all targets, then unload the old one."""
        self._site.set_snapshots(frozenset({site.FIRST_SNAPSHOT, NEXT_SNAPSHOT}))
        await task.sleep(self._reactor, 1.2)
        self._site.set_snapshots(frozenset({NEXT_SNAPSHOT}))

    async def _reconfigure(self) -> None:
        version = self._instances[0].keeper.version
        await self._apply_change(_selectors_and_classes(0.6), base=version)

    async def _search(self, number: int) -> None:
        request_name = f"search-{number}"
        body = {
            "fields": {"kind": "repertoire"},
            "class": "librarian",
            "workspace": "choir",
            "deadline_ms": DEADLINE_MS,
            "body": f"{request_name}|anthem",
        }
        seconds, document = await self._post("/v1/search", body, {})
        self._results.record_search(request_name, seconds, document)

    async def _download_part(self, number: int) -> None:
        request_name = f"run-{number}"
        body = {
            "service": "part-shelf-000",
            "class": "librarian",
            "workspace": "choir",
            "deadline_ms": DEADLINE_MS,
            "unrepeatable": True,
            "body": f"{request_name}|part",
        }
        _, document = await self._post("/v1/run", body, {"Idempotency-Key": request_name})
        self._results.record_run(request_name, document)
        # The caller retries through another instance, as after a lost connection.
        _, again = await self._post("/v1/run", body, {"Idempotency-Key": request_name})
        self._results.sent -= 1
        self._results.record_retry(document, again)

    async def _post(
        self, path: str, body: dict[str, Any], headers: dict[str, str]
    ) -> tuple[float, dict[str, Any]]:
        self._results.sent += 1
        port = self._instances[self._results.sent % len(self._instances)].caller_port
        started = self._reactor.seconds()
        response = await self._http.post(
            f"http://127.0.0.1:{port}{path}",
            data=json.dumps(body).encode(),
            headers=http_headers.Headers({name: [value] for name, value in headers.items()}),
        )
        document: dict[str, Any] = json.loads(await response.content())
        return self._reactor.seconds() - started, document

    def _print_report(self) -> None:
        results = self._results
        if results.sample is not None:
            sample = {
                **results.sample,
                "replies": dict(list(results.sample["replies"].items())[:2]),
            }
            self._console.print("one answer (two of its replies shown):")
            self._console.print_json(json.dumps(sample))
        table = rich.table.Table(title="searches")
        for column in ("p50 ms", "p99 ms", "max ms", "whole", "partial", "refused", "extra load"):
            table.add_column(column, justify="right")
        quantiles = [results.latency.get_value_at_percentile(p) / 1000 for p in (50, 99, 100)]
        table.add_row(
            *(f"{value:.1f}" for value in quantiles),
            str(results.whole),
            str(results.partial),
            str(results.refused),
            f"{self._extra_load():.2%}",
        )
        self._console.print(table)
        self._console.print(f"verdicts: {results.verdicts}")

    def _extra_load(self) -> float:
        """Return the extra executions per sub-query, as a fraction, from the targets' records."""
        started = [target.model.books.started for target in self._site.targets.values()]
        total: dict[str, int] = {}
        for book in started:
            for request_name, count in book.items():
                if request_name.startswith("search-"):
                    total[request_name] = total.get(request_name, 0) + count
        return sum(count - 1 for count in total.values()) / max(1, len(total))

    def _run_starts(self) -> dict[str, int]:
        total: dict[str, int] = {}
        for target in self._site.targets.values():
            for request_name, count in target.model.books.started.items():
                if request_name.startswith("run-"):
                    name = request_name.partition("/")[0]
                    total[name] = total.get(name, 0) + count
        return total

    def _check_guarantees(self, last_version: int) -> bool:
        """Check the guarantees and print a line for each.

        Returns:
            Whether any guarantee was violated.
        """
        results = self._results
        starts = self._run_starts()
        servers = self._site.targets.values()
        checks = {
            "every request was answered": (results.sent - results.answered, results.sent),
            "no answer came after its deadline": (results.late, results.answered),
            "no answer mixes snapshots": (results.mixed_snapshots, results.whole + results.partial),
            "no answer holds another caller's reply": (results.foreign_replies, results.whole),
            "no unrepeatable request ran twice": (
                sum(1 for count in starts.values() if count > 1),
                len(starts),
            ),
            "what was refused as not run did not run": (
                sum(1 for request_name in results.not_run if starts.get(request_name)),
                len(results.not_run),
            ),
            "what is said to have run did run": (
                sum(1 for request_name in results.ran if not starts.get(request_name)),
                len(results.ran),
            ),
            "a second try with the same key got the first outcome": (
                results.differing_retries,
                results.retries,
            ),
            "a leaving target got no new work after 3 s": (
                sum(server.model.books.started_after_leaving for server in servers),
                len(self._site.targets),
            ),
            "no target saw more connections than its cap": (
                sum(server.refused_connections for server in servers),
                len(self._site.targets),
            ),
            "the new snapshot was served": (int(str(NEXT_SNAPSHOT) not in results.snapshots), 1),
            "the new configuration came in force": (int(last_version != 2), 1),
            "searches were answered whole": (int(results.whole < 0.95 * _SEARCHES.value), 1),
        }
        for text, (broken, counted) in checks.items():
            word = "held  " if not broken else "BROKEN"
            self._console.print(f"{word} {text} ({broken} of {counted} broke it)")
        return any(broken for broken, _ in checks.values())


def _selectors_and_classes(target_latency: float) -> dict[str, Any]:
    policy = {"target_latency_ms": target_latency * 1000}
    selector = {
        "match": {"kind": "repertoire"},
        "group": {"app": SCORE_FINDER.app},
        "policy": policy,
    }
    return {"selectors": {"repertoire": selector}, "classes": {"librarian": {"weight": 2.0}}}


def main(argv: list[str]) -> int:
    """Run the demo.

    Args:
        argv: Program name and the arguments that remain after flag parsing.

    Returns:
        The exit code: 0 only if every guarantee held.
    """
    if len(argv) > 1:
        return _common.fail(f"unexpected argument: {argv[1]}")
    _common.set_up_logs(_LOG_LEVEL.value)
    from twisted.internet import reactor

    demo = _Demo(reactor, rich.console.Console(highlight=False))
    return _common.run_reactor(reactor, demo.run)


def run() -> None:
    """Parse the flags and run the program; the console script's entry point."""
    absl.app.run(lambda argv: sys.exit(main(argv)))
