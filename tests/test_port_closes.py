"""Ports of processes that close under callers who connect without pause, on real sockets."""

from __future__ import annotations

import collections
import contextlib
import pathlib
import signal
import socket
import subprocess
import sys
import threading
import time

PROGRAM = pathlib.Path(__file__).parent / "closing_server.py"

SERVE_SECONDS = 0.2
"""Seconds after which the process closes its port."""

CALLERS = 8
"""Threads that connect without pause."""

CONNECT_SECONDS = 0.3
"""Timeout of a connection attempt, in seconds."""

ANSWER_SECONDS = 10.0
"""Timeout of an answer, in seconds."""

PREEMPTED_SECONDS = 0.005
"""Seconds for which the process is stopped and continued in turns while it closes its port."""

PREEMPTIONS = 12
"""Number of such turns; they cover the whole close."""

CLOSES = 6


def call(port):
    """Send one request, and return what its caller knows of it."""
    with socket.socket() as caller:
        caller.settimeout(CONNECT_SECONDS)
        try:
            caller.connect(("127.0.0.1", port))
        except (ConnectionRefusedError, TimeoutError):
            return "not connected"
        except ConnectionError:
            return "reset while connecting"
        caller.settimeout(ANSWER_SECONDS)
        try:
            caller.sendall(b"hello")
            return caller.recv(100).decode() or "closed without an answer"
        except ConnectionError:
            return "reset after it had sent"


def close_once():
    """Close the port of a process under load, and count how the requests ended."""
    outcomes = collections.Counter()
    process = subprocess.Popen(
        [sys.executable, str(PROGRAM), str(SERVE_SECONDS)], stdout=subprocess.PIPE, text=True
    )
    assert process.stdout is not None
    port = int(process.stdout.readline())

    def call_until_exit():
        while process.poll() is None:
            outcomes[call(port)] += 1

    callers = [threading.Thread(target=call_until_exit) for _ in range(CALLERS)]
    for caller in callers:
        caller.start()
    assert process.stdout.readline() == "closing\n"
    for _ in range(PREEMPTIONS):
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGSTOP)
            time.sleep(PREEMPTED_SECONDS)
            process.send_signal(signal.SIGCONT)
        time.sleep(PREEMPTED_SECONDS)
    for caller in callers:
        caller.join()
    process.stdout.close()
    assert process.wait() == 0
    return outcomes


def test_a_closing_port_resets_no_connection():
    # A connection that the operating system completes after the last accept was reset by the close:
    # 233 and 292 callers in 30 closes on a busy machine, who could not know whether their requests
    # ran (soak seed 13 of 12 s, once).
    outcomes = collections.Counter()
    for _ in range(CLOSES):
        outcomes += close_once()
    assert outcomes["served"] > 0
    assert set(outcomes) <= {"served", "not connected"}, outcomes
