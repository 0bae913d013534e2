"""`lineworks-entry`: runs one instance, configured by a JSON settings file."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import absl.flags
import structlog

from lineworks.kernel import early_signals, listening, port_reservation
from lineworks.models import settings
from lineworks.programs import _common
from lineworks.services import instance

if TYPE_CHECKING:
    import socket

_SETTINGS = absl.flags.DEFINE_string("settings", None, "JSON file with the instance's settings.")


PORTS = ("caller", "operator", "peer")
"""Keys of the settings with a port; they are the roles of the ports in log lines."""

_log = structlog.get_logger(component="instance")


def _reserve_ports(options: settings.Settings) -> dict[str, socket.socket]:
    """Bind all ports, and wait for those that cannot be had yet.

    Nothing of the instance is started meanwhile, and no caller can connect.
    """
    wait = port_reservation.PortWait(
        lambda level, event, **fields: getattr(_log, level)(event, **fields),
        early_signals.is_stop_requested,
        port_reservation.PORT_WAIT_SECONDS,
    )
    ports = [
        port_reservation.Port(key, getattr(options, key).host, getattr(options, key).port)
        for key in PORTS
        if key != "caller" or "front" in options.roles
    ]
    return wait.open_all(ports, listening.reserve_port)


async def _serve(
    reactor: Any, options: settings.Settings, reserved: dict[str, socket.socket]
) -> int:
    tier_instance = instance.Instance(reactor, options, reserved)
    await tier_instance.start()

    _common.handle_signals(reactor, tier_instance.lifecycle.stop_requested)
    await tier_instance.stopped
    return _common.EXIT_OK


def main(argv: list[str]) -> int:
    """Run an instance until a signal or a drain request stops it.

    Args:
        argv: Program name and the arguments that remain after flag parsing.

    Returns:
        The exit code: 0 after a planned stop, 2 when the settings are invalid or a port cannot be
        had.
    """
    if len(argv) > 1 or _SETTINGS.value is None:
        return _common.fail("usage: lineworks-entry --settings FILE")
    try:
        options = settings.load(_SETTINGS.value)
        options.shared_secret()
    except settings.SettingsError as error:
        return _common.fail(str(error))
    _common.set_up_logs(options.log_level)
    try:
        reserved = _reserve_ports(options)
    except port_reservation.PortError as error:
        return _common.fail(f"{error.port.role}.port: {error.port.number}: {error.error.strerror}")
    except port_reservation.StopRequestedError:
        return _common.EXIT_OK
    from twisted.internet import reactor

    return _common.run_reactor(reactor, lambda: _serve(reactor, options, reserved))


def run() -> None:
    """Parse the flags and run the program; the console script's entry point."""
    _common.run_server(main)
