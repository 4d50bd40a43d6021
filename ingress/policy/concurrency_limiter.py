"""An adaptive limit on the attempts that one gateway has in flight, derived from their latencies.

If hundreds of gateways each kept a few attempts in flight at each backend, they would exceed the
capacity of all backends several times over, so the limit may be far below one attempt.  The limit
needs no messages from other gateways: as responses become slower, the same limit admits fewer
attempts per second.  The algorithm is additive increase, multiplicative decrease (Chiu and Jain,
1989).
"""

from __future__ import annotations

from math import exp
from typing import Final

MEAN_TIME_CONSTANT_S: Final = 1.0
"""Time constant of the mean of attempts in flight: longer than a burst, shorter than congestion."""
SLOW_RESPONSE_FRACTION: Final = 0.6
"""Fraction of the latency objective: a slower response indicates too many attempts in flight."""
FAST_RESPONSE_FRACTION: Final = 0.4
"""Fraction of the latency objective: a faster response indicates spare capacity."""
DECREASE_FACTOR: Final = 0.9
INCREASE_ATTEMPTS: Final = 0.1
"""Attempts by which a fast response increases the limit."""
MAX_BURST_ATTEMPTS: Final = 2
MAX_BURST_LIMITS: Final = 1.5
"""Multiple of the limit that may briefly be in flight, in addition to `MAX_BURST_ATTEMPTS`."""
MIN_LIMIT_ATTEMPTS: Final = 0.02
"""A lower limit would send no attempts whose responses could show the end of congestion."""
MIN_USED_FRACTION: Final = 0.2
"""Minimum fraction of the limit that is treated as used when the limit is decreased."""
INITIAL_LIMIT_ATTEMPTS: Final = 1.0


class ConcurrencyLimiter:
    """The concurrency limit and the attempts that count against it.  Times are in seconds.

    Attributes:
        limit: The number of attempts that may be in flight on average.
        in_flight: The time at which each attempt in flight stops counting, by request ID and
            attempt number.
        mean_in_flight: The running mean of attempts in flight, as of `updated_at`.
        decreased_at: The time at which the limit was last decreased.
    """

    def __init__(self) -> None:
        self.limit = INITIAL_LIMIT_ATTEMPTS
        self.started = False
        self.in_flight: dict[tuple[str, int], float] = {}
        self.mean_in_flight = 0.0
        self.updated_at = 0.0
        self.decreased_at = 0.0

    def start(self, size: float) -> None:
        """Sets the initial limit in attempts; later calls have no effect."""
        if not self.started:
            self.limit = max(INITIAL_LIMIT_ATTEMPTS, size)
            self.started = True

    def _advance(self, now: float) -> None:
        """Drops expired attempts and updates the mean."""
        while self.in_flight:
            key, expires_at = next(iter(self.in_flight.items()))
            if expires_at >= now:
                break
            del self.in_flight[key]
        weight = 1.0 - exp(-max(0.0, now - self.updated_at) / MEAN_TIME_CONSTANT_S)
        self.mean_in_flight += (len(self.in_flight) - self.mean_in_flight) * weight
        self.updated_at = now

    def utilization(self, now: float) -> float:
        """Returns the fraction of the limit that is in use; it may exceed 1.

        The mean reflects a burst too late, so attempts beyond a small number count immediately.
        """
        self._advance(now)
        burst = (len(self.in_flight) - MAX_BURST_ATTEMPTS) / MAX_BURST_LIMITS
        return max(self.mean_in_flight, burst) / self.limit

    def attempt_started(self, now: float, key: tuple[str, int], latency_objective: float) -> None:
        """Counts an attempt as in flight, for its latency objective at most.

        Without that bound, backends that never respond would use up the limit permanently.
        """
        self._advance(now)
        self.in_flight[key] = now + latency_objective

    def attempt_ended(self, now: float, key: tuple[str, int]) -> None:
        """Stops counting an attempt; does nothing for one that has already expired."""
        self._advance(now)
        self.in_flight.pop(key, None)

    def response_received(
        self, now: float, latency: float, latency_objective: float, min_utilization: float
    ) -> None:
        """Adjusts the limit by a response's latency.

        The limit grows only while at least `min_utilization` of it is in use; otherwise it would
        grow without bound.
        """
        self._advance(now)
        if latency > SLOW_RESPONSE_FRACTION * latency_objective:
            self.decrease(now, latency)
        elif (
            latency < FAST_RESPONSE_FRACTION * latency_objective
            and self.mean_in_flight > min_utilization * self.limit
        ):
            self.limit += INCREASE_ATTEMPTS

    def decrease(self, now: float, latency: float) -> None:
        """Decreases the limit, at most once per `latency` seconds, and drops its unused part.

        Attempts that were in flight together all indicate the same congestion.
        """
        self._advance(now)
        if now - self.decreased_at > latency:
            used = max(self.mean_in_flight, MIN_USED_FRACTION * self.limit)
            self.limit = max(MIN_LIMIT_ATTEMPTS, min(self.limit, 2 * used) * DECREASE_FACTOR)
            self.decreased_at = now
