"""`lineworks-node`: one process on the users' machines; it is started by `src/lineworks_node.py`.

Only what the process needs is imported, because memory and the time to start are paid for.
"""

from __future__ import annotations

import dataclasses
import gc
import os
import signal
import sys
from typing import TYPE_CHECKING, Any

from lineworks.decisions import mechanisms
from lineworks.kernel import early_acceptor, early_signals, lean_imports, listening
from lineworks.platform import headers
from lineworks.platform import settings as platform_settings

if TYPE_CHECKING:
    from lineworks.models import node_settings

WITHOUT_VARIABLE = "LINEWORKS_WITHOUT"
"""Environment variable with the names of mechanisms to switch off, separated by commas."""

EXIT_SETTINGS = 2
"""The settings can't be used."""

EXIT_PORT = 3
"""A port is in use."""

EXIT_START = 4
"""The process could not start for another reason."""


GC_THRESHOLD = 10_000
"""New objects after which the youngest generation is collected: a request makes some hundred that
are freed by reference counts, and cycles are rare."""


def main() -> int:
    """Run until SIGTERM.

    Returns:
        The exit code: 0 after a planned stop.
    """
    # What is imported stays, so looking for garbage among it is lost time.
    gc.disable()
    try:
        settings = _load_settings()
        callers = _open_callers(settings)
    except (platform_settings.SettingsError, OSError) as error:
        return _fail_early(error)
    return _run(settings, callers)


def _load_settings() -> node_settings.NodeSettings:
    """Read the platform's file, and what is switched off for this process."""
    try:
        without = mechanisms.parse(os.environ.get(WITHOUT_VARIABLE, ""))
    except mechanisms.UnknownMechanismError as error:
        raise platform_settings.SettingsError(f"{WITHOUT_VARIABLE}: {error}") from error
    return dataclasses.replace(platform_settings.load(), without=without)


def _open_callers(settings: node_settings.NodeSettings) -> early_acceptor.EarlyAcceptor:
    """Let callers connect while the rest is imported."""
    opened = listening.open_port(settings.callers.host, settings.callers.port)
    callers = early_acceptor.EarlyAcceptor(opened, headers.find_budget)
    callers.start()
    return callers


def _install_reactor() -> Any:
    """Import Twisted, with its reactor on the steady clock."""
    with lean_imports.without_unused():
        from lineworks.kernel import steady_reactor

        # It must be installed before anything imports the default one.
        return steady_reactor.install()


def _fail_early(error: Exception) -> int:
    """Say why the process can't run, before anything was started."""
    reactor = _install_reactor()
    from lineworks.programs import _node_logs

    logs = _node_logs.set_up(reactor)
    if isinstance(error, OSError):
        logs.fail("port_in_use", str(error), EXIT_PORT)
    else:
        logs.fail("settings_refused", str(error), EXIT_SETTINGS)
    return logs.exit_code


def _run(settings: node_settings.NodeSettings, callers: early_acceptor.EarlyAcceptor) -> int:
    """Start the services and run until they stop."""
    reactor = _install_reactor()
    from twisted.internet import defer

    from lineworks.forwarding import node
    from lineworks.programs import _node_logs

    logs = _node_logs.set_up(reactor)
    process = node.Node(reactor, settings, callers)
    process.lines_dropped = lambda: logs.lines_dropped
    # Before anything else, or an early signal would end the process on the spot.
    _handle_signals(reactor, process, logs)
    defer.ensureDeferred(process.start()).addErrback(_on_start_failed, reactor, logs)
    stop_requested_at = early_signals.stop_requested_at()
    if stop_requested_at is not None:
        # The platform counts its time from the signal.
        reactor.callWhenRunning(process.stop, stop_requested_at)
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    gc.enable()
    reactor.run(installSignalHandlers=False)
    _ignore_signals()
    logs.flush()
    return logs.exit_code


def _on_start_failed(failure: Any, reactor: Any, logs: Any) -> None:
    from twisted.internet import error as net_error

    if failure.check(net_error.CannotListenError):
        logs.fail("port_in_use", failure.getErrorMessage(), EXIT_PORT)
    else:
        logs.fail("start_failed", failure.getTraceback(), EXIT_START)
    reactor.callWhenRunning(reactor.stop)


def _handle_signals(reactor: Any, process: Any, logs: Any) -> None:
    def on_stop(number: int, frame: Any) -> None:
        reactor.callFromThread(process.stop)

    def on_reload(number: int, frame: Any) -> None:
        reactor.callFromThread(_check_settings, logs)

    signal.signal(signal.SIGTERM, on_stop)
    signal.signal(signal.SIGINT, on_stop)
    signal.signal(signal.SIGHUP, on_reload)


def _ignore_signals() -> None:
    """Let no signal change how the process ends: while Python ends, handlers are gone.

    One that came after `stopped` made the exit code -15 (8 of 8 times in the test), as if the stop
    had failed. Signals that are ignored stay so.
    """
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)


def _check_settings(logs: Any) -> None:
    """Look at changed settings; addresses and limits hold until the next start."""
    try:
        platform_settings.load()
    except platform_settings.SettingsError as error:
        logs.note("settings_refused", str(error))
    else:
        logs.note("settings_read", "what changed holds from the next start on")


if __name__ == "__main__":
    sys.exit(main())
