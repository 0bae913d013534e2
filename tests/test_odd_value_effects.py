"""One bad value or one failure that would hold back, end or mislead what is behind it."""

from __future__ import annotations

import base64
import json
import os
import random
import socket
import time
import types

import pytest
import structlog.testing
from twisted.internet import protocol, selectreactor

from bench import fakes
from lineworks.decisions import claims, fingerprints, positions, suspects, target_view
from lineworks.forwarding import (
    registration,
    single,
    suspect_documents,
    target_documents,
)
from lineworks.http1 import server_connection
from lineworks.kernel import early_acceptor, failure_log, listening
from lineworks.platform import headers, store_items
from lineworks.platform import settings as platform_settings
from lineworks.platform.standins import documents, store_model
from lineworks.services import (
    auth,
    claim_writer,
    config_keeper,
    config_store,
    platform_client,
)
from tests import (
    test_early_callers,
    test_forwarding,
    test_server_connection,
    test_store,
    test_store_answers,
    test_store_rows,
)

IN_FORCE_SECONDS = test_store_rows.IN_FORCE_SECONDS


def run_as_a_reactor(world, seconds):
    """Advance the clock; a reactor logs an error of a call and goes on with the next one."""
    until = world.clock.seconds() + seconds
    errors = []
    while world.clock.seconds() < until:
        try:
            world.clock.run_until(until)
        except Exception as error:
            errors.append(error)
    return errors


@pytest.mark.parametrize("era", [b"9" * 30, b"9" * 15])
def test_an_odd_era_in_one_answer_of_the_store_does_not_end_reads_and_links(era):
    world = test_forwarding.build()
    good = world.server.era_header
    world.server.era_header = lambda: era
    run_as_a_reactor(world, 2.0)
    world.server.era_header = good
    run_as_a_reactor(world, 10.0)
    leaving = test_store_rows.change_route_and_target(world)
    errors = run_as_a_reactor(world, IN_FORCE_SECONDS)
    first = len(world.runs)
    for name in world.nodes:
        for _ in range(3):
            world.ask(name, "/read/q")
    replies = [world.ask(name, "/extra/q") for name in world.nodes]
    run_as_a_reactor(world, 1.0)
    to_leaving = [run for run in world.runs[first:] if run.target == leaving.name]
    statuses = {reply.status for reply in replies}
    assert (statuses, len(to_leaving), len(errors)) == ({200}, 0, 0)


@pytest.mark.parametrize("era", [b"9" * 30, b"9" * 15])
def test_an_odd_era_does_not_keep_an_instance_that_starts_later_from_serving(era):
    world = test_forwarding.build()
    good = world.server.era_header
    world.server.era_header = lambda: era
    run_as_a_reactor(world, 2.0)
    world.server.era_header = good
    node = world.add_node("akl-9", "akl")
    run_as_a_reactor(world, 10.0)
    assert (node._directory.is_complete, len(node._links.up)) == (True, 6)


@pytest.mark.parametrize("born", [2_000_000_000_000, 4_000_000_000_000])
def test_a_start_time_in_the_future_does_not_hide_a_drain_behind_it(born):
    world = test_forwarding.build()
    first = test_forwarding.targets_of(world, "shelf")[0]
    address = f"{first.host.address}:8000"
    entry = {**test_store_rows.GOOD, "Service": "shelf", "Address": address, "born": born}
    world.store.write(documents.target_key(first.name), documents.encode_value(json.dumps(entry)))
    world.run(2.0)
    first.born = 1_700_000_000_000
    world.announce(first)
    world.run(IN_FORCE_SECONDS)
    world.announce(first, "draining")
    world.run(IN_FORCE_SECONDS)
    assert test_store_rows.statuses(world, "/read/q") == {200}
    assert all(run.target != first.name for run in world.runs)


