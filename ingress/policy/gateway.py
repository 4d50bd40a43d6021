"""The policy of one gateway: dispatches each event to the component that decides on it.

Its input and output are the plain data classes of `settings`, `events` and `actions`.  It does no
I/O and reads no clock.
"""

from __future__ import annotations

import random
from typing import Final

from ingress.policy.actions import Action, SetTimer, WatchBackends
from ingress.policy.admission import AdmissionController
from ingress.policy.attempt_dispatcher import AttemptDispatcher
from ingress.policy.counter_throttle import CounterThrottle
from ingress.policy.customer import CUSTOMER_IDLE_S
from ingress.policy.customer_table import DEFAULT_MAX_CUSTOMERS
from ingress.policy.events import (
    AttemptEnded,
    BackendsChanged,
    ClientDisconnected,
    CounterReply,
    EndpointListKind,
    Event,
    FleetShedFraction,
    PeerEjections,
    RequestReceived,
    ResponseStarted,
    TimerFired,
)
from ingress.policy.load_balancer import LoadBalancer
from ingress.policy.load_shedding import LoadShedder
from ingress.policy.optimistic_admission import OptimisticAdmission
from ingress.policy.pending_actions import PendingActions
from ingress.policy.quota_reporting import QuotaReporter
from ingress.policy.request_cost import RequestCost
from ingress.policy.request_table import RequestTable
from ingress.policy.retry_policy import RetryPolicy
from ingress.policy.settings import Settings
from ingress.policy.timers import CONSISTENCY_TIMER, DISCOVERY_TIMER, TICK_TIMER

TICK_PERIOD_S: Final = 0.25
"""Interval between reports to the counter.  Ceilings hold even if use is unreported this long."""
MIN_REPOLL_SHARE: Final = 0.1
MAX_REPOLL_SHARE: Final = 0.25
"""Bounds of the random delay before a failed poll of the endpoint list is repeated.

Both are shares of the maximum age of the list.
"""


class Gateway:
    """Makes the decisions of one gateway.

    Attributes:
        settings: The configuration of this gateway.
        actions: The actions of the last event, even if handling it raised an error.
    """

    def __init__(
        self, settings: Settings, seed: int, max_customers: int = DEFAULT_MAX_CUSTOMERS
    ) -> None:
        """Creates all components.

        Args:
            settings: The configuration of this gateway.
            seed: Determines every random number.
            max_customers: The number of customers whose state fits into the memory.
        """
        self.settings = settings
        self.rng = random.Random(seed)
        self._pending = PendingActions()
        self.actions = self._pending.actions
        self._has_started = False
        self._poll_scheduled = False
        self._last_sweep_at = 0.0
        self.cost = RequestCost(settings)
        self.load_balancer = LoadBalancer(settings, self.rng, self.cost)
        self.load_shedder = LoadShedder(self.load_balancer, self.cost)
        self.retry_policy = RetryPolicy(settings, self.cost, self.load_shedder)
        self.counter_throttle = CounterThrottle(settings.counter_timeout)
        self.optimistic_admission = OptimisticAdmission(settings.plans, self.counter_throttle)
        self.quota_reporter = QuotaReporter(
            settings, self.rng, self.counter_throttle, self.optimistic_admission, self._pending
        )
        self.requests = RequestTable(settings, self.quota_reporter, self._pending)
        self.dispatcher = AttemptDispatcher(
            self.load_balancer,
            self.cost,
            self.retry_policy,
            self.optimistic_admission,
            self.quota_reporter,
            self.requests,
            self._pending,
        )
        self.admission = AdmissionController(
            settings,
            self.cost,
            self.load_shedder,
            self.counter_throttle,
            self.optimistic_admission,
            self.quota_reporter,
            self.requests,
            self.dispatcher,
            max_customers,
        )

    def handle(self, now: float, event: Event) -> list[Action]:
        """Returns the actions that an event triggers.

        Args:
            now: The time in seconds; it never decreases.
            event: The event to handle.

        Raises:
            KeyError: A request names a plan or a class that is not configured.
        """
        self.actions = self._pending.restart()
        if not self._has_started:
            self._start(now)
        self._dispatch(now, event)
        return self.actions

    def _start(self, now: float) -> None:
        """Sets the first timers with random delays, since gateways may start at the same time."""
        self._has_started = True
        self.admission.started_at = now
        self.counter_throttle.answered_at = now  # assumes an available, overloaded counter
        self._pending.append(SetTimer(TICK_PERIOD_S * self.rng.random(), TICK_TIMER))
        if self.settings.discovery_polled:
            self._pending.append(WatchBackends())
        if self.quota_reporter.enabled and self.settings.gateway_count > 1:
            period = self.quota_reporter.consistency.checks.period
            self._pending.append(SetTimer(period * self.rng.random(), CONSISTENCY_TIMER))

    def _dispatch(self, now: float, event: Event) -> None:
        match event:
            case RequestReceived():
                self.admission.request_received(now, event)
            case AttemptEnded():
                self.dispatcher.attempt_ended(now, event)
            case CounterReply():
                self.admission.counter_replied(now, event)
            case BackendsChanged():
                self._backends_changed(now, event)
            case TimerFired(token=token):
                self._timer_fired(now, token)
            case FleetShedFraction(shed_fraction=shed_fraction, until=until):
                self.load_shedder.shed_fraction = shed_fraction
                self.load_shedder.shed_fraction_until = until
            case PeerEjections(backends=backends, until=until):
                self.load_balancer.set_ejected_by_peers(backends, until)
            case ClientDisconnected(request_id=request_id):
                self.requests.client_disconnected(request_id)
            case ResponseStarted(request_id=request_id):
                self.requests.response_started(request_id)

    def _backends_changed(self, now: float, event: BackendsChanged) -> None:
        self.load_balancer.backends_changed(event, now)
        # At most one poll is scheduled: failed polls that each trigger two more would flood the
        # discovery service.
        if event.kind is EndpointListKind.UNAVAILABLE and not self._poll_scheduled:
            self._poll_scheduled = True
            share = self.rng.uniform(MIN_REPOLL_SHARE, MAX_REPOLL_SHARE)
            self._pending.append(SetTimer(share * self.settings.discovery_max_age, DISCOVERY_TIMER))

    def _timer_fired(self, now: float, token: int) -> None:
        if token == TICK_TIMER:
            self._tick(now)
        elif token == CONSISTENCY_TIMER:
            self.quota_reporter.consistency.call_due(now)
        elif token == DISCOVERY_TIMER:
            self._poll_scheduled = False
            self._pending.append(WatchBackends())

    def _tick(self, now: float) -> None:
        """Drops idle customers periodically and reports use that no call has reported yet."""
        self._pending.append(SetTimer(TICK_PERIOD_S, TICK_TIMER))
        if now - self._last_sweep_at > CUSTOMER_IDLE_S:
            self._last_sweep_at = now
            self.quota_reporter.late_calls.clear()
            self.admission.drop_idle_customers(now)
        self.quota_reporter.report_due(now)
