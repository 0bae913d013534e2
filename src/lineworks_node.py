"""Starts one process on the users' machines.

The file stands beside the package so that `src/` is on the path, and not `src/lineworks/`, whose
folder `platform` would hide the standard library's module of that name.
"""

import sys

from lineworks.kernel import early_signals

# Before the rest is imported, which takes some tenths of a second.
early_signals.install_handlers()

from lineworks.programs import node  # noqa: E402

if __name__ == "__main__":
    sys.exit(node.main())