def test_an_entry_with_a_start_time_in_the_future_does_not_outlive_good_ones_behind_it():
    world = test_forwarding.build()
    first = test_forwarding.targets_of(world, "shelf")[0]
    odd = {"Service": "shelf", "Address": "10.9.9.9:8000", "born": 4_000_000_000_000}
    text = json.dumps({**test_store_rows.GOOD, **odd})
    world.store.write(documents.target_key(first.name), documents.encode_value(text))
    world.run(2.0)
    first.born = 1_700_000_000_000
    for _ in range(3):
        # A running target writes its entry at each heartbeat.
        world.announce(first)
        world.run(1.2)
    views = [node._directory._view for node in world.nodes.values()]
    assert {view.entries[first.name].host for view in views} == {first.host.address}


def failing_once(apply):
    """Wrap a function so that its first call fails; return it and the list of later calls."""
    calls = []

    def call(*args):
        calls.append(args)
        if len(calls) == 1:
            raise RuntimeError("fault")
        return apply(*args)

    return call, calls


def test_an_instance_that_could_not_take_over_a_configuration_does_not_say_that_it_is_ready():
    world = test_forwarding.build()
    node = world.nodes["akl-1"]
    node._front.set_table, calls = failing_once(node._front.set_table)
    test_store_rows.change_route_and_target(world)
    world.run(10.0)
    assert calls
    reply = world.ask("akl-1", "/extra/q")
    world.run(1.0)
    assert (node._directory.version, reply.status) == (node._front.table.version, 200)


def test_targets_that_were_not_taken_over_with_a_configuration_are_reported_again():
    world = test_forwarding.build()
    node = world.nodes["akl-1"]
    node._book.update, calls = failing_once(node._book.update)
    world.configure([test_forwarding.SEARCH, test_forwarding.READ, test_store_rows.EXTRA_ROUTE])
    world.run(10.0)
    assert len(calls) >= 2


def test_an_instance_starts_beside_a_page_of_rows_without_usable_keys():
    world = test_forwarding.build()
    for number in range(store_model.PAGE_ITEMS + 10):
        world.store.write(f"lineworks/nodes/{number:04d}\ud800", documents.encode_value("{}"))
    world.add_node("akl-9", "akl")
    world.run(IN_FORCE_SECONDS)
    assert world.nodes["akl-9"]._directory.reads.counts["listed"] == 1


def test_a_refused_entry_is_still_a_refused_one_for_the_peers():
    change = target_view.TargetChange("i-1", positions.Position(1, 5), None, is_refused=True)
    assert target_documents.decode(target_documents.encode([change])) == [change]


def test_a_target_whose_entry_becomes_odd_after_an_outage_is_not_used_by_any_instance():
    world = test_forwarding.build()
    world.server.faults.is_down = True
    world.run(4.0)
    first = test_forwarding.targets_of(world, "shelf")[0]
    world.server.faults.is_down = False
    world.run(0.9)
    world.store.write(documents.target_key(first.name), documents.encode_value("{}"))
    users = {}
    for _ in range(40):
        world.run(0.1)
        views = {name: node._directory._view for name, node in world.nodes.items()}
        known = max(view.position for view in views.values())
        for name, view in views.items():
            if view.position == known and first.name in view.entries:
                refused = any(n._directory.refused_rows.total for n in world.nodes.values())
                users[name] = users.get(name, 0) + refused
    assert not any(users.values()), users


def test_a_record_with_a_long_attempt_of_a_caller_can_be_read_by_others():
    attempt = fingerprints.name_attempt(b"\xe9" * 16_000)
    ends = (suspects.TargetEnd("i-1", attempt, 0.0, True, True),)
    record = suspects.Record("ab12", 1, ends)
    data = suspect_documents.encode(record)
    assert suspect_documents.decode("ab12", data, 0.0) == record


def test_a_long_attempt_of_a_caller_keeps_no_instance_from_learning_of_a_suspect():
    world = test_forwarding.build()
    target = test_forwarding.targets_of(world, "shelf")[0]
    target.is_fatal = lambda run: True
    target.on_crash = lambda run: world.crash(target, 2.0)
    for other in test_forwarding.targets_of(world, "shelf"):
        if other is not target:
            world.withdraw(other)
    world.run(2.0)
    head = b"GET /read/q HTTP/1.1\r\nHost: x.example\r\nX-Time-Budget: 1000\r\nX-Attempt-Id: "
    world.send("akl-1", head + b"\xe9" * 3000 + b"\r\n\r\n")
    world.run(5.0)
    assert any(node._suspects.records for node in world.nodes.values())
    refused = {name: n._suspects.counts["documents_refused"] for name, n in world.nodes.items()}
    assert not any(refused.values()), refused


