"""Exact quota and ceiling of a customer, as tracked by an observer of all requests."""

from __future__ import annotations

from typing import Final

from ingress.policy.settings import Plan

ROUNDING: Final = 1e-9  # units; tolerance for floating-point errors


class TrueQuota:
    """The token buckets of one customer, for the whole fleet.

    Attributes:
        level: Units available in the quota.
        ceiling_level: Units available below the ceiling; negative if the ceiling is exceeded.
    """

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.updated_at = 0.0
        self.level = plan.burst
        self.ceiling_level = plan.ceiling_burst

    def refill(self, now: float) -> None:
        """Adds the units accrued since the last update; `now` is in seconds."""
        elapsed = now - self.updated_at
        self.updated_at = now
        plan = self.plan
        self.level = min(plan.burst, self.level + plan.rate * elapsed)
        self.ceiling_level = min(
            plan.ceiling_burst, self.ceiling_level + plan.ceiling_rate * elapsed
        )

    def take(self, now: float) -> bool:
        """Takes one unit from the quota and from the ceiling.

        Returns:
            False if the quota has no unit available; only the ceiling is reduced then.
        """
        self.refill(now)
        self.ceiling_level -= 1.0
        if self.level < 1.0 - ROUNDING:
            return False
        self.level -= 1.0
        return True
