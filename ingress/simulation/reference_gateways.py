"""Reference gateways to compare the real policy with; they use data that no real gateway has."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass
from typing import ClassVar, Final
from weakref import WeakKeyDictionary

from ingress.policy.actions import StartAttempt
from ingress.policy.events import Event, RequestReceived
from ingress.simulation.backend import SimulatedBackend
from ingress.simulation.fleet_simulation import Simulation
from ingress.simulation.metrics import ResponseKind
from ingress.simulation.size import CLASS_SHARES, CLASSES, PLAN_SHARES, PLANS
from ingress.simulation.true_quota import TrueQuota

TARGET_UTILIZATION: Final = 0.95  # of the capacity; the rest keeps queues short
MIN_DEMAND: Final = 1e-9  # avoids a division by zero


@dataclass(frozen=True, slots=True)
class Demand:
    """Core seconds a second that requests of one value require under normal load."""

    value: float
    core_s: float


class OmniscientGateway:
    """Sheds load with knowledge of all quotas, queues and demand.

    Admits the most valuable requests that fit the capacity of the running backends, and sends them
    to the shortest queue.
    """

    def __init__(self, simulation: Simulation, index: int) -> None:
        self.simulation = simulation
        self.index = index
        size = simulation.size
        shares = sorted(
            (
                (request_class.priority_weight * plan.price, class_share * plan_share)
                for request_class, class_share in zip(CLASSES, CLASS_SHARES, strict=True)
                for plan, plan_share in zip(PLANS, PLAN_SHARES, strict=True)
            ),
            reverse=True,
        )
        self.demands = [
            Demand(value, share * size.load * size.capacity * size.mean_core_s)
            for value, share in shares
        ]

    def start(self, now: float) -> None:
        """Does nothing: the gateway only reacts to requests."""

    def handle(self, now: float, event: Event) -> None:
        """Handles a request at once; ignores other events."""
        if not isinstance(event, RequestReceived):
            return
        simulation = self.simulation
        request = simulation.open_requests[self.index][event.request_id]
        plan = request.customer.plan
        quota = simulation.metrics.quotas[request.customer.name]
        quota.refill(now)
        probability = self._admission_probability(
            request.request_class.priority_weight * plan.price, now
        )
        backend = shortest_queue(simulation, self.index, now)
        if (
            quota.level < 1.0
            or backend is None
            or self._queueing_time(backend, now) > request.request_class.latency_objective / 2
            or simulation.fleet_rng.random() >= probability
        ):
            simulation.clients.respond(now, request, ResponseKind.REJECTED, 0.0)
        else:
            simulation.attempts.send(now, self.index, StartAttempt(event.request_id, backend.name))

    def _queueing_time(self, backend: SimulatedBackend, now: float) -> float:
        return len(backend.waiting) * self.simulation.size.mean_core_s / backend.capacity(now)

    def _admission_probability(self, value: float, now: float) -> float:
        """Returns the share of requests of a value that fits after all more valuable requests."""
        simulation = self.simulation
        remaining = TARGET_UTILIZATION * sum(
            backend.capacity(now)
            for backend in simulation.backends.values()
            if backend.up and backend.ready
        )
        for demand in self.demands:
            core_s = demand.core_s * simulation.clients.load_factor
            if demand.value == value:
                return min(1.0, max(0.0, remaining / max(core_s, MIN_DEMAND)))
            remaining -= core_s
        return 1.0


class DelayedUse:
    """Quota use of a run as each gateway sees it: the use by other gateways is delayed."""

    def __init__(self, simulation: Simulation, delay: float) -> None:
        self.delay = delay
        self.sent = deque[tuple[float, str, int]]()  # time, customer, gateway
        self.quotas = {customer.name: TrueQuota(customer.plan) for customer in simulation.customers}
        self.recent: Counter[tuple[str, int]] = Counter()  # in `sent`, by customer and gateway

    def level(self, now: float, customer: str, gateway: int) -> float:
        """Returns the units in a customer's quota, as a gateway sees it.

        They are refilled until `now`, and reduced by all use up to `delay` seconds ago and by this
        gateway's own use since then.
        """
        while self.sent and self.sent[0][0] <= now - self.delay:
            sent_at, name, sender = self.sent.popleft()
            self.quotas[name].take(sent_at)
            self.recent[name, sender] -= 1
        quota = self.quotas[customer]
        quota.refill(now)
        return quota.level - self.recent[customer, gateway]

    def take(self, now: float, customer: str, gateway: int) -> None:
        """Records one unit of use by a gateway."""
        self.sent.append((now, customer, gateway))
        self.recent[customer, gateway] += 1


class DelayedQuotaGateway:
    """Enforces quotas by the fleet's use up to `delay` seconds ago and its own use since then.

    Sends requests to the shortest queue, whose length it knows without delay.
    """

    uses: ClassVar[WeakKeyDictionary[Simulation, DelayedUse]] = WeakKeyDictionary()

    def __init__(self, simulation: Simulation, index: int, delay: float) -> None:
        self.simulation = simulation
        self.index = index
        self.use = self.uses.setdefault(simulation, DelayedUse(simulation, delay))

    def start(self, now: float) -> None:
        """Does nothing: the gateway only reacts to requests."""

    def handle(self, now: float, event: Event) -> None:
        """Handles a request at once; ignores other events."""
        if not isinstance(event, RequestReceived):
            return
        simulation = self.simulation
        customer = event.customer
        request = simulation.open_requests[self.index][event.request_id]
        backend = shortest_queue(simulation, self.index, now)
        if backend is None or self.use.level(now, customer, self.index) < 1.0:
            simulation.clients.respond(now, request, ResponseKind.REJECTED, 0.0)
            return
        self.use.take(now, customer, self.index)
        simulation.attempts.send(now, self.index, StartAttempt(event.request_id, backend.name))


def shortest_queue(simulation: Simulation, gateway: int, now: float) -> SimulatedBackend | None:
    """Returns the reachable backend that can start another request the soonest, or None."""
    return min(
        (
            backend
            for backend in simulation.backends.values()
            if backend.up and backend.ready and not simulation.is_partitioned(gateway, backend)
        ),
        key=lambda backend: (backend.running + len(backend.waiting) + 1) / backend.capacity(now),
        default=None,
    )
