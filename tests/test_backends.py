"""Selection of backends and the load sent to each.  Each test guards against a failure seen."""

from __future__ import annotations

from dataclasses import replace

import pytest

from ingress.policy import outlier_detection
from ingress.policy.actions import StartAttempt
from ingress.policy.backend_state import BUSY_LATENCY_SHARE, BackendState
from ingress.policy.events import (
    AttemptEnded,
    Backend,
    BackendsChanged,
    EndpointListKind,
    Outcome,
    RequestReceived,
)
from ingress.policy.gateway import Gateway

from .conftest import BASIC, FLEET, SETTINGS, GatewayDriver, sends

AMPLE_QUOTA = replace(SETTINGS, plans=(replace(BASIC, rate=1e6, burst=1e6),))


def complete_requests(driver: GatewayDriver, latency: float, rounds: int = 200) -> dict[str, int]:
    """Sends `rounds` requests, each answered after `latency`, and returns the count per backend."""
    attempts_by_backend: dict[str, int] = {}
    for _ in range(rounds):
        for sent in sends(driver.receive_request(0.01)):
            attempts_by_backend[sent.backend] = attempts_by_backend.get(sent.backend, 0) + 1
            driver.end_attempt(sent, Outcome.OK, latency)
    return attempts_by_backend


@pytest.mark.parametrize(
    ("gateways", "started", "least", "most"),
    [
        (2, 0.0, 12, 40),
        (2, 89.9, 12, 40),  # warm: 24 from each of two gateways, half as many for a moment
        (2, 90.1, 0, 4),
        (2, 99.9, 0, 4),  # cold: at most one
        (40, 0.0, 1, 4),
    ],
)  # of many gateways, each sends one attempt, since together they send many
def test_no_backend_is_overloaded_in_the_first_seconds(
    gateways: int, started: float, least: int, most: int
) -> None:
    driver = GatewayDriver(
        replace(AMPLE_QUOTA, gateway_count=gateways),
        [replace(b, started_at=started) for b in FLEET],
    )
    for _ in range(100):
        driver.receive_request(0.0)
    assert least <= len(sends(driver.actions)) <= most
    for sent in sends(list(driver.actions)):
        driver.end_attempt(sent, Outcome.OK, 0.01)
    if not started:
        assert (
            len(sends([a for _ in range(100) for a in driver.receive_request(0.0)]))
            > len(FLEET) / 2
        )


def test_warm_backends_serve_a_first_burst_without_rejections() -> None:
    """16 clients, each sending its next request after a response: 60 requests, none rejected."""
    driver = GatewayDriver(replace(AMPLE_QUOTA, gateway_count=1))
    in_flight_attempts = [sent for _ in range(16) for sent in sends(driver.receive_request(0.0))]
    for _ in range(44):
        driver.end_attempt(in_flight_attempts.pop(0), Outcome.OK, 0.005)
        in_flight_attempts += sends(driver.receive_request(0.0))
    assert len(in_flight_attempts) == 16
    assert len(sends(driver.actions)) == 60


def test_backends_that_refuse_connections_stay_ejected_even_if_most_do() -> None:
    driver = GatewayDriver(AMPLE_QUOTA)
    complete_requests(driver, 0.05)
    for target in list(driver.gateway.load_balancer.backends.values())[:3]:
        outlier_detection.record_failure(target, driver.now, Outcome.CONNECT_FAILED, 1.0)
    assert set(complete_requests(driver, 0.001, 20)) == {"b3"}


def test_errors_at_all_backends_do_not_eject_them() -> None:
    driver = GatewayDriver(AMPLE_QUOTA)
    complete_requests(driver, 0.05)
    for target in driver.gateway.load_balancer.backends.values():
        for _ in range(3):
            outlier_detection.record_failure(target, driver.now, Outcome.ERROR, 1.0)
    assert len(complete_requests(driver, 0.05, 20)) > 1


