"""Mechanisms that can be disabled: their names, and that answers stay correct without them."""

from __future__ import annotations

import pytest

from lineworks.decisions import mechanisms
from lineworks.programs import node as node_program
from tests import test_forwarding

Mechanism = mechanisms.Mechanism


def test_whitespace_and_empty_names_are_ignored():
    found = mechanisms.parse(" merge, search_hedges ,")
    assert found == {Mechanism.MERGE, Mechanism.SEARCH_HEDGES}
    assert mechanisms.parse("") == frozenset()


def test_the_error_for_an_unknown_name_lists_the_known_ones():
    with pytest.raises(
        mechanisms.UnknownMechanismError,
        match="unknown mechanism 'hedge'; known mechanisms: .*merge",
    ):
        mechanisms.parse("merge, hedge")


def test_an_unknown_mechanism_in_the_environment_is_a_settings_error(monkeypatch):
    monkeypatch.setenv(node_program.WITHOUT_VARIABLE, "nothing")
    with pytest.raises(node_program.platform_settings.SettingsError, match="LINEWORKS_WITHOUT"):
        node_program._load_settings()


@pytest.mark.parametrize("mechanism", Mechanism, ids=lambda mechanism: mechanism.value)
def test_searches_and_reads_are_answered_correctly_without_any_one_mechanism(mechanism):
    world = test_forwarding.build(without=[mechanism])
    replies = {}
    for name in world.nodes:
        replies[f"q-{name}"] = world.ask(name, "/search/q", attempt=f"q-{name}")
        replies[f"r-{name}"] = world.ask(name, "/read/x", attempt=f"r-{name}")
    world.run(2.5)
    for attempt, reply in replies.items():
        if attempt.startswith("q"):
            assert test_forwarding.check_search(world, reply, attempt) == 0
        assert reply.status == 200


def search_seconds_with_a_slow_target(without):
    world = test_forwarding.build(without=without)
    slow = next(
        target
        for target in test_forwarding.targets_of(world, test_forwarding.SHARDS[0])
        if target.hall == "wlg"
    )
    slow.work = lambda: 1.0
    reply = world.ask("wlg-1", "/search/q", attempt="q1")
    world.run(2.5)
    return reply.seconds


def test_a_search_with_a_slow_target_is_late_without_hedges_and_early_answers():
    both = [Mechanism.SEARCH_HEDGES, Mechanism.EARLY_ANSWER]
    assert search_seconds_with_a_slow_target(both) > 1.0
    assert search_seconds_with_a_slow_target([Mechanism.SEARCH_HEDGES]) == pytest.approx(
        0.187, abs=0.003
    )
    assert search_seconds_with_a_slow_target([]) < 0.18
