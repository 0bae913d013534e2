"""`lineworks-node`: one instance on the users' platform, started by `src/lineworks_node.py`.

Only the modules that the process needs are imported, because memory and start-up time have a cost.
"""

from __future__ import annotations

import dataclasses
import functools
import gc
import os
import time
from typing import TYPE_CHECKING, Any

from lineworks.decisions import mechanisms
from lineworks.kernel import early_signals, lean_imports, port_reservation
from lineworks.platform import settings as platform_settings
from lineworks.programs import (
    _early_log,
    _early_stop,
    _node_exit_codes,
    _node_ports,
    _settings_wait,
    _start_failure,
)

if TYPE_CHECKING:
    from lineworks.kernel import early_acceptor
    from lineworks.models import node_settings

WITHOUT_VARIABLE = "LINEWORKS_WITHOUT"
"""Environment variable with a comma-separated list of mechanisms to disable."""

GC_THRESHOLD = 10_000
"""Number of new objects after which the youngest generation is collected. A request creates some
hundred objects that reference counting frees, and cycles are rare."""


def main() -> int:
    """Run the instance until SIGTERM or SIGINT.

    Returns:
        The exit code: 0 after a planned stop, else one of `_node_exit_codes`.
    """
    # Imported modules are never freed, so garbage collection during the imports would be wasted.
    gc.disable()
    try:
        early_signals.forget_reloads()
        settings = _load_settings()
    except platform_settings.SettingsError as error:
        return _fail_early(error)
    except _settings_wait.StopRequestedError:
        _early_stop.end_without_settings()
    try:
        ports = _node_ports.open_all(settings)
    except port_reservation.PortError as error:
        _node_ports.log_failure(error)
        return _node_exit_codes.PORT
    except port_reservation.StopRequestedError:
        _early_stop.end_without_callers(settings)
    early_signals.handle_stop(functools.partial(_early_stop.end_process, settings, ports.acceptor))
    early_signals.wake(ports.acceptor.wakeup_descriptor)
    return _run(settings, ports)


def _load_settings() -> node_settings.NodeSettings:
    """Read the mechanisms that are disabled for this process, and wait for whole settings."""
    try:
        without = mechanisms.parse(os.environ.get(WITHOUT_VARIABLE, ""))
    except mechanisms.UnknownMechanismError as error:
        raise platform_settings.SettingsError(f"{WITHOUT_VARIABLE}: {error}") from error
    wait = _settings_wait.SettingsWait(platform_settings.read, time.monotonic, _log_wait)
    settings = _settings_wait.block_until_read(wait, time.sleep, early_signals.is_stop_requested)
    return dataclasses.replace(settings, without=without)


def _log_wait(reason: str) -> None:
    _early_log.write_line(
        "warning", "settings_refused", component="program", error=reason, is_waiting=True
    )


def _install_reactor() -> Any:
    """Import Twisted and install its reactor with a clock that never jumps."""
    with lean_imports.without_unused():
        from lineworks.kernel import steady_reactor

        # It must be installed before any module imports the default reactor.
        return steady_reactor.install()


def _fail_early(error: platform_settings.SettingsError) -> int:
    """Log that the settings are invalid, and return the exit code."""
    _early_log.write_line("error", "settings_refused", component="program", error=str(error))
    return _node_exit_codes.SETTINGS


def _run(settings: node_settings.NodeSettings, ports: _node_ports.OpenPorts) -> int:
    """Start the services and run until they stop."""
    try:
        reactor, logs, process = _make(settings, ports)
    except Exception as error:
        # An early stop now would refuse the same callers again, and end with 0.
        early_signals.ignore()
        code = _start_failure.report(error)
        _early_stop.refuse_callers(ports.acceptor)
        return code
    from twisted.internet import defer

    # From here on the reactor stops the process; an early stop would end it with its sockets open.
    _handle_signals(reactor, process, logs)
    defer.ensureDeferred(process.start()).addErrback(
        _on_start_failed, reactor, logs, ports.acceptor
    )
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    gc.enable()
    reactor.run(installSignalHandlers=False)
    logs.flush()
    return logs.exit_code


def _make(
    settings: node_settings.NodeSettings, ports: _node_ports.OpenPorts
) -> tuple[Any, Any, Any]:
    """Import what the node needs, and make the reactor, the logs and the node."""
    reactor = _install_reactor()
    from lineworks.forwarding import node
    from lineworks.kernel import memory_allocator
    from lineworks.programs import _node_logs

    memory_allocator.return_large_blocks()
    logs = _node_logs.set_up(reactor)
    process = node.Node(reactor, settings, ports.acceptor, ports.reserved)
    process.lines_dropped = lambda: logs.lines_dropped
    return reactor, logs, process


def _on_start_failed(
    failure: Any, reactor: Any, logs: Any, acceptor: early_acceptor.EarlyAcceptor
) -> None:
    if failure.check(port_reservation.PortError):
        # Another process has bound the port too, and listens on it.
        logs.fail(
            "port_in_use", code=_node_exit_codes.PORT, is_waiting=False, **failure.value.fields
        )
    else:
        logs.fail("start_failed", failure.getTraceback(), _node_exit_codes.START)
    _early_stop.refuse_callers(acceptor)
    reactor.callWhenRunning(reactor.stop)


def _handle_signals(reactor: Any, process: Any, logs: Any) -> None:
    reload = _settings_wait.SettingsReload(reactor, logs, platform_settings.read)

    def on_stop(signalled_at: float) -> None:
        reactor.callFromThread(process.stop, signalled_at)

    def on_reload() -> None:
        reactor.callFromThread(reload.begin)

    early_signals.wake(reactor.waker.o)
    early_signals.handle_stop(on_stop)
    early_signals.handle_reload(on_reload)
