"""Tests of the placement of idempotent requests on backends with several memories of keys."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest
from hypothesis import settings as profile
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from ingress.core.calls import Call
from ingress.core.ports import Attempt, PlacementConstraint
from ingress.idempotency.in_doubt import InDoubtTable
from ingress.idempotency.key_affinity import (
    ANY_CELL,
    MAX_BACKENDS,
    KeyAffinity,
    Period,
    ring_position,
)
from ingress.idempotency.placement import Placement
from ingress.idempotency.timeline import MAX_CHANGES, Timeline
from ingress.policy.events import Backend, Outcome, Readiness

WINDOW_S, SETTLE_S = 4.0, 1.0
LIST_SKEW_S = SETTLE_S / 2  # within which all gateways receive a change
OLD, NEW = 1, 2


def backend(
    n: int, cell: int, started: float = 0.0, state: Readiness = Readiness.READY
) -> tuple[str, Backend]:
    return f"s{n}", Backend(f"s{n}#{cell}", "a", "m", cell, state, 1.0, started)


def call(key: int, is_retry: bool = False, name: bytes = b"r") -> Call:
    return Call(name, "0" * 16, "order", "basic", 2.0, 1.0, 1, 0, is_retry, True, f"{key:016x}")


def fleet(old: int, new: int) -> list[tuple[str, Backend]]:
    return [backend(n, OLD if n < old else NEW) for n in range(old + new)]


def test_all_gateways_derive_the_same_homes_in_proportion_to_the_backends() -> None:
    first, second = KeyAffinity(SETTLE_S), KeyAffinity(SETTLE_S)
    first.endpoints_changed(fleet(6, 3), True, 0.0)
    for entry in reversed(fleet(6, 3)):  # in reverse order, one by one
        second.endpoints_changed([entry], False, 0.0)
    homes = [first.home_cell(ring_position(str(n)), 1.0, False) for n in range(4000)]
    assert homes == [second.home_cell(ring_position(str(n)), 1.0, False) for n in range(4000)]
    assert 0.2 < Counter(homes)[NEW] / 4000 < 0.47


def test_a_new_generation_takes_effect_at_its_time_and_moves_only_its_own_submissions() -> None:
    affinity = KeyAffinity(SETTLE_S)
    affinity.endpoints_changed(fleet(9, 0), True, 0.0)
    affinity.endpoints_changed([backend(4, OLD, state=Readiness.DRAINING)], False, 9.0)
    affinity.endpoints_changed([backend(4, OLD, state=Readiness.REMOVED)], False, 9.5)
    # The time at which this gateway receives the change; others receive it at other times.
    affinity.endpoints_changed([backend(4, NEW, started=10.0)], False, 10.4)
    points = [ring_position(str(n)) for n in range(2000)]
    assert {affinity.home_cell(p, 10.99, False) for p in points} == {OLD}
    moved_count = sum(affinity.home_cell(p, 11.0, False) == NEW for p in points)
    assert 0.04 < moved_count / 2000 < 0.2


def test_a_home_without_ready_backends_is_skipped_and_its_retries_are_rejected() -> None:
    placement = Placement(WINDOW_S, SETTLE_S)
    placement.endpoints_changed(fleet(1, 3), True, 0.0)
    key = next(n for n in range(99) if placement.admit(call(n), 1.0).cell == OLD)
    placement.endpoints_changed([backend(0, OLD, state=Readiness.DRAINING)], False, 5.0)
    assert placement.admit(call(key), 6.0) == PlacementConstraint(NEW)
    # The first attempt of a marked retry may have run in the old cell, even if sent by a gateway
    # that received the drain later. The retry is rejected until that cell has forgotten its key.
    constraint = placement.admit(call(key, True), 6.0)
    assert constraint.cell == 0
    assert constraint.retry_after == pytest.approx(3.0 + LIST_SKEW_S)
    assert placement.admit(call(key, True), 9.5).cell == 0
    assert placement.admit(call(key, True), 10.1) == PlacementConstraint()
    assert placement.counts["unsure"] == 2
    assert placement.counts["moved-home"] == 1


def test_a_newly_started_gateway_rejects_retries_until_its_history_covers_a_window() -> None:
    """Guards against a retry placed by a gateway without a record of recently removed backends."""
    placement = Placement(WINDOW_S, SETTLE_S)
    placement.endpoints_changed(
        [backend(0, OLD, state=Readiness.DRAINING), *fleet(1, 3)[1:]], True, 100.0
    )
    key = next(
        n
        for n in range(99)
        if placement.key_affinity.home_cell(
            ring_position("/".join((call(n).customer, "order", call(n).idempotency_key))),
            100.0,
            False,
        )
        == OLD
    )
    # Other gateways keep a removed backend for at most twice the list skew.
    known_at = 100.0 + 2 * LIST_SKEW_S + WINDOW_S
    assert placement.admit(call(key, True), 101.0).retry_after == pytest.approx(known_at - 101.0)
    placement.endpoints_changed([backend(0, OLD, state=Readiness.REMOVED)], False, 102.0)
    assert placement.admit(call(key, True), 103.9).retry_after > 0
    assert placement.admit(call(key, True), known_at - 0.1).retry_after > 0
    assert placement.admit(call(key, True), known_at + 0.1) == PlacementConstraint()


def test_a_marked_retry_is_rejected_for_a_window_after_its_home_changes() -> None:
    placement = Placement(WINDOW_S, SETTLE_S)
    placement.endpoints_changed(fleet(4, 0), True, 0.0)
    placement.endpoints_changed([backend(0, NEW, started=9.0)], False, 9.1)
    key = next(n for n in range(999) if placement.admit(call(n), 10.5).cell == NEW)
    assert placement.admit(call(key, True), 10.5).retry_after > 0
    assert placement.admit(call(key, True), 10.5 + WINDOW_S) == PlacementConstraint(NEW)


def test_placement_is_unconstrained_once_the_removed_cell_has_forgotten_its_keys() -> None:
    placement = Placement(WINDOW_S, SETTLE_S)
    placement.endpoints_changed(fleet(1, 2), True, 0.0)
    placement.endpoints_changed([backend(0, OLD, state=Readiness.REMOVED)], False, 5.0)
    assert all(placement.admit(call(n), 8.9).cell == NEW for n in range(20))
    # Keys sent there by a gateway that received the change later are forgotten later.
    assert all(placement.admit(call(n), 9.9).cell == NEW for n in range(20))
    assert all(placement.admit(call(n), 10.1) == PlacementConstraint() for n in range(20))


ROUNDED_TIMES = [
    now for now in (100.0 + n / 997 for n in range(60000)) if now + WINDOW_S - now > WINDOW_S
][:10]


@pytest.mark.parametrize("now", ROUNDED_TIMES)
def test_retry_after_never_exceeds_the_window_despite_clock_rounding(now: float) -> None:
    placement = Placement(WINDOW_S, SETTLE_S)
    placement.endpoints_changed(fleet(1, 3), True, 50.0)
    placement.endpoints_changed([backend(0, OLD, state=Readiness.DRAINING)], False, now)
    waits = [placement.admit(call(n, True), now).retry_after for n in range(30)]
    assert max(waits) == pytest.approx(WINDOW_S)
    assert max(waits) <= WINDOW_S


def test_a_fleet_with_one_cell_has_no_placement_constraints() -> None:
    placement = Placement(WINDOW_S, SETTLE_S)
    placement.endpoints_changed(fleet(3, 0), True, 0.0)
    assert all(placement.admit(call(n), 1.0) == PlacementConstraint() for n in range(50))
    assert not placement.counts


def test_the_in_doubt_table_is_bounded_and_counts_evictions() -> None:
    table = InDoubtTable(WINDOW_S, 100)
    for n in range(250):
        table.record_attempt(("c", "o", str(n)), OLD, 0.0, "r")
    assert len(table.entries) == 100
    assert table.evicted == 150
    assert table.cell_of(("c", "o", "249"), 3.9) == OLD
    assert not table.cell_of(("c", "o", "0"), 0.1)
    table.record_attempt(("c", "o", "x"), OLD, WINDOW_S + 0.1, "r")
    assert len(table.entries) == 1  # recording an attempt removes expired entries


def test_an_oversized_endpoint_list_is_truncated() -> None:
    affinity = KeyAffinity(SETTLE_S)
    affinity.endpoints_changed([backend(n, OLD) for n in range(MAX_BACKENDS + 50)], True, 0.0)
    assert len(affinity.histories) == MAX_BACKENDS
    assert len(affinity.ring) <= 100 * 64 + MAX_BACKENDS


class PlacementMachine(RuleBasedStateMachine):
    """Drawn endpoint lists, attempts and outcomes at one gateway.

    A submission that may have run in a cell is never sent to another cell within the window, unless
    there is proof that it did not run. No constraint lasts longer than the window.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.placement = Placement(WINDOW_S, SETTLE_S)
        self.attempts = 0
        self.fleet = {f"s{n}": OLD for n in range(4)}
        self.placement.endpoints_changed([backend(n, OLD) for n in range(4)], True, self.now)
        # Time and cell of each attempt that may have run, by key.
        self.may_have_run: dict[int, list[tuple[float, int]]] = {}
        self.in_flight: list[tuple[Attempt, int, int]] = []

    @rule(by=st.floats(0.01, 3.0))
    def time_passes(self, by: float) -> None:
        self.now += by

    @rule(n=st.integers(0, 3), state=st.sampled_from(Readiness), other=st.booleans())
    def a_backend_changes(self, n: int, state: Readiness, other: bool) -> None:
        cell = self.fleet[f"s{n}"]
        if other:
            self.placement.endpoints_changed(
                [backend(n, cell, state=Readiness.REMOVED)], False, self.now
            )
            cell = self.fleet[f"s{n}"] = OLD + NEW - cell
        self.placement.endpoints_changed([backend(n, cell, self.now, state)], False, self.now)

    @rule(key=st.integers(0, 5), is_retry=st.booleans(), n=st.integers(0, 3))
    def a_request_arrives(self, key: int, is_retry: bool, n: int) -> None:
        constraint = self.placement.admit(call(key, is_retry), self.now)
        cells_in_doubt = [
            cell for at, cell in self.may_have_run.get(key, ()) if self.now < at + WINDOW_S
        ]
        if cells_in_doubt:
            assert constraint.cell in cells_in_doubt
            assert not constraint.retry_after
        assert 0 <= constraint.retry_after <= WINDOW_S
        cell = self.fleet[f"s{n}"]
        if (
            constraint.retry_after
            or (constraint.cell and constraint.cell != cell)
            or f"s{n}#{cell}" not in self.placement.cell_by_backend
        ):
            return
        self.attempts += 1
        attempt = Attempt(
            str(self.attempts), 0, f"s{n}#{cell}", self.now, self.now + 2.0, call(key)
        )
        self.placement.sent(attempt, self.now)
        self.may_have_run.setdefault(key, []).append((self.now, cell))
        self.in_flight.append((attempt, key, cell))

    @precondition(lambda self: self.in_flight)
    @rule(which=st.integers(0, 50), outcome=st.sampled_from(Outcome))
    def an_attempt_ends(self, which: int, outcome: Outcome) -> None:
        attempt, key, cell = self.in_flight.pop(which % len(self.in_flight))
        self.placement.ended(attempt, outcome)
        if outcome.never_ran and (attempt.sent_at, cell) in self.may_have_run[key]:
            self.may_have_run[key].remove((attempt.sent_at, cell))

    @invariant()
    def tables_are_bounded(self) -> None:
        assert len(self.placement.in_doubt.entries) <= 6
        assert len(self.placement.cell_by_backend) <= 8
        assert all(
            len(history.generations) <= 4
            for history in self.placement.key_affinity.histories.values()
        )


