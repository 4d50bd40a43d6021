"""Ceilings hold across all gateways for any order of use, reports and replies."""

from __future__ import annotations

from collections import deque
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from ingress.policy import counter_keys
from ingress.policy.actions import AddToCounter, StartAttempt
from ingress.policy.customer import Customer
from ingress.policy.events import (
    AttemptEnded,
    BackendsChanged,
    CounterReply,
    EndpointListKind,
    Event,
    Outcome,
    RequestReceived,
    TimerFired,
)
from ingress.policy.gateway import Gateway
from ingress.policy.quota_estimate import QuotaEstimate
from ingress.policy.settings import Plan
from ingress.policy.timers import TICK_TIMER
from ingress.simulation import customers, size
from ingress.simulation import gateways as simulated
from ingress.simulation.fleet_simulation import Simulation
from ingress.simulation.gateways import policy_gateways
from ingress.simulation.size import Fault, Size

from .conftest import FLEET, SETTINGS

GATEWAY_COUNT = 3
NARROW_CEILING = Plan("basic", rate=2.0, burst=6.0, ceiling_rate=2.6, ceiling_burst=7.8)
# A slice of the quota is smaller than one request, a slice of the ceiling is not.
SMALL_BURST = replace(NARROW_CEILING, burst=2.0)
THREE_GATEWAYS = replace(
    SETTINGS,
    plans=(NARROW_CEILING,),
    gateway_count=GATEWAY_COUNT,
    counter_available=True,
    counter_timeout=0.05,
    max_units=1.0,
)
Step = tuple[str, int, float]


class CeilingFleet:
    """Real gateways that share one counter, with calls sent, added and answered step by step."""

    def __init__(self, plan: Plan, request_units: float) -> None:
        """Creates the gateways and an empty counter.

        Args:
            plan: The customer's plan.
            request_units: The maximum units of a request.  With 2 the ceiling's slices are too
                small, so the counter lends the whole ceiling.
        """
        # Start three seconds before the customer's counter key changes.
        self.plan = plan
        _, valid_from = counter_keys.counter_key(counter_keys.key_number("c"), 100.0)
        self.now = valid_from + counter_keys.EPOCH_S - 3.0
        self.count = 0
        self.settings = replace(THREE_GATEWAYS, plans=(plan,), max_units=request_units)
        self.level = plan.ceiling_burst
        self.min_level = plan.ceiling_burst
        self.updated_at = self.now
        self.forwarded = 0
        self.totals: dict[int, float] = {}
        self.calls: list[deque[tuple[AddToCounter, float, float]]] = [
            deque() for _ in range(GATEWAY_COUNT)
        ]
        self.added: list[deque[tuple[AddToCounter, float, float]]] = [
            deque() for _ in range(GATEWAY_COUNT)
        ]
        self.timed_out: deque[AddToCounter] = deque()
        self.gateways = [self.new_gateway(n) for n in range(GATEWAY_COUNT)]

    def new_gateway(self, number: int) -> Gateway:
        gateway = Gateway(replace(self.settings, gateway_index=number), number)
        gateway.handle(self.now, BackendsChanged(EndpointListKind.RESTORED, tuple(FLEET)))
        gateway.counter_throttle.call_share = 1.0
        return gateway

    def handle(self, number: int, event: Event) -> None:
        for action in self.gateways[number].handle(self.now, event):
            if isinstance(action, AddToCounter):
                self.calls[number].append((action, self.now, 0.0))
            elif isinstance(action, StartAttempt):
                self.take_unit()
                self.handle(
                    number,
                    AttemptEnded(
                        action.request_id, 0, action.backend, Outcome.OK, 0.01, finished=True
                    ),
                )

    def take_unit(self) -> None:
        refilled = self.level + self.plan.ceiling_rate * (self.now - self.updated_at)
        self.level = min(self.plan.ceiling_burst, refilled) - 1.0
        self.forwarded += 1
        self.updated_at = self.now
        self.min_level = min(self.min_level, self.level)

    def run(self, steps: list[Step]) -> float:
        """Runs the steps and returns the lowest level that the ceiling ever had."""
        for kind, number, seconds in steps:
            if kind == "wait":
                self.now += seconds
            elif kind == "request":
                self.count += 1
                event = RequestReceived(
                    str(self.count), "read", "basic", "c", 4.0, gateway_count=GATEWAY_COUNT
                )
                self.handle(number, event)
            elif kind == "tick":
                self.handle(number, TimerFired(TICK_TIMER))
            elif kind == "restart":
                self.gateways[number] = self.new_gateway(number)
                self.calls[number].clear()
                self.added[number].clear()
            elif kind == "added late" and self.timed_out:
                self.add(self.timed_out.popleft())
            else:
                self.advance_call(kind, number)
        return self.min_level

    def advance_call(self, kind: str, number: int) -> None:
        """Adds or answers the oldest counter call of a gateway, or lets it time out or fail."""
        calls = self.calls[number]
        added = self.added[number]
        if kind == "add" and calls:
            call, sent_at, _ = calls.popleft()
            added.append((call, sent_at, self.add(call)))
        elif kind == "reply" and added:
            call, sent_at, total = added.popleft()
            self.reply(number, call, sent_at, Outcome.OK, total)
        elif kind == "reply lost" and added:
            call, sent_at, _ = added.popleft()
            self.reply(number, call, sent_at, Outcome.TIMEOUT)
        elif kind == "timeout" and calls:  # times out before it is added, which may still follow
            call, sent_at, _ = calls.popleft()
            self.reply(number, call, sent_at, Outcome.TIMEOUT)
            self.timed_out.append(call)
        elif kind == "failed" and calls:
            call, sent_at, _ = calls.popleft()
            self.reply(number, call, sent_at, Outcome.CONNECT_FAILED)

    def add(self, call: AddToCounter) -> float:
        """Adds to the counter and returns the total."""
        total = self.totals.get(call.key, 0.0) + call.amount
        self.totals[call.key] = total
        return total

    def reply(
        self,
        number: int,
        call: AddToCounter,
        sent_at: float,
        outcome: Outcome,
        total: float = 0.0,
    ) -> None:
        self.handle(number, CounterReply(call.key, outcome, total, self.now - sent_at))


