"""`lineworks-standin`: stand-ins for the platform and the targets, for trials.

The flags can set the sizes of either user's deployment.
"""

from __future__ import annotations

import json
import pathlib
from typing import Any

import absl.flags
from twisted.internet import defer
from twisted.internet import error as net_error

from lineworks.programs import _common
from lineworks.standins import shapes, site, target_model

_HOST = absl.flags.DEFINE_string("host", "127.0.0.1", "IP address to listen on.")
_PLATFORM_PORT = absl.flags.DEFINE_integer("platform_port", 8500, "TCP port of the platform.")
_TARGET_PORT = absl.flags.DEFINE_integer(
    "first_target_port", 9000, "TCP port of the first target; the others follow."
)
_APP = absl.flags.DEFINE_string("app", "score-finder", "Label `app` of the services.")
_SERVICES = absl.flags.DEFINE_integer("services", 20, "Number of services.", lower_bound=1)
_REPLICAS = absl.flags.DEFINE_integer("replicas", 2, "Replicas of each service.", 1, 8)
_SLOTS = absl.flags.DEFINE_integer("slots", 2, "Slots of each replica.", lower_bound=1)
_CONNECTIONS = absl.flags.DEFINE_integer(
    "connections", 25, "Connections that each replica accepts.", lower_bound=1
)
_HALLS = absl.flags.DEFINE_list("halls", ["auckland", "wellington"], "Data halls.")
_MEDIAN = absl.flags.DEFINE_float("median_ms", 8.0, "Median service time.", lower_bound=0.01)
_STRAGGLERS = absl.flags.DEFINE_float("stragglers", 0.01, "Share of stragglers.", 0.0, 1.0)
_SEED = absl.flags.DEFINE_integer("seed", 1, "Seed of the service times.")
_WRITE_CONFIGURATION = absl.flags.DEFINE_string(
    "write_configuration", None, "File to write the services to, for `lineworks-ctl apply`."
)


def _configuration(standin_site: site.Site) -> dict[str, Any]:
    selector = {
        "match": {"kind": "repertoire"},
        "group": {"app": _APP.value},
        "policy": {"target_latency_ms": 300.0},
    }
    return {
        "services": standin_site.services(),
        "selectors": {"repertoire": selector},
        "classes": {"librarian": {"weight": 2.0}, "browser": {"weight": 1.0}},
    }


async def _serve(reactor: Any, standin_site: site.Site) -> int:
    try:
        standin_site.listen(_HOST.value, _PLATFORM_PORT.value, _TARGET_PORT.value)
    except net_error.CannotListenError as error:
        return _common.fail(f"port {error.port} is in use")
    if _WRITE_CONFIGURATION.value:
        text = json.dumps(_configuration(standin_site), indent=1)
        path = pathlib.Path(_WRITE_CONFIGURATION.value)
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text + "\n")
    print(
        f"platform at {standin_site.platform.url}, {len(standin_site.targets)} targets", flush=True
    )
    stopped: defer.Deferred[None] = defer.Deferred()

    def stop() -> None:
        if not stopped.called:
            stopped.callback(None)

    _common.handle_signals(reactor, stop)
    await stopped
    return _common.EXIT_OK


def main(argv: list[str]) -> int:
    """Run the stand-ins until SIGTERM or SIGINT.

    Args:
        argv: Program name and the arguments that remain after flag parsing.

    Returns:
        The exit code.
    """
    if len(argv) > 1:
        return _common.fail(f"unexpected argument: {argv[1]}")
    _common.set_up_logs("warning")
    from twisted.internet import reactor

    shape = shapes.Shape(
        _APP.value,
        _SERVICES.value,
        _REPLICAS.value,
        _SLOTS.value,
        _CONNECTIONS.value,
        tuple(_HALLS.value),
    )
    times = target_model.ServiceTimes(
        median=_MEDIAN.value / 1000, straggler_share=_STRAGGLERS.value
    )
    standin_site = site.Site(reactor, (shape,), times, _SEED.value)
    return _common.run_reactor(reactor, lambda: _serve(reactor, standin_site))


def run() -> None:
    """Parse the flags and run the program; the console script's entry point."""
    _common.run_server(main)
