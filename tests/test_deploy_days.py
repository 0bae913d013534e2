"""The day files of the deployment: written so that they fit every site."""

from __future__ import annotations

import pathlib
import re
import tomllib

import pytest

DEPLOY = pathlib.Path(__file__).parents[1] / "deploy"
FOLDERS = ("days", "days-of-places", "days-of-workspaces")
DAYS = sorted(path for folder in FOLDERS for path in DEPLOY.glob(f"{folder}/*.toml"))
OF_WORKSPACES = ("hot_tenant", "revoke")
"""Kinds that sites without workspaces refuse."""

STANDS_FOR = re.compile(r"@[csz]0")
NAMED = ("service", "class", "zone", "to_zone")


def test_there_are_days():
    assert {path.parent.name for path in DAYS} == set(FOLDERS)
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


@pytest.mark.parametrize("path", DAYS, ids=lambda path: path.stem)
def test_only_days_of_workspaces_strike_workspaces(path):
    day = tomllib.loads(path.read_text())
    entries = [*day["plan"], *day["faults"]]
    strikes = any(
        entry["kind"] in OF_WORKSPACES or {"tenant", "quota"} & set(entry.get("how", "").split())
        for entry in entries
    )
    assert strikes == (path.parent.name == "days-of-workspaces")
