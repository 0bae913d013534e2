"""The deadlines of a planned stop."""

from __future__ import annotations

import pytest

from lineworks.decisions import stop_times


@pytest.mark.parametrize("grace", [1.0, 2.0, 4.0, 6.0, 30.0])
def test_the_deadlines_are_in_order_and_before_the_platform_kills_the_process(grace):
    times = stop_times.plan(100.0, grace)
    assert 100.0 < times.deregistered_by < times.answer_by < times.end_by < 100.0 + grace


def test_new_connections_are_expected_until_two_health_checks_have_failed():
    # The load balancer checks once a second: by 1 s, and again by 2 s. 1.2 s remain for delays.
    assert stop_times.plan(0.0, 6.0).deregistered_by == 3.0
    assert stop_times.plan(0.0, 30.0).deregistered_by == stop_times.DEREGISTRATION_SECONDS


def test_an_idle_connection_is_kept_long_enough_for_a_retransmission():
    retransmission_timeout = 1.0
    assert retransmission_timeout < stop_times.MIN_IDLE_SECONDS
