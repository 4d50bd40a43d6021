"""Ledger and estimate of a quota, for any order of calls, losses and replacements."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from ingress.policy.counter_consistency import (
    CALL_PERIOD_S,
    CHECK_COUNT,
    CounterConsistency,
    CounterState,
)
from ingress.policy.quota_estimate import CounterLedger, QuotaEstimate
from ingress.policy.settings import Plan

from .conftest import SETTINGS

PLAN = Plan("p", rate=2.0, burst=8.0)
CAME_ABOUT: Counter[str] = Counter()  # what the ledger's state machine has seen
COUNTING = replace(SETTINGS, gateway_count=3, counter_available=True, counter_timeout=0.05)


# The ledger


def test_a_replaced_counter_loses_nothing_that_was_known() -> None:
    ledger = CounterLedger(1, 0.0)
    assert ledger.total_received(1.0, 2.0, 10.0, 1.0) == 8.0  # 8 of others
    # An empty one, with this call's unit alone.
    assert ledger.total_received(2.0, 1.0, 1.0, 1.0) == 0.0
    assert ledger.replacements == 1
    assert ledger.others_units == 8.0
    assert ledger.total_received(3.0, 1.0, 5.0, 1.0) == 3.0  # others added 3 since


def test_what_others_give_back_is_no_replacement() -> None:
    ledger = CounterLedger(1, 0.0)
    ledger.total_received(1.0, 0.0, 10.0, 1.0)
    assert ledger.total_received(2.0, 0.0, 9.5, 1.0) == -0.5
    assert not ledger.replacements


@pytest.mark.parametrize(
    ("total", "missing", "used"),
    [
        (14.0, 0.0, 0.0),  # 4 more came: they may be ours
        (12.0, 2.0, 0.0),  # 2 more: at least 2 of ours were not added
        (10.0, 4.0, 0.0),
    ],
)
def test_uncertain_units_are_added_again_if_the_next_total_lacks_them_for_certain(
    total: float, missing: float, used: float
) -> None:
    ledger = CounterLedger(1, 0.0)
    ledger.total_received(1.0, 0.0, 10.0, 1.0)
    ledger.call_timed_out(4.0)
    assert bounds(ledger, 0.0, 1.0, True)[0] == 10.0
    assert ledger.total_received(2.0, 0.0, total, 1.0) == used
    assert ledger.missing_units == missing


def bounds(
    ledger: CounterLedger, uncertain_before: float, now: float, consistent: bool
) -> tuple[float, float]:
    """The least and the most that all gateways have used within the quota under the ledger's key.

    Within the time that a check takes to notice a change, the most may be too low.

    Args:
        ledger: The ledger.
        uncertain_before: Units whose calls had no answer before the last total.
        now: The time.
        consistent: Whether no check has noticed another counter, or missing gateways, since the key
            began to serve.
    """
    least = ledger.own_units - ledger.uncertain_units - uncertain_before + ledger.others_units
    most = PLAN.burst + PLAN.rate * (now - ledger.valid_from)  # no more is ever within a quota
    if consistent and not ledger.replacements:
        unread = PLAN.burst + PLAN.rate * (now - max(ledger.last_total_at, ledger.valid_from))
        most = min(most, ledger.own_units + uncertain_before + ledger.others_units + unread)
    return max(0.0, least), max(0.0, least, most)


class LedgerMachine(RuleBasedStateMachine):
    """One gateway's ledger beside the truth.

    Two other gateways use and add; the counter loses answers and calls, is replaced by an empty or
    an older one, and is partitioned.

    Attributes:
        level: Units in the true token bucket.
        used: Units that all gateways have taken from it.
        unreported: Units used here and not added yet.
        uncertain_before: Units whose calls had no answer, up to the last total.
        near_total: What this side's copy of the counter holds.
        far_total: What the other side's copy holds, while they are partitioned.
        old_total: What an older copy holds that may replace the counter.
        check_totals: Totals of the checks, by their index.
        changed_at: When the counter was last replaced, partitioned or healed.
        unchanged: Whether it never was replaced or partitioned.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.level = PLAN.burst
        self.used = 0.0
        self.ledger = CounterLedger(1, 0.0)
        self.consistency = CounterConsistency(3)
        self.unreported = 0.0
        self.uncertain_before = 0.0
        self.near_total = 0.0
        self.far_total = 0.0
        self.old_total = 0.0
        self.partitioned = False
        self.changed_at = -100.0
        self.check_totals: dict[int, float] = {}
        self.unchanged = True
        self.next_check_at = 0.0
        CAME_ABOUT["run"] += 1

    def use(self, units: float) -> float:
        units = min(units, self.level)
        self.level -= units
        self.used += units
        return units

    def long_after_a_change(self) -> bool:
        return self.now - self.changed_at > 4 * CHECK_COUNT * CALL_PERIOD_S

    @rule(units=st.sampled_from([0.5, 1.0, 2.0]))
    def others_use(self, units: float) -> None:
        units = self.use(units)
        if self.partitioned:
            self.far_total += units
        else:
            self.near_total += units

    @rule(
        units=st.sampled_from([0.5, 1.0, 2.0]),
        end=st.sampled_from(["ok", "ok", "rejected", "lost", "unanswered"]),
    )
    def call(self, units: float, end: str) -> None:
        self.unreported += self.use(units)
        added = self.unreported
        if end == "rejected":
            return
        if end != "lost":
            self.near_total += added
        self.unreported = 0.0
        if end == "ok":
            before = self.ledger.replacements
            self.uncertain_before += self.ledger.uncertain_units
            self.ledger.total_received(self.now, added, self.near_total, 0.0)
            self.unreported += self.ledger.missing_units
            CAME_ABOUT["added again"] += self.ledger.missing_units > 0
            CAME_ABOUT["replaced, seen by the ledger"] += self.ledger.replacements > before
        else:
            self.ledger.call_timed_out(added)

    @rule(seconds=st.sampled_from([0.25, 1.0, 3.0]))
    def wait(self, seconds: float) -> None:
        """Time passes in steps in which all gateways add to the checks."""
        for _ in range(int(seconds / 0.25)):
            self.now += 0.25
            self.level = min(PLAN.burst, self.level + PLAN.rate * 0.25)
            if self.now + 1e-9 < self.next_check_at:
                continue
            keys, delay = self.consistency.due_calls(self.now)
            self.next_check_at = self.now + delay
            for key in keys:
                check = self.consistency.check_of(key)
                assert check is not None
                index = self.consistency.checks.index(check)
                total = self.check_totals.get(index, 0.0) + (1.0 if self.partitioned else 3.0)
                self.check_totals[index] = total
                check.total_received(self.now, total, 3)

    @precondition(lambda self: not self.partitioned)
    @rule(older=st.booleans())
    def replace_counter(self, older: bool) -> None:
        self.near_total = self.old_total if older and self.old_total <= self.near_total else 0.0
        self.check_totals.clear()
        self.changed_at = self.now
        self.unchanged = False

    @rule()
    def keep_a_copy(self) -> None:
        self.old_total = self.near_total

    @precondition(lambda self: not self.partitioned)
    @rule()
    def partition(self) -> None:
        self.partitioned = True
        self.far_total = self.near_total
        self.changed_at = self.now
        self.unchanged = False

    @precondition(lambda self: self.partitioned)
    @rule()
    def heal(self) -> None:
        """This side's copy outlives; what the others added meanwhile is gone with theirs."""
        self.partitioned = False
        self.changed_at = self.now

    @invariant()
    def the_truth_lies_within_the_bounds(self) -> None:
        consistent = self.unchanged and all(
            check.state is not CounterState.PARTITIONED and not check.replacements
            for check in self.consistency.checks
        )
        least, most = bounds(self.ledger, self.uncertain_before, self.now, consistent)
        assert least - 1e-6 <= self.used
        if self.unchanged or self.long_after_a_change():
            assert self.used <= most + 1e-6 + self.unreported

    @invariant()
    def a_change_is_noticed_in_time(self) -> None:
        if self.long_after_a_change() and self.partitioned:
            assert self.consistency.reachable_share(self.now) == pytest.approx(1 / 3)
            CAME_ABOUT["partitioned, noticed"] += 1
        if self.long_after_a_change() and not self.partitioned:
            assert self.consistency.reachable_share(self.now) == 1.0
            CAME_ABOUT["healed, noticed"] += (
                self.consistency.checks[0].partitioned_at > 1e17 and not self.unchanged
            )
        CAME_ABOUT["replaced, seen by a check"] += any(
            check.replacements for check in self.consistency.checks
        )
        CAME_ABOUT["uncertain"] += self.ledger.uncertain_units > 0


