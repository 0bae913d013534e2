"""Output of `lineworks-ctl suspects` and `lift` against a real port."""

from __future__ import annotations

import http.server
import json
import subprocess
import sys
import threading

import pytest

ROW = {
    "content": "b5758018d2dfd2cfc5cf946c",
    "judgement": "refuse",
    "refused_for_seconds": 598.2,
    "ends": [{"target": "i-2", "seconds_ago": 1.8, "in_trial": True, "proven": True}],
}


class Instance(http.server.BaseHTTPRequestHandler):
    """Simulates an instance's metrics port."""

    def do_GET(self):  # noqa: N802
        self._answer(200, {"suspects": [ROW]})

    def do_POST(self):  # noqa: N802
        is_known = self.path == f"/suspects/lift?content={ROW['content']}"
        found = {"lifted": ROW["content"]} if is_known else {"detail": "not refused here: 'x'"}
        self._answer(200 if is_known else 404, found)

    def log_message(self, *arguments):
        """Print nothing."""

    def _answer(self, status, document):
        body = json.dumps(document).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


@pytest.fixture
def node():
    server = http.server.HTTPServer(("127.0.0.1", 0), Instance)
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    yield f"http://127.0.0.1:{server.server_port}"
    server.shutdown()
    thread.join()
    server.server_close()


def ctl(node, *arguments):
    program = "from lineworks.programs import ctl; ctl.run()"
    done = subprocess.run(
        [sys.executable, "-c", program, "--node", node, *arguments],
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )
    return done.returncode, done.stdout, done.stderr


def test_suspects_are_listed_with_the_ends_that_made_them_suspect(node):
    code, printed, _ = ctl(node, "suspects")
    assert code == 0
    assert printed.splitlines() == [
        f"{ROW['content']}  refuse, for 598.2 s more",
        "  i-2 ended in a trial 1.8 s ago",
    ]


def test_a_refusal_is_lifted_and_an_unknown_one_is_reported(node):
    assert ctl(node, "lift", ROW["content"])[:2] == (0, f"lifted {ROW['content']}\n")
    code, _, error = ctl(node, "lift", "x")
    assert code == 3
    assert "not refused here" in error


def test_invalid_arguments_and_an_unreachable_instance_are_reported(node):
    assert ctl(node, "lift")[0] == 2
    assert ctl(node, "suspects", "more")[0] == 2
    code, _, error = ctl("http://127.0.0.1:1", "suspects")
    assert code == 1
    assert "http://127.0.0.1:1" in error
