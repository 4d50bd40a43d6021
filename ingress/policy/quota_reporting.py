"""Quota reporting: adds local use to the shared counter and learns others' use from its totals."""

from __future__ import annotations

import random
from typing import Final

from ingress.policy import counter_keys
from ingress.policy.actions import AddToCounter
from ingress.policy.consistency_reporting import ConsistencyReporter
from ingress.policy.counter_throttle import CounterThrottle
from ingress.policy.customer import Customer
from ingress.policy.events import CounterReply, Outcome
from ingress.policy.optimistic_admission import OptimisticAdmission
from ingress.policy.pending_actions import PendingActions
from ingress.policy.quota_estimate import NEVER, CounterLedger
from ingress.policy.request_state import RequestState
from ingress.policy.settings import Settings

COUNT_TOLERANCE_BURSTS: Final = 0.1
"""Bursts by which a count may leave its range before it is corrected; more under overload."""
COUNTER_BACKOFF_S: Final = 1.0
"""Delay before a customer with an unreachable count is reported again; the first is half."""
REPORT_BURST_SHARE: Final = 1 / 8
MIN_REPORTS_PER_TICK: Final = 4
"""Reports sent even to an overloaded counter, since its replies show when it has recovered."""
MAX_REPORTS_PER_TICK: Final = 24
MAX_LATE_CALLS: Final = 512
UNREACHABLE_REPORT_COST: Final = MAX_REPORTS_PER_TICK // 2
"""Number of reports that one to an unreachable count uses up: others may be unreachable too."""


class CounterCall:
    """A counter call in flight: the customer whose use it reports, and the units."""

    __slots__ = ("customer", "units")

    def __init__(self, customer: Customer, units: float) -> None:
        self.customer = customer
        self.units = units


class TimedOutCall:
    """A counter call that timed out: the customer whose use it reported, and the start time."""

    __slots__ = ("customer", "sent_at")

    def __init__(self, customer: Customer, sent_at: float) -> None:
        self.customer = customer
        self.sent_at = sent_at