def test_one_error_does_not_eject() -> None:
    target = BackendState(FLEET[0], 100.0)
    outlier_detection.record_failure(target, 100.0, Outcome.ERROR, 1.0)
    assert not outlier_detection.is_ejected(target, 100.0)
    outlier_detection.record_failure(target, 100.0, Outcome.CONNECT_FAILED, 1.0)
    assert outlier_detection.is_ejected(target, 100.0)
    assert not outlier_detection.is_ejected(target, 120.0)


def test_a_silent_backend_receives_no_new_attempts() -> None:
    driver = GatewayDriver(AMPLE_QUOTA)
    complete_requests(driver, 0.05)
    silent = sends(driver.receive_request(0.0))[0].backend
    driver.now += 0.5
    assert silent not in complete_requests(driver, 0.01, 40)


def test_a_slow_backend_receives_fewer_attempts() -> None:
    driver = GatewayDriver(AMPLE_QUOTA)
    attempts_by_backend: dict[str, int] = {}
    for _ in range(300):
        for sent in sends(driver.receive_request(0.02)):
            attempts_by_backend[sent.backend] = attempts_by_backend.get(sent.backend, 0) + 1
            driver.end_attempt(sent, Outcome.OK, 0.3 if sent.backend == "b1" else 0.05)
    assert attempts_by_backend["b1"] < min(attempts_by_backend[b] for b in ("b0", "b2", "b3")) / 2


def test_unanswered_attempts_shed_load_before_the_first_response() -> None:
    driver = GatewayDriver(
        replace(SETTINGS, gateway_count=300, plans=(replace(BASIC, rate=1e4, burst=1e5),)),
        (Backend(f"b{n}") for n in range(80)),
    )
    sent = sum(len(sends(driver.receive_request(0.1, customer=f"c{n}"))) for n in range(100))
    assert sent < 60  # unanswered attempts show overload, though no backend has two
    driver.now += 30.0
    assert sends(driver.receive_request())  # attempts resume


def test_a_few_silent_backends_do_not_cause_load_shedding() -> None:
    driver = GatewayDriver(
        replace(SETTINGS, gateway_count=300, plans=(replace(BASIC, rate=1e4, burst=1e5),)),
        (Backend(f"b{n}") for n in range(80)),
    )
    forwarded = 0
    for _ in range(200):
        for sent in sends(driver.receive_request(0.2)):
            forwarded += 1
            if int(sent.backend[1:]) >= 8:
                driver.end_attempt(sent, Outcome.OK, 0.1)
    assert forwarded > 180


def test_one_unanswered_attempt_is_no_overload_of_a_backend_that_answers_others() -> None:
    driver = GatewayDriver(AMPLE_QUOTA, FLEET[:1])
    [target] = driver.gateway.load_balancer.backends.values()
    complete_requests(driver, 0.05, 30)
    [unanswered] = sends(driver.receive_request())
    before = driver.gateway.load_balancer.concurrency.limit
    for _ in range(20):  # longer than any latency objective
        [sent] = sends(driver.receive_request(0.2))
        driver.end_attempt(sent, Outcome.OK, 0.05)
    assert driver.gateway.load_shedder.pressure(driver.now) < 0
    driver.end_attempt(unanswered, Outcome.TIMEOUT, 0.0)
    assert driver.gateway.load_balancer.concurrency.limit >= before
    assert target.latency_share < BUSY_LATENCY_SHARE


def test_an_attempt_far_beyond_the_mean_latency_is_abandoned_and_retried_elsewhere() -> None:
    for name, retried in (("read", True), ("order", True), ("pay", False)):
        driver = GatewayDriver(AMPLE_QUOTA)
        complete_requests(driver, 0.05, 60)
        driver.gateway.retry_policy.budget.level = 5.0
        [unanswered] = sends(driver.receive_request(request_class=name))
        # A request of an unsafe class has no other attempt to wait for.
        assert (unanswered.timeout < 1.1) is retried
        actions = driver.end_attempt(unanswered, Outcome.TIMEOUT, unanswered.timeout)
        assert [s.backend != unanswered.backend for s in sends(actions)] == [True] * retried