KINDS = [
    "request",
    "request",
    "request",
    "add",
    "add",
    "reply",
    "reply",
    "reply lost",
    "timeout",
    "added late",
    "failed",
    "tick",
    "restart",
    "wait",
]
STEP = st.tuples(st.sampled_from(KINDS), st.integers(0, GATEWAY_COUNT - 1), st.floats(0.0, 3.0))
STEPS = st.lists(STEP, max_size=120)


def burst_at(number: int, times: int) -> list[Step]:
    """Returns steps for requests at one gateway, each with a counter call answered at once."""
    return [(kind, number, 0.0) for _ in range(times) for kind in ("request", "add", "reply")]


IDLE: list[Step] = [("request", n, 0.0) for n in range(GATEWAY_COUNT)] + [("wait", 0, 20.0)]
SLICES: list[Step] = [
    (kind, n, 0.0) for n in range(GATEWAY_COUNT) for kind in ("request", "request", "failed") * 4
]


OVERLOADED: list[Step] = [(kind, n, 0.0) for n in (1, 2) for kind in ("request", "timeout") * 2]


# One gateway does not read the former key a last time, since its last total is too old by then.
UNREAD: list[Step] = [
    *burst_at(1, 1),
    ("wait", 0, 1.9),
    *burst_at(0, 9),
    ("wait", 0, 1.2),
    *burst_at(1, 9),
]


