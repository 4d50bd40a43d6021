"""What a gateway is configured with: request classes, plans and limits of the deployment.

Times are seconds, rates are units per second.  A limit of 0 is none where nothing else is said.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf
from typing import Final

MAX_HOLD_UP_S: Final = 0.15
"""For which the process may be held up between reading its clock and acting on it."""


class RetrySemantics(Enum):
    """How often a request of a class may take effect."""

    IDEMPOTENT = "idempotent"
    """It may run any number of times."""
    IDEMPOTENCY_KEY = "idempotency_key"
    """Backends that share a memory of its key run it once."""
    NON_IDEMPOTENT = "non_idempotent"
    """It may run once at most."""


class DeduplicationScope(Enum):
    """Which backends share one memory of idempotency keys."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


def _require_at_least(minimum: float, owner: str, **figures: float) -> None:
    """Raises ValueError for the first figure that is not finite or is below `minimum`."""
    for key, value in figures.items():
        if not minimum <= value < inf:
            raise ValueError(f"{owner}{key}: {value!r} is not a finite number from {minimum:g} up")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: what a response is worth, by when, and how often it may take effect.

    Attributes:
        name: How requests refer to the class.
        latency_objective: The time in seconds within which a response has its full value.
        deadline: The time in seconds after which clients wait no more.
        priority_weight: What a response within the objective is worth.
        late_priority_weight: The share of that which a response past the objective still has.
        semantics: How often a request may take effect.
        deduplication_scope: With an idempotency key, the backends that share one memory of it.
        deduplication_window: With an idempotency key, the seconds for which a backend knows it.
        objective_stretch: Multiple of a request's own work by which its objective is longer.
        streaming: Whether a response comes in parts.
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
    """What customers of one contract may use, over all gateways, and what it is worth.

    Attributes:
        name: How requests refer to the plan.
        rate: Units per second that flow into a customer's quota; 0 for no quota.
        burst: Units that the quota holds at most.
        max_concurrent: Attempts of one customer in flight; 0 for any number.
        price: Factor on the priority weight of its requests.
        over_quota_weight: Share of its weight that a request beyond the quota still has.
        over_quota_cost: Share of its weight that forwarding one beyond the quota costs.
        ceiling_rate: Units per second that flow into the hard limit; 0 for none.
        ceiling_burst: Units that the hard limit holds at most.
        ceiling_slack: Units by which the hard limit may be overdrawn.
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
    """What a gateway is told at its start.

    Attributes:
        classes: The request classes, at least one.
        plans: The plans, at least one.
        gateway_index: This gateway's number, from 0.
        gateway_count: How many gateways there are.
        zone: The failure domain of this gateway.
        tick_interval: The shortest time in seconds between two events.
        response_slack: Seconds past its deadline in which a final response still counts.
        drain_grace: Seconds in which a draining or removed backend may still be sent to.
        warmup_time: Seconds after which a started backend has its full capacity.
        cold_capacity: The share of its capacity that a backend starts with.
        collapse_factor: The multiple of its capacity at which a warming backend collapses.
        collapse_window: Seconds that such a load must last for it.
        discovery_max_age: With polled discovery, the seconds for which an endpoint list is current.
        discovery_polled: Whether the endpoint list has to be fetched; else changes are pushed.
        max_attempts: Attempts that a request may have.
        hedging_allowed: Whether several attempts of a request may be in flight together.
        cancellation_allowed: Whether attempts in flight may be cancelled.
        probing_allowed: Whether health checks may be sent to backends.
        peer_messages_allowed: Whether gateways may send messages to one another.
        peer_message_rate: Messages per second that a gateway receives at most.
        counter_available: Whether there is a counter that all gateways share.
        counter_timeout: Seconds after which a counter call has failed.
        meter_period: Seconds over which backends meter a customer's use; 0 for no meter.
        units_settled_later: Whether a request's true units come with its response.
        max_units: Units that one request may have.
        retry_after_allowed: Whether a rejection may tell clients when to come back.
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
            raise ValueError("classes: at least one is needed")
        if not self.plans:
            raise ValueError("plans: at least one is needed")
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
        """Returns what a reload may not change: plans, and classes with their semantics."""
        classes = tuple((cls.name, cls.semantics.value) for cls in self.classes)
        plans = tuple(plan.name for plan in self.plans)
        return classes, plans
