"""`lineworks-load`: an open-loop load generator that sends searches with Poisson arrivals."""

from __future__ import annotations

import dataclasses
import json
import random
import sys
from typing import Any

import absl.app
import absl.flags
import rich.console
import rich.table
import treq
from hdrh import histogram
from twisted.internet import defer
from twisted.internet import error as net_error
from twisted.web import client as web_client

from lineworks.kernel import task
from lineworks.programs import _common

_ENTRIES = absl.flags.DEFINE_list(
    "entries", ["http://127.0.0.1:8101"], "Caller endpoints, used in turn."
)
_TARGETS = absl.flags.DEFINE_list(
    "targets", [], "Base URLs of stand-in targets whose own counts give the extra load."
)
_CLASSES = absl.flags.DEFINE_list("classes", ["librarian=1"], "Caller classes with shares.")
_FIELDS = absl.flags.DEFINE_string("fields", '{"kind": "repertoire"}', "Query fields as JSON.")
_RATE = absl.flags.DEFINE_float("rate", 20.0, "Searches a second.", 0.01, 5000)
_SECONDS = absl.flags.DEFINE_float("seconds", 10.0, "How long to send.", 0.1, 600)
_DEADLINE = absl.flags.DEFINE_integer("deadline_ms", 1000, "Deadline of each search.", 1, 60000)
_SEED = absl.flags.DEFINE_integer("seed", 1, "Seed of the arrivals.")
_JSON = absl.flags.DEFINE_bool("json", False, "Print figures as JSON.")

GRACE_SECONDS = 2.0
"""Seconds after its deadline until an unanswered search counts as lost."""

_TRY_NEXT_REASONS = ("leaving", "not_ready")
"""Refusals after which a load balancer tries another instance; both mean that nothing ran."""

_QUANTILES = (50.0, 90.0, 99.0, 99.9)


@dataclasses.dataclass
class _ClassStatistics:
    """Results of one caller class, as seen by its callers."""

    latency: Any = dataclasses.field(
        default_factory=lambda: histogram.HdrHistogram(1, 120_000_000, 3)
    )
    sent: int = 0
    answered: int = 0
    lost: int = 0
    late: int = 0
    coverage: float = 0.0
    verdicts: dict[str, int] = dataclasses.field(default_factory=dict)

    def summary(self) -> dict[str, Any]:
        quantiles = {
            f"p{quantile:g}_ms": self.latency.get_value_at_percentile(quantile) / 1000
            for quantile in _QUANTILES
        }
        return {
            "sent": self.sent,
            "answered": self.answered,
            "lost": self.lost,
            "past_deadline": self.late,
            "coverage": round(self.coverage / max(1, self.answered), 6),
            **quantiles,
            "verdicts": self.verdicts,
        }


