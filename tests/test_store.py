"""The store's client against the stand-in store, over a network in memory."""

from __future__ import annotations

import pytest
from twisted.internet import defer

from bench import fakes
from lineworks.decisions import positions
from lineworks.models import member, node_settings
from lineworks.platform import store, store_items
from lineworks.platform.standins import store_model, store_server
from lineworks.services import platform_client
from lineworks.standins import memory_network


class World:
    def __init__(self):
        self.clock = fakes.VirtualClock()
        network = memory_network.MemoryNetwork(self.clock, lambda a, b: 0.002)
        self.model = store_model.StoreModel(self.clock)
        self.server = store_server.StoreServer(self.clock, self.model)
        network.host("10.0.0.1").listenTCP(80, self.server.factory)
        self.network = network
        self.client = store.Store(network.host("10.0.0.2"), node_settings.Address("10.0.0.1", 80))

    def start(self, call):
        found = []
        defer.ensureDeferred(call).addBoth(found.append)
        return found

    def do(self, call, seconds=3.0):
        found = self.start(call)
        self.clock.run_until(self.clock.seconds() + seconds)
        assert found, "the call did not end"
        if hasattr(found[0], "raiseException"):
            found[0].raiseException()
        return found[0]

    def write(self, key, value=b"v", **more):
        return self.do(self.client.transact([store_items.Write(key, value)], **more))


def after(position, count=1):
    return positions.Position(position.era, position.revision + count)


@pytest.fixture
def world():
    return World()


def test_what_is_written_is_read_with_its_revision(world):
    position = world.write("a/1", b"\x00\xff")
    assert world.do(world.client.get("a/1")) == store_items.Item("a/1", b"\x00\xff", position)
    assert world.do(world.client.get("a/2")) is None


def test_listings_come_page_by_page(world):
    for number in range(store_model.PAGE_ITEMS + 7):
        world.model.write(f"a/{number:04d}", "dg==")
    world.model.write("b/1", "dg==")
    listing = world.do(world.client.list_items("a/"))
    assert len(listing.items) == store_model.PAGE_ITEMS + 7
    assert world.server.calls["kv-range"] == 2


def test_a_watch_waits_for_a_change_and_tells_removals(world):
    first = world.write("a/1")
    waiting = world.start(world.client.watch("a/", first, 10.0))
    world.clock.run_until(world.clock.seconds() + 2.0)
    assert waiting == []
    world.model.remove("a/1")
    world.clock.run_until(world.clock.seconds() + 1.0)
    assert waiting[0].changes == [store_items.Change("a/1", after(first), None)]


def test_a_watch_without_change_ends_empty(world):
    first = world.write("a/1")
    world.write("b/1")
    found = world.do(world.client.watch("a/", first, 0.5))
    assert found.changes == []
    assert found.position == after(first)


def test_lost_history_is_told(world):
    first = world.write("a/1")
    world.write("a/1")
    world.model.compact()
    with pytest.raises(store.HistoryGoneError):
        world.do(world.client.watch("a/", first, 0.0))


def test_a_condition_that_does_not_hold_writes_nothing(world):
    position = world.write("a/1", b"1")
    with pytest.raises(store.ConflictError):
        world.write("a/1", b"2", expected=[("a/1", after(position))])
    with pytest.raises(store.ConflictError):
        world.write("a/1", b"2", expected=[("a/1", positions.ABSENT)])
    assert world.do(world.client.get("a/1")).value == b"1"
    world.write("a/1", b"3", expected=[("a/1", position)], removed=["a/2"])


def test_keys_go_with_their_lease(world):
    lease = world.do(world.client.grant_lease(20.0))
    world.do(world.client.transact([store_items.Write("a/1", b"v", lease)]))
    for _ in range(3):
        world.clock.run_until(world.clock.seconds() + 10)
        world.do(world.client.renew_lease(lease))
    assert world.do(world.client.get("a/1")) is not None
    world.clock.run_until(world.clock.seconds() + 21)
    assert world.do(world.client.get("a/1")) is None
    with pytest.raises(store.LeaseGoneError):
        world.do(world.client.renew_lease(lease))
    with pytest.raises(store.LeaseGoneError):
        world.do(world.client.transact([store_items.Write("a/1", b"v", lease)]))


