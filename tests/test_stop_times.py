"""The moments of a planned stop."""

from __future__ import annotations

import pytest

from lineworks.decisions import stop_times


@pytest.mark.parametrize("grace", [1.0, 2.0, 4.0, 6.0, 30.0])
def test_the_moments_of_a_stop_come_in_their_order_and_before_the_platform_ends_it(grace):
    times = stop_times.plan(100.0, grace)
    assert 100.0 < times.deregistered_by < times.answer_by < times.end_by < 100.0 + grace


def test_callers_come_until_the_balancer_has_missed_two_answers():
    # It asks once a second: at 1 s at the latest, and again at 2 s; 1.2 s are left for the way.
    assert stop_times.plan(0.0, 6.0).deregistered_by == 3.0
    assert stop_times.plan(0.0, 30.0).deregistered_by == stop_times.DEREGISTRATION_SECONDS


def test_a_connection_may_lose_its_first_packet_and_is_still_waited_for():
    lost_packet = 1.0
    assert lost_packet < stop_times.MIN_IDLE_SECONDS
