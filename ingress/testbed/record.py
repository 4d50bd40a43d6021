"""What clients, grid servers and the lab itself saw, on one clock: the referee's only evidence.

Times are seconds of the lab's clock; work is seconds of one core at full capacity.
"""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass, field
from math import inf
from typing import Any

STARVED = 0.6  # s before a moment in which waiting for a core can have made it late


@dataclass(slots=True)
class Try:
    """A client's try, written whole to a connection that the ingress's machine accepted."""

    id: str
    customer: str
    plan: str
    request_class: str
    key: str
    units: float
    ingress: int
    sent: float  # when its last byte was written
    patience: float  # for how long the client waits
    first: bool = True  # the first on its connection
    ask: int = -1  # the number of the first try that it belongs to
    kind: str = ""  # served, refused, failed; "" while there is no whole answer
    answered: float = inf  # when the answer's last byte came
    value: bytes = b""
    ended: float = inf  # when its connection ended with no whole answer
    cut: bool = False  # the lab ended or cut that connection, not the ingress
    dialect: str = ""  # that its client speaks
    extra: int = 0  # bytes that came behind the answer, when nothing was owed


@dataclass(slots=True)
class Arrival:
    """A request that came whole to a grid server."""

    id: str
    customer: str
    plan: str
    request_class: str
    key: str
    units: float
    server: str
    ingress: int
    first: float  # when the ingress sent its first byte
    at: float  # when its last byte came
    work: float
    out_until: float = inf  # when its answer was written or its connection ended
    may_have_run: bool = True  # False once it was turned away
    effect: bool = False  # it ran, and no memory of its key dropped it
    value: bytes = b""
    dialect: str = ""  # that the server speaks
    memory: str = ""  # the memory of keys that the server shares with others


@dataclass(slots=True)
class Start:
    """A process of a grid server that started cold: `capacity` when warm, in work a second."""

    server: str
    at: float
    capacity: float
    cold_share: float
    cold_time: float


@dataclass(slots=True)
class Told:
    """A server's state, written to an ingress by discovery."""

    ingress: int
    server: str
    state: str
    at: float


@dataclass(slots=True)
class Life:
    """One process of an ingress.  `how` it went: "" while it runs, killed by the lab, term until it has
    ended after the lab's SIGTERM, ended, closed with the lab, or crashed.  `pauses` are the lab's own, from
    stop to continue."""

    ingress: int
    up: float
    down: float = inf
    how: str = ""
    killed_late: bool = False  # SIGKILL after SIGTERM had its full time
    pauses: list[tuple[float, float]] = field(default_factory=list)

    def paused(self, start: float, end: float) -> bool:
        return any(a < end and b > start for a, b in self.pauses)


@dataclass(slots=True)
class Record:
    """All sightings of a run, in the order in which they were made, and the machine's own lateness."""

    tries: list[Try] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    starts: list[Start] = field(default_factory=list)
    told: list[Told] = field(default_factory=list)
    lives: list[Life] = field(default_factory=list)
    lags: list[tuple[float, float]] = field(
        default_factory=list
    )  # when, and how late the machine was
    # When it was read, which ingress, and for how long since the last reading it stood ready and got no core.
    starved: list[tuple[float, int, float]] = field(default_factory=list)
    # Each as an ingress logged it, at level debug; times are Unix time.
    placements: list[dict[str, Any]] = field(default_factory=list)
    hands_over: bool = False  # whether ingresses may send what a lost one had in hand

    def lag(self, at: float, before: float = 2.0, after: float = 0.3) -> float:
        """How late the machine can have made something at that moment, in seconds: the worst lateness round
        it, or all the time for which one ingress got no core just before it, whichever is more."""
        start = bisect_left(self.lags, (at - before, 0.0))
        end = bisect_left(self.lags, (at + after, inf))
        worst = max((late for _, late in self.lags[start:end]), default=0.0)
        sums: dict[int, float] = {}
        for when, ingress, seconds in self.starved[
            bisect_left(self.starved, (at - STARVED, 0, 0.0)) :
        ]:
            if when > at + after:
                break
            sums[ingress] = sums.get(ingress, 0.0) + seconds
        return max(worst, *sums.values()) if sums else worst
