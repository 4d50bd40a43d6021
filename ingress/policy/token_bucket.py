"""A token bucket in continuous time."""

from __future__ import annotations

from typing import Final

ROUNDING_UNITS: Final = 1e-9
"""Units by which rounding may leave a level below the sum of the units added to it."""


class TokenBucket:
    """A token bucket that is refilled when it is read.

    Attributes:
        refill_rate: Units added per second.
        capacity: The level up to which the bucket is refilled.
        level: The level at `updated_at`; negative if the bucket is in debt.
        updated_at: The time of the last refill, in seconds of the caller's clock.
    """

    def __init__(self, refill_rate: float, capacity: float, level: float, now: float) -> None:
        self.refill_rate = refill_rate
        self.capacity = capacity
        self.level = level
        self.updated_at = now

    def has_tokens(self, now: float, units: float, capacity: float | None = None) -> bool:
        """Refills the bucket and returns whether it holds `units`.

        Args:
            now: The time in seconds.
            units: The units required; none are taken.
            capacity: The level up to which the bucket is refilled instead of its own capacity.  A
                higher level is kept.
        """
        limit = self.capacity if capacity is None else capacity
        refilled = self.level + self.refill_rate * (now - self.updated_at)
        self.level = min(max(limit, self.level), refilled)
        self.updated_at = now
        return self.level >= units - ROUNDING_UNITS
