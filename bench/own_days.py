"""Writes days of our own for the users' bench: three kinds of trouble at one moment, over and over.

`python -m bench.own_days SITE FOLDER --seed N` deals all troubles that a site lists into groups
of three, four groups a day, so that every kind comes once in a few days and beside other kinds
with each seed. The bench plays them as it plays its own days.
"""

from __future__ import annotations

import pathlib
import random
import sys
import tomllib
from typing import Any

import absl.flags

GROUP = 3
"""Kinds that strike at one moment."""

MOMENTS = (2.0, 10.0, 18.0, 26.0)
"""Seconds from the start of traffic at which the groups strike."""

STAGGER = 0.4
"""Seconds between the kinds of one group at most."""

CLOSINGS = ("power_off_all", "kill_all", "wipe_after_ack")
DOWN_SECONDS = 1.2
PLANNED = frozenset(
    (
        "add_nodes",
        "big_config",
        "config_change",
        "config_storm",
        "hup",
        "release",
        "reshard",
        "revoke",
        "roll_term",
        "scale_in",
        "scale_out",
    )
)
"""Kinds that are planned work; all others are faults."""


def deal(troubles: list[dict[str, Any]], seed: int) -> list[list[dict[str, Any]]]:
    """Deal troubles into days.

    Args:
        troubles: The site's list.
        seed: Decides who meets whom.

    Returns:
        For each day its entries, each with its moment. The last day is filled up from the start.
    """
    rng = random.Random(seed)
    left = list(troubles)
    rng.shuffle(left)
    size = GROUP * len(MOMENTS)
    days = []
    for begin in range(0, len(left), size):
        entries = left[begin : begin + size]
        entries += left[: size - len(entries)]
        day = []
        for number, entry in enumerate(entries):
            at = MOMENTS[number // GROUP] + rng.random() * STAGGER
            day.append({**entry, "at": round(at, 2)})
        days.append(day)
    return days


def write_value(value: Any) -> str:
    """Write a value in TOML, on one line.

    Args:
        value: A text, a number, a truth value, a list or a table.

    Returns:
        Its text.
    """
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        escaped = value.replace("\\", "\\\\").replace('"', '\\"')
        return f'"{escaped}"'
    if isinstance(value, dict):
        return (
            "{ " + ", ".join(f"{key} = {write_value(item)}" for key, item in value.items()) + " }"
        )
    if isinstance(value, list):
        return "[" + ", ".join(write_value(item) for item in value) + "]"
    return str(value)


def write_day(
    name: str, seed: int, entries: list[dict[str, Any]], usual: dict[str, Any], closing: str
) -> str:
    """Write one day.

    Args:
        name: Its name.
        seed: Its seed.
        entries: Its troubles.
        usual: A day of the site with trouble, for what is no trouble.
        closing: Kind of its final fault.

    Returns:
        A TOML document.
    """
    day = {key: value for key, value in usual.items() if key not in ("plan", "faults", "labels")}
    day["name"] = name
    day["seed"] = seed
    day["closing"] = {"kind": closing, "down_s": DOWN_SECONDS}
    day["plan"] = [entry for entry in entries if entry["kind"] in PLANNED]
    day["faults"] = [entry for entry in entries if entry["kind"] not in PLANNED]
    return "".join(f"{key} = {write_value(value)}\n" for key, value in day.items())


def make_days(site: dict[str, Any], prefix: str, seed: int) -> dict[str, str]:
    """Make the days of one seed.

    Args:
        site: A site file's contents.
        prefix: Begins the days' names.
        seed: Decides who meets whom.

    Returns:
        For each day's name its document.
    """
    usual = next(day for day in site["day"] if day["slot"] == "trouble")
    found = {}
    for number, entries in enumerate(deal(site["troubles"], seed), 1):
        name = f"{prefix}-own-{seed}-{number}"
        closing = CLOSINGS[number % len(CLOSINGS)]
        found[name] = write_day(name, seed * 100 + number, entries, usual, closing)
    return found


def main(argv: list[str]) -> int:
    """Write the days that the command line asks for.

    Args:
        argv: The command line.

    Returns:
        The exit code.
    """
    flags = absl.flags.FlagValues()
    seed = absl.flags.DEFINE_integer("seed", 1, "Who meets whom.", flag_values=flags)
    try:
        _, site_file, folder = flags(argv)
        site = tomllib.loads(pathlib.Path(site_file).read_text())
        days = make_days(site, pathlib.Path(site_file).stem, seed.value)
    except (ValueError, KeyError, StopIteration, OSError, absl.flags.Error) as error:
        print(f"error: expected a site file with troubles and a folder: {error}", file=sys.stderr)
        return 2
    out = pathlib.Path(folder)
    out.mkdir(parents=True, exist_ok=True)
    for name, document in days.items():
        path = out / f"{name}.toml"
        path.write_text(document)
        print(path)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv))
