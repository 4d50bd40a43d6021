"""The concurrency limiter without a gateway."""

from __future__ import annotations

import random

import pytest

from ingress.policy.concurrency_limiter import (
    MEAN_TIME_CONSTANT_S,
    MIN_LIMIT_ATTEMPTS,
    SLOW_RESPONSE_FRACTION,
    ConcurrencyLimiter,
)

START = 100.0
OBJECTIVE_S = 1.0
MIN_UTILIZATION = 0.3


def limiter_of(size: float) -> ConcurrencyLimiter:
    limiter = ConcurrencyLimiter()
    limiter.start(size)
    limiter.utilization(START)
    return limiter


def run(
    limiter: ConcurrencyLimiter, now: float, seconds: float, interval: float, latency: float
) -> float:
    """Starts an attempt per `interval` below the limit and returns the end of the last attempt."""
    in_flight: list[tuple[float, tuple[str, int]]] = []
    end = now + seconds
    count = 0
    while now < end:
        while in_flight and in_flight[0][0] <= now:
            ends_at, key = in_flight.pop(0)
            limiter.attempt_ended(ends_at, key)
            limiter.response_received(ends_at, latency, OBJECTIVE_S, MIN_UTILIZATION)
        if limiter.utilization(now) < 1.0:
            count += 1
            key = (str(count), 0)
            limiter.attempt_started(now, key, OBJECTIVE_S)
            in_flight.append((now + latency, key))
        now += interval
    for ends_at, key in in_flight:
        limiter.attempt_ended(max(now, ends_at), key)
    return max([now, *(ends_at for ends_at, _ in in_flight)])


def test_slow_responses_lower_the_limit_far_below_one_and_fast_ones_raise_it_again() -> None:
    limiter = limiter_of(8.0)
    now = run(limiter, START, 80.0, 0.05, SLOW_RESPONSE_FRACTION * 1.5)
    assert MIN_LIMIT_ATTEMPTS <= limiter.limit < 0.5
    run(limiter, now, 40.0, 0.05, 0.1)
    assert limiter.limit > 1.0


def test_many_responses_with_the_same_congestion_lower_the_limit_once() -> None:
    limiter = limiter_of(8.0)
    for n in range(8):
        limiter.attempt_started(START, (str(n), 0), OBJECTIVE_S)
    before = limiter.limit
    for n in range(8):
        limiter.attempt_ended(START + 1.0, (str(n), 0))
        limiter.response_received(START + 1.0, 0.9, OBJECTIVE_S, MIN_UTILIZATION)
    assert limiter.limit == pytest.approx(before * 0.9)


def test_the_limit_does_not_grow_while_little_of_it_is_used() -> None:
    limiter = limiter_of(8.0)
    run(limiter, START, 20.0, 2.0, 0.05)
    assert limiter.limit == 8.0


def test_the_first_slow_response_drops_the_unused_part_of_the_limit() -> None:
    limiter = limiter_of(100.0)
    limiter.attempt_started(START, ("a", 0), 10.0)
    limiter.utilization(START + 10 * MEAN_TIME_CONSTANT_S)
    limiter.decrease(START + 10 * MEAN_TIME_CONSTANT_S, 1.0)
    assert limiter.limit < 40.0


def test_attempts_without_a_response_count_for_one_latency_objective() -> None:
    limiter = limiter_of(2.0)
    for n in range(4):
        limiter.attempt_started(START, (str(n), 0), OBJECTIVE_S)
    assert limiter.utilization(START + 1.0) > 1.0
    assert limiter.utilization(START + 1.0 + 5 * MEAN_TIME_CONSTANT_S) < 0.05
    limiter.attempt_ended(START + 7.0, ("0", 0))
    assert limiter.utilization(START + 7.0) < 0.05


def test_the_limit_stays_within_its_bounds_for_random_events() -> None:
    rng = random.Random(5)
    limiter = limiter_of(3.0)
    now = START
    for n in range(20_000):
        now += rng.expovariate(20.0)
        match rng.randrange(4):
            case 0:
                limiter.attempt_started(now, (str(n), 0), OBJECTIVE_S)
            case 1:
                limiter.attempt_ended(now, (str(n - rng.randrange(9)), 0))
            case 2:
                limiter.response_received(now, rng.expovariate(2.0), OBJECTIVE_S, MIN_UTILIZATION)
            case _:
                limiter.decrease(now, rng.expovariate(1.0))
        assert limiter.limit >= MIN_LIMIT_ATTEMPTS
        assert limiter.utilization(now) >= 0.0
