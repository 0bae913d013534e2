"""One row of the store that can't be used holds back nothing else.

A target's entry with a port of thousands of digits, or with a deeply nested field, raised an error
that no reader expected. The whole read failed, and every later one met the same row: no instance
followed the store any more.
"""

from __future__ import annotations

import json

import pytest
import structlog.testing

from bench import fakes
from lineworks.decisions import positions
from lineworks.forwarding import refused_rows, store_reads
from lineworks.platform import target_entries
from lineworks.platform.standins import documents, store_model
from tests import test_foreign_entries, test_forwarding

IN_FORCE_SECONDS = 3.0
"""Seconds within which a configuration is in force, and a leaving target gets no new request."""

EXTRA_ROUTE = {**test_forwarding.READ, "Name": "extra", "PathPrefix": "/extra/"}
GOOD = test_foreign_entries.GOOD


def nested(depth):
    return "[" * depth + "]" * depth


def with_text(name, text):
    """Return an entry whose field holds unparsed JSON."""
    return json.dumps({**GOOD, name: "@"}).replace('"@"', text)


ODD_ENTRIES = {
    "a port of 4400 digits": with_text("Address", '"10.1.2.3:' + "9" * 4400 + '"'),
    "a port out of range": with_text("Address", '"10.1.2.3:70000"'),
    "an IPv6 address": with_text("Address", '"::1:8000"'),
    "the address of no machine": with_text("Address", '"0.0.0.0:8000"'),
    "a nested address": with_text("Address", nested(900)),
    "a nested state": with_text("State", nested(900)),
    "a nested start time": with_text("born", nested(2000)),
    "a table with a long number": with_text("Capacity", '{"a": ' + "9" * 4200 + "}"),
    "a capacity of 4400 digits": with_text("Capacity", "9" * 4400),
    "an infinite capacity": with_text("Capacity", "1e999"),
    "a service of a megabyte": with_text("Service", json.dumps("s" * 700_000)).replace(
        '"born"', '"bern"'
    ),
    "half a character": with_text("Zone", '"\\ud800"'),
    "no JSON": "\x00\xff{",
}


@pytest.mark.parametrize("name", list(test_foreign_entries.GOOD))
def test_a_nested_field_is_refused_at_every_depth(name):
    # At some depths the value can be parsed, and formatting it for the error fails.
    for depth in (400, *range(960, 1000), 1500, 100_000):
        with pytest.raises(target_entries.EntryError):
            target_entries.decode("servers/i-1", with_text(name, nested(depth)).encode())


@pytest.mark.parametrize("digits", [5, 4300, 4301, 5000])
def test_a_port_of_many_digits_is_refused(digits):
    text = with_text("Address", '"10.1.2.3:' + "9" * digits + '"')
    with pytest.raises(target_entries.EntryError, match=r"servers/i-1: Address: expected IP:PORT"):
        target_entries.decode("servers/i-1", text.encode())


HOSTS_OF_NO_MACHINE = [
    "::1",
    "fe80::1%0",
    "0.0.0.0",
    "224.0.0.1",
    "255.255.255.255",
    "1.2.3",
    "1.2.3.256",
]


@pytest.mark.parametrize("host", HOSTS_OF_NO_MACHINE)
def test_an_address_that_cannot_be_dialled_is_refused(host):
    text = with_text("Address", f'"{host}:8000"')
    with pytest.raises(target_entries.EntryError, match="Address"):
        target_entries.decode("servers/i-1", text.encode())


def test_an_ipv6_entry_of_a_service_costs_no_caller_an_answer():
    world = test_forwarding.build()
    entry = {**GOOD, "Service": "shelf", "Zone": "akl", "Address": "::1:8000"}
    write_odd_entry(world, json.dumps(entry))
    world.run(2.0)
    for _ in range(3):
        assert statuses(world, "/read/q") == {200}


def write_odd_entry(world, text):
    world.store.write("servers/i-odd", documents.encode_value(text))


def change_route_and_target(world):
    """Add a route and let a target leave, as an operator and a target do; return the target."""
    world.configure([test_forwarding.SEARCH, test_forwarding.READ, EXTRA_ROUTE])
    leaving = test_forwarding.targets_of(world, "shelf")[0]
    world.announce(leaving, "draining")
    return leaving


