"""Ownership by rendezvous hashing."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies as st

from lineworks.decisions import ownership

_names = st.sets(st.integers(0, 500).map(lambda number: f"i-{number}"), min_size=1, max_size=40)


@hypothesis.given(_names, st.integers(1, 4))
@hypothesis.settings(max_examples=100)
def test_the_order_of_instances_does_not_matter(names, count):
    first = ownership.owners("s", sorted(names), count)
    assert first == ownership.owners("s", sorted(names, reverse=True), count)
    assert len(first) == min(count, len(names))


@hypothesis.given(_names, st.data())
@hypothesis.settings(max_examples=100)
def test_only_services_of_a_lost_instance_move(names, data):
    lost = data.draw(st.sampled_from(sorted(names)))
    for number in range(20):
        before = ownership.owners(f"s{number}", names, 3)
        after = ownership.owners(f"s{number}", names - {lost}, 3)
        if lost not in before:
            assert before == after
        else:
            assert set(before) - {lost} <= set(after)


@hypothesis.given(st.integers(5, 1000), st.integers(0, 2))
@hypothesis.settings(max_examples=100)
def test_owners_with_differing_views_stay_within_the_connection_limit(connections, extra):
    presumed = ownership.owner_count(connections) + extra
    assert presumed * ownership.connection_share(connections) <= max(connections, presumed)


def test_services_are_spread_evenly_over_instances():
    names = [f"i-{number}" for number in range(10)]
    counts = dict.fromkeys(names, 0)
    for number in range(2000):
        for name in ownership.owners(f"s{number}", names, 3):
            counts[name] += 1
    assert 500 < min(counts.values()) <= max(counts.values()) < 700