def test_a_refusal_is_certain_and_a_lost_answer_is_not(world):
    world.server.faults.is_down = True
    with pytest.raises(store.StoreError) as refused:
        world.write("a/1")
    assert not isinstance(refused.value, store.StoreUnsureError)
    world.server.faults.is_down = False
    world.server.faults.lose_answers = 1
    with pytest.raises(store.StoreUnsureError):
        world.write("a/1")
    assert world.do(world.client.get("a/1")) is not None


def test_a_dead_store_is_told_from_a_silent_one(world):
    world.network.host("10.0.0.1").kill()
    with pytest.raises(store.StoreError, match="ConnectionRefused"):
        world.do(world.client.get("a/1"))


def test_a_connection_whose_answer_was_lost_is_not_used_again(world):
    world.write("a/1")
    world.server.faults.is_silent = True
    with pytest.raises(store.StoreUnsureError):
        world.do(world.client.get("a/1"))
    world.server.faults.is_silent = False
    assert world.do(world.client.get("a/1")).value == b"v"


def test_a_call_can_be_cancelled_while_it_waits(world):
    first = world.write("a/1")
    ended = []
    waiting = defer.ensureDeferred(world.client.watch("a/", first, 20.0))
    waiting.addErrback(lambda failure: ended.append(failure.type))
    world.clock.run_until(world.clock.seconds() + 1)
    waiting.cancel()
    world.model.write("a/1", "dg==")
    world.clock.run_until(world.clock.seconds() + 30)
    assert ended == [defer.CancelledError]
    assert world.do(world.client.get("a/1")).value == b"v"


def test_an_answer_that_is_none_of_the_stores_is_an_error(world):
    with pytest.raises(store.StoreError):
        world.do(world.client.watch("a/", positions.Position(1, "x"), 0.0))


def test_the_products_client_keeps_values_and_members(world):
    client = platform_client.PlatformClient(world.client)
    assert world.do(client.get("k")) == platform_client.Value(None, positions.ABSENT)
    assert world.do(client.compare_and_swap("k", "one", positions.ABSENT))
    assert not world.do(client.compare_and_swap("k", "two", positions.ABSENT))
    value = world.do(client.get("k"))
    assert value.data == "one"
    waiting = world.start(client.watch("k", value.position))
    world.do(client.put("k", "two"))
    assert waiting[0].data == "two"
    me = member.Member("a", "h", "10.0.0.2", 1, "inc", False)
    world.do(client.announce(me, 50.0))
    world.do(client.announce(me, 50.0))
    assert world.server.calls["kv-txn"] == 4
    assert world.server.calls["kv-keep"] == 1
    world.model.write("members/bad", "e30=")
    assert world.do(client.members()) == [me]


def test_an_announcement_whose_lease_is_over_is_made_again(world):
    client = platform_client.PlatformClient(world.client)
    me = member.Member("a", "h", "10.0.0.2", 1, "inc", False)
    world.do(client.announce(me, 5.0))
    world.clock.run_until(world.clock.seconds() + 10)
    assert world.do(client.members()) == []
    world.do(client.announce(me, 5.0))
    assert world.do(client.members()) == [me]


def test_the_products_client_tells_unsure_from_failed(world):
    client = platform_client.PlatformClient(world.client)
    world.server.faults.lose_answers = 1
    with pytest.raises(platform_client.PlatformUnsureError):
        world.do(client.put("k", "one"))
    world.server.faults.is_down = True
    with pytest.raises(platform_client.PlatformError):
        world.do(client.put("k", "two"))
    with pytest.raises(platform_client.PlatformError):
        world.do(client.get("k"))


def test_a_read_without_an_answer_is_repeated_and_ends_in_time(world):
    world.server.faults.is_silent = True
    found = world.start(world.client.get("a/1"))
    world.clock.run_until(world.clock.seconds() + store.CALL_SECONDS + 0.01)
    assert found[0].check(store.StoreUnsureError)
    assert world.server.calls["kv-key"] == 8
    assert world.client.calls["get"] == 8


