"""Optimistic admission: decides on requests of customers whose quota use is not known."""

from __future__ import annotations

from typing import Final

from ingress.policy.counter_throttle import CounterThrottle
from ingress.policy.customer import Customer
from ingress.policy.settings import Plan

MAX_MEAN_LOSS: Final = 0.05
"""Mean loss, as a share of the value admitted, above which a higher probability is required."""
SMOOTHING: Final = 0.15
INITIAL_PROBABILITY: Final = 0.5


class OptimisticAdmission:
    """Compares the loss of admitting beyond the quota with the probability that units are left.

    Attributes:
        probability: The probability that units are left, by plan name and by whether the customer
            is returning.
        mean_loss: The mean loss by optimistic admission, as a share of the value admitted.
    """

    def __init__(self, plans: tuple[Plan, ...], throttle: CounterThrottle) -> None:
        self._throttle = throttle
        self.probability: dict[tuple[str, bool], float] = {}
        for plan in plans:
            self.probability[plan.name, False] = INITIAL_PROBABILITY
            self.probability[plan.name, True] = INITIAL_PROBABILITY
        self.mean_loss = 0.0

    def expected_loss(self, now: float, customer: Customer) -> float:
        """Returns the expected loss if a request is admitted; below zero, reject it.

        Admissions that are each worthwhile may together exceed the quotas.  The greater their
        recent loss, the higher the probability that the next one requires.  While the counter does
        not answer, it can't be called about returning customers: all count as new, recent losses
        are ignored, and the returned loss is 0.
        """
        answering = self._throttle.is_answering(now)
        returning = answering and customer.is_returning(now)
        probability = self.probability[customer.plan.name, returning]
        loss = (1 - probability) * customer.plan.over_quota_cost
        loss_factor = max(1.0, self.mean_loss / MAX_MEAN_LOSS) if answering else 1.0
        if loss * loss_factor >= probability:
            return -1.0
        return loss if answering else 0.0

    def total_received(self, plan: Plan, returning: bool, units_left: bool) -> None:
        """Updates the probability by whether a counter total showed units left for a request."""
        probability = self.probability[plan.name, returning]
        self.probability[plan.name, returning] = probability + SMOOTHING / 4 * (
            units_left - probability
        )

    def request_forwarded(self, expected_loss: float) -> None:
        """Updates the mean loss with the expected loss of a forwarded request."""
        self.mean_loss += SMOOTHING / 16 * (expected_loss - self.mean_loss)
