"""`python3 review/store.py PORT`: the platform's store, with the order `lapse`.

It is the project's own stand-in with one more order: all leases run out, as they may while the
store is down, and their keys go with them.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

from bench.soak import _control
from lineworks.kernel import steady_reactor
from lineworks.platform.standins import store_model, store_server

FIRST_LEASE = 1001
"""Number of the first lease that the stand-in grants; the others follow."""

MOST_LEASES = 1000
"""More leases than a run of a case grants."""


def main(reactor: Any, port: int) -> None:
    """Serve until the standard input ends.

    Args:
        reactor: Twisted's reactor.
        port: TCP port.
    """
    model = store_model.StoreModel(reactor)
    server = store_server.StoreServer(reactor, model)
    server.listen(reactor, port=port)

    def lapse() -> None:
        for lease in range(FIRST_LEASE, FIRST_LEASE + MOST_LEASES):
            model.end(lease)

    orders: dict[str, Callable[[dict[str, Any]], Any]] = {
        "write": lambda order: model.write(order["key"], order["value"]),
        "remove": lambda order: model.remove(order["key"]),
        "fault": lambda order: setattr(server.faults, order["name"], order["value"]),
        "lapse": lambda order: lapse(),
    }
    _control.follow(reactor, lambda order: orders[order["do"]](order))
    reactor.run(installSignalHandlers=False)


if __name__ == "__main__":
    main(steady_reactor.install(), int(sys.argv[1]))