def statuses(world, path):
    replies = [world.ask(name, path) for name in world.nodes for _ in range(3)]
    world.run(1.0)
    return {reply.status for reply in replies}


@pytest.mark.parametrize("kind", list(ODD_ENTRIES))
def test_an_odd_entry_keeps_no_instance_from_following_the_store(kind):
    world = test_forwarding.build()
    write_odd_entry(world, ODD_ENTRIES[kind])
    world.run(0.5)
    leaving = change_route_and_target(world)
    world.run(IN_FORCE_SECONDS)
    assert statuses(world, "/extra/q") == {200}
    assert all(run.target != leaving.name for run in world.runs)


@pytest.mark.parametrize("kind", list(ODD_ENTRIES))
def test_an_instance_that_starts_beside_an_odd_entry_serves_the_newest_configuration(kind):
    world = test_forwarding.build()
    write_odd_entry(world, ODD_ENTRIES[kind])
    world.run(0.5)
    leaving = change_route_and_target(world)
    world.add_node("akl-9", "akl")
    world.run(IN_FORCE_SECONDS)
    assert world.is_ready("akl-9")
    reply = world.ask("akl-9", "/extra/q")
    world.run(1.0)
    assert reply.status == 200
    assert all(run.target != leaving.name for run in world.runs)


def test_a_refused_entry_is_logged_once_for_each_revision_with_key_and_reason():
    world = test_forwarding.build()
    with structlog.testing.capture_logs() as lines:
        write_odd_entry(world, ODD_ENTRIES["a port out of range"])
        world.run(3.0)
        world.store.compact()
        world.configure([test_forwarding.READ])
        world.run(5.0)
        write_odd_entry(world, ODD_ENTRIES["no JSON"])
        world.run(3.0)
    refused = [line for line in lines if line["event"] == "entry_refused"]
    readers = {
        node._directory for node in world.nodes.values() if node._directory.refused_rows.total
    }
    assert {line["key"] for line in refused} == {"servers/i-odd"}
    assert len({line["revision"] for line in refused}) == 2
    assert len(refused) == sum(reader.refused_rows.total for reader in readers)
    assert all(reader.refused_rows.current == 1 for reader in readers)
    assert any("Address" in line["error"] for line in refused)


def test_a_key_is_no_longer_unusable_once_a_good_entry_is_written_or_it_is_removed():
    rows = refused_rows.RefusedRows(fakes.VirtualClock(), "directory")
    for key in ("a", "b", "c"):
        rows.refuse("entry_refused", key, positions.Position(1, 5), "odd")
    rows.accept("a")
    rows.keep_only(["c"])
    assert (rows.total, rows.current) == (3, 1)


def test_any_number_of_odd_rows_takes_bounded_memory():
    rows = refused_rows.RefusedRows(fakes.VirtualClock(), "directory")
    for number in range(3 * refused_rows.MAX_KEYS):
        rows.refuse("entry_refused", f"servers/{number}", positions.Position(1, number), "odd")
    assert rows.current == refused_rows.MAX_KEYS
    assert rows.total == 3 * refused_rows.MAX_KEYS


def test_a_rejected_answer_is_logged_with_its_position_and_not_at_each_read():
    clock = fakes.VirtualClock()
    reads = store_reads.StoreReads(clock)
    with structlog.testing.capture_logs() as lines:
        for _ in range(40):
            reads.on_rejected(ValueError("odd"), positions.Position(1, 77))
            clock.run_until(clock.seconds() + 1.0)
    assert [line["revision"] for line in lines] == [77, 77]
    assert lines[1]["repeats"] == 29
    assert reads.counts["rejected"] == 40


def test_metrics_tell_failed_reads_from_reads_without_a_change():
    world = test_forwarding.build()
    world.run(5.0)
    reader = max(world.nodes.values(), key=lambda node: node._directory.reads.counts["unchanged"])
    before = dict(reader._gauges()["lineworks_store_reads"])
    world.server.faults.is_down = True
    world.run(5.0)
    after = reader._gauges()["lineworks_store_reads"]
    assert before["unchanged"] > 0
    assert after["failed"] > before["failed"]
    assert reader._gauges()["lineworks_store"]["revision"] == world.store.revision


