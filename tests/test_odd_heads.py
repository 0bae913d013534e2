"""Heads with values that can't be read: each costs its own request at most."""

from __future__ import annotations

import functools
import socket
import time

import hypothesis
from hypothesis import strategies
from twisted.internet import error

from lineworks.http1 import client_connection
from lineworks.kernel import early_acceptor, listening
from lineworks.platform import headers
from lineworks.platform.standins import documents, http_target
from tests import test_client_connection, test_forwarding, test_server_connection

MAX_DIGITS = 6000
"""More than the interpreter reads as an integer (4,300)."""

DIGITS = strategies.builds(
    lambda digit, count: digit * count,
    strategies.sampled_from([b"0", b"1", b"9"]),
    strategies.sampled_from([1, 10, 19, 20, 309, 400, 4300, 4301, MAX_DIGITS]),
)
NUMBERS = DIGITS | strategies.sampled_from(
    [b"", b" ", b"-1", b"+1", b"1_0", b"1.5", b"1e999", b"NaN", b"inf", b"0x1f", b"\xb2", b"1, 2"]
)
# A parser refuses control characters in a field's value.
TEXT = strategies.lists(
    strategies.sampled_from([bytes([byte]) for byte in range(32, 256) if byte != 127]), max_size=20
).map(b"".join)
# The parser refuses other bytes than ASCII in a request's target.
QUERIES = strategies.lists(
    strategies.sampled_from([bytes([byte]) for byte in range(33, 127)]), max_size=20
).map(b"".join)
VALUES = NUMBERS | TEXT
VALUE_LISTS = strategies.lists(VALUES, max_size=5).map(b",".join)
ODD_BYTES = strategies.binary(max_size=40)

# Fields whose value decides neither the framing nor whether the connection is kept.
HARMLESS_NAMES = (
    b"X-Server-Load",
    b"X-Warmup-Left",
    b"X-Response-Stamp",
    b"Retry-After",
    b"Date",
    b"Server",
    b"Accept-Language",
)
KEEP_ALIVE = strategies.tuples(
    strategies.just(b"Keep-Alive"), VALUES.map(lambda value: b"timeout=" + value)
)
HARMLESS_FIELD = strategies.tuples(strategies.sampled_from(HARMLESS_NAMES), VALUE_LISTS)
HARMLESS = strategies.lists(HARMLESS_FIELD | KEEP_ALIVE, max_size=4)

NAMES = strategies.sampled_from(
    (
        *HARMLESS_NAMES,
        b"Host",
        b"X-Attempt-Id",
        b"X-Time-Budget",
        b"X-Expect-Instance",
        b"X-Not-Executed",
        b"X-Tenant-Name",
        b"Authorization",
        b"Content-Length",
        b"Content-Encoding",
        b"Transfer-Encoding",
        b"Connection",
        b"Keep-Alive",
        b"Expect",
        b"Trailer",
    )
)
FIELDS = strategies.lists(strategies.tuples(NAMES | ODD_BYTES, VALUE_LISTS | ODD_BYTES), max_size=6)


def lines(fields):
    return b"".join(name + b": " + value + b"\r\n" for name, value in fields)


@hypothesis.given(VALUES | ODD_BYTES)
def test_no_value_of_a_field_ends_its_decoder(value):
    for budget in (headers.read_budget(value), headers.find_budget(b"GET / HTTP/1.1\r\n" + value)):
        assert budget is None or 0 <= budget <= 600
    budget = headers.find_budget(b"GET / HTTP/1.1\r\nX-Time-Budget: " + value + b"\r\n\r\n")
    assert budget is None or 0 <= budget <= 600
    headers.read_key(value)
    load = headers.read_load({b"x-server-load": value})
    assert load is None or 0 <= load.running + load.waiting < 2e9
    cold = headers.read_cold_seconds({b"x-warmup-left": value})
    assert cold is None or 0 <= cold <= 600
    headers.read_stamp({b"x-response-stamp": value})


@hypothesis.given(HARMLESS)
def test_no_harmless_field_of_a_target_loses_its_answer(fields):
    client = test_client_connection.Client()
    head = test_client_connection.OK + lines(fields) + b"Content-Length: 1\r\n\r\n"
    client.receive(head + b"x")
    assert client.outcomes[0].body == b"x"
    client.connection.is_reusable(0.0, 0.5)


STATUSES = DIGITS | strategies.sampled_from(
    [b"200", b"000", b"099", b"100", b"101", b"204", b"999"]
)


@hypothesis.given(STATUSES, FIELDS, ODD_BYTES, strategies.booleans())
def test_no_head_of_a_target_raises_or_ends_in_two_outcomes(status, fields, body, is_clean):
    client = test_client_connection.Client()
    client.receive(b"HTTP/1.1 " + status + b" OK\r\n" + lines(fields) + b"\r\n" + body)
    client.end(error.ConnectionDone if is_clean else error.ConnectionLost)
    assert len(client.outcomes) == 1
    outcome = client.outcomes[0]
    if isinstance(outcome, client_connection.ConnectionFailure):
        # The parser reports an exception of ours so; this one is meant.
        assert "callback error" not in outcome.detail or "there is no status" in outcome.detail


