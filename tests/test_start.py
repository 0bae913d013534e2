"""The start of a process: the port opens before slow imports, and unused modules stay unloaded."""

from __future__ import annotations

import socket
import subprocess
import sys
import types

import pytest
from twisted.internet import protocol

from lineworks.kernel import lean_imports, listening, steady_reactor

LIMIT = 60
"""Timeout in seconds of a child process, and maximum number of reactor iterations."""


class Echo(protocol.Protocol):
    """Echoes received data."""

    def dataReceived(self, data):  # noqa: N802
        self.transport.write(data)


def test_the_reactor_serves_a_connection_made_before_it_runs():
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


def test_opening_a_port_in_use_raises_an_error_and_leaks_no_socket():
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        with pytest.raises(OSError, match="in use"):
            listening.open_port(*taken.getsockname())


def modules_after(code):
    """Return the modules that a new interpreter has imported after running some code."""
    script = f"import sys\n{code}\nprint('\\n'.join(sys.modules))"
    done = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, text=True, timeout=LIMIT, check=True
    )
    return set(done.stdout.split())


def test_no_slow_package_is_imported_before_the_port_opens():
    found = modules_after("import lineworks.programs.node")
    assert "lineworks.kernel.listening" in found
    slow = ("twisted", "capnp", "yaml")
    assert not {name for name in found if name.partition(".")[0] in slow}


def test_the_node_does_not_import_the_standard_http_client():
    found = modules_after(
        "from lineworks.programs import node\nnode._install_reactor()\n"
        "import lineworks.forwarding.node"
    )
    assert "twisted.internet.tcp" in found
    assert not found & {"http.cookiejar", "urllib.request", "http.client"}


def test_a_module_that_was_left_out_can_be_imported_later():
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


def test_a_module_that_is_already_imported_is_kept(monkeypatch):
    used = types.ModuleType("http.cookiejar")
    monkeypatch.setitem(sys.modules, "http.cookiejar", used)
    with lean_imports.without_unused():
        assert sys.modules["http.cookiejar"] is used
    assert sys.modules["http.cookiejar"] is used
