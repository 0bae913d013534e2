"""`python -m bench.soak.store_process PORT`: the platform's store as a process."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

from bench.soak import _control, odd_values
from lineworks.kernel import steady_reactor
from lineworks.platform.standins import store_model, store_rollback, store_server

if TYPE_CHECKING:
    from collections.abc import Callable


OTHERS_KEY = "others/key"
"""A key that nobody reads; its writes move the store's count on."""

LOST_WRITES = 30
"""Writes of others that the store forgets at its return."""

LOST_SECONDS = 1.5
"""Seconds for which it has them: instances have learned of them by then."""

LATER_WRITES = 60
"""Writes of others after the return: the count passes where it was before."""

LATER_SECONDS = 0.05
"""Seconds between two of these."""


def main(reactor: Any, port: int) -> None:
    """Serve until the standard input ends.

    Args:
        reactor: Twisted's reactor.
        port: TCP port.
    """
    model = store_model.StoreModel(reactor)
    server = store_server.StoreServer(reactor, model)
    server.listen(reactor, port=port)
    drill = store_rollback.StoreRollback(reactor, model)
    drill.schedule_copies()
    odd = odd_values.OddRows(model, drill.remove)

    def write_others(count: int) -> None:
        for _ in range(count):
            model.write(OTHERS_KEY, "dg==")

    def begin_drill(order: dict[str, Any]) -> None:
        """Go away, and come back from an older copy later."""
        copy = drill.newest_copy(reactor.seconds() - order["age"])
        write_others(LOST_WRITES)
        reactor.callLater(LOST_SECONDS, go_away, copy, order)

    def go_away(copy: store_model.StoreCopy, order: dict[str, Any]) -> None:
        server.faults.is_silent = True
        reactor.callLater(order["away"], restore, copy, order)

    def restore(copy: store_model.StoreCopy, order: dict[str, Any]) -> None:
        server.faults.is_silent = False
        drill.restore(copy, order["rewritten"])
        for place in range(LATER_WRITES):
            reactor.callLater(place * LATER_SECONDS, write_others, 1)

    orders: dict[str, Callable[[dict[str, Any]], Any]] = {
        "write": lambda order: model.write(order["key"], order["value"]),
        "remove": lambda order: drill.remove(order["key"]),
        "write_odd": lambda order: odd.write(
            order["key"], order["shape"], order["document"], order["field"]
        ),
        "take_odd_back": lambda order: odd.take_back(order["key"]),
        "drill": begin_drill,
        "forget": lambda order: model.compact(),
        "fault": lambda order: setattr(server.faults, order["name"], order["value"]),
    }
    _control.follow(reactor, lambda order: orders[order["do"]](order))
    reactor.run(installSignalHandlers=False)


if __name__ == "__main__":
    main(steady_reactor.install(), int(sys.argv[1]))
