"""Membership: the delayed list compared with the state of links."""

from __future__ import annotations

from lineworks.decisions import members


def listed(name, incarnation="1", is_leaving=False):
    return members.ListedInstance(name, "h", incarnation, is_leaving)


def test_a_listed_instance_without_a_link_is_live_during_the_grace_period():
    state = members.MemberState("me", "h")
    state.on_list([listed("x")], 0.0)
    assert set(state.live(1.0)) == {"me", "x"}
    assert set(state.live(members.GRACE)) == {"me"}


def test_an_instance_with_a_link_is_live_even_if_not_listed():
    state = members.MemberState("me", "h")
    state.on_up("x", "h", "1")
    state.on_list([], 5.0)
    assert "x" in state.live(60.0)


def test_a_lost_link_overrides_the_list():
    """The list is up to 30 s old, so it still contains instances that have crashed."""
    state = members.MemberState("me", "h")
    state.on_list([listed("x")], 0.0)
    state.on_up("x", "h", "1")
    state.on_down("x", 10.0)
    state.on_list([listed("x")], 11.0)
    assert "x" not in state.live(11.0)


def test_an_incarnation_that_is_leaving_stays_so():
    state = members.MemberState("me", "h")
    state.on_up("x", "h", "1")
    state.on_leaving("x")
    state.on_list([listed("x", is_leaving=False)], 1.0)
    assert "x" not in state.live(1.0)
    state.on_up("x", "h", "2")
    assert "x" in state.live(2.0)


def test_leaving_is_learned_from_the_list_alone():
    state = members.MemberState("me", "h")
    state.on_up("x", "h", "1")
    state.on_list([listed("x", is_leaving=True)], 1.0)
    assert "x" not in state.live(1.0)


def test_the_listed_state_of_an_older_incarnation_is_ignored():
    state = members.MemberState("me", "h")
    state.on_up("x", "h", "2")
    state.on_list([listed("x", incarnation="1", is_leaving=True)], 1.0)
    assert "x" in state.live(1.0)
