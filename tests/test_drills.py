"""Drills in memory: what all instances believe around the store's return from an older copy."""

from __future__ import annotations

import pytest

from bench import drills


@pytest.mark.parametrize("seed", range(3, 13))
def test_a_drill_leaves_no_wrong_belief(seed):
    assert drills.broken(seed) == {}


# Seeds that left a wrong belief on code that was to stand: what a reader held up was listed as if
# it were there (2, 57, 58); a target's leaving was not told to who had just started (32); an
# evacuation ended while the store was away again (87), or in the middle of a second return (359).
SEEDS = (2, 32, 57, 58, 87, 359)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_seed_that_left_a_wrong_belief_does_so_no_more(seed):
    assert drills.broken(seed) == {}
