"""Searches that come at once and find their targets full."""

from __future__ import annotations

from tests import test_forwarding


def test_concurrent_searches_are_answered_as_soon_as_target_slots_are_free():
    # Two targets a shard, each with room for two requests of 0.03 s: two rounds, and the ways.
    world = test_forwarding.build()
    replies = [world.ask("akl-1", "/search/q", attempt=f"q{number}") for number in range(8)]
    world.run(1.0)
    for number, reply in enumerate(replies):
        assert test_forwarding.check_search(world, reply, f"q{number}") == 0
    assert max(reply.seconds for reply in replies) < 0.1