def test_a_timeout_without_a_response_since_lowers_the_concurrency_limit() -> None:
    driver = GatewayDriver(AMPLE_QUOTA, FLEET[:1])
    [target] = driver.gateway.load_balancer.backends.values()
    complete_requests(driver, 0.05, 30)
    [unanswered] = sends(driver.receive_request())
    before = driver.gateway.load_balancer.concurrency.limit
    driver.end_attempt(unanswered, Outcome.TIMEOUT, 4.0)
    assert driver.gateway.load_balancer.concurrency.limit < before
    assert target.latency_share > BUSY_LATENCY_SHARE


def test_idle_backends_are_chosen_by_weight_and_not_only_the_largest() -> None:
    fleet = [Backend(f"b{n}", weight=2.0 if n < 10 else 1.0) for n in range(40)]
    chosen = []
    for seed in range(400):
        gateway = Gateway(replace(SETTINGS, gateway_count=400, gateway_index=seed), seed)
        gateway.handle(1.0, BackendsChanged(EndpointListKind.RESTORED, tuple(fleet)))
        actions = gateway.handle(1.1, RequestReceived("r", "read", "basic", "c", 4.0))
        chosen += [int(s.backend[1:]) for s in sends(actions)]
    assert len(set(chosen)) == len(fleet)
    assert 0.3 < sum(n < 10 for n in chosen) / len(chosen) < 0.5  # 20 of 50 by weight


@pytest.mark.parametrize(
    ("latency_share", "overloaded"),
    [(BUSY_LATENCY_SHARE / 2, False), (BUSY_LATENCY_SHARE * 2, True)],
)
def test_a_rejection_by_a_fast_backend_is_no_sign_of_overload(
    latency_share: float, overloaded: bool
) -> None:
    driver = GatewayDriver(AMPLE_QUOTA, FLEET[:1])
    [target] = driver.gateway.load_balancer.backends.values()
    [sent] = sends(driver.receive_request())
    before = driver.gateway.load_balancer.concurrency.limit
    target.latency_share = latency_share
    driver.end_attempt(sent, Outcome.OVERLOADED, 4.0)
    assert outlier_detection.is_ejected(target, driver.now) is overloaded
    assert (driver.gateway.load_balancer.concurrency.limit < before) is overloaded


def test_a_zone_without_backends_does_not_cause_rejections() -> None:
    driver = GatewayDriver(replace(AMPLE_QUOTA, zone="c"), fleet=(Backend("x", "a"),))
    assert sends(driver.receive_request())


def test_each_gateway_uses_a_stable_subset_and_all_subsets_cover_the_fleet_evenly() -> None:
    fleet = tuple(Backend(f"10.0.0.{n}:9000", zone="ab"[n % 2]) for n in range(60))
    gateways_per_backend = dict.fromkeys((b.id for b in fleet), 0)
    for number in range(300):
        gateway = Gateway(replace(SETTINGS, gateway_count=300, gateway_index=number), 1)
        gateway.handle(1.0, BackendsChanged(EndpointListKind.RESTORED, fleet))
        subset = [s.backend.id for s in gateway.load_balancer.subset]
        assert len(subset) == 12
        gateway.handle(2.0, BackendsChanged(EndpointListKind.COMPLETE, fleet[1:]))
        assert (
            len({s.backend.id for s in gateway.load_balancer.subset} - set(subset)) <= 1
        )  # one is removed, at most one is added
        for name in subset:
            gateways_per_backend[name] += 1
    assert min(gateways_per_backend.values()) > 30  # the mean is 60
    assert max(gateways_per_backend.values()) < 90


def test_other_backends_are_used_while_the_subset_is_ejected() -> None:
    driver = GatewayDriver(AMPLE_QUOTA, (Backend(f"b{n}") for n in range(40)))
    subset = list(driver.gateway.load_balancer.subset)
    for target in subset:
        outlier_detection.record_failure(target, driver.now, Outcome.CONNECT_FAILED, 60.0)
        target.in_flight["other", 0] = driver.now  # the attempt that ends the ejection
    sent = sends(driver.receive_request(0.01))
    assert sent
    assert sent[0].backend not in {s.backend.id for s in subset}


