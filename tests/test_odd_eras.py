"""One odd era of the store, from an answer or from a peer, does not shut out the store."""

from __future__ import annotations

import pytest

from lineworks.decisions import positions
from lineworks.wire import frames, node_frames
from tests import test_forwarding, test_odd_rows

ODD_ERAS = [10**6, 2**62, 2**64, 10**400]


@pytest.mark.parametrize("era", [*ODD_ERAS, -1])
def test_an_odd_era_in_answers_of_the_store_does_not_stop_the_reads(era):
    world = test_forwarding.build()
    usual = world.server.era_header
    world.server.era_header = lambda: b"%d" % era
    world.run(1.0)
    world.server.era_header = usual
    test_odd_rows.check_the_store_is_followed(world)
    assert {node._store.era.value for node in world.nodes.values()} == {int(usual())}


@pytest.mark.parametrize("era", [10**6, 2**62, 2**64 - 1])
def test_an_odd_era_in_a_heartbeat_does_not_stop_the_reads(era):
    world = test_forwarding.build()
    world.nodes["akl-1"]._links.broadcast(frames.Heartbeat(False, 1, "", 6, era))
    test_odd_rows.check_the_store_is_followed(world)
    refused = [node._store.era.refused_count for node in world.nodes.values()]
    assert sum(refused) == 5


def test_targets_with_an_odd_era_from_a_peer_do_not_stop_the_reads():
    world = test_forwarding.build()
    sender = world.nodes["akl-1"]
    at = positions.Position(10**6, 1)
    sender._links.broadcast(
        node_frames.TargetUpdate(sender.directory._view.position, at, 0.0, b"[]")
    )
    test_odd_rows.check_the_store_is_followed(world)
    assert all(node.directory._view.position.era < 10**6 for node in world.nodes.values())


def test_the_restores_of_a_long_absence_are_believed():
    world = test_forwarding.build()
    store = world.nodes["akl-1"]._store
    store.era.learn(store.era.value + 900)
    assert store.era.refused_count == 0
