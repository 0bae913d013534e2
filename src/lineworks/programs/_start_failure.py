"""Reports a start that failed in one log line, and chooses its exit code.

Nothing here needs a package that may be missing.
"""

from __future__ import annotations

import os
import sys

from lineworks.programs import _early_log, _node_exit_codes


def report(error: Exception) -> int:
    """Log the error that ends the start.

    Args:
        error: The error.

    Returns:
        The exit code.
    """
    line = {"error": f"{type(error).__name__}: {error}", "place": _place(error)}
    if not isinstance(error, ImportError):
        _early_log.write_line("error", "start_failed", **line)
        return _node_exit_codes.START
    _early_log.write_line(
        "error",
        "start_failed",
        **line,
        module=error.name,
        machine=os.uname().machine,
        python=sys.version.split()[0],
        search_path=sys.path,
        hint="build again: the packages must be whole, and made for this machine and this Python",
    )
    return _node_exit_codes.DEPENDENCIES


def _place(error: Exception) -> str:
    """Return the file and the line in which an error was raised."""
    trace = error.__traceback__
    if trace is None:
        return ""
    while trace.tb_next is not None:
        trace = trace.tb_next
    return f"{trace.tb_frame.f_code.co_filename}:{trace.tb_lineno}"
