"""The clock: Unix time, read once and then advanced by the monotonic clock."""

from __future__ import annotations

import time
from collections.abc import Callable

Clock = Callable[[], float]
"""Returns the time in Unix seconds."""


def unix_clock() -> Clock:
    """Returns a clock that is unaffected by later adjustments of the wall clock.

    The clock returns Unix time, so that start times of backends and epochs of counter keys have the
    same meaning at every gateway.
    """
    monotonic = time.monotonic
    offset = time.time() - monotonic()
    return lambda: monotonic() + offset
