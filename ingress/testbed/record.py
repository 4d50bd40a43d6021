"""The record of a run, as clients, grid servers and the testbed observed it on one clock.

It is the only input of the invariant checker. Times are seconds of the testbed's clock; work is
seconds of one core at full capacity.
"""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass, field
from math import inf
from typing import Any

STARVATION_WINDOW_S = 0.6  # before an event, in which waiting for a core can have delayed it


@dataclass(slots=True)
class Try:
    """A client's try, written completely to a connection that the ingress's machine accepted."""

    id: str
    customer: str
    plan: str
    request_class: str
    key: str
    units: float
    ingress: int
    sent: float  # when its last byte was written
    patience: float  # seconds for which the client waits
    first: bool = True  # the first on its connection
    ask: int = -1  # the number of the first try that this one repeats
    kind: str = ""  # served, refused or failed; "" without a complete response
    answered: float = inf  # when the response's last byte was received
    value: bytes = b""
    ended: float = inf  # when its connection ended without a complete response
    cut: bool = False  # the testbed ended the connection, not the ingress
    dialect: str = ""  # of its client
    extra: int = 0  # bytes after the response while no request was open


@dataclass(slots=True)
class Arrival:
    """A complete request at a grid server."""

    id: str
    customer: str
    plan: str
    request_class: str
    key: str
    units: float
    server: str
    ingress: int
    first: float  # when the ingress sent its first byte
    at: float  # when its last byte was received
    work: float
    out_until: float = inf  # when its response was written or its connection ended
    may_have_run: bool = True  # False if it was rejected without a run
    effect: bool = False  # it ran and was not dropped as a repeat of its key
    value: bytes = b""
    dialect: str = ""  # of the server
    memory: str = ""  # the memory of keys that the server shares


@dataclass(slots=True)
class Start:
    """A cold start of a grid server's process; `capacity` is the warm one, in work per second."""

    server: str
    at: float
    capacity: float
    cold_share: float
    cold_time: float


@dataclass(slots=True)
class Told:
    """A server's state, as discovery sent it to an ingress."""

    ingress: int
    server: str
    state: str
    at: float


@dataclass(slots=True)
class Life:
    """The lifetime of one process of an ingress.

    Attributes:
        ingress: The ingress's number.
        up: When the process started.
        down: When it ended.
        how: "" while it runs; killed by the testbed; term between the testbed's SIGTERM and its end;
            ended; closed with the testbed; or crashed.
        killed_late: SIGKILL followed after the full time for a SIGTERM had passed.
        pauses: When the testbed stopped and continued it.
    """

    ingress: int
    up: float
    down: float = inf
    how: str = ""
    killed_late: bool = False
    pauses: list[tuple[float, float]] = field(default_factory=list)

    def paused(self, start: float, end: float) -> bool:
        """Returns whether a pause overlaps the interval."""
        return any(a < end and b > start for a, b in self.pauses)


@dataclass(slots=True)
class Record:
    """All observations of a run in their order, and how late the machine itself was."""

    tries: list[Try] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    starts: list[Start] = field(default_factory=list)
    told: list[Told] = field(default_factory=list)
    lives: list[Life] = field(default_factory=list)
    # When, and how many seconds late the machine was.
    lags: list[tuple[float, float]] = field(default_factory=list)
    # When it was sampled, which ingress, and for how many seconds since the last sample it was runnable
    # without a core.
    starved: list[tuple[float, int, float]] = field(default_factory=list)
    # As the ingresses log them at level debug; their times are Unix time.
    placements: list[dict[str, Any]] = field(default_factory=list)
    hands_over: bool = False  # whether ingresses take over requests of a lost one

    def lag(self, at: float, before: float = 2.0, after: float = 0.3) -> float:
        """Returns by how many seconds the machine may have delayed an event.

        This is the greater of the worst lag around the event and the longest total time for which one
        ingress waited for a core just before it.

        Args:
            at: When the event happened.
            before: Seconds before the event in which lags count.
            after: Seconds after the event in which lags count.
        """
        start = bisect_left(self.lags, (at - before, 0.0))
        end = bisect_left(self.lags, (at + after, inf))
        worst = max((late for _, late in self.lags[start:end]), default=0.0)
        sums: dict[int, float] = {}
        for when, ingress, seconds in self.starved[
            bisect_left(self.starved, (at - STARVATION_WINDOW_S, 0, 0.0)) :
        ]:
            if when > at + after:
                break
            sums[ingress] = sums.get(ingress, 0.0) + seconds
        return max(worst, *sums.values()) if sums else worst