def test_a_slow_answer_to_the_first_sending_is_taken(world):
    world.write("a/1")
    world.server.faults.delay = 1.0
    before = world.clock.seconds()
    ended = []
    defer.ensureDeferred(world.client.get("a/1")).addCallback(
        lambda item: ended.append(world.clock.seconds())
    )
    world.clock.run_until(before + 2.0)
    assert ended[0] - before == pytest.approx(1.01, abs=0.01)


def test_a_repeated_read_goes_past_connections_that_went_silent(world):
    world.write("a/1")
    world.network.silence("10.0.0.1")
    before = world.clock.seconds()
    item = world.do(world.client.get("a/1"), seconds=0.25)
    assert item.value == b"v"
    assert world.clock.seconds() - before < 0.3


def test_a_cancelled_read_leaves_no_connection_and_no_timer(world):
    world.server.faults.is_silent = True
    call = defer.ensureDeferred(world.client.get("a/1"))
    call.addErrback(lambda failure: None)
    world.clock.run_until(world.clock.seconds() + 0.5)
    call.cancel()
    world.clock.run_until(world.clock.seconds() + 0.1)
    assert not world.network.host("10.0.0.2").open_transports
    asked = world.server.calls["kv-key"]
    world.clock.run_until(world.clock.seconds() + 3.0)
    assert world.server.calls["kv-key"] == asked


def test_a_write_is_never_repeated(world):
    world.server.faults.is_silent = True
    with pytest.raises(store.StoreUnsureError):
        world.write("a/1")
    assert world.server.calls["kv-txn"] == 1


def test_a_watch_that_waits_is_not_repeated(world):
    first = world.write("a/1")
    world.do(world.client.watch("a/", first, 1.0))
    assert world.server.calls["kv-watch"] == 1


def test_a_refusal_for_the_rate_is_told_apart(world):
    world.server.faults.is_busy = True
    with pytest.raises(store.StoreBusyError):
        world.do(world.client.get("a/1"))
    assert world.server.calls["kv-key"] == 1


def restore(world, copy):
    """Let the store go on from a copy of itself."""
    world.model.restore(copy)


def test_the_stand_in_loses_what_was_written_after_its_copy():
    world = World()
    world.write("a/1", b"1")
    copy = world.model.copy()
    lost = world.write("a/2", b"2")
    lease = world.do(world.client.grant_lease(20.0))
    restore(world, copy)
    assert world.do(world.client.get("a/1")).value == b"1"
    assert world.do(world.client.get("a/2")) is None
    assert world.model.grant(20.0) == lease.number
    assert world.model.write("a/3", "dg==") == lost.revision


def test_the_stand_in_does_not_know_a_revision_that_its_copy_lacks():
    world = World()
    world.write("a/1")
    copy = world.model.copy()
    lost = world.write("a/2")
    restore(world, copy)
    with pytest.raises(store.HistoryGoneError):
        world.do(world.client.watch("a/", lost, 0.0))


def test_who_waits_is_told_that_the_store_came_back_from_a_copy():
    world = World()
    copy = world.model.copy()
    first = world.write("a/1")
    waiting = world.start(world.client.watch("a/", first, 10.0))
    world.clock.run_until(world.clock.seconds() + 1.0)
    restore(world, copy)
    world.clock.run_until(world.clock.seconds() + 1.0)
    assert waiting[0].check(store.HistoryGoneError)


def test_the_client_tells_once_that_the_store_came_back_from_a_copy():
    world = World()
    told = []
    world.client.era.listeners.append(lambda: told.append(world.client.era.value))
    world.write("a/1")
    assert (world.client.era.value, told) == (1, [])
    restore(world, world.model.copy())
    world.do(world.client.get("a/1"))
    world.do(world.client.get("a/1"))
    assert told == [2]


def test_a_count_that_has_passed_the_old_place_is_no_continuation():
    world = World()
    copy = world.model.copy()
    known = world.write("a/1")
    restore(world, copy)
    world.model.write("a/2", "dg==")
    world.model.write("a/3", "dg==")
    with pytest.raises(store.HistoryGoneError):
        world.do(world.client.watch("a/", known, 0.0))


