"""Consistency checks: the state of the counter derived from the growth of their totals."""

from __future__ import annotations

import pytest

from ingress.policy.counter_consistency import (
    CALL_PERIOD_S,
    CHECK_COUNT,
    CounterConsistency,
    CounterState,
)

START = 100.0
FIRST_TOTAL = 40.0


def consistency_after(gateways: int, growths: list[float]) -> CounterConsistency:
    """Returns the checks after totals with the given growths, one check after the other.

    Each growth is the sum that all gateways added to the check that is due; a negative growth
    represents an empty counter.
    """
    consistency = CounterConsistency(gateways)
    totals: dict[int, float] = {}
    now = START
    for growth in growths:
        now += consistency.period
        for key in consistency.due_calls(now)[0]:
            check = consistency.check_of(key)
            assert check is not None
            total = totals.get(check.key_number, FIRST_TOTAL) + growth if growth >= 0 else 0.0
            totals[check.key_number] = total
            check.total_received(now + 0.001, total, gateways)
    return consistency


def test_a_counter_to_which_all_gateways_add_is_consistent() -> None:
    consistency = consistency_after(3, [3.0] * 16)
    assert consistency.reachable_share(200.0) == 1.0
    assert {check.state for check in consistency.checks} == {CounterState.CONSISTENT}


def test_a_partition_is_detected_immediately_without_a_minimum_duration() -> None:
    consistency = consistency_after(3, [3.0] * 16 + [1.0] * CHECK_COUNT)
    assert consistency.reachable_share(110.0) == pytest.approx(1 / 3)
    assert consistency.reachable_share(110.0, 3.0) == 1.0  # it may be a restart


def test_a_lasting_partition_is_detected_with_a_minimum_duration() -> None:
    consistency = consistency_after(3, [3.0] * 16 + [2.0] * 8)
    assert consistency.reachable_share(200.0, 3.0) == pytest.approx(2 / 3)


def test_additions_that_arrive_out_of_order_are_not_a_partition() -> None:
    crossed = consistency_after(3, [3.0] * 8 + [2.0, 3.0, 4.0, 3.0])
    assert crossed.reachable_share(200.0, 3.0) == 1.0
    assert consistency_after(3, [3.0] * 8 + [2.0]).reachable_share(104.0) == 1.0


def test_a_total_without_the_own_addition_indicates_a_replacement() -> None:
    consistency = consistency_after(3, [3.0] * 4 + [-1.0] + [3.0] * 4)
    assert sum(check.replacements for check in consistency.checks) == 1
    assert 102.0 < consistency.replaced_at() < 103.0


def test_gateways_of_a_large_fleet_call_less_often() -> None:
    assert CounterConsistency(2).period == CALL_PERIOD_S
    assert 1000 / CounterConsistency(1000).period <= 24.1  # calls per second of all gateways


def test_a_late_call_does_not_delay_the_next_calls() -> None:
    consistency = CounterConsistency(3)
    assert consistency.due_calls(START)[1] == pytest.approx(CALL_PERIOD_S)
    late = START + CALL_PERIOD_S + 0.1
    assert consistency.due_calls(late)[1] == pytest.approx(CALL_PERIOD_S - 0.1)
    # Calls missed during a pause are not made up for.
    assert consistency.due_calls(200.0)[1] == pytest.approx(CALL_PERIOD_S)


def test_growth_across_a_call_without_a_reply_is_ignored() -> None:
    consistency = consistency_after(3, [3.0] * 8)
    check = consistency.checks[0]
    check.begin_call(110.0)
    check.call_failed(slow=True)
    assert check.state is CounterState.SLOW
    check.begin_call(111.0)
    check.total_received(111.0, 500.0, 3)
    assert consistency.reachable_share(111.0) == 1.0
    assert check.state is CounterState.SLOW
