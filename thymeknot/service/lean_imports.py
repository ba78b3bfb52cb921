"""Leaves modules out of memory that libraries import and the sidecar never uses.

Twisted and asyncio import TLS and HTTP cookies with all that these need, a fifth of the memory of a
sidecar at rest. Both modules do without them: asyncio supports an interpreter without TLS, and
Twisted only refers to the module of cookies.
"""

import http
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from types import ModuleType
from typing import Final

TLS_MODULE: Final = "ssl"
COOKIES_MODULE: Final = "http.cookiejar"


@contextmanager
def unused_modules_left_out() -> Iterator[None]:
    """While it is entered, imports of unused modules fail or get an empty one.

    Modules that are loaded already stay. Afterwards the modules can be imported as usual.
    """
    left_out = [name for name in (TLS_MODULE, COOKIES_MODULE) if name not in sys.modules]
    if TLS_MODULE in left_out:
        sys.modules[TLS_MODULE] = None  # type: ignore[assignment]  # makes the import fail
    if COOKIES_MODULE in left_out:
        sys.modules[COOKIES_MODULE] = http.cookiejar = ModuleType(COOKIES_MODULE)  # type: ignore[attr-defined]
    try:
        yield
    finally:
        for name in left_out:
            del sys.modules[name]
        if COOKIES_MODULE in left_out:
            del http.cookiejar  # type: ignore[attr-defined]
