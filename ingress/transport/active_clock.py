"""A clock for timeouts on peers; it does not count time in which the process was held up."""

from __future__ import annotations

from ingress.core.clock import Clock


class ActiveClock:
    """Seconds in which the event loop could serve its connections.

    While the process is held up, it can't read what a peer has sent, so that time must not use up
    the peer's timeout. The owner calls `tick` at a regular interval; of a longer gap between two
    ticks only `max_gap_s` counts.

    Attributes:
        clock: Returns the real time in seconds.
        max_gap_s: The longest time between two ticks that counts.
        counted_s: The counted time until the last tick.
        ticked_at: The real time of the last tick.
    """

    __slots__ = ("clock", "counted_s", "max_gap_s", "ticked_at")

    def __init__(self, clock: Clock, max_gap_s: float) -> None:
        self.clock = clock
        self.max_gap_s = max_gap_s
        self.counted_s = 0.0
        self.ticked_at = clock()

    def now(self) -> float:
        """Returns the time that has counted so far."""
        return self.counted_s + min(self.clock() - self.ticked_at, self.max_gap_s)

    def tick(self) -> None:
        """Records that the event loop has served its connections since the last tick."""
        self.counted_s = self.now()
        self.ticked_at = self.clock()
