"""Starts `lineworks-node` so that each way in which the start may fail leaves a trace.

This module imports nothing that may be missing, and is imported before all that may.
"""

from __future__ import annotations

import faulthandler
import os
import sys

from lineworks.programs import _start_failure

_STDERR = 2


def main() -> int:
    """Run the node, and log an error that keeps it from starting.

    Returns:
        The exit code of the process.
    """
    _open_standard_streams()
    # An abort in a compiled library ends the process without an exception.
    faulthandler.enable(_STDERR)
    _resolve_search_path()
    try:
        from lineworks.programs import node

        return node.main()
    except Exception as error:
        return _start_failure.report(error)


def _open_standard_streams() -> None:
    """Open what is closed of the standard streams, so that no socket gets such a descriptor.

    Log lines are written to the descriptor of standard output.
    """
    if None not in (sys.__stdin__, sys.__stdout__, sys.__stderr__):
        return
    while (descriptor := os.open(os.devnull, os.O_RDWR)) <= _STDERR:
        pass
    os.close(descriptor)


def _resolve_search_path() -> None:
    """Replace symbolic links on the module search path by the folders that they point to now.

    A build replaces such a link; packages of two builds must not mix in one process.
    """
    sys.path[:] = [os.path.realpath(path) if os.path.islink(path) else path for path in sys.path]
