"""Admission control: forwards a request, calls the shared counter first, or rejects the request.

By default, a token bucket for each customer holds this gateway's slice of the quota, and a request
that does not fit is rejected immediately.  All other rules are exceptions from this default.
"""

from __future__ import annotations

from typing import Final

from ingress.policy import counter_keys
from ingress.policy.attempt_dispatcher import AttemptDispatcher
from ingress.policy.counter_throttle import CounterThrottle
from ingress.policy.customer import Customer
from ingress.policy.customer_table import DEFAULT_MAX_CUSTOMERS, CustomerTable
from ingress.policy.events import CounterReply, RequestReceived
from ingress.policy.load_shedding import LoadShedder
from ingress.policy.optimistic_admission import OptimisticAdmission
from ingress.policy.quota_estimate import NEVER
from ingress.policy.quota_reporting import QuotaReporter
from ingress.policy.request_cost import RequestCost
from ingress.policy.request_state import RequestState
from ingress.policy.request_table import RequestTable
from ingress.policy.settings import Plan, RequestClass, Settings

LOW_SLICE_SHARE: Final = 0.5
"""Share of the slice's capacity; if a request would leave less, the counter is called."""
MIN_TIME_LEFT_IN_TIMEOUTS: Final = 4
"""Minimum time before the request's deadline for a call to be made, in counter timeouts."""
MAX_OVER_QUOTA_PRESSURE: Final = -0.1
"""A request beyond the quota is forwarded only below this pressure, if it is worthwhile at all."""
COUNTER_LOST_S: Final = counter_keys.EPOCH_S / 3
"""Time without a reply after which the counter counts as unavailable, not as overloaded."""
RECENT_TOTAL_S: Final = counter_keys.EPOCH_S / 3


