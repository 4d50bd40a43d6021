"""Quota slices and the estimate of a customer's use at other gateways."""

from __future__ import annotations

from dataclasses import replace

import pytest

from ingress.policy import counter_keys
from ingress.policy.actions import AddToCounter, RejectRequest, SetTimer, StartAttempt
from ingress.policy.counter_throttle import MIN_CALL_SHARE
from ingress.policy.events import (
    AttemptEnded,
    Backend,
    BackendsChanged,
    CounterReply,
    EndpointListKind,
    Outcome,
    RequestReceived,
    TimerFired,
)
from ingress.policy.gateway import Gateway
from ingress.policy.quota_estimate import QuotaEstimate
from ingress.policy.settings import Plan, RequestClass, Settings

from .conftest import BASIC, SETTINGS, GatewayDriver, sends

COUNTING = replace(SETTINGS, counter_available=True, counter_timeout=0.05)


def spend(driver: GatewayDriver, times: int, **changes: object) -> int:
    """Sends `times` requests at one moment, each answered at once; returns the number forwarded."""
    forwarded = 0
    for _ in range(times):
        attempts = sends(driver.receive_request(0.0, **changes))
        forwarded += len(attempts)
        for sent in attempts:
            driver.end_attempt(sent, Outcome.OK, 0.0)
    return forwarded


def counter_calls(driver: GatewayDriver) -> list[AddToCounter]:
    return [a for a in driver.actions if isinstance(a, AddToCounter)]


def test_a_slice_admits_its_share_of_the_burst_and_rejects_further_requests() -> None:
    driver = GatewayDriver()
    assert spend(driver, 10) == 4  # burst 8 over two gateways
    rejected = driver.receive_request()[-1]
    # The retry needs one unit at rate 2, since it may reach any gateway.
    assert rejected == RejectRequest(f"r{driver.count}", 0.5)
    driver.now += 2.0
    assert spend(driver, 10) == 2


def test_a_request_larger_than_the_slice_is_admitted_by_a_full_slice() -> None:
    driver = GatewayDriver()
    assert len(sends(driver.receive_request(units=6.0))) == 0  # the slice holds 4
    driver.now += 2.0
    assert len(sends(driver.receive_request(units=6.0))) == 1


def test_estimated_units_are_settled_with_the_response() -> None:
    driver = GatewayDriver()
    sent = sends(driver.receive_request(units=1.0))[0]
    driver.end_attempt(sent, Outcome.OK, 0.0, settled_units=4.0)
    assert spend(driver, 10) == 0
    driver.now += 1.0
    assert spend(driver, 10) == 1


def test_a_plan_without_a_rate_limits_only_the_attempts_in_flight() -> None:
    driver = GatewayDriver(replace(SETTINGS, plans=(Plan("basic", max_concurrent=4),)))
    # A limit of 4 over two gateways.
    assert sum(len(sends(driver.receive_request())) for _ in range(5)) == 2


def test_idle_customers_with_full_buckets_are_dropped() -> None:
    driver = GatewayDriver()
    for number in range(50):
        driver.receive_request(customer=f"c{number}")
    for sent in sends(list(driver.actions)):
        driver.end_attempt(sent, Outcome.OK, 0.0)
    driver.at(61.0, TimerFired(0))
    assert not driver.gateway.admission.customers


def test_a_low_slice_calls_the_counter_and_borrows_unused_units_of_others() -> None:
    driver = GatewayDriver(COUNTING)
    forwarded = spend(driver, 1)
    while not driver.gateway.admission.customers["c"].awaiting_reply:
        forwarded += spend(driver, 1)
        for call in counter_calls(driver):
            if (
                call.key in driver.gateway.quota_reporter.calls
                and not driver.gateway.admission.customers["c"].awaiting_reply
            ):
                driver.at(0.001, CounterReply(call.key, Outcome.OK, float(forwarded)))
        assert forwarded < 20
    waiting_id = driver.gateway.admission.customers["c"].awaiting_reply[0].request_id
    call = counter_calls(driver)[-1]
    assert call.amount >= 1.0  # includes the units of the waiting request
    answer = driver.at(0.001, CounterReply(call.key, Outcome.OK, float(forwarded + 1)))
    assert [s.request_id for s in sends(answer)] == [waiting_id]


