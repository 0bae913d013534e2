"""The verdict of property tests is the same on a fresh clone, in every run."""

from __future__ import annotations

import pathlib
import re

import pytest

TESTS = pathlib.Path(__file__).parent

CONFTEST = f"""
import sys
sys.path.insert(0, {str(TESTS.parent)!r})
import pytest
from tests import property_tests
property_tests.install()

def pytest_runtest_setup(item):
    property_tests.prepare(item)
"""

TEXTS = """
import hypothesis
from hypothesis import strategies

VALUES = strategies.recursive(
    strategies.integers() | strategies.text(),
    lambda inner: strategies.lists(inner) | strategies.dictionaries(strategies.text(), inner),
    max_leaves=8,
)

@hypothesis.given(strategies.dictionaries(strategies.sampled_from("abcdef"), VALUES))
def test_values(values):
    with open("drawn", "a") as file:
        file.write(repr(values) + chr(10))
"""

SLOW = """
import datetime
import time
import hypothesis
from hypothesis import strategies

# The check allows five times the deadline, which keeps this test short.
@hypothesis.settings(deadline=datetime.timedelta(seconds=0.2))
@hypothesis.given(strategies.integers().map(lambda n: time.sleep(0.3) or n))
def test_slow(number):
    pass
"""


def test_a_fresh_folder_passes_with_the_same_inputs_each_time(pytester):
    pytester.makeconftest(CONFTEST)
    pytester.makepyfile(TEXTS)
    drawn = pytester.path / "drawn"
    found = []
    for _ in range(2):
        pytester.runpytest_subprocess("-p", "no:cacheprovider").assert_outcomes(passed=1)
        found.append(drawn.read_text(errors="surrogatepass"))
        drawn.unlink()
    assert found[0] == found[1]
    assert not (pytester.path / ".hypothesis" / "examples").exists()


@pytest.mark.parametrize("variable", ["", "true"])
def test_a_generator_that_is_slow_itself_still_fails(pytester, monkeypatch, variable):
    # Where CI is set the library has other defaults, and the verdict was another one.
    monkeypatch.setenv("CI", variable)
    pytester.makeconftest(CONFTEST)
    pytester.makepyfile(SLOW)
    result = pytester.runpytest_subprocess("-p", "no:cacheprovider")
    result.assert_outcomes(failed=1)
    result.stdout.fnmatch_lines(["*Input generation is slow*"])


def test_no_test_chooses_what_the_profile_decides():
    wanted = re.compile(r"(derandomize|deadline|database|suppress_health_check)=")
    own = {"property_tests.py", "test_property_tests.py"}
    for path in TESTS.glob("*.py"):
        if path.name in own:
            continue
        settings = re.findall(r"hypothesis\.settings\([^)]*\)", path.read_text())
        assert not any(wanted.search(found) for found in settings), path.name
