"""Signals during the imports."""

from __future__ import annotations

import signal

import pytest

from lineworks.kernel import early_signals


class Interrupted(list):
    """A list of handlers; SIGTERM arrives just before or just after one is added."""

    def __init__(self, is_before):
        super().__init__()
        self._is_before = is_before

    def append(self, handle):
        if self._is_before:
            early_signals._on_stop(signal.SIGTERM, None)
        super().append(handle)
        if not self._is_before:
            early_signals._on_stop(signal.SIGTERM, None)


@pytest.mark.parametrize("is_before", [True, False])
def test_a_signal_that_arrives_while_its_handler_is_set_is_handled_once(monkeypatch, is_before):
    # Between the look for an earlier signal and the setting of the handler, a signal was recorded
    # and never acted on: the process went on until the platform killed it.
    monkeypatch.setattr(early_signals, "_stop_requested_at", [])
    monkeypatch.setattr(early_signals, "_stop_handlers", Interrupted(is_before))
    calls = []
    early_signals.handle_stop(calls.append)
    early_signals._on_stop(signal.SIGTERM, None)
    assert len(calls) == 1
