"""Starts one instance on the users' platform.

Python puts a script's own directory on the module search path. The script is therefore in `src/`:
in `src/lineworks/`, the package `platform` would shadow the standard library's module `platform`.
"""

import _signal  # type: ignore[import-not-found]
import os

# Must precede the other imports: the default action of these signals is to end the process. Those
# that arrive from here on wait for their handlers. The module `signal` itself is slow to import.
_signal.pthread_sigmask(_signal.SIG_BLOCK, (_signal.SIGHUP, _signal.SIGTERM, _signal.SIGINT))

from lineworks.kernel import early_signals  # noqa: E402

early_signals.install_handlers()

from lineworks.programs import _node_start  # noqa: E402

if __name__ == "__main__":
    exit_code = _node_start.main()
    early_signals.ignore()
    # The interpreter's own shutdown frees all objects and calls libraries. On a busy machine that
    # can outlast the grace period of a stop, and nothing of the process needs it.
    os._exit(exit_code)
