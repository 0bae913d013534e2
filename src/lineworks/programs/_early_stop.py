"""Ends the process when it is asked to stop while it waits for ports or imports modules.

Neither the event loop nor the log library need be there yet.
"""

from __future__ import annotations

import os
import time
from typing import TYPE_CHECKING, NoReturn

from lineworks.decisions import stop_times
from lineworks.programs import _early_log

if TYPE_CHECKING:
    from lineworks.kernel import early_acceptor
    from lineworks.models import node_settings

REFUSE_SECONDS = 0.5
"""Maximum time in seconds for which a failed start refuses callers: the platform starts the process
again when it has ended."""


def end_process(
    settings: node_settings.NodeSettings,
    acceptor: early_acceptor.EarlyAcceptor,
    signalled_at: float,
) -> NoReturn:
    """Refuse all callers until the balancer has deregistered the instance, and exit with 0.

    Args:
        settings: Settings of the process.
        acceptor: Holds the callers' port and connections.
        signalled_at: When the signal was received, in seconds on the clock of `steady_reactor`.
    """
    _early_log.write_line("info", "stopping", name=settings.name, is_importing=True)
    times = stop_times.plan(signalled_at, settings.stop_seconds)
    stop = acceptor.stop(times, stop_times.MIN_IDLE_SECONDS)
    for error in [*acceptor.errors, *stop.errors]:
        _early_log.write_line("warning", "early_caller_failed", error=error)
    _log_stopped(settings, stop.refused, stop.connections_at_end)
    # The main thread may be in the middle of an import, which an exception need not get out of.
    os._exit(0)


def end_without_settings() -> NoReturn:
    """Exit with 0 at once; no port is open yet."""
    _early_log.write_line("info", "stopping", is_importing=True)
    _early_log.write_line("info", "stopped", is_importing=True, is_idle=True, under_way=0)
    # Further signals cannot change the exit code, as they could while the interpreter shuts down.
    os._exit(0)


def end_without_callers(settings: node_settings.NodeSettings) -> NoReturn:
    """Exit with 0 at once; the callers' port must not be open yet.

    Args:
        settings: Settings of the process.
    """
    _early_log.write_line("info", "stopping", name=settings.name, is_importing=True)
    _log_stopped(settings, refused=0, connections=0)
    # Further signals cannot change the exit code, as they could while the interpreter shuts down.
    os._exit(0)


def refuse_callers(acceptor: early_acceptor.EarlyAcceptor) -> None:
    """Refuse all callers at once and close their port, because the start has failed.

    Args:
        acceptor: Holds the callers' port and connections; nothing is done if a reactor has them.
    """
    if acceptor.is_adopted:
        return
    now = time.clock_gettime(time.CLOCK_BOOTTIME)
    times = stop_times.StopTimes(now, now, now + REFUSE_SECONDS)
    acceptor.stop(times, REFUSE_SECONDS)


def _log_stopped(settings: node_settings.NodeSettings, refused: int, connections: int) -> None:
    _early_log.write_line(
        "info",
        "stopped",
        name=settings.name,
        is_importing=True,
        is_idle=True,
        answered_at_end=refused,
        connections=connections,
        under_way=0,
    )