def test_a_repeated_request_id_leaves_no_attempt_in_flight() -> None:
    """The first attempt is still in flight when its ID is sent again."""
    driver = GatewayDriver(AMPLE_QUOTA)
    [first] = sends(driver.receive_request(request_id="twice"))
    [second] = sends(driver.receive_request(request_id="twice"))
    limiter = driver.gateway.load_balancer.concurrency
    assert len(limiter.in_flight) == 1
    driver.end_attempt(second)
    driver.end_attempt(first)
    assert not limiter.in_flight


def test_a_backend_that_rejects_everything_is_ejected_after_the_second_rejection() -> None:
    """Guards against load on a draining backend before an endpoint list reports the drain.

    Such a backend answers fast, looks idle and would attract all load.
    """
    driver = GatewayDriver(AMPLE_QUOTA)
    complete_requests(driver, 0.05)
    draining = "b1"
    rejections = 0
    for _ in range(60):
        for sent in sends(driver.receive_request(0.005)):
            rejected = sent.backend == draining
            rejections += rejected
            actions = driver.end_attempt(
                sent, Outcome.OVERLOADED if rejected else Outcome.OK, 0.001
            )
            for second in sends(actions):
                rejections += second.backend == draining
                driver.end_attempt(second, Outcome.OK, 0.001, attempt=1)
    # In 0.3 s; the next attempt follows after half the longest latency objective.
    assert rejections == 2


@pytest.mark.parametrize(
    ("outcome", "retried"),
    [
        (Outcome.CONNECT_FAILED, True),
        (Outcome.OVERLOADED, False),
        (Outcome.TIMEOUT, False),
        (Outcome.ERROR, False),
    ],
)
def test_a_request_that_reached_no_backend_is_retried_without_retry_budget(
    outcome: Outcome, retried: bool
) -> None:
    driver = GatewayDriver(AMPLE_QUOTA)
    driver.gateway.retry_policy.budget.level = 0.0
    (sent,) = sends(driver.receive_request(0.01))
    driver.gateway.retry_policy.budget.level = 0.0
    retries = sends(driver.end_attempt(sent, outcome, 0.01))
    assert len(retries) == retried
    assert all(second.backend != sent.backend for second in retries)


def test_the_end_of_an_overload_is_noticed_while_nearly_all_load_is_shed() -> None:
    driver = GatewayDriver(replace(AMPLE_QUOTA, gateway_count=200))
    load_balancer = driver.gateway.load_balancer
    in_flight_attempts: list[tuple[float, StartAttempt]] = []
    response_time = 2.0

    def run_for(seconds: float) -> list[int]:
        """Sends 20 requests per second and returns the number admitted in each second."""
        admitted = []
        for _ in range(int(seconds)):
            admitted.append(0)
            for _ in range(20):
                while in_flight_attempts and in_flight_attempts[0][0] <= driver.now:
                    _, send = in_flight_attempts.pop(0)
                    driver.at(
                        0.0,
                        AttemptEnded(
                            send.request_id, 0, send.backend, Outcome.OK, response_time, True
                        ),
                    )
                for send in sends(driver.receive_request(0.05, customer=f"c{driver.count}")):
                    admitted[-1] += 1
                    in_flight_attempts.append((driver.now + response_time, send))
        return admitted

    during = run_for(20.0)
    assert load_balancer.concurrency.limit < 1.0, during
    assert sum(during[-5:]) < 10, during
    response_time = 0.05
    in_flight_attempts.clear()
    for key in list(driver.gateway.dispatcher.attempts):
        driver.at(
            0.0,
            AttemptEnded(
                *key,
                driver.gateway.dispatcher.attempts[key].target.backend.id,
                Outcome.OK,
                0.05,
                True,
            ),
        )
    after = run_for(12.0)
    assert sum(after[-3:]) > 50, after
