"""The pages: links lead somewhere, examples are valid, generated tables are fresh."""

from __future__ import annotations

import json
import pathlib
import re

import pytest

from bench import capacity, platform_slopes, scenario, slopes
from lineworks.models import caller_http, configuration, settings

ROOT = pathlib.Path(__file__).parent.parent
PAGES = sorted([*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md")])


def blocks(page: pathlib.Path, language: str) -> list[str]:
    return re.findall(rf"```{language}\n(.*?)```", page.read_text(), re.DOTALL)


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_links_lead_to_files(page):
    for link in re.findall(r"\]\(([^)#:]+)\)", page.read_text()):
        assert (page.parent / link).exists(), link


def test_capacity_page_is_made_from_the_figures():
    found = json.loads(slopes.OUT.read_text())
    platform = json.loads(platform_slopes.OUT.read_text())
    assert capacity.PAGE.read_text() == capacity.page(found, platform)


def test_the_guides_selectors_are_valid():
    text = blocks(ROOT / "docs" / "guide.md", "json")[0]
    items = configuration.parse_file(text).items()
    built = configuration.build({key: str(item) for key, item in items.items()}, 1, "")
    assert {selector.name for selector in built.selectors} == {"kiosks", "everyone"}


@pytest.mark.parametrize("page", [ROOT / "README.md", ROOT / "docs" / "guide.md"])
def test_searches_in_the_pages_are_valid(page):
    bodies = re.findall(r"-d '(\{.*?\})'\n", page.read_text(), re.DOTALL)
    assert bodies
    for body in bodies:
        caller_http.parse(caller_http.SearchBody, body.encode(), 10_000)


def test_commands_in_the_pages_exist():
    makefile = (ROOT / "Makefile").read_text()
    project = (ROOT / "pyproject.toml").read_text()
    for page in PAGES:
        text = page.read_text()
        for target in re.findall(r"`make ([\w-]+)`|^make ([\w-]+)$", text, re.MULTILINE):
            name = target[0] or target[1]
            assert re.search(rf"^{name}:", makefile, re.MULTILINE), f"{page.name}: make {name}"
        for program in re.findall(r"\.venv/bin/(lineworks-\w+)", text):
            assert f"{program} =" in project


@pytest.mark.parametrize("path", sorted(ROOT.glob("examples/*.json")), ids=lambda p: p.name)
def test_example_settings_are_valid(path):
    assert settings.load(str(path)).name == path.stem


@pytest.mark.parametrize(
    "path", sorted(ROOT.glob("bench/scenarios/*.json")), ids=lambda path: path.stem
)
def test_scenarios_are_valid(path):
    assert scenario.load(str(path)).name == path.stem


def test_bad_scenarios_name_the_key(tmp_path):
    path = tmp_path / "bad.json"
    path.write_text('{"name": "x", "load": 0.1, "deployment": {"halls": []}}')
    with pytest.raises(scenario.ScenarioError, match="deployment.halls"):
        scenario.load(str(path))
