"""Prevents third-party libraries from importing slow modules that this program does not use.

Twisted's compatibility module imports `http.cookiejar` only to re-export it under an older name.
That pulls in `urllib.request`, `http.client`, `email` and `ssl`, which account for a sixth of the
process's start-up time; callers wait for the start-up after every power failure.
"""

from __future__ import annotations

import contextlib
import sys
import types
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

UNUSED_MODULES = ("http.cookiejar",)
"""Modules that Twisted imports only to re-export them."""


@contextlib.contextmanager
def without_unused() -> Iterator[None]:
    """Replace the unused modules with empty stubs while libraries are imported.

    A module that is already imported is kept. The stubs are removed on exit, so a later import of
    such a module gets the real one.

    Yields:
        None.
    """
    stubs = {name: types.ModuleType(name) for name in UNUSED_MODULES if name not in sys.modules}
    sys.modules.update(stubs)
    try:
        yield
    finally:
        for name, module in stubs.items():
            if sys.modules.get(name) is module:
                del sys.modules[name]