def reply(driver: GatewayDriver, outcome: Outcome, total: float = 0.0) -> int:
    """Replies to the calls in flight and returns their number."""
    waiting = list(driver.gateway.quota_reporter.calls)
    for key in waiting:
        for sent in sends(driver.at(0.0, CounterReply(key, outcome, total, 0.001))):
            driver.end_attempt(sent, Outcome.OK, 0.0)
    return len(waiting)


@pytest.mark.parametrize("outcome", [Outcome.OVERLOADED, Outcome.TIMEOUT])
def test_a_failing_counter_is_called_less_until_it_recovers(outcome: Outcome) -> None:
    driver = GatewayDriver(replace(COUNTING, gateway_count=200))
    calls = 0
    for number in range(300):
        driver.receive_request(0.02, customer=f"c{number}", gateway_count=100)
        calls += reply(driver, outcome)
    assert 10 < calls < 100
    assert driver.gateway.counter_throttle.call_share == pytest.approx(MIN_CALL_SHARE)
    calls = 0
    for number in range(200):
        driver.receive_request(0.02, customer=f"d{number}", gateway_count=100)
        calls += reply(driver, Outcome.OK, 1.0)
    assert calls > 100


def test_an_unreachable_count_stops_only_the_calls_about_that_customer() -> None:
    driver = GatewayDriver(COUNTING)
    driver.gateway.counter_throttle.call_share = 1.0
    lost_calls = 0
    for number in range(200):  # one request per customer every 20 ms, for 4 s
        for customer in ("lost", "sound"):
            driver.receive_request(0.01, customer=customer)
            for key, call in list(driver.gateway.quota_reporter.calls.items()):
                caller = call.customer
                lost_calls += caller.customer_id == "lost"
                outcome = Outcome.CONNECT_FAILED if caller.customer_id == "lost" else Outcome.OK
                for sent in sends(driver.at(0.0, CounterReply(key, outcome, float(number), 0.001))):
                    driver.end_attempt(sent, Outcome.OK, 0.0)
    assert 3 <= lost_calls <= 7  # after 0.5 s, then once a second
    assert driver.gateway.counter_throttle.call_share == 1.0


def test_without_a_counter_the_slice_alone_decides() -> None:
    driver = GatewayDriver(COUNTING)
    driver.gateway.admission.started_at = 0.0  # a long-running process: its slice starts full
    driver.gateway.counter_throttle.call_share = 0.0
    assert spend(driver, 12) == 4


SMALL_SLICES = replace(COUNTING, gateway_count=200)


def test_the_count_decides_if_the_slice_is_below_one_request() -> None:
    for total, admitted in ((1.0, True), (9.0, False)):  # burst 8; totals include this request
        driver = GatewayDriver(SMALL_SLICES)
        driver.gateway.counter_throttle.call_share = 1.0
        # The customer's counter key has just begun.
        driver.now = 30.0 * 3 - 30.0 * counter_keys.epoch_offset(counter_keys.key_number("c"))
        assert not sends(driver.receive_request(gateway_count=100))
        answer = driver.at(
            0.001, CounterReply(counter_calls(driver)[-1].key, Outcome.OK, total, 0.001)
        )
        assert bool(sends(answer)) is admitted


@pytest.mark.parametrize(("total", "corrected"), [(-40.0, 0.0), (30.0, 8.0)])
def test_a_count_out_of_range_is_corrected_immediately(total: float, corrected: float) -> None:
    driver = GatewayDriver(SMALL_SLICES)
    driver.gateway.counter_throttle.call_share = 1.0
    driver.now = 30.0 * 3 - 30.0 * counter_keys.epoch_offset(counter_keys.key_number("c"))
    driver.receive_request(gateway_count=100)
    answer = driver.at(0.001, CounterReply(counter_calls(driver)[-1].key, Outcome.OK, total, 0.001))
    corrections = [a for a in answer if isinstance(a, AddToCounter)]
    assert len(corrections) == 1
    # The corrected count is that of a full or an empty bucket.
    assert total + corrections[0].amount == pytest.approx(corrected, abs=1.1)


