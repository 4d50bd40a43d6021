"""Retry policy: the retry budget, whether a retry is useful, and attempt timeouts."""

from __future__ import annotations

from typing import Final

from ingress.policy.load_shedding import LoadShedder
from ingress.policy.request_cost import RequestCost
from ingress.policy.request_state import RequestState
from ingress.policy.settings import RetrySemantics, Settings
from ingress.policy.token_bucket import TokenBucket

RETRY_BUDGET_RATIO: Final = 0.15
"""Mean number of retries allowed for each first attempt."""
MAX_RETRY_BUDGET: Final = 10.0
INITIAL_RETRY_BUDGET: Final = 1.0
LOST_AFTER_LATENCIES: Final = 8.0
"""Time after which an attempt may be lost, in mean latencies of its class."""
LOST_AFTER_OBJECTIVE_SHARE: Final = 0.7
"""Share of the latency objective that must pass as well before an attempt may be lost."""
MIN_TIMEOUT_S: Final = 1e-6


class RetryPolicy:
    """Decides on retries.

    Attributes:
        budget: The number of retries allowed; each first attempt adds `RETRY_BUDGET_RATIO`.
    """

    def __init__(self, settings: Settings, cost: RequestCost, load_shedder: LoadShedder) -> None:
        self._settings = settings
        self._cost = cost
        self._load_shedder = load_shedder
        self.budget = TokenBucket(0.0, MAX_RETRY_BUDGET, INITIAL_RETRY_BUDGET, 0.0)

    def request_forwarded(self) -> None:
        """Adds `RETRY_BUDGET_RATIO` to the budget for a first attempt."""
        self.budget.level = min(self.budget.capacity, self.budget.level + RETRY_BUDGET_RATIO)

    def is_useful(self, now: float, request: RequestState) -> bool:
        """Returns whether a response to a retry is likely to come before the deadline."""
        return now + self._cost.mean_latency(request.request_class) < request.deadline

    def has_budget(self, now: float) -> bool:
        """Returns whether a retry may start: retries during an overload would make it worse."""
        return self.budget.level >= 1 and self._load_shedder.pressure(now) < 0

    def retry_started(self) -> None:
        """Deducts a retry from the budget."""
        self.budget.level -= 1.0

    def attempt_timeout(self, now: float, request: RequestState) -> float:
        """Returns the timeout of the newest attempt, in seconds.

        An unresponsive connection would delay the request until its deadline.  If a retry can still
        follow, the attempt therefore times out earlier, well after the usual latency of a response.
        """
        request_class = request.request_class
        time_left = request.deadline - now
        lost_after = max(
            LOST_AFTER_LATENCIES * self._cost.mean_latency(request_class),
            LOST_AFTER_OBJECTIVE_SHARE * request_class.latency_objective,
        )
        may_retry = (
            request_class.semantics is not RetrySemantics.NON_IDEMPOTENT
            and len(request.attempts) < self._settings.max_attempts
        )
        if may_retry and lost_after < time_left / 2 and self.budget.level >= 1:
            time_left = lost_after
        return max(time_left, MIN_TIMEOUT_S)
