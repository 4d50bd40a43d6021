"""Interfaces that the parts of a simulation share, without dependencies on those parts."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any, Protocol

from ingress.policy.events import Event
from ingress.policy.settings import Plan
from ingress.simulation.backend import SimulatedBackend
from ingress.simulation.size import Fault, Size


@dataclass(slots=True)
class Customer:
    """A customer, and the gateways at which its requests arrive.

    Attributes:
        name: Name, unique in the simulation.
        plan: Plan of the customer.
        request_rate: Requests a second, without retries by its clients.
        first_gateway: Index of the first of its gateways; the others have the next indices.
        gateway_weights: Weight of each of its gateways in the choice of one.
    """

    name: str
    plan: Plan
    request_rate: float
    first_gateway: int
    gateway_weights: list[float]


class SimulatedGateway(Protocol):
    """A gateway of the simulated fleet: the real policy, or a reference to compare it with."""

    def start(self, now: float) -> None:
        """Starts the gateway at time `now`, in seconds."""

    def handle(self, now: float, event: Event) -> None:
        """Handles an event, and performs the resulting actions in the environment."""


class Environment(Protocol):
    """The simulation as its gateways and services use it.

    Attributes:
        size: Size of the fleet, its load and its times.
        seed: Seed of the run.
        now: Virtual time in seconds.
        backends: Backends by name.
        gateway_up: Whether each gateway is running, by index.
        incarnations: Number of times that each gateway has died, by index.
        gateways: Current or latest process of each gateway, by index.
        fleet_rng: Random generator for everything that depends on actions of gateways.
    """

    size: Size
    seed: int
    now: float
    backends: dict[str, SimulatedBackend]
    gateway_up: list[bool]
    incarnations: list[int]
    gateways: list[SimulatedGateway]
    fleet_rng: Random

    def schedule(self, delay: float, callback: Callable[..., None], *arguments: Any) -> None:
        """Calls `callback` with the time and the arguments after `delay` seconds."""

    def active_fault(self, kind: str) -> Fault | None:
        """Returns the active fault of a kind, or None."""

    def is_partitioned(self, gateway: int, backend: SimulatedBackend) -> bool:
        """Returns whether a partition currently separates a gateway from a backend."""
