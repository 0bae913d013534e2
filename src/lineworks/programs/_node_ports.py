"""Opens the ports of an instance before its slow imports."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from lineworks.kernel import early_acceptor, early_signals, listening, port_reservation
from lineworks.platform import headers
from lineworks.programs import _early_log, _node_exit_codes

if TYPE_CHECKING:
    import socket
    from collections.abc import Mapping

    from lineworks.models import node_settings


@dataclasses.dataclass(frozen=True, slots=True)
class OpenPorts:
    """The ports of a start."""

    reserved: Mapping[str, socket.socket]
    """Sockets that are bound and don't listen yet, by role: of all ports but the callers'."""

    acceptor: early_acceptor.EarlyAcceptor
    """Accepts callers' connections while other modules are being imported."""


def open_all(settings: node_settings.NodeSettings) -> OpenPorts:
    """Open the ports of the settings, and wait for those that cannot be had yet.

    The callers' port comes last: as long as another one is waited for, no caller can connect, who
    would be held up by the wait.

    Args:
        settings: Settings of the process.

    Returns:
        The ports.

    Raises:
        port_reservation.PortError: A port cannot be had, or not in time.
        port_reservation.StopRequestedError: The process was asked to stop while it waited.
    """
    wait = port_reservation.PortWait(
        _early_log.write_line,
        early_signals.is_stop_requested,
        port_reservation.PORT_WAIT_SECONDS,
    )
    inner = [
        _port(port_reservation.LINKS, settings.peers),
        _port(port_reservation.METRICS, settings.metrics),
        _port(port_reservation.READINESS, settings.readiness),
    ]
    reserved = wait.open_all(inner, listening.reserve_port)
    callers = _port(port_reservation.CALLERS, settings.callers)
    opened = wait.open_all([callers], listening.open_port)[callers.role]
    acceptor = early_acceptor.EarlyAcceptor(opened, headers.find_budget)
    acceptor.start()
    return OpenPorts(reserved, acceptor)


def log_failure(error: port_reservation.PortError) -> int:
    """Log that a port cannot be had, which ends the start.

    Args:
        error: The error.

    Returns:
        The exit code.
    """
    _early_log.write_line(
        "error", "port_in_use", component="program", is_waiting=False, **error.fields
    )
    return _node_exit_codes.PORT


def _port(role: str, address: node_settings.Address) -> port_reservation.Port:
    return port_reservation.Port(role, address.host, address.port)
