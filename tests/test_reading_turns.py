"""Turns of connections whose data takes much processor time."""

from __future__ import annotations

from twisted.internet import task
from twisted.internet.testing import StringTransport

from lineworks.http1 import client_connection, reading_turns, response_limits
from tests import test_endless_answers

TINY = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 2000

taken = test_endless_answers.taken


class Transport(StringTransport):
    def setTcpNoDelay(self, enabled):  # noqa: N802
        pass

    def abortConnection(self):  # noqa: N802
        self.disconnecting = True


class World:
    def __init__(self, count):
        self.clock = task.Clock()
        self.turns = reading_turns.ReadingTurns(self.clock)
        self.outcomes = []
        self.connections = [self._connect() for _ in range(count)]

    def _connect(self):
        connection = client_connection.ClientConnection(
            self.clock.seconds, lambda closed: None, turns=self.turns
        )
        connection.makeConnection(Transport())
        connection.send(b"request", False, self.outcomes.append)
        return connection

    @property
    def reading(self):
        return [one for one in self.connections if one.transport.producerState == "producing"]


def test_connections_with_costly_data_read_one_after_another():
    world = World(3)
    for connection in world.connections:
        connection.dataReceived(TINY)
    assert world.reading == []
    for number in range(3):
        world.clock.advance(reading_turns.TURN_SECONDS)
        assert world.reading == [world.connections[number]]
        world.connections[number].dataReceived(b"1\r\nx\r\n" * 2000)


def test_a_closed_connection_takes_no_turn():
    world = World(2)
    for connection in world.connections:
        connection.dataReceived(TINY)
    world.connections[0].abort()
    world.clock.advance(reading_turns.TURN_SECONDS)
    assert world.reading == [world.connections[1]]


def test_a_body_in_usual_chunks_waits_for_no_turn():
    world = World(1)
    chunks = b"c\r\nxxxxxxxxxxxx\r\n" * 960
    world.connections[0].dataReceived(TINY[:47] + chunks)
    assert world.reading == world.connections


def test_reads_are_large_unless_their_data_is_costly():
    world = World(1)
    connection, transport = world.connections[0], world.connections[0].transport
    assert transport.bufferSize == response_limits.FIRST_READ_BYTES
    connection.dataReceived(TINY[:47] + b"3e8\r\n" + bytes(1000) + b"\r\n")
    assert transport.bufferSize == response_limits.READ_BYTES
    connection.dataReceived(TINY[47:])
    assert transport.bufferSize == response_limits.FIRST_READ_BYTES


def test_a_complete_answer_is_delivered_at_once():
    world = World(1)
    world.connections[0].dataReceived(TINY + b"0\r\n\r\n")
    assert world.outcomes[0].body == b"x" * 2000
    assert world.reading == world.connections


def test_tiny_chunks_of_ten_targets_are_read_one_after_another_beside_other_answers(taken):
    world = test_endless_answers.build_with_desk()
    test_endless_answers.answer_without_end(world, ("shelf",), "body in tiny chunks", 1)
    test_endless_answers.answer_slowly(world)
    for number in range(10):
        world.ask("akl-1", f"/bill/{number}", "POST")
    reply = world.ask("akl-1", "/desk/x")
    world.run(0.5)
    read = sum(size for one, size in taken.items() if one._service == "shelf")
    first_reads = 10 * test_endless_answers.PIECE_BYTES
    turns = 0.5 / reading_turns.TURN_SECONDS
    assert read <= first_reads + turns * test_endless_answers.PIECE_BYTES
    assert reply.body == test_endless_answers.LONG_BODY


def test_a_body_in_tiny_chunks_is_served_over_several_turns():
    world = test_endless_answers.build_with_desk()
    body = bytes(range(256)) * 200
    test_endless_answers.answer_slowly(world, body, chunk=1)
    reply = world.ask("akl-1", "/desk/x")
    world.run(2.0)
    assert reply.status == 200
    assert reply.body == body