def test_the_ledger_holds_for_any_order_and_all_that_it_is_for_came_about() -> None:
    CAME_ABOUT.clear()
    run_state_machine_as_test(
        LedgerMachine, settings=settings(max_examples=150, stateful_step_count=40, deadline=None)
    )
    missing = [
        what
        for what in (
            "added again",
            "replaced, seen by the ledger",
            "replaced, seen by a check",
            "partitioned, noticed",
            "healed, noticed",
            "uncertain",
        )
        if not CAME_ABOUT[what]
    ]
    assert not missing, missing


# The estimate


def estimate_of(level: float) -> QuotaEstimate:
    estimate = QuotaEstimate(PLAN, 0.0, False)
    estimate.reset(0.0, level, 0.0)
    return estimate


def test_a_share_of_the_quota_is_all_that_may_be_given_out() -> None:
    estimate = estimate_of(6.0)
    estimate.set_share(0.0, 0.5)
    assert [estimate.level(now) for now in (0.0, 1.0, 10.0)] == [3.0, 4.0, 4.0]


def test_a_share_that_grows_gives_nothing_back() -> None:
    estimate = estimate_of(6.0)
    estimate.set_share(0.0, 0.5)
    estimate.set_share(1.0, 1.0)
    assert [estimate.level(now) for now in (1.0, 2.0)] == [4.0, 6.0]