@hypothesis.given(QUERIES, HARMLESS)
def test_harmless_fields_of_a_caller_reach_the_handler(query, fields):
    caller = test_server_connection.Caller()
    hypothesis.assume(len(lines(fields)) < 200)
    target = b"/a?" + query
    caller.send(b"GET " + target + b" HTTP/1.1\r\nHost: x\r\n" + lines(fields) + b"\r\n")
    assert [request.target for request in caller.requests] == [target]
    assert len(caller.requests[0].fields) == 1 + len(fields)


@hypothesis.given(ODD_BYTES, FIELDS, ODD_BYTES)
def test_no_head_of_a_caller_raises(target, fields, body):
    caller = test_server_connection.Caller()
    caller.send(b"POST /" + target + b" HTTP/1.1\r\n" + lines(fields) + b"\r\n" + body)
    caller.clock.advance(20.0)
    assert caller.requests or caller.transport.disconnecting
    assert set(caller.statuses) <= {100, 400, 408, 413, 431}


@hypothesis.settings(max_examples=5)
@hypothesis.given(strategies.lists(FIELDS | HARMLESS, min_size=15, max_size=15))
def test_no_head_of_a_caller_ends_the_thread_that_answers_before_the_event_loop(heads):
    opened = listening.open_port("127.0.0.1", 0)
    acceptor = early_acceptor.EarlyAcceptor(opened, headers.find_budget)
    acceptor.start()
    connect = functools.partial(socket.create_connection, opened.getsockname(), timeout=5.0)
    odd = []
    for fields in heads:
        odd.append(connect())
        odd[-1].sendall(b"GET / HTTP/1.1\r\n" + lines(fields) + b"\r\n")
    with connect() as caller:
        sent_at = time.monotonic()
        caller.sendall(documents.caller_request("GET", "/a", "r1", 0.1, b""))
        assert caller.recv(4096).startswith(b"HTTP/1.1 503")
        assert time.monotonic() - sent_at < 1.0
    for connection in [*odd, *acceptor._end_thread()]:
        getattr(connection, "socket", connection).close()
    opened.close()


@functools.cache
def deployment():
    documents._LIMITS["HeaderBytes"] = 16384
    try:
        return test_forwarding.build()
    finally:
        documents._LIMITS["HeaderBytes"] = 4096


PATHS = strategies.sampled_from([b"/read/x", b"/search/q", b"/bill/x"])


@hypothesis.settings(max_examples=25)
@hypothesis.given(
    strategies.tuples(PATHS, QUERIES).map(b"?".join),
    VALUES,
    strategies.lists(HARMLESS_FIELD, max_size=2),
    FIELDS,
)
def test_odd_heads_cost_an_instance_no_request_of_others(target, attempt, harmless, fields):
    world = deployment()
    start = b"GET " + target + b" HTTP/1.1\r\nHost: x.example\r\n"
    budget = b"X-Time-Budget: 9" + b"9" * MAX_DIGITS + b"\r\n"
    served = world.send(
        "akl-1", start + b"X-Attempt-Id: a" + attempt + b"\r\n" + budget + lines(harmless) + b"\r\n"
    )
    world.send("akl-1", start + b"X-Attempt-Id: " + attempt + b"\r\n" + lines(fields) + b"\r\n")
    good = [world.ask("akl-1", "/read/x"), world.ask("akl-1", "/search/q")]
    world.run(1.0)
    assert [reply.status for reply in (served, *good)] == [200] * 3


@hypothesis.settings(max_examples=25)
@hypothesis.given(PATHS, HARMLESS, FIELDS)
def test_odd_heads_of_a_target_cost_no_request_of_others(path, harmless, fields):
    world = deployment()
    name = {b"/search/q": test_forwarding.SHARDS[0]}.get(path, "shelf")
    target = next(one for one in test_forwarding.targets_of(world, name) if one.hall == "chc")
    near, method = "chc-1", "POST" if path == b"/bill/x" else "GET"
    for odd_lines in (lines(harmless), lines(fields)):

        def send(transport, data, odd_lines=odd_lines):
            head, end, body = data.partition(b"Content-Length")
            transport.write(head + odd_lines + end + body)
            return True

        target.replace_answer = send
        odd = world.ask(near, path.decode(), method)
        other = world.ask("akl-1", path.decode(), method)
        world.run(3.0)
        assert odd.is_finished
        assert other.status == 200
        if odd_lines == lines(harmless):
            assert odd.status == 200
    target.replace_answer = http_target.send_as_is
