"""The fleet's shed fraction, and the load reports from which it is computed."""

from __future__ import annotations

import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ingress.fleet_shedding.gossip_bridge import GossipBridge
from ingress.fleet_shedding.load_reports import RETENTION_S, LoadReport, LoadReports, decode_report
from ingress.fleet_shedding.reports import Received
from ingress.fleet_shedding.shed_fraction import (
    MAX_HEADROOM,
    MAX_REPORT_AGE_S,
    MAX_WEIGHT_RATIO,
    MIN_HEADROOM,
    MIN_REPORTS,
    IdleDetector,
    compute_fleet_load,
    max_deviation,
)
from ingress.membership.swim import SwimProtocol
from ingress.policy.concurrency_limiter import ConcurrencyLimiter

FALSE_REPORTS = [
    (1e9, 0.0, 1e9),
    (1e9, 1e9, 0.0),
    (0.0, 0.0, 1e9),
    (1e9, 0.0, 0.0),
    (1e9, 1e9, 1e9),
]


def reports(
    count: int, admitted: float, utilization: float, offered: float = 10.0
) -> list[LoadReport]:
    return [
        LoadReport(f"i{n}", 1, 1, offered, offered * admitted, utilization, 0.0)
        for n in range(count)
    ]


@pytest.mark.parametrize("count", [4, 12, 40, 200])
@pytest.mark.parametrize(
    ("admitted", "utilization"), [(1.0, 0.1), (0.9, 0.6), (0.5, 0.9), (0.2, 1.1), (0.02, 1.4)]
)
def test_no_false_report_moves_the_shed_fraction_by_more_than_the_bound(
    count: int, admitted: float, utilization: float
) -> None:
    honest = compute_fleet_load(reports(count, admitted, utilization), count)
    assert honest is not None
    if utilization <= 0.5:
        headroom = MAX_HEADROOM
    elif utilization >= 0.9:
        headroom = MIN_HEADROOM
    else:
        headroom = MAX_HEADROOM - (utilization - 0.5) / 0.4 * (MAX_HEADROOM - MIN_HEADROOM)
    for values in FALSE_REPORTS:
        misled = compute_fleet_load(
            [*reports(count - 1, admitted, utilization), LoadReport("faulty", 1, 1, *values, 0.0)],
            count,
        )
        assert misled is not None, values
        deviation = abs(misled.shed_fraction - honest.shed_fraction)
        assert deviation <= max_deviation(count, headroom) + 1e-9, (values, misled)
    assert max_deviation(12, MIN_HEADROOM) < 0.22
    assert max_deviation(200, MIN_HEADROOM) < 0.015