# One gateway borrows as much as it can, then the counter fails.
@example(IDLE + burst_at(0, 9) + SLICES, 1.0, NARROW_CEILING)
@example(IDLE + SLICES + burst_at(0, 9), 1.0, NARROW_CEILING)
@example(UNREAD, 2.0, NARROW_CEILING)
@example(
    IDLE
    + [("request", 1, 0.0), ("timeout", 1, 0.0)] * 6
    + burst_at(0, 9)
    + burst_at(1, 9)
    + SLICES,
    1.0,
    NARROW_CEILING,
)
@example(IDLE + burst_at(0, 9) + OVERLOADED * 3 + burst_at(0, 9), 1.0, SMALL_BURST)
@given(STEPS, st.sampled_from([1.0, 2.0]), st.sampled_from([NARROW_CEILING, SMALL_BURST]))
@settings(max_examples=400, deadline=None)
def test_ceiling_holds_for_any_order_of_use_and_totals(
    steps: list[Step], request_units: float, plan: Plan
) -> None:
    assert CeilingFleet(plan, request_units).run(steps) >= -1e-6


def test_one_gateway_of_many_admits_no_more_than_its_slice_of_a_ceiling() -> None:
    """The counter is overloaded and does not reply; the gateway's quota slice holds no request."""
    fleet = CeilingFleet(SMALL_BURST, 1.0)
    fleet.run([*burst_at(0, 1), ("wait", 0, 3.0)])
    before = fleet.forwarded
    fleet.run(OVERLOADED)
    slices = fleet.forwarded - before
    assert 2 <= slices <= int(fleet.gateways[1].admission.customers["c"].ceiling_reserve)
    fleet.run(OVERLOADED * 3)
    assert fleet.forwarded - before == slices  # no more than the slices hold


@pytest.mark.interpreted
def test_lending_units_of_other_slices_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Seeded fault: capacity shown by a total is lent regardless of the other gateways' slices."""

    def ignore_other_slices(self: Customer, now: float, units: float, units_counted: bool) -> bool:
        quota_estimate = self.estimate
        return (
            units_counted
            and self.reliable_total_at == now
            and quota_estimate.ceiling_lower_bound - quota_estimate.units_since_update >= units
        )

    monkeypatch.setattr(Customer, "ceiling_confirmed", ignore_other_slices)
    assert CeilingFleet(NARROW_CEILING, 1.0).run(IDLE + burst_at(0, 9) + SLICES) < 0.0


@pytest.mark.interpreted
def test_treating_an_unread_counter_key_as_unused_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Seeded fault: an interval without a total does not lower the ceiling's bound."""
    monkeypatch.setattr(QuotaEstimate, "interval_unobserved", lambda *_: None)
    assert CeilingFleet(NARROW_CEILING, 2.0).run(UNREAD) < 0.0


def test_a_counter_lends_one_gateway_more_than_its_slice() -> None:
    fleet = CeilingFleet(NARROW_CEILING, 1.0)
    fleet.run(IDLE + burst_at(0, 5))
    # The gateway's own slice of the ceiling holds two units.
    assert fleet.level <= NARROW_CEILING.ceiling_burst - 3.0


def test_slices_below_one_request_leave_the_ceiling_to_the_counter() -> None:
    customer = Customer(
        RequestReceived("r", "read", "basic", "c", 4.0, gateway_count=40),
        NARROW_CEILING,
        100.0,
        1e9,
        True,
        1.0,
    )
    assert customer.ceiling_reserve == 0.0
    assert not customer.ceiling.has_tokens(1e6, 1.0)
    assert not customer.decided_by_counter


def test_ceiling_slices_equal_those_of_the_quota_and_the_rest_is_lent() -> None:
    # Three times the quota's burst.
    plan = replace(NARROW_CEILING, ceiling_rate=6.0, ceiling_burst=18.0)
    customer = Customer(
        RequestReceived("r", "read", "basic", "c", 4.0, gateway_count=3),
        plan,
        100.0,
        1e9,
        True,
        1.0,
    )
    assert customer.ceiling_reserve == plan.burst


