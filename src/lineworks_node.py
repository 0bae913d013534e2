"""Starts one process on the users' machines.

The file stands beside the package so that `src/` is on the path, and not `src/lineworks/`, whose
folder `platform` would hide the standard library's module of that name.
"""

import signal
import sys

# The settings are read after the imports, so a signal that they changed has nothing to say yet; by
# default it would end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from lineworks.programs import node  # noqa: E402

if __name__ == "__main__":
    sys.exit(node.main())
