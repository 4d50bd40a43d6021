"""State of one request that this gateway has to answer, and of its attempts."""

from __future__ import annotations

from ingress.policy.backend_state import BackendState
from ingress.policy.customer import Customer
from ingress.policy.events import Backend, RequestReceived
from ingress.policy.settings import (
    MAX_PROCESS_PAUSE_S,
    DeduplicationScope,
    Plan,
    RequestClass,
    RetrySemantics,
    Settings,
)


class RequestState:
    """A request that this gateway has to answer.

    Attributes:
        deadline: Time of the policy's clock, in seconds.
        within_quota: Whether its units are charged to the customer's quota.
        forwarded: Whether its first attempt was started.
        units_counted: Whether the customer's unreported use already includes its units.
        finished: Whether the final response was given or the client disconnected.
        past_objective: Whether it can no longer be answered within its latency objective.
        expected_loss: Expected loss of an optimistic admission, as a share of the request's value.
        attempts: All attempts in order.
        attempts_in_flight: Attempts without an outcome, by number.
        attempts_possibly_run: Attempts that have no outcome, or whose backend may have run the
            request.
    """

    def __init__(
        self,
        event: RequestReceived,
        request_class: RequestClass,
        plan: Plan,
        customer: Customer,
        now: float,
    ) -> None:
        self.request_id = event.request_id
        self.request_class = request_class
        self.plan = plan
        self.customer = customer
        self.units = event.units
        self.cell = event.cell
        self.deadline = now + event.time_left
        self.within_quota = False
        self.forwarded = False
        self.units_counted = False
        self.finished = False
        self.past_objective = False
        self.expected_loss = 0.0
        self.attempts: list[SentAttempt] = []
        self.attempts_in_flight: dict[int, SentAttempt] = {}
        self.attempts_possibly_run: list[SentAttempt] = []

    def may_reject(self) -> bool:
        """Returns whether a rejection is correct: it tells the client that a retry is harmless."""
        return (
            self.request_class.semantics is RetrySemantics.IDEMPOTENT
            or not self.attempts_possibly_run
        )

    def may_attempt(self, target: BackendState, now: float, settings: Settings) -> bool:
        """Returns whether an attempt at `target` is allowed and can't cause a second effect."""
        if len(self.attempts) >= settings.max_attempts:
            return False
        if self.attempts_in_flight and not settings.hedging_allowed:
            return False
        if self.cell and target.backend.cell != self.cell:
            return False
        if (
            self.request_class.semantics is RetrySemantics.IDEMPOTENT
            or not self.attempts_possibly_run
        ):
            return True
        if self.request_class.semantics is RetrySemantics.NON_IDEMPOTENT:
            return False
        latest_write_at = now + settings.tick_interval + MAX_PROCESS_PAUSE_S
        return self._is_deduplicated(target.backend, latest_write_at)

    def _is_deduplicated(self, backend: Backend, arrives_at: float) -> bool:
        """Returns whether the backend still holds the key of each attempt that may have run."""
        scope = self.request_class.deduplication_scope
        window = self.request_class.deduplication_window
        return all(
            arrives_at < earlier.sent_at + window
            and (
                scope is DeduplicationScope.ALL
                or (scope is DeduplicationScope.ZONE and backend.zone == earlier.backend.zone)
                or (scope is DeduplicationScope.CELL and backend.cell == earlier.backend.cell)
            )
            for earlier in self.attempts_possibly_run
        )


class SentAttempt:
    """One attempt of a request, its target backend and its start time in seconds.

    Attributes:
        backend: The backend's entry in the endpoint list when the attempt started; it may return in
            another group of idempotency keys.
    """

    __slots__ = ("backend", "request", "sent_at", "target")

    def __init__(self, request: RequestState, target: BackendState, sent_at: float) -> None:
        self.request = request
        self.target = target
        self.backend = target.backend
        self.sent_at = sent_at
