"""`python -m bench.soak.store_process PORT`: the platform's store as a process."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

from bench.soak import _control
from lineworks.kernel import steady_reactor
from lineworks.platform.standins import store_drill, store_model, store_server

if TYPE_CHECKING:
    from collections.abc import Callable


def main(reactor: Any, port: int) -> None:
    """Serve until the standard input ends.

    Args:
        reactor: Twisted's reactor.
        port: TCP port.
    """
    model = store_model.StoreModel(reactor)
    server = store_server.StoreServer(reactor, model)
    server.listen(reactor, port=port)
    drill = store_drill.StoreDrill(reactor, model)
    drill.keep_copies()

    def begin_drill(order: dict[str, Any]) -> None:
        """Go away, and come back from an older copy later."""
        copy = drill.copy_of(reactor.seconds() - order["age"])
        server.faults.is_silent = True

        def come_back() -> None:
            server.faults.is_silent = False
            drill.come_back(copy, order["rewritten"])

        reactor.callLater(order["away"], come_back)

    orders: dict[str, Callable[[dict[str, Any]], Any]] = {
        "write": lambda order: model.write(order["key"], order["value"]),
        "remove": lambda order: drill.remove(order["key"]),
        "drill": begin_drill,
        "forget": lambda order: model.forget_history(),
        "fault": lambda order: setattr(server.faults, order["name"], order["value"]),
    }
    _control.follow(reactor, lambda order: orders[order["do"]](order))
    reactor.run(installSignalHandlers=False)


if __name__ == "__main__":
    main(steady_reactor.install(), int(sys.argv[1]))
