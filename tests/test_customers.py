"""Names and numbers come only from the settings, so randomly drawn ones work like any others."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ingress.policy.actions import AddToCounter, RejectRequest, StartAttempt
from ingress.policy.events import (
    AttemptEnded,
    Backend,
    BackendsChanged,
    CounterReply,
    EndpointListKind,
    Event,
    Outcome,
    RequestReceived,
)
from ingress.policy.gateway import Gateway
from ingress.policy.settings import (
    DeduplicationScope,
    Plan,
    RequestClass,
    RetrySemantics,
    Settings,
)
from tests.peers import SETTINGS, Caller, backend, config, entry, resp, run
from tests.support.applications import serving

NAMES = st.lists(
    st.from_regex(r"[a-z][a-z0-9-]{0,30}", fullmatch=True), min_size=6, max_size=6, unique=True
)


def deployment(rng: random.Random, names: list[str]) -> Settings:
    """Returns three classes of random semantics and times, and three plans, one with a ceiling."""
    classes = []
    for name in names[:3]:
        objective = rng.uniform(0.1, 3.0)
        classes.append(
            RequestClass(
                name,
                objective,
                objective * rng.uniform(1.5, 4.0),
                priority_weight=rng.uniform(0.5, 8.0),
                late_priority_weight=rng.choice((0.0, 0.3)),
                semantics=rng.choice(list(RetrySemantics)),
                deduplication_scope=rng.choice(list(DeduplicationScope)),
                deduplication_window=rng.uniform(0.5, 9.0),
            )
        )
    plans = [
        Plan(
            name,
            rng.uniform(0.5, 20.0),
            rng.uniform(2.0, 60.0),
            price=rng.uniform(0.5, 2.0),
            over_quota_cost=rng.uniform(0.2, 1.5),
        )
        for name in names[3:]
    ]
    with_ceiling = rng.randrange(3)
    plans[with_ceiling] = replace(
        plans[with_ceiling], ceiling_rate=30.0, ceiling_burst=90.0, ceiling_slack=9.0
    )
    return Settings(
        tuple(classes),
        tuple(plans),
        gateway_count=4,
        warmup_time=rng.choice((0.0, 6.0)),
        drain_grace=rng.uniform(0.3, 3.0),
        max_attempts=rng.choice((1, 4)),
        counter_available=True,
        counter_timeout=rng.uniform(0.03, 0.2),
        hedging_allowed=rng.random() < 0.5,
    )


def record_actions(seed: int, names: list[str]) -> list[str]:
    """Returns the actions of one gateway in a few random seconds, which name no class or plan."""
    rng = random.Random(seed)
    deployed = deployment(rng, names)
    gateway, now, lines, in_flight = (
        Gateway(deployed, seed),
        50.0,
        list[str](),
        list[tuple[str, int, str]](),
    )
    attempt_counts: dict[str, int] = {}

    def handle_event(event: Event) -> None:
        for action in gateway.handle(now, event):
            lines.append(f"{now:.6f} {action}")
            if isinstance(action, StartAttempt):
                in_flight.append(
                    (action.request_id, attempt_counts.get(action.request_id, 0), action.backend)
                )
                attempt_counts[action.request_id] = attempt_counts.get(action.request_id, 0) + 1
            elif isinstance(action, AddToCounter):
                counter_calls.append(action)

    counter_calls: list[AddToCounter] = []
    handle_event(
        BackendsChanged(
            EndpointListKind.RESTORED,
            tuple(
                Backend(f"s{n}", "ab"[n % 2], cell=n // 3, started_at=now - 1.0 if n == 5 else 0.0)
                for n in range(6)
            ),
            1,
        )
    )
    for number in range(150):
        now += rng.expovariate(40.0)
        event_choice = rng.random()
        if event_choice < 0.5 or not in_flight:
            cls, plan = rng.choice(deployed.classes), rng.choice(deployed.plans)
            customer = rng.randrange(12)
            handle_event(
                RequestReceived(
                    f"r{number}",
                    cls.name,
                    plan.name,
                    f"{deployed.plans.index(plan)}-{customer}",
                    cls.deadline,
                    1.0,
                    2,
                    customer % 4,
                    False,
                    cls.semantics is not RetrySemantics.IDEMPOTENT,
                )
            )
        elif event_choice < 0.6 and counter_calls:
            call = counter_calls.pop(0)
            handle_event(CounterReply(call.key, Outcome.OK, rng.uniform(0.0, 30.0), 0.01))
        else:
            request, attempt, backend_id = in_flight.pop(rng.randrange(len(in_flight)))
            outcome = rng.choice(list(Outcome))
            handle_event(
                AttemptEnded(
                    request,
                    attempt,
                    backend_id,
                    outcome,
                    rng.uniform(0.01, 0.5),
                    outcome is Outcome.OK,
                )
            )
    return lines


@given(st.integers(0, 1 << 32), NAMES, NAMES)
@settings(max_examples=40, deadline=None)
def test_decisions_do_not_depend_on_class_or_plan_names(
    seed: int, one: list[str], other: list[str]
) -> None:
    assert record_actions(seed, one) == record_actions(seed, other)


@pytest.mark.interpreted
def test_a_decision_that_depends_on_a_class_name_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Seeded fault, which the test above detects: one class is rejected by its name."""
    from ingress.policy import gateway

    original_dispatch = gateway.Gateway._dispatch

    def reject_by_name(self: gateway.Gateway, now: float, event: Event) -> None:
        if isinstance(event, RequestReceived) and event.request_class == "ticket-buy":
            self.actions.append(RejectRequest(event.request_id, 0.0))
        else:
            original_dispatch(self, now, event)

    monkeypatch.setattr(gateway.Gateway, "_dispatch", reject_by_name)
    names = ["a", "b", "c", "d", "e", "f"]
    assert any(
        record_actions(seed, names) != record_actions(seed, ["ticket-buy", *names[1:]])
        for seed in range(5)
    )


