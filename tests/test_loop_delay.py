"""Measurement of the event loop's timer delay."""

from __future__ import annotations

from twisted.internet import task

from lineworks.kernel import loop_delay


def test_late_timer_is_measured_and_the_peak_decays():
    clock = task.Clock()
    delay = loop_delay.LoopDelay(clock)
    delay.start()
    clock.advance(loop_delay.PERIOD_SECONDS)
    assert delay.last == 0.0
    clock.advance(loop_delay.PERIOD_SECONDS + 0.3)
    assert round(delay.last, 6) == 0.3
    clock.advance(loop_delay.PERIOD_SECONDS)
    assert delay.last == 0.0
    assert round(delay.peak, 6) == round(0.3 * loop_delay.PEAK_DECAY, 6)
    delay.stop()
    clock.advance(5.0)
    assert delay.last == 0.0
