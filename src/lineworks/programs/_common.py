"""Helpers that the programs share: exit codes, logging and running the reactor."""

from __future__ import annotations

import logging
import sys
from typing import TYPE_CHECKING, Any

import absl.app
import structlog
from twisted.internet import defer

from lineworks.kernel import early_signals

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

EXIT_OK = 0
"""The command succeeded."""

EXIT_FAILED = 1
"""The command was attempted and failed."""

EXIT_USAGE = 2
"""The arguments, the settings or a file are invalid; nothing was attempted."""

EXIT_REFUSED = 3
"""The request was rejected and was not executed."""

EXIT_UNKNOWN = 4
"""It is unknown whether the request was executed."""

_log = structlog.get_logger(component="program")


def set_up_logs(level: str) -> None:
    """Configure structlog to write JSON lines to standard error.

    Args:
        level: Minimum level to log, for example "warning".
    """
    number = logging.getLevelNamesMapping()[level.upper()]
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(number),
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
    )


def fail(message: str, code: int = EXIT_USAGE) -> int:
    """Print an error message to standard error.

    Args:
        message: The error message.
        code: The exit code to return.

    Returns:
        The given exit code.
    """
    print(f"error: {message}", file=sys.stderr)
    return code


def run_reactor(reactor: Any, work: Callable[[], Awaitable[int]]) -> int:
    """Run the reactor until a coroutine has finished.

    An exception in it is printed with its traceback and results in `EXIT_FAILED`.

    Args:
        reactor: Twisted's reactor.
        work: Called once the reactor runs; its awaited result is the exit code.

    Returns:
        The exit code; `EXIT_FAILED` when the reactor stopped before the work was done.
    """
    codes: list[int] = []

    def finish(result: Any) -> None:
        if isinstance(result, int):
            codes.append(result)
        else:
            result.printTraceback(file=sys.stderr)
            codes.append(EXIT_FAILED)
        if reactor.running:
            reactor.stop()

    async def begin() -> int:
        return await work()

    reactor.callWhenRunning(lambda: defer.ensureDeferred(begin()).addBoth(finish))
    reactor.run(installSignalHandlers=False)
    return codes[0] if codes else EXIT_FAILED


def run_server(main: Callable[[list[str]], int]) -> None:
    """Parse the flags and run a program that serves until it is asked to stop.

    Args:
        main: Takes the program's name and the remaining arguments, and returns the exit code.
    """
    early_signals.install_handlers()

    def run(argv: list[str]) -> None:
        code = main(argv)
        early_signals.ignore()
        sys.exit(code)

    absl.app.run(run)


def handle_signals(reactor: Any, stop: Callable[[], None]) -> None:
    """Set what a program that was started by `run_server` does at signals, also at earlier ones.

    SIGHUP is answered with a log line, because settings are read at the start only.

    Args:
        reactor: Twisted's reactor.
        stop: Begins the planned stop; called at the first SIGTERM or SIGINT.
    """

    def on_stop(signalled_at: float) -> None:
        reactor.callFromThread(stop)

    def on_reload() -> None:
        reactor.callFromThread(_log.warning, "settings_kept", detail="a change needs a restart")

    early_signals.wake(reactor.waker.o)
    early_signals.handle_stop(on_stop)
    early_signals.handle_reload(on_reload)