@given(st.integers(0, 1 << 32), NAMES)
@settings(max_examples=8, deadline=None)
def test_an_ingress_serves_randomly_drawn_names_and_numbers(seed: int, names: list[str]) -> None:
    rng = random.Random(seed)
    semantics_by_class = ["safe", "keyed", "unsafe"]
    rng.shuffle(semantics_by_class)
    deadlines = [rng.uniform(5.0, 15.0) for _ in semantics_by_class]
    drawn_settings = SETTINGS | {
        "categories": [
            {
                "name": name,
                "aim-s": deadline_s / 2,
                "give-up-s": deadline_s,
                "importance": 1 + rng.random(),
                "semantics": semantics_name,
                "dedup-window-s": deadline_s,
                "key-scope": rng.choice(("all", "zone", "cell")),
            }
            for name, semantics_name, deadline_s in zip(
                names[:3], semantics_by_class, deadlines, strict=True
            )
        ],
        "contracts": [
            {"name": name, "refill": rng.uniform(5.0, 90.0), "burst": rng.uniform(20.0, 90.0)}
            for name in names[3:]
        ],
        "rules": {"drain-grace-s": rng.uniform(0.3, 3.0)},
    }

    async def body() -> None:
        async with (
            backend() as peer,
            serving(config(entry(peer.address), settings=drawn_settings)) as (_, address),
        ):
            caller = await Caller.connect(address)
            for number, (name, semantics_name, deadline_s) in enumerate(
                zip(names[:3], semantics_by_class, deadlines, strict=True)
            ):
                key = ",k=0123456789abcdef" if semantics_name == "keyed" else ""
                text = f"c={name},t={names[3 + number]},d={deadline_s * 1000:.0f}{key},"
                text += "units=1,spread=1,first=0"
                verb = b"API.READ" if semantics_name == "safe" else b"API.WRITE"
                request = b"%016x" % number
                assert (
                    await caller.request(resp(verb, b"%016x" % 9, request, text.encode()))
                    == request
                )
            unknown = names[0] + "x" * 31  # longer than any drawn name
            other = f"c={unknown},t={names[3]},d=900,units=1,spread=1,first=0"
            assert "class" in str(
                await caller.request(resp(b"API.READ", b"%016x" % 9, b"zz", other.encode()))
            )

    run(body())
