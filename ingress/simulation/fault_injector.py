"""Starts and ends the faults of a scenario."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Final

from ingress.policy.events import Readiness
from ingress.simulation.backend import SimulatedBackend
from ingress.simulation.client_traffic import ClientTraffic
from ingress.simulation.counter_service import CounterService
from ingress.simulation.discovery_service import DiscoveryService
from ingress.simulation.environment import Customer, Environment
from ingress.simulation.size import Fault

LOST_ZONE: Final = "z0"
DRAIN_TIME_S: Final = 1.0
RESTART_TIME_S: Final = 0.5
MIN_RATE: Final = 1e-9  # avoids a division by zero


class FaultInjector:
    """Injects faults into the parts of a simulation.

    `kill_gateway` takes the index of a gateway and the delay in seconds until it restarts.
    """

    def __init__(
        self,
        environment: Environment,
        clients: ClientTraffic,
        customers: list[Customer],
        discovery: DiscoveryService,
        counter: CounterService,
        arrival_rng: Random,
        kill_gateway: Callable[[int, float], None],
    ) -> None:
        self.environment = environment
        self.clients = clients
        self.customers = customers
        self.discovery = discovery
        self.counter = counter
        self.arrival_rng = arrival_rng
        self.kill_gateway = kill_gateway

    def begin(self, now: float, fault: Fault) -> None:
        """Starts a fault; requires no action for kinds that the parts query with `active_fault`."""
        duration = max(0.0, fault.end - now)
        match fault.kind:
            case "kill":
                self._kill_gateways(fault)
            case "release":
                self._release(fault, duration)
            case "zone_lost":
                self._lose_zone(duration)
            case "unsaid":
                self._stop_unannounced(fault, duration)
            case "counter_empty":
                self.counter.totals.clear()
            case "load":
                self._raise_load(fault, duration)
            case "slow":
                self._slow_down(fault, duration)
            case "hot":
                self.clients.hot_share = fault.share
                self.environment.schedule(duration, self._end_hot_gateway)
            case _:
                pass

    def _sample_backends(self, count: int) -> list[SimulatedBackend]:
        backends = self.environment.backends
        names = self.environment.fleet_rng.sample(list(backends), count)
        return [backends[name] for name in names]

    def _backend_count(self, fault: Fault) -> int:
        return round(fault.share * len(self.environment.backends))

    def _kill_gateways(self, fault: Fault) -> None:
        gateway_count = self.environment.size.gateways
        count = round(fault.share * gateway_count)
        for index in self.environment.fleet_rng.sample(range(gateway_count), count):
            self.kill_gateway(index, fault.amount)

    def _release(self, fault: Fault, duration: float) -> None:
        backends = self._sample_backends(self._backend_count(fault))
        for position, backend in enumerate(backends):
            self.environment.schedule(duration * position / len(backends), self._drain, backend)

    def _drain(self, _now: float, backend: SimulatedBackend) -> None:
        backend.ready = False
        self.discovery.set_readiness(backend, Readiness.DRAINING)
        self.environment.schedule(DRAIN_TIME_S, self._replace, backend)

    def _replace(self, _now: float, backend: SimulatedBackend) -> None:
        self._remove(backend, RESTART_TIME_S)

    def _remove(self, backend: SimulatedBackend, restart_delay: float) -> None:
        backend.terminate()
        self.discovery.set_readiness(backend, Readiness.REMOVED)
        self.environment.schedule(restart_delay, self._restart, backend)

    def _restart(self, now: float, backend: SimulatedBackend) -> None:
        backend.start(now)
        self.discovery.set_readiness(backend, Readiness.READY)

    def _lose_zone(self, duration: float) -> None:
        for backend in self.environment.backends.values():
            if backend.zone == LOST_ZONE:
                self._remove(backend, duration)

    def _stop_unannounced(self, fault: Fault, duration: float) -> None:
        for backend in self._sample_backends(max(1, self._backend_count(fault))):
            backend.terminate()
            self.environment.schedule(duration, self._bring_up, backend)

    def _bring_up(self, _now: float, backend: SimulatedBackend) -> None:
        backend.up = True
        backend.ready = True

    def _raise_load(self, fault: Fault, duration: float) -> None:
        """Raises the rate of first requests.

        Schedules one extra request for each customer, because the next arrival of each customer
        was drawn at the normal rate.
        """
        self.clients.load_factor = fault.amount
        for customer in self.customers:
            rate = customer.request_rate * (fault.amount - 1) + MIN_RATE
            delay = self.arrival_rng.expovariate(rate)
            self.environment.schedule(delay, self._send_extra_request, customer, fault)
        self.environment.schedule(duration, self._end_high_load)

    def _send_extra_request(self, now: float, customer: Customer, fault: Fault) -> None:
        if now < fault.end:
            self.clients.send_first_request(now, customer)

    def _end_high_load(self, _now: float) -> None:
        self.clients.load_factor = 1.0

    def _end_hot_gateway(self, _now: float) -> None:
        self.clients.hot_share = 0.0

    def _slow_down(self, fault: Fault, duration: float) -> None:
        for backend in self._sample_backends(max(1, self._backend_count(fault))):
            backend.slowdown = fault.amount
            self.environment.schedule(duration, self._end_slowdown, backend)

    def _end_slowdown(self, _now: float, backend: SimulatedBackend) -> None:
        backend.slowdown = 1.0
