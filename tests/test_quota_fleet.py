"""Use beyond the quotas in a fleet of real gateways, compared with a policy of delayed totals."""

from __future__ import annotations

from dataclasses import replace
from functools import partial
from typing import Any

import pytest

from benchmarks.quota_fleet import size_of
from ingress.policy.actions import Action
from ingress.policy.counter_throttle import COUNTER_SILENCE_TIMEOUT_S
from ingress.policy.customer import Customer
from ingress.policy.events import RequestReceived
from ingress.policy.gateway import Gateway
from ingress.policy.optimistic_admission import MAX_MEAN_LOSS, OptimisticAdmission
from ingress.policy.settings import Plan, RequestClass, Settings
from ingress.simulation import customers, size
from ingress.simulation import gateways as simulated
from ingress.simulation.fleet_simulation import GatewayFactory, Simulation
from ingress.simulation.gateways import policy_gateways
from ingress.simulation.reference_gateways import DelayedQuotaGateway
from ingress.simulation.size import Size

from .conftest import GatewayDriver, sends

MAX_EXCESS = 0.1  # as a share of the demand within the quotas
QUOTA_DELAY_S = 0.1  # stricter than the benchmark


def over_quota_price(ingresses: int, make_gateways: GatewayFactory) -> float:
    """Returns the price of the use beyond the quotas in one simulated run."""
    fleet = replace(size_of(ingresses, 10.0), heavy_share=0.3, heavy_quota_use=5.0)
    return Simulation(fleet, (), 1, make_gateways).run().figures()["over_price"]


class IndependentGateway(Gateway):
    """A gateway that grants the whole quota and never calls the counter."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(replace(settings, counter_available=False), seed)

    def handle(self, now: float, event: Any) -> list[Action]:
        if isinstance(event, RequestReceived):
            event = replace(event, gateway_count=1)
        return super().handle(now, event)


@pytest.mark.parametrize("ingresses", [3, 12, 40])
def test_a_fleet_under_low_load_exceeds_quotas_no_more_than_one_with_delayed_totals(
    ingresses: int,
) -> None:
    assert (
        over_quota_price(ingresses, policy_gateways())
        <= over_quota_price(ingresses, partial(DelayedQuotaGateway, delay=QUOTA_DELAY_S))
        + MAX_EXCESS
    )


def test_a_fleet_whose_gateways_each_grant_the_whole_quota_is_detected() -> None:
    """Seeded fault, which the test above detects."""
    assert (
        over_quota_price(40, policy_gateways(IndependentGateway))
        > over_quota_price(40, partial(DelayedQuotaGateway, delay=QUOTA_DELAY_S)) + MAX_EXCESS
    )


PLANS_NEAR_CEILING = (
    Plan("walk-in", 2.0, 6.0, price=0.9, over_quota_cost=0.8),
    Plan(
        "agency",
        6.0,
        14.0,
        price=1.8,
        over_quota_cost=0.4,
        ceiling_rate=9.5,
        ceiling_burst=21.0,
        ceiling_slack=4.4,
    ),
)  # a ceiling close to the quota
SURGE = Size(
    gateways=200,
    backends=60,
    duration=6.0,
    client_retries=1,
    mean_core_s=0.2,
    gateways_per_customer=8,
    load=0.5,
    quota_use=0.55,
    heavy_share=0.3,
    heavy_quota_use=10.0,
)


def max_overrun(monkeypatch: pytest.MonkeyPatch) -> float:
    """Returns the most units beyond a ceiling and its slack in four runs; 0 or less if all held."""
    for module in (size, simulated, customers):
        monkeypatch.setattr(module, "PLANS", PLANS_NEAR_CEILING)
        monkeypatch.setattr(module, "PLAN_SHARES", (0.55, 0.45), raising=False)
    return max(
        Simulation(SURGE, (), seed, policy_gateways()).run().figures()["ceiling"]
        for seed in (1, 2, 3, 4)
    )


def test_customers_that_surge_after_idle_time_exceed_no_ceiling(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each ingress of the set receives the customer's first request while the others admit it."""
    assert max_overrun(monkeypatch) <= 0.0


