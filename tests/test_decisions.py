"""Regression test: decisions stay the same unless a change is meant to alter them."""

from __future__ import annotations

from collections import Counter

import pytest

from ingress.policy import actions, events, gateway, settings
from tests.gateway_simulation import Simulation
from tests.module_forms import policy_names

POLICY = policy_names(settings, events, actions)

# Recorded with the sources of 2026-12-02.  A change that is meant to alter decisions records new
# digests here and states in its commit how the service measure changed.
DIGESTS = {
    1: "3e334d1f189edae9",
    2: "83666edf868d15e7",
    3: "ec2071f1570570ab",
    4: "351f9614713d3d16",
    5: "82477cb799328395",
    6: "0913de6987671428",
    7: "68d9aef46be63553",
    8: "ae5632d7d0cf1e6b",
    9: "9e80e6f0a8755d56",
    10: "611cc681426e2650",
    11: "0d3bd6ef757e0392",
    12: "0858c255472cd58e",
    13: "2d7d7e537a784521",
    14: "5c20d3d5b9e55587",
    15: "a72e01169c4aa07b",
    16: "97e7bb5e61d7ef13",
}
EXPECTED_KINDS = (
    "StartAttempt",
    "RejectRequest",
    "FailRequest",
    "AddToCounter",
    "OK",
    "ERROR",
    "OVERLOADED",
    "TIMEOUT",
    "CONNECT_FAILED",
    "RESET",
    "CANCELLED",
    "count TIMEOUT",
    "count OVERLOADED",
    "drain",
    "gone",
    "restart",
    "new",
)


@pytest.mark.parametrize("seed", DIGESTS)
def test_the_same_faults_lead_to_the_recorded_decisions(seed: int) -> None:
    assert Simulation(POLICY, gateway, seed).run()[:16] == DIGESTS[seed]


def test_the_recorded_runs_contain_every_kind_of_fault_and_action() -> None:
    """Runs half of the seeds again, so that the test does not depend on others on its worker."""
    found: Counter[str] = Counter()
    for seed in list(DIGESTS)[::2]:
        simulation = Simulation(POLICY, gateway, seed)
        simulation.run()
        found += simulation.seen
    assert [kind for kind in EXPECTED_KINDS if not found[kind]] == []
