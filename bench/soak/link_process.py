"""`python -m bench.soak.link_process LINKS`: links as a process.

LINKS is JSON: for each link its name, the port that it listens on and the port of its server.
"""

from __future__ import annotations

import json
import sys
from typing import Any

from bench.soak import _control, link
from lineworks.kernel import steady_reactor


def main(reactor: Any, rows: list[dict[str, Any]]) -> None:
    """Pass bytes on until the standard input ends.

    Args:
        reactor: Twisted's reactor.
        rows: Name, port and server's port of each link.
    """
    links = {row["name"]: link.Link(reactor, row["server"]) for row in rows}
    for row in rows:
        reactor.listenTCP(row["port"], links[row["name"]], interface="127.0.0.1", backlog=512)

    def on_order(order: dict[str, Any]) -> None:
        one = links[order["link"]]
        if order["do"] == "reset":
            one.reset()
        elif order["do"] == "silence":
            one.silence()
        else:
            one.set_faults(link.Faults(**order["faults"]))

    _control.follow(reactor, on_order)
    reactor.run(installSignalHandlers=False)


if __name__ == "__main__":
    main(steady_reactor.install(), json.loads(sys.argv[1]))
