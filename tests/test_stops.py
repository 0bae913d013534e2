"""What a planned stop promises callers, by logs, by single cases and by a fuzz in memory."""

from __future__ import annotations

import pytest
from structlog.testing import capture_logs
from twisted.internet import protocol

from bench import stops
from lineworks.platform.standins import documents
from lineworks.standins import deployment
from lineworks.wire import node_frames
from tests import test_forwarding

SEEDS = (43, 59)
"""Seeds of stops with many requests under way at the end, and of targets that stall late."""


class SentAhead(protocol.Protocol):
    """A caller that sends several requests at once."""

    def __init__(self, data, seen):
        self._data = data
        self._seen = seen

    def connectionMade(self):  # noqa: N802
        self.transport.write(self._data)

    def dataReceived(self, data):  # noqa: N802
        self._seen.append(data)


def events(lines, *names):
    return [line for line in lines if line["event"] in names]


def test_the_log_does_not_blame_callers_for_what_the_end_of_the_process_cut():
    # A read that was cut at the end of a stop had one line in its instance's log, `caller_gone`,
    # though its caller was still there: whoever looked for the cause was sent to the wrong side.
    world = test_forwarding.build(work=lambda: 5.0)
    world.ask("akl-1", "/read/x", attempt="r1")
    world.ask("akl-1", "/bill/x", "POST", attempt="b1")
    world.ask("akl-1", "/search/x", attempt="s1")
    world.run(0.2)
    world.nodes["akl-1"].stop()
    world.nodes["akl-1"]._stop.is_over = True
    with capture_logs() as lines:
        world.host_of("akl-1").stop()
        world.run(0.1)
    cut = events(lines, "cut_at_end")
    # The connection to a target may be lost first; its failure is an answer that nobody gets.
    undelivered = events(lines, "answer_not_delivered")
    assert {line["id"] for line in cut + undelivered} == {"r1", "b1", "s1"}
    assert {line["certainty"] for line in cut} == {"MAY_HAVE_RUN"}
    assert events(lines, "caller_gone") == []


def test_the_log_still_tells_of_callers_that_left():
    world = test_forwarding.build(work=lambda: 5.0)
    world.ask("akl-1", "/read/x", attempt="r1")
    world.run(0.2)
    with capture_logs() as lines:
        world.network.host("10.250.0.1").kill()
        world.run(0.2)
    assert [line["event"] for line in events(lines, "cut_at_end", "caller_gone")] == ["caller_gone"]


@pytest.mark.parametrize("event", list(stops.Event))
@pytest.mark.parametrize("seed", SEEDS)
def test_a_stop_answers_what_it_takes(seed, event):
    # Callers use new and kept connections of a stopping instance until it is gone, while targets
    # turn slow or stall. In 50 of 60 such stops requests under way were closed at the end (203,
    # `cut_at_end`) or connections that had just been accepted were closed without a byte (289, no
    # line at all): the process knew who waited and when it would end, and told nobody.
    stop = stops.play(seed, event)
    assert stop.broken == []
    assert stop.lasted < stops.GRACE_SECONDS


@pytest.mark.parametrize("share", [0.3, 0.9], ids=["in its head", "in its body"])
def test_a_request_that_is_still_coming_at_the_end_of_a_stop_is_refused_as_not_run(share):
    # Its connection was closed without a byte: `stopped` told of an open connection and of no
    # request under way. Its caller has sent most of it and could not know that nothing ran.
    world = test_forwarding.build()
    whole = documents.caller_request("POST", "/bill/x", "b1", 2.0, b"x" * 400)
    world.nodes["akl-1"].stop()
    world.run(2.5)
    reply = world.send("akl-1", whole[: int(share * len(whole))])
    world.run(4.0)
    assert reply.status == 503
    assert float(reply.headers["retry-after"]) == 0
    assert world.runs_of("b1") == []


def test_requests_that_were_sent_ahead_are_answered_in_a_stop():
    # The first answer in a stop closed its connection, and with it two requests that had been read.
    world = test_forwarding.build(work=lambda: 0.2)
    requests = [
        documents.caller_request("GET", "/read/x", f"r{number}", 2.0, b"") for number in range(3)
    ]
    seen = []
    caller = world.network.host("10.250.0.1")
    factory = protocol.ClientFactory.forProtocol(lambda: SentAhead(b"".join(requests), seen))
    caller.connectTCP(world.address_of("akl-1"), deployment.CALLER_PORT, factory)
    world.run(0.1)
    world.nodes["akl-1"].stop()
    world.run(2.0)
    answers = b"".join(seen)
    assert answers.count(b"HTTP/1.1 200") == 3
    assert answers.count(b"Connection: close") == 1
    assert answers.rindex(b"HTTP/1.1 200") < answers.index(b"Connection: close")


def test_a_gatherer_that_stops_hands_back_what_is_in():
    # Otherwise the front loses it with the link, and learns nothing of what else was sent.
    world = test_forwarding.build()
    gatherer = world.nodes["wlg-1"]
    replies = []
    for target in test_forwarding.targets_of(world, "s02"):
        target.work = lambda: 60.0
    query = node_frames.GatherQuery(
        number=1,
        services=("s00", "s02"),
        head=b"GET /search/q HTTP/1.1\r\nHost: x\r\nX-Attempt-Id: q1\r\n",
        body=b"",
        attempt=b"q1",
        top=20,
        floor=b"",
        deadline=world.clock.seconds() + 30.0,
        flush_at=world.clock.seconds() + 30.0,
    )
    gatherer._gatherer.on_query("origin", query, replies.append)
    gatherer.stop()
    world.run(6.0)
    assert world.host_of("wlg-1").is_stopped
    assert [shard for frame in replies for shard in frame.shards] == [0]
    assert [failed for frame in replies for failed in frame.failed] == [1]
    assert [one for frame in replies for one in frame.failures] == [
        node_frames.Failure.MAY_HAVE_RUN
    ]


def test_a_request_that_is_held_at_a_start_is_refused_when_its_process_stops():
    world = test_forwarding.build()
    world.server.faults.is_silent = True
    for name in list(world.nodes):
        world.host_of(name).kill()
    world.run(0.5)
    world.add_node("akl-1", "akl")
    world.run(0.01)
    world.nodes["akl-1"].stop()
    reply = world.ask("akl-1", "/read/x")
    world.run(6.0)
    assert reply.status == 503
    assert world.host_of("akl-1").is_stopped
