"""What a run came to, counted over the whole fleet by an observer of all requests."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Final

from ingress.policy.events import Outcome
from ingress.policy.settings import Plan, RequestClass
from ingress.simulation.backend import BackendFigures, SimulatedBackend
from ingress.simulation.environment import Customer
from ingress.simulation.true_quota import TrueQuota

NO_CEILING_EXCESS: Final = -1e9  # units
MIN_VALUE: Final = 1e-9  # avoids a division by zero
FIRST_SECOND_S: Final = 1.0


class ResponseKind(Enum):
    """How a request ended."""

    SERVED = auto()
    REJECTED = auto()
    FAILED = auto()
    DISCONNECTED = auto()  # its gateway died


GatewaysByCustomer = dict[str, set[int]]


def _by_second() -> defaultdict[int, GatewaysByCustomer]:
    return defaultdict(dict)


@dataclass(slots=True)
class FleetMetrics:
    """Counts of one run. A request's value is its priority weight times its plan's price.

    Attributes:
        offered_value: of all first requests.
        served_value: of what was served within its latency objective.
        late_value: of what was served later, at its late priority weight.
        value_within_quotas: of the first requests that an observer of all would have admitted.
        over_quota_cost: value of what was sent beyond the quotas, times the plan's cost of that.
        first_requests: requests without the clients' retries.
        requests: all that gateways got from clients, with the clients' retries.
        attempts: attempts at backends.
        first_attempts: attempts without the gateways' retries.
        over_quota_attempts: first attempts beyond a quota.
        rejected: requests that were rejected.
        rejected_with_quota: of these, those whose customer had half of its burst left.
        failed: requests that failed.
        disconnected: requests whose gateway died.
        expired: requests that got no answer before their deadline.
        ceiling_excess: units by which a ceiling was exceeded the furthest, beyond its slack.
        outcomes: attempts by the name of their outcome.
        faults: faults that began, by kind.
        served_value_by_second: `served_value` in each second.
        quotas: by customer, less what was sent.
        requested_quotas: by customer, less the first requests as they came.
        served_at: in each second, which customers were served at which gateways.
        rejected_at: in each second, which customers were rejected at which gateways.
        backends: each backend's own figures.
        first_second_attempts: by backend and process, attempts in its first second.
        worked_core_s: seconds of a core that backends worked.
        wasted_core_s: of these, for attempts that were given up.
        handshakes: connections that were opened.
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
    backends: list[BackendFigures] = field(default_factory=list)
    first_second_attempts: Counter[str] = field(default_factory=Counter)
    worked_core_s: float = 0.0
    wasted_core_s: float = 0.0
    handshakes: int = 0

    def add_customer(self, name: str, plan: Plan) -> None:
        """Begins to observe a customer, with full quotas."""
        self.quotas[name] = TrueQuota(plan)
        self.requested_quotas[name] = TrueQuota(plan)

    def on_first_request(self, now: float, customer: Customer, request_class: RequestClass) -> None:
        """Counts a request that a client sends for the first time."""
        self.first_requests += 1
        value = request_class.priority_weight * customer.plan.price
        self.offered_value += value
        self.value_within_quotas += value * self.requested_quotas[customer.name].take(now)

    def on_attempt_sent(
        self, now: float, customer: Customer, number: int, request_class: RequestClass
    ) -> None:
        """Counts attempt `number` of a request, from 0."""
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
        """Counts an attempt that reached a backend in the first second of its process."""
        if 0.0 < backend.started_at <= now < backend.started_at + FIRST_SECOND_S:
            self.first_second_attempts[f"{backend.name} {backend.incarnation}"] += 1

    def on_attempt_ended(self, outcome: Outcome) -> None:
        """Counts an outcome."""
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
        """Takes in the backends' own counts at the end of the run."""
        for backend in backends:
            self.backends.append(backend.figures())
            self.worked_core_s += backend.worked_core_s
            self.wasted_core_s += backend.wasted_core_s
            self.handshakes += backend.handshakes

    def rejected_but_served_elsewhere(self) -> float:
        """Returns the share of customers rejected in a second that another gateway served in it."""
        rejected = 0
        served_elsewhere = 0
        for second, customers in self.rejected_at.items():
            for name, gateways in customers.items():
                rejected += 1
                served_elsewhere += bool(self.served_at[second].get(name, set()) - gateways)
        return served_elsewhere / max(1, rejected)

    def figures(self) -> dict[str, float]:
        """Returns the run's figures by stable names; values as shares of the value offered."""
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
