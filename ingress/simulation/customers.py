"""Draws the customers of a simulation."""

from __future__ import annotations

from random import Random
from typing import Final

from ingress.policy.settings import Plan
from ingress.simulation.environment import Customer
from ingress.simulation.size import PLAN_SHARES, PLANS, Size

QUOTA_USE_VARIATION: Final = (0.5, 1.5)  # range of a random factor
MIN_REQUEST_RATE: Final = 0.01  # requests a second
MIN_GATEWAY_WEIGHT: Final = 0.02


def draw_customers(size: Size, rng: Random) -> list[Customer]:
    """Returns customers whose request rates add up to the load of each plan."""
    customers: list[Customer] = []
    for plan, share in zip(PLANS, PLAN_SHARES, strict=True):
        remaining_rate = share * size.load * size.capacity
        number = 0
        while remaining_rate > 0:
            number += 1
            customer = _draw_customer(size, rng, plan, number, remaining_rate)
            remaining_rate -= max(customer.request_rate, MIN_REQUEST_RATE)
            customers.append(customer)
    return customers


def _draw_customer(size: Size, rng: Random, plan: Plan, number: int, max_rate: float) -> Customer:
    quota_use = size.quota_use * rng.uniform(*QUOTA_USE_VARIATION)
    if size.heavy_share and rng.random() < size.heavy_share:
        quota_use = size.heavy_quota_use
    first_gateway = rng.randrange(size.gateways)
    gateway_count = min(size.gateways_per_customer, size.gateways)
    weights = [
        rng.expovariate(1.0) ** size.gateway_skew + MIN_GATEWAY_WEIGHT for _ in range(gateway_count)
    ]
    request_rate = min(max_rate, plan.rate * quota_use)
    return Customer(f"{plan.name}-{number}", plan, request_rate, first_gateway, weights)