def test_entries_with_long_services_close_no_link():
    world = test_forwarding.build()
    for number in range(8):
        entry = {**test_store_rows.GOOD, "Service": "s" * 700_000}
        text = json.dumps(entry)
        world.store.write(f"servers/i-odd-{number}", documents.encode_value(text))
    world.run(5.0)
    counts = {name: dict(node._links.counts) for name, node in world.nodes.items()}
    assert not any(counts.values()), counts


def test_entries_with_long_services_make_no_long_log_line():
    world = test_forwarding.build()
    with structlog.testing.capture_logs() as lines:
        entry = {**test_store_rows.GOOD, "Service": "s" * 700_000}
        world.store.write("servers/i-odd", documents.encode_value(json.dumps(entry)))
        world.run(3.0)
    assert max(len(str(line)) for line in lines) < 10_000


def test_a_request_that_cannot_be_started_is_not_in_progress_for_ever(monkeypatch):
    world = test_forwarding.build()

    def fail(self):
        raise RuntimeError("fault")

    monkeypatch.setattr(single.SingleRequest, "start", fail)
    reply = world.ask("akl-1", "/read/q")
    world.run(5.0)
    assert reply.status == 500
    assert world.nodes["akl-1"]._front.is_idle


def test_a_request_that_cannot_be_ended_keeps_no_other_from_its_answer_in_a_stop():
    world = test_forwarding.build(work=lambda: 60.0)
    replies = [world.ask("akl-1", "/bill/q", "POST") for _ in range(4)]
    world.run(0.1)
    front = world.nodes["akl-1"]._front
    works = list(front._in_progress)
    works[0].end = None
    errors = []
    try:
        front.end_all()
    except TypeError as error:
        errors.append(error)
    world.run(0.01)
    finished = sum(reply.is_finished for reply in replies)
    assert (finished, errors) == (len(works) - 1, [])


def test_odd_keys_of_instances_make_a_bounded_number_of_log_lines():
    world = test_forwarding.build()
    known = world.nodes["akl-1"]._registration
    with structlog.testing.capture_logs() as lines:
        known.on_changes(
            store_items.Change(f"{registration.PREFIX}{n}", positions.Position(1, n), b"{}")
            for n in range(1, 5001)
        )
        # Removed again, so that nothing of them is in the store any more.
        known.on_changes(
            store_items.Change(f"{registration.PREFIX}{n}", positions.Position(2, n), None)
            for n in range(1, 5001)
        )
    assert known.refused_count == 5000
    assert len(lines) < 200
    assert known._refused.current < 1001


def test_a_key_that_a_listener_refused_is_no_longer_unusable_after_a_good_row():
    world = test_forwarding.build()
    bad = documents.encode_value("bad")

    def listener(rows):
        if any(row.key == "lineworks/x" and row.value == b"bad" for row in rows):
            raise KeyError("bad")

    for node in world.nodes.values():
        node._directory.listeners.rows["odd"] = listener
    world.store.write("lineworks/x", bad)
    world.run(3.0)
    directories = [node._directory for node in world.nodes.values()]
    assert any(one.listeners.refused.current for one in directories)
    world.store.write("lineworks/x", documents.encode_value("good"))
    world.run(3.0)
    assert not any(one.listeners.refused.current for one in directories)


def test_two_failures_in_turn_are_not_logged_at_each_occurrence():
    clock = fakes.VirtualClock()
    log = failure_log.FailureLog(clock, "http_server", "request_failed")
    with structlog.testing.capture_logs() as lines:
        for _ in range(50):
            log.on_failure(ValueError("odd"))
            log.on_failure(KeyError("odd"))
    assert len(lines) < 10


def test_an_error_in_the_list_of_instances_does_not_end_the_registration():
    world = test_forwarding.build()
    node = world.add_node("akl-9", "akl")
    known = node._registration
    apply, failures = known.on_changes, [RuntimeError("fault")]

    def on_changes(changes):
        if failures:
            raise failures.pop()
        apply(changes)

    known.on_changes = on_changes
    world.run(5.0)
    assert not failures
    assert not known._task._running.called