PlacementMachine.TestCase.settings = profile(
    max_examples=100, stateful_step_count=30, deadline=None
)
TestPlacementMachine = PlacementMachine.TestCase


def test_an_in_doubt_table_without_a_window_places_a_retry_in_another_cell() -> None:
    """Shows that the state machine can fail: without a window, a submission may run in any cell."""
    placement = Placement(WINDOW_S, SETTLE_S)
    placement.endpoints_changed(fleet(2, 2), True, 0.0)
    key = next(n for n in range(99) if placement.admit(call(n), LIST_SKEW_S).cell == OLD)
    # An attempt in a cell other than its home.
    attempt = Attempt("1", 0, "s3#2", LIST_SKEW_S, 2.0, call(key))
    placement.sent(attempt, LIST_SKEW_S)
    assert placement.admit(call(key), 1.0).cell == NEW
    placement.in_doubt = without_window(placement.in_doubt)
    assert placement.admit(call(key), 1.0).cell == OLD


def test_a_newly_started_gateway_rejects_requests_until_all_gateways_have_its_list() -> None:
    """Guards against a first request placed by a newer list than its retry at another gateway."""
    placement = Placement(WINDOW_S, SETTLE_S)
    placement.endpoints_changed(fleet(2, 2), True, 7.0)
    constraint = placement.admit(call(1), 7.0 + LIST_SKEW_S - 0.1)
    assert constraint.cell == 0
    assert constraint.retry_after == pytest.approx(0.1)
    assert placement.admit(call(1), 7.0 + LIST_SKEW_S).cell