def test_who_was_told_of_the_return_by_others_asks_no_more_from_the_old_place():
    world = World()
    known = world.write("a/1")
    world.client.era.learn(2)
    with pytest.raises(store.HistoryGoneError):
        world.do(world.client.watch("a/", known, 0.0))
    assert world.server.calls["kv-watch"] == 0


def test_an_answer_from_before_the_return_is_none():
    world = World()
    world.write("a/1")
    world.server.faults.delay = 0.1
    reading = world.start(world.client.get("a/1"))
    world.clock.run_until(world.clock.seconds() + 0.05)
    world.client.era.learn(2)
    world.clock.run_until(world.clock.seconds() + 3.0)
    assert reading[0].check(store.StoreUnsureError)


def test_pages_of_two_copies_make_up_no_listing():
    world = World()
    for number in range(store_model.PAGE_ITEMS + 7):
        world.model.write(f"a/{number:04d}", "dg==")
    copy = world.model.copy()
    for number in range(store_model.PAGE_ITEMS + 7):
        world.model.remove(f"a/{number:04d}")
        world.model.write(f"b/{number:04d}", "dg==")
    listing = world.start(world.client.list_items(""))
    world.clock.run_until(world.clock.seconds() + 0.007)
    assert world.server.calls["kv-range"] == 1
    restore(world, copy)
    world.clock.run_until(world.clock.seconds() + 1.0)
    assert {item.key[:2] for item in listing[0].items} == {"a/"}
    assert len(listing[0].items) == store_model.PAGE_ITEMS + 7
    assert listing[0].position.era == 2


def test_a_condition_on_a_revision_of_before_the_return_does_not_hold():
    world = World()
    copy = world.model.copy()
    known = world.write("a/1", b"1")
    restore(world, copy)
    assert world.model.write("a/1", "dg==") == known.revision
    world.do(world.client.get("a/1"))
    with pytest.raises(store.ConflictError):
        world.write("a/1", b"2", expected=[("a/1", known)])
    assert world.do(world.client.get("a/1")).value == b"v"


def test_a_write_across_the_return_is_unsure():
    world = World()
    copy = world.model.copy()
    known = world.write("a/1", b"1")
    restore(world, copy)
    world.model.write("a/1", "dg==")
    with pytest.raises(store.StoreUnsureError):
        world.write("a/1", b"2", expected=[("a/1", known)])


def test_a_lease_of_before_the_return_is_nobody_elses():
    world = World()
    copy = world.model.copy()
    lease = world.do(world.client.grant_lease(20.0))
    restore(world, copy)
    assert world.model.grant(20.0) == lease.number
    world.model.transact((), (("others/key", "dg==", lease.number),), ())
    world.do(world.client.get("others/key"))
    with pytest.raises(store.LeaseGoneError):
        world.do(world.client.renew_lease(lease))
    with pytest.raises(store.LeaseGoneError):
        world.do(world.client.transact([store_items.Write("a/1", b"v", lease)]))
    world.do(world.client.end_lease(lease))
    assert world.do(world.client.get("others/key")) is not None


def test_a_renewal_across_the_return_tells_that_the_lease_is_over():
    world = World()
    copy = world.model.copy()
    lease = world.do(world.client.grant_lease(20.0))
    restore(world, copy)
    world.model.grant(20.0)
    with pytest.raises(store.LeaseGoneError):
        world.do(world.client.renew_lease(lease))


def test_an_announcement_whose_lease_was_lost_is_made_again():
    world = World()
    client = platform_client.PlatformClient(world.client)
    copy = world.model.copy()
    me = member.Member("a", "h", "10.0.0.2", 1, "inc", False)
    world.do(client.announce(me, 50.0))
    restore(world, copy)
    world.model.grant(50.0)
    world.do(client.announce(me, 50.0))
    assert world.do(client.members()) == [me]


def test_an_era_that_is_no_number_is_an_error():
    world = World()
    world.server.era_header = lambda: b"soon"
    with pytest.raises(store.StoreError, match="no number"):
        world.do(world.client.get("a/1"))