@pytest.mark.parametrize("lease", ['"12"', "-1", "1.0", "9" * 25, "[]"])
def test_a_good_entry_with_an_odd_lease_is_listed(lease):
    good = json.dumps(test_store_answers.ROW).replace('"LeaseId": 0', f'"LeaseId": {lease}')
    world = test_store_answers.answer_of(
        b'{"AtRev": 9, "HasMore": false, "items": [' + good.encode() + b"]}"
    )
    listing = world.run(world.client.list_items(""))
    assert [item.key for item in listing.items] == ["servers/i-1"]


def test_any_number_of_odd_entries_that_are_gone_takes_bounded_memory():
    view = target_view.TargetView()
    for number in range(1, 10_001):
        changes = [
            target_view.TargetChange(
                f"odd-{number}", positions.Position(1, 2 * number), None, True
            ),
            target_view.TargetChange(f"odd-{number}", positions.Position(1, 2 * number + 1), None),
        ]
        view.apply(changes, 0.0)
    assert len(view._positions) < 2_000


ODD_SETTINGS = {
    "deep": "[" * 100_000,
    "deep yaml": "a: " + "[" * 5000,
    "a long number": '{"PortRange": [' + "9" * 4400 + ", 2]}",
    "a date": "a: 2001-99-99",
}


@pytest.mark.parametrize("name", list(ODD_SETTINGS))
def test_odd_settings_are_refused_as_such(name):
    with pytest.raises(platform_settings.SettingsError):
        platform_settings.parse(ODD_SETTINGS[name])


def test_settings_that_are_no_utf_8_are_refused_as_such(tmp_path):
    path = tmp_path / "settings"
    path.write_bytes(b"\xff\xfe\x00")
    with pytest.raises(platform_settings.SettingsError):
        platform_settings.load({platform_settings.VARIABLE: os.fspath(path)})


class FailsOnce(test_early_callers.Echo):
    """Raises on the first data that any connection receives."""

    failures: list[Exception] = []

    def dataReceived(self, data):  # noqa: N802
        if self.failures:
            raise self.failures.pop()
        super().dataReceived(data)


def received(caller):
    """Return what a caller gets; nothing if its connection is reset."""
    try:
        return caller.recv(4096)
    except ConnectionResetError:
        return b""


def test_an_early_connection_that_fails_at_the_handover_keeps_no_other_from_it():
    opened = listening.open_port("127.0.0.1", 0)
    acceptor = early_acceptor.EarlyAcceptor(opened, headers.find_budget)
    address = opened.getsockname()
    acceptor.start()
    FailsOnce.failures = [RuntimeError("fault")]
    callers = [socket.create_connection(address, timeout=2.0) for _ in range(3)]
    for caller in callers:
        caller.sendall(test_early_callers.request(10.0))
    time.sleep(0.1)
    reactor = selectreactor.SelectReactor()
    acceptor.adopt(reactor, protocol.Factory.forProtocol(FailsOnce))
    for _ in range(20):
        reactor.runUntilCurrent()
        reactor.doIteration(0.01)
    assert sum(received(caller).startswith(b"served") for caller in callers) >= 2


