"""Deadlines are reduced at each hop and never extended."""

from __future__ import annotations

import pytest

from lineworks.decisions import deadlines


@pytest.mark.parametrize(("allowed", "kept"), [(1.0, 0.02), (0.1, 0.005), (60.0, 0.02)])
def test_a_front_reserves_time_to_return_its_response(allowed, kept):
    assert deadlines.for_answer(10.0, allowed) == pytest.approx(10.0 + allowed - kept)


def test_each_hop_reserves_time_for_its_response():
    assert deadlines.for_next_hop(10.0, 0.008) == pytest.approx(9.992 - deadlines.HOP_MARGIN)


def test_remaining_time_is_never_negative():
    assert deadlines.remaining(1.0, 5.0) == 0.0
    assert deadlines.remaining(5.0, 1.0) == 4.0
