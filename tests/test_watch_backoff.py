"""Timeouts and pauses of calls for the endpoint list, when a whole fleet calls one service."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from random import Random

import pytest

from ingress.platform.watch_backoff import MAX_CALL_TIMEOUT_S, WatchBackoff

SERVICE_TIMEOUT_S = 2.0  # longest wait of a call in the service's queue
FLEET_SIZES = (3, 40, 100)


class NoBackoff:
    """No backoff: a timeout of one second, and one call each second."""

    def __init__(self, rng: Random) -> None:
        self.failures = 0

    def record_success(self) -> None:
        self.failures = 0

    def call_timeout(self) -> float:
        return 1.0

    def record_failure(self, overloaded: bool) -> float:
        self.failures += 1
        return (0.05, 0.1, 0.2, 0.5, 1.0)[min(self.failures - 1, 4)]


def simulate_fleet(
    size: int, seed: int, create_backoff: Callable[[Random], WatchBackoff | NoBackoff]
) -> tuple[int, int, float]:
    """Simulates 30 s of a fleet whose instances all start at the same time.

    The service can answer one call of each instance within 3 s.  It completes accepted calls even
    if they were abandoned, and rejects calls that would wait longer than its own timeout.

    Returns:
        The number of instances that have the list, the number of abandoned calls that the service
        worked on, and the maximum number of calls within a second.
    """
    rng = Random(seed)
    backoffs = [create_backoff(Random(rng.random())) for _ in range(size)]
    cost = 3.0 / size
    free_at = 0.0
    due: list[tuple[float, int]] = []
    for number in range(size):
        heappush(due, (rng.uniform(0.0, 0.05), number))
    served: set[int] = set()
    wasted = 0
    calls: list[float] = []
    while due and due[0][0] < 30.0:
        now, number = heappop(due)
        calls.append(now)
        backoff = backoffs[number]
        starts_at = max(free_at, now)
        if starts_at - now > SERVICE_TIMEOUT_S:
            heappush(due, (now + SERVICE_TIMEOUT_S + backoff.record_failure(True), number))
            continue
        free_at = starts_at + cost
        if free_at - now > backoff.call_timeout():
            wasted += 1
            heappush(due, (now + backoff.call_timeout() + backoff.record_failure(False), number))
            continue
        backoff.record_success()
        served.add(number)
    return len(served), wasted, max(sum(at <= other < at + 1.0 for other in calls) for at in calls)


@pytest.mark.parametrize("size", FLEET_SIZES)
def test_a_fleet_that_starts_at_once_receives_its_list_and_wastes_no_work(size: int) -> None:
    for seed in range(20):
        served, wasted, _ = simulate_fleet(size, seed, WatchBackoff)
        assert served == size, seed
        assert wasted == 0, seed


@pytest.mark.parametrize("size", FLEET_SIZES[1:])
def test_without_backoff_the_service_works_on_abandoned_calls(size: int) -> None:
    """Shows that the test above detects a missing backoff."""
    assert all(simulate_fleet(size, seed, NoBackoff)[1] > 0 for seed in range(20))


def test_an_agent_that_rejects_calls_is_treated_as_a_shared_service() -> None:
    one = WatchBackoff(Random(1), 1.0)
    other = WatchBackoff(Random(1))
    assert one.call_timeout() < 0.5
    assert one.record_failure(False) <= 0.1
    other.record_failure(False)
    for _ in range(6):
        assert one.record_failure(True) == other.record_failure(True)
        assert one.call_timeout() == other.call_timeout()
    assert one.record_failure(False) == other.record_failure(False) > 0.1


def test_pauses_grow_with_failures_and_differ_between_instances() -> None:
    one = WatchBackoff(Random(1))
    other = WatchBackoff(Random(2))
    pauses = [(one.record_failure(True), other.record_failure(True)) for _ in range(12)]
    assert all(a != b for a, b in pauses)
    assert max(pauses[0]) < 0.5
    assert min(pauses[-1]) >= 2.0
    assert max(pauses[-1]) <= 6.0
    assert one.call_timeout() == MAX_CALL_TIMEOUT_S
    one.record_success()
    assert one.record_failure(False) <= 0.05
