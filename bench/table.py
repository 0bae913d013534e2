"""`python -m bench.table DIR`: writes the reports of a folder as a Markdown table."""

from __future__ import annotations

import json
import pathlib
import sys
from typing import Any

_HEAD = (
    "| scenario | p99 random | p99 p95-hedge | p99 lineworks | p99 oracle | over oracle "
    "| extra p95-hedge | extra lineworks | answered | refused | coverage | broken |"
)


def _broken(figures: dict[str, Any]) -> int:
    from bench import check

    return sum(figures[count] for count in check.ZERO_COUNTS)


def row(report: dict[str, Any]) -> str:
    """Write one report as a row.

    Args:
        report: The report.

    Returns:
        A line of Markdown.
    """
    policies = report["policies"]
    ours = policies["lineworks"]
    p99 = [
        f"{policies[name]['p99_ms']:.0f}"
        for name in ("baseline_random", "baseline_p95_hedge", "lineworks", "oracle")
    ]
    cells = [
        report["scenario"],
        *p99,
        f"{report['p99_over_oracle']['lineworks']:.2f}",
        f"{policies['baseline_p95_hedge']['extra_load']:.2%}",
        f"{ours['extra_load']:.2%}",
        f"{ours['answered']}/{ours['sent']}",
        str(ours["refused"]),
        f"{ours['coverage']:.4f}",
        str(_broken(ours)),
    ]
    return "| " + " | ".join(cells) + " |"


def main(argv: list[str]) -> None:
    """Print the table.

    Args:
        argv: Program name and the folder.
    """
    print(_HEAD)
    print("|" + "---|" * (_HEAD.count("|") - 1))
    for path in sorted(pathlib.Path(argv[1]).glob("*.json")):
        print(row(json.loads(path.read_text())))


if __name__ == "__main__":
    main(sys.argv)
