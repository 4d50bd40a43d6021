"""Runs consistency checks of the shared counter; a partitioned counter limits the quotas."""

from __future__ import annotations

from ingress.policy import counter_keys
from ingress.policy.actions import AddToCounter, SetTimer, WriteLog
from ingress.policy.counter_consistency import RESTART_GRACE_S, ConsistencyCheck, CounterConsistency
from ingress.policy.counter_throttle import CounterThrottle
from ingress.policy.customer import Customer
from ingress.policy.events import CounterReply, Outcome
from ingress.policy.pending_actions import PendingActions
from ingress.policy.settings import Settings
from ingress.policy.timers import CONSISTENCY_TIMER


class ConsistencyReporter:
    """Adds to the counter keys of the consistency checks and logs changes that the totals show.

    Attributes:
        checks: The state of the checks.
    """

    def __init__(
        self, settings: Settings, throttle: CounterThrottle, actions: PendingActions
    ) -> None:
        self._settings = settings
        self._throttle = throttle
        self._actions = actions
        self.checks = CounterConsistency(settings.gateway_count)

    def call_due(self, now: float) -> None:
        """Adds to the counter keys that are due and sets the timer for the next call."""
        keys, delay = self.checks.due_calls(now)
        for key in keys:
            self._actions.append(AddToCounter(key, 1.0, counter_keys.KEY_LIFETIME_S))
        self._actions.append(SetTimer(delay, CONSISTENCY_TIMER))

    def reply_received(self, now: float, event: CounterReply, check: ConsistencyCheck) -> None:
        """Processes the outcome of a call for `check` and logs changes of its state."""
        sent_at = now - event.latency
        if not check.in_flight or sent_at < check.called_at - self._settings.tick_interval:
            return  # the call was abandoned, and the check has started over
        state_before = check.state
        replacements_before = check.replacements
        if event.outcome is Outcome.OK:
            check.total_received(now, event.total, self._settings.gateway_count)
            self._throttle.reply_received(event.latency)
        else:
            check.call_failed(event.outcome is Outcome.TIMEOUT)
        name = f"counter: check {self.checks.checks.index(check)}"
        if check.replacements > replacements_before:
            self._actions.append(WriteLog(f"{name} detected a replaced counter"))
        if check.state is not state_before:
            members = f"{check.member_count:.1f} of {self._settings.gateway_count} gateways seen"
            self._actions.append(WriteLog(f"{name} {check.state.value}, {members}"))

    def limit_share(self, now: float, customer: Customer) -> None:
        """Limits the share of a customer's quota that this gateway may grant during a partition.

        Gateways across the partition may grant the rest.  If the plan has a ceiling, the limit is
        the reachable share.  Otherwise it is the middle between the reachable share and 1, once the
        partition has lasted longer than a restart of a gateway takes.
        """
        if customer.plan.ceiling_rate:
            share = self.checks.reachable_share(now)
        else:
            share = (1 + self.checks.reachable_share(now, RESTART_GRACE_S)) / 2
        customer.estimate.set_share(now, share)
