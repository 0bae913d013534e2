"""`python -m bench --scenario FILE --seed N --json OUT`."""

from __future__ import annotations

import json
import pathlib
import sys

import absl.app
import absl.flags

from bench import runner, scenario

_SCENARIO = absl.flags.DEFINE_string("scenario", None, "Scenario file.", required=True)
_SEED = absl.flags.DEFINE_integer("seed", 1, "Seed of everything random.")
_OUT = absl.flags.DEFINE_string("json", None, "File to write the report to.")
_POLICIES = absl.flags.DEFINE_list("policies", list(runner.POLICIES), "Policies to run.")

_COLUMNS = ("p50_ms", "p99_ms", "p999_ms", "coverage", "extra_load", "goodput", "refused", "failed")
_COUNTS = ("doubled", "lost", "mixed", "crossed", "past_deadline", "untrue", "cap_exceeded")


def _main(argv: list[str]) -> int:
    del argv
    unknown = [name for name in _POLICIES.value if name not in runner.POLICIES]
    if unknown:
        print(f"error: --policies: unknown {unknown[0]!r}", file=sys.stderr)
        return 2
    try:
        plan = scenario.load(_SCENARIO.value)
    except scenario.ScenarioError as error:
        print(f"error: {error}", file=sys.stderr)
        return 2
    report = runner.run_all(plan, _SEED.value, tuple(_POLICIES.value))
    if _OUT.value:
        pathlib.Path(_OUT.value).write_text(json.dumps(report, indent=1) + "\n")
    print(f"{plan.name}, seed {_SEED.value}")
    for name, figures in report["policies"].items():
        shown = " ".join(f"{column}={figures[column]}" for column in _COLUMNS)
        broken = " ".join(f"{c}={figures[c]}" for c in _COUNTS if figures[c])
        print(f"  {name:18} {shown} {broken}")
    if "p99_over_oracle" in report:
        print(f"  p99 over oracle: {report['p99_over_oracle']}")
    return 0


if __name__ == "__main__":
    absl.app.run(lambda argv: sys.exit(_main(argv)))
