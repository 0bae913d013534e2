"""What a planned stop promises callers, by logs, by single cases and by a fuzz in memory."""

from __future__ import annotations

import pytest
from structlog.testing import capture_logs

from bench import stops
from tests import test_forwarding

SEEDS = (43, 59)
"""Seeds of stops with many requests under way at the end, and of targets that stall late."""


def events(lines, *names):
    return [line for line in lines if line["event"] in names]


def test_the_log_does_not_blame_callers_for_what_the_end_of_the_process_cut():
    # A read that was cut at the end of a stop had one line in its instance's log, `caller_gone`,
    # though its caller was still there: whoever looked for the cause was sent to the wrong side.
    world = test_forwarding.build(work=lambda: 5.0)
    world.ask("akl-1", "/read/x", attempt="r1")
    world.ask("akl-1", "/bill/x", "POST", attempt="b1")
    world.ask("akl-1", "/search/x", attempt="s1")
    world.run(0.2)
    world.nodes["akl-1"].stop()
    world.nodes["akl-1"]._stop.is_over = True
    with capture_logs() as lines:
        world.host_of("akl-1").stop()
        world.run(0.1)
    cut = events(lines, "cut_at_end")
    # The connection to a target may be lost first; its failure is an answer that nobody gets.
    undelivered = events(lines, "answer_not_delivered")
    assert {line["id"] for line in cut + undelivered} == {"r1", "b1", "s1"}
    assert {line["certainty"] for line in cut} == {"MAY_HAVE_RUN"}
    assert events(lines, "caller_gone") == []


def test_the_log_still_tells_of_callers_that_left():
    world = test_forwarding.build(work=lambda: 5.0)
    world.ask("akl-1", "/read/x", attempt="r1")
    world.run(0.2)
    with capture_logs() as lines:
        world.network.host("10.250.0.1").kill()
        world.run(0.2)
    assert [line["event"] for line in events(lines, "cut_at_end", "caller_gone")] == ["caller_gone"]


@pytest.mark.parametrize("event", list(stops.Event))
@pytest.mark.parametrize("seed", SEEDS)
def test_a_stop_answers_what_it_takes(seed, event):
    # Callers use new and kept connections of a stopping instance until it is gone, while targets
    # turn slow or stall. In 50 of 60 such stops requests under way were closed at the end (203,
    # `cut_at_end`) or connections that had just been accepted were closed without a byte (289, no
    # line at all): the process knew who waited and when it would end, and told nobody.
    stop = stops.play(seed, event)
    assert stop.broken == []
    assert stop.lasted < stops.GRACE_SECONDS