ODD_ROWS = {
    "a key with half a character": ("servers/\ud800", documents.encode_value("{}")),
    "an empty key": ("", documents.encode_value("{}")),
    "an entry that is no base64": ("servers/i-odd", "%%%"),
    "an instance's key that is no base64": ("lineworks/nodes/odd", "%%%"),
    "a record of a request that is no base64": ("lineworks/suspects/odd", "%%%"),
}


@pytest.mark.parametrize("kind", list(ODD_ROWS))
@pytest.mark.parametrize("is_listed", [False, True])
def test_a_row_that_cannot_be_read_affects_no_other_row_of_its_answer(kind, is_listed):
    world = test_forwarding.build()
    world.store.write(*ODD_ROWS[kind])
    leaving = change_route_and_target(world)
    if is_listed:
        world.store.compact()
    world.run(IN_FORCE_SECONDS)
    assert statuses(world, "/extra/q") == {200}
    assert all(run.target != leaving.name for run in world.runs)
    refused = [node._directory.refused_rows.total for node in world.nodes.values()]
    # The store lists no empty key, and the last two rows belong to other readers.
    is_listed_row = "entry" in kind or "half" in kind
    assert any(refused) or not is_listed_row


def test_a_target_whose_entry_is_no_base64_is_not_used_until_a_good_one_is_written():
    world = test_forwarding.build()
    first, *others = test_forwarding.targets_of(world, "shelf")
    world.store.write(documents.target_key(first.name), "%%%")
    world.run(IN_FORCE_SECONDS)
    assert statuses(world, "/read/q") == {200}
    assert {run.target for run in world.runs} <= {target.name for target in others}
    for target in others:
        world.withdraw(target)
    world.announce(first)
    world.run(IN_FORCE_SECONDS)
    assert statuses(world, "/read/q") == {200}


def test_an_evacuation_counts_whatever_its_value_is():
    world = test_forwarding.build()
    world.store.write(documents.evacuation_key("wlg"), "%%%")
    world.run(IN_FORCE_SECONDS)
    assert all(node._directory.evacuated == {"wlg"} for node in world.nodes.values())


def test_a_listing_goes_on_behind_pages_of_unusable_rows():
    world = test_forwarding.build()
    for number in range(store_model.PAGE_ITEMS + 10):
        world.store.write(f"lineworks/nodes/odd-{number:04d}", "%%%")
    world.store.write("lineworks/nodes/\ud800", "")
    world.configure([test_forwarding.READ, EXTRA_ROUTE])
    world.add_node("akl-9", "akl")
    world.run(IN_FORCE_SECONDS)
    assert statuses(world, "/extra/q") == {200}
    assert world.nodes["akl-9"]._directory.reads.counts["listed"] == 1


def failing_once_on(key, apply):
    """Wrap a listener so that it fails whenever a row has a given key."""

    def listener(rows):
        apply([row for row in rows if row.key != key])
        if any(row.key == key for row in rows):
            raise KeyError(key)

    return listener


def test_a_row_that_a_listener_fails_on_keeps_no_other_row_from_it_or_from_the_peers():
    world = test_forwarding.build()
    seen = {}
    for name, node in world.nodes.items():
        seen[name] = []
        listeners = node._directory.listeners.rows
        listeners["first"] = failing_once_on("lineworks/x", lambda rows: None)
        listeners["second"] = seen[name].extend
    world.store.write("lineworks/x", documents.encode_value("{}"))
    world.store.write("lineworks/y", documents.encode_value("{}"))
    leaving = change_route_and_target(world)
    world.run(IN_FORCE_SECONDS)
    assert statuses(world, "/extra/q") == {200}
    assert all(run.target != leaving.name for run in world.runs)
    for name, node in world.nodes.items():
        keys = [row.key for row in seen[name]]
        if node._directory.reads.counts["changed"]:
            assert keys.count("lineworks/x") == keys.count("lineworks/y") == 1
        assert node._directory.reads.counts["rejected"] == 0


