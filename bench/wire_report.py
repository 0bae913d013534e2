"""Reads processor time and memory of running processes for `bench/wire.sh`."""

from __future__ import annotations

import json
import os
import pathlib
import sys
from typing import Any

_TICKS = os.sysconf("SC_CLK_TCK")
_BEFORE = pathlib.Path("out/wire-before.json")
_LOAD = pathlib.Path("out/wire-load.json")


def _processor_seconds(pid: str) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS


def _peak_memory_mb(pid: str) -> float:
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024
    return 0.0


def _before(front: str, gatherer: str) -> dict[str, float]:
    return {"front": _processor_seconds(front), "gatherer": _processor_seconds(gatherer)}


def _after(
    front: str, gatherer: str, fanout: str, mode: str, started: str, ready: str
) -> dict[str, Any]:
    before = json.loads(_BEFORE.read_text())
    load = json.loads(_LOAD.read_text())["classes"]["librarian"]
    now = _before(front, gatherer)
    searches = max(1, load["answered"])
    spent = {role: (now[role] - before[role]) / searches * 1000 for role in now}
    row = {
        "fanout": int(fanout),
        "mode": mode,
        "searches": load["answered"],
        "failed": load["sent"] - load["answered"],
        "p50_ms": round(load["p50_ms"], 1),
        "p99_ms": round(load["p99_ms"], 1),
        "front_ms_per_search": round(spent["front"], 3),
        "front_us_per_sub_query": round(spent["front"] * 1000 / int(fanout), 1),
        "front_peak_mb": round(_peak_memory_mb(front), 1),
        "start_up_s": round(float(ready) - float(started), 2),
    }
    if mode == "relay":
        row["gatherer_ms_per_search"] = round(spent["gatherer"], 3)
        row["gatherer_us_per_sub_query"] = round(spent["gatherer"] * 1000 / int(fanout), 1)
        row["gatherer_peak_mb"] = round(_peak_memory_mb(gatherer), 1)
    return row


def _join(rows: str, out: str) -> None:
    lines = pathlib.Path(rows).read_text().splitlines()
    document = {"rows": [json.loads(line) for line in lines]}
    pathlib.Path(out).write_text(json.dumps(document, indent=1) + "\n")


def main(argv: list[str]) -> None:
    """Carry out one step of the measurement.

    Args:
        argv: The step and its arguments.
    """
    step, arguments = argv[1], argv[2:]
    if step == "before":
        print(json.dumps(_before(*arguments)))
    elif step == "after":
        print(json.dumps(_after(*arguments)))
    else:
        _join(*arguments)


if __name__ == "__main__":
    main(sys.argv)
