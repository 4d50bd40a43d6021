"""Metrics of a run, counted over the whole fleet by an observer of all requests."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Final

from ingress.policy.events import Outcome
from ingress.policy.settings import Plan, RequestClass
from ingress.simulation.backend import BackendStatistics, SimulatedBackend
from ingress.simulation.environment import Customer
from ingress.simulation.true_quota import TrueQuota

NO_CEILING_EXCESS: Final = -1e9  # units
MIN_VALUE: Final = 1e-9  # avoids a division by zero
FIRST_SECOND_S: Final = 1.0


class ResponseKind(Enum):
    """How a request ended for its client."""

    SERVED = auto()
    REJECTED = auto()
    FAILED = auto()
    DISCONNECTED = auto()  # its gateway died


GatewaysByCustomer = dict[str, set[int]]


def _by_second() -> defaultdict[int, GatewaysByCustomer]:
    return defaultdict(dict)


@dataclass(slots=True)
class FleetMetrics:
    """Counts of one run. The value of a request is its priority weight times its plan's price.

    Attributes:
        offered_value: Value of all first requests.
        served_value: Value of the requests served within their latency objective.
        late_value: Value of the requests served later, at their late priority weight.
        value_within_quotas: Value of the first requests that an observer of all requests would
            have admitted.
        over_quota_cost: Value of the first attempts beyond a quota, times the plan's over-quota
            cost.
        first_requests: Requests from clients, without client retries.
        requests: Requests from clients, with client retries.
        attempts: Attempts at backends.
        first_attempts: Attempts at backends, without gateway retries.
        over_quota_attempts: First attempts beyond a quota.
        rejected: Rejected requests.
        rejected_with_quota: Rejected requests whose customer had at least half of its burst
            available.
        failed: Failed requests.
        disconnected: Requests whose gateway died.
        expired: Requests without a response before their deadline.
        ceiling_excess: Maximum excess over any ceiling and its slack, in units.
        outcomes: Number of attempts by name of their outcome.
        faults: Number of faults that started, by kind.
        served_value_by_second: `served_value` in each second.
        quotas: Quota of each customer, after the first attempts that were sent.
        requested_quotas: Quota of each customer, after the first requests that arrived.
        served_at: For each second, the gateways at which each customer was served.
        rejected_at: For each second, the gateways at which each customer was rejected.
        backends: Statistics of each backend.
        first_second_attempts: Attempts in the first second of each backend process.
        worked_core_s: Core time in seconds that backends worked.
        wasted_core_s: Core time in seconds that backends worked on abandoned attempts.
        handshakes: Connections opened to backends.
    """

    offered_value: float = 0.0
    served_value: float = 0.0
    late_value: float = 0.0
    value_within_quotas: float = 0.0
    over_quota_cost: float = 0.0
    first_requests: int = 0
    requests: int = 0
    attempts: int = 0
    first_attempts: int = 0
    over_quota_attempts: int = 0
    rejected: int = 0
    rejected_with_quota: int = 0
    failed: int = 0
    disconnected: int = 0
    expired: int = 0
    ceiling_excess: float = NO_CEILING_EXCESS
    outcomes: Counter[str] = field(default_factory=Counter)
    faults: Counter[str] = field(default_factory=Counter)
    served_value_by_second: defaultdict[int, float] = field(
        default_factory=lambda: defaultdict(float)
    )
    quotas: dict[str, TrueQuota] = field(default_factory=dict)
    requested_quotas: dict[str, TrueQuota] = field(default_factory=dict)
    served_at: defaultdict[int, GatewaysByCustomer] = field(default_factory=_by_second)
    rejected_at: defaultdict[int, GatewaysByCustomer] = field(default_factory=_by_second)
    backends: list[BackendStatistics] = field(default_factory=list)
    first_second_attempts: Counter[str] = field(default_factory=Counter)
    worked_core_s: float = 0.0
    wasted_core_s: float = 0.0
    handshakes: int = 0

    def add_customer(self, name: str, plan: Plan) -> None:
        """Adds a customer with full quotas."""
        self.quotas[name] = TrueQuota(plan)
        self.requested_quotas[name] = TrueQuota(plan)

    def on_first_request(self, now: float, customer: Customer, request_class: RequestClass) -> None:
        """Counts a request that is not a client retry."""
        self.first_requests += 1
        value = request_class.priority_weight * customer.plan.price
        self.offered_value += value
        self.value_within_quotas += value * self.requested_quotas[customer.name].take(now)

    def on_attempt_sent(
        self, now: float, customer: Customer, number: int, request_class: RequestClass
    ) -> None:
        """Counts an attempt; `number` is its index among the attempts of the request, from 0."""
        self.attempts += 1
        if number > 0:
            return
        self.first_attempts += 1
        plan = customer.plan
        quota = self.quotas[customer.name]
        if not quota.take(now):
            self.over_quota_attempts += 1
            self.over_quota_cost += (
                request_class.priority_weight * plan.price * plan.over_quota_cost
            )
        if plan.ceiling_rate:
            excess = -quota.ceiling_level - plan.ceiling_slack
            self.ceiling_excess = max(self.ceiling_excess, excess)

    def on_attempt_arrived(self, now: float, backend: SimulatedBackend) -> None:
        """Counts an attempt if it arrives in the first second of a restarted backend process."""
        if 0.0 < backend.started_at <= now < backend.started_at + FIRST_SECOND_S:
            self.first_second_attempts[f"{backend.name} {backend.incarnation}"] += 1

    def on_attempt_ended(self, outcome: Outcome) -> None:
        """Counts the outcome of an attempt."""
        self.outcomes[outcome.value] += 1

    def on_response(
        self,
        now: float,
        customer: Customer,
        request_class: RequestClass,
        kind: ResponseKind,
        latency: float,
        gateway: int,
    ) -> None:
        """Counts the end of a request, `latency` seconds after it was sent to `gateway`."""
        match kind:
            case ResponseKind.SERVED:
                self._on_served(now, customer, request_class, latency, gateway)
            case ResponseKind.REJECTED:
                self._on_rejected(now, customer, gateway)
            case ResponseKind.DISCONNECTED:
                self.disconnected += 1
            case ResponseKind.FAILED:
                self.failed += 1

    def _on_served(
        self,
        now: float,
        customer: Customer,
        request_class: RequestClass,
        latency: float,
        gateway: int,
    ) -> None:
        second = int(now)
        value = request_class.priority_weight * customer.plan.price
        if latency <= request_class.latency_objective:
            self.served_value += value
            self.served_value_by_second[second] += value
        else:
            self.late_value += value * request_class.late_priority_weight
        self.served_at[second].setdefault(customer.name, set()).add(gateway)

    def _on_rejected(self, now: float, customer: Customer, gateway: int) -> None:
        self.rejected += 1
        quota = self.quotas[customer.name]
        quota.refill(now)
        self.rejected_with_quota += quota.level >= customer.plan.burst / 2
        self.rejected_at[int(now)].setdefault(customer.name, set()).add(gateway)

    def finish(self, backends: Iterable[SimulatedBackend]) -> None:
        """Adds the statistics of the backends at the end of the run."""
        for backend in backends:
            self.backends.append(backend.statistics())
            self.worked_core_s += backend.worked_core_s
            self.wasted_core_s += backend.wasted_core_s
            self.handshakes += backend.handshakes

    def rejected_but_served_elsewhere(self) -> float:
        """Returns the share of rejected customers that another gateway served in the same second.

        Each customer counts once for each second in which it was rejected.
        """
        rejected = 0
        served_elsewhere = 0
        for second, customers in self.rejected_at.items():
            for name, gateways in customers.items():
                rejected += 1
                served_elsewhere += bool(self.served_at[second].get(name, set()) - gateways)
        return served_elsewhere / max(1, rejected)

    def figures(self) -> dict[str, float]:
        """Returns the results of the run by stable names; `share` is that of the offered value."""
        first_requests = max(1, self.first_requests)
        first_attempts = max(1, self.first_attempts)
        requests = max(1, self.requests)
        return {
            "offered": self.offered_value,
            "served": self.served_value,
            "share": self.served_value / max(self.offered_value, MIN_VALUE),
            "attempts_per_first": self.attempts / first_attempts,
            "over_price": self.over_quota_cost / max(self.value_within_quotas, MIN_VALUE),
            "tries_per_first": self.requests / first_requests,
            "over": self.over_quota_attempts / first_attempts,
            "refused": self.rejected / requests,
            "with_room": self.rejected_with_quota / requests,
            "failed": self.failed / first_requests,
            "unreached": self.outcomes["connect_failed"],
            "wasted": self.wasted_core_s / max(self.worked_core_s, MIN_VALUE),
            "handshakes": self.handshakes / max(1, self.attempts),
            "peak": max((backend.peak_load_ratio for backend in self.backends), default=0.0),
            "fallen": sum(backend.collapses for backend in self.backends),
            "crowded": sum(backend.windows_over_limit for backend in self.backends),
            "connections": max((backend.peak_connections for backend in self.backends), default=0),
            "first_crowd": max(self.first_second_attempts.values(), default=0),
            "both": self.rejected_but_served_elsewhere(),
            "ceiling": self.ceiling_excess,
            "forced": self.expired,
        }