def test_targets_that_could_not_be_taken_over_are_reported_again():
    world = test_forwarding.build()
    node = world.nodes["akl-1"]
    apply = node._directory.on_targets
    failures = [RuntimeError("fault")] * 3

    def on_targets():
        if failures:
            raise failures.pop()
        apply()

    node._directory.on_targets = on_targets
    with structlog.testing.capture_logs() as lines:
        leaving = change_route_and_target(world)
        world.run(IN_FORCE_SECONDS + 1.5)
    assert statuses(world, "/extra/q") == {200}
    assert all(run.target != leaving.name for run in world.runs)
    assert node._directory.listeners.failures == 3
    assert sum(line["event"] == "listener_failed" for line in lines) <= 2


def test_a_target_whose_entry_becomes_odd_right_after_an_outage_gets_no_new_request():
    # A missing entry is kept for a while then, since its target may not have renewed it yet.
    world = test_forwarding.build()
    world.server.faults.is_down = True
    world.run(4.0)
    first = test_forwarding.targets_of(world, "shelf")[0]
    world.store.write(documents.target_key(first.name), documents.encode_value("{}"))
    world.server.faults.is_down = False
    world.run(1.9)
    readers = [n for n in world.nodes.values() if n._directory.refused_rows.total]
    assert readers
    for node in readers:
        assert first.name not in node._directory._view.entries
    world.run(1.0)
    assert statuses(world, "/read/q") == {200}
    assert all(run.target != first.name for run in world.runs)


@pytest.mark.parametrize("born", [10**13, 2**62])
def test_a_start_time_beyond_all_dates_does_not_hide_a_drain_behind_it(born):
    world = test_forwarding.build()
    first = test_forwarding.targets_of(world, "shelf")[0]
    entry = {**GOOD, "Service": "shelf", "Address": f"{first.host.address}:8000", "born": born}
    world.store.write(documents.target_key(first.name), documents.encode_value(json.dumps(entry)))
    world.run(2.0)
    first.born = 1_700_000_000_000
    world.announce(first)
    world.run(IN_FORCE_SECONDS)
    world.announce(first, "draining")
    world.run(IN_FORCE_SECONDS)
    assert statuses(world, "/read/q") == {200}
    assert all(run.target != first.name for run in world.runs)


@pytest.mark.parametrize("odd", [{"Priority": 2**62}, {"TopK": 2**62}, {"TopK": 0}])
def test_a_route_with_a_number_at_the_end_of_its_range_is_served(odd):
    world = test_forwarding.build()
    world.configure([{**test_forwarding.SEARCH, **odd}, test_forwarding.READ])
    world.run(IN_FORCE_SECONDS)
    assert statuses(world, "/search/q") == {200}


def readers_of(world):
    """Return the directories that have refused a row."""
    directories = [node._directory for node in world.nodes.values()]
    return [one for one in directories if one.refused_rows.total]


@pytest.mark.parametrize("is_listed", [False, True])
def test_an_odd_entry_that_is_removed_is_no_longer_counted_as_unusable(is_listed):
    world = test_forwarding.build()
    write_odd_entry(world, "{}")
    world.run(IN_FORCE_SECONDS)
    assert {one.refused_rows.current for one in readers_of(world)} == {1}
    world.drill.remove("servers/i-odd")
    if is_listed:
        world.store.compact()
    world.run(IN_FORCE_SECONDS)
    assert {one.refused_rows.current for one in readers_of(world)} == {0}


@pytest.mark.parametrize("is_listed", [False, True])
def test_the_reason_why_a_row_cannot_be_read_is_logged(is_listed):
    world = test_forwarding.build()
    with structlog.testing.capture_logs() as lines:
        world.store.write("servers/i-odd", "%%%")
        world.store.write("servers/\ud800", "e30=")
        if is_listed:
            world.store.compact()
        world.run(IN_FORCE_SECONDS)
    reasons = {line["event"]: line["error"] for line in lines if "error" in line}
    assert reasons["entry_refused"].startswith("Value: ")
    assert "PrivateKey" in reasons["row_skipped"]