class AdmissionController:
    """Decides on requests when they arrive and when counter replies arrive.

    Attributes:
        table: The customers.
        started_at: Time in seconds at which this gateway handled its first event.
    """

    def __init__(
        self,
        settings: Settings,
        cost: RequestCost,
        load_shedder: LoadShedder,
        throttle: CounterThrottle,
        optimistic_admission: OptimisticAdmission,
        quota_reporter: QuotaReporter,
        requests: RequestTable,
        dispatcher: AttemptDispatcher,
        max_customers: int = DEFAULT_MAX_CUSTOMERS,
    ) -> None:
        self._settings = settings
        self._cost = cost
        self._load_shedder = load_shedder
        self._throttle = throttle
        self._optimistic_admission = optimistic_admission
        self._quota_reporter = quota_reporter
        self._requests = requests
        self._dispatcher = dispatcher
        self._classes = {c.name: c for c in settings.classes}
        self._plans = {p.name: p for p in settings.plans}
        self._first_time_left: dict[str, float] = {}  # of first requests, by class
        self.table = CustomerTable(quota_reporter, max_customers)
        self.started_at = 0.0

    @property
    def customers(self) -> dict[str, Customer]:
        """All customers by id."""
        return self.table.by_id

    def drop_idle_customers(self, now: float) -> None:
        """Removes idle customers whose state equals that of a new customer."""
        self.table.drop_idle(now)

    def request_received(self, now: float, event: RequestReceived) -> None:
        """Decides on a request, or queues it until the counter replies.

        Raises:
            KeyError: The plan or the request class is not configured.
        """
        plan = self._plans[event.plan]
        request_class = self._classes[event.request_class]
        customer = self._customer_of(now, event, plan)
        if customer is None:
            self._requests.reject_unopened(event.request_id)
            return
        self._quota_reporter.consistency.limit_share(now, customer)
        request = RequestState(event, request_class, plan, customer, now)
        self._requests.add(request)
        request.past_objective = self._is_past_objective(event, request_class)
        worthless = request.past_objective and not request_class.late_priority_weight
        # An even share of a ceiling is less than the busiest gateway needs.  Only a counter total
        # shows that more units are available.
        ceiling_reached = plan.ceiling_rate > 0 and not customer.ceiling.has_tokens(
            now, request.units
        )
        calls_counter = (
            not worthless
            and plan.rate > 0
            and self._may_call_counter(now, request, ceiling_reached)
        )
        call_in_flight = self._quota_reporter.enabled and customer.counter_called_at > NEVER
        if calls_counter and ceiling_reached and call_in_flight:
            customer.awaiting_next_call.append(request)
        elif calls_counter and self._quota_reporter.call_counter(now, customer, (request,)):
            customer.awaiting_reply.append(request)
        elif worthless or ceiling_reached:
            self._requests.reject_or_fail(now, request)
        else:
            self._decide(now, request)

    def _customer_of(self, now: float, event: RequestReceived, plan: Plan) -> Customer | None:
        """Returns the customer of a request, or None if there is no room for a new one."""
        customer = self.table.by_id.get(event.customer)
        if customer is not None and (
            customer.gateway_count != max(1, event.gateway_count)
            or customer.first_gateway != event.first_gateway
        ):
            customer.resize(now, event)
        if customer is not None and customer.plan is plan:
            self.table.touch(customer, now)
            return customer
        if customer is not None or self.table.has_room(now):
            customer = Customer(
                event,
                plan,
                now,
                now - self.started_at,
                self._quota_reporter.enabled,
                self._settings.max_units,
            )
            self.table.add(customer)
        return customer

    def _is_past_objective(self, event: RequestReceived, request_class: RequestClass) -> bool:
        """Returns whether a retry can no longer be answered within its latency objective.

        The time left of a marked retry shows when the client sent the first request, unless it
        equals that of a first request.  Late retries use capacity that other requests could use in
        time.
        """
        if not event.is_retry:
            self._first_time_left[request_class.name] = event.time_left
            return False
        first_time_left = self._first_time_left.get(request_class.name, 0.0)
        if abs(event.time_left - first_time_left) <= self._settings.tick_interval:
            return False
        elapsed = request_class.deadline - event.time_left
        mean_latency = self._cost.mean_latency(request_class)
        return elapsed + mean_latency > request_class.latency_objective

    def _may_call_counter(self, now: float, request: RequestState, ceiling_reached: bool) -> bool:
        """Returns whether to call the counter: the slice is low and others may have units left."""
        customer = request.customer
        estimate = customer.estimate
        slice_suffices = customer.slice_has_tokens(
            now, request.units + LOW_SLICE_SHARE * customer.slice.capacity
        )
        if request.past_objective or (slice_suffices and not ceiling_reached):
            return False
        # An overloaded counter is called again only after the estimate has expired.
        min_call_interval = (
            request.units / request.plan.rate
            if self._throttle.call_share >= 1
            else estimate.max_age
        )
        units_may_be_left = (
            now - estimate.last_total_at > min_call_interval or estimate.level(now) >= request.units
        )
        time_left = request.deadline - now
        return (
            units_may_be_left
            and time_left > MIN_TIME_LEFT_IN_TIMEOUTS * self._settings.counter_timeout
        )

    def counter_replied(self, now: float, event: CounterReply) -> None:
        """Processes a counter reply and decides on the requests that waited for it."""
        customer = self._quota_reporter.reply_received(now, event)
        if customer is not None:
            self._release_waiting(now, customer)

    def _release_waiting(self, now: float, customer: Customer) -> None:
        if (
            customer.ledger.closed
            and customer.awaiting_reply
            and self._quota_reporter.call_counter(now, customer)
        ):
            # The reply was the last read of the previous key; the total of the new key decides.
            return
        waiting = customer.awaiting_reply
        customer.awaiting_reply = []
        for request in waiting:
            self._decide(now, request)
        if customer.counter_called_at > NEVER:
            # A call that corrects the count is in flight; the queued requests wait for its reply.
            return
        queued = customer.awaiting_next_call
        customer.awaiting_next_call = []
        if queued and self._quota_reporter.call_counter(now, customer, tuple(queued)):
            customer.awaiting_reply = queued
        else:
            for request in queued:
                self._decide(now, request)

    def _decide(self, now: float, request: RequestState) -> None:
        """Forwards a request that fits the known quota or is worthwhile beyond it; else ends it."""
        if request.finished:
            self._quota_reporter.return_units(now, request)
            return
        customer = request.customer
        plan = request.plan
        within_quota = self._is_within_quota(now, request)
        if plan.max_concurrent and customer.in_flight >= customer.max_in_flight:
            within_quota = False
        pressure = self._load_shedder.pressure(now)
        request.within_quota = within_quota
        admissible = within_quota or (
            plan.over_quota_weight > plan.over_quota_cost and pressure < MAX_OVER_QUOTA_PRESSURE
        )
        if plan.ceiling_rate and not self._ceiling_allows(now, request):
            admissible = False
        rank = self._load_shedder.rank(now, request)
        if not admissible or pressure > rank or not self._dispatcher.start_attempt(now, request):
            self._requests.reject_or_fail(now, request)

    def _ceiling_allows(self, now: float, request: RequestState) -> bool:
        customer = request.customer
        return customer.ceiling.has_tokens(now, request.units) or customer.ceiling_confirmed(
            now, request.units, request.units_counted
        )

    def _is_within_quota(self, now: float, request: RequestState) -> bool:
        """Returns whether the quota is estimated to hold the request's units."""
        customer = request.customer
        estimate = customer.estimate
        if not request.plan.rate:
            return True
        if estimate.is_fresh(now):
            # If the counter was called for this request, the total includes its units.  The
            # estimate already excludes units that were consumed since the total.
            return estimate.level(now) >= request.units
        if request.plan.ceiling_rate and estimate.last_total_at > customer.slice_corrected_at:
            self._correct_slice(now, customer)
        if customer.slice_has_tokens(now, request.units):
            return True
        if not customer.slice_below_request or now - self._throttle.answered_at >= COUNTER_LOST_S:
            return False
        return self._admit_optimistically(now, request)

    def _correct_slice(self, now: float, customer: Customer) -> None:
        """Limits the slice to an even share of the units left at the last total.

        This applies when no newer total arrives: the units in the slice may have been lent to other
        gateways, and a ceiling must not be exceeded.
        """
        customer.slice_corrected_at = customer.estimate.last_total_at
        customer.slice_has_tokens(now, 0.0)
        even_share = customer.estimate.even_share(now, customer.gateway_count)
        customer.slice.level = min(customer.slice.level, max(0.0, even_share))

    def _admit_optimistically(self, now: float, request: RequestState) -> bool:
        customer = request.customer
        estimate = customer.estimate
        has_recent_total = now - estimate.last_total_at < RECENT_TOTAL_S
        loss = self._optimistic_admission.expected_loss(now, customer)
        admitted = loss >= 0 and (not has_recent_total or estimate.level(now) >= request.units)
        if admitted:
            request.expected_loss = loss
            customer.admitted_optimistically = True
        else:
            request.expected_loss = 0.0
        return admitted
