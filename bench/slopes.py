"""Measures what one more target, shard, peer, sub-query or message costs: `make slopes`.

Writes `bench/slopes.json`, from which `bench.capacity` makes docs/CAPACITY.md.
"""

from __future__ import annotations

import functools
import json
import pathlib
import sys
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

import structlog
from twisted.internet import defer

from bench import control, runner, scenario, search_path
from lineworks.decisions import catalog, changes, ownership, replicas, verdict
from lineworks.engine import messages, views
from lineworks.models import configuration
from lineworks.services import config_store
from lineworks.wire import codec, frames

OUT = pathlib.Path(__file__).with_name("slopes.json")
"""Where the figures are kept."""

_BODY = b"x" * 60
_SNAPSHOT = catalog.Snapshot(7, catalog.BASE_LAYOUT)
_FANOUTS = (20, 100, 400, 820)
_SIZES = (10, 100, 1000, 2100)


def _microseconds(call: Callable[[], Any], repeats: int) -> float:
    """Time a call; the best of three rounds, in microseconds."""
    best = float("inf")
    for _ in range(3):
        started = time.process_time()
        for _ in range(repeats):
            call()
        best = min(best, (time.process_time() - started) / repeats)
    return round(best * 1e6, 3)


def _bytes_each(make: Callable[[int], Any], count: int) -> float:
    """Measure the memory of one of many objects."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = [make(number) for number in range(count)]
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert len(kept) == count
    return round((after - before) / count, 1)


def _target(number: int) -> catalog.Target:
    service = f"service-{number // 2:05d}"
    return catalog.Target(f"{service}-{number % 2}", service, "hall", "127.0.0.1", 1, 2, 25)


def _service(number: int) -> catalog.Service:
    name = f"service-{number:05d}"
    targets = (_target(2 * number), _target(2 * number + 1))
    return catalog.Service(name, {"app": "a"}, {"base": (name,)}, targets)


def _replica(number: int) -> replicas.Replica:
    replica = replicas.make_replica(_target(number))
    replica.on_report(0.0, replicas.StatusReport(f"i-{number}", frozenset({_SNAPSHOT})))
    return replica


def measure_memory() -> dict[str, float]:
    """Measure the memory of the state that grows with the fleet.

    Returns:
        Bytes for one of each.
    """
    return {
        "target_at_owner": _bytes_each(_replica, 2000),
        "service_in_catalog": _bytes_each(_service, 2000),
        "holding_of_service": _bytes_each(
            lambda n: (f"service-{n:05d}", frozenset({_SNAPSHOT})), 2000
        ),
        "selector": _bytes_each(
            lambda n: catalog.Selector(f"q-{n}", {"kind": str(n)}, {"app": "a"}, catalog.Policy()),
            2000,
        ),
        "member": _bytes_each(lambda n: (f"instance-{n}", f"hall-{n % 9}"), 2000),
    }


def _sub_queries(count: int) -> messages.SubQueries:
    names = tuple(f"service-{number:05d}" for number in range(count))
    return messages.SubQueries(1, "q-1", "hall", _SNAPSHOT, names, names, _BODY, 1.0)


def _replies(count: int) -> frames.Replies:
    return frames.Replies(
        tuple(
            messages.ShardReply(1, n, verdict.OK, _SNAPSHOT, _BODY, 0.001, "target", 1)
            for n in range(count)
        )
    )


def measure_codec() -> dict[str, dict[str, float]]:
    """Measure frames of several sizes.

    Returns:
        For each batch size, microseconds and bytes for one sub-query.
    """
    found = {}
    for count in (1, 7, 50):
        asked, replied = _sub_queries(count), _replies(count)
        asked_bytes, replied_bytes = codec.encode(asked, 0.0), codec.encode(replied, 0.0)
        found[str(count)] = {
            "ask_encode_us": round(
                _microseconds(functools.partial(codec.encode, asked, 0.0), 500) / count, 2
            ),
            "ask_decode_us": round(
                _microseconds(functools.partial(codec.decode, asked_bytes, 0.0), 500) / count, 2
            ),
            "reply_encode_us": round(
                _microseconds(functools.partial(codec.encode, replied, 0.0), 500) / count, 2
            ),
            "reply_decode_us": round(
                _microseconds(functools.partial(codec.decode, replied_bytes, 0.0), 500) / count, 2
            ),
            "ask_bytes": round(len(asked_bytes) / count, 1),
            "reply_bytes": round(len(replied_bytes) / count, 1),
        }
    return found


def measure_engine() -> dict[str, float]:
    """Measure the decisions and the machinery without any socket.

    Returns:
        Microseconds of processor time for one sub-query at a front with its gatherer, by fan-out.
    """
    found = {}
    for fanout in _FANOUTS:
        plan = _plan(fanout, 0.2, searches=max(20, 2000 // fanout), median_ms=20.0)
        run = runner.Run(plan, 1, runner.POLICIES["lineworks"]())
        started = time.process_time()
        figures = run.finish()
        spent = time.process_time() - started
        found[str(fanout)] = round(spent / max(1, figures["sub_queries"]) * 1e6, 1)
    return found


def _plan(fanout: int, load: float, searches: int, median_ms: float) -> scenario.Scenario:
    capacity = 4 / (median_ms / 1000 * 1.1331 * 1.09)
    return scenario.Scenario.model_validate(
        {
            "name": f"fan-out-{fanout}",
            "deployment": {
                "halls": [{"name": "h1", "instances": 2}, {"name": "h2", "instances": 2}],
                "services": fanout,
            },
            "times": {"median_ms": median_ms},
            "load": load,
            "seconds": 2.0 + searches / (capacity * load),
            "warm_up": 2.0,
            "run_share": 0.0,
        },
        strict=False,
    )


def measure_tail() -> dict[str, dict[str, float]]:
    """Run the bench at several fan-outs at load 0.3.

    Returns:
        For each fan-out, p99 relative to the oracle's and the extra load.
    """
    found = {}
    for fanout in _FANOUTS:
        plan = _plan(fanout, 0.3, searches=100, median_ms=20.0)
        report = runner.run_all(plan, 1, ("lineworks", "oracle"))
        ours = report["policies"]["lineworks"]
        found[str(fanout)] = {
            "p99_ms": ours["p99_ms"],
            "oracle_p99_ms": report["policies"]["oracle"]["p99_ms"],
            "extra_load": ours["extra_load"],
        }
    return found


def measure_ownership() -> dict[str, dict[str, float]]:
    """Measure how ownership moves and what it costs to compute.

    Returns:
        For each number of instances in one hall, the share of owned places that change when one
        instance goes, and microseconds to find the owners of a service.
    """
    found = {}
    for size in _SIZES:
        names = [f"instance-{number}" for number in range(size)]
        services = [f"service-{number}" for number in range(200)]
        before = [ownership.owners(name, names, 3) for name in services]
        after = [ownership.owners(name, names[1:], 3) for name in services]
        moved = sum(len(set(b) - set(a)) for b, a in zip(before, after, strict=True))
        found[str(size)] = {
            "moved_share": round(moved / (3 * len(services)), 6),
            "owners_us": _microseconds(
                functools.partial(ownership.owners, "service-1", names, 3), max(5, 2000 // size)
            ),
        }
    return found


def measure_control() -> dict[str, Any]:
    """Measure heartbeats, changes and a small fleet's control traffic.

    Returns:
        Bytes and microseconds of each, and idle figures for one instance by number of links.
    """
    beat = frames.Heartbeat(False, 12345, "f" * 64)
    beat_bytes = codec.encode(beat, 0.0)
    item = configuration.canonical(
        {
            "labels": {"app": "a"},
            "layouts": {"base": ["s"]},
            "targets": [
                {
                    "name": f"t{n}",
                    "hall": "h",
                    "host": "127.0.0.1",
                    "port": 1,
                    "slots": 2,
                    "connections": 25,
                    "leaving": False,
                }
                for n in range(2)
            ],
        }
    )
    head = changes.EMPTY_HEAD
    for number in range(changes.KEPT_CHANGES):
        puts = {"service/a": changes.content_digest(str(number))}
        head = changes.extend(head, f"{number:016x}", "operator", puts, (), "m" * 64)
    idle = {}
    for count in (3, 7, 15):
        fleet = control.Control({"h1": count, "h2": count, "h3": count}, seed=1)
        fleet.start()
        fleet.clock.run_until(15.0)
        first = next(iter(fleet.instances.values()))
        defer.ensureDeferred(first.store.apply({"service/a": item}, 0, "first", "operator"))
        fleet.clock.run_until(60.0)
        sent = sum(item.links.sent_bytes for item in fleet.instances.values())
        calls = sum(fleet.platform.calls.values())
        started = time.process_time()
        fleet.clock.run_until(120.0)
        spent = time.process_time() - started
        size = len(fleet.instances)
        after = sum(item.links.sent_bytes for item in fleet.instances.values())
        idle[str(size - 1)] = {
            "bytes_per_second": round((after - sent) / 60 / size, 1),
            "instances": size,
            "platform_calls_per_second": round(
                (sum(fleet.platform.calls.values()) - calls) / 60, 4
            ),
            "processor_share": round(spent / 60 / size, 6),
        }
    return {
        "heartbeat_bytes": len(beat_bytes) + 4,
        "heartbeat_encode_us": _microseconds(lambda: codec.encode(beat, 0.0), 2000),
        "heartbeat_decode_us": _microseconds(lambda: codec.decode(beat_bytes, 0.0), 2000),
        "service_item_bytes": len(item),
        "head_bytes": len(config_store.head_to_json(head)),
        "follow_head_us": _microseconds(
            lambda: changes.follow(head.version - 1, head.changes[-2].digest, head), 50
        ),
        "idle_by_links": idle,
    }


def measure_view() -> dict[str, float]:
    """Measure planning over a large catalog.

    Returns:
        Microseconds to find the paths of one service after the view changed.
    """
    services = {f"service-{n:05d}": _service(n) for n in range(6500)}
    view = views.ClusterView("instance-0", "hall", lambda hall: 0.001)
    view.set_config(catalog.Catalog(1, "d", services, ()), {})
    view.set_members({f"instance-{n}": "hall" for n in range(233)})
    service = services["service-00001"]

    def find() -> None:
        view.set_holdings("instance-0", {service.name: frozenset({_SNAPSHOT})})
        view.paths(service, _SNAPSHOT)

    return {"paths_of_service_us": _microseconds(find, 20)}


def measure_search_path() -> dict[str, dict[str, float]]:
    """Measure where the processor time of a search on the users' platform goes.

    Returns:
        For each number of shards, microseconds for one sub-query by step; the best of three rounds.
    """
    return {
        str(shards): min(
            (search_path.measure(shards) for _ in range(3)), key=lambda found: sum(found.values())
        )
        for shards in search_path.FANOUTS
    }


_PARTS: dict[str, Callable[[], Any]] = {
    "memory_bytes": measure_memory,
    "codec_by_batch": measure_codec,
    "engine_us_by_fanout": measure_engine,
    "tail_by_fanout": measure_tail,
    "ownership_by_instances": measure_ownership,
    "control": measure_control,
    "view": measure_view,
    "search_path": measure_search_path,
}


def main(argv: list[str]) -> None:
    """Measure the parts named, or all, and write the figures beside those kept.

    Args:
        argv: Program name and names of parts.
    """
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    document = json.loads(OUT.read_text()) if OUT.exists() else {}
    for name in argv[1:] or _PARTS:
        document[name] = _PARTS[name]()
        print(f"measured {name}", file=sys.stderr)
    OUT.write_text(json.dumps(document, indent=1) + "\n")


if __name__ == "__main__":
    main(sys.argv)
