"""Load shedding: how many requests to reject when capacity is short, and which ones first."""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort
from collections import deque
from typing import Final

from ingress.policy.load_balancer import LoadBalancer
from ingress.policy.request_cost import RequestCost
from ingress.policy.request_state import RequestState

SHEDDING_UTILIZATION: Final = 0.55
"""Share of the concurrency limit above which load is shed, the least valuable requests first."""
RECENT_REQUESTS: Final = 256
"""Number of recent requests with which a new request's value is compared."""


class LoadShedder:
    """Decides how much load to shed and ranks requests by value per unit of work.

    Attributes:
        shed_fraction: The share of requests that the fleet sheds.
        shed_fraction_until: The time in seconds until which `shed_fraction` applies.
    """

    def __init__(self, load_balancer: LoadBalancer, cost: RequestCost) -> None:
        self._load_balancer = load_balancer
        self._cost = cost
        self.shed_fraction = 0.0
        self.shed_fraction_until = 0.0
        self._recent_values: deque[float] = deque()
        self._sorted_values: list[float] = []

    def pressure(self, now: float) -> float:
        """Returns the share of requests to shed; a negative value means spare capacity."""
        if not self._load_balancer.ready:
            return 1.0
        utilization = self._load_balancer.concurrency.utilization(now)
        pressure = (utilization - SHEDDING_UTILIZATION) / (1 - SHEDDING_UTILIZATION)
        if self.shed_fraction > 0 and now < self.shed_fraction_until:
            return max(pressure, self.shed_fraction)
        return pressure

    def rank(self, now: float, request: RequestState) -> float:
        """Returns the request's rank among recent requests, from 0 (shed first) up to 1.

        The rank is the share of recent requests with a lower value per unit of work, or with an
        equal value and a customer that is shed earlier.
        """
        self._cost.record_request_units(request.units)
        value = self._value(request)
        if len(self._recent_values) >= RECENT_REQUESTS:
            del self._sorted_values[bisect_left(self._sorted_values, self._recent_values.popleft())]
        self._recent_values.append(value)
        insort(self._sorted_values, value)
        smaller = bisect_left(self._sorted_values, value)
        equal = bisect_right(self._sorted_values, value) - smaller
        equals_share = request.customer.rank_among_equals(now) * equal
        return (smaller + equals_share) / len(self._recent_values)

    def _value(self, request: RequestState) -> float:
        """Returns the value of the request per second of a backend's work."""
        request_class = request.request_class
        weight = request_class.priority_weight * (
            request_class.late_priority_weight if request.past_objective else 1.0
        )
        return weight * request.plan.price / self._cost.mean_latency(request_class)
