"""Tests that the invariant checker reports each seeded fault, and nothing without one."""

from __future__ import annotations

import asyncio
import functools
import sys
from collections.abc import Callable
from dataclasses import replace

import pytest
import uvloop

from ingress.testbed.deployment import CLASSES, Deployment
from ingress.testbed.invariant_checker import Breach, Verdict, held_back, judge
from ingress.testbed.scenario import Fault, Scenario
from ingress.testbed.world import running_world
from tests.test_testbed_scenarios import MAX_RUNS

SHORT_MEMORY = Deployment(rate=60.0, classes=(CLASSES[0], replace(CLASSES[1], window=0.5)))
SCENARIOS = {
    "plain": Scenario("plain", 3.0, 31, Deployment()),
    "short": Scenario("short", 3.0, 32, SHORT_MEMORY),
    "drain": Scenario(
        "drain",
        4.0,
        33,
        Deployment(notice=0.3),
        tuple(Fault(0.2, "drain", f"server-{n}", {"seconds": 5.0}) for n in range(3)),
    ),
    "cold": Scenario(
        "cold",
        6.0,
        34,
        Deployment(busy=0.75, rate=150.0, cold_share=0.05, cold_time=20.0),
        (Fault(0.5, "restart", "server-2", {"seconds": 0.3}),),
    ),
    "surge": Scenario(
        "surge",
        6.5,
        35,
        Deployment(rate=30.0, busy=0.05),
        (Fault(0.2, "surge", "editorial", {"seconds": 6.5, "factor": 25.0}),),
    ),
    # Servers of two generations, submissions that may have run on either, and clients that retry. The
    # run is longer than the 6 s for which a just started ingress rejects repeats unknown to it.
    "mixed": Scenario(
        "mixed",
        11.0,
        36,
        Deployment(busy=0.2, retries=1.0, marks=True),
        tuple(
            Fault(0.1, kind, f"server-{n}", {"seconds": 11.0})
            for n, kind in (
                (0, "unclear"),
                (1, "reset"),
                (4, "unclear"),
                (5, "unclear"),
                (6, "unclear"),
                (7, "later"),
            )
        ),
        {"resp2-v1": 0.5, "resp3-v2": 0.2, "http-v2": 0.3},
        {"server-3": "resp3-v2", **{f"server-{n}": "http-v2" for n in range(4, 9)}},
    ),
}
BREACHES = [  # fault, scenario that triggers it, rule, and text of the breach
    ("lose", "plain", "answer", "lost: the connection ended"),
    ("late", "plain", "answer", "late"),
    ("twice", "plain", "answer", "followed the final answer"),
    ("invent", "plain", "answer", "no grid server made"),
    ("goes_on", "plain", "answer", "after its final answer"),
    ("two_out", "plain", "effect", "in flight at once"),
    ("late_repeat", "short", "effect", "its key is remembered for 0.5 s"),
    ("deaf", "drain", "drain", "after the ingress was notified that the server leaves"),
    ("slow_ear", "drain", "drain", "after the ingress was notified that the server leaves"),
    ("fair_share", "cold", "cold", "server-2"),
    ("crowd", "cold", "cold", "server-2"),
    ("no_groups", "mixed", "effect", "which does not remember the keys of"),
    ("no_groups", "mixed", "effect", "recorded twice"),
    ("forgets", "mixed", "effect", "recorded twice"),
    ("own_keys", "mixed", "effect", "from ingress"),
    ("new_keys", "mixed", "effect", "its key at"),
    ("one_key", "mixed", "effect", "recorded by no server"),
    ("refuses_unclear", "mixed", "effect", "refused though it may have run"),
    ("serves_later", "mixed", "answer", "no grid server made"),
    ("no_ceiling", "surge", "ceiling", "beyond the ceiling of editorial"),
    ("alone", "surge", "ceiling", "beyond the ceiling of editorial"),
]


async def _run(scenario: Scenario, fault: str) -> tuple[Verdict, tuple[int, int]]:
    async with running_world(scenario, f"exec {sys.executable} -m tests.faulty {fault}") as world:
        await world.play()
    assert not world.crashes and not world.faults
    return judge(world.record, world.deployment), held_back(world.record)


@functools.cache
def run_once(scenario: str, fault: str, number: int) -> tuple[Verdict, tuple[int, int]]:
    return uvloop.run(asyncio.wait_for(_run(SCENARIOS[scenario], fault), 60.0))


def run_until_judged(
    scenario: str, fault: str, wanted: Callable[[Breach], bool]
) -> tuple[Verdict, tuple[int, int]]:
    """Repeats a run until it has a wanted breach or a verdict.

    A run for which the machine was too busy proves nothing either way.
    """
    for number in range(MAX_RUNS):
        verdict, held = run_once(scenario, fault, number)
        if verdict.judged or any(map(wanted, verdict.breaches)):
            break
    return verdict, held


@pytest.mark.parametrize(("fault", "scenario", "rule", "text"), BREACHES)
def test_a_seeded_fault_is_reported(fault: str, scenario: str, rule: str, text: str) -> None:
    verdict, _ = run_until_judged(scenario, fault, lambda b: b.rule == rule and text in b.why)
    found = [b for b in verdict.breaches if b.rule == rule]
    assert any(text in b.why for b in found), (
        [str(b) for b in found],
        [str(b) for b in verdict.doubtful],
    )
    assert all(b.request and b.customer and b.at > 0 for b in found)


@pytest.mark.parametrize("scenario", SCENARIOS)
def test_no_breach_is_reported_without_a_fault(scenario: str) -> None:
    verdict, (in_a_try, between_tries) = run_until_judged(scenario, "none", lambda _: True)
    assert verdict.judged and [str(b) for b in verdict.breaches] == [], [
        str(b) for b in verdict.doubtful
    ]
    if scenario == "mixed":
        assert in_a_try > 10 and between_tries > 3  # else no attempt could have been held back
