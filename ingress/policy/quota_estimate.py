"""Tracks a customer's use at all gateways: the ledger of a counter key, the estimate of a quota.

Units are request units; times are in seconds of the clock that drives the gateway.
"""

from __future__ import annotations

from math import exp
from typing import Final

from ingress.policy.counter_keys import EPOCH_S
from ingress.policy.settings import Plan

FRESH_FRACTION: Final = 0.5
"""Fraction of a burst's refill time for which information on other gateways' use is trusted."""
NEVER: Final = -1e18
"""A point in time before every other."""
KEY_EXPIRY_MARGIN_S: Final = 5.0
"""A key is no longer read from this time before the counter may forget it."""
UNLIMITED_MAX_AGE_S: Final = 1.0
"""Time for which other gateways' use is trusted if the plan has no rate."""


class CounterLedger:
    """Units added under one counter key: by this gateway, and by others as derived from totals.

    A total below the ledger's units shows that the counter was replaced by an empty or an older
    one.  The ledger adds the units lost with the old counter to all later totals, so that known
    use still counts.

    Attributes:
        key: The counter key.
        valid_from: The time from which the key is used.
        own_units: Units counted as added by this gateway: in calls with a reply and in calls that
            timed out.
        uncertain_units: The part of `own_units` from calls without a reply, which may not have been
            added.
        hidden_units: Units of the last total that other gateways used in addition if the units
            uncertain before that total were never added.
        others_units: Units added by other gateways, as far as known.
        lost_units: Units lost with replaced counters.
        missing_units: Units that the last total proved not to have been added; they are to be added
            again.
        last_total_at: The time of the last total.
        replacements: The number of detected replacements of the counter.
        closed: Whether the key has been read for the last time.
    """

    def __init__(self, key: int, valid_from: float) -> None:
        self.key = key
        self.valid_from = valid_from
        self.own_units = 0.0
        self.uncertain_units = 0.0
        self.hidden_units = 0.0
        self.others_units = 0.0
        self.lost_units = 0.0
        self.missing_units = 0.0
        self.last_total_at = NEVER
        self.replacements = 0
        self.closed = False

    def has_unread_units(self, now: float, max_age: float) -> bool:
        """Returns whether units that others may have added since the last total are worth a call.

        They are if that total was still trusted (for `max_age` seconds) when all gateways stopped
        using the key, and if the counter has not forgotten the key yet.
        """
        epoch_end = self.valid_from + EPOCH_S
        return (
            not self.closed
            and self.last_total_at > epoch_end - max_age
            and now < epoch_end + EPOCH_S - KEY_EXPIRY_MARGIN_S
        )

    def call_timed_out(self, added: float) -> None:
        """Records a call without a reply, which the counter will most likely still process."""
        self.own_units += added
        self.uncertain_units += max(0.0, added)

    def total_received(self, now: float, added: float, total: float, slack: float) -> float:
        """Records a total and returns the units that others used since the last one.

        Sets `missing_units` to the uncertain units that the total certainly does not include.  The
        units of a call without a reply are usually added late: adding them again without that proof
        would load a slow counter and reject requests that have units left.

        Args:
            now: The time at which the total arrived.
            added: The units of this call, which the total includes.
            total: The counter's total.
            slack: Units that others may have returned.  A total that is lower than the known units
                by more than this shows that the counter was replaced.
        """
        self.own_units += added
        self.missing_units = 0.0
        others = total + self.lost_units - self.own_units
        if others < self.others_units - slack - self.uncertain_units:
            self.replacements += 1
            self.lost_units += self.others_units - others
            others = self.others_units
        elif self.uncertain_units and others < self.others_units:
            self.missing_units = min(self.uncertain_units, self.others_units - others)
            self.own_units -= self.missing_units
            others += self.missing_units
        used = others - self.others_units
        self.others_units = others
        self.hidden_units = self.uncertain_units - self.missing_units
        self.uncertain_units = 0.0
        self.last_total_at = now
        return used


