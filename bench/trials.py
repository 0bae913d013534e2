"""Plays days of the users' bench with mechanisms switched off, and tells what each is worth.

    python -m bench.trials --bench PATH --site FILE --days trouble-1,scale-1 --seeds 1,2,3 \
        --without merge --without search_hedges,read_hedges --why "..." CLONE CLONE...

Every clone of the repository plays one day at a time, so as many processors are used as clones are
named. A seed of 0 stands for the day's own. The figures come from the entries that the bench leaves
in the clones' journals, which are to be kept.
"""

from __future__ import annotations

import concurrent.futures
import dataclasses
import itertools
import json
import pathlib
import queue
import re
import statistics
import subprocess
import sys
from typing import TYPE_CHECKING, Any

import absl.flags

from lineworks.decisions import mechanisms
from lineworks.programs import node

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

PLAY_SECONDS = 900
"""Seconds after which a play is given up: a day of 60 machines takes up to four minutes."""

DEPLOY_FILE = "deploy/system.toml"


@dataclasses.dataclass(frozen=True, slots=True)
class Trial:
    """One play."""

    without: str
    """Names of the mechanisms that are switched off, separated by commas; empty for none."""

    day: str
    """Name of the day."""

    seed: int
    """Seed of its luck; 0 for the day's own."""


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What a play was worth."""

    trial: Trial
    """The play."""

    worth: float
    """Worth of the day."""

    broken: tuple[str, ...]
    """Rules that were broken."""


def set_without(deploy: str, without: str) -> str:
    """Write into a deploy file what the processes do without.

    Args:
        deploy: The file's text.
        without: Names of mechanisms, separated by commas; empty for none.

    Returns:
        The new text.
    """
    kept = re.sub(r"^env = .*\n", "", deploy, flags=re.MULTILINE)
    if not without:
        return kept
    return re.sub(
        r"^(run = .*\n)",
        lambda found: f'{found[1]}env = {{ {node.WITHOUT_VARIABLE} = "{without}" }}\n',
        kept,
        flags=re.MULTILINE,
    )


def read_entry(trial: Trial, entry: dict[str, Any]) -> Result:
    """Read what the bench's journal says of a play.

    Args:
        trial: The play.
        entry: The journal's entry.

    Returns:
        Its figures; worth 0 for a day that was not played to its end.
    """
    days = entry.get("days") or [{"G": 0.0, "rules": {"not played": 1}}]
    return Result(trial, float(days[0]["G"]), tuple(sorted(days[0]["rules"])))


def write_table(results: Sequence[Result]) -> list[str]:
    """Compare what every variant is worth with the play of the same day and seed without it.

    Args:
        results: The plays; those with nothing switched off are the base.

    Returns:
        Lines of a Markdown table.
    """
    base = {(one.trial.day, one.trial.seed): one.worth for one in results if not one.trial.without}
    lines = ["| without | plays | mean worth | against all on | spread | rules |"]
    lines.append("|---|---|---|---|---|---|")
    for without in dict.fromkeys(one.trial.without for one in results):
        own = [one for one in results if one.trial.without == without]
        worth = statistics.mean(one.worth for one in own)
        pairs = [
            one.worth - base[(one.trial.day, one.trial.seed)]
            for one in own
            if (one.trial.day, one.trial.seed) in base
        ]
        mean = f"{statistics.mean(pairs):+.3f}" if pairs else "?"
        spread = f"{min(pairs):+.3f} to {max(pairs):+.3f}" if pairs else "?"
        broken = ", ".join(sorted({rule for one in own for rule in one.broken})) or "none"
        name = without or "(nothing)"
        lines.append(f"| {name} | {len(own)} | {worth:.3f} | {mean} | {spread} | {broken} |")
    return lines


def play(bench: str, site: str, clone: pathlib.Path, why: str, trial: Trial) -> Result:
    """Play a day in a clone.

    Args:
        bench: Path of the bench's program.
        site: Path of the site file.
        clone: The clone.
        why: What the play is for.
        trial: The play.

    Returns:
        Its figures.
    """
    path = clone / DEPLOY_FILE
    path.write_text(set_without(path.read_text(), trial.without))
    before = set((clone / "journal").glob("*.json"))
    command = [bench, "run", site, trial.day, "--jobs", "1"]
    command += ["--seed", str(trial.seed)] if trial.seed else []
    command += ["--why", f"{why}; without: {trial.without or 'nothing'}"]
    subprocess.run(command, cwd=clone, capture_output=True, timeout=PLAY_SECONDS, check=False)
    new = sorted(set((clone / "journal").glob("*.json")) - before)
    entry = json.loads(new[-1].read_text()) if new else {}
    return read_entry(trial, entry)


def play_all(
    bench: str, site: str, clones: Iterable[pathlib.Path], why: str, trials: Sequence[Trial]
) -> list[Result]:
    """Play days, as many at a time as there are clones.

    Args:
        bench: Path of the bench's program.
        site: Path of the site file.
        clones: The clones.
        why: What the plays are for.
        trials: The plays.

    Returns:
        Their figures, in the order of the plays.
    """
    free: queue.SimpleQueue[pathlib.Path] = queue.SimpleQueue()
    for clone in clones:
        free.put(clone)

    def play_one(trial: Trial) -> Result:
        clone = free.get()
        try:
            return play(bench, site, clone, why, trial)
        finally:
            free.put(clone)

    with concurrent.futures.ThreadPoolExecutor(free.qsize()) as pool:
        return list(pool.map(play_one, trials))


def _define_flags() -> None:
    absl.flags.DEFINE_string("bench", None, "Path of the bench's program.", required=True)
    absl.flags.DEFINE_string("site", None, "Path of a site file.", required=True)
    absl.flags.DEFINE_list("days", ["trouble-1"], "Days to play.")
    absl.flags.DEFINE_list("seeds", ["0"], "Seeds to play each day with; 0 for the day's own.")
    absl.flags.DEFINE_multi_string("without", [], "Mechanisms to switch off together.")
    absl.flags.DEFINE_bool("base", True, "Also play with nothing switched off.")
    absl.flags.DEFINE_string("why", None, "What the plays are for.", required=True)
    absl.flags.DEFINE_string("out", None, "File that gets one JSON line for each play.")


def plan(
    without: Sequence[str], has_base: bool, days: Sequence[str], seeds: Sequence[str]
) -> list[Trial]:
    """List the plays that the command line asks for.

    Args:
        without: Names of mechanisms for each variant, separated by commas.
        has_base: Whether there is a variant with nothing switched off.
        days: Days to play.
        seeds: Seeds to play each day with.

    Returns:
        Each variant with each day and seed.

    Raises:
        ValueError: A mechanism is unknown or a seed is no number.
    """
    for names in without:
        mechanisms.parse(names)
    variants = ["", *without] if has_base else list(without)
    return [Trial(*row) for row in itertools.product(variants, days, map(int, seeds))]


def _write_rows(path: str, site: str, results: Sequence[Result]) -> None:
    with open(path, "a", encoding="utf-8") as file:
        for one in results:
            row = {"site": pathlib.Path(site).stem, **dataclasses.asdict(one)}
            file.write(json.dumps(row) + "\n")


def main() -> int:
    """Play what the command line says.

    Returns:
        The exit code: 2 when the command line can't be used.
    """
    flags = absl.flags.FLAGS
    _define_flags()
    try:
        clones = [pathlib.Path(name) for name in flags(sys.argv)[1:]]
        trials = plan(flags.without, flags.base, flags.days, flags.seeds)
    except (absl.flags.Error, ValueError) as error:
        print(f"trials: {error}", file=sys.stderr)
        return 2
    if not clones or not all((clone / DEPLOY_FILE).exists() for clone in clones):
        print("trials: name at least one clone of the repository", file=sys.stderr)
        return 2
    results = play_all(flags.bench, flags.site, clones, flags.why, trials)
    if flags.out:
        _write_rows(flags.out, flags.site, results)
    print("\n".join(write_table(results)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
