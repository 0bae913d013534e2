"""What the programs share: logs, and running a reactor."""

from __future__ import annotations

import logging
import sys
from typing import TYPE_CHECKING, Any

import structlog
from twisted.internet import defer

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

EXIT_OK = 0
"""Everything was done."""

EXIT_FAILED = 1
"""The work was tried and did not succeed."""

EXIT_USAGE = 2
"""The arguments, the settings or a file cannot be used; nothing was tried."""

EXIT_REFUSED = 3
"""The request was refused and did not run."""

EXIT_UNKNOWN = 4
"""It is not known whether the request ran."""


def set_up_logs(level: str) -> None:
    """Write logs as JSON lines to standard error.

    Args:
        level: Least level that is written.
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
    """Write one line of error.

    Args:
        message: What is wrong.
        code: The exit code.

    Returns:
        The exit code.
    """
    print(f"error: {message}", file=sys.stderr)
    return code


def run_reactor(reactor: Any, work: Callable[[], Awaitable[int]]) -> int:
    """Run the reactor until some work is done.

    Args:
        reactor: Twisted's reactor.
        work: The work; it returns the exit code.

    Returns:
        The exit code.
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
