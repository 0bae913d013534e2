"""Keeps modules that nothing here uses from being imported by libraries.

Twisted's compatibility module imports `http.cookiejar` to offer it under an older name, and with it
come `urllib.request`, `http.client`, `email` and `ssl`: a sixth of the time that a process takes to
start, which callers wait for after every loss of power.
"""

from __future__ import annotations

import contextlib
import sys
import types
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

UNUSED = ("http.cookiejar",)
"""Modules that Twisted imports only to offer them again."""


@contextlib.contextmanager
def without_unused() -> Iterator[None]:
    """Put empty modules in the place of the unused ones while libraries are imported.

    A module that was imported before stays. Afterwards the empty ones are gone, so that whoever
    imports such a module later gets the real one.

    Yields:
        Nothing.
    """
    empty = {name: types.ModuleType(name) for name in UNUSED if name not in sys.modules}
    sys.modules.update(empty)
    try:
        yield
    finally:
        for name, module in empty.items():
            if sys.modules.get(name) is module:
                del sys.modules[name]
