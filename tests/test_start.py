"""The start of a process: callers may connect before anything slow is imported."""

from __future__ import annotations

import socket
import subprocess
import sys
import types

import pytest
from twisted.internet import protocol

from lineworks.kernel import lean_imports, listening, steady_reactor

LIMIT = 60
"""Seconds after which a process that hangs is ended."""


class Echo(protocol.Protocol):
    """Sends back what it gets."""

    def dataReceived(self, data):  # noqa: N802
        self.transport.write(data)


def test_a_caller_that_connects_before_the_reactor_runs_is_served_by_it():
    opened = listening.open_port("127.0.0.1", 0)
    caller = socket.create_connection(opened.getsockname())
    caller.sendall(b"early")
    reactor = steady_reactor.SteadyReactor()
    port = listening.adopt(reactor, opened, protocol.Factory.forProtocol(Echo))
    assert opened.fileno() == -1
    answer = b""
    caller.setblocking(False)
    for _ in range(LIMIT):
        reactor.runUntilCurrent()
        reactor.doIteration(1.0)
        try:
            answer += caller.recv(100)
        except BlockingIOError:
            continue
        break
    caller.close()
    port.stopListening()
    assert answer == b"early"


def test_a_port_in_use_is_an_error_and_leaves_no_socket():
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        with pytest.raises(OSError, match="in use"):
            listening.open_port(*taken.getsockname())


def modules_after(code):
    """List the modules that a fresh interpreter has imported after some code."""
    script = f"import sys\n{code}\nprint('\\n'.join(sys.modules))"
    done = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, text=True, timeout=LIMIT, check=True
    )
    return set(done.stdout.split())


def test_what_is_imported_before_the_port_opens_holds_nothing_of_twisted():
    found = modules_after("import lineworks.programs.node")
    assert "lineworks.kernel.listening" in found
    slow = ("twisted", "capnp", "yaml")
    assert not {name for name in found if name.partition(".")[0] in slow}


def test_the_whole_node_needs_no_http_client_of_the_standard_library():
    found = modules_after(
        "from lineworks.programs import node\nnode._install_reactor()\n"
        "import lineworks.forwarding.node"
    )
    assert "twisted.internet.tcp" in found
    assert not found & {"http.cookiejar", "urllib.request", "http.client"}


def test_an_unused_module_is_the_real_one_for_whoever_imports_it_later():
    found = modules_after(
        "from lineworks.kernel import lean_imports\n"
        "with lean_imports.without_unused():\n"
        "    from http import cookiejar as empty\n"
        "assert not hasattr(empty, 'CookieJar')\n"
        "assert 'http.cookiejar' not in sys.modules\n"
        "from http import cookiejar as real\n"
        "assert real.CookieJar"
    )
    assert "urllib.request" in found


def test_a_module_that_is_in_use_stays(monkeypatch):
    used = types.ModuleType("http.cookiejar")
    monkeypatch.setitem(sys.modules, "http.cookiejar", used)
    with lean_imports.without_unused():
        assert sys.modules["http.cookiejar"] is used
    assert sys.modules["http.cookiejar"] is used
