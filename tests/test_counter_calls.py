"""Counter calls of a gateway: late replies, changes of the key, and consistency checks."""

from __future__ import annotations

from dataclasses import replace

import pytest

from ingress.policy.actions import Action, AddToCounter, SetTimer
from ingress.policy.counter_consistency import CALL_PERIOD_S
from ingress.policy.counter_keys import EPOCH_S, counter_key, key_number
from ingress.policy.events import CounterReply, Outcome, TimerFired
from ingress.policy.settings import Settings
from ingress.policy.timers import CONSISTENCY_TIMER

from .conftest import SETTINGS, GatewayDriver, sends

COUNTING = replace(SETTINGS, gateway_count=3, counter_available=True, counter_timeout=0.05)


def driver_at_key_start() -> GatewayDriver:
    """Returns a driver shortly after a new counter key starts, with every counter call allowed."""
    driver = GatewayDriver(COUNTING)
    driver.now = counter_key(key_number("c"), 500.0)[1] + 1.0
    driver.gateway.counter_throttle.call_share = 1.0
    return driver


def call_until_counted(driver: GatewayDriver) -> AddToCounter:
    """Sends requests, each answered at once, and returns the first call with the customer's key."""
    for _ in range(50):
        for action in driver.receive_request(0.01, gateway_count=3):
            if (
                isinstance(action, AddToCounter)
                and action.key in driver.gateway.quota_reporter.calls
            ):
                return action
        for sent in sends(driver.actions[-1:]):
            driver.end_attempt(sent, Outcome.OK, 0.0)
    raise AssertionError("no counter call was made")


def counter_calls(actions: list[Action]) -> list[AddToCounter]:
    return [action for action in actions if isinstance(action, AddToCounter)]


def check_delays(driver: GatewayDriver) -> list[float]:
    """Returns the delays of the timers set for consistency checks."""
    return [
        action.delay
        for action in driver.actions
        if isinstance(action, SetTimer) and action.token == CONSISTENCY_TIMER
    ]


def test_a_late_total_is_used_if_no_call_has_been_made_since() -> None:
    driver = driver_at_key_start()
    call = call_until_counted(driver)
    driver.at(0.05, CounterReply(call.key, Outcome.TIMEOUT, 0.0, 0.05))
    estimate = driver.gateway.admission.customers["c"].estimate
    assert not estimate.is_fresh(driver.now)
    driver.at(0.1, CounterReply(call.key, Outcome.OK, call.amount + 5.0, 0.15))
    assert estimate.is_fresh(driver.now)
    assert driver.gateway.quota_reporter.consistency.checks.late_totals == 1
    assert estimate.level(driver.now) == pytest.approx(8.0 - 5.0, abs=call.amount + 0.5)


def test_a_repeated_late_total_is_ignored() -> None:
    driver = driver_at_key_start()
    call = call_until_counted(driver)
    driver.at(0.05, CounterReply(call.key, Outcome.TIMEOUT, 0.0, 0.05))
    driver.at(0.1, CounterReply(call.key, Outcome.OK, call.amount + 5.0, 0.15))
    estimate = driver.gateway.admission.customers["c"].estimate
    before = estimate.level(driver.now)
    driver.at(0.0, CounterReply(call.key, Outcome.OK, 500.0, 0.16))
    assert estimate.level(driver.now) == before


def test_a_reply_to_an_older_call_does_not_end_the_call_in_flight() -> None:
    driver = driver_at_key_start()
    call = call_until_counted(driver)
    driver.at(0.05, CounterReply(call.key, Outcome.TIMEOUT, 0.0, 0.05))
    driver.now += 1.0
    driver.gateway.counter_throttle.call_share = 1.0
    second = call_until_counted(driver)
    assert second.key == call.key
    driver.at(0.01, CounterReply(call.key, Outcome.OK, 70.0, 1.2))  # the reply to the first call
    assert second.key in driver.gateway.quota_reporter.calls
    assert not driver.gateway.admission.customers["c"].ledger.replacements
    driver.at(0.0, CounterReply(call.key, Outcome.OK, 3.0, 0.01))
    assert second.key not in driver.gateway.quota_reporter.calls


def test_a_key_is_read_once_more_after_all_gateways_have_stopped_using_it() -> None:
    driver = driver_at_key_start()
    first = call_until_counted(driver)
    customer = driver.gateway.admission.customers["c"]
    _, start = counter_key(customer.key_number, driver.now)
    driver.now = start + EPOCH_S - 0.5  # the total arrives shortly before the key changes
    driver.at(0.0, CounterReply(first.key, Outcome.OK, first.amount, 0.001))
    driver.now = start + EPOCH_S + 0.1
    customer.slice.level = 0.0
    last = call_until_counted(driver)
    assert last.key == first.key
    assert last.amount == 0.0
    actions = driver.at(0.001, CounterReply(last.key, Outcome.OK, first.amount + 4.0, 0.001))
    assert driver.gateway.admission.customers["c"].estimate.is_fresh(driver.now)
    # The request still waits for the new key's total.
    [following] = counter_calls(actions)
    assert following.key == counter_key(customer.key_number, driver.now)[0] != first.key
    assert not sends(actions)
    assert driver.gateway.admission.customers["c"].awaiting_reply


def test_consistency_checks_are_called_at_a_fixed_rate() -> None:
    driver = GatewayDriver(COUNTING)
    for _ in range(20):
        delay = check_delays(driver)[-1]
        for call in counter_calls(driver.at(delay, TimerFired(CONSISTENCY_TIMER))):
            driver.at(0.0, CounterReply(call.key, Outcome.OK, 3.0 * len(driver.actions), 0.0))
    assert len(counter_calls(driver.actions)) == 20
    assert 100.0 + 19 * CALL_PERIOD_S <= driver.now <= 100.0 + 20 * CALL_PERIOD_S


@pytest.mark.parametrize("settings", [SETTINGS, replace(COUNTING, gateway_count=1)])
def test_no_consistency_checks_without_a_counter_or_other_gateways(settings: Settings) -> None:
    assert not check_delays(GatewayDriver(settings))
