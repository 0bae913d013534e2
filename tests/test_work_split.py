"""A search over many shards is split among several instances of a hall, a small one is not."""

from __future__ import annotations

import collections
import random

import pytest

from bench import fakes
from lineworks.decisions import gather_rate, mechanisms, parts, work_split
from lineworks.standins import deployment

MANY = 110


def build(shards=MANY, without=(), work=lambda: 0.01, halls=deployment.HALLS, nodes=4):
    world = deployment.Deployment(fakes.VirtualClock())
    world.without = frozenset(without)
    services = [f"s{number:03d}" for number in range(shards)]
    for service in services:
        for hall in halls:
            world.add_target(service, hall, work)
    world.configure(
        [
            {
                "Name": "search",
                "PathPrefix": "/search/",
                "Fanout": services,
                "TopK": 50,
                "OldestVersion": 0.95,
            }
        ]
    )
    for hall in deployment.HALLS:
        for number in range(nodes):
            world.add_node(f"{hall}-{number}", hall)
    world.run(4.0)
    return world


def count_calls(world):
    """Count the calls to targets by attempt and instance."""
    calls = collections.defaultdict(collections.Counter)
    for name, node in world.nodes.items():
        send = node._calls.send

        def counted(state, call, on_end, name=name, send=send):
            calls[call.attempt.decode()][name] += 1
            return send(state, call, on_end)

        node._calls.send = counted
    return calls


def ask(world, name, attempt):
    reply = world.ask(name, "/search/q", attempt=attempt)
    world.run(0.6)
    return reply


def check(world, reply, attempt, shards=MANY):
    assert reply.status == 200
    stamps = [part.strip() for part in reply.headers["x-part-stamps"].split(",")]
    assert len(stamps) + int(reply.headers["x-parts-missing"]) == shards
    assert len({stamp.split(".")[0] for stamp in stamps}) == len(stamps)
    records = []
    for stamp in stamps:
        records += parts.split_records(world.targets[stamp.split(".")[2]].records(attempt))
    assert reply.body == b"".join(parts.top_records(records, 50))
    return len(stamps)


@pytest.mark.parametrize("halls", [deployment.HALLS, ("wlg",)])
def test_no_instance_queries_too_many_shards_of_a_large_search(halls):
    # Guards against one instance querying all 110 targets of its hall, which took about 13 ms of a
    # core.
    world = build(halls=halls)
    calls = count_calls(world)
    for name in ("akl-0", "wlg-1", "chc-3"):
        reply = ask(world, name, name)
        assert check(world, reply, name) == MANY
        assert sum(calls[name].values()) == MANY
        assert max(calls[name].values()) <= work_split.MAX_SHARDS_PER_INSTANCE
    assert not sum(node._counters.hedges for node in world.nodes.values())


def test_without_the_mechanism_one_instance_queries_all_shards():
    world = build(without=[mechanisms.Mechanism.WORK_SPLIT])
    calls = count_calls(world)
    check(world, ask(world, "akl-0", "q"), "q")
    assert max(calls["q"].values()) == MANY


def test_a_small_search_is_not_split():
    world = build(shards=work_split.MAX_SHARDS_PER_INSTANCE)
    calls = count_calls(world)
    check(world, ask(world, "akl-0", "q"), "q", work_split.MAX_SHARDS_PER_INSTANCE)
    assert dict(calls["q"]) == {"akl-0": work_split.MAX_SHARDS_PER_INSTANCE}


def test_an_instance_alone_in_its_hall_queries_all_shards():
    world = build(nodes=1)
    calls = count_calls(world)
    assert check(world, ask(world, "akl-0", "q"), "q") == MANY
    assert dict(calls["q"]) == {"akl-0": MANY}


@pytest.mark.parametrize("fault", ["kill", "freeze"])
def test_the_loss_of_a_helper_loses_no_answer_and_counts_no_shard_twice(fault):
    world = build(work=lambda: 0.03)
    calls = count_calls(world)
    reply = world.ask("akl-0", "/search/q", attempt="q")
    world.run(0.015)
    helper = next(name for name in calls["q"] if name != "akl-0")
    getattr(world.host_of(helper), fault)()
    world.run(1.0)
    assert check(world, reply, "q") >= 0.95 * MANY


@pytest.mark.parametrize("seed", range(20))
def test_pieces_contain_every_item_once_and_are_of_similar_size(seed):
    rng = random.Random(seed)
    items = list(range(rng.randint(0, 400)))
    helpers = rng.randint(0, 9)
    count = work_split.pieces(len(items), helpers)
    found = gather_rate.divide(items, [gather_rate.UNKNOWN] * count)
    assert 1 <= count <= max(1, helpers)
    assert sorted(item for piece in found for item in piece) == items
    sizes = [len(piece) for piece in found]
    assert max(sizes) - min(sizes) <= 1
    assert len(items) > work_split.MAX_SHARDS_PER_INSTANCE or count == 1


def test_slightly_slower_targets_of_the_own_hall_are_queried_directly():
    # Querying slightly slower targets in the instance's own hall may avoid querying another hall.
    # They must be queried directly, since going through a peer costs another message round trip.
    world = build(shards=30)
    for target in list(world.targets.values()):
        if target.hall == ("wlg" if target.service < "s010" else "chc"):
            world.withdraw(target)
    world.run(3.0)
    calls = count_calls(world)
    front = world.nodes["akl-0"]
    now = world.clock.seconds()
    for state in front._book.states:
        is_slower = state.hall == "akl" and state.replica.target.service < "s020"
        for _ in range(30):
            front._book.note_answer(state, now, 0.07 if is_slower else 0.01)
    check(world, ask(world, "akl-0", "q"), "q", 30)
    assert dict(calls["q"]) == {"akl-0": 30}
