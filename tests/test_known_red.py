"""The list of known failures: only what it names may fail, and what is mended comes off it."""

from __future__ import annotations

import pytest

from tests import known_red

TESTS = """
def test_red():
    assert False

def test_green():
    pass
"""


def run(pytester, *lines):
    pytester.makepyfile(test_it=TESTS)
    pytester.makeconftest(
        "import pathlib\n"
        "from tests import known_red\n"
        "def pytest_configure(config):\n"
        "    known_red.install(config, pathlib.Path(config.rootpath) / 'KNOWN-RED.txt')\n"
    )
    (pytester.path / "KNOWN-RED.txt").write_text("\n".join(lines))
    return pytester.runpytest_inprocess("-p", "no:cacheprovider")


def test_a_listed_test_may_fail_and_is_printed(pytester):
    result = run(pytester, "test_it.py::test_red | cause | issue 1 | make test")
    result.assert_outcomes(xfailed=1, passed=1)
    result.stdout.fnmatch_lines(["known red: test_it.py::test_red | cause | *"])
    assert result.ret == 0


def test_a_test_that_is_not_listed_fails_the_run(pytester):
    result = run(pytester, "test_it.py::test_other | cause | issue 1 | make test")
    result.assert_outcomes(failed=1, passed=1)
    assert result.ret == 1


def test_a_listed_test_that_passes_fails_the_run(pytester):
    result = run(
        pytester,
        "test_it.py::test_red | cause | issue 1 | make test",
        "test_it.py::test_green | cause | issue 1 | make test",
    )
    result.stdout.fnmatch_lines(
        ["ERROR: passes, take it off KNOWN-RED.txt: test_it.py::test_green"]
    )
    assert result.ret == 1


def test_a_line_without_all_fields_is_refused():
    with pytest.raises(ValueError, match="not TEST"):
        known_red.parse(["test_it.py::test_red | cause"])


def test_each_of_many_lines_is_printed_and_followed(pytester):
    lines = [f"test_it.py::test_red_{number} | cause | 1 | make test" for number in range(9)]
    result = run(pytester, "test_it.py::test_green | cause | 1 | make test", *lines)
    result.stdout.fnmatch_lines([f"known red: {line}" for line in lines])
    result.stdout.fnmatch_lines(
        ["ERROR: passes, take it off KNOWN-RED.txt: test_it.py::test_green"]
    )
    assert result.ret == 1


def test_a_line_stands_for_its_own_tests_only(pytester):
    result = run(pytester, "test_it.py::test_green | cause | 1 | make test")
    result.assert_outcomes(failed=1, xpassed=1)