def test_a_new_process_borrows_as_the_ceiling_refills_regardless_of_its_first_total() -> None:
    estimate = QuotaEstimate(NARROW_CEILING, 100.0, False)
    estimate.reset(100.0, 0.0, 50.0)  # all use under the key so far
    estimate.total_received(102.0, 1.0)
    assert estimate.ceiling_lower_bound == pytest.approx(2.0 * NARROW_CEILING.ceiling_rate - 1.0)


# A simulated fleet

QUIET = Size(
    gateways=6,
    backends=12,
    duration=9.0,
    client_retries=2,
    mean_core_s=0.02,
    gateways_per_customer=6,
    load=0.03,
    quota_use=0.3,
    gateway_skew=3.0,
)
SMALL_SLICES = Size(
    gateways=60,
    backends=18,
    duration=10.0,
    client_retries=2,
    mean_core_s=0.2,
    gateways_per_customer=12,
    load=0.5,
    quota_use=0.55,
    heavy_share=0.3,
    heavy_quota_use=10.0,
    gateway_skew=2.0,
)
SURGE = {QUIET: Fault("load", 5.0, 8.0, 20.0), SMALL_SLICES: Fault("load", 4.0, 8.0, 2.0)}


def max_overrun(monkeypatch: pytest.MonkeyPatch, many: Size, plan: Plan) -> float:
    """Returns the most units beyond a ceiling and its slack in four runs; 0 or less if it held."""
    plans = (Plan("walk-in", 2.0, 6.0, price=0.9, over_quota_cost=0.8), plan)
    for module in (size, simulated, customers):
        monkeypatch.setattr(module, "PLANS", plans)
        monkeypatch.setattr(module, "PLAN_SHARES", (0.3, 0.7), raising=False)
    results = [
        Simulation(many, (SURGE[many],), seed, policy_gateways()).run().figures()
        for seed in (1, 2, 3, 4)
    ]
    assert all(figures["over"] > 0.0 for figures in results)  # demand exceeded the quotas
    return max(float(figures["ceiling"]) for figures in results)


SIMULATED_NARROW_CEILING = Plan(
    "agency",
    5.7,
    16.0,
    price=1.8,
    over_quota_cost=0.4,
    ceiling_rate=7.4,
    ceiling_burst=20.8,
    ceiling_slack=3.1,
)
SIMULATED_WIDE_CEILING = Plan(
    "agency",
    6.0,
    8.0,
    price=1.8,
    over_quota_cost=0.4,
    ceiling_rate=15.0,
    ceiling_burst=20.0,
    ceiling_slack=4.25,
)  # a slice of the quota is smaller than one request


@pytest.mark.parametrize(
    ("many", "plan"), [(QUIET, SIMULATED_NARROW_CEILING), (SMALL_SLICES, SIMULATED_WIDE_CEILING)]
)
def test_a_surge_after_idle_time_exceeds_no_ceiling(
    monkeypatch: pytest.MonkeyPatch, many: Size, plan: Plan
) -> None:
    """One gateway borrows the quota's burst, and five others then use their slices.

    In the second case slices are smaller than one request, so the count decides; idle time
    accumulates in it as credit.
    """
    assert max_overrun(monkeypatch, many, plan) <= 0.0


ORIGINAL_INIT = Customer.__init__


def init_decided_by_counter(self: Customer, *args: Any) -> None:
    ORIGINAL_INIT(self, *args)
    self.decided_by_counter = True
    self.estimate.slice_below_request = True


def confirmed_by_level(self: Customer, now: float, units: float, units_counted: bool) -> bool:
    return units_counted and self.reliable_total_at == now and self.estimate.level(now) >= units


@pytest.mark.interpreted
def test_idle_time_that_accumulates_as_credit_under_a_ceiling_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Seeded fault: for slices below one request, a corrected count decides despite a ceiling."""
    monkeypatch.setattr(Customer, "__init__", init_decided_by_counter)
    monkeypatch.setattr(Customer, "ceiling_confirmed", confirmed_by_level)
    assert max_overrun(monkeypatch, SMALL_SLICES, SIMULATED_WIDE_CEILING) > 0.0
