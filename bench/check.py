"""Holds the bench's figures against `bench/bounds.json`.

`python -m bench.check DIR` checks the reports in a folder; `python -m bench.check --short` runs the
short set itself. Counts of broken promises must be zero everywhere; the other bounds are upper
bounds by scenario, `share_answered` and `coverage` lower ones.
"""

from __future__ import annotations

import json
import pathlib
import sys
from typing import Any

from bench import runner, scenario

BOUNDS = pathlib.Path(__file__).with_name("bounds.json")
"""The regression bounds."""

ZERO_COUNTS = (
    "doubled",
    "lost",
    "mixed",
    "crossed",
    "past_deadline",
    "untrue",
    "cap_exceeded",
    "work_after_leaving",
)
"""Counts of broken promises."""

_SHORT_SEED = 1


def problems(name: str, report: dict[str, Any], bounds: dict[str, float]) -> list[str]:
    """Hold one report against its bounds.

    Args:
        name: Name of the scenario.
        report: The report.
        bounds: Bounds of the scenario.

    Returns:
        One line for each bound that is broken.
    """
    figures = report["policies"]["lineworks"]
    found = [
        f"{name}: {count} = {figures[count]}, must be 0"
        for count in ZERO_COUNTS
        if figures[count] > bounds.get(f"{count}_allowed", 0)
    ]
    ratio = report.get("p99_over_oracle", {}).get("lineworks", 0.0)
    share = figures["answered"] / max(1, figures["sent"])
    for key, value, is_upper in (
        ("p99_over_oracle", ratio, True),
        ("extra_load", figures["extra_load"], True),
        ("share_answered", share, False),
        ("coverage", figures["coverage"], False),
    ):
        bound = bounds.get(key)
        if bound is not None and (value > bound if is_upper else value < bound):
            found.append(f"{name}: {key} = {value:.4f}, bound {bound}")
    return found


def _check_folder(folder: str, bounds: dict[str, Any]) -> list[str]:
    found = []
    for path in sorted(pathlib.Path(folder).glob("*.json")):
        report = json.loads(path.read_text())
        name = report["scenario"]
        found += problems(name, report, bounds["scenarios"].get(name, {}))
    return found


def _check_short(bounds: dict[str, Any]) -> list[str]:
    """Run the short set: fewer seconds of some scenarios, one seed, two policies."""
    found = []
    for name, limits in bounds["short"].items():
        path = BOUNDS.parent / "scenarios" / f"{limits['scenario']}.json"
        plan = scenario.load(str(path)).model_copy(update={"seconds": limits["seconds"]})
        report = runner.run_all(plan, _SHORT_SEED, ("lineworks", "oracle"))
        found += problems(name, report, limits)
        figures = report["policies"]["lineworks"]
        print(f"{name}: p99 {figures['p99_ms']} ms, extra load {figures['extra_load']}")
    return found


def main(argv: list[str]) -> int:
    """Check reports.

    Args:
        argv: Program name and a folder, or `--short`.

    Returns:
        0 when every bound holds, 1 when one is broken, 2 for bad arguments.
    """
    if len(argv) != 2:
        print("usage: python -m bench.check DIR | --short", file=sys.stderr)
        return 2
    bounds = json.loads(BOUNDS.read_text())
    found = _check_short(bounds) if argv[1] == "--short" else _check_folder(argv[1], bounds)
    for line in found:
        print(line, file=sys.stderr)
    print(f"{len(found)} bounds broken")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv))
