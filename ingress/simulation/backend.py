"""Models a backend: cores, a queue, connections that cost a handshake, and slow start."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from math import sqrt
from typing import Final

from ingress.simulation.size import Size

IDLE_CONNECTION_TIMEOUT_S: Final = 9.0

Schedule = Callable[..., None]
"""Takes a delay in seconds, a callback and its arguments; calls it with the time first."""


class AttemptWork:
    """The work of one attempt at a backend.

    Attributes:
        core_s: Core time in seconds that the attempt takes, without a handshake.
        on_end: Called with True for a response, with False if the process died during the work.
        on_new_connection: Whether the attempt requires a handshake first.
        abandoned: Whether the result is no longer needed; work that is running is still completed.
    """

    __slots__ = ("abandoned", "core_s", "on_end", "on_new_connection")

    def __init__(
        self, core_s: float, on_end: Callable[[bool], None], *, on_new_connection: bool
    ) -> None:
        self.core_s = core_s
        self.on_end = on_end
        self.on_new_connection = on_new_connection
        self.abandoned = False


@dataclass(frozen=True, slots=True)
class BackendStatistics:
    """Load statistics of a backend in a run.

    Attributes:
        peak_load_ratio: Maximum work that arrived in a window while the backend was warming up,
            relative to its capacity.
        collapses: Number of times that work overloaded the backend while it was warming up.
        windows_over_limit: Number of times that work exceeded the limit, without the allowance
            for random variation.
        peak_connections: Maximum number of simultaneous connections.
    """

    peak_load_ratio: float
    collapses: int
    windows_over_limit: int
    peak_connections: int


class SimulatedBackend:
    """One backend and its successive processes.

    Attributes:
        up: Whether its process is running.
        ready: Whether it accepts new requests: it is running and not draining.
        started_at: Start time of its process; 0 if it was warm when the run began.
        slowdown: Factor by which all work takes longer.
        incarnation: Number of times that its process has ended.
        running: Number of attempts in progress.
        waiting: Attempts in its queue.
    """

    def __init__(self, name: str, zone: str, size: Size, schedule: Schedule, speed: float) -> None:
        self.name = name
        self.zone = zone
        self.size = size
        self.schedule = schedule
        self.speed = speed
        self.up = True
        self.ready = True
        self.started_at = 0.0
        self.slowdown = 1.0
        self.incarnation = 0
        self.running = 0
        self.waiting = deque[AttemptWork]()
        self.running_work: dict[int, AttemptWork] = {}  # by id() of the work
        self.idle_since: dict[int, list[float]] = {}  # times of idle connections, by gateway
        self.connections = 0
        self.peak_connections = 0
        self.recent_work: deque[tuple[float, float]] = deque()  # arrival time, core seconds
        self.recent_core_s = 0.0
        self.peak_load_ratio = 0.0
        self.collapses = 0
        self.windows_over_limit = 0
        self.handshakes = 0
        self.served = 0
        self.rejected = 0
        self.worked_core_s = 0.0
        self.wasted_core_s = 0.0

    def warm_share(self, now: float) -> float:
        """Returns the current capacity as a share of the capacity of a warm process."""
        if self.started_at <= 0.0:
            return 1.0
        size = self.size
        age = now - self.started_at
        return min(1.0, size.cold_capacity + (1 - size.cold_capacity) * age / size.warmup_time)

    def capacity(self, now: float) -> float:
        """Returns the capacity in core seconds a second."""
        return self.size.cores * self.speed * self.warm_share(now) / self.slowdown

    def connect(self, gateway: int, now: float) -> bool | None:
        """Reuses an idle connection of a gateway or opens a new one.

        Returns:
            True for a new connection, False for a reused one, None at the connection limit.
        """
        idle_since = self.idle_since.get(gateway)
        while idle_since:
            if now - idle_since.pop() < IDLE_CONNECTION_TIMEOUT_S:
                return False
            self.connections -= 1
        if self.connections >= self.size.connection_limit:
            return None
        self.connections += 1
        self.handshakes += 1
        self.peak_connections = max(self.peak_connections, self.connections)
        return True

    def release(self, gateway: int, now: float, *, keep_alive: bool) -> None:
        """Returns a connection to the idle connections if it is kept alive, or closes it."""
        if keep_alive:
            self.idle_since.setdefault(gateway, []).append(now)
        else:
            self.connections -= 1

    def close_idle_connections(self, gateway: int) -> None:
        """Closes the idle connections of a gateway that has died."""
        self.connections -= len(self.idle_since.pop(gateway, ()))

    def accept(self, now: float, work: AttemptWork) -> bool:
        """Queues an attempt; returns False and rejects the attempt if the queue is full."""
        if self.started_at > 0.0 and now < self.started_at + self.size.warmup_time:
            self._record_warmup_work(now, self._core_s_of(work))
        if self.running >= self.size.cores and len(self.waiting) >= self.size.max_queue:
            self.rejected += 1
            return False
        self.waiting.append(work)
        self._start_queued_work(now)
        return True

    def _core_s_of(self, work: AttemptWork) -> float:
        return work.core_s + (self.size.handshake_core_s if work.on_new_connection else 0.0)

    def _record_warmup_work(self, now: float, core_s: float) -> None:
        """Counts work that arrives during warm-up, and collapses if there is too much of it."""
        window_s = self.size.collapse_window
        self.recent_work.append((now, core_s))
        self.recent_core_s += core_s
        while self.recent_work[0][0] < now - window_s:
            self.recent_core_s -= self.recent_work.popleft()[1]
        load_ratio = self.recent_core_s / (self.capacity(now) * window_s)
        self.peak_load_ratio = max(self.peak_load_ratio, load_ratio)
        # Allowed and arrived work in requests of mean size. Arrivals are random, so a rate well
        # below the limit occasionally exceeds it, which only counts as a window over the limit. A
        # collapse requires an excess of three standard deviations of a Poisson process plus 3.
        mean_core_s = self.size.mean_core_s
        allowed = self.size.collapse_factor * self.capacity(now) * window_s / mean_core_s
        arrived = self.recent_core_s / mean_core_s
        self.windows_over_limit += arrived > allowed >= arrived - core_s / mean_core_s
        if arrived > allowed + 3 * sqrt(allowed) + 3:
            self.collapses += 1
            self._clear_recent_work()

    def _clear_recent_work(self) -> None:
        self.recent_work.clear()
        self.recent_core_s = 0.0

    def _start_queued_work(self, now: float) -> None:
        while self.waiting and self.running < self.size.cores:
            work = self.waiting.popleft()
            if work.abandoned:
                continue
            core_s = self._core_s_of(work)
            self.running += 1
            self.running_work[id(work)] = work
            duration = core_s * self.size.cores / self.capacity(now)
            self.schedule(duration, self._finish, self.incarnation, work, core_s)

    def _finish(self, now: float, incarnation: int, work: AttemptWork, core_s: float) -> None:
        if incarnation != self.incarnation:
            return
        self.running -= 1
        self.worked_core_s += core_s
        del self.running_work[id(work)]
        if work.abandoned:
            self.wasted_core_s += core_s
        else:
            self.served += 1
            work.on_end(True)
        self._start_queued_work(now)

    def terminate(self) -> None:
        """Ends the process; its queued and running attempts fail."""
        self.up = False
        self.ready = False
        self.incarnation += 1
        lost = [*self.waiting, *self.running_work.values()]
        self.waiting.clear()
        self.running_work.clear()
        self.running = 0
        self.connections = 0
        self.idle_since.clear()
        for work in lost:
            if not work.abandoned:
                work.on_end(False)

    def start(self, now: float) -> None:
        """Starts a cold process."""
        self.up = True
        self.ready = True
        self.started_at = now
        self._clear_recent_work()

    def statistics(self) -> BackendStatistics:
        """Returns the statistics of the backend so far."""
        return BackendStatistics(
            self.peak_load_ratio, self.collapses, self.windows_over_limit, self.peak_connections
        )