class QuotaEstimate:
    """The level of one customer's token bucket after the use of all gateways.

    It models the whole bucket, not this gateway's slice, and is trusted only for a limited time.

    Attributes:
        refill_rate: Units per second added to the bucket.
        capacity: The maximum units in the bucket.
        slice_below_request: Whether this gateway's slice is smaller than the largest request.
        max_age: Seconds for which a total is trusted.
        level_at_update: The bucket's level at `updated_at`.
        own_units: Units taken from the bucket by this gateway since `updated_at`.
        others_rate: Units per second used by the other gateways, as derived from totals.
        units_since_update: All units used by this gateway since `updated_at`, including those
            beyond the quota.
        updated_at: The time of the last update of the estimate.
        last_total_at: The time of the last total.
        quota_share: The share of the bucket that may be given out at this gateway.
        ceiling_lower_bound: A lower bound of the units left under the ceiling at `updated_at`,
            which assumes that all earlier use happened immediately before then.
    """

    def __init__(self, plan: Plan, now: float, slice_below_request: bool) -> None:
        self.plan = plan
        self.refill_rate = plan.rate
        self.capacity = plan.burst
        self.slice_below_request = slice_below_request
        self.max_age = FRESH_FRACTION * plan.burst / plan.rate if plan.rate else UNLIMITED_MAX_AGE_S
        self.level_at_update = plan.burst
        self.own_units = 0.0
        self.others_rate = 0.0
        self.units_since_update = 0.0
        self.updated_at = now
        self.last_total_at = NEVER
        self.quota_share = 1.0
        self.ceiling_lower_bound = 0.0

    def is_fresh(self, now: float) -> bool:
        """Returns whether the last total is still trusted."""
        return now - self.last_total_at <= self.max_age

    def level(self, now: float) -> float:
        """Returns the units left if the other gateways continue at their rate.

        The rate decays with the age of the total, unless the slice is below one request.
        """
        age = now - self.updated_at
        if self.slice_below_request:
            others_units = self.others_rate * age
        else:
            others_units = self.others_rate * (self.max_age * (1.0 - exp(-age / self.max_age)))
        refilled = self.level_at_update + self.refill_rate * age
        return min(self.capacity, refilled - others_units - self.own_units)

    def consume(self, now: float, units: float) -> None:
        """Takes units; units that the bucket does not hold leave it empty."""
        self.own_units += min(units, max(0.0, self.level(now)))
        self.units_since_update += units

    def even_share(self, now: float, gateway_count: int) -> float:
        """Returns this gateway's even share of the last total's remainder, refilled since then.

        When totals stop, slices with little use are full, although their units were lent to other
        gateways: relying on the slice alone would give those units out again.
        """
        refilled = max(0.0, self.level_at_update) + self.refill_rate * (now - self.updated_at)
        return min(self.capacity, refilled) / gateway_count - self.units_since_update

    def total_received(self, now: float, used: float, hidden: float = 0.0) -> None:
        """Subtracts the units that others used since the last total.

        Args:
            now: The time in seconds.
            used: The units that others used.
            hidden: Units that others may have used in addition.
        """
        age = now - self.updated_at
        self._lower_ceiling_bound(age, used, hidden)
        level = self.level_at_update + self.refill_rate * age - self.own_units
        self.level_at_update = max(-self.capacity, min(self.capacity, level - used))
        remembered_rate = self.others_rate * exp(-age / self.max_age)
        self.others_rate = remembered_rate + used / max(age, self.max_age)
        self._begin_interval(now)
        self.last_total_at = now

    def _lower_ceiling_bound(self, age: float, used: float, hidden: float) -> None:
        capacity = self.plan.ceiling_burst * self.quota_share
        refilled = self.ceiling_lower_bound + self.plan.ceiling_rate * self.quota_share * age
        remaining = min(capacity, refilled) - self.units_since_update - max(0.0, used) - hidden
        self.ceiling_lower_bound = max(0.0, remaining)

    def _begin_interval(self, now: float) -> None:
        self.own_units = 0.0
        self.units_since_update = 0.0
        self.updated_at = now

    def interval_unobserved(self, start: float) -> None:
        """Lowers the ceiling's bound for an interval, up to `start`, that no total will cover.

        Other gateways may have used all units that were left by then.
        """
        refilled_late = (
            self.plan.ceiling_rate * self.quota_share * min(0.0, self.updated_at - start)
        )
        self.ceiling_lower_bound = min(self.ceiling_lower_bound, refilled_late)

    def uninformative_total_received(self, now: float) -> None:
        """Records a total without usable information and assumes others continued as before."""
        self.level_at_update = self.level(now)
        self.ceiling_lower_bound = 0.0
        self._begin_interval(now)
        self.last_total_at = now

    def reset(self, now: float, level: float, used: float) -> None:
        """Records the first total for this customer.

        A total does not show when units were used, so idle time looks like units left.  The
        ceiling's bound therefore treats all of them as used just now.

        Args:
            now: The time at which the total arrived.
            level: The assumed level of the bucket.
            used: The units that the total includes.
        """
        capacity = self.plan.ceiling_burst * self.quota_share
        self.ceiling_lower_bound = max(0.0, capacity - max(0.0, used))
        self.level_at_update = min(self.capacity, level)
        self._begin_interval(now)
        self.last_total_at = now

    def set_share(self, now: float, share: float) -> None:
        """Sets the share of the bucket that may be given out from now on, from 0 to 1.

        Gateways whose totals come from another copy of the counter give out the rest.  When the
        share grows, the remaining level does not.
        """
        if share == self.quota_share:
            return
        level = self.level(now)
        self.level_at_update = min(level, level * share / self.quota_share)
        remaining = self.ceiling_lower_bound - self.units_since_update
        self.ceiling_lower_bound = min(remaining, remaining * share / self.quota_share)
        self._begin_interval(now)
        self.quota_share = share
        self.refill_rate = self.plan.rate * share
        self.capacity = self.plan.burst * share
