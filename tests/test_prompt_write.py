"""Writes that do not wait for the reactor, on real sockets without a turn of one."""

from __future__ import annotations

import socket

import pytest
from twisted.internet import protocol, tcp

from lineworks.http1 import client_connection, server_connection
from lineworks.kernel import immediate_write
from lineworks.services import peer_link, peer_links
from lineworks.wire import node_frames


class _Reactor:
    """Notes who waits to write; makes no turn."""

    def __init__(self):
        self.writers = set()

    def addReader(self, reader):  # noqa: N802
        pass

    def removeReader(self, reader):  # noqa: N802
        pass

    def addWriter(self, writer):  # noqa: N802
        self.writers.add(writer)

    def removeWriter(self, writer):  # noqa: N802
        self.writers.discard(writer)

    def callLater(self, delay, call, *args):  # noqa: N802
        return None

    def seconds(self):
        return 0.0


class _Ends:
    """A connection with its transport at one end and a plain socket at the other."""

    def __init__(self, end):
        self.reactor = _Reactor()
        near, self.far = socket.socketpair()
        for one in (near, self.far):
            one.setblocking(False)
        self.transport = _Connection(near, end, self.reactor)
        self.transport.connected = True

    def read(self):
        try:
            return self.far.recv(1 << 20)
        except BlockingIOError:
            return b""

    def close(self):
        self.far.close()
        self.transport.socket.close()


class _Connection(tcp.Connection):
    def setTcpNoDelay(self, enabled):  # noqa: N802
        pass


@pytest.fixture
def ends():
    opened = []

    def make(end=None):
        opened.append(_Ends(end or protocol.Protocol()))
        return opened[-1]

    yield make
    for one in opened:
        one.close()


def test_what_the_system_takes_leaves_at_once(ends):
    found = ends()
    immediate_write.write(found.transport, b"one")
    immediate_write.write(found.transport, b"two")
    assert found.read() == b"onetwo"
    assert not found.reactor.writers


def test_what_the_system_does_not_take_leaves_in_order_later(ends):
    found = ends()
    large = b"x" * (8 << 20)
    immediate_write.write(found.transport, large)
    immediate_write.write(found.transport, b"end")
    assert found.transport in found.reactor.writers
    read = b""
    while found.reactor.writers:
        read += found.read()
        found.transport.doWrite()
    read += found.read()
    assert read == large + b"end"


def test_a_connection_that_its_peer_reset_is_left_to_the_reactor(ends):
    found = ends()
    found.far.close()
    immediate_write.write(found.transport, b"late")
    assert found.transport in found.reactor.writers


def test_a_lost_connection_takes_nothing(ends):
    found = ends()
    found.transport.connected = False
    immediate_write.write(found.transport, b"late")
    assert found.read() == b""


def test_a_request_to_a_target_leaves_at_once(ends):
    connection = client_connection.ClientConnection(lambda: 0.0, lambda closed: None)
    found = ends(connection)
    connection.makeConnection(found.transport)
    connection.send(b"GET / HTTP/1.1\r\n\r\n", False, lambda end: None)
    assert found.read() == b"GET / HTTP/1.1\r\n\r\n"


def test_an_answer_to_a_caller_leaves_at_once(ends):
    server = server_connection.Server(
        _Reactor(),
        server_connection.Limits,
        lambda request, answer: answer(server_connection.Answer(200)),
    )
    connection = server.buildProtocol(None)
    found = ends(connection)
    connection.makeConnection(found.transport)
    connection.dataReceived(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    assert found.read().startswith(b"HTTP/1.1 200 ")


def test_a_message_to_another_instance_leaves_at_once(ends):
    links = peer_links.PeerLinks(_Reactor(), "a", "h", "inc", b"s")
    link = peer_link.PeerLink(links)
    found = ends(link)
    link.makeConnection(found.transport)
    found.read()
    link.send(node_frames.GatherCancel(1, ()))
    assert found.read()
