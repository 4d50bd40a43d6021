"""Per-customer state of one gateway: quota slice, ceiling slice, use and counter ledger."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from ingress.policy import counter_keys
from ingress.policy.events import RequestReceived
from ingress.policy.quota_estimate import NEVER, CounterLedger, QuotaEstimate
from ingress.policy.settings import Plan
from ingress.policy.shed_order import shed_rank
from ingress.policy.token_bucket import TokenBucket

if TYPE_CHECKING:
    from ingress.policy.request_state import RequestState

CUSTOMER_IDLE_S: Final = 60.0
"""Seconds without a request after which a customer is dropped once its buckets are full."""


def _ceiling_reserve(plan: Plan, gateway_count: int, max_units: float) -> float:
    """Returns the units of a ceiling that the slices of all gateways hold together.

    The slices hold as much as the quota slices, or at least one request each; the counter lends the
    rest.  If that would leave less than half of the ceiling to lend, the counter lends all of it.
    """
    one_request_each = gateway_count * max_units
    if 2 * one_request_each > plan.ceiling_burst:
        return 0.0
    return min(plan.ceiling_burst, max(plan.burst, one_request_each))


class Customer:
    """One customer: its slices of the quota and the ceiling, and its attempts in flight.

    Times are in seconds, amounts in units of the plan.  All values are local to this gateway.

    Attributes:
        slice_below_request: Whether the quota slice is smaller than the largest request and so
            never holds one.  The counter is then called first; a request about which it cannot be
            called is admitted if that pays on average.
        decided_by_counter: Whether the shared count alone decides.  A count under a ceiling is
            never corrected, since idle time would accumulate as credit in it.
        ceiling_reserve: Units of the ceiling that the slices of all gateways hold together.
        unreported_units: Units used at this gateway that are not yet added to the counter.
        call_counter_after: The time before which the counter is not called.
        counter_backoff: The length of the last backoff.
        counter_called_at: The time of the counter call in flight; `NEVER` if there is none.
        slice_corrected_at: The time of the total by which the slice was last corrected after
            totals stopped arriving.
        admitted_optimistically: Whether a request was admitted without a total since the last one.
        reliable_total_at: The time of the last total that certainly came from the same counter as
            earlier ones.
        awaiting_reply: Requests that wait for the reply to the call in flight.
        awaiting_next_call: Requests that arrived during that call; the next call covers them all.
    """

    def __init__(
        self,
        event: RequestReceived,
        plan: Plan,
        now: float,
        gateway_age: float,
        has_counter: bool,
        max_units: float,
    ) -> None:
        self.customer_id = event.customer
        self.first_gateway = event.first_gateway
        self.gateway_count = max(1, event.gateway_count)
        self.plan = plan
        self.last_request_at = now
        self.slice_below_request = (
            has_counter and plan.rate > 0 and plan.burst < self.gateway_count * max_units
        )
        self.decided_by_counter = self.slice_below_request and not plan.ceiling_rate
        self._create_buckets(now, gateway_age, has_counter, max_units)
        self.in_flight = 0
        self.max_in_flight = max(1, int(plan.max_concurrent / self.gateway_count))
        self.estimate = QuotaEstimate(plan, now, self.slice_below_request)
        self.unreported_units = 0.0
        self.key_number = counter_keys.key_number(self.customer_id)
        self.shed_rank = 0.0
        self.shed_rank_until = NEVER
        self.ledger = CounterLedger(-1, now)
        self.call_counter_after = NEVER
        self.counter_backoff = 0.0
        self.slice_corrected_at = NEVER
        self.counter_called_at = NEVER
        self.admitted_optimistically = False
        self.reliable_total_at = NEVER
        self.awaiting_reply: list[RequestState] = []
        self.awaiting_next_call: list[RequestState] = []

    def _create_buckets(
        self, now: float, gateway_age: float, has_counter: bool, max_units: float
    ) -> None:
        plan = self.plan
        rate = plan.rate / self.gateway_count
        burst = plan.burst / self.gateway_count
        # Each restart would otherwise hand out a full burst.  If a counter is available, a slice
        # starts with the units that were refilled since the gateway started.
        level = min(burst, rate * gateway_age) if has_counter else burst
        self.slice = TokenBucket(rate, burst, level, now)
        self.ceiling_reserve = (
            _ceiling_reserve(plan, self.gateway_count, max_units)
            if has_counter
            else plan.ceiling_burst
        )
        self.ceiling = TokenBucket(
            plan.ceiling_rate / self.gateway_count,
            self.ceiling_reserve / self.gateway_count,
            min(self.ceiling_reserve, plan.ceiling_rate * gateway_age) / self.gateway_count,
            now,
        )

    def resize(self, now: float, event: RequestReceived) -> None:
        """Adapts the slices to a different number of gateways that serve the customer.

        The levels are kept: new buckets would hand out another burst and exceed a ceiling.
        """
        ratio = self.gateway_count / max(1, event.gateway_count)
        self.gateway_count = max(1, event.gateway_count)
        self.first_gateway = event.first_gateway
        for bucket in (self.slice, self.ceiling):
            bucket.has_tokens(now, 0.0)
            bucket.refill_rate = bucket.refill_rate * ratio
            bucket.capacity = bucket.capacity * ratio
            bucket.level = min(bucket.level, bucket.capacity)
        self.max_in_flight = max(1, int(self.plan.max_concurrent / self.gateway_count))

    def rank_among_equals(self, now: float) -> float:
        """Returns the customer's shed rank, from 0 (shed first) up to 1."""
        if now >= self.shed_rank_until:
            self.shed_rank, self.shed_rank_until = shed_rank(self.key_number, now)
        return self.shed_rank

    def is_idle(self, now: float) -> bool:
        """Returns whether the customer can be dropped: a new one with full buckets is the same."""
        return now - self.last_request_at > CUSTOMER_IDLE_S and self.equals_new_customer(now)

    def equals_new_customer(self, now: float) -> bool:
        """Returns whether nothing is in progress and the slices are full, as those of a new one."""
        return (
            not self.in_flight
            and not self.awaiting_reply
            and not self.awaiting_next_call
            and self.counter_called_at <= NEVER
            and self.slice.has_tokens(now, self.slice.capacity)
            and self.ceiling.has_tokens(now, self.ceiling.capacity)
        )

    def slice_has_tokens(self, now: float, units: float) -> bool:
        """Returns whether the quota slice holds `units`, which may exceed its capacity."""
        return self.slice.has_tokens(now, units, max(self.slice.capacity, units))

    def consume(self, now: float, units: float, counted: bool) -> None:
        """Takes units from the quota.

        Units lent by other gateways leave the slice empty, not in debt.

        Args:
            now: The time in seconds.
            units: The estimated cost of the request.
            counted: Whether the units are already part of the unreported use.
        """
        self.estimate.consume(now, units)
        self.slice.level = max(0.0, self.slice.level - units)
        self.unreported_units += 0.0 if counted or self.decided_by_counter else units

    def is_returning(self, now: float) -> bool:
        """Returns whether the customer sent requests to this gateway recently.

        A customer that often reaches one gateway of many uses much of its quota at all of them.
        """
        return (
            self.admitted_optimistically
            or now - self.estimate.last_total_at < counter_keys.EPOCH_S / 3
        )

    def ceiling_confirmed(self, now: float, units: float, units_counted: bool) -> bool:
        """Returns whether a total received at `now` shows capacity under the whole ceiling.

        The total includes the request's units and those of all calls before it.  The units that
        the slices of other gateways may hold are left to those gateways: the slices remain valid
        whatever was lent, because each unit that such a gateway sends, reported or not, is taken
        from both.

        Args:
            now: The time in seconds.
            units: The cost of the request.
            units_counted: Whether the total includes them.
        """
        others_reserve = self.ceiling_reserve * (self.gateway_count - 1) / self.gateway_count
        estimate = self.estimate
        capacity = (
            estimate.ceiling_lower_bound
            - estimate.units_since_update
            - others_reserve * estimate.quota_share
        )
        return units_counted and self.reliable_total_at == now and capacity >= units

    def consume_ceiling(self, units: float) -> None:
        """Takes units from the ceiling's slice, down to a debt of one burst.

        Units that were sent on the strength of a total must not be sent again from the slices
        when the counter fails.
        """
        self.ceiling.level = max(-self.plan.burst, self.ceiling.level - units)

    def settle(self, units: float) -> None:
        """Corrects the use by the difference between a request's true and estimated units.

        Args:
            units: The true units minus the estimated ones; negative to return units.
        """
        self.estimate.own_units += units
        self.slice.level = min(max(self.slice.capacity, self.slice.level), self.slice.level - units)
        self.unreported_units += 0.0 if self.decided_by_counter else units
