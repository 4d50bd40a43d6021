"""Starts attempts, processes their outcomes and retries requests."""

from __future__ import annotations

from ingress.policy import outlier_detection
from ingress.policy.actions import StartAttempt
from ingress.policy.backend_state import BUSY_LATENCY_SHARE
from ingress.policy.events import AttemptEnded, Outcome
from ingress.policy.load_balancer import LoadBalancer
from ingress.policy.load_shedding import SHEDDING_UTILIZATION
from ingress.policy.optimistic_admission import OptimisticAdmission
from ingress.policy.pending_actions import PendingActions
from ingress.policy.quota_reporting import QuotaReporter
from ingress.policy.request_cost import RequestCost
from ingress.policy.request_state import RequestState, SentAttempt
from ingress.policy.request_table import RequestTable
from ingress.policy.retry_policy import RetryPolicy


class AttemptDispatcher:
    """Starts attempts and acts on their outcomes.

    Attributes:
        attempts: Attempts in flight, by request id and attempt number.
    """

    def __init__(
        self,
        load_balancer: LoadBalancer,
        cost: RequestCost,
        retry_policy: RetryPolicy,
        optimistic_admission: OptimisticAdmission,
        quota_reporter: QuotaReporter,
        requests: RequestTable,
        actions: PendingActions,
    ) -> None:
        self._load_balancer = load_balancer
        self._cost = cost
        self._retry_policy = retry_policy
        self._optimistic_admission = optimistic_admission
        self._quota_reporter = quota_reporter
        self._requests = requests
        self._actions = actions
        self.attempts: dict[tuple[str, int], SentAttempt] = {}

    def start_attempt(self, now: float, request: RequestState) -> bool:
        """Starts an attempt; returns False if no backend is eligible for it."""
        target = self._load_balancer.choose(request, now)
        if target is None:
            return False
        if not request.forwarded:
            self._record_forwarded(now, request)
        number = len(request.attempts)
        attempt = SentAttempt(request, target, now)
        request.attempts.append(attempt)
        request.attempts_in_flight[number] = attempt
        request.attempts_possibly_run.append(attempt)
        request.customer.in_flight += 1
        key = (request.request_id, number)
        target.attempt_started(key, now)
        self.attempts[key] = attempt
        self._load_balancer.concurrency.attempt_started(
            now, key, request.request_class.latency_objective
        )
        timeout = self._retry_policy.attempt_timeout(now, request)
        self._actions.append(StartAttempt(request.request_id, target.backend.id, timeout))
        return True

    def _record_forwarded(self, now: float, request: RequestState) -> None:
        """Charges the request to its customer and to the budgets, with its first attempt."""
        customer = request.customer
        request.forwarded = True
        self._optimistic_admission.request_forwarded(request.expected_loss)
        self._retry_policy.request_forwarded()
        if request.plan.ceiling_rate:
            customer.consume_ceiling(request.units)
        if request.within_quota:
            self._quota_reporter.mark_unreported(customer)
            customer.consume(now, request.units, request.units_counted)
            request.units_counted = False

    def attempt_ended(self, now: float, event: AttemptEnded) -> None:
        """Processes the outcome of an attempt and completes or retries its request."""
        key = (event.request_id, event.attempt)
        attempt = self.attempts.pop(key, None)
        if attempt is None:
            return
        request = attempt.request
        self._load_balancer.concurrency.attempt_ended(now, key)
        request.customer.in_flight -= 1
        attempt.target.attempt_ended(key)
        request.attempts_in_flight.pop(event.attempt, None)
        if event.outcome.never_ran:
            request.attempts_possibly_run.remove(attempt)
        if event.outcome is Outcome.OK:
            self._record_success(now, event, attempt)
        elif event.outcome is Outcome.SUPERSEDED:
            self._record_superseded(event, request)
        elif event.outcome is not Outcome.CANCELLED:
            self._record_failure(now, event, attempt)
        if event.finished or request.finished:
            self._requests.complete(request)
        elif not request.attempts_in_flight:
            self._retry_or_finish(now, request, event.outcome is Outcome.CONNECT_FAILED)

    def _record_success(self, now: float, event: AttemptEnded, attempt: SentAttempt) -> None:
        request = attempt.request
        objective = request.request_class.latency_objective
        outlier_detection.record_success(attempt.target)
        mean_latency = self._cost.mean_latency(request.request_class)
        attempt.target.response_received(now, event.latency, mean_latency, objective)
        self._cost.response_received(request.request_class, event.latency)
        self._load_balancer.slow_start.response_received(now)
        self._load_balancer.concurrency.response_received(
            now, event.latency, objective, SHEDDING_UTILIZATION / 2
        )
        if event.settled_units and request.within_quota:
            self._quota_reporter.settle(request.customer, event.settled_units - request.units)

    def _record_superseded(self, event: AttemptEnded, request: RequestState) -> None:
        """Returns the units to the customer if no backend ran the answered request."""
        if event.finished and request.within_quota and not request.attempts_possibly_run:
            self._quota_reporter.settle(request.customer, -request.units)

    def _record_failure(self, now: float, event: AttemptEnded, attempt: SentAttempt) -> None:
        request_class = attempt.request.request_class
        objective = request_class.latency_objective
        target = attempt.target
        silent = event.outcome is Outcome.TIMEOUT and target.last_response_at <= attempt.sent_at
        overloaded = (
            event.outcome is Outcome.OVERLOADED and target.latency_share >= BUSY_LATENCY_SHARE
        )
        if silent or overloaded:
            self._load_balancer.concurrency.decrease(now, objective)
        if silent:
            latency = max(event.latency, objective)
            mean_latency = self._cost.mean_latency(request_class)
            target.response_received(now, latency, mean_latency, objective)
        outlier_detection.record_failure(target, now, event.outcome, self._cost.longest_objective)

    def _retry_or_finish(self, now: float, request: RequestState, never_reached: bool) -> None:
        """Retries the request if that is useful, or sends its final response.

        Retries require a retry budget and spare capacity.  A retry after an attempt that reached no
        backend is exempt, since no backend has spent any work on it.
        """
        useful = self._retry_policy.is_useful(now, request)
        if useful and never_reached and self.start_attempt(now, request):
            return
        if useful and self._retry_policy.has_budget(now) and self.start_attempt(now, request):
            self._retry_policy.retry_started()
        else:
            self._requests.reject_or_fail(now, request)