@pytest.mark.interpreted
def test_treating_idle_time_in_a_count_as_capacity_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Seeded fault: a total is trusted to show the units left, even if they are idle time."""

    def confirmed_by_level(self: Customer, now: float, units: float, units_counted: bool) -> bool:
        return units_counted and self.reliable_total_at == now and self.estimate.level(now) >= units

    monkeypatch.setattr(Customer, "ceiling_confirmed", confirmed_by_level)
    assert max_overrun(monkeypatch) > 0.0


# Many customers with little traffic, and a counter that can answer one call per two attempts.

SMALL_PLANS = (
    Plan("village", 0.73, 2.0, price=0.55, over_quota_cost=0.6),
    Plan("society", 1.5, 8.0, price=0.88, over_quota_cost=1.0),
    Plan("district", 3.8, 6.0, price=1.3, over_quota_cost=0.5),
)
LIMITED_COUNTER = Size(
    gateways=100,
    backends=70,
    duration=10.0,
    client_retries=3,
    retry_after_share=0.6,
    client_backoff=0.3,
    mean_core_s=0.12,
    gateways_per_customer=80,
    load=0.7,
    quota_use=0.6,
    heavy_share=0.12,
    heavy_quota_use=3.9,
    counter_calls_per_s=880.0,
    gateway_skew=1.2,
)


def optimistic_price(monkeypatch: pytest.MonkeyPatch) -> float:
    """Returns the price of the use beyond the quotas in one run with a limited counter."""
    for module in (size, simulated, customers):
        monkeypatch.setattr(module, "PLANS", SMALL_PLANS)
        monkeypatch.setattr(module, "PLAN_SHARES", (0.25, 0.3, 0.45), raising=False)
    return float(
        Simulation(LIMITED_COUNTER, (), 1, policy_gateways()).run().figures()["over_price"]
    )


def unbounded_expected_loss(self: OptimisticAdmission, now: float, customer: Customer) -> float:
    chance = self.probability[customer.plan.name, customer.is_returning(now)]
    return (
        0.0
        if chance > customer.plan.over_quota_cost / (1 + customer.plan.over_quota_cost)
        else -1.0
    )


@pytest.mark.interpreted
def test_optimistic_admissions_that_each_pay_do_not_add_up_across_a_fleet(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    bounded = optimistic_price(monkeypatch)
    monkeypatch.setattr(OptimisticAdmission, "expected_loss", unbounded_expected_loss)
    assert bounded < 0.85 * optimistic_price(monkeypatch)


def test_higher_losses_raise_the_probability_that_optimistic_admission_requires() -> None:
    plan = Plan("p", 1.0, 2.0, over_quota_cost=0.5)
    gateway = Gateway(
        Settings((RequestClass("read", 1.0, 4.0),), (plan,), counter_available=True), 1
    )
    customer = Customer(
        RequestReceived("r", "read", "p", "c", 4.0, gateway_count=40), plan, 0.0, 0.0, True, 1.0
    )
    gateway.counter_throttle.answered_at = 0.0
    (
        gateway.optimistic_admission.probability["p", False],
        gateway.optimistic_admission.probability["p", True],
    ) = 0.7, 0.45
    # A loss of 0.15 for a gain of 0.7.
    assert customer.decided_by_counter and gateway.optimistic_admission.expected_loss(
        0.0, customer
    ) == pytest.approx(0.15)
    # A returning customer: a loss of 0.275 for a gain of 0.45.
    customer.admitted_optimistically = True
    assert gateway.optimistic_admission.expected_loss(0.0, customer) == pytest.approx(0.275)
    # At twice the maximum mean loss: 0.55 for a returning customer's gain of 0.45.
    gateway.optimistic_admission.mean_loss = 2 * MAX_MEAN_LOSS
    assert gateway.optimistic_admission.expected_loss(0.0, customer) < 0.0
    # A new customer: 0.3 for a gain of 0.7.
    customer.admitted_optimistically = False
    assert gateway.optimistic_admission.expected_loss(0.0, customer) > 0.0
    gateway.optimistic_admission.mean_loss = 5 * MAX_MEAN_LOSS
    assert gateway.optimistic_admission.expected_loss(0.0, customer) < 0.0
    # While the counter is silent no call about the customer is possible, so no loss is counted.
    customer.admitted_optimistically = True
    assert gateway.optimistic_admission.expected_loss(COUNTER_SILENCE_TIMEOUT_S, customer) == 0.0


def test_the_mean_loss_of_optimistic_admission_decays_with_further_admissions() -> None:
    driver = GatewayDriver()
    driver.gateway.optimistic_admission.mean_loss = 1.0
    for sent in sends(driver.receive_request()):
        driver.end_attempt(sent)
    assert 0.0 < driver.gateway.optimistic_admission.mean_loss < 1.0