def test_requests_are_admitted_optimistically_if_that_pays_under_counter_overload() -> None:
    for cost, admitted in ((0.5, True), (1.5, False)):
        driver = GatewayDriver(replace(SMALL_SLICES, plans=(replace(BASIC, over_quota_cost=cost),)))
        driver.gateway.counter_throttle.call_share = 0.0
        driver.gateway.counter_throttle.answered_at = driver.now
        assert bool(sends(driver.receive_request(gateway_count=100))) is admitted
        driver.now += 20.0  # without replies for so long the counter is down, not overloaded
        assert not sends(driver.receive_request(gateway_count=100))


def test_use_is_reported_every_quarter_second_for_any_number_of_gateways() -> None:
    driver = GatewayDriver(SMALL_SLICES)
    assert SetTimer(0.25, 0) in driver.at(0.25, TimerFired(0))


def test_a_retry_that_cannot_meet_its_latency_objective_is_rejected() -> None:
    driver = GatewayDriver()
    assert sends(driver.receive_request(time_left=4.0))
    assert sends(driver.receive_request(time_left=3.7, is_retry=True))
    # 1.5 s have passed; the objective is 1 s.
    assert not sends(driver.receive_request(time_left=2.5, is_retry=True))


def test_a_customer_far_beyond_its_quota_does_not_cause_a_call_per_request() -> None:
    driver = GatewayDriver(COUNTING)
    total = 0.0
    for _ in range(1000):
        actions = driver.receive_request(0.01)
        for sent in sends(actions):
            driver.end_attempt(sent, Outcome.OK, 0.001)
        for call in [a for a in actions if isinstance(a, AddToCounter)]:
            total += call.amount
            for sent in sends(driver.at(0.001, CounterReply(call.key, Outcome.OK, total))):
                driver.end_attempt(sent, Outcome.OK, 0.001)
    assert len(counter_calls(driver)) < 12 * BASIC.rate * 3


def test_refill_of_idle_time_is_kept_if_use_elsewhere_is_reported_late() -> None:
    estimate = QuotaEstimate(BASIC, 100.0, False)  # rate 2, burst 8
    estimate.reset(100.0, 8.0, 0.0)
    estimate.total_received(130.0, 10.0)  # 10 units over 30 s, in which 60 were refilled
    assert estimate.level(130.0) == pytest.approx(8.0)


def test_the_first_total_includes_the_units_of_the_waiting_request() -> None:
    driver = GatewayDriver(replace(COUNTING, plans=(replace(BASIC, rate=0.001, burst=1.0),)))
    driver.gateway.counter_throttle.call_share = 1.0
    driver.receive_request()
    call = counter_calls(driver)[-1]
    assert len(sends(driver.at(0.001, CounterReply(call.key, Outcome.OK, 1.0)))) == 1


@pytest.mark.parametrize(
    ("gateways", "gateway_count", "first"),
    [(1, 1, 0), (1000, 1, 999), (1000, 1000, 0), (1000, 700, 900)],
)
def test_the_count_decides_for_any_set_of_gateways(
    gateways: int, gateway_count: int, first: int
) -> None:
    driver = GatewayDriver(replace(COUNTING, gateway_count=gateways))
    driver.gateway.counter_throttle.call_share = 1.0
    assert not sends(driver.receive_request(gateway_count=gateway_count, first_gateway=first))
    assert sends(
        driver.at(0.001, CounterReply(counter_calls(driver)[-1].key, Outcome.OK, 1.0, 0.001))
    )


def test_a_superseded_request_costs_no_quota() -> None:
    """The submission is in flight elsewhere, so the client returns and is charged once."""
    plan = Plan("base", rate=0.01, burst=3.0)
    gateway = Gateway(
        Settings((RequestClass("grid-fetch", latency_objective=1.5, deadline=4.0),), (plan,)),
        seed=1,
    )
    gateway.handle(0.0, BackendsChanged(EndpointListKind.RESTORED, (Backend("s1"), Backend("s2"))))
    for number in range(20):
        sent = [
            a
            for a in gateway.handle(
                1.0, RequestReceived(str(number), "grid-fetch", "base", "c", time_left=4.0)
            )
            if isinstance(a, StartAttempt)
        ]
        assert sent, number
        gateway.handle(
            1.0, AttemptEnded(str(number), 0, sent[0].backend, Outcome.SUPERSEDED, 0.0, True)
        )
