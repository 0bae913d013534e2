"""`lineworks-ctl losses`: failed, late and incomplete requests, as found in logs."""

from __future__ import annotations

import json

import pytest

from lineworks.programs import _losses, ctl

STARTED = {"event": "started", "name": "a1", "hall": "akl", "t": 1.0}


def request(attempt_id, **fields):
    defaults = {
        "event": "request",
        "id": attempt_id,
        "route": "sweep",
        "status": 200,
        "ms": 50.0,
        "aim_ms": 200.0,
        "covered": 10,
        "total": 10,
        "t": 5.5,
    }
    return {**defaults, **fields}


def read(*rows, prefix=""):
    reader = _losses.LossReader()
    lines = [f"{prefix}{json.dumps(row)}\n" for row in rows]
    return list(reader.read("a1", lines)), reader


def test_successful_requests_and_unknown_routes_are_no_losses():
    found, _ = read(STARTED, request("q1"), request("q2", status=404, route=None))
    assert found == []


def test_unknown_keys_and_exceeded_quotas_are_no_losses():
    found, _ = read(
        STARTED,
        request("q1", status=401, reason="unknown_key"),
        request("q2", status=429, reason="over_quota", workspace="north"),
    )
    assert found == []


def test_losses_are_grouped_by_workspace_if_any_line_names_one():
    found, _ = read(
        STARTED,
        request("q1", status=503, reason="no_replica", workspace="north"),
        request("q2", ms=300.0, workspace=None),
    )
    assert [loss.workspace for loss in found] == ["north", ""]
    text = "\n".join(_losses.format_tables(found, 0))
    assert "workspace, with examples" in text
    assert "north: q1" in text
    assert "none: q2" in text
    assert "workspace" not in "\n".join(_losses.format_tables(found[1:], 0))


def test_amounts_lost_by_failures_late_answers_and_missing_shards():
    found, _ = read(
        STARTED,
        request("q1", status=503, reason="no_replica", detail="3 of 20 shards have a target"),
        request("q2", ms=201.0),
        request("q3", covered=9, missing=["s01: waiting for i-7f3a91c2 after 1 sent"]),
    )
    assert [(loss.attempt_id, round(loss.amount, 2)) for loss in found] == [
        ("q1", 1.0),
        ("q2", 0.9),
        ("q3", 0.19),
    ]
    assert found[0].reason == "503 no_replica: n of n shards have a target"
    assert found[2].reason == "in part: waiting for a target after 1 sent"
    assert {loss.hall for loss in found} == {"akl"}
    assert {loss.second for loss in found} == {5}


def test_a_caller_that_disconnected_is_a_total_loss():
    found, _ = read({"event": "caller_gone", "id": "q1", "route": "sweep", "ms": 400.0, "t": 7.0})
    assert found[0].amount == 1.0
    assert found[0].hall == "?"


def test_lines_may_have_a_prefix_of_time_and_instance():
    found, _ = read(STARTED, request("q1", ms=300.0), prefix="  35.8153 b7 ")
    assert (found[0].second, found[0].hall) == (35, "akl")


def test_invalid_lines_are_skipped_and_suppressed_lines_are_counted():
    reader = _losses.LossReader()
    lines = ["no json\n", "{broken\n", "[1]\n"]
    lines.append(json.dumps({"event": "lines_left_out", "kind": "request", "count": 4}))
    assert list(reader.read("a1", lines)) == []
    assert reader.left_out == 4


def test_the_command_prints_tables_with_example_requests(tmp_path, capsys):
    log = tmp_path / "a1.log"
    rows = [STARTED, request("q1", ms=300.0), request("q2", status=502, reason="link_lost")]
    log.write_text("\n".join(json.dumps(row) for row in rows))
    assert ctl.main(["ctl", "losses", str(log)]) == 0
    printed = capsys.readouterr().out
    assert printed.startswith("2 requests went badly; together they lost the use of 1.9")
    assert "akl: q2 q1" in printed
    assert "502 link_lost" in printed


def test_the_command_requires_existing_files():
    assert ctl.main(["ctl", "losses"]) == 2
    assert ctl.main(["ctl", "losses", "nowhere.log"]) == 2


@pytest.mark.parametrize("event", ["cut_at_end", "answer_not_delivered"])
def test_requests_cut_by_the_end_of_a_process_are_losses_with_their_own_reason(event):
    found, _ = read({"event": event, "id": "q1", "route": "sweep", "ms": 400.0, "t": 7.0})
    assert [loss.reason for loss in found] == ["cut by the end of the process"]


def test_a_failed_request_whose_answer_was_not_delivered_is_one_loss():
    failed = request("q1", status=502, reason="link_lost", detail="x")
    found, _ = read(failed, {"event": "answer_not_delivered", "id": "q1", "ms": 400.0, "t": 7.0})
    assert len(found) == 1
