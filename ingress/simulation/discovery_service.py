"""Models the discovery service: a limited rate of calls, and watches that report changes."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import Final

from ingress.platform.watch_backoff import WatchBackoff
from ingress.policy.events import Backend, BackendsChanged, EndpointListKind, Readiness
from ingress.simulation.backend import SimulatedBackend
from ingress.simulation.environment import Environment

MAX_QUEUE_S: Final = 2.0  # calls are rejected while the queue holds more work than this
MIN_CALLS_PER_S: Final = 2.0


@dataclass(frozen=True, slots=True)
class Watcher:
    """A gateway process that fetches the endpoint list and then watches it."""

    gateway: int
    incarnation: int
    backoff: WatchBackoff


class DiscoveryService:
    """Serves the endpoint list. Starting a watch costs one call; keeping it open costs nothing.

    Attributes:
        calls: Number of calls received.
        rejected_calls: Number of calls rejected because the queue was full.
        abandoned_calls: Number of calls processed after the timeout of their caller.
    """

    def __init__(self, environment: Environment) -> None:
        self.environment = environment
        size = environment.size
        default_rate = max(MIN_CALLS_PER_S, size.gateways * 10 / 30)
        self.calls_per_s = size.discovery_calls_per_s or default_rate
        self.version = 0
        self.idle_at = 0.0  # when the queue becomes empty
        self.readiness = dict.fromkeys(environment.backends, Readiness.READY)
        self.watchers: dict[int, Watcher] = {}  # by gateway
        self.calls = 0
        self.rejected_calls = 0
        self.abandoned_calls = 0

    def set_readiness(self, backend: SimulatedBackend, readiness: Readiness) -> None:
        """Sets the readiness of a backend; each watcher is notified after a random delay."""
        self.version += 1
        self.readiness[backend.name] = readiness
        environment = self.environment
        delay_fault = environment.active_fault("list_late")
        extra_delay = delay_fault.amount if delay_fault else 0.0
        for watcher in self.watchers.values():
            delay = environment.fleet_rng.uniform(0.1, 1.0) * environment.size.max_list_delay
            entry = self._entry(backend)
            environment.schedule(delay + extra_delay, self._send_update, watcher, entry)

    def connect(self, gateway: int) -> None:
        """Gives a gateway the list that was last stored, then lets it fetch the latest list."""
        environment = self.environment
        incarnation = environment.incarnations[gateway]
        restored = BackendsChanged(EndpointListKind.RESTORED, self._entries(), self.version)
        environment.gateways[gateway].handle(environment.now, restored)
        backoff_rng = Random(f"{environment.seed} {gateway} {incarnation}")
        watcher = Watcher(gateway, incarnation, WatchBackoff(backoff_rng))
        if environment.now > 0.0:
            # The watch starts with the answer; earlier changes arrive late, as part of the answer.
            self.watchers.pop(gateway, None)
            self._call(environment.now, watcher)
        else:
            self.watchers[gateway] = watcher

    def _entry(self, backend: SimulatedBackend) -> Backend:
        return Backend(
            backend.name,
            backend.zone,
            readiness=self.readiness[backend.name],
            started_at=backend.started_at,
        )

    def _entries(self) -> tuple[Backend, ...]:
        return tuple(
            self._entry(backend)
            for backend in self.environment.backends.values()
            if self.readiness[backend.name] is not Readiness.REMOVED
        )

    def _is_running(self, watcher: Watcher) -> bool:
        return self.environment.incarnations[watcher.gateway] == watcher.incarnation

    def _send_update(self, now: float, watcher: Watcher, entry: Backend) -> None:
        if self._is_running(watcher):
            update = BackendsChanged(EndpointListKind.UPDATE, (entry,), self.version)
            self.environment.gateways[watcher.gateway].handle(now, update)

    def _call(self, now: float, watcher: Watcher) -> None:
        if not self._is_running(watcher):
            return
        schedule = self.environment.schedule
        backoff = watcher.backoff
        self.calls += 1
        if self.idle_at - now > MAX_QUEUE_S:
            self.rejected_calls += 1
            schedule(backoff.record_failure(True), self._call, watcher)
            return
        self.idle_at = max(now, self.idle_at) + 1.0 / self.calls_per_s
        latency = self.idle_at - now
        timeout = backoff.call_timeout()
        if latency > timeout:
            self.abandoned_calls += 1
            schedule(timeout + backoff.record_failure(False), self._call, watcher)
            return
        schedule(latency, self._answer, watcher)

    def _answer(self, now: float, watcher: Watcher) -> None:
        if self._is_running(watcher):
            watcher.backoff.record_success()
            self.watchers[watcher.gateway] = watcher
            complete = BackendsChanged(EndpointListKind.COMPLETE, self._entries(), self.version)
            self.environment.gateways[watcher.gateway].handle(now, complete)
