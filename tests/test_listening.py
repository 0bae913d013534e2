"""Closing a listening port, on real sockets."""

from __future__ import annotations

import socket

from twisted.internet import protocol, selectreactor

from lineworks.kernel import listening


class Greeter(protocol.Protocol):
    def connectionMade(self):  # noqa: N802
        self.transport.write(b"served")
        self.transport.loseConnection()


def test_waiting_connections_are_served_and_later_ones_refused_when_a_port_closes():
    reactor = selectreactor.SelectReactor()
    listening_socket = listening.open_port("127.0.0.1", 0)
    address = listening_socket.getsockname()
    port = listening.adopt(reactor, listening_socket, protocol.Factory.forProtocol(Greeter))
    waiting = [socket.create_connection(address, timeout=5) for _ in range(30)]
    listening.close(port)
    for _ in range(10):
        reactor.runUntilCurrent()
        reactor.doIteration(0.01)
    with socket.socket() as late:
        assert late.connect_ex(address) != 0
    assert {connection.recv(100) for connection in waiting} == {b"served"}
    for connection in waiting:
        connection.close()


def test_port_refuses_connections_immediately_after_close():
    # The port once accepted connections until the next reactor iteration. A caller that connected
    # in between was reset 0.03 s later, 0.02 s before the process logged `stopped`.
    reactor = selectreactor.SelectReactor()
    listening_socket = listening.open_port("127.0.0.1", 0)
    address = listening_socket.getsockname()
    port = listening.adopt(reactor, listening_socket, protocol.Factory.forProtocol(Greeter))
    listening.close(port)
    with socket.socket() as late:
        assert late.connect_ex(address) != 0
