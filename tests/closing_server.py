"""Program that serves a port for a while, closes it and exits; run by `test_port_closes.py`.

Usage: closing_server.py SECONDS. It prints its port first, and `closing` before it closes it.
"""

from __future__ import annotations

import sys

from twisted.internet import protocol

from lineworks.kernel import listening, steady_reactor

ANSWER_SECONDS = 0.2
"""Seconds after the close in which the accepted connections are answered."""


class Responder(protocol.Protocol):
    """Answers the first bytes of a connection and closes it."""

    def dataReceived(self, data):  # noqa: N802
        self.transport.write(b"served")
        self.transport.loseConnection()


def tell(line):
    """Write a line for the test."""
    sys.stdout.write(line + "\n")
    sys.stdout.flush()


def main(seconds):
    reactor = steady_reactor.install()
    opened = listening.open_port("127.0.0.1", 0)
    tell(str(opened.getsockname()[1]))
    port = listening.adopt(reactor, opened, protocol.Factory.forProtocol(Responder))

    def begin_close():
        tell("closing")
        listening.refuse_new(port)
        reactor.callLater(listening.HANDSHAKE_SECONDS, close)

    def close():
        listening.close(port)
        reactor.callLater(ANSWER_SECONDS, reactor.stop)

    reactor.callLater(seconds, begin_close)
    reactor.run(installSignalHandlers=False)


if __name__ == "__main__":
    main(float(sys.argv[1]))
