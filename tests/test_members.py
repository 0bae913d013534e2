"""Membership: the lagging list against own evidence."""

from __future__ import annotations

from lineworks.decisions import members


def listed(name, incarnation="1", is_leaving=False):
    return members.ListedInstance(name, "h", incarnation, is_leaving)


def test_a_listed_instance_counts_for_a_while_without_proof():
    state = members.MemberState("me", "h")
    state.on_list([listed("x")], 0.0)
    assert set(state.live(1.0)) == {"me", "x"}
    assert set(state.live(members.GRACE)) == {"me"}


def test_a_proven_link_outlives_the_list():
    state = members.MemberState("me", "h")
    state.on_up("x", "h", "1")
    state.on_list([], 5.0)
    assert "x" in state.live(60.0)


def test_a_broken_link_outweighs_the_list():
    """The list lags 30 s: it still shows what has crashed."""
    state = members.MemberState("me", "h")
    state.on_list([listed("x")], 0.0)
    state.on_up("x", "h", "1")
    state.on_down("x", 10.0)
    state.on_list([listed("x")], 11.0)
    assert "x" not in state.live(11.0)


def test_leaving_is_sticky_for_an_incarnation():
    state = members.MemberState("me", "h")
    state.on_up("x", "h", "1")
    state.on_leaving("x")
    state.on_list([listed("x", is_leaving=False)], 1.0)
    assert "x" not in state.live(1.0)
    state.on_up("x", "h", "2")
    assert "x" in state.live(2.0)


def test_leaving_by_the_list_alone_counts():
    state = members.MemberState("me", "h")
    state.on_up("x", "h", "1")
    state.on_list([listed("x", is_leaving=True)], 1.0)
    assert "x" not in state.live(1.0)


def test_an_older_incarnation_on_the_list_does_not_count():
    state = members.MemberState("me", "h")
    state.on_up("x", "h", "2")
    state.on_list([listed("x", incarnation="1", is_leaving=True)], 1.0)
    assert "x" in state.live(1.0)