@pytest.mark.parametrize("listed", [100, 101, 400, 1601])
def test_a_gateway_started_after_a_removal_derives_the_same_homes_in_a_large_fleet(
    listed: int,
) -> None:
    """Guards against homes that depend on the number of backends in a gateway's history."""
    long_running, newly_started = KeyAffinity(SETTLE_S), KeyAffinity(SETTLE_S)
    all_backends = fleet(listed // 2, listed - listed // 2 + 5)
    long_running.endpoints_changed(all_backends, True, 0.0)
    long_running.endpoints_changed(all_backends[:listed], True, 100.0)
    newly_started.endpoints_changed(all_backends[:listed], True, 100.0)
    points = [ring_position(str(n)) for n in range(300)]
    later = 100.0 + LIST_SKEW_S
    assert [long_running.home_cell(p, later, False) for p in points] == [
        newly_started.home_cell(p, later, False) for p in points
    ]
    possible = [long_running.possible_cells(p, Period(later, later)) for p in points]
    assert all(
        newly_started.home_cell(p, later, True) in cells or ANY_CELL in cells
        for p, cells in zip(points, possible, strict=True)
    )


def test_a_retry_is_rejected_while_its_home_may_have_been_skipped_within_the_window() -> None:
    """Guards against a retry at a recovered home cell after a first attempt at another cell."""
    placement = Placement(WINDOW_S, SETTLE_S)
    placement.endpoints_changed(fleet(1, 3), True, 0.0)
    key = next(n for n in range(99) if placement.admit(call(n), 1.0).cell == OLD)
    placement.endpoints_changed([backend(0, OLD, state=Readiness.DRAINING)], False, 20.0)
    assert placement.admit(call(key), 21.0).cell == NEW
    placement.endpoints_changed([backend(0, OLD)], False, 22.0)
    assert placement.admit(call(key), 22.5).cell == OLD
    assert placement.admit(call(key, True), 22.5).cell == 0
    assert placement.admit(call(key, True), 22.0 + 2 * LIST_SKEW_S + WINDOW_S).cell == OLD


def test_a_fleet_started_as_a_whole_accepts_first_requests_and_rejects_retries() -> None:
    """Guards against the rejection of all submissions until the first generation takes effect."""
    first, second = Placement(WINDOW_S, SETTLE_S), Placement(WINDOW_S, SETTLE_S)
    started = [backend(n, OLD if n < 2 else NEW, started=100.0) for n in range(5)]
    for placement in (first, second):
        placement.endpoints_changed(started, True, 100.1)
    now = 100.1 + LIST_SKEW_S
    homes = [first.admit(call(n), now).cell for n in range(50)]
    assert set(homes) == {OLD, NEW}
    assert homes == [second.admit(call(n), now).cell for n in range(50)]
    assert not any(second.admit(call(n, True), now).cell for n in range(50))
    # One generation takes effect before the others: it owns all keys, and retries are rejected.
    for placement in (first, second):
        placement.endpoints_changed([backend(9, NEW, started=99.5)], False, 100.7)
    assert {first.admit(call(n), 101.0).cell for n in range(50)} - {OLD, NEW} == set()
    assert not any(second.admit(call(n, True), 101.0).cell for n in range(50))
    # After a window all homes are known, and so is the placement of earlier attempts.
    later = 100.0 + SETTLE_S + 2 * LIST_SKEW_S + WINDOW_S + 0.1
    assert all(second.admit(call(n, True), later).cell for n in range(50))


def test_a_timeline_returns_none_for_times_before_its_history() -> None:
    """Guards against taking a backend that changed often for one that did not change."""
    timeline = Timeline(0)
    for at in range(1, 8):
        timeline.change(float(at), at)
    assert len(timeline) == MAX_CHANGES
    assert timeline.values_between(4.5, 6.5) == {4, 5, 6}
    assert timeline.values_between(3.5, 6.5) is None
    timeline.change(5.5, 9)  # replaces the changes scheduled after it
    assert timeline.values_between(4.5, 100.0) == {4, 5, 9}


def without_window(table: InDoubtTable) -> InDoubtTable:
    copy = InDoubtTable(0.0, table.max_submissions)
    for submission, entry in table.entries.items():
        copy.entries[submission] = replace(entry, expires_at=entry.expires_at - table.window_s)
    return copy


def test_a_backend_listed_again_under_the_same_id_has_its_cell_again() -> None:
    placement = Placement(WINDOW_S, SETTLE_S)
    placement.endpoints_changed(fleet(1, 1), True, 0.0)
    name, entry = backend(0, OLD)
    placement.endpoints_changed([(name, replace(entry, readiness=Readiness.REMOVED))], False, 1.0)
    assert entry.id not in placement.cell_by_backend
    placement.endpoints_changed([(name, entry)], False, 2.0)
    assert placement.cell_by_backend[entry.id] == OLD
    assert placement.key_affinity.spans_several_cells(2.0)