class QuotaReporter:
    """Reports use to the shared counter and updates the quota estimates from its totals.

    Attributes:
        enabled: Whether there is a counter.
        calls: Calls in flight by counter key.
        late_calls: Calls that timed out, by counter key.
        unreported_customers: Customers with unreported use, by ID.
        consistency: The consistency check of the counter.
    """

    def __init__(
        self,
        settings: Settings,
        rng: random.Random,
        throttle: CounterThrottle,
        optimistic_admission: OptimisticAdmission,
        actions: PendingActions,
    ) -> None:
        self._settings = settings
        self._rng = rng
        self._throttle = throttle
        self._optimistic_admission = optimistic_admission
        self._actions = actions
        self.enabled = settings.counter_available
        self.calls: dict[int, CounterCall] = {}
        self.late_calls: dict[int, TimedOutCall] = {}
        self.unreported_customers: dict[str, Customer] = {}
        self.consistency = ConsistencyReporter(settings, throttle, actions)

    def mark_unreported(self, customer: Customer) -> None:
        """Marks a customer as having use, or corrections, to report."""
        self.unreported_customers[customer.customer_id] = customer

    def settle(self, customer: Customer, units: float) -> None:
        """Corrects the use by the difference between a request's true and estimated units.

        Args:
            customer: The customer that sent the request.
            units: The true units minus the estimated ones; negative to return units.
        """
        customer.settle(units)
        self.unreported_customers[customer.customer_id] = customer

    def return_units(self, now: float, request: RequestState) -> None:
        """Returns the units of a request that was counted but not forwarded.

        If gateways share a count, units beyond the quota remain as debt of the count.  Units within
        the quota are returned: a lack of backend capacity is not charged to the customer.
        """
        customer = request.customer
        if request.units_counted and (
            request.within_quota
            or not (customer.decided_by_counter and customer.estimate.last_total_at == now)
        ):
            customer.unreported_units -= request.units
            self.unreported_customers[customer.customer_id] = customer
        request.units_counted = False

    def call_counter(
        self, now: float, customer: Customer, requests: tuple[RequestState, ...] = ()
    ) -> bool:
        """Adds this gateway's use to the customer's count in order to learn the total.

        Args:
            now: The time in seconds.
            customer: The customer whose count is called.
            requests: The requests that will wait for the reply.  Their units are added with the
                call, so that the total of a later call includes them.  Otherwise two gateways that
                call at the same time would both give out the same remaining units.

        Returns:
            Whether the call is made.  No call is made while another one is in flight or during the
            backoff after a failure; while the counter is overloaded, calls are skipped at random.
        """
        if (
            not self.enabled
            or customer.counter_called_at > NEVER
            or now < customer.call_counter_after
        ):
            return False
        share = self._throttle.share_of_calls(customer.plan.ceiling_rate > 0)
        if requests and self._rng.random() >= share:
            return False
        for request in requests:
            self._count_waiting(now, request)
        customer.counter_called_at = now
        self._add_use(now, customer)
        return True

    def _count_waiting(self, now: float, request: RequestState) -> None:
        """Adds a waiting request's units to the unreported use."""
        customer = request.customer
        request.units_counted = True
        # Each call also represents similar requests that were forwarded without a call.
        represents_others = (
            customer.decided_by_counter
            and self._optimistic_admission.expected_loss(now, customer) >= 0
        )
        share = self._throttle.call_share if represents_others else 1.0
        customer.unreported_units += request.units / share

    def _add_use(self, now: float, customer: Customer) -> None:
        """Starts a call under the current counter key, or a last call under the former key."""
        ledger = customer.ledger
        units = customer.unreported_units
        key, valid_from = counter_keys.counter_key(customer.key_number, now)
        if key != ledger.key and ledger.has_unread_units(now, customer.estimate.max_age):
            # Units that others added under the former key after its last total would be missed.
            ledger.closed = True
            key = ledger.key
            units = 0.0
        else:
            self.unreported_customers.pop(customer.customer_id, None)
            if key != ledger.key:
                if not ledger.closed:
                    customer.estimate.interval_unobserved(valid_from)
                customer.ledger = CounterLedger(key, valid_from)
        self.calls[key] = CounterCall(customer, units)
        self._actions.append(AddToCounter(key, round(units, 3), counter_keys.KEY_LIFETIME_S))

    def reply_received(self, now: float, event: CounterReply) -> Customer | None:
        """Processes the outcome of a counter call.

        Returns:
            The customer whose waiting requests can be decided, or None if the reply does not belong
            to such a call.
        """
        check = self.consistency.checks.check_of(event.key)
        if check is not None:
            self.consistency.reply_received(now, event, check)
            return None
        call = self.calls.get(event.key)
        if call is None or self._is_stale(now, event, call):
            self._record_late_reply(now, event)
            return None
        del self.calls[event.key]
        call.customer.counter_called_at = NEVER
        if event.outcome is Outcome.OK:
            self._record_total(now, event, call)
        else:
            self._record_failure(now, event, call)
        return call.customer

    def _is_stale(self, now: float, event: CounterReply, call: CounterCall) -> bool:
        """Returns whether the reply belongs to a call sent before the one in flight."""
        sent_at = now - event.latency
        return sent_at < call.customer.counter_called_at - self._settings.tick_interval

    def _record_failure(self, now: float, event: CounterReply, call: CounterCall) -> None:
        customer = call.customer
        if event.outcome is Outcome.CONNECT_FAILED:
            # An unreachable part of the counter is not an overloaded counter: only this customer
            # backs off.
            customer.counter_backoff = (
                COUNTER_BACKOFF_S if customer.counter_backoff else COUNTER_BACKOFF_S / 2
            )
            customer.call_counter_after = now + customer.counter_backoff
        else:
            self._throttle.call_failed()
        if event.outcome is Outcome.TIMEOUT:
            customer.unreported_units -= call.units
            customer.ledger.call_timed_out(call.units)
            self._add_late_call(event.key, TimedOutCall(customer, now - event.latency))
        if customer.unreported_units:  # the next call reports them
            self.unreported_customers[customer.customer_id] = customer

    def _add_late_call(self, key: int, call: TimedOutCall) -> None:
        """Remembers a call whose reply may still arrive; replaces the oldest one if necessary."""
        if len(self.late_calls) >= MAX_LATE_CALLS:
            del self.late_calls[next(iter(self.late_calls))]
        self.late_calls[key] = call

    def _record_total(self, now: float, event: CounterReply, call: CounterCall) -> None:
        customer = call.customer
        self._throttle.answered_at = now
        self._throttle.reply_received(event.latency)
        customer.counter_backoff = 0.0
        customer.unreported_units -= call.units
        returning = customer.is_returning(now)
        customer.admitted_optimistically = False
        level = self._update_estimate(now, customer, call.units, event.total)
        for request in customer.awaiting_reply:
            units_left = customer.estimate.level(now) >= request.units
            self._optimistic_admission.total_received(customer.plan, returning, units_left)
        self._correct_count(now, customer, level)

    def _update_estimate(self, now: float, customer: Customer, added: float, total: float) -> float:
        """Updates the quota estimate with a total and returns the quota's level that it shows."""
        ledger = customer.ledger
        estimate = customer.estimate
        replacements_before = ledger.replacements
        others_units_before = ledger.others_units
        # A counter that was replaced since the last total may be a different one.
        replaced_at = self.consistency.checks.replaced_at()
        suspect = replaced_at > max(ledger.last_total_at, ledger.valid_from)
        slack = 0.0 if suspect else self._returnable_units(customer)
        used = ledger.total_received(now, added, total, slack)
        customer.unreported_units += ledger.missing_units
        capacity = customer.plan.burst + customer.plan.rate * (now - ledger.valid_from)
        waiting_units = sum(request.units for request in customer.awaiting_reply)
        level = capacity - (total + ledger.lost_units + customer.unreported_units - waiting_units)
        if not suspect and ledger.replacements == replacements_before:
            customer.reliable_total_at = now
        if estimate.last_total_at <= NEVER or customer.decided_by_counter:
            self._update_others_rate(now, customer, ledger.others_units - others_units_before)
            if suspect and not customer.decided_by_counter:
                # The total does not include use before the replacement.
                level = min(level, customer.slice.level + customer.plan.rate * (now - replaced_at))
            estimate.reset(now, level, capacity - level + ledger.hidden_units)
        elif ledger.replacements > replacements_before or (
            suspect and used < estimate.others_rate * (now - estimate.updated_at)
        ):
            estimate.uninformative_total_received(now)
        else:
            estimate.total_received(now, used, ledger.hidden_units)
        return level

    def _update_others_rate(self, now: float, customer: Customer, others_used: float) -> None:
        estimate = customer.estimate
        is_first = estimate.last_total_at <= NEVER
        since = customer.ledger.valid_from if is_first else estimate.last_total_at
        estimate.others_rate = max(0.0, others_used) / max(now - since, estimate.max_age)

    def _correct_count(self, now: float, customer: Customer, level: float) -> None:
        """Corrects a shared count that has left its range.

        A count is unbounded: idle time accumulates as credit, rejected requests and use beyond the
        quota as debt.  Units that only this gateway counts as lost are not debt of the count.
        """
        if not customer.decided_by_counter:
            return
        burst = customer.plan.burst
        slack = (1 - self._throttle.call_share + COUNT_TOLERANCE_BURSTS) * burst
        shared_level = level + customer.ledger.lost_units
        if level >= burst + 2 * slack or shared_level <= -slack / 2:
            customer.unreported_units += level - burst if shared_level > 0 else shared_level
            self.call_counter(now, customer)

    def report_due(self, now: float) -> None:
        """Reports use that no call has reported, starting with the oldest totals.

        If hundreds of gateways reported everything once a counter recovers, they would overload it
        again: the more overloaded it is, the fewer customers are reported per tick.
        """
        if not self.enabled:
            return
        call_share = self._throttle.call_share
        due = [
            customer
            for customer in self.unreported_customers.values()
            if customer.counter_called_at <= NEVER and self._exceeds_share(customer, call_share)
        ]
        due.sort(key=lambda customer: customer.ledger.last_total_at)
        remaining = max(MIN_REPORTS_PER_TICK, int(MAX_REPORTS_PER_TICK * call_share))
        for customer in due:
            remaining -= UNREACHABLE_REPORT_COST if customer.counter_backoff else 1
            self.call_counter(now, customer)
            if remaining <= 0:
                break

    def is_due(self, customer: Customer) -> bool:
        """Returns whether the customer's use has to be reported before its state may be dropped."""
        return self.enabled and self._exceeds_share(customer, 1.0)

    def forget(self, customer: Customer) -> None:
        """Drops a customer's unreported use, which is too little to be reported on its own."""
        if self.unreported_customers.get(customer.customer_id) is customer:
            del self.unreported_customers[customer.customer_id]

    def _exceeds_share(self, customer: Customer, call_share: float) -> bool:
        factor = 1 if customer.plan.ceiling_rate else 1 + (1 - call_share)
        return abs(customer.unreported_units) > factor * customer.plan.burst * REPORT_BURST_SHARE

    def _returnable_units(self, customer: Customer) -> float:
        """Returns the units that others may have returned, after rejections, since the total."""
        return (
            self._settings.max_units * max(1, customer.gateway_count - 1)
            + COUNT_TOLERANCE_BURSTS * customer.plan.burst
        )

    def _record_late_reply(self, now: float, event: CounterReply) -> None:
        """Processes a total that arrived after its timeout.

        It is valid for the time of the call if nothing has been added since.
        """
        call = self.late_calls.pop(event.key, None)
        if call is None or event.outcome is not Outcome.OK or call.customer.decided_by_counter:
            return
        customer = call.customer
        ledger = customer.ledger
        if (
            ledger.key == event.key
            and ledger.last_total_at < call.sent_at
            and customer.counter_called_at <= NEVER
        ):
            self.consistency.checks.late_totals += 1
            used = ledger.total_received(now, 0.0, event.total, self._returnable_units(customer))
            customer.estimate.total_received(now, used, ledger.hidden_units)
            customer.unreported_units += ledger.missing_units
