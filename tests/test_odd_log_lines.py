"""Lines of other programs within the logs that the operators' tools read."""

from __future__ import annotations

import json

import hypothesis
import pytest
from hypothesis import strategies as st

from lineworks.programs import _losses, _timeline
from tests import odd_values

LINE = {
    "t": 1.5,
    "event": "request",
    "id": "x",
    "status": 200,
    "aim_ms": 0,
    "ms": 6,
    "total": 3,
    "covered": 2,
    "missing": ["a"],
    "hall": "h",
    "route": "r",
    "workspace": "w",
}
LATE = {**LINE, "aim_ms": 5}
FAILED = {**LINE, "status": 504, "reason": "failed", "detail": "d"}
CUT = {"t": 1.5, "event": "cut_at_end", "id": "x"}
LEFT_OUT = {"event": "lines_left_out", "kind": "request", "count": 3}
STARTED = {"event": "started", "hall": "h"}


def read(*texts):
    reader = _losses.LossReader()
    found = list(reader.read("log", texts))
    "\n".join(_losses.format_tables(found, reader.left_out)).encode()
    return found, reader.left_out


@hypothesis.given(
    st.one_of([odd_values.documents(line) for line in (LINE, LATE, FAILED, CUT, LEFT_OUT, STARTED)])
)
def test_any_line_is_skipped_or_read_and_the_others_count(data):
    odd = data.decode("utf-8", "replace")
    found, _ = read(odd, json.dumps(FAILED))
    assert [loss.reason for loss in found].count("504 failed: d") >= 1
    lines = list(_timeline.find("x", "log", [odd, json.dumps(FAILED)]))
    "\n".join(_timeline.format_timeline("x", lines)).encode()


ODD = [
    (CUT, ("t",), "1e999"),
    (CUT, ("t",), "1" + "0" * 400),
    (CUT, ("id",), "[]"),
    (CUT, ("id",), '"\\ud800"'),
    (LEFT_OUT, ("count",), "1e999"),
    (LINE, ("covered",), "-1"),
    (LINE, ("missing",), "5"),
    (LINE, ("t",), odd_values.DEEP),
]


@pytest.mark.parametrize(("line", "path", "odd"), ODD)
def test_an_odd_line_does_not_end_the_report(line, path, odd):
    found, _ = read(odd_values.with_odd(line, path, odd).decode(), json.dumps(FAILED))
    assert found[-1].reason == "504 failed: d"


def test_a_time_of_thousands_of_digits_before_a_line_does_not_end_the_report():
    found, _ = read("9" * 400 + ".0 n1 " + json.dumps(FAILED))
    assert [loss.second for loss in found] == [0]


def test_nesting_just_below_the_limit_of_the_parser_does_not_end_the_report():
    for levels in range(850, 1000):
        for field in ("detail", "status", "id", "route"):
            odd = odd_values.with_odd(FAILED, (field,), odd_values.deep(levels)).decode()
            found, _ = read(odd, json.dumps(FAILED))
            assert found[-1].reason == "504 failed: d"
