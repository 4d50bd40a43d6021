"""Runs a fleet in virtual time: gateways with models of clients, backends, discovery and counter.

For the same size and seed, all kinds of gateways receive the same requests from clients.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Sequence
from random import Random
from typing import Any, Final

from ingress.simulation.attempt_network import AttemptNetwork
from ingress.simulation.backend import SimulatedBackend
from ingress.simulation.client_traffic import GRACE_PERIOD_S, ClientTraffic
from ingress.simulation.counter_service import CounterService
from ingress.simulation.customers import draw_customers
from ingress.simulation.discovery_service import DiscoveryService
from ingress.simulation.environment import SimulatedGateway
from ingress.simulation.fault_injector import FaultInjector
from ingress.simulation.metrics import FleetMetrics
from ingress.simulation.requests import Attempt, OpenRequests
from ingress.simulation.size import Fault, Size

BACKEND_SPEED_RANGE: Final = (0.85, 1.15)
PARTITIONED_ZONE: Final = "z0"
RESTART_DETECTION_DELAY_S: Final = 0.2  # until clients detect that a gateway has restarted


class Simulation:
    """One run; implements `Environment` for its parts.

    Attributes:
        gateway_up: Whether each gateway is running, by index.
        clients: Clients of all customers.
        attempts: Network between gateways and backends.
        metrics: Metrics of the run so far.
    """

    def __init__(
        self, size: Size, faults: Sequence[Fault], seed: int, make_gateway: GatewayFactory
    ) -> None:
        """Draws backends and customers, and creates the gateways; `run` starts them."""
        self.size = size
        self.faults = faults
        self.seed = seed
        self.make_gateway = make_gateway
        self.now = 0.0
        self.scheduled_count = 0
        self.callbacks: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        # Separate generators, so that gateway behaviour does not change the requests of clients.
        self.arrival_rng = Random(f"asks {seed}")
        self.fleet_rng = Random(f"world {seed}")
        self.metrics = FleetMetrics()
        self.backends = self._make_backends()
        self.gateway_up = [True] * size.gateways
        self.incarnations = [0] * size.gateways
        self.open_requests: OpenRequests = [{} for _ in range(size.gateways)]
        self.discovery = DiscoveryService(self)
        self.counter = CounterService(self)
        self.customers = draw_customers(size, self.arrival_rng)
        self.clients = ClientTraffic(
            self, self.metrics, self.open_requests, self.arrival_rng, self._abandon
        )
        self.attempts = AttemptNetwork(
            self, self.metrics, self.open_requests, self.clients.on_served
        )
        self.fault_injector = FaultInjector(
            self,
            self.clients,
            self.customers,
            self.discovery,
            self.counter,
            self.arrival_rng,
            self.kill_gateway,
        )
        self.gateways = [make_gateway(self, index) for index in range(size.gateways)]

    def _make_backends(self) -> dict[str, SimulatedBackend]:
        backends: dict[str, SimulatedBackend] = {}
        for index in range(self.size.backends):
            name = f"s{index}"
            zone = f"z{index % self.size.zones}"
            speed = self.fleet_rng.uniform(*BACKEND_SPEED_RANGE)
            backends[name] = SimulatedBackend(name, zone, self.size, self.schedule, speed)
        return backends

    def run(self) -> FleetMetrics:
        """Runs the simulation to its end and returns its metrics."""
        for customer in self.customers:
            self.clients.start(customer)
            self.metrics.add_customer(customer.name, customer.plan)
        for index in range(self.size.gateways):
            self._start_gateway(index)
        for fault in self.faults:
            self.schedule(fault.start, self._begin_fault, fault)
        end = self.size.duration + GRACE_PERIOD_S
        while self.callbacks and self.callbacks[0][0] <= end:
            self.now, _, callback, arguments = heapq.heappop(self.callbacks)
            callback(self.now, *arguments)
        self.metrics.finish(self.backends.values())
        return self.metrics

    def schedule(self, delay: float, callback: Callable[..., None], *arguments: Any) -> None:
        """Calls `callback` with the time and the arguments after `delay` seconds."""
        self.scheduled_count += 1  # breaks ties between callbacks that are due at one time
        due_at = self.now + max(0.0, delay)
        heapq.heappush(self.callbacks, (due_at, self.scheduled_count, callback, arguments))

    def zone(self, gateway: int) -> str:
        """Returns the zone of a gateway."""
        return f"z{gateway % self.size.zones}"

    def active_fault(self, kind: str) -> Fault | None:
        """Returns the active fault of a kind, or None."""
        for fault in self.faults:
            if fault.kind == kind and fault.start <= self.now < fault.end:
                return fault
        return None

    def is_partitioned(self, gateway: int, backend: SimulatedBackend) -> bool:
        """Returns whether a partition currently separates a gateway from a backend."""
        if self.active_fault("zone_cut") is None:
            return False
        return (self.zone(gateway) == PARTITIONED_ZONE) != (backend.zone == PARTITIONED_ZONE)

    def kill_gateway(self, index: int, restart_delay: float) -> None:
        """Ends a gateway's process, connections and requests; restarts it after a delay."""
        if not self.gateway_up[index]:
            return
        self.gateway_up[index] = False
        self.incarnations[index] += 1
        lost_requests = list(self.open_requests[index].values())
        self.open_requests[index].clear()
        for request in lost_requests:
            self.clients.disconnect(self.now, request)
        for backend in self.backends.values():
            backend.close_idle_connections(index)
        self.schedule(self.size.failure_detection_delay, self._notice_state, index)
        self.schedule(restart_delay, self._restart_gateway, index)

    def _abandon(self, now: float, attempt: Attempt) -> None:
        self.attempts.abandon(now, attempt)

    def _begin_fault(self, now: float, fault: Fault) -> None:
        self.metrics.faults[fault.kind] += 1
        self.fault_injector.begin(now, fault)

    def _start_gateway(self, index: int) -> None:
        self.gateways[index].start(self.now)
        self.discovery.connect(index)

    def _notice_state(self, _now: float, index: int) -> None:
        self.clients.considered_up[index] = self.gateway_up[index]

    def _restart_gateway(self, _now: float, index: int) -> None:
        self.gateway_up[index] = True
        self.gateways[index] = self.make_gateway(self, index)
        self._start_gateway(index)
        self.schedule(RESTART_DETECTION_DELAY_S, self._notice_state, index)


GatewayFactory = Callable[[Simulation, int], SimulatedGateway]
"""Creates the process of a gateway by its index, each time that the gateway starts."""
