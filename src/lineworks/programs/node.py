"""`lineworks-node`: one process on the users' machines; it is started by `src/lineworks_node.py`.

Only what the process needs is imported, because memory and the time to start are paid for.
"""

from __future__ import annotations

import signal
import sys
from typing import Any

from lineworks.kernel import steady_reactor
from lineworks.platform import settings as platform_settings

EXIT_SETTINGS = 2
"""The settings can't be used."""

EXIT_PORT = 3
"""A port is in use."""

EXIT_START = 4
"""The process could not start for another reason."""


def main() -> int:
    """Run until SIGTERM.

    Returns:
        The exit code: 0 after a planned stop.
    """
    reactor = steady_reactor.install()
    # The reactor must be installed before anything imports the default one.
    from twisted.internet import defer

    from lineworks.forwarding import node
    from lineworks.programs import _node_logs

    logs = _node_logs.set_up(reactor)
    try:
        settings = platform_settings.load()
    except platform_settings.SettingsError as error:
        logs.fail("settings_refused", str(error))
        return EXIT_SETTINGS
    process = node.Node(reactor, settings)
    # Before anything else, or an early signal would end the process on the spot.
    _handle_signals(reactor, process, logs)
    defer.ensureDeferred(process.start()).addErrback(_on_start_failed, reactor, logs)
    reactor.run(installSignalHandlers=False)
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
