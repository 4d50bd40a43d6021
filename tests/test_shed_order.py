"""The shed order of customers without a fleet."""

from __future__ import annotations

from collections import Counter

from ingress.policy.counter_keys import key_number
from ingress.policy.shed_order import RANK_PERIOD_S, shed_rank

NOW = 1_750_000_000.0


def test_a_rank_is_the_same_at_all_gateways_and_valid_for_a_period() -> None:
    for n in range(200):
        key = key_number(f"customer {n}")
        rank, until = shed_rank(key, NOW)
        assert 0.0 <= rank < 1.0
        assert NOW < until <= NOW + RANK_PERIOD_S
        assert shed_rank(key, until - 0.001)[0] == rank != shed_rank(key, until + 0.001)[0]


def test_no_customer_is_always_rejected_first_within_an_hour() -> None:
    keys = [key_number(f"customer {n}") for n in range(500)]
    times_first: Counter[int] = Counter()
    for minute in range(60):
        times_first.update(key for key in keys if shed_rank(key, NOW + 60 * minute)[0] < 0.2)
    assert max(times_first.values()) < 30  # the mean is 12
    assert min(times_first[key] for key in keys) > 0


def test_gateways_whose_clocks_differ_by_two_seconds_disagree_about_few_customers() -> None:
    keys = [key_number(f"customer {n}") for n in range(3000)]
    differ = sum(shed_rank(key, NOW)[0] != shed_rank(key, NOW + 2.0)[0] for key in keys)
    assert differ < 1.5 * 3000 * 2.0 / RANK_PERIOD_S
