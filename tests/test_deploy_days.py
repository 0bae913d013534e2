"""The day files of the deployment: written so that they fit every site."""

from __future__ import annotations

import pathlib
import re
import tomllib

import pytest

DEPLOY = pathlib.Path(__file__).parents[1] / "deploy"
DAYS = sorted([*DEPLOY.glob("days/*.toml"), *DEPLOY.glob("days-of-places/*.toml")])
STANDS_FOR = re.compile(r"@[csz]0")
NAMED = ("service", "class", "zone", "to_zone")


def test_there_are_days():
    assert len(DAYS) >= 8


@pytest.mark.parametrize("path", DAYS, ids=lambda path: path.stem)
def test_a_day_says_what_it_presses_on_and_names_no_site(path):
    text = path.read_text()
    day = tomllib.loads(text)
    assert text.startswith("# Promise: ")
    assert day["name"] == path.stem
    for entry in [*day["plan"], *day["faults"]]:
        assert entry["at"] >= 0
        assert entry["kind"]
        assert all(STANDS_FOR.fullmatch(entry[name]) for name in NAMED if name in entry)
