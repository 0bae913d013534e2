"""The tool that plays days with mechanisms switched off: its files and its table."""

from __future__ import annotations

import pathlib
import tomllib

import pytest

from bench import trials

DEPLOY = (pathlib.Path(__file__).parents[1] / trials.DEPLOY_FILE).read_text()


def test_the_deploy_file_names_what_is_switched_off_and_forgets_it_again():
    changed = trials.set_without(DEPLOY, "merge,one_hall")
    assert tomllib.loads(changed)["roles"]["node"]["env"] == {"LINEWORKS_WITHOUT": "merge,one_hall"}
    other = trials.set_without(changed, "one_hall")
    assert tomllib.loads(other)["roles"]["node"]["env"] == {"LINEWORKS_WITHOUT": "one_hall"}
    assert trials.set_without(other, "") == DEPLOY


def test_an_entry_tells_worth_and_broken_rules():
    trial = trials.Trial("merge", "quiet-1", 3)
    found = trials.read_entry(trial, {"days": [{"G": 0.5, "rules": {"MIXED": 2}}]})
    assert found == trials.Result(trial, 0.5, ("MIXED",))


def test_a_day_that_was_not_played_counts_as_broken():
    found = trials.read_entry(trials.Trial("", "quiet-1", 0), {})
    assert found.worth == 0.0
    assert found.broken == ("not played",)


def test_the_table_compares_plays_of_the_same_day_and_seed():
    rows = [("", 1, 0.80), ("", 2, 0.70), ("merge", 1, 0.75), ("merge", 2, 0.60)]
    results = [
        trials.Result(trials.Trial(without, "scale-1", seed), worth, ())
        for without, seed, worth in rows
    ]
    assert trials.write_table(results)[2:] == [
        "| (nothing) | 2 | 0.750 | +0.000 | +0.000 to +0.000 | none |",
        "| merge | 2 | 0.675 | -0.075 | -0.100 to -0.050 | none |",
    ]


def test_the_plan_plays_each_variant_with_each_day_and_seed():
    found = trials.plan(["merge", "merge,one_hall"], True, ["quiet-1"], ["0", "7"])
    assert [(one.without, one.seed) for one in found] == [
        ("", 0),
        ("", 7),
        ("merge", 0),
        ("merge", 7),
        ("merge,one_hall", 0),
        ("merge,one_hall", 7),
    ]
    assert len(trials.plan(["merge"], False, ["quiet-1"], ["0"])) == 1


@pytest.mark.parametrize(("without", "seed"), [("marge", "0"), ("merge", "one")])
def test_a_plan_that_cannot_be_played_is_refused(without, seed):
    with pytest.raises(ValueError, match="marge|one"):
        trials.plan([without], True, ["quiet-1"], [seed])