def test_one_false_report_sheds_all_requests_without_bounded_weights(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("ingress.fleet_shedding.shed_fraction.bounded_weights", list)
    misled = compute_fleet_load(
        [*reports(11, 1.0, 0.1), LoadReport("faulty", 1, 1, *FALSE_REPORTS[0], 0.0)], 12
    )
    assert misled is not None
    assert misled.shed_fraction > 0.99


def test_an_instance_with_ten_times_the_mean_load_has_at_most_twice_the_mean_weight() -> None:
    equal = reports(11, 0.5, 0.9)
    hot = LoadReport("hot", 1, 1, 100.0, 50.0, 0.9, 0.0)
    shed_fractions = [
        load.shed_fraction
        for rows in (equal, [*equal, hot])
        if (load := compute_fleet_load(rows, 12)) is not None
    ]
    assert len(shed_fractions) == 2
    assert shed_fractions[0] == pytest.approx(shed_fractions[1])
    assert MAX_WEIGHT_RATIO == 2.0


@pytest.mark.parametrize(
    ("report_count", "members", "is_known"),
    [(2, 2, False), (MIN_REPORTS, 3, True), (3, 11, False), (4, 12, True), (0, 1, False)],
)
def test_too_few_reports_give_no_fleet_load(
    report_count: int, members: int, is_known: bool
) -> None:
    assert (compute_fleet_load(reports(report_count, 0.5, 0.9), members) is not None) is is_known
    assert compute_fleet_load(reports(12, 0.5, 0.9, offered=0.0), 12) is None


def test_the_shed_fraction_falls_to_zero_once_the_limiters_are_empty() -> None:
    """After an overload, the admitted load may triple in each round of reports."""
    admitted = 0.05
    rounds = 0
    while (
        load := compute_fleet_load(reports(12, admitted, 0.3), 12)
    ) is not None and load.shed_fraction > 0.0:
        admitted = 1.0 - load.shed_fraction
        rounds += 1
    assert rounds <= 3


def test_idle_limiters_count_as_idle_until_they_are_in_use_again() -> None:
    detector = IdleDetector()
    rows = [
        (0.0, 0.9, False),
        (1.0, 0.0, False),
        (2.9, 0.0, False),
        (3.0, 0.0, True),
        (3.1, 0.4, True),
        (9.0, 0.4, True),
        (9.1, 0.5, False),
        (9.2, 0.04, False),
        (9.3, 0.5, False),
        (11.3, 0.0, False),
        (12.0, 0.3, False),
        (13.3, 0.3, True),
    ]
    assert [detector.update(now, utilization) for now, utilization, _ in rows] == [
        is_idle for _, _, is_idle in rows
    ]


def test_a_fleet_that_admitted_no_load_sheds_none_once_its_limiters_were_idle() -> None:
    """The fraction depends on the admitted load: a fleet that admits none would shed forever."""
    members = SwimProtocol("i0", ("127.0.0.1", 1), 1, [], random.Random(1))
    members.reachable_names = lambda: [f"i{n}" for n in range(1, 12)]  # type: ignore[method-assign]
    bridge = GossipBridge(members, ConcurrencyLimiter(), {}, "a", 0.0)
    for n in range(120):
        now = n / 10
        bridge.load_reports.reports = {
            r.origin: Received(r, now) for r in reports(12, 0.0, 1.0 if now < 3.0 else 0.0)
        }
        bridge.tick(now, n * 10, 0)
        assert bridge.last_load is not None
        assert bridge.last_load.shed_fraction == (1.0 if now < 5.0 else 0.0), now


@settings(max_examples=100, deadline=None)
@given(
    st.lists(
        st.tuples(st.integers(0, 5), st.integers(1, 3), st.integers(1, 6)), min_size=1, max_size=40
    ),
    st.randoms(use_true_random=False),
)
def test_load_reports_merge_to_the_same_state_in_any_order_and_if_duplicated(
    rows: list[tuple[int, int, int]], rng: random.Random
) -> None:
    payloads = [
        msgspec.msgpack.encode(
            LoadReport(f"i{n}", incarnation, number, 1.0, 1.0, incarnation + number / 10, 0.0)
        )
        for n, incarnation, number in rows
    ]
    one, other = LoadReports("me", 1), LoadReports("you", 1)
    one.merge(5.0, payloads)
    shuffled = payloads + payloads
    rng.shuffle(shuffled)
    for row in shuffled:
        other.merge(5.0, [row])
    newest = {
        name: (x.report.incarnation, x.report.sequence_number) for name, x in one.reports.items()
    }
    assert newest == {
        name: (x.report.incarnation, x.report.sequence_number) for name, x in other.reports.items()
    }
    assert newest == {
        f"i{n}": max((incarnation, number) for k, incarnation, number in rows if k == n)
        for n, _, _ in rows
    }


def test_report_ages_add_up_over_hops_and_old_reports_are_dropped() -> None:
    """The clocks differ by an hour; clocks of two instances are never compared."""
    first, second, third = LoadReports("a", 1), LoadReports("b", 1), LoadReports("c", 1)
    first.record_own(100.0, 5.0, 4.0, 0.5)
    second.merge(3700.0, first.encode_newest(100.4, 24))
    third.merge(9.0, second.encode_newest(3700.7, 24))
    assert [r.origin for r in third.fresh(9.0, 1.2)] == ["a"]
    assert third.fresh(9.0, 1.0) == []
    assert third.fresh(9.0 + MAX_REPORT_AGE_S, MAX_REPORT_AGE_S) == []
    third.merge(9.0, second.encode_newest(3700.7 + RETENTION_S, 24))
    assert third.encode_newest(9.0 + RETENTION_S, 24) == []


@pytest.mark.parametrize(
    "bad",
    [
        b"",
        b"\xc1",
        msgspec.msgpack.encode(["a", 1, 1, float("nan"), 0.0, 0.0, 0.0]),
        msgspec.msgpack.encode(["a", 1, 1, -1.0, 0.0, 0.0, 0.0]),
        msgspec.msgpack.encode(["", 1, 1, 1.0, 0.0, 0.0, 0.0]),
        msgspec.msgpack.encode(["a" * 65, 1, 1, 1.0, 0.0, 0.0, 0.0]),
        msgspec.msgpack.encode([1] * 7),
        msgspec.msgpack.encode(["a", 1 << 63, 1, 1.0, 0.0, 0.0, 0.0]),
        msgspec.msgpack.encode(["a", 1, -1, 1.0, 0.0, 0.0, 0.0]),
    ],
)
def test_invalid_reports_are_dropped_and_counted(bad: bytes) -> None:
    load_reports = LoadReports("me", 1)
    load_reports.merge(1.0, [bad])
    assert decode_report(bad) is None
    assert load_reports.rejected == 1
    assert not load_reports.reports


def test_a_report_by_another_instance_about_this_one_is_ignored() -> None:
    load_reports = LoadReports("me", 7)
    load_reports.record_own(1.0, 5.0, 5.0, 0.1)
    load_reports.merge(1.0, [msgspec.msgpack.encode(LoadReport("me", 99, 99, 1.0, 0.0, 9.0, 0.0))])
    assert load_reports.reports["me"].report.incarnation == 7
