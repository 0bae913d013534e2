"""Tests of concurrent searches that find all slots of their targets in use."""

from __future__ import annotations

from tests import test_forwarding


def test_concurrent_searches_are_answered_as_soon_as_target_slots_are_free():
    # Each shard has two targets with two slots and 0.03 s per request, so eight searches take two
    # rounds plus network delays.
    world = test_forwarding.build()
    replies = [world.ask("akl-1", "/search/q", attempt=f"q{number}") for number in range(8)]
    world.run(1.0)
    for number, reply in enumerate(replies):
        assert test_forwarding.check_search(world, reply, f"q{number}") == 0
    assert max(reply.seconds for reply in replies) < 0.1
