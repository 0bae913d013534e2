"""Where the processor time of a search goes: `python -m bench.search_path [SHARDS...]`.

Whole instances on a network in memory serve searches, and a timer looks each millisecond of
processor time at what is being done. What the stand-ins do (network, targets, clock) is told apart;
sockets and the kernel are not there at all. The figures are those of all instances together, so a
sub-query through a gatherer counts with both ends.
"""

from __future__ import annotations

import collections
import gc
import pathlib
import random
import signal
import sys
import time
from typing import TYPE_CHECKING, Any

import structlog

import lineworks
from bench import fakes
from lineworks.programs import node
from lineworks.standins import deployment

if TYPE_CHECKING:
    from types import FrameType

FANOUTS = (90, 135)
"""Shards of the searches that are measured."""

INSTANCES = 5
"""Instances of each hall."""

SEARCHES = 400
"""Searches that are measured."""

WARM_UP = 100
"""Searches before them, which open connections and teach what targets take."""

GAP = 0.02
"""Seconds between searches."""

TAIL = 0.3
"""Seconds after the last search in which it ends."""

WORK = (0.00125, 0.00375)
"""Seconds that a target takes: least and most."""

SAMPLE_SECONDS = 0.001
"""Seconds of processor time between looks."""

_SOURCES = pathlib.Path(lineworks.__path__[0])
STAND_INS = "stand-ins"
"""Step of what isn't part of the product."""

_LEARNING = "learning"
_STEPS = {
    "choosing targets": (
        "forwarding/target_book.py",
        "forwarding/target_state.py",
        "forwarding/attempts.py",
        "decisions/replicas.py",
        "decisions/hall_ways.py",
        "decisions/limits.py",
    ),
    "search": (
        "forwarding/search.py",
        "forwarding/search_attempts.py",
        "forwarding/search_state.py",
        "forwarding/search_hedges.py",
        "forwarding/caution.py",
        "decisions/work_split.py",
        "decisions/extra_attempts.py",
        "decisions/verdict.py",
    ),
    "gathering": ("forwarding/gathering.py", "forwarding/gatherers.py"),
    "calls and connections": (
        "forwarding/target_calls.py",
        "forwarding/_connection_pool.py",
        "forwarding/answers.py",
    ),
    "reading and writing HTTP": ("http1/", "platform/headers.py"),
    "messages between instances": ("wire/", "services/peer_link"),
    _LEARNING: (
        "forwarding/target_learning.py",
        "forwarding/target_sightings.py",
        "decisions/estimators.py",
        "decisions/target_evidence.py",
        "decisions/hedging.py",
    ),
    "merging": ("decisions/parts.py",),
    STAND_INS: ("standins/", "platform/standins/"),
}
"""Steps, each with the sources that belong to it."""

_OTHERS = "front, logs, timers, others"


class Sampler:
    """Counts, for each step, how often it was met at work."""

    def __init__(self) -> None:
        """Start without samples."""
        self.counts: collections.Counter[str] = collections.Counter()
        self._known: dict[Any, str | None] = {}

    def start(self) -> None:
        """Begin to look."""
        signal.signal(signal.SIGPROF, self._on_signal)
        signal.setitimer(signal.ITIMER_PROF, SAMPLE_SECONDS, SAMPLE_SECONDS)

    def stop(self) -> None:
        """Look no more."""
        signal.setitimer(signal.ITIMER_PROF, 0.0)

    def _on_signal(self, number: int, frame: FrameType | None) -> None:
        # What libraries do counts for the step that called them.
        while frame is not None:
            code = frame.f_code
            if code not in self._known:
                self._known[code] = _step_of(code.co_filename, code.co_name)
            step = self._known[code]
            if step is not None:
                self.counts[step] += 1
                return
            frame = frame.f_back


def _step_of(filename: str, function: str) -> str | None:
    path = pathlib.Path(filename)
    if path == pathlib.Path(fakes.__file__):
        return STAND_INS
    if not path.is_relative_to(_SOURCES):
        return None
    name = str(path.relative_to(_SOURCES))
    if name == "forwarding/target_book.py" and function.startswith("note_"):
        return _LEARNING
    # The last match, since stand-ins lie below directories that belong to other steps.
    found = [step for step, parts in _STEPS.items() if name.startswith(parts)]
    return found[-1] if found else _OTHERS


class Bench:
    """A deployment that serves searches."""

    def __init__(self, shards: int) -> None:
        """Start it, and let it learn.

        Args:
            shards: Shards of a search, each with a target in every hall.
        """
        self._rng = random.Random(shards)
        self._world = deployment.Deployment(fakes.VirtualClock())
        services = [f"s{number:03d}" for number in range(shards)]
        for service in services:
            for hall in deployment.HALLS:
                self._world.add_target(service, hall, lambda: self._rng.uniform(*WORK))
        search = {
            "Name": "search",
            "PathPrefix": "/search/",
            "Fanout": services,
            "TopK": 5,
            "OldestVersion": 0.85,
            "SloMs": 80,
        }
        self._world.configure([search])
        for number in range(INSTANCES):
            for hall in deployment.HALLS:
                self._world.add_node(f"{hall}-{number}", hall)
        self._world.run(6.0)
        self.serve(WARM_UP)

    def serve(self, searches: int) -> None:
        """Serve searches, one after the other, at instances drawn by chance."""
        names = sorted(self._world.nodes)
        replies = []
        for _ in range(searches):
            replies.append(self._world.ask(self._rng.choice(names), "/search/q"))
            self._world.run(GAP)
        self._world.run(TAIL)
        assert all(reply.status == 200 for reply in replies)

    def rest(self, searches: int) -> None:
        """Let as much time pass as these searches take."""
        self._world.run(searches * GAP + TAIL)


def measure(shards: int, searches: int = SEARCHES) -> dict[str, float]:
    """Measure searches.

    Args:
        shards: Shards of each.
        searches: How many.

    Returns:
        Microseconds for one sub-query by step, without what the instances do at rest.
    """
    bench = Bench(shards)
    # As a process does; the instances of a whole deployment would be looked through otherwise.
    gc.collect()
    gc.freeze()
    gc.set_threshold(node.GC_THRESHOLD)
    sampler, resting = Sampler(), Sampler()
    resting.start()
    bench.rest(searches)
    resting.stop()
    began = time.process_time()
    sampler.start()
    bench.serve(searches)
    sampler.stop()
    spent = time.process_time() - began
    each = spent / sum(sampler.counts.values()) / searches / shards * 1e6
    steps = [*_STEPS, _OTHERS]
    return {step: (sampler.counts[step] - resting.counts[step]) * each for step in steps}


def main(argv: list[str]) -> None:
    """Print a table.

    Args:
        argv: Program name, and numbers of shards if not the usual ones.
    """
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    for shards in map(int, argv[1:] or FANOUTS):
        found = measure(shards)
        own = sum(spent for step, spent in found.items() if step != STAND_INS)
        print(f"{shards} shards: {own:.0f} us a sub-query")
        for step, spent in found.items():
            print(f"  {step:30} {spent:6.1f}")


if __name__ == "__main__":
    main(sys.argv)