class _LoadRun:
    """A run of the load generator."""

    def __init__(self, reactor: Any, shares: dict[str, float], fields: dict[str, str]) -> None:
        self._reactor = reactor
        self._rng = random.Random(_SEED.value)
        self._shares = shares
        self._fields = fields
        self._statistics = {name: _ClassStatistics() for name in shares}
        self._shards = 0
        pool: Any = web_client.HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = 256
        self._pool = pool
        agent: Any = web_client.Agent(reactor, pool=pool)
        self._http = treq.client.HTTPClient(agent)

    async def run(self) -> int:
        before = await self._count_target_starts()
        waiting = []
        end = self._reactor.seconds() + _SECONDS.value
        due = self._reactor.seconds()
        number = 0
        while due < end:
            names = list(self._shares)
            name = self._rng.choices(names, [self._shares[key] for key in names])[0]
            waiting.append(defer.ensureDeferred(self._search(number, name, due)))
            number += 1
            due += self._rng.expovariate(_RATE.value)
            await task.sleep(self._reactor, max(0.0, due - self._reactor.seconds()))
        await defer.gatherResults(waiting)
        self._print(before, await self._count_target_starts())
        await self._pool.closeCachedConnections()
        broken = sum(statistics.lost + statistics.late for statistics in self._statistics.values())
        return _common.EXIT_FAILED if broken else _common.EXIT_OK

    async def _search(self, number: int, caller_class: str, due: float) -> None:
        """Send a search; its latency is measured from its scheduled time."""
        statistics = self._statistics[caller_class]
        statistics.sent += 1
        body = {
            "fields": self._fields,
            "class": caller_class,
            "body": f"load-{_SEED.value}-{number}|query",
        }
        try:
            document = await self._post(number, body, due)
        except Exception as error:
            statistics.lost += 1
            label = type(error).__name__
            statistics.verdicts[label] = statistics.verdicts.get(label, 0) + 1
            return
        self._record(statistics, document, self._reactor.seconds() - due)

    async def _post(self, number: int, body: dict[str, Any], due: float) -> dict[str, Any]:
        """Try one instance after another until one accepts the search, as a load balancer would.

        Each gets the time that remains until the deadline, counted from the scheduled time.
        """
        entries = _ENTRIES.value
        limit = _DEADLINE.value / 1000 + GRACE_SECONDS
        for offset in range(len(entries)):
            entry = entries[(number + offset) % len(entries)]
            is_last = offset == len(entries) - 1
            spent = (self._reactor.seconds() - due) * 1000
            left = max(1, _DEADLINE.value - round(spent))
            data = json.dumps({**body, "deadline_ms": left}).encode()
            try:
                response = await self._http.post(f"{entry}/v1/search", data=data, timeout=limit)
            except net_error.ConnectError:
                if is_last:
                    raise
                continue
            document: dict[str, Any] = json.loads(await response.content())
            if is_last or document["verdict"]["reason"] not in _TRY_NEXT_REASONS:
                return document
        raise AssertionError("there is always a last entry")

    def _record(
        self, statistics: _ClassStatistics, document: dict[str, Any], seconds: float
    ) -> None:
        found = document["verdict"]
        label = f"{found['certainty']} {found['reason']}"
        statistics.verdicts[label] = statistics.verdicts.get(label, 0) + 1
        statistics.late += seconds * 1000 > _DEADLINE.value + 50
        if "coverage" in document:
            coverage = document["coverage"]
            self._shards += len(coverage["covered"]) + len(coverage["lacking"])
        if found["reason"] == "ok":
            statistics.answered += 1
            statistics.coverage += document["coverage"]["share"]
            statistics.latency.record_value(int(seconds * 1e6))

    async def _count_target_starts(self) -> int:
        """Return the total number of executions that the targets started."""
        total = 0
        for url in _TARGETS.value:
            response = await self._http.get(f"{url}/v1/books")
            total += json.loads(await response.content())["started"]
        return total

    def _print(self, before: int, after: int) -> None:
        classes = {name: statistics.summary() for name, statistics in self._statistics.items()}
        document: dict[str, Any] = {"classes": classes}
        if _TARGETS.value:
            document["extra_load"] = (after - before - self._shards) / max(1, self._shards)
        if _JSON.value:
            print(json.dumps(document, indent=1))
            return
        console = rich.console.Console(highlight=False)
        for name, summary in classes.items():
            table = rich.table.Table(title=f"class {name}", show_header=False)
            for key, value in summary.items():
                table.add_row(key, f"{value:.2f}" if isinstance(value, float) else str(value))
            console.print(table)
        if "extra_load" in document:
            console.print(f"extra load on targets: {document['extra_load']:.2%}")


def _parse_classes(parts: list[str]) -> dict[str, float]:
    shares = {}
    for part in parts:
        name, _, share = part.partition("=")
        shares[name] = float(share or "1")
    return shares


def main(argv: list[str]) -> int:
    """Run the load generator.

    Args:
        argv: Program name and the arguments that remain after flag parsing.

    Returns:
        The exit code: 0 when no search was lost or late, 1 when some were, 2 for invalid arguments.
    """
    if len(argv) > 1:
        return _common.fail(f"unexpected argument: {argv[1]}")
    try:
        shares = _parse_classes(_CLASSES.value)
    except ValueError:
        return _common.fail("--classes: expected NAME=SHARE,...")
    try:
        fields = json.loads(_FIELDS.value)
    except ValueError as error:
        return _common.fail(f"--fields: not JSON: {error}")
    _common.set_up_logs("warning")
    from twisted.internet import reactor

    load = _LoadRun(reactor, shares, fields)
    return _common.run_reactor(reactor, load.run)


def run() -> None:
    """Parse the flags and run the program; the console script's entry point."""
    absl.app.run(lambda argv: sys.exit(main(argv)))
