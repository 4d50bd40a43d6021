"""Converts the start times of backends from the machine's wall clock to the program's clock.

Discovery reports Unix time, which an administrator may step, forward or back. The program's clock
begins with Unix time and then follows the monotonic clock, so that spans stay real time.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from typing import Final

from ingress.core.clock import Clock
from ingress.platform.endpoint_discovery import EndpointList
from ingress.policy.events import Backend, Readiness

MIN_STEP_S: Final = 0.05  # smaller differences are adjustments and rounding
MAX_OFFSETS: Final = 8  # of the wall clock, the latest ones, that are remembered


class StartTimes:
    """The start times of the listed backends.

    A start time may have been read from the wall clock before or after a step. Of the times that
    it can mean, the latest one that is not in the future holds: a backend that is taken for younger
    than it is gets fewer requests for a time, and one that is taken for older may collapse.

    Args:
        clock: The program's clock.
        wall_clock: Returns the Unix time of the machine's wall clock.

    Attributes:
        offsets: How far the wall clock was ahead of the program's clock, the latest one last.
        converted: By backend, the start time in the list and the same on the program's clock.
    """

    def __init__(self, clock: Clock, wall_clock: Callable[[], float] = time.time) -> None:
        self.clock = clock
        self.wall_clock = wall_clock
        self.offsets: deque[float] = deque((0.0,), MAX_OFFSETS)
        self.converted: dict[str, tuple[float, float]] = {}

    def convert(self, complete: bool, endpoints: EndpointList) -> EndpointList:
        """Returns the list with start times on the program's clock.

        The same start time of a backend is converted once, so that it identifies the process.

        Args:
            complete: Whether the list has all backends.
            endpoints: All backends, or those that changed.
        """
        now = self.clock()
        self._observe_offset(now)
        if complete:
            for name in self.converted.keys() - endpoints.addresses.keys():
                del self.converted[name]
        backends = tuple(self._convert(backend, now) for backend in endpoints.backends)
        return replace(endpoints, backends=backends)

    def _observe_offset(self, now: float) -> None:
        offset = self.wall_clock() - now
        if abs(offset - self.offsets[-1]) > MIN_STEP_S:
            self.offsets.append(offset)

    def _convert(self, backend: Backend, now: float) -> Backend:
        listed = backend.started_at
        known = self.converted.get(backend.id)
        if not listed:
            started_at = 0.0
        elif known is not None and known[0] == listed:
            started_at = known[1]
        else:
            started_at = self._started_at(listed, now)
        if backend.readiness is Readiness.REMOVED:
            self.converted.pop(backend.id, None)
        else:
            self.converted[backend.id] = (listed, started_at)
        return backend if started_at == listed else replace(backend, started_at=started_at)

    def _started_at(self, listed: float, now: float) -> float:
        """Returns a start time on the program's clock."""
        if len(self.offsets) == 1:
            return listed
        possible = [listed - offset for offset in self.offsets]
        return max((at for at in possible if at <= now + MIN_STEP_S), default=now)