def test_an_answer_that_cannot_be_written_leaves_no_caller_without_an_answer():
    caller = test_server_connection.Caller()
    caller.send(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
    odd = server_connection.Answer(200, [(b"X-Odd", "text")])
    with pytest.raises(TypeError):
        caller.answers[0](odd)
    caller.clock.advance(60.0)
    assert caller.statuses or caller.transport.disconnecting


def test_a_row_that_a_listener_fails_on_keeps_no_other_record_from_the_peers():
    world = test_forwarding.build()
    node = world.nodes["akl-1"]
    sent = []

    def send(names, records):
        if any(record.content == "bb" for record in records):
            raise OverflowError("fault")
        sent.extend(record.content for record in records)

    node._suspects._send_to = send
    document = {"epoch": 1, "cleared": False, "ends": [["i-1", "a1", True, True]]}
    value = json.dumps(document).encode()
    rows = [
        store_items.Change(suspect_documents.PREFIX + name, positions.Position(1, 900), value)
        for name in ("aa", "bb", "cc")
    ]
    node._directory.listeners._hand_on_to("suspects", node._suspects.on_changes, rows)
    assert sorted(sent) == ["aa", "cc"]


ODD_HEADS = {
    "no UTF-8": b"\xff",
    "deep": b"[" * 100_000,
    "a list": b"[]",
    "a version that is a text": b'{"version": "5", "digest": "", "manifest": "", "changes": []}',
    "a manifest that is a number": b'{"version": 5, "digest": "d", "manifest": 5, "changes": []}',
}


@pytest.mark.parametrize("name", list(ODD_HEADS))
def test_an_odd_head_does_not_end_the_task_that_follows_the_configuration(name):
    world = test_store.World()
    platform = platform_client.PlatformClient(world.client)
    rng = random.Random(1)
    links = types.SimpleNamespace(handle=lambda *_: None, send=lambda *_: True)
    keeper = config_keeper.ConfigKeeper(
        world.clock,
        rng,
        "a",
        config_store.ConfigStore(world.clock, platform, rng),
        links,
        lambda: ["a"],
    )
    world.model.write(config_store.HEAD_KEY, base64.b64encode(ODD_HEADS[name]).decode())
    keeper.start()
    world.clock.run_until(5.0)
    assert not keeper._task._running.called


ODD_BUCKETS = {
    "no UTF-8": b"\xff",
    "no JSON": b"{",
    "deep": b"[" * 100_000,
    "a short row": b"[[]]",
    "a text for a time": b'[["k", "n", "i", "f", "9"]]',
}


@pytest.mark.parametrize("name", list(ODD_BUCKETS))
def test_an_odd_bucket_of_claims_leaves_no_request_without_an_answer(name):
    world = test_store.World()
    platform = platform_client.PlatformClient(world.client)
    writer = claim_writer.ClaimWriter(
        world.clock, random.Random(1), platform, lambda: 1_700_000_000.0
    )
    # The first answer of the store begins a time in which no claim is accepted.
    world.run(platform.get("claims/none"))
    world.clock.run_until(60.0)
    key = claims.digest("w", "k")
    world.model.write(claims.bucket_key(key), base64.b64encode(ODD_BUCKETS[name]).decode())
    results = []
    claim = claims.Claim(key, "n", "a", "f", 1_800_000_000.0)
    writer.claim(claim, world.clock.seconds() + 2.0).addBoth(results.append)
    world.clock.run_until(90.0)
    assert results


@pytest.mark.parametrize("header", ["1:a:\xe9", "\u0663:a:b", "1:\ud800:b"])
def test_an_odd_signature_is_refused_as_a_wrong_one(header):
    verifier = auth.SignatureVerifier(b"secret")
    with pytest.raises(auth.AuthenticationError):
        verifier.verify(header, "GET", "/v1/status", b"", 1.0)


@pytest.mark.parametrize(("count", "is_slow"), [(70_000, True), (75_000, False)])
def test_many_records_of_targets_lose_no_part_and_no_link(count, is_slow):
    # A route may ask for any number of records; a frame holds 65535 for a part, and 4 MiB in all.
    world = test_forwarding.build()
    world.configure([{**test_forwarding.SEARCH, "TopK": 2**62}, test_forwarding.READ])
    world.run(3.0)
    odd = test_forwarding.SHARDS[:1] if is_slow else test_forwarding.SHARDS
    for target in world.targets.values():
        if target.service in odd:
            target.records = lambda attempt: bytes(16) * count
            target.work = lambda: 0.12 if is_slow else 0.03
    replies = [world.ask(name, "/search/q") for name in ("akl-1", "wlg-1", "chc-1")]
    errors = run_as_a_reactor(world, 4.0)
    missing = [reply.headers.get("x-parts-missing") for reply in replies]
    closed = sum(sum(node._links.counts.values()) for node in world.nodes.values())
    assert (missing, closed, errors) == (["0"] * 3, 0, [])