def test_the_even_share_of_what_was_left() -> None:
    estimate = estimate_of(6.0)
    estimate.consume(0.0, 1.0)
    assert [estimate.even_share(now, 2) for now in (0.0, 1.0, 50.0)] == [2.0, 3.0, 3.0]


CEILED = Plan("p", rate=1.0, burst=5.0, ceiling_rate=2.0, ceiling_burst=8.0)
KINDS = ["wait", "others", "own", "counted", "rejected", "total", "total", "share"]
STEP = st.tuples(st.sampled_from(KINDS), st.floats(0.0, 4.0))
STEPS = st.lists(STEP, max_size=40)


# What was used before the share changed.
@example(60.0, 5.0, [("own", 2.0), ("share", 0.0), ("total", 0.0)])
# Units that were counted and then rejected leave no more than there was.
@example(60.0, 30.0, [("counted", 4.0), ("total", 0.0), ("rejected", 0.0), ("total", 0.0)])
@example(
    0.0,
    0.0,
    [("others", 4.0), ("total", 0.0), ("wait", 2.0), ("own", 4.0), ("own", 4.0), ("total", 0.0)],
)
@given(st.floats(0.0, 60.0), st.floats(0.0, 40.0), STEPS)
@settings(max_examples=400, deadline=None)
def test_the_ceilings_lower_bound_is_never_more_than_what_is_left(
    age: float, before: float, steps: list[tuple[str, float]]
) -> None:
    """The true bucket of a ceiling against its bound, in whatever order it is used and told of.

    The counter key is `age` seconds old at the first total, and idle time lies before what was used
    under it.  Other gateways count units when they ask, and take them off again where they reject.
    """
    now = 100.0
    left = CEILED.ceiling_burst - min(before, CEILED.ceiling_burst)
    counted = 0.0
    total = before
    last_total = total
    estimate = QuotaEstimate(CEILED, now, False)
    estimate.reset(now, CEILED.burst + CEILED.rate * age - total, total)
    for kind, figure in steps:
        units = min(figure, left)
        match kind:
            case "wait":
                now += figure
                left = min(CEILED.ceiling_burst, left + CEILED.ceiling_rate * figure)
            case "others":
                left -= units
                total += units
            case "own":
                left -= units
                estimate.consume(now, units)
            case "counted":
                counted += figure
                total += figure
            case "rejected":
                total -= counted
                counted = 0.0
            case "total":
                estimate.total_received(now, total - last_total)
                last_total = total
                # The bound is asked for at a total alone.
                assert estimate.ceiling_lower_bound - estimate.units_since_update <= left + 1e-6
            case _:
                estimate.set_share(now, 0.5 if estimate.quota_share == 1.0 else 1.0)


def test_units_given_back_late_do_not_hide_use_under_a_ceiling() -> None:
    """Guards against a bound that takes use for none, as units counted earlier are given back."""
    steps = [
        ("counted", 1.0),
        ("total", 0.0),
        ("wait", 1.0),
        ("others", 1.0),
        ("rejected", 0.0),
        ("total", 0.0),
    ]
    drawn = test_the_ceilings_lower_bound_is_never_more_than_what_is_left
    drawn.hypothesis.inner_test(0.0, 0.0, steps)  # type: ignore[attr-defined]
