"""Configuration of a gateway: request classes, plans and limits of the deployment.

Times are in seconds, rates in units per second.  Unless documented otherwise, a limit of 0 means no
limit.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf
from typing import Final

MAX_PROCESS_PAUSE_S: Final = 0.15
"""Maximum expected pause of the process between reading its clock and acting on the reading."""


class RetrySemantics(Enum):
    """How many times a request of a class may take effect."""

    IDEMPOTENT = "idempotent"
    """A request may run any number of times."""
    IDEMPOTENCY_KEY = "idempotency_key"
    """Backends that share a store of idempotency keys run a request once."""
    NON_IDEMPOTENT = "non_idempotent"
    """A request may run at most once."""


class DeduplicationScope(Enum):
    """Which backends share one store of idempotency keys."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


def _require_at_least(minimum: float, prefix: str, **values: float) -> None:
    """Raises ValueError for the first value that is not finite or is below `minimum`."""
    for key, value in values.items():
        if not minimum <= value < inf:
            raise ValueError(
                f"{prefix}{key}: {value!r} is not a finite number (minimum: {minimum:g})"
            )


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: the value of a response, its time limits and the retry semantics.

    Attributes:
        name: The name by which requests refer to the class.
        latency_objective: The time in seconds within which a response has its full value.
        deadline: The time in seconds after which clients stop waiting.
        priority_weight: The value of a response within the objective.
        late_priority_weight: The share of this value that a response past the objective still has.
        semantics: How many times a request may take effect.
        deduplication_scope: With an idempotency key, the backends that share one store of keys.
        deduplication_window: With an idempotency key, the seconds for which a backend stores it.
        objective_stretch: Multiple of a request's own work that is added to its objective.
        streaming: Whether responses arrive in parts.
    """

    name: str
    latency_objective: float
    deadline: float
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0
    semantics: RetrySemantics = RetrySemantics.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window: float = 0.0
    objective_stretch: float = 0.0
    streaming: bool = False

    def __post_init__(self) -> None:
        _require_at_least(
            0,
            f"class {self.name}: ",
            latency_objective=self.latency_objective,
            deadline=self.deadline,
            priority_weight=self.priority_weight,
            late_priority_weight=self.late_priority_weight,
            deduplication_window=self.deduplication_window,
            objective_stretch=self.objective_stretch,
        )


@dataclass(frozen=True, slots=True)
class Plan:
    """Limits that one plan sets for each of its customers across all gateways, and its value.

    Attributes:
        name: The name by which requests refer to the plan.
        rate: Refill rate of a customer's quota, in units per second; 0 for no quota.
        burst: Capacity of the quota, in units.
        max_concurrent: Maximum attempts of one customer in flight; 0 for no limit.
        price: Factor applied to the priority weight of its requests.
        over_quota_weight: Share of its weight that a request beyond the quota still has.
        over_quota_cost: Cost of forwarding a request beyond the quota, as a share of its weight.
        ceiling_rate: Refill rate of the hard limit, in units per second; 0 for no hard limit.
        ceiling_burst: Capacity of the hard limit, in units.
        ceiling_slack: Units by which the hard limit may be exceeded.
    """

    name: str
    rate: float = 0.0
    burst: float = 0.0
    max_concurrent: int = 0
    price: float = 1.0
    over_quota_weight: float = 0.0
    over_quota_cost: float = 0.0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0

    def __post_init__(self) -> None:
        _require_at_least(
            0,
            f"plan {self.name}: ",
            rate=self.rate,
            burst=self.burst,
            max_concurrent=self.max_concurrent,
            price=self.price,
            over_quota_weight=self.over_quota_weight,
            over_quota_cost=self.over_quota_cost,
            ceiling_rate=self.ceiling_rate,
            ceiling_burst=self.ceiling_burst,
            ceiling_slack=self.ceiling_slack,
        )


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings that a gateway receives at its start.

    Attributes:
        classes: The request classes, at least one.
        plans: The plans, at least one.
        gateway_index: This gateway's index, from 0.
        gateway_count: The number of gateways.
        zone: The failure domain of this gateway.
        tick_interval: The minimum time between two events, in seconds.
        response_slack: Seconds after its deadline in which a final response still counts.
        drain_grace: Seconds in which a draining or removed backend may still receive requests.
        warmup_time: Seconds until a started backend has its full capacity.
        cold_capacity: The share of its capacity that a backend starts with.
        collapse_factor: The load, as a multiple of its capacity, at which a warming backend
            collapses.
        collapse_window: Seconds for which such a load must last to cause a collapse.
        discovery_max_age: With polled discovery, the seconds for which an endpoint list is current.
        discovery_polled: Whether the endpoint list has to be fetched; otherwise, changes are
            pushed.
        max_attempts: Maximum number of attempts of a request.
        hedging_allowed: Whether several attempts of a request may be in flight at the same time.
        cancellation_allowed: Whether attempts in flight may be cancelled.
        probing_allowed: Whether health checks may be sent to backends.
        peer_messages_allowed: Whether gateways may send messages to each other.
        peer_message_rate: Maximum number of messages that a gateway receives per second.
        counter_available: Whether a counter that all gateways share is available.
        counter_timeout: Seconds after which a counter call fails.
        meter_period: Seconds over which backends meter a customer's use; 0 for no metering.
        units_settled_later: Whether the actual units of a request arrive with its response.
        max_units: Maximum units of one request.
        retry_after_allowed: Whether a rejection may tell clients when to retry.
    """

    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    gateway_index: int = 0
    gateway_count: int = 1
    zone: str = ""
    tick_interval: float = 0.001
    response_slack: float = 0.0
    drain_grace: float = 0.0
    warmup_time: float = 0.0
    cold_capacity: float = 1.0
    collapse_factor: float = 1.0
    collapse_window: float = 1.0
    discovery_max_age: float = 0.0
    discovery_polled: bool = False
    max_attempts: int = 1
    hedging_allowed: bool = False
    cancellation_allowed: bool = False
    probing_allowed: bool = False
    peer_messages_allowed: bool = False
    peer_message_rate: float = 0.0
    counter_available: bool = False
    counter_timeout: float = 0.0
    meter_period: float = 0.0
    units_settled_later: bool = False
    max_units: float = 1.0
    retry_after_allowed: bool = True

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes: at least one is required")
        if not self.plans:
            raise ValueError("plans: at least one is required")
        _require_at_least(
            0,
            "",
            gateway_index=self.gateway_index,
            response_slack=self.response_slack,
            drain_grace=self.drain_grace,
            warmup_time=self.warmup_time,
            cold_capacity=self.cold_capacity,
            collapse_factor=self.collapse_factor,
            collapse_window=self.collapse_window,
            discovery_max_age=self.discovery_max_age,
            peer_message_rate=self.peer_message_rate,
            counter_timeout=self.counter_timeout,
            meter_period=self.meter_period,
        )
        _require_at_least(
            1,
            "",
            gateway_count=self.gateway_count,
            max_attempts=self.max_attempts,
            max_units=self.max_units,
        )

    def identity(self) -> tuple[tuple[tuple[str, str], ...], tuple[str, ...]]:
        """Returns the plans and classes with their semantics, which a reload may not change."""
        classes = tuple((cls.name, cls.semantics.value) for cls in self.classes)
        plans = tuple(plan.name for plan in self.plans)
        return classes, plans
