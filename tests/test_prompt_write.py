"""Writes that do not wait for the reactor, on real sockets without running a reactor."""

from __future__ import annotations

import socket

import pytest
from twisted.internet import protocol, tcp

from lineworks.http1 import client_connection, server_connection
from lineworks.kernel import immediate_write
from lineworks.services import peer_link, peer_links
from lineworks.wire import node_frames


class _Reactor:
    """Records the registered writers; never runs."""

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


class _Pair:
    """A connected socket pair: a transport with its protocol, and a plain peer socket."""

    def __init__(self, protocol_instance):
        self.reactor = _Reactor()
        near, self.peer = socket.socketpair()
        for end in (near, self.peer):
            end.setblocking(False)
        self.transport = _Connection(near, protocol_instance, self.reactor)
        self.transport.connected = True

    def read(self):
        try:
            return self.peer.recv(1 << 20)
        except BlockingIOError:
            return b""

    def close(self):
        self.peer.close()
        self.transport.socket.close()


class _Connection(tcp.Connection):
    def setTcpNoDelay(self, enabled):  # noqa: N802
        pass


@pytest.fixture
def make_pair():
    opened = []

    def make(protocol_instance=None):
        opened.append(_Pair(protocol_instance or protocol.Protocol()))
        return opened[-1]

    yield make
    for pair in opened:
        pair.close()


def test_data_that_fits_the_socket_buffer_is_sent_immediately(make_pair):
    pair = make_pair()
    immediate_write.write(pair.transport, b"one")
    immediate_write.write(pair.transport, b"two")
    assert pair.read() == b"onetwo"
    assert not pair.reactor.writers


def test_data_beyond_the_socket_buffer_is_sent_later_in_order(make_pair):
    pair = make_pair()
    large = b"x" * (8 << 20)
    immediate_write.write(pair.transport, large)
    immediate_write.write(pair.transport, b"end")
    assert pair.transport in pair.reactor.writers
    read = b""
    while pair.reactor.writers:
        read += pair.read()
        pair.transport.doWrite()
    read += pair.read()
    assert read == large + b"end"


def test_connection_reset_by_the_peer_is_left_to_the_reactor(make_pair):
    pair = make_pair()
    pair.peer.close()
    immediate_write.write(pair.transport, b"late")
    assert pair.transport in pair.reactor.writers


def test_nothing_is_written_to_a_lost_connection(make_pair):
    pair = make_pair()
    pair.transport.connected = False
    immediate_write.write(pair.transport, b"late")
    assert pair.read() == b""


def test_request_to_a_target_is_sent_immediately(make_pair):
    connection = client_connection.ClientConnection(lambda: 0.0, lambda closed: None)
    pair = make_pair(connection)
    connection.makeConnection(pair.transport)
    connection.send(b"GET / HTTP/1.1\r\n\r\n", False, lambda end: None)
    assert pair.read() == b"GET / HTTP/1.1\r\n\r\n"


def test_response_to_a_caller_is_sent_immediately(make_pair):
    server = server_connection.Server(
        _Reactor(),
        server_connection.Limits,
        lambda request, answer: answer(server_connection.Answer(200)),
    )
    connection = server.buildProtocol(None)
    pair = make_pair(connection)
    connection.makeConnection(pair.transport)
    connection.dataReceived(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    assert pair.read().startswith(b"HTTP/1.1 200 ")


def test_message_to_another_instance_is_sent_immediately(make_pair):
    links = peer_links.PeerLinks(_Reactor(), "a", "h", "inc", b"s")
    link = peer_link.PeerLink(links)
    pair = make_pair(link)
    link.makeConnection(pair.transport)
    pair.read()
    link.send(node_frames.GatherCancel(1, ()))
    assert pair.read()
