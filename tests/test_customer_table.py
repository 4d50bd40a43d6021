"""The limit on the number of customers whose state a gateway keeps."""

from __future__ import annotations

from dataclasses import replace

from ingress.policy.actions import RejectRequest
from ingress.policy.customer import CUSTOMER_IDLE_S
from ingress.policy.events import Outcome
from ingress.policy.quota_estimate import NEVER
from tests.conftest import SETTINGS, GatewayDriver, final_responses, sends

MAX_CUSTOMERS = 4


def limited_driver(counter_available: bool = False) -> GatewayDriver:
    driver = GatewayDriver(replace(SETTINGS, counter_available=counter_available))
    driver.gateway.admission.table.max_customers = MAX_CUSTOMERS
    return driver


def serve(driver: GatewayDriver, customer: str) -> None:
    [send] = sends(driver.receive_request(customer=customer))
    driver.end_attempt(send, Outcome.OK)


def test_new_customers_replace_those_whose_state_equals_a_new_one() -> None:
    """Guards against memory that grows with each new customer name."""
    driver = limited_driver()
    for number in range(10 * MAX_CUSTOMERS):
        driver.now += 1.0  # refills the slice of the earlier ones
        serve(driver, f"c{number}")
        assert len(driver.gateway.admission.customers) <= MAX_CUSTOMERS
        assert len(driver.gateway.quota_reporter.unreported_customers) <= MAX_CUSTOMERS


def test_a_customer_that_spent_its_quota_keeps_its_state_while_new_ones_arrive() -> None:
    """Guards against a fresh quota for a customer that others have pushed out of the table."""
    driver = limited_driver()
    spent = 0
    while not final_responses(actions := driver.receive_request(customer="spender")):
        spent += len(sends(actions))
    assert spent
    for number in range(10 * MAX_CUSTOMERS):
        driver.receive_request(customer=f"c{number}")
    assert len(driver.gateway.admission.customers) <= MAX_CUSTOMERS
    assert final_responses(driver.receive_request(customer="spender"))


def test_rejects_a_new_customer_while_no_other_can_be_replaced() -> None:
    """Guards against a request without a final response when the table is full."""
    driver = limited_driver()
    for number in range(MAX_CUSTOMERS):
        assert sends(driver.receive_request(customer=f"c{number}"))
    [answer] = driver.receive_request(customer="one too many")
    assert isinstance(answer, RejectRequest)
    assert driver.gateway.admission.table.turned_away == 1


def test_an_idle_customer_keeps_the_use_that_the_counter_has_not_received() -> None:
    """Guards against use that is never reported, and counts against no ceiling, after an outage."""
    driver = limited_driver(counter_available=True)
    driver.receive_request(customer="reported late")
    customer = driver.gateway.admission.customers["reported late"]
    customer.unreported_units = customer.plan.burst
    driver.gateway.quota_reporter.mark_unreported(customer)
    driver.now += 2 * CUSTOMER_IDLE_S
    customer.counter_called_at = NEVER
    customer.in_flight = 0
    assert customer.is_idle(driver.now)
    driver.gateway.admission.drop_idle_customers(driver.now)
    assert driver.gateway.quota_reporter.unreported_customers == {"reported late": customer}
    customer.unreported_units = 0.0
    driver.gateway.admission.drop_idle_customers(driver.now)
    assert not driver.gateway.admission.customers
    assert not driver.gateway.quota_reporter.unreported_customers
