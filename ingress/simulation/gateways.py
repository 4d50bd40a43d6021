"""Gateways of the simulated fleet that run the real policy."""

from __future__ import annotations

import importlib.util
import sys
from collections.abc import Callable
from pathlib import Path
from types import ModuleType
from typing import Any

from ingress.policy.actions import (
    AddToCounter,
    FailRequest,
    RejectRequest,
    SetTimer,
    StartAttempt,
)
from ingress.policy.events import CounterReply, Event, Outcome, RequestReceived, TimerFired
from ingress.policy.gateway import Gateway
from ingress.policy.settings import Settings
from ingress.simulation.counter_service import CALL_TIMEOUT_S
from ingress.simulation.fleet_simulation import GatewayFactory, Simulation
from ingress.simulation.metrics import ResponseKind
from ingress.simulation.size import CLASSES, PLANS, Size

PolicyFactory = Callable[[Settings, int], Any]
"""Creates a policy from its settings and a seed."""


def settings(size: Size, index: int, zone: str) -> Settings:
    """Returns the policy settings for a gateway."""
    return Settings(
        CLASSES,
        PLANS,
        gateway_index=index,
        gateway_count=size.gateways,
        zone=zone,
        tick_interval=0.002,
        drain_grace=1.0,
        warmup_time=size.warmup_time,
        cold_capacity=size.cold_capacity,
        collapse_factor=size.collapse_factor,
        collapse_window=size.collapse_window,
        max_attempts=4,
        cancellation_allowed=True,
        counter_available=True,
        counter_timeout=CALL_TIMEOUT_S,
    )


class PolicyGateway:
    """One process of a gateway: a policy whose actions are performed in the simulation.

    Attributes:
        requests_received: Number of requests from clients.
        attempts_sent: Number of attempts that the policy started.
    """

    def __init__(
        self, simulation: Simulation, index: int, make_policy: PolicyFactory = Gateway
    ) -> None:
        self.simulation = simulation
        self.index = index
        self.incarnation = simulation.incarnations[index]
        self.requests_received = 0
        self.attempts_sent = 0
        self.gateway = make_policy(
            settings(simulation.size, index, simulation.zone(index)),
            hash((simulation.seed, index, self.incarnation)) & 0xFFFFFFFF,
        )

    def start(self, now: float) -> None:
        """Does nothing: the policy only reacts to events."""

    def handle(self, now: float, event: Event) -> None:
        """Passes an event to the policy and performs its actions, unless this process has died."""
        if not self.is_running():
            return
        self.requests_received += isinstance(event, RequestReceived)
        for action in self.gateway.handle(now, event):
            match action:
                case StartAttempt():
                    self.attempts_sent += 1
                    self.simulation.attempts.send(now, self.index, action)
                case RejectRequest(request_id=request_id, retry_after=retry_after):
                    self._respond(now, request_id, ResponseKind.REJECTED, retry_after)
                case FailRequest(request_id=request_id):
                    self._respond(now, request_id, ResponseKind.FAILED, 0.0)
                case SetTimer(delay=delay, token=token):
                    self.simulation.schedule(delay, self.handle, TimerFired(token))
                case AddToCounter():
                    self._call_counter(now, action)
                case _:
                    pass

    def is_running(self) -> bool:
        """Returns whether this is the current process of the gateway."""
        return self.simulation.incarnations[self.index] == self.incarnation

    def _respond(self, now: float, request_id: str, kind: ResponseKind, retry_after: float) -> None:
        request = self.simulation.open_requests[self.index].get(request_id)
        if request is not None:
            self.simulation.clients.respond(now, request, kind, retry_after)

    def _call_counter(self, now: float, action: AddToCounter) -> None:
        key = action.key

        def on_reply(outcome: Outcome, total: float, latency: float) -> None:
            self.handle(self.simulation.now, CounterReply(key, outcome, total, latency))

        self.simulation.counter.call(now, key, action.amount, action.lifetime, on_reply)


def policy_gateways(make_policy: PolicyFactory = Gateway) -> GatewayFactory:
    """Returns a factory of gateways that run a policy."""
    return lambda simulation, index: PolicyGateway(simulation, index, make_policy)


def load_module(path: Path, name: str) -> ModuleType:
    """Loads a policy from a file, such as another revision or a policy without one part.

    Raises:
        ImportError: The file is not a Python module.
    """
    spec = importlib.util.spec_from_file_location(name, path)
    if spec is None or spec.loader is None:
        raise ImportError(f"not a Python module: {path}")
    module = importlib.util.module_from_spec(spec)
    sys.modules[name] = module
    spec.loader.exec_module(module)
    return module
